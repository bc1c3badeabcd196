"""Tests of when a router calls the store and how long a call waits."""

import pytest

from ibisring_policy.gateway import polling

ROUTES = 'routes'
ENDPOINTS = 'endpoints'
SIX = polling.Fleet(6, 0, 6)


def _polling(now=10.0):
    made = polling.make_polling([ROUTES, ENDPOINTS], lambda: 0.5)
    for name in (ROUTES, ENDPOINTS):
        made.answered(name, now, False)
    return made


def _try(made, name, now, fleet=SIX):
    """Make a try without an answer; give when the next may begin."""
    assert made.begin_call(name, now, fleet) == 0.0
    made.failed(name, now + polling.TRY_SECONDS, fleet)
    now += polling.TRY_SECONDS
    return now + min(made.delay(ROUTES, now), made.delay(ENDPOINTS, now))


@pytest.mark.parametrize('count', (1, 2, 6, 30, 83, 300))
def test_calls_of_the_fleet_do_not_grow_with_it(count):
    """Load: routers that follow a table in which nothing changes."""
    made = _polling()
    fleet = polling.Fleet(count, 0, count)
    made.begin_call(ROUTES, 10.0, fleet)
    made.answered(ROUTES, 11.0, False)
    every = made.begin_call(ROUTES, 11.0, fleet) / count
    wanted = min(
        polling.CALL_INTERVAL_SECONDS, polling.MAX_WAIT_SECONDS / count
    )
    assert every == pytest.approx(wanted)


@pytest.mark.parametrize('count', (1, 3, 6, 88))
def test_calls_that_begin_together_do_not_end_together(count):
    """Symptom: the whole fleet hangs on a silent store until one moment.

    Sequence: all routers read a change and call anew at the same time.
    Cause: all of these calls waited equally long.
    """
    ends = []
    for rank in range(count):
        made = _polling()
        made.answered(ROUTES, 10.0, True)
        ends.append(made.begin_call(ROUTES, 10.0, polling.Fleet(count, rank)))
    gaps = [after - before for before, after in zip([0.0, *ends], ends)]
    assert max(gaps) <= polling.CALL_INTERVAL_SECONDS + 1e-9


def test_calls_are_spread_once_the_routers_know_each_other():
    """Symptom: three seconds after a silence of 0.4 s no router is up to date.

    Sequence: six routers start and begin their calls together; they hear of
    each other; nothing changes until the store falls silent.
    Cause: calls were spread after a change only, and by the fleet known then.
    """
    alone = polling.Fleet(1, 0)
    ends = []
    for rank in range(6):
        made = _polling()
        made.begin_call(ROUTES, 10.0, alone)
        made.answered(ROUTES, 11.0, False)
        ends.append(made.begin_call(ROUTES, 11.0, polling.Fleet(6, rank)))
    gaps = [after - before for before, after in zip([0.0, *ends], ends)]
    assert max(gaps) <= polling.CALL_INTERVAL_SECONDS + 1e-9


def test_a_call_does_not_wait_on_a_store_in_trouble():
    """Symptom: a router acts on an old table for seconds after an outage.

    Sequence: a call fails; the next one begins while the store is silent.
    Cause: it waited for changes as on a calm store, and for an answer that
    could not come.
    """
    made = _polling()
    made.begin_call(ROUTES, 10.0, SIX)
    made.failed(ROUTES, 15.4, SIX)
    assert made.begin_call(ROUTES, 15.5, SIX) == 0.0
    made.answered(ROUTES, 15.6, False)
    assert made.begin_call(ROUTES, 15.6, SIX) > 0.0


def test_a_failure_ends_the_other_call_too():
    made = _polling()
    made.begin_call(ROUTES, 10.0, SIX)
    made.begin_call(ENDPOINTS, 10.0, SIX)
    assert made.failed(ROUTES, 15.4, SIX) == [ENDPOINTS]
    assert made.is_failing(ENDPOINTS)
    assert made.answered(ROUTES, 15.6, False) == [ENDPOINTS]
    assert made.delay(ENDPOINTS, 15.6) == 0.0


def test_a_short_call_is_not_ended():
    """A slow store would otherwise never be waited for long enough."""
    made = _polling()
    made.failed(ROUTES, 15.4, SIX)
    made.begin_call(ROUTES, 15.5, SIX)
    assert made.outage_suspected(15.6) == []


