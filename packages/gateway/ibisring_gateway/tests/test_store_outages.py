"""Tests of the state of routers after store failures, in virtual time.

Guaranteed: a router that, like the store, has had no failure for three
seconds acts on no version older than one that the store acknowledged two
seconds ago.  No router ever goes back to an older version.
"""

import itertools

import pytest

from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualfleet

# Random schedules per run of the tests; some thousands are run by hand.
SEEDS = 40
# Seconds after the store's return, including one step of the simulation,
# within which every router knows the writes accepted since.
KNOWN_WITHIN_SECONDS = 1.5

Change = schedules.Change
Failure = schedules.Failure
TABLE = schedules.TABLE
ENDPOINTS = schedules.ENDPOINTS


def _schedule(routers, changes, *failures, source=TABLE):
    changes = tuple(Change(at, source) for at in changes)
    return schedules.Schedule(routers, changes, failures)


def _violations(schedule):
    return virtualfleet.simulate(schedule)[0]


def test_change_confirmed_after_an_outage_is_known_in_time():
    """Failure: 404 on a route that was confirmed over two seconds before.

    All routers start a long poll just before the store stops answering for
    six seconds.  These calls are never answered and end only by their own
    timeout, 5.4 s later, so that no router notices the store's return and
    the changes confirmed since for up to 5 s.  Calls to a failing store must
    therefore not wait.
    """
    silence = Failure('silent', 5.0, 6.0)
    changes = (4.9, 11.6, 11.7, 11.8, 12.1, 14.1)
    assert not _violations(_schedule(6, changes, silence))


@pytest.mark.parametrize(
    'schedule',
    [
        _schedule(4, (13.2,), Failure('silent', 8.8, 4.3)),
        _schedule(5, (8.6, 11.8), Failure('silent', 11.7, 6.7)),
        _schedule(5, (13.0, 14.6), Failure('silent', 13.5, 1.1)),
        _schedule(
            5, (8.6, 11.8), Failure('silent', 11.7, 6.7), source=ENDPOINTS
        ),
        _schedule(6, (3.5,), Failure('silent', 3.2, 0.4), source=ENDPOINTS),
    ],
    ids=('returns', 'just_begun', 'short', 'endpoints', 'just_started'),
)
def test_schedules_that_failed_before(schedule):
    """As above; found by random search, then minimized."""
    assert not _violations(schedule)


def test_stale_state_reverts_nothing():
    """Failure: a router goes back to the endpoints of seconds before.

    The store serves stale state and some routers know a newer version, but
    endpoints read from the store are applied regardless of their version.
    """
    old = Failure('old', 3.1, 6.0)
    schedule = _schedule(3, (2.0, 5.9), old, source=ENDPOINTS)
    assert not _violations(schedule)


@pytest.mark.parametrize('routers', (1, 2, 3, 6))
def test_end_of_outage_is_noticed_in_time(routers):
    """Changes are known in time whatever state the calls were in."""
    for seconds, lead in itertools.product(
        (0.3, 0.7, 1.9, 3.1, 6.3), (0.02, 0.4, 1.3, 2.9, 4.7)
    ):
        silence = Failure('silent', 8.0, seconds)
        changes = (8.0 - lead, silence.ends_at - 0.02)
        schedule = _schedule(routers, changes, silence)
        # The store accepts pending writes just after its return.
        since = silence.ends_at + 0.06
        delay = virtualfleet.seconds_until_known(schedule, TABLE, since)
        assert delay <= KNOWN_WITHIN_SECONDS, schedule


@pytest.mark.parametrize('kind', schedules.STORE_KINDS)
@pytest.mark.parametrize('routers', (1, 3))
def test_store_failures_of_any_length(kind, routers):
    """Failures of many lengths, with a change just before and just after."""
    lengths = (0.3, 0.9, 1.5, 2.3, 3.1, 4.7, 6.3)
    for seconds, lag in itertools.product(lengths, (0.2, 1.1)):
        failure = Failure(kind, 5.0, seconds)
        schedule = _schedule(routers, (4.9, 5.0 + seconds + lag), failure)
        assert not _violations(schedule), schedule


@pytest.mark.parametrize('kind', schedules.ROUTER_KINDS)
def test_router_failure_during_store_outage(kind):
    silence = Failure('silent', 5.0, 3.0)
    for at, seconds in itertools.product((4.0, 5.5, 7.5), (0.8, 3.5)):
        failure = Failure(kind, at, seconds, (1,))
        schedule = _schedule(3, (4.9, 8.2, 9.0), silence, failure)
        assert not _violations(schedule), schedule


@pytest.mark.parametrize('seed', range(SEEDS))
def test_random_schedules(seed):
    schedule = schedules.draw(seed)
    assert not _violations(schedule), schedule


@pytest.mark.parametrize(
    ('routers', 'seconds'),
    [
        (3, 0.05),
        (3, 3.0),
        (6, 0.05),
        (6, 0.5),
        (6, 3.0),
        (91, 0.5),
        (195, 0.5),
    ],
)
def test_changes_after_the_store_lost_writes_are_known(routers, seconds):
    """Guards against dropping what a restored store says as outdated."""
    restore = Failure(schedules.RESTORE, 8.0, seconds)
    end = restore.ends_at
    lost = [Change(7.0 + 0.2 * n, ENDPOINTS) for n in range(4)]
    lost += [Change(7.9, TABLE)]
    changes = [Change(end + at, ENDPOINTS) for at in (0.1, 1.4, 3.2, 5.0)]
    changes += [Change(end + at, TABLE) for at in (0.2, 3.1)]
    schedule = schedules.Schedule(
        routers,
        tuple(lost + changes),
        (restore,),
        domains=5 if routers > 100 else 3,
    )
    assert not _violations(schedule)


@pytest.mark.parametrize('kind', ('busy', 'reset', schedules.RESTORE))
def test_end_of_an_outage_is_noticed_by_a_large_fleet(kind):
    """Guards against routers that all wait for the same moment to retry."""
    failure = Failure(kind, 8.0, 3.0)
    changes = [Change(7.0 + 0.2 * n, ENDPOINTS) for n in range(4)]
    changes += [Change(at, TABLE) for at in (7.9, 11.2, 14.1)]
    changes += [Change(at, ENDPOINTS) for at in (11.1, 12.4, 14.2, 16.0)]
    schedule = schedules.Schedule(91, tuple(changes), (failure,))
    assert not _violations(schedule)


def test_store_that_loses_writes_twice_is_followed():
    """Guards against a router that missed an era staying behind."""
    restores = [Failure(schedules.RESTORE, at, 0.4) for at in (8.0, 11.0)]
    frozen = Failure('frozen', 7.9, 4.5, (1,))
    changes = (7.0, 7.5, 9.0, 10.5, 12.0, 13.0, 16.0)
    schedule = _schedule(6, changes, *restores, frozen, source=ENDPOINTS)
    assert not _violations(schedule)
