"""Tests of how routers share the rate limit of an endpoint."""

import math
import random

from ibisring_policy.gateway import ratelimits
from ibisring_policy.gateway.tests import limitload
import pytest

Site = limitload.Site
LimitUpdate = ratelimits.LimitUpdate
# The fleet may send this many times what the limit allows in a window, and
# some requests more, once the limit has reached all routers.
MAX_EXCESS_FACTOR = 1.5
EXTRA_REQUESTS = 5
WINDOW_SECONDS = 4.0
PROPAGATION_SECONDS = 3.0
MIN_USED_FRACTION = 0.5


def _limits(rate=1.0, at=10.0, name='r1'):
    limits = ratelimits.make_limits(name, 'a')
    limits.record_rate('e1', 1, rate, at, at)
    return limits


def _send_times(limits, begin, end, step=0.01):
    """Return when a router sends that tries to at every step."""
    sent, now = [], begin
    while now < end:
        if limits.acquire('e1', now, 0.0) is not None:
            sent.append(now)
        now += step
    return sent


def _receive(limits, now, router, domain='a', has_demand=True):
    """Have a router receive the known limit from another one."""
    age = 0 if has_demand else None
    update = LimitUpdate(limits.rate('e1'), 0, 1, age, age)
    limits.receive_updates(router, domain, {'e1': update}, now, {'e1': 1})


def test_without_a_limit_all_requests_may_be_sent():
    limits = ratelimits.make_limits('r1', 'a')
    assert [limits.acquire('e1', 1.0, 0.0) for _ in range(9)] == [0.0] * 9


def test_one_router_keeps_to_the_rate():
    sent = _send_times(_limits(rate=2.0), 10.0, 30.0)
    assert 30 <= len(sent) <= 40


def test_a_reservation_given_back_leaves_no_trace():
    """Guards against a request that waits for one that is never sent."""
    limits = _limits()
    limits.wait('e1', 10.0)
    limits.backoffs.record('e1', 1, 8.0, 10.0)
    waits = []
    for _ in range(2):
        reservation = limits.reserve('e1', 20.0, 0.0)
        assert limits.acquire('e1', 20.0, 0.0) is None
        waits.append(reservation.wait)
        limits.give_back(reservation)
    assert waits == [0.0, 0.0]


def test_a_reservation_that_others_follow_is_not_given_back():
    """Guards against two requests that are sent at the same time."""
    limits = _limits()
    limits.wait('e1', 10.0)
    reservation = limits.reserve('e1', 20.0, 0.0)
    wait = limits.acquire('e1', 20.0, 9.0)
    limits.give_back(reservation)
    assert limits.wait('e1', 20.0) > wait


def test_an_unused_share_does_not_accumulate():
    """Failure: a router sends a burst after it was suspended."""
    limits = _limits(rate=2.0)
    limits.acquire('e1', 10.0, 0.0)
    assert len(_send_times(limits, 60.0, 60.5)) <= 2


def test_a_new_share_starts_empty():
    """Failure: each of many routers sends one request at the same moment."""
    waits = [
        _limits(rate=0.5, name=f'r{n}').acquire('e1', 10.0, 0.0)
        for n in range(40)
    ]
    assert waits == [None] * 40


def test_a_later_answer_without_a_limit_removes_it():
    limits = _limits()
    assert limits.record_rate('e1', 1, None, 11.0, 11.1)
    assert limits.wait('e1', 11.1) == 0.0


def test_the_answer_to_an_earlier_request_removes_no_limit():
    limits = _limits(at=10.0)
    assert not limits.record_rate('e1', 1, None, 9.0, 12.0)
    assert limits.rate('e1') == 1.0


def test_a_later_rate_replaces_the_earlier_one():
    limits = _limits(rate=0.1)
    limits.acquire('e1', 20.0, 0.0)
    limits.record_rate('e1', 1, 10.0, 21.0, 21.0)
    assert len(_send_times(limits, 21.0, 22.0)) >= 8


def test_an_endpoint_with_a_tiny_rate_still_gets_some_requests():
    """Failure: a limit is kept forever, as no request shows its removal."""
    limits = _limits(rate=1e-6)
    sent = _send_times(limits, 10.0, 60.0, step=0.1)
    assert 3 <= len(sent) <= 5


def test_a_restart_removes_the_limit():
    limits = _limits()
    limits.record_start('e1', 2)
    assert limits.rate('e1') is None


def test_updates_about_an_earlier_start_are_ignored():
    limits = ratelimits.make_limits('r1', 'a')
    updates = {'e1': LimitUpdate(1.0, 5, 1)}
    assert limits.receive_updates('r2', 'a', updates, 10.0, {'e1': 2}) == []
    assert limits.rate('e1') is None


@pytest.mark.parametrize('rate', [math.nan, math.inf, -1.0, 0.0])
def test_invalid_updates_are_ignored(rate):
    limits = ratelimits.make_limits('r1', 'a')
    limits.receive_updates(
        'r2', 'a', {'e1': LimitUpdate(rate, 5, 1)}, 10.0, {}
    )
    limits.receive_updates(
        'r2', 'a', {'e1': LimitUpdate(1.0, -5, 1)}, 10.0, {}
    )
    assert not limits.by_endpoint


def test_an_old_update_does_not_restore_a_limit():
    """Failure: routers send each other a removed limit forever."""
    limits = _limits(at=10.0)
    updates = limits.updates_to_send(10.5, random.Random(1))
    limits.record_rate('e1', 1, None, 11.0, 11.0)
    limits.receive_updates('r2', 'a', updates, 11.0, {'e1': 1})
    assert limits.rate('e1') is None


