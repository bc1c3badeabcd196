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
