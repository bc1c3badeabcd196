"""Tests of when attempts are checked."""

import socket

from ibisring_gateway import selecting
from ibisring_gateway.tests import builders
from ibisring_gateway import watching
from ibisring_policy.gateway import attempts
import pytest


class _Watcher(watching.Watcher):
    """Has no thread; the tests call `look`."""

    def start(self):
        return self


def _watcher():
    clock = builders.Clock()
    silent = []
    return _Watcher(silent.append, clock), clock, silent


def _attempt(watcher, clock, **times):
    ours, theirs = socket.socketpair()
    attempt = watching.Attempt('a', None, (), clock() + 10.0)
    for name, value in times.items():
        setattr(attempt, name, value)
    watcher.add(ours, attempt)
    return attempt, ours, theirs


def test_it_sleeps_until_something_is_due():
    """Failure: 100 wake-ups a second for one stream, where 15 suffice."""
    assert watching.MOST_SLEEP < selecting.MIN_EVENT_TIMEOUT
    watcher, clock, _ = _watcher()
    assert watcher.sleep(clock()) == watching.IDLE_SLEEP
    attempt, ours, _ = _attempt(watcher, clock)
    assert watcher.sleep(clock()) == pytest.approx(watching.MOST_SLEEP)
    attempt.check_at = clock() + 0.02
    assert watcher.sleep(clock()) == pytest.approx(0.02)
    attempt.looking = True
    assert watcher.sleep(clock()) == pytest.approx(watching.MOST_SLEEP)
    attempt.deadline = clock()
    assert watcher.sleep(clock()) == watching.LEAST_SLEEP
    watcher.remove(ours)


def test_what_is_due_is_looked_at_once():
    watcher, clock, silent = _watcher()
    attempt, ours, _ = _attempt(watcher, clock)
    attempt.check_at = clock() + 0.06
    watcher.look(clock())
    assert not silent
    clock.now += 0.06
    watcher.look(clock())
    watcher.look(clock())
    assert silent == [attempt]
    watcher.remove(ours)


def test_an_attempt_out_of_time_is_broken_off():
    watcher, clock, _ = _watcher()
    attempt, ours, _ = _attempt(watcher, clock)
    clock.now += 10.0
    watcher.look(clock())
    assert attempt.result is attempts.Result.DEADLINE
    watcher.remove(ours)
