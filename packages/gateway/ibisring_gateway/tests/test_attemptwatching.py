"""Tests of when attempts are checked."""

import socket

from ibisring_gateway import attemptwatching
from ibisring_gateway import selecting
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import attempts
import pytest


class _Watcher(attemptwatching.Watcher):
    """Has no thread; the tests call `check`."""

    def start(self):
        return self


def _watcher():
    clock = builders.Clock()
    silent = []
    return _Watcher(silent.append, clock), clock, silent


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
    assert not attemptwatching._has_disconnected(descriptor)
