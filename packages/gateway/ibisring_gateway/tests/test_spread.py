"""Tests that findings of one router reach all others by gossip."""

import pytest

from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualfleet
from ibisring_gateway.tests import virtualtime

Failure = schedules.Failure
DIGEST = b'bad-one!'
# Seconds within which all connected routers act on a finding of any.
KNOWN_WITHIN_SECONDS = 3.0


def _fleet(routers, *failures):
    schedule = schedules.Schedule(
        routers, (), failures, domains=5 if routers > 100 else 3
    )
    fleet = virtualfleet.Fleet(schedule)
    fleet.set_up()
    return fleet


def _run(fleet, until):
    fleet.scheduler.run(virtualtime.START + until)


def _crash_three(fleet):
    """Let three routers each see one crash at the same moment."""
    numbers = [0, len(fleet.routers) // 2, len(fleet.routers) - 1]
    for number in numbers:
        router = fleet.routers[number]
        now = fleet.scheduler.now
        router.view.suspects.crashed(DIGEST, f'e{number}', 1, now)
        router.gossip.request_send()


def _refusing(fleet, numbers=None):
    now = fleet.scheduler.now
    return [
        number
        for number, router in fleet.routers.items()
        if numbers is None or number in numbers
        if router.view.suspects.verdict(DIGEST, now).refused_until
    ]


@pytest.mark.parametrize('routers', (3, 6, 88, 195))
def test_crashes_seen_by_three_routers_reach_all(routers):
    """Failure: a bad request runs at routers that missed its crashes."""
    all_routers = tuple(range(routers))
    fleet = _fleet(routers, Failure('lossy', 0.0, 20.0, all_routers))
    _run(fleet, 7.0)
    _crash_three(fleet)
    _run(fleet, 8.0)
    assert len(_refusing(fleet)) >= 0.99 * routers
    _run(fleet, 7.0 + KNOWN_WITHIN_SECONDS)
    assert len(_refusing(fleet)) == routers
    fleet.scheduler.kill()


@pytest.mark.parametrize('routers', (6, 88))
def test_crashes_reach_restarted_and_partitioned_routers(routers):
    """Failure: a bad request runs again at a new or disconnected router."""
    partitioned, restarted = 2, 4
    fleet = _fleet(
        routers,
        Failure('cut', 6.0, 6.0, (partitioned,)),
        Failure('restart', 9.0, 2.0, (restarted,)),
    )
    _run(fleet, 7.0)
    _crash_three(fleet)
    _run(fleet, 11.9)
    assert _refusing(fleet, {partitioned}) == []
    _run(fleet, 12.0 + KNOWN_WITHIN_SECONDS)
    assert len(_refusing(fleet)) == routers
    fleet.scheduler.kill()


@pytest.mark.parametrize('routers', (3, 88, 195))
def test_limit_reported_to_one_router_reaches_all(routers):
    """Failure: each router overloads an endpoint until refused itself."""
    all_routers = tuple(range(routers))
    fleet = _fleet(routers, Failure('lossy', 0.0, 20.0, all_routers))
    _run(fleet, 7.0)
    router = fleet.routers[1]
    now = fleet.scheduler.now
    router.view.limits.record_rate('e1', 1, 2.5, now, now)
    router.gossip.request_send()
    _run(fleet, 7.0 + KNOWN_WITHIN_SECONDS)
    rates = {r.view.limits.rate('e1') for r in fleet.routers.values()}
    assert rates == {2.5}
    now = fleet.scheduler.now
    router.view.limits.record_rate('e1', 1, None, now, now)
    router.gossip.request_send()
    _run(fleet, 7.0 + 2 * KNOWN_WITHIN_SECONDS)
    rates = {r.view.limits.rate('e1') for r in fleet.routers.values()}
    assert rates == {None}
    fleet.scheduler.kill()
