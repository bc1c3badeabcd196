"""A router that leaves releases all leases whose rows are still its own."""

import msgspec
import pytest

from ibisring_policy import leases
from ibisring_router import reconciling
from ibisring_standins import faults
from ibisring_standins import memory

LEASE_SECONDS = 6.0
AFTER_EXPIRY = 2 * LEASE_SECONDS


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def table():
    return memory.MemoryTable()


@pytest.fixture
def start(table, clock):
    """Return a function that starts lease actors; they stop after the test."""
    started = []

    def start_actor(own_id):
        actor = reconciling.LeaseActor.start(
            own_id, LEASE_SECONDS, table, table, clock
        )
        started.append(actor)
        return actor

    yield start_actor
    for actor in started:
        actor.stop()


def holders(table):
    rows = table.scan(reconciling.LEASE_PREFIX)
    return {msgspec.convert(r.value, leases.LeaseRow).holder for r in rows}


def test_expired_leases_are_released(table, clock, start):
    """A shutdown releases leases that expired during its last writes.

    If the last write of the burn report takes longer than a lease lasts, and
    only held leases are released, other routers wait for a full lease before
    they send orders.
    """
    leaving = start('leaver')
    leaving.ask(reconciling.RunRound(['leaver']))
    assert holders(table) == {'leaver'}
    clock.now = AFTER_EXPIRY
    leaving.ask(reconciling.ReleaseLeases())
    assert holders(table) == {leases.NO_HOLDER}
    remaining = start('stayer')
    remaining.ask(reconciling.RunRound(['stayer']))
    assert holders(table) == {'stayer'}


def test_release_after_a_lost_answer(table, start):
    """Leases are released although the answer to a renewal was lost.

    The renewal changed the row's version, so a release that expects the
    version known before it would fail.
    """
    leaving = start('leaver')
    leaving.ask(reconciling.RunRound(['leaver']))
    for row in table.scan(reconciling.LEASE_PREFIX):
        table.commit({row.key: row.version}, {row.key: row.value})
    leaving.ask(reconciling.ReleaseLeases())
    assert holders(table) == {leases.NO_HOLDER}


def test_release_during_an_outage_returns_the_unreleased_shares(table, start):
    leaving = start('leaver')
    leaving.ask(reconciling.RunRound(['leaver']))
    table.faults = faults.PlatformFaults(down=True)
    unreleased = leaving.ask(reconciling.ReleaseLeases())
    assert unreleased == list(range(reconciling.SHARE_COUNT))
    table.faults = faults.PlatformFaults(lose_answers=3)
    assert leaving.ask(reconciling.ReleaseLeases()) == []
    assert holders(table) == {leases.NO_HOLDER}


def test_release_keeps_rows_of_a_later_process_with_the_same_id(
    table, clock, start
):
    """Two routers never send orders to the same engine.

    A leaving process pauses while a new one with its id acquires the expired
    leases; then the old one resumes and releases.  The id alone does not show
    whose row it is.
    """
    old, new = start('vm-1'), start('vm-1')
    old.ask(reconciling.RunRound(['vm-1']))
    new.ask(reconciling.RunRound(['vm-1']))
    clock.now = AFTER_EXPIRY
    new.ask(reconciling.RunRound(['vm-1']))
    held = new.ask(reconciling.GetLeases())
    assert all(lease.holds(clock.now) for lease in held.values())
    old.ask(reconciling.ReleaseLeases())
    assert holders(table) == {'vm-1'}
