"""Tests of routers that rely on others to read the store, in virtual time."""

import itertools

import pytest

from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualfleet
from ibisring_gateway.tests import virtualtime
from ibisring_policy.gateway import freshness

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


# Seconds after the store has a change within which all routers with a path to
# it know it.
KNOWN_WITHIN_SECONDS = 1.5


def _seconds_until_known(fleet, changes):
    """Return how long those that nothing is wrong with take to know all."""
    hit = {n for each in fleet.schedule.failures for n in each.affected}
    others = set(range(fleet.schedule.routers)) - hit
    worst = 0.0
    for change in sorted(changes, key=lambda each: each.at):
        until = change.at
        while until < change.at + 2 * KNOWN_WITHIN_SECONDS:
            until += 0.02
            _run(fleet, until)
            last = fleet.store.acknowledged[change.source][-1][1]
            if all(
                fleet.routers[number].versions()[change.source] >= last
                for number in others
            ):
                break
        worst = max(worst, until - change.at)
    return worst


SIZES = [(3, 1), (6, 2), (30, 3), (91, 3), (195, 5)]
# Times of the changes after the readers have failed.
LAGS = {
    'restart': 0.02,
    'frozen': 0.25,
    'isolated': 0.6,
    'cut': 1.0,
    'unreachable': 0.1,
    schedules.SLOW: 0.4,
}
# A fleet of this size is run with one of these only.
LARGE = 90


@pytest.mark.parametrize('kind', LAGS)
@pytest.mark.parametrize(('routers', 'domains'), SIZES)
def test_change_is_known_in_time_whichever_readers_fail(
    routers, domains, kind
):
    """Guards against a change that waits until a reader counts as lost."""
    readers = _readers(routers, domains)
    for lag in [LAGS[kind]] if routers > LARGE else LAGS.values():
        changes = [
            Change(CALM_AT + lag + 0.02 * number, source)
            for number, source in enumerate((TABLE, ENDPOINTS, REMOVAL))
        ]
        failure = Failure(kind, CALM_AT, 3.5, readers)
        fleet = _fleet(routers, changes, [failure], domains)
        seconds = _seconds_until_known(fleet, changes)
        fleet.scheduler.kill()
        assert seconds <= KNOWN_WITHIN_SECONDS, lag


@pytest.mark.parametrize('bound_ms', (1200.0, 4000.0))
def test_bound_follows_the_settings(bound_ms, monkeypatch):
    """Guards against a bound beside the one in the settings."""
    monkeypatch.setattr(freshness, 'USUAL_BOUND_MS', bound_ms)
    readers = _readers(6, 1)
    within = freshness.make_freshness(bound_ms).bound
    seconds = []
    for lag in LAGS.values():
        change = Change(CALM_AT + lag, REMOVAL)
        failure = Failure('frozen', CALM_AT, 6.0, readers)
        fleet = _fleet(6, [change], [failure], domains=1)
        seconds.append(_seconds_until_known(fleet, [change]))
        fleet.scheduler.kill()
    assert max(seconds) <= within


# Reads that the store allows all routers together in a second, by the site
# files, and the most of the routers without a reader that may make one at
# about the same time.
READS_PER_SECOND = 2000
AT_ONCE_SHARE = 0.5
AT_ONCE_SECONDS = 0.1


@pytest.mark.parametrize(('routers', 'domains'), [(30, 1), (91, 1), (91, 3)])
def test_routers_without_readers_call_in_an_order(routers, domains):
    """Guards against a whole domain that calls the store at the same time."""
    failure = Failure('frozen', CALM_AT, 3.5, _readers(routers, domains))
    fleet = _fleet(routers, [], [failure], domains)
    _run(fleet, CALM_AT)
    counts = []
    for step in range(60):
        before = fleet.store.calls
        _run(fleet, CALM_AT + AT_ONCE_SECONDS * (step + 1))
        counts.append(fleet.store.calls - before)
    fleet.scheduler.kill()
    per_second = round(1.0 / AT_ONCE_SECONDS)
    sums = [sum(counts[n : n + per_second]) for n in range(len(counts))]
    assert max(sums) <= READS_PER_SECOND
    # They read two tables.
    assert max(counts) <= 2 * AT_ONCE_SHARE * routers
