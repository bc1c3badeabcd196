"""Tests of time limits that pass in a process that reads late."""

from ibisring_policy.gateway import latereads
from ibisring_policy.gateway import localhealth
import pytest


def stalled(begin, end):
    """Return the health of a process that stood still for a while."""
    health = localhealth.make_local_health()
    health.begin_wait(begin)
    health.end_wait(end)
    return health


@pytest.mark.parametrize(
    'now, has_input, expected',
    [
        (10.0, False, True),
        (10.0, True, False),
        (10.09, True, False),
        (10.11, True, True),
    ],
)
def test_unread_input_holds_a_limit_off_for_a_moment(now, has_input, expected):
    """Guards against input without an end that keeps an attempt for ever."""
    health = localhealth.make_local_health()
    assert latereads.is_shown(10.0, now, has_input, health) is expected


@pytest.mark.parametrize(
    'now, has_input, expected',
    [
        (10.5, False, False),
        (10.53, False, True),
        (10.55, True, False),
        (10.61, True, True),
    ],
)
def test_a_stall_gives_the_time_again(now, has_input, expected):
    """Guards against limits that pass before any other thread has run."""
    health = stalled(9.9, 10.5)
    assert latereads.is_shown(10.0, now, has_input, health) is expected


def test_a_stall_before_the_limit_counts():
    """Guards against an event that was read but not yet noted."""
    health = stalled(9.5, 9.99)
    assert not latereads.is_shown(10.0, 10.0, False, health)
    assert latereads.is_shown(10.0, 10.03, False, health)


def test_no_limit_is_held_off_for_long():
    health = stalled(9.0, 11.1)
    assert latereads.is_shown(10.0, 11.1, True, health)


def end_of_attempt(deadline, stall, share):
    """Return when an attempt with endless input ends, and the first look.

    The process stalls for `stall` seconds at a time, and for `share` of all
    time; its stall clock ticks each 50 ms, and the watcher looks each 5 ms.
    """
    health = localhealth.make_local_health()
    cycle = stall / share
    tick = looked_at = 0.0
    first_look = None
    health.begin_wait(0.05)
    for step in range(20_000):
        now = step / 1000
        if now % cycle < stall:
            continue
        if now >= tick + 0.05:
            health.end_wait(now)
            tick = now
            health.begin_wait(now + 0.05)
        if now < max(deadline, looked_at + 0.005):
            continue
        looked_at = now
        first_look = first_look or now
        if latereads.is_over(deadline, now, True, health):
            return now, first_look
    raise AssertionError('the attempt does not end')


@pytest.mark.parametrize('stall', [0.06, 0.12, 0.2, 0.3, 0.39, 0.6, 0.9])
@pytest.mark.parametrize('share', [0.5, 0.9, 0.97])
def test_stalls_without_end_keep_no_attempt_past_its_deadline(stall, share):
    """Guards against requests that end too late where a router is starved."""
    for phase in range(40):
        deadline = 5.0 + phase * stall / share / 40
        ended, first_look = end_of_attempt(deadline, stall, share)
        latest = deadline + latereads.MAX_OVERTIME_SECONDS
        assert ended <= max(latest, first_look)


def test_first_stall_over_a_deadline_leaves_time_to_read():
    """Guards against a cut of an answer that came while a router froze."""
    health = stalled(9.7, 10.2)
    assert not latereads.is_over(10.0, 10.2, True, health)
    assert not latereads.is_over(10.0, 10.2, False, health)
    assert latereads.is_over(10.0, 10.23, True, health)


@pytest.mark.parametrize('has_input', [False, True])
def test_no_attempt_is_kept_half_a_second_past_its_deadline(has_input):
    """Guards against a first long stall that is followed by another."""
    health = stalled(10.001, 10.4)
    assert latereads.is_over(10.0, 10.4, has_input, health)
