"""Tests of router counts and of the number of store calls in large fleets.

Guaranteed at every size: nearly all running routers count as running, a
stopped one no longer counts, and the number of store calls grows with the
changes and the failure domains, not with changes times routers.
"""

import pytest

from ibisring_gateway import directory
from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualfleet
from ibisring_gateway.tests import virtualtime

ENDPOINTS = schedules.ENDPOINTS
TABLE = schedules.TABLE
Change = schedules.Change
Failure = schedules.Failure

SIZES = (6, 30, 88, 195)
# Random schedules per run of the tests; some hundreds are run by hand.
SEEDS = 12
# Seconds after its end within which a router no longer counts as running.
STOPPED_WITHIN_SECONDS = 5.0
# Seconds within which all routers know what an endpoint has told one of them.
KNOWN_WITHIN_SECONDS = 2.0
# Maximum relative error of the count of running routers.
MAX_COUNT_ERROR = 0.02


def _fleet(routers, changes=(), failures=()):
    schedule = schedules.Schedule(
        routers,
        tuple(changes),
        tuple(failures),
        domains=5 if routers > 100 else 3,
    )
    fleet = virtualfleet.Fleet(schedule)
    fleet.set_up()
    return fleet


def _run(fleet, until):
    fleet.scheduler.run(virtualtime.START + until)


def _counts(fleet, numbers=None):
    now = fleet.scheduler.now
    return [
        router.peers.running_count(now)
        for number, router in fleet.routers.items()
        if numbers is None or number in numbers
    ]


def _calls(routers):
    """Return the store calls of a start, and of four seconds of changes."""
    changes = [Change(5.0 + 0.5 * n, ENDPOINTS) for n in range(8)]
    changes += [Change(5.1, TABLE), Change(7.3, TABLE)]
    fleet = _fleet(routers, changes)
    _run(fleet, 5.0)
    at_start = fleet.store.calls
    _run(fleet, 10.0)
    assert all(fleet.all_know(source) for source in (TABLE, ENDPOINTS))
    assert not fleet.violations
    fleet.scheduler.kill()
    return at_start, fleet.store.calls - at_start


def test_store_calls_scale_with_changes_and_not_with_routers():
    """Failure: calls that follow the store are half of a fleet's cost.

    If every router reads the store itself, a change of one endpoint ends a
    long poll of each of 195 routers and starts the next one.
    """
    few = _calls(6)[1]
    for routers in (88, 195):
        at_start, later = _calls(routers)
        assert at_start <= 6 * routers
        # Five failure domains in place of three.
        assert later <= 2 * few


@pytest.mark.parametrize('routers', SIZES)
def test_running_routers_are_counted(routers):
    """Failure: a router counts 120 of 195 routers as running.

    Each router sends to six random others four times a second and expires
    after eight seconds without a message; many pairs don't meet in that time
    if receivers are chosen independently of it.
    """
    all_routers = tuple(range(routers))
    fleet = _fleet(
        routers, failures=[Failure('lossy', 0.0, 20.0, all_routers)]
    )
    for until in (7.0, 8.5):
        _run(fleet, until)
        errors = [abs(count - routers) for count in _counts(fleet)]
        assert sorted(errors)[len(errors) * 9 // 10] <= max(
            1, MAX_COUNT_ERROR * routers
        )
    fleet.scheduler.kill()


@pytest.mark.parametrize('routers', SIZES)
def test_stopped_routers_are_not_counted(routers):
    """Failure: the retry budget is divided among routers that have stopped."""
    fleet = _fleet(routers)
    _run(fleet, 5.0)
    stopped = range(0, routers, 3)
    for number in stopped:
        fleet.kill(number)
    _run(fleet, 5.0 + STOPPED_WITHIN_SECONDS)
    remaining = routers - len(stopped)
    errors = [abs(count - remaining) for count in _counts(fleet)]
    assert max(errors) <= max(1, MAX_COUNT_ERROR * routers)
    fleet.scheduler.kill()