def test_a_return_is_noticed_within_a_try_and_a_pause():
    """Each router by itself, whenever in its tries the store returns."""
    made = _polling()
    now = 20.0
    made.failed(ROUTES, now, SIX)
    begins = []
    for number in range(20):
        begins.append(now)
        now = _try(made, (ROUTES, ENDPOINTS)[number % 2], now)
    gaps = [after - before for before, after in zip(begins, begins[1:])]
    assert max(gaps) < 1.5


def test_the_tables_take_turns_while_the_store_is_away():
    """Load: six routers and a silent store; one try a router, not two."""
    made = _polling()
    made.failed(ROUTES, 15.0, SIX)
    made.begin_call(ROUTES, 15.1, SIX)
    assert made.delay(ENDPOINTS, 15.1) >= polling.TRY_SECONDS
    made.failed(ROUTES, 15.7, SIX)
    assert made.delay(ENDPOINTS, 15.7) < made.delay(ROUTES, 15.7)


def test_tries_of_a_large_fleet_are_spread():
    """Load: 88 and 380 routers before a store that is away."""
    for count in (88, 380):
        made = _polling()
        fleet = polling.Fleet(count, 0, count)
        made.failed(ROUTES, 15.0, fleet)
        now = 15.1
        for _ in range(20):
            begun = now
            now = _try(made, ROUTES, now, fleet)
        assert count / (now - begun) <= 120.0


def test_a_router_that_knows_nothing_asks_soon_again():
    """Symptom: after the store's return nobody is served for 1.5 s.

    Sequence: all routers are killed while the store is down; it returns.
    Cause: the pause between tries grew as for one that serves meanwhile.
    """
    made = polling.make_polling([ROUTES, ENDPOINTS], lambda: 1.0)
    for _ in range(20):
        made.failed(ROUTES, 10.0, SIX)
    pause = made.delay(ROUTES, 10.0)
    assert pause <= polling.MOST_FIRST_RETRY + 1e-9
    assert made.delay(ENDPOINTS, 10.0) == 0.0


def test_a_loss_that_was_answered_since_is_no_sign():
    """Load: 88 routers that lose and regain the store together.

    Each hears of the loss from all others, from the last one fifteen seconds
    later; it called the store anew each time.
    """
    made = _polling(10.0)
    made.begin_call(ROUTES, 10.0, SIX)
    assert made.outage_reported(9.9) == []
    assert made.outage_reported(11.0) == [ROUTES]
    assert made.is_failing(ENDPOINTS)
    made.answered(ROUTES, 11.2, False)
    made.begin_call(ROUTES, 11.2, SIX)
    assert made.outage_reported(11.1) == []


def test_a_loss_is_told_from_its_first_sign():
    """Symptom: five of six routers hang after a silence of half a second.

    Sequence: one router's call ends without an answer, and its next one is
    answered before it tells the others anything.
    Cause: only what it knew at the moment of telling was told.
    """
    made = _polling(10.0)
    made.failed(ROUTES, 15.0, SIX)
    made.failed(ENDPOINTS, 15.1, SIX)
    made.outage_suspected(15.2)
    assert made.lost_at == 15.0
    made.answered(ROUTES, 15.3, False)
    made.answered(ENDPOINTS, 15.3, False)
    made.outage_reported(18.0)
    assert made.lost_at == 15.0


def test_a_return_told_by_another_router_is_tried_at_once():
    """Load: 88 routers, of which each tries every few seconds only."""
    made = _polling()
    fleet = polling.Fleet(88, 0, 88)
    now = 15.0
    made.failed(ROUTES, now, fleet)
    for _ in range(6):
        now = _try(made, ROUTES, now, fleet)
    made.begin_call(ROUTES, now, fleet)
    made.failed(ROUTES, now, fleet)
    assert made.delay(ROUTES, now) > polling.SPREAD_SECONDS
    assert made.recovery_reported(now) == [ROUTES, ENDPOINTS]
    assert made.delay(ENDPOINTS, now) <= polling.SPREAD_SECONDS


def test_the_pause_after_a_change_is_bounded():
    for count in (1, 6, 88, 380):
        pause = polling.change_pause(polling.Fleet(count, 0, count))
        assert polling.LEAST_PAUSE < pause <= polling.MOST_PAUSE
