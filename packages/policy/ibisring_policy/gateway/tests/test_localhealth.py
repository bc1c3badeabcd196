"""Tests of how late this process runs."""

import pytest

from ibisring_policy.gateway import localhealth

TICK = 0.05


def health_after(wakes):
    """Return the health of a process whose waits ended at some times."""
    health = localhealth.make_local_health()
    now = 0.0
    for woken_at in wakes:
        health.begin_wait(now + TICK)
        health.end_wait(woken_at)
        now = woken_at
    return health


def test_a_process_that_wakes_in_time_has_not_stalled():
    health = health_after([0.05, 0.1, 0.152])
    assert health.lateness(0.0, 0.2) == 0.0
    assert health.running_seconds(0.0, 0.2) == pytest.approx(0.2)


def test_stalls_add_up_in_the_time_that_did_not_run():
    health = health_after([0.25, 0.3, 0.55])
    assert health.lateness(0.0, 0.55) == pytest.approx(0.2)
    assert health.running_seconds(0.0, 0.55) == pytest.approx(0.15)


def test_only_the_part_of_a_stall_in_the_span_counts():
    health = health_after([0.25])
    assert health.lateness(0.15, 0.4) == pytest.approx(0.1)
    assert health.lateness(0.25, 0.4) == 0.0


def test_a_wait_that_should_have_ended_counts_up_to_now():
    health = health_after([0.05])
    health.begin_wait(0.1)
    assert health.lateness(0.0, 0.09) == 0.0
    assert health.lateness(0.0, 0.4) == pytest.approx(0.3)


def test_old_stalls_are_dropped():
    health = health_after([1.0])
    later = 1.0 + localhealth.KEPT_SECONDS + 1.0
    health.begin_wait(later)
    health.end_wait(later + 1.0)
    assert list(health.stalls) == [(later, later + 1.0)]


@pytest.mark.parametrize(
    'seconds, expected',
    [(0.04, 0.86), (0.08, 0.27), (0.2, 0.05), (9.0, -8.75)],
)
def test_start_of_a_span_leaves_stalls_out(seconds, expected):
    health = health_after([0.05, 0.1, 0.25, 0.85])
    health.begin_wait(0.95)
    start = health.span_start(seconds, 0.9)
    assert start == pytest.approx(expected)
    assert health.running_seconds(start, 0.9) == pytest.approx(seconds)
