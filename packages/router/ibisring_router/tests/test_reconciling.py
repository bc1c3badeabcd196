"""A router that leaves hands over every lease that is still its own."""

import msgspec
import pytest

from ibisring_policy import leases
from ibisring_router import reconciling
from ibisring_standins import faults
from ibisring_standins import memory

SECONDS = 6.0
LAPSED = 2 * SECONDS


class Clock:
    """A clock moved by hand."""

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
    """Start lease actors, and stop them in the end."""
    started = []

    def start_one(own_id):
        actor = reconciling.LeaseActor.start(
            own_id, SECONDS, table, table, clock
        )
        started.append(actor)
        return actor

    yield start_one
    for actor in started:
        actor.stop()


def holders(table):
    rows = table.scan(reconciling.LEASE_PREFIX)
    return {msgspec.convert(r.value, leases.LeaseRow).holder for r in rows}


def test_lapsed_leases_are_handed_over(table, clock, start):
    """Symptom: after a clean shutdown no router orders for a lease's time.

    Sequence: SIGTERM; the last write of the burn report takes longer than
    the leases last; the release comes after it.
    Cause: only leases still held were released.
    """
    leaver = start('leaver')
    leaver.ask(reconciling.RunRound(['leaver']))
    assert holders(table) == {'leaver'}
    clock.now = LAPSED
    leaver.ask(reconciling.ReleaseLeases())
    assert holders(table) == {leases.NO_HOLDER}
    stayer = start('stayer')
    stayer.ask(reconciling.RunRound(['stayer']))
    assert holders(table) == {'stayer'}


def test_release_after_a_lost_answer(table, start):
    """Symptom: some leases of a router that left are waited out.

    Sequence: the answer to its last renewal is lost; it releases.
    Cause: it wrote over a version that had gone.
    """
    leaver = start('leaver')
    leaver.ask(reconciling.RunRound(['leaver']))
    for row in table.scan(reconciling.LEASE_PREFIX):
        table.commit({row.key: row.version}, {row.key: row.value})
    leaver.ask(reconciling.ReleaseLeases())
    assert holders(table) == {leases.NO_HOLDER}


def test_release_during_an_outage_says_what_is_left(table, start):
    leaver = start('leaver')
    leaver.ask(reconciling.RunRound(['leaver']))
    table.faults = faults.PlatformFaults(down=True)
    left = leaver.ask(reconciling.ReleaseLeases())
    assert left == list(range(reconciling.SHARE_COUNT))
    table.faults = faults.PlatformFaults(lose_answers=3)
    assert leaver.ask(reconciling.ReleaseLeases()) == []
    assert holders(table) == {leases.NO_HOLDER}


def test_release_spares_a_later_process_of_the_same_id(table, clock, start):
    """Symptom: two routers order the same engine about.

    Sequence: a leaving process is paused; a new one of its id waits its
    leases out and takes them; the old one goes on and releases.
    Cause: the id alone said whose row it was.
    """
    old, new = start('vm-1'), start('vm-1')
    old.ask(reconciling.RunRound(['vm-1']))
    new.ask(reconciling.RunRound(['vm-1']))
    clock.now = LAPSED
    new.ask(reconciling.RunRound(['vm-1']))
    held = new.ask(reconciling.GetLeases())
    assert all(lease.holds(clock.now) for lease in held.values())
    old.ask(reconciling.ReleaseLeases())
    assert holders(table) == {'vm-1'}
