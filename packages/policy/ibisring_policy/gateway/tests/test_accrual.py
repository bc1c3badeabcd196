"""Tests of timeouts from the times of recent requests, and of moves."""

import random

from ibisring_policy.gateway import accrual
from ibisring_policy.gateway import expectedtimes
from ibisring_policy.gateway.tests import builders
import pytest

FLOOR = 0.2


class _Clock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return _Clock()


@pytest.mark.parametrize('slowdown', [1.0, 2.0, 4.0, 8.0])
def test_few_requests_of_slow_engines_exceed_the_timeout(clock, slowdown):
    """Failure: slow engines are taken for stalled, and prompts read again."""
    rng = random.Random(1)
    tracker = accrual.make_tracker(10.0, clock)
    overdue = 0
    for number in range(2000):
        clock.now += 0.05
        seen = 0.1 * slowdown * rng.lognormvariate(0.0, 0.3)
        if number > 200:
            overdue += seen > tracker.timeout(0.1)
        tracker.note(0.1, seen)
    assert overdue < 0.01 * 1800


def test_timeout_keeps_its_bounds(clock):
    tracker = accrual.make_tracker(1.2, clock)
    assert tracker.timeout(0.03, FLOOR) == FLOOR
    for _ in range(200):
        tracker.note(0.1, 30.0)
    assert tracker.timeout(0.1, FLOOR) == 1.2


def test_timeout_falls_after_the_load_has_ended(clock):
    """Failure: stalls are found late for minutes after a busy time."""
    tracker = accrual.make_tracker(1.2, clock)
    for _ in range(100):
        tracker.note(0.05, 0.5)
    assert tracker.timeout(0.05, FLOOR) > 0.5
    clock.now += accrual.SAMPLE_SECONDS + 0.1
    assert tracker.timeout(0.05, FLOOR) == FLOOR


def test_unfinished_waits_are_left_out_for_other_chains(clock):
    """Failure: streams stay with an engine that hangs.

    Their waits make the events of the other chains appear as late.
    """
    tracker = accrual.make_tracker(1.0, clock)
    for _ in range(20):
        tracker.note(0.1, 0.2)
        tracker.note(0.1, 2.0, is_finished=False)
    assert tracker.typical_finished(0.1) == pytest.approx(0.2)
    assert tracker.typical(0.1) > 0.5
    clock.now += accrual.SAMPLE_SECONDS + 0.1
    assert tracker.typical_finished(0.1) == pytest.approx(0.1)


def test_suspicion_grows_with_the_silence(clock):
    tracker = accrual.make_tracker(10.0, clock)
    for _ in range(100):
        tracker.note(0.1, 0.3)
    values = [tracker.suspicion(0.1, w) for w in (0.0, 0.2, 0.3, 0.5, 60.0)]
    assert values == sorted(values) and values[0] < 0.01
    limit = tracker.timeout(0.1, 0.0, 5.0)
    assert tracker.suspicion(0.1, limit) == pytest.approx(5.0)


def test_a_stream_stays_where_its_event_comes_first():
    assert not accrual.should_move(0.6, 0.9, 1.2, 0.4)
    assert accrual.should_move(0.4, 0.9, 1.2, 0.4)
    assert accrual.should_move(1.2, 0.9, 1.2, 0.4)
    # A caller that is still there after two seconds is a patient one.
    assert accrual.should_move(2.5, 0.9, 1.2, 0.4)


def _stages(*domains, **load):
    return [
        expectedtimes.StageLoad(layers=80 // len(domains), domain=d, **load)
        for d in domains
    ]


def test_links_between_domains_explain_a_late_first_event():
    """Failure: every prompt over a slow link is abandoned and sent again.

    The activations of one prompt take 0.3 s at each crossing, longer than
    the silence after which a first stage is given up.
    """
    model = builders.model(activation_mb=0.036, domain_link_mbps=750.0)

    def seconds(*domains):
        return expectedtimes.first_event(_stages(*domains), model, 772)

    assert seconds('a', 'b') - seconds('a', 'a') == pytest.approx(0.296, 0.01)
    assert seconds('a', 'b', 'a') > 0.59
    unknown = builders.model(activation_mb=0.036)
    stages = _stages('a', 'b')
    assert expectedtimes.first_event(stages, unknown, 772) < 0.05


@pytest.mark.parametrize(
    'load', [{'prefill_factor': 8.0}, {'slowdown': 4.0}, {'waiting': 40}]
)
def test_cards_slowness_and_queue_lengthen_the_expected_time(load):
    model = builders.model()
    usual = expectedtimes.first_event(_stages('a', 'a'), model, 5000)
    slow = expectedtimes.first_event(_stages('a', 'a', **load), model, 5000)
    assert slow > 1.5 * usual
