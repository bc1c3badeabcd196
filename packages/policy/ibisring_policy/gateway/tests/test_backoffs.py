"""Tests of the times for which endpoints want no requests."""

from ibisring_policy.gateway import backoffs as backoffs_module
from ibisring_policy.gateway import ratelimits
import pytest

TRIAL = backoffs_module.TRIAL_INTERVAL_SECONDS
LONGEST = backoffs_module.MAX_BACKOFF_SECONDS


def _limits(seconds=3.0, now=10.0, started=1):
    limits = ratelimits.make_limits('r1', 'a')
    limits.backoffs.record('e1', started, seconds, now)
    return limits


def _send_times(limits, begin, end, step=0.01):
    """Return when a router sends that tries to at every step."""
    ticks = [begin + n * step for n in range(int((end - begin) / step))]
    return [now for now in ticks if limits.acquire('e1', now, 0.0) is not None]


def test_no_request_is_sent_before_the_end():
    """Guards against requests that an endpoint wants to be spared."""
    limits = _limits()
    assert _send_times(limits, 10.0, 12.99) == []
    assert limits.wait('e1', 11.0) == 2.0


def test_other_endpoints_are_not_affected():
    assert _limits().acquire('e2', 10.0, 0.0) == 0.0


def test_requests_after_the_end_are_spaced_until_one_is_answered():
    """Guards against all that was kept back arriving at the same moment."""
    limits = _limits()
    assert len(_send_times(limits, 13.0, 13.5)) <= 0.5 / TRIAL + 1
    limits.backoffs.record_answer('e1', 1, 13.0)
    assert len(_send_times(limits, 13.5, 13.6)) >= 9


def test_requests_that_wait_for_the_end_are_spaced():
    limits = _limits()
    waits = [limits.acquire('e1', 12.9, 1.0) for _ in range(5)]
    gaps = [later - earlier for earlier, later in zip(waits, waits[1:])]
    assert waits[0] == pytest.approx(0.1)
    assert gaps == pytest.approx([TRIAL] * 4)


def test_an_answer_to_an_earlier_request_ends_no_backoff():
    """Guards against an answer that was under way ending a later backoff."""
    limits = _limits()
    limits.backoffs.record_answer('e1', 1, 9.9)
    limits.backoffs.record_answer('e1', 1, 12.9)
    assert limits.wait('e1', 10.5) == 2.5
    assert len(_send_times(limits, 13.0, 13.5)) <= 0.5 / TRIAL + 1


@pytest.mark.parametrize(
    ('seconds', 'end'), [(1.0, 13.0), (2.0, 13.0), (5.0, 16.0)]
)
def test_the_last_end_counts(seconds, end):
    """Guards against a shorter wish ending what another answer asked for."""
    limits = _limits(3.0)
    limits.backoffs.record('e1', 1, seconds, 11.0)
    assert limits.wait('e1', 11.0) == end - 11.0


def test_a_huge_time_keeps_an_endpoint_away_for_a_minute():
    """Guards against losing an endpoint for good by a damaged answer."""
    limits = _limits(1e8)
    assert _send_times(limits, 10.0, 10.0 + LONGEST - 0.1, 0.1) == []
    assert _send_times(limits, 10.0 + LONGEST, 11.0 + LONGEST, 0.1)


def test_a_later_start_ends_a_backoff():
    limits = _limits()
    limits.record_start('e1', 2)
    assert limits.wait('e1', 11.0) == 0.0


def test_an_endpoint_whose_entry_was_missing_is_still_left_alone():
    """Guards against forgetting a backoff with an entry that expired."""
    limits = _limits()
    limits.keep_only(())
    limits.record_start('e1', 1)
    assert limits.wait('e1', 11.0) == 2.0


def test_a_suspended_router_sends_no_burst_afterwards():
    limits = _limits()
    limits.acquire('e1', 12.9, 1.0)
    assert len(_send_times(limits, 14.0, 14.2)) <= 0.2 / TRIAL + 1


def test_rate_limit_and_backoff_are_both_kept():
    """Guards against one of them being forgotten where both are named."""
    limits = _limits()
    limits.record_rate('e1', 1, 2.0, 10.0, 10.0)
    assert _send_times(limits, 10.0, 12.9) == []
    limits.backoffs.record_answer('e1', 1, 13.0)
    assert 5 <= len(_send_times(limits, 13.0, 17.0)) <= 9


def test_the_number_of_backoffs_is_bounded():
    backoffs = backoffs_module.make_backoffs()
    for number in range(backoffs_module.MAX_BACKOFFS):
        assert backoffs.record(f'e{number}', 1, 3.0, 10.0)
    assert not backoffs.record('more', 1, 3.0, 10.0)
    assert backoffs.record('more', 1, 3.0, 30.0)


def test_refused_callers_return_after_the_first_end_and_spread():
    """Guards against all refused callers returning at the same moment."""
    limits = _limits(3.0)
    limits.backoffs.record('e2', 1, 8.0, 10.0)
    times = [
        limits.retry_after(['e1', 'e2'], number, 10.0, number / 20)
        for number in range(20)
    ]
    assert min(times) >= 3.0 and max(times) <= 4.2
    assert len({round(each, 2) for each in times}) > 10


def test_a_long_backoff_is_told_in_full():
    """Guards against callers returning while nothing takes requests."""
    assert _limits(40.0).retry_after(['e1'], 0, 10.0, 0.0) >= 40.0
