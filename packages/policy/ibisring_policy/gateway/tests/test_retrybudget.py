"""Tests of the limit on retries."""

from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import retrybudget
import pytest


def test_retries_stay_within_the_ratio_and_slack():
    budget = retrybudget.make_retry_budget(10.0, 0.2, 2.0)
    for n in range(100):
        budget.count_request(n * 0.01)
    retries = sum(budget.take_retry(1.0, 1) for _ in range(100))
    assert retries == 22
    assert not budget.take_retry(5.0, 1)
    assert budget.take_retry(30.0, 1) and budget.take_retry(30.0, 1)
    assert not budget.take_retry(30.0, 1)


@pytest.mark.parametrize('routers', [1, 6, 83, 380])
def test_the_retries_of_a_fleet_stay_within_the_bound(routers):
    """Failure: endpoints receive more retries than the settings allow.

    Engines that all of 83 routers use fail at once.  A share of the slack
    that is the same for any number of routers, such as a tenth, exceeds the
    bound in a large fleet.
    """
    ratio, slack, requests = 0.2, 350.0, 10.0
    budgets = [
        retrybudget.make_retry_budget(
            10.0,
            ratio * retrybudget.RATIO_SHARE,
            slack * retrybudget.SLACK_SHARE,
        )
        for _ in range(routers)
    ]
    retries = 0
    for budget in budgets:
        for number in range(int(requests)):
            budget.count_request(number * 0.1)
            allowed = (budget.take_retry(1.0, routers) for _ in range(40))
            retries += sum(allowed)
    assert retries <= ratio * requests * routers + slack


def _storm(budget, seconds, capacity):
    """Make two retries every 10 ms, of which few are accepted.

    Returns
    -------
    list of float
        When retries were made.
    """
    made = []
    for tick in range(int(seconds * 100)):
        now = tick * 0.01
        budget.count_request(now)
        for _ in range(2):
            if budget.take_retry(now, 1, 'chat'):
                made.append(now)
                is_refused = not capacity(now)
                budget.note_outcome('chat', now, is_refused, now + 0.005)
    return made


def test_a_retry_storm_is_damped():
    """Failure: engines without room spend their time refusing retries.

    All engines are full; each request that one refuses is sent to another,
    which refuses it as well, and this goes on at the highest rate allowed.
    """
    made = _storm(retrybudget.make_retry_budget(10.0, 0.2, 20.0), 40.0, _never)
    late = [at for at in made if at >= 2.0]
    assert len(late) <= 38.0 * retrybudget.MIN_RETRY_RATE + 1
    assert len(late) >= 38.0 * retrybudget.MIN_RETRY_RATE - 2


def test_retries_return_to_the_bound_while_they_succeed():
    """Failure: requests fail for minutes after engines have room again."""
    damped = retrybudget.make_retry_budget(10.0, 0.2, 20.0)
    fixed = retrybudget.make_retry_budget(10.0, 0.2, 20.0)
    fixed.is_damped = False

    def is_free(now):
        return now >= 10.0

    made = [at for at in _storm(damped, 30.0, is_free) if at >= 20.0]
    bound = [at for at in _storm(fixed, 30.0, is_free) if at >= 20.0]
    assert damped.dampers['chat'].rate is None
    assert 0.8 * len(bound) <= len(made) <= len(bound) + 20


def test_one_refused_retry_changes_nothing():
    """Failure: a small router makes no retry for two seconds.

    It has a retry refused by one full engine, while others have room.
    """
    budget = retrybudget.make_retry_budget(10.0, 0.2, 20.0)
    assert budget.take_retry(1.0, 1, 'chat')
    budget.note_outcome('chat', 1.0, True, 1.1)
    assert budget.take_retry(1.2, 1, 'chat')
    budget.note_outcome('chat', 1.2, False, 1.3)
    assert budget.dampers['chat'].rate is None
    assert all(budget.take_retry(1.4, 1, 'chat') for _ in range(10))


def _damped_budget():
    """Return a budget that refusals of one service have lowered at 1.5 s."""
    budget = retrybudget.make_retry_budget(10.0, 0.2, 100.0)
    for now in (1.0, 1.1, 1.2, 1.3, 1.4, 1.5):
        assert budget.take_retry(now, 1, 'chat')
        budget.note_outcome('chat', now, True, now)
    assert budget.dampers['chat'].rate == retrybudget.MIN_RETRY_RATE
    return budget


def _take_burst(budget, now, service='chat', tries=50):
    return sum(budget.take_retry(now, 1, service) for _ in range(tries))


def test_lowered_rate_lapses_when_the_load_is_gone():
    """Failure: requests of a crashed engine are not sent to the others.

    A load in which all retries were refused lowered the rate and has ended;
    after a pause without retries an engine crashes, and its requests are to
    be retried at the full rate at once.
    """
    budget = _damped_budget()
    assert _take_burst(budget, 1.6) < attempts.MAX_TRIES
    assert _take_burst(budget, 12.0) == 50
    assert budget.dampers['chat'].rate is None


def test_lowered_rate_allows_all_tries_of_one_request():
    """Failure: a request is given up after one retry in a shortage.

    A minimum time between two retries allows none directly after another.
    """
    budget = _damped_budget()
    budget.dampers['chat'].lapse_at = 100.0
    assert _take_burst(budget, 30.0) == attempts.MAX_TRIES
    assert _take_burst(budget, 31.9) == 0
    assert _take_burst(budget, 32.0) == 1


def test_refusals_lower_only_the_rate_of_their_service():
    """Failure: a full model service keeps others from being retried."""
    budget = _damped_budget()
    _take_burst(budget, 1.6)
    assert not budget.take_retry(1.6, 1, 'chat')
    assert budget.take_retry(1.6, 1, 'other')
    assert budget.take_retry(1.6, 1)


def test_streams_under_way_leave_the_lowered_rate_to_new_requests():
    """Failure: retries of streams block those of new requests, or break off.

    Streams that continue are exempt from the lowered rate, but took from it.
    """
    budget = _damped_budget()
    _take_burst(budget, 1.6)
    assert not budget.take_retry(1.6, 1, 'chat')
    for tick in range(20):
        assert budget.take_retry(1.6 + 0.1 * tick, 1)
    assert budget.take_retry(3.6, 1, 'chat')


def _never(now):
    return False
