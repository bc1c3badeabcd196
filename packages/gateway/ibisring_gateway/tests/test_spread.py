"""Tests that findings of one router reach all others by gossip."""

import pytest

from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualfleet
from ibisring_gateway.tests import virtualtime

Trouble = schedules.Trouble
DIGEST = b'bad-one!'
# Seconds within which all connected routers act on a finding of any.
CONTACT = 3.0


def _fleet(routers, *troubles):
    schedule = schedules.Schedule(
        routers, (), troubles, domains=5 if routers > 100 else 3
    )
    fleet = virtualfleet.Fleet(schedule)
    fleet.arrange()
    return fleet


def _run(fleet, until):
    fleet.scheduler.run(virtualtime.START + until)


def _end_three(fleet):
    """Let three routers each see one crash at the same moment."""
    numbers = [0, len(fleet.routers) // 2, len(fleet.routers) - 1]
    for number in numbers:
        router = fleet.routers[number]
        now = fleet.scheduler.now
        router.view.suspects.ended(DIGEST, f'e{number}', 1, now)
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
def test_ends_seen_by_three_routers_are_known_to_all(routers):
    """Failure: a bad request runs at routers that missed its crashes."""
    third = tuple(range(routers))
    fleet = _fleet(routers, Trouble('lossy', 0.0, 20.0, third))
    _run(fleet, 7.0)
    _end_three(fleet)
    _run(fleet, 8.0)
    assert len(_refusing(fleet)) >= 0.99 * routers
    _run(fleet, 7.0 + CONTACT)
    assert len(_refusing(fleet)) == routers
    fleet.scheduler.kill()


@pytest.mark.parametrize('routers', (6, 88))
def test_a_router_that_starts_or_was_cut_off_is_told(routers):
    """Failure: a bad request runs again at a new or disconnected router."""
    cut, started = 2, 4
    fleet = _fleet(
        routers,
        Trouble('cut', 6.0, 6.0, (cut,)),
        Trouble('restart', 9.0, 2.0, (started,)),
    )
    _run(fleet, 7.0)
    _end_three(fleet)
    _run(fleet, 11.9)
    assert _refusing(fleet, {cut}) == []
    _run(fleet, 12.0 + CONTACT)
    assert len(_refusing(fleet)) == routers
    fleet.scheduler.kill()


@pytest.mark.parametrize('routers', (3, 88, 195))
def test_a_limit_named_to_one_router_is_known_to_all(routers):
    """Failure: each router overloads an endpoint until refused itself."""
    third = tuple(range(routers))
    fleet = _fleet(routers, Trouble('lossy', 0.0, 20.0, third))
    _run(fleet, 7.0)
    router = fleet.routers[1]
    now = fleet.scheduler.now
    router.view.limits.said('e1', 1, 2.5, now, now)
    router.gossip.request_send()
    _run(fleet, 7.0 + CONTACT)
    rates = {r.view.limits.rate('e1') for r in fleet.routers.values()}
    assert rates == {2.5}
    now = fleet.scheduler.now
    router.view.limits.said('e1', 1, None, now, now)
    router.gossip.request_send()
    _run(fleet, 7.0 + 2 * CONTACT)
    rates = {r.view.limits.rate('e1') for r in fleet.routers.values()}
    assert rates == {None}
    fleet.scheduler.kill()
