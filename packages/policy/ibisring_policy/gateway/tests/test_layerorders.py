"""Tests of whose turn it is to order, and of orders under way."""

import random

import hypothesis
from hypothesis import strategies

from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway.tests import builders as build


def test_nobody_acts_without_a_wish():
    turn = layerorders.make_lease('r1', 0.5)
    assert not turn.may_act(False, 10.0)
    assert not turn.may_act(True, 10.0)
    assert turn.may_act(True, 10.0 + layerorders.MAX_LEASE_DELAY_SECONDS)


def test_a_failing_store_is_not_asked_at_every_look():
    """Symptom: hundreds of calls to a store that turns the router away.

    Sequence: an engine is lost; the store answers 503; each look asks anew.
    Cause: only reads that succeeded were spaced out.
    """
    turn = layerorders.make_lease('r1', 0.0)
    turn.may_act(True, 10.0)
    acts = [turn.may_act(True, 10.0 + n * 0.1) for n in range(50)]
    assert sum(acts) <= 6


def test_another_holder_is_waited_out_by_the_own_clock():
    turn = layerorders.make_lease('r1', 0.0)
    row = layerorders.LeaseRow('r2', 4, 77)
    assert turn.next_row(row, 10.0) is None
    ends_at = 10.0 + layerorders.LEASE_TAKEOVER_SECONDS
    assert turn.next_row(row, ends_at - 0.1) is None
    claimed = turn.next_row(row, ends_at + 0.1)
    assert (claimed.holder, claimed.term, claimed.version) == ('r1', 5, 77)
    renewed = layerorders.LeaseRow('r2', 4, 78)
    assert turn.next_row(renewed, ends_at + 0.2) is None


def test_a_holder_that_was_killed_is_replaced_soon():
    """Symptom: a failure domain lacks layers for three seconds more.

    Sequence: the router that holds the lease is killed; an engine is lost.
    Cause: others waited for a lease of three seconds and read it once a
    second.
    """
    turn = layerorders.make_lease('r1', 0.0)
    row = layerorders.LeaseRow('r2', 4, 77)
    now, reads, claimed = 10.0, 0, None
    while claimed is None:
        if turn.may_act(True, now):
            reads += 1
            claimed = turn.next_row(row, now)
        now += 0.05
    assert now <= 10.0 + 1.5
    assert reads == 2


def test_a_lease_ends_for_its_holder_before_others_may_take_it():
    turn = layerorders.make_lease('r1', 0.0)
    turn.note_acquired(10.0)
    assert turn.is_held(10.0 + layerorders.LEASE_SECONDS - 0.1)
    assert not turn.is_held(10.0 + layerorders.LEASE_SECONDS)
    assert layerorders.LEASE_SECONDS < layerorders.LEASE_TAKEOVER_SECONDS


@hypothesis.given(strategies.integers(0, 10**6))
def test_two_routers_never_hold_the_lease_at_once(seed):
    """Routers that freeze, lose answers and race over one row.

    The oracle is the row itself: a write succeeds on its version only.
    """
    rng = random.Random(seed)
    names = ['r1', 'r2', 'r3']
    turns = {n: layerorders.make_lease(n, rng.random()) for n in names}
    row, now, version = None, 0.0, 0
    for _ in range(200):
        now += rng.choice((0.05, 0.3, 1.0))
        turn = turns[rng.choice(names)]
        if turn.is_held(now):
            continue
        asked = now
        wanted = turn.next_row(row, now)
        now += rng.choice((0.0, 0.01, 0.5))
        if wanted is None or wanted.version != (row.version if row else 0):
            continue
        version += 1
        row = layerorders.LeaseRow(wanted.holder, wanted.term, version)
        if rng.random() < 0.8:
            turn.note_acquired(asked)
        holders = [n for n in names if turns[n].is_held(now)]
        assert len(holders) <= 1


def test_a_site_that_starts_is_planned_when_engines_stop_coming():
    """Symptom: a bad layout that is never put right.

    Sequence: engines register within a second or two; the first few are
    given the whole model among them; the others double single windows.
    Cause: the plan was made for the first that came.
    """
    arrivals = layerorders.Registrations()
    first = [build.endpoint('x', 'model')]
    both = first + [build.endpoint('y', 'model')]
    assert not arrivals.are_settled([], 0.0)
    assert not arrivals.are_settled(first, 0.1)
    assert not arrivals.are_settled(both, 1.0)
    assert arrivals.are_settled(
        both, 1.0 + layerorders.REGISTRATION_SETTLE_SECONDS
    )
    held = [build.held_endpoint('z', 0, 8)]
    assert arrivals.are_settled(both + held, 2.1)


