"""Tests of when a router calls the store and how long a call waits."""

import pytest

from ibisring_policy.gateway import polling

ROUTES = 'routes'
ENDPOINTS = 'endpoints'
SIX = polling.Fleet(6, 0, 6)
CALLS = 5


def _polling(now=10.0):
    poller = polling.make_polling([ROUTES, ENDPOINTS], lambda: 0.5)
    for name in (ROUTES, ENDPOINTS):
        poller.answered(name, now, False)
    return poller


def _fail_try(poller, name, now, fleet=SIX):
    """Make a try without an answer; return when the next may begin."""
    assert poller.begin_call(name, now, fleet) == 0.0
    poller.failed(name, now + polling.TRY_SECONDS, fleet)
    now += polling.TRY_SECONDS
    return now + min(poller.delay(ROUTES, now), poller.delay(ENDPOINTS, now))


@pytest.mark.parametrize('count', (1, 2, 6, 30, 83, 300))
def test_the_rate_of_calls_is_independent_of_the_fleet_size(count):
    """Load: routers that follow a table in which nothing changes."""
    poller = _polling()
    fleet = polling.Fleet(count, 0, count)
    began_at = now = 10.0 + poller.begin_call(ROUTES, 10.0, fleet)
    for _ in range(CALLS):
        poller.answered(ROUTES, now, False)
        now += poller.begin_call(ROUTES, now, fleet)
    interval = (now - began_at) / CALLS / count
    expected = min(
        polling.CALL_INTERVAL_SECONDS, polling.MAX_WAIT_SECONDS / count
    )
    assert interval == pytest.approx(expected)


@pytest.mark.parametrize('count', (1, 3, 6, 88))
def test_calls_that_begin_together_end_at_different_times(count):
    """Symptom: the whole fleet hangs on an unresponsive store at once.

    Sequence: all routers read a change and call again at the same time.
    Cause: all of these calls waited equally long.
    """
    ends = []
    for rank in range(count):
        poller = _polling()
        poller.answered(ROUTES, 10.0, True)
        ends.append(
            poller.begin_call(ROUTES, 10.0, polling.Fleet(count, rank))
        )
    gaps = [after - before for before, after in zip([0.0, *ends], ends)]
    assert max(gaps) <= polling.CALL_INTERVAL_SECONDS + 1e-9


def test_calls_are_spread_once_the_routers_know_each_other():
    """Symptom: 3 s after the store paused for 0.4 s all routers are stale.

    Sequence: six routers start and begin their calls together; they learn of
    each other; nothing changes until the store stops responding.
    Cause: calls were spread after a change only, and by the fleet known then.
    """
    alone = polling.Fleet(1, 0)
    ends = []
    for rank in range(6):
        poller = _polling()
        poller.begin_call(ROUTES, 10.0, alone)
        poller.answered(ROUTES, 11.0, False)
        ends.append(poller.begin_call(ROUTES, 11.0, polling.Fleet(6, rank)))
    assert _longest_gap(ends) <= polling.CALL_INTERVAL_SECONDS + 1e-9


def _longest_gap(ends):
    ends = sorted(ends)
    return max(after - before for before, after in zip([0.0, *ends], ends))


def test_calls_are_apart_after_ranks_were_learned_one_by_one():
    """Failure: a store that went silent is noticed 2.5 s later."""
    first_views = ((2, 0), (4, 3), (4, 3), (3, 2), (5, 3), (4, 3))
    ends = []
    for rank, (callers, first_rank) in enumerate(first_views):
        poller = _polling()
        now = 10.0
        first = polling.Fleet(callers, first_rank)
        for fleet in (first, *[polling.Fleet(6, rank)] * 3):
            poller.answered(ROUTES, now, False)
            now += poller.begin_call(ROUTES, now, fleet)
        ends.append(now % (6 * polling.CALL_INTERVAL_SECONDS))
    assert _longest_gap(ends) <= polling.CALL_INTERVAL_SECONDS + 1e-9


def test_a_call_does_not_wait_for_changes_after_a_failure():
    """Symptom: a router acts on an old table for seconds after an outage.

    Sequence: a call fails; the next one begins while the store is down.
    Cause: it waited for changes as usual, and for an answer that could not
    come.
    """
    poller = _polling()
    poller.begin_call(ROUTES, 10.0, SIX)
    poller.failed(ROUTES, 15.4, SIX)
    assert poller.begin_call(ROUTES, 15.5, SIX) == 0.0
    poller.answered(ROUTES, 15.6, False)
    assert poller.begin_call(ROUTES, 15.6, SIX) > 0.0


def test_a_failed_call_ends_the_call_of_the_other_table():
    poller = _polling()
    poller.begin_call(ROUTES, 10.0, SIX)
    poller.begin_call(ENDPOINTS, 10.0, SIX)
    assert poller.failed(ROUTES, 15.4, SIX) == [ENDPOINTS]
    assert poller.is_failing(ENDPOINTS)
    assert poller.answered(ROUTES, 15.6, False) == [ENDPOINTS]
    assert poller.delay(ENDPOINTS, 15.6) == 0.0