def test_partitioned_domain_is_counted_again():
    partitioned = tuple(range(0, 90, 3))
    fleet = _fleet(90, failures=[Failure('cut', 6.0, 6.0, partitioned)])
    _run(fleet, 11.9)
    assert max(_counts(fleet, set(range(90)) - set(partitioned))) <= 60
    _run(fleet, 16.0)
    assert min(_counts(fleet)) >= 90 * (1 - MAX_COUNT_ERROR)
    fleet.scheduler.kill()


@pytest.mark.parametrize('kind', ('restart', 'frozen', 'isolated', 'cut'))
def test_readers_of_a_domain_that_fail_together_are_replaced(kind):
    """Failure: both routers that read the store for their domain fail.

    Changes during the failure still reach all others in time.
    """
    readers = (0, 12)
    failures = [Failure(kind, 7.9, 6.0, readers)]
    changes = [Change(8.0, ENDPOINTS), Change(8.2, TABLE), Change(10.0, TABLE)]
    fleet = _fleet(30, changes, failures)
    _run(fleet, 20.0)
    assert not fleet.violations
    fleet.scheduler.kill()


def test_change_lost_in_gossip_is_read_from_the_store():
    """Failure: one router acts on old endpoints until the next change.

    All datagrams with a change are lost, and the next change follows a
    version that the router does not have; only the version shows the gap.
    """
    lossy = tuple(range(9, 30))
    failures = [Failure('lossy', 7.0, 8.0, lossy)]
    changes = [Change(8.0 + 0.3 * n, ENDPOINTS) for n in range(20)]
    fleet = _fleet(30, changes, failures)
    _run(fleet, 24.0)
    assert not fleet.violations
    assert fleet.all_know(ENDPOINTS)
    fleet.scheduler.kill()


def test_third_of_routers_without_store_does_not_make_all_poll():
    """Failure: all routers poll the store when 20 of 60 can't reach it."""
    changes = [Change(7.0 + 0.5 * n, ENDPOINTS) for n in range(10)]
    calm = _fleet(60, changes)
    _run(calm, 16.0)
    calm.scheduler.kill()
    refused = tuple(range(20))
    failures = [Failure('unreachable', 6.0, 6.0, refused)]
    fleet = _fleet(60, changes, failures)
    _run(fleet, 20.0)
    assert not fleet.violations
    fleet.scheduler.kill()
    assert fleet.store.calls <= calm.store.calls + 20 * len(refused)


def test_one_router_without_store_does_not_make_all_poll():
    """Failure: all routers poll the store when one of 60 can't reach it."""
    calm = _fleet(60)
    _run(calm, 16.0)
    calm.scheduler.kill()
    failures = [Failure('unreachable', 6.0, 6.0, (50,))]
    fleet = _fleet(60, failures=failures)
    _run(fleet, 16.0)
    fleet.scheduler.kill()
    assert fleet.store.calls <= calm.store.calls + 30


@pytest.mark.parametrize('seed', range(SEEDS))
def test_random_schedules(seed):
    schedule = schedules.draw_large(seed)
    violations, _ = virtualfleet.simulate(schedule)
    assert not violations, schedule


@pytest.mark.parametrize('routers', (3, 6, 91, 195))
def test_leave_that_one_router_was_told_is_known_to_all(routers):
    """Guards against requests to an endpoint that told one router it leaves.

    A third of all datagrams is lost.
    """
    lossy = Failure('lossy', 0.0, 20.0, tuple(range(routers)))
    fleet = _fleet(routers, failures=[lossy])
    _run(fleet, 5.0)
    told = fleet.routers[0]
    endpoint = told.view.snapshot.endpoints['x']
    told.directory.on_leaving_report(
        directory.LeavingReport(endpoint.id, endpoint.started)
    )
    _run(fleet, 5.0 + KNOWN_WITHIN_SECONDS)
    for router in fleet.routers.values():
        assert router.view.snapshot.is_leaving(endpoint)
    fleet.scheduler.kill()
