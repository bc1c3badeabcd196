"""Tests of when attempts are checked."""

import socket
import threading

from ibisring_gateway import attemptwatching
from ibisring_gateway import selecting
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import localhealth
from ibisring_router import guards
from ibisring_web import sockets
import pytest


class _Watcher(attemptwatching.Watcher):
    """Has no thread; the tests call `check`."""

    def start(self):
        return self


def _watcher():
    clock = builders.Clock()
    silent = []
    health = localhealth.make_local_health()
    return _Watcher(silent.append, health, clock), clock, silent


def _attempt(watcher, clock, **times):
    ours, theirs = socket.socketpair()
    attempt = attemptwatching.Attempt('a', None, (), clock() + 10.0)
    for name, value in times.items():
        setattr(attempt, name, value)
    watcher.add(ours, attempt)
    return attempt, ours, theirs


def test_thread_sleeps_until_an_attempt_is_due():
    """Failure: 100 wake-ups a second for one stream, where 15 suffice."""
    assert attemptwatching.MAX_SLEEP_SECONDS < selecting.MIN_EVENT_TIMEOUT
    watcher, clock, _ = _watcher()
    assert watcher.sleep_seconds(clock()) == attemptwatching.IDLE_SLEEP_SECONDS
    attempt, ours, _ = _attempt(watcher, clock)
    assert watcher.sleep_seconds(clock()) == pytest.approx(
        attemptwatching.MAX_SLEEP_SECONDS
    )
    attempt.check_at = clock() + 0.02
    assert watcher.sleep_seconds(clock()) == pytest.approx(0.02)
    attempt.is_checking = True
    assert watcher.sleep_seconds(clock()) == pytest.approx(
        attemptwatching.MAX_SLEEP_SECONDS
    )
    attempt.deadline = clock()
    assert watcher.sleep_seconds(clock()) == attemptwatching.MIN_SLEEP_SECONDS
    watcher.remove(ours)


def test_silent_attempt_is_reported_once():
    watcher, clock, silent = _watcher()
    attempt, ours, _ = _attempt(watcher, clock)
    attempt.check_at = clock() + 0.06
    watcher.check(clock())
    assert not silent
    clock.now += 0.06
    watcher.check(clock())
    watcher.check(clock())
    assert silent == [attempt]
    watcher.remove(ours)


def test_attempt_past_its_deadline_is_aborted():
    watcher, clock, _ = _watcher()
    attempt, ours, _ = _attempt(watcher, clock)
    clock.now += 10.0
    watcher.check(clock())
    assert attempt.result is attempts.Result.DEADLINE
    watcher.remove(ours)


class _Successor:
    """What an attempt is given up for; `events` as it was set aside."""

    events = 0


def _connected(attempt):
    """Give an attempt a connection; return the endpoint's side."""
    attempt.socket, endpoint = socket.socketpair()
    return endpoint


@pytest.mark.parametrize('limit', ['deadline', 'check_at'])
def test_answer_that_lies_unread_is_read_first(limit):
    """Guards against an answered request that ends as late or silent."""
    watcher, clock, silent = _watcher()
    attempt, ours, _ = _attempt(watcher, clock)
    setattr(attempt, limit, clock() + 1.0)
    endpoint = _connected(attempt)
    endpoint.sendall(b'answer')
    clock.now += 1.0
    watcher.check(clock())
    assert attempt.result is None and not silent
    attempt.socket.recv(100)
    watcher.check(clock())
    assert silent or attempt.result is attempts.Result.DEADLINE
    watcher.remove(ours)


def test_input_without_end_does_not_hold_off_the_deadline():
    """Guards against bytes without end that keep a request for ever."""
    watcher, clock, _ = _watcher()
    attempt, ours, _ = _attempt(watcher, clock)
    endpoint = _connected(attempt)
    clock.now = attempt.deadline
    checks = 0
    while attempt.result is None:
        endpoint.sendall(b'bytes')
        watcher.check(clock())
        clock.now += 0.005
        checks += 1
        assert checks < 30
    assert attempt.result is attempts.Result.DEADLINE
    watcher.remove(ours)


def test_router_that_stalls_again_and_again_ends_attempts_in_time():
    """Guards against attempts that go on for a second past the deadline."""
    watcher, clock, _ = _watcher()
    attempt, ours, _ = _attempt(watcher, clock)
    endpoint = _connected(attempt)
    while attempt.result is None:
        endpoint.sendall(b'answer')
        watcher.health.begin_wait(clock())
        clock.now += 0.27
        watcher.health.end_wait(clock())
        for _ in range(6):
            watcher.check(clock())
            clock.now += 0.005
            if attempt.result is not None:
                break
    assert attempt.result is attempts.Result.DEADLINE
    assert clock.now <= attempt.deadline + 0.4
    assert attempt.socket.recv(6) == b'answer'
    watcher.remove(ours)


def test_limits_that_passed_in_a_stall_wait_for_the_other_threads():
    """Guards against a router that ends its streams as it wakes up."""
    watcher, clock, silent = _watcher()
    attempt, ours, _ = _attempt(watcher, clock, check_at=clock() + 0.06)
    endpoint = _connected(attempt)
    watcher.health.begin_wait(clock())
    clock.now += 0.5
    watcher.health.end_wait(clock())
    watcher.check(clock())
    assert not silent
    clock.now += 0.03
    watcher.check(clock())
    assert silent == [attempt]
    endpoint.close()
    watcher.remove(ours)