def test_a_short_call_is_not_ended():
    """Failure: calls to a slow store never get the time to be answered."""
    poller = _polling()
    poller.failed(ROUTES, 15.4, SIX)
    poller.begin_call(ROUTES, 15.5, SIX)
    assert poller.outage_suspected(15.6) == []


def test_a_recovery_is_noticed_within_one_try_and_pause():
    """By each router itself, at whatever point of a try the store recovers."""
    poller = _polling()
    now = 20.0
    poller.failed(ROUTES, now, SIX)
    try_times = []
    for number in range(20):
        try_times.append(now)
        now = _fail_try(poller, (ROUTES, ENDPOINTS)[number % 2], now)
    gaps = [after - before for before, after in zip(try_times, try_times[1:])]
    assert max(gaps) < 1.5


def test_the_tables_alternate_during_an_outage():
    """Load: six routers in an outage; one try per router, not two."""
    poller = _polling()
    poller.failed(ROUTES, 15.0, SIX)
    poller.begin_call(ROUTES, 15.1, SIX)
    assert poller.delay(ENDPOINTS, 15.1) >= polling.TRY_SECONDS
    poller.failed(ROUTES, 15.7, SIX)
    assert poller.delay(ENDPOINTS, 15.7) < poller.delay(ROUTES, 15.7)


def test_tries_of_a_large_fleet_are_spread():
    """Load: 88 and 380 routers in an outage of the store."""
    for count in (88, 380):
        poller = _polling()
        fleet = polling.Fleet(count, 0, count)
        poller.failed(ROUTES, 15.0, fleet)
        now = 15.1
        for _ in range(20):
            begun = now
            now = _fail_try(poller, ROUTES, now, fleet)
        assert count / (now - begun) <= 120.0


def test_a_router_that_has_read_nothing_retries_soon():
    """Symptom: for 1.5 s after the store's recovery no request is served.

    Sequence: all routers are killed while the store is down; it recovers.
    Cause: the pause between tries grew as for a router that has the tables.
    """
    poller = polling.make_polling([ROUTES, ENDPOINTS], lambda: 1.0)
    for _ in range(20):
        poller.failed(ROUTES, 10.0, SIX)
    pause = poller.delay(ROUTES, 10.0)
    assert pause <= polling.MAX_INITIAL_RETRY_SECONDS + 1e-9
    assert poller.delay(ENDPOINTS, 10.0) == 0.0


def test_a_reported_outage_before_the_last_answer_is_ignored():
    """Load: an outage that affects 88 routers together.

    Each receives a report of it from all others, the last one fifteen seconds
    later, and called the store again each time.
    """
    poller = _polling(10.0)
    poller.begin_call(ROUTES, 10.0, SIX)
    assert poller.outage_reported(9.9) == []
    assert poller.outage_reported(11.0) == [ROUTES]
    assert poller.is_failing(ENDPOINTS)
    poller.answered(ROUTES, 11.2, False)
    poller.begin_call(ROUTES, 11.2, SIX)
    assert poller.outage_reported(11.1) == []


def test_an_outage_counts_from_its_first_sign():
    """Symptom: five of six routers hang after an outage of half a second.

    Sequence: one router's call ends without an answer, and its next one is
    answered before it sends the others anything.
    Cause: it sent only its state at the time of sending.
    """
    poller = _polling(10.0)
    poller.failed(ROUTES, 15.0, SIX)
    poller.failed(ENDPOINTS, 15.1, SIX)
    poller.outage_suspected(15.2)
    assert poller.lost_at == 15.0
    poller.answered(ROUTES, 15.3, False)
    poller.answered(ENDPOINTS, 15.3, False)
    poller.outage_reported(18.0)
    assert poller.lost_at == 15.0


def test_a_reported_recovery_is_tried_at_once():
    """Load: 88 routers, of which each tries only every few seconds."""
    poller = _polling()
    fleet = polling.Fleet(88, 0, 88)
    now = 15.0
    poller.failed(ROUTES, now, fleet)
    for _ in range(6):
        now = _fail_try(poller, ROUTES, now, fleet)
    poller.begin_call(ROUTES, now, fleet)
    poller.failed(ROUTES, now, fleet)
    assert poller.delay(ROUTES, now) > polling.RECOVERY_JITTER_SECONDS
    assert poller.recovery_reported(now) == [ROUTES, ENDPOINTS]
    assert poller.delay(ENDPOINTS, now) <= polling.RECOVERY_JITTER_SECONDS


def test_the_pause_after_a_change_is_bounded():
    for count in (1, 6, 88, 380):
        pause = polling.change_pause(polling.Fleet(count, 0, count))
        assert polling.MIN_PAUSE_SECONDS < pause <= polling.MAX_PAUSE_SECONDS
