"""Tests of routers that rely on others to read the store, in virtual time."""

import itertools

import pytest

from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualfleet
from ibisring_gateway.tests import virtualtime

Change = schedules.Change
Failure = schedules.Failure
ENDPOINTS = schedules.ENDPOINTS
REMOVAL = schedules.REMOVAL
TABLE = schedules.TABLE
# When the routers know each other, and the readers of their domain read.
CALM_AT = 8.0


def _fleet(routers, changes, failures, domains=3):
    schedule = schedules.Schedule(
        routers, tuple(changes), tuple(failures), domains=domains
    )
    fleet = virtualfleet.Fleet(schedule)
    fleet.set_up()
    return fleet


def _run(fleet, until):
    fleet.scheduler.run(virtualtime.START + until)


def _readers(routers, domains):
    """Return the two readers of each domain: those with the first names."""
    found = []
    for domain in range(domains):
        names = sorted(range(domain, routers, domains), key=str)
        found += names[:2]
    return tuple(found)


@pytest.mark.parametrize(
    ('routers', 'domains'), [(3, 1), (6, 2), (9, 3), (30, 3), (88, 3)]
)
def test_removal_while_all_readers_start_is_known(routers, domains):
    """Guards against removed endpoints that stay in use for good."""
    for gone, lag in itertools.product((0.3, 0.5), (0.05, 0.25)):
        restart = Failure('restart', CALM_AT, gone, _readers(routers, domains))
        changes = [Change(6.0, ENDPOINTS), Change(CALM_AT + lag, REMOVAL)]
        fleet = _fleet(routers, changes, [restart], domains)
        _run(fleet, CALM_AT + 8.0)
        fleet.scheduler.kill()
        assert fleet.all_know(REMOVAL), (gone, lag)