def test_a_huge_limit_delays_no_request():
    limits = _limits(rate=999999999.0)
    assert len(_send_times(limits, 11.0, 12.0)) == len(range(100))


def test_routers_with_demand_share_a_limit():
    alone = len(_send_times(_limits(rate=8.0), 12.0, 22.0))
    limits = _limits(rate=8.0)
    for number in range(2, 5):
        _receive(limits, 11.9, f'r{number}')
    assert len(_send_times(limits, 12.0, 17.0)) == pytest.approx(
        alone / 8, abs=2
    )


def test_a_router_without_demand_gets_no_share():
    limits = _limits(rate=8.0)
    alone = len(_send_times(_limits(rate=8.0), 12.0, 17.0))
    for number in range(2, 5):
        _receive(limits, 11.9, f'r{number}', has_demand=False)
    assert len(_send_times(limits, 12.0, 17.0)) == alone


def test_failure_domains_share_a_limit():
    limits = _limits(rate=8.0)
    alone = len(_send_times(_limits(rate=8.0), 12.0, 17.0))
    _receive(limits, 11.9, 'r7', 'b')
    assert len(_send_times(limits, 12.0, 17.0)) == pytest.approx(
        alone / 2, abs=2
    )


def test_few_of_many_routers_share_a_small_limit():
    """Failure: 195 shares of one request each come to 195 requests."""
    names = [f'r{number}' for number in range(40)]
    sharers = 0
    for name in names:
        limits = _limits(name=name)
        for other in names:
            if other != name:
                _receive(limits, 11.0, other)
        sharers += limits.wait('e1', 11.0) < math.inf
    assert sharers == math.ceil(ratelimits.SHARERS_PER_RATE)


def test_a_request_may_be_delayed_for_its_share():
    limits = _limits(rate=10.0)
    limits.acquire('e1', 12.0, 0.0)
    limits.acquire('e1', 12.0, 0.0)
    assert limits.acquire('e1', 12.0, 0.0) is None
    assert 0.0 < limits.acquire('e1', 12.0, 0.2) <= 0.2


def test_retries_of_refused_callers_are_spread():
    limits = _limits(rate=4.0)
    times = []
    for number in range(20):
        draw = (number % 10) / 10
        times.append(limits.retry_after(['e1'], number, 12.0, draw))
    assert len(set(times)) > 10
    assert max(times) > 2.0 and min(times) > 0.0


def test_a_router_without_a_share_gives_a_retry_time():
    limits = _limits()
    for number in range(40):
        _receive(limits, 11.0, f'x{number}')
    assert limits.wait('e1', 11.0) == math.inf
    assert 0.0 < limits.retry_after(['e1'], 0, 11.0, 0.5) < 10.0


def test_the_removal_of_a_limit_is_sent_until_it_expires():
    limits = _limits(at=10.0)
    limits.record_rate('e1', 1, None, 11.0, 11.0)
    assert limits.updates_to_send(12.0, random.Random(1))['e1'].rate is None
    later = 12.0 + ratelimits.REMOVAL_TTL_SECONDS
    assert not limits.updates_to_send(later, random.Random(1))


def test_unchanged_limits_without_demand_are_sent_seldom():
    limits = _limits(at=10.0)
    rng = random.Random(1)
    assert limits.updates_to_send(10.5, rng, 0.0)
    assert not limits.updates_to_send(20.0, rng, 0.0)
    sent = sum(
        bool(limits.updates_to_send(20.0, rng, 0.2)) for _ in range(200)
    )
    assert 20 <= sent <= 60
    limits.acquire('e1', 20.0, 0.0)
    assert limits.updates_to_send(20.5, rng, 0.0)


def test_the_numbers_of_limits_kept_and_sent_are_bounded():
    limits = ratelimits.make_limits('r1', 'a')
    for number in range(ratelimits.MAX_LIMITS + 10):
        limits.record_rate(f'e{number}', 1, 1.0, 10.0, 10.0)
    assert len(limits.by_endpoint) == ratelimits.MAX_LIMITS
    assert (
        len(limits.updates_to_send(10.0, random.Random(1)))
        == ratelimits.MAX_SENT
    )
    limits.keep_only(['e1'])
    assert list(limits.by_endpoint) == ['e1']


@pytest.mark.parametrize(
    ('site', 'seeds'),
    [
        (Site(routers=3), 4),
        (Site(), 4),
        (Site(rate=4.0), 4),
        (Site(rate=20.0, demand=10.0), 2),
        (Site(demanding=1), 4),
        (Site(late=3), 4),
        (Site(late=3, rate=8.0), 4),
        (Site(frozen=2, rate=4.0), 4),
        (Site(routers=88, demand=1.0, rate=10.0, seconds=15.0), 1),
        (Site(195, 5, 5, demand=1.0, seconds=15.0), 1),
        (Site(195, 5, 5, rate=10.0, demand=1.0, late=97, seconds=15.0), 1),
    ],
)
def test_the_fleet_keeps_to_a_limit_and_uses_it(site, seeds):
    """Load: more than the endpoint accepts; routers join late or freeze."""
    for seed in range(seeds):
        sent = limitload.simulate(site, seed).sent
        largest = limitload.max_in_window(
            sent, WINDOW_SECONDS, PROPAGATION_SECONDS
        )
        assert (
            largest
            <= MAX_EXCESS_FACTOR * site.rate * WINDOW_SECONDS + EXTRA_REQUESTS
        )
        later = [at for at in sent if at > 2 * PROPAGATION_SECONDS]
        allowed = site.rate * (site.seconds - 2 * PROPAGATION_SECONDS)
        assert len(later) >= MIN_USED_FRACTION * allowed
