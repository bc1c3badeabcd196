"""Merging periods neither loses nor changes tallies."""

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

CURRENT = 3_000_000
NOW = CURRENT * burnperiods.PERIOD_SECONDS + 300.0
SETTLED = CURRENT - 2
DAY = range(CURRENT - burnperiods.PERIOD_COUNT, CURRENT + 1)


class CountingObjects(memory.MemoryObjects):
    """Counts reads, and can make one object unreadable."""

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


def is_assigned(period):
    return True


def put_tally(periods, period, instance, total, good=0):
    minutes = {str(period * burn.PERIOD_MINUTES): {'class/x': [total, good]}}
    periods.put(period, instance, minutes)


def day_totals(periods):
    """Return all tallies of the day and the unreachable periods."""
    counts = collections.Counter()
    unreached = []
    for period in DAY:
        read = periods.read(period, NOW)
        unreached.extend(read.unreached)
        for minute, tallies in burn.merge(read.parts).items():
            for key, tally in tallies.items():
                counts[minute, key, 'total'] += tally.total
                counts[minute, key, 'good'] += tally.good
    return counts, unreached


def merge_all(periods):
    while periods.merge_next(NOW, is_assigned) is not None:
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
def test_merging_does_not_change_reports(stored):
    periods = burnperiods.PeriodStore(CountingObjects())
    for (period, instance), (total, good) in stored.items():
        put_tally(periods, period, instance, total, good)
    before = day_totals(periods)
    merge_all(periods)
    assert day_totals(periods) == before
    assert before[0].total() == sum(t + g for t, g in stored.values())


def test_merged_period_needs_one_read(store):
    periods = burnperiods.PeriodStore(store)
    for number in range(50):
        put_tally(periods, SETTLED, f'process-{number}', 1)
    merge_all(periods)
    store.gets = 0
    read = periods.read(SETTLED, NOW)
    assert store.gets == 1
    assert (
        read.parts[0][str(SETTLED * burn.PERIOD_MINUTES)]['class/x'].total
        == 50
    )


def test_period_is_merged_completely_or_not_at_all(store):
    """Failure: reports permanently lack what one VM counted.

    One of the objects can't be read while its period is merged; a merged
    object made without it would replace it from then on.
    """
    periods = burnperiods.PeriodStore(store)
    put_tally(periods, SETTLED, 'a', 1)
    put_tally(periods, SETTLED, 'b', 2)
    store.unreadable = f'burn/{SETTLED}/b'
    with pytest.raises(exceptions.PlatformUnavailable):
        periods.merge_next(NOW, is_assigned)
    store.unreadable = ''
    assert periods.merge_next(NOW, is_assigned) == SETTLED
    assert sum(day_totals(periods)[0].values()) == 3


def test_period_that_may_still_be_written_is_not_merged(store):
    periods = burnperiods.PeriodStore(store)
    put_tally(periods, CURRENT - 1, 'a', 1)
    merge_all(periods)
    put_tally(periods, CURRENT - 1, 'a', 2)
    assert sum(day_totals(periods)[0].values()) == 2
    assert CURRENT - 1 not in periods.merged


def test_report_during_an_outage_lists_unreached_periods(store):
    periods = burnperiods.PeriodStore(store)
    store.faults = faults.PlatformFaults(down=True)
    counts, unreached = day_totals(periods)
    assert not counts
    assert len(unreached) == len(DAY)


def test_tallies_of_an_outage_are_saved_when_it_ends(store):
    """Failure: the report lacks the failed requests of an outage.

    The object store is down while requests fail and recovers in a later
    period; the tallies of all periods since must be written then, not only
    those of the latest.
    """
    now = [NOW]
    periods = burnperiods.PeriodStore(store)
    keeper = burnkeeping.BurnKeeper(
        None, periods, builders.metrics(), lambda: now[0]
    )
    members = {burn.Group.CLASS: 'x'}
    active = configuration.build(1, [])
    store.faults = faults.PlatformFaults(down=True)
    for number in range(4):
        now[0] = NOW + number * burnperiods.PERIOD_SECONDS
        keeper.counter.count(active, members, 0.1, True, now[0])
        keeper.save()
    store.faults = faults.PlatformFaults()
    keeper.merge(is_assigned)
    assert not periods.merged
    keeper.save()
    parts = [periods.read(CURRENT + n, NOW).parts for n in range(4)]
    assert [len(part) for part in parts] == [1, 1, 1, 1]
    now[0] += burnkeeping.MERGE_DELAY_AFTER_FAILURE_SECONDS
    keeper.merge(is_assigned)
    assert periods.merged