def test_an_order_counts_until_it_shows_or_never_will():
    ledger = layerorders.make_order_tracker()
    empty = build.endpoint('x', 'model', started=5)
    ledger.update([empty], 10.0)
    assert ledger.accepted_orders(empty) == 0
    ledger.note_order(empty, build.holding(0, 8), 0, 'begun', 1.4)
    assert ledger.expected_holding(empty, 10.1) == build.holding(0, 8)
    assert ledger.accepted_orders(empty) == 1
    ledger.update([empty], 10.0 + 1.4)
    assert ledger.expected_holding(empty, 11.4) == build.holding(0, 8)
    shown_by = (
        layerorders.ORDER_VISIBLE_SECONDS + layerorders.LOAD_TIME_FACTOR * 1.4
    )
    ledger.update([empty], 10.0 + shown_by)
    assert ledger.expected_holding(empty, 20.0) is None


def test_an_engine_that_started_again_holds_nothing_ordered_before():
    ledger = layerorders.make_order_tracker()
    before = build.endpoint('x', 'model', started=5)
    ledger.update([before], 10.0)
    ledger.note_order(before, build.holding(0, 8), 0, 'begun', 1.4)
    after = build.endpoint('x', 'model', started=6)
    ledger.update([after], 10.1)
    assert ledger.expected_holding(after, 10.1) is None
    assert ledger.accepted_orders(after) == 0


def test_a_lost_answer_makes_the_count_unknown():
    ledger = layerorders.make_order_tracker()
    empty = build.endpoint('x', 'model')
    ledger.update([empty], 10.0)
    ledger.note_order(empty, build.holding(0, 8), 0, 'unknown', 1.4)
    assert ledger.accepted_orders(empty) is None


def test_an_engine_that_refuses_is_left_alone_for_a_moment():
    """Symptom: the same order 60 times in three seconds.

    Sequence: an engine gives layers up and waits for what passes through
    them; the plan wants it elsewhere; each look orders again.
    Cause: a refusal was forgotten at once.
    """
    ledger = layerorders.make_order_tracker()
    held = build.held_endpoint('x', 0, 8)
    ledger.update([held], 10.0)
    ledger.note_order(held, build.holding(8, 16), 1, 'conflict', 1.4)
    assert ledger.is_blocked(held, 10.1)
    assert not ledger.is_blocked(held, 10.0 + layerorders.BUSY_SECONDS)


def test_an_engine_that_waits_for_its_requests_is_not_counted_on():
    """Symptom: a failure domain lacks three layers for fifteen seconds.

    Sequence: a spare is ordered to them and gives its own up; streams that
    began at it go on; it loads nothing, and refuses the next order.
    Cause: ordered again and again, it counted as their holder.
    """
    ledger = layerorders.make_order_tracker()
    before = build.held_endpoint('x', 0, 8, started=5)
    ledger.update([before], 10.0)
    ledger.note_accepted_orders(before, 1)
    ledger.note_order(before, build.holding(8, 11), 1, 'begun', 0.5)
    waiting = build.endpoint('x', 'model', started=5)
    ledger.update([waiting], 11.0)
    assert not ledger.is_unloading(waiting, 11.0)
    late = (
        10.0
        + layerorders.ORDER_VISIBLE_SECONDS
        + layerorders.LOAD_TIME_FACTOR * 0.5
    )
    ledger.update([waiting], late)
    assert ledger.is_unloading(waiting, late)
    assert not ledger.is_unloading(
        waiting, late + layerorders.UNLOADING_SECONDS
    )
    loaded = build.held_endpoint('x', 8, 11, started=5)
    assert not ledger.is_unloading(loaded, late)
    other = layerorders.make_order_tracker()
    other.update([waiting], late)
    other.note_order(waiting, build.holding(8, 11), 0, 'conflict', 0.5)
    assert other.is_unloading(waiting, late)
    assert not other.is_unloading(build.endpoint('x', started=6), late)
