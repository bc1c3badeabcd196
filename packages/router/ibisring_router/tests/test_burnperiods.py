"""Merged periods say what their parts said, and miss nothing."""

import collections

from hypothesis import given
from hypothesis import strategies
import pytest

from ibisring_policy import burn
from ibisring_records import configuration
from ibisring_records import exceptions
from ibisring_router import burnkeeping
from ibisring_router import burnperiods
from ibisring_router.tests import builders
from ibisring_standins import faults
from ibisring_standins import memory

PRESENT = 3_000_000
NOW = PRESENT * burnperiods.PERIOD_SECONDS + 300.0
SETTLED = PRESENT - 2
DAY = range(PRESENT - burnperiods.PERIOD_COUNT, PRESENT + 1)


class CountingObjects(memory.MemoryObjects):
    """Counts what is read, and can lose one object."""

    def __init__(self):
        super().__init__()
        self.gets = 0
        self.unreadable = ''

    def get(self, name):
        self.gets += 1
        if name == self.unreadable:
            raise exceptions.PlatformUnavailable('slow')
        return super().get(name)


@pytest.fixture
def store():
    return CountingObjects()


def every(period):
    return True


def keep(periods, period, instance, total, good=0):
    minutes = {str(period * burn.PERIOD_MINUTES): {'class/x': [total, good]}}
    periods.put(period, instance, minutes)


def totals(periods):
    """Give all tallies of the day, and what was not reached."""
    found = collections.Counter()
    unreached = []
    for period in DAY:
        read = periods.read(period, NOW)
        unreached.extend(read.unreached)
        for minute, tallies in burn.merge(read.parts).items():
            for key, tally in tallies.items():
                found[minute, key, 'total'] += tally.total
                found[minute, key, 'good'] += tally.good
    return found, unreached


def merge_all(periods):
    while periods.merge_next(NOW, every) is not None:
        pass


@given(
    strategies.dictionaries(
        strategies.tuples(
            strategies.sampled_from(DAY), strategies.sampled_from('abc')
        ),
        strategies.tuples(
            strategies.integers(0, 9), strategies.integers(0, 9)
        ),
    )
)
def test_merging_changes_no_report(kept):
    periods = burnperiods.PeriodStore(CountingObjects())
    for (period, instance), (total, good) in kept.items():
        keep(periods, period, instance, total, good)
    before = totals(periods)
    merge_all(periods)
    assert totals(periods) == before
    assert before[0].total() == sum(t + g for t, g in kept.values())


def test_merged_period_is_read_at_once(store):
    periods = burnperiods.PeriodStore(store)
    for number in range(50):
        keep(periods, SETTLED, f'process-{number}', 1)
    merge_all(periods)
    store.gets = 0
    read = periods.read(SETTLED, NOW)
    assert store.gets == 1
    assert (
        read.parts[0][str(SETTLED * burn.PERIOD_MINUTES)]['class/x'].total
        == 50
    )


def test_period_is_merged_whole_or_not_at_all(store):
    """Symptom: a report of last night lacks what one VM counted.

    Sequence: an object can't be read while its period is merged.
    Cause: the merged object, made without it, stood in for it for ever.
    """
    periods = burnperiods.PeriodStore(store)
    keep(periods, SETTLED, 'a', 1)
    keep(periods, SETTLED, 'b', 2)
    store.unreadable = f'burn/{SETTLED}/b'
    with pytest.raises(exceptions.PlatformUnavailable):
        periods.merge_next(NOW, every)
    store.unreadable = ''
    assert periods.merge_next(NOW, every) == SETTLED
    assert sum(totals(periods)[0].values()) == 3


def test_period_that_processes_still_write_is_not_merged(store):
    periods = burnperiods.PeriodStore(store)
    keep(periods, PRESENT - 1, 'a', 1)
    merge_all(periods)
    keep(periods, PRESENT - 1, 'a', 2)
    assert sum(totals(periods)[0].values()) == 2
    assert PRESENT - 1 not in periods.merged


def test_report_during_an_outage_says_which_periods_it_lacks(store):
    periods = burnperiods.PeriodStore(store)
    store.faults = faults.PlatformFaults(down=True)
    found, unreached = totals(periods)
    assert not found
    assert len(unreached) == len(DAY)


def test_tallies_of_an_outage_are_kept_when_it_ends(store):
    """Symptom: the report shows nothing bad in the worst half hour.

    Sequence: the object store is down while requests fail; it comes back
    in a later period.
    Cause: only the last tallies were written.
    """
    now = [NOW]
    periods = burnperiods.PeriodStore(store)
    keeper = burnkeeping.BurnKeeper(
        None, periods, builders.metrics(), lambda: now[0]
    )
    members = {burn.Group.CLASS: 'x'}
    in_force = configuration.build(1, [])
    store.faults = faults.PlatformFaults(down=True)
    for number in range(4):
        now[0] = NOW + number * burnperiods.PERIOD_SECONDS
        keeper.book.count(in_force, members, 0.1, True, now[0])
        keeper.keep()
    store.faults = faults.PlatformFaults()
    keeper.merge(every)
    assert not periods.merged
    keeper.keep()
    parts = [periods.read(PRESENT + n, NOW).parts for n in range(4)]
    assert [len(part) for part in parts] == [1, 1, 1, 1]
    now[0] += burnkeeping.QUIET_SECONDS
    keeper.merge(every)
    assert periods.merged