def test_attempt_with_unread_input_is_not_handed_over():
    """Guards against a stream moved while its next event lies unread."""
    attempt = attemptwatching.Attempt('a', None, (), 10.0)
    endpoint = _connected(attempt)
    endpoint.sendall(b'event')
    assert not attempt.hand_over(_Successor())
    assert attempt.result is None
    assert attempt.hand_over(_Successor())


def test_late_event_of_a_caller_does_not_end_the_next_attempt():
    """Failure: an attempt ends as the caller before it has left.

    The kernel gives the socket of a new caller the number of one that has
    just been closed, whose event is still to be handled.
    """
    watcher, clock, _ = _watcher()
    attempt, ours, theirs = _attempt(watcher, clock)
    watcher._on_event(ours.fileno())
    assert attempt.result is None
    theirs.close()
    watcher._on_event(ours.fileno())
    assert attempt.result is attempts.Result.CALLER_GONE
    watcher.remove(ours)


def test_caller_that_leaves_after_a_late_event_is_noticed():
    """Failure: an engine works for a caller that has left unnoticed."""
    watcher, clock, _ = _watcher()
    attempt, ours, theirs = _attempt(watcher, clock)
    watcher._on_event(ours.fileno())
    theirs.close()
    events = watcher.epoll.poll(0)
    assert ours.fileno() in [fd for fd, _ in events]
    watcher.remove(ours)


def test_caller_whose_descriptor_is_closed_has_not_left():
    """Failure: an unknown state of a caller ends its request unanswered."""
    left, right = socket.socketpair()
    descriptor = left.fileno()
    left.close()
    right.close()
    assert not sockets.is_gone(descriptor)


class _RefusingWatcher(_Watcher):
    """Can't check the silence of the attempts with some ids."""

    def __init__(self, refused):
        self.refused = refused
        self.silent = []
        health = localhealth.make_local_health()
        super().__init__(self._on_silence, health, builders.Clock())

    def _on_silence(self, attempt):
        if attempt.request_id in self.refused:
            raise RuntimeError("can't start new thread")
        self.silent.append(attempt.request_id)


def test_check_that_cannot_be_started_stops_no_other():
    """Guards against one refused thread that ends the watching of all."""
    watcher = _RefusingWatcher({'first'})
    clock = watcher.clock
    found = [_attempt(watcher, clock, check_at=clock()) for _ in range(3)]
    names = ('first', 'second', 'late')
    for (attempt, _, _), name in zip(found, names):
        attempt.request_id = name
    late = found[2][0]
    late.check_at = None
    late.deadline = clock()
    before = guards.counts().get('silence_check', 0)
    watcher.check(clock())
    assert watcher.silent == ['second']
    assert late.result is attempts.Result.DEADLINE
    assert guards.counts()['silence_check'] == before + 1


def test_check_that_cannot_be_started_is_due_again():
    """Guards against an attempt that is never checked again."""
    watcher = _RefusingWatcher({'a'})
    clock = watcher.clock
    attempt, _, _ = _attempt(watcher, clock, check_at=clock())
    watcher.check(clock())
    assert attempt.check_at > clock()
    watcher.refused.clear()
    watcher.check(clock())
    assert not watcher.silent
    clock.now = attempt.check_at
    watcher.check(clock())
    assert watcher.silent == ['a']


def test_deadline_is_kept_while_no_check_can_be_started():
    watcher = _RefusingWatcher({'a'})
    clock = watcher.clock
    attempt, _, _ = _attempt(watcher, clock, check_at=clock())
    for _ in range(1000):
        watcher.check(clock())
        clock.now += 0.0101
    assert attempt.result is attempts.Result.DEADLINE


def test_thread_goes_on_after_a_refused_check():
    """Guards against later requests without deadlines."""
    refused = threading.Event()

    def on_silence(attempt):
        refused.set()
        raise RuntimeError("can't start new thread")

    class Ended(attemptwatching.Attempt):
        __slots__ = ('ended',)

        def abort(self, end):
            super().abort(end)
            self.ended.set()

    watcher = attemptwatching.make_watcher(on_silence)
    ours, _theirs = socket.socketpair()
    attempt = Ended('a', None, (), watcher.clock() + 10.0)
    attempt.ended = threading.Event()
    attempt.check_at = watcher.clock()
    watcher.add(ours, attempt)
    assert refused.wait(10.0)
    attempt.deadline = watcher.clock()
    assert attempt.ended.wait(10.0)
    assert attempt.result is attempts.Result.DEADLINE
    watcher.stop()


def test_thread_goes_on_after_a_failure_to_wait(monkeypatch):
    """Guards against deadlines that are missed if events can't be read."""
    watcher, clock, _ = _watcher()
    attempt, ours, _ = _attempt(watcher, clock, deadline=clock())
    pauses = []

    def fail(seconds):
        raise OSError('no memory')

    def pause(seconds):
        pauses.append(seconds)
        if len(pauses) == 2:
            watcher.stop()

    monkeypatch.setattr(watcher, 'sleep_seconds', fail)
    monkeypatch.setattr(attemptwatching.time, 'sleep', pause)
    watcher._loop()
    assert attempt.result is attempts.Result.DEADLINE
    assert min(pauses) > 0.0
    watcher.remove(ours)


def test_wake_up_never_blocks_a_request():
    """Guards against requests that hang as nothing reads the wake-ups."""
    watcher, clock, _ = _watcher()
    assert not watcher.wake_writer.getblocking()
    ours, _theirs = socket.socketpair()
    for _ in range(5000):
        watcher.add(
            ours, attemptwatching.Attempt('a', None, (), clock() + 10.0)
        )
        watcher.remove(ours)
    watcher.stop()
