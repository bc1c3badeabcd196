"""Tests of whose turn it is to order, and of orders under way."""

import random

import hypothesis
from hypothesis import strategies

from ibisring_policy.gateway import ordering
from ibisring_policy.gateway.tests import builders as build


def test_nobody_acts_without_a_wish():
    turn = ordering.make_turn('r1', 0.5)
    assert not turn.may_act(False, 10.0)
    assert not turn.may_act(True, 10.0)
    assert turn.may_act(True, 10.0 + ordering.SPREAD)


def test_a_failing_store_is_not_asked_at_every_look():
    """Symptom: hundreds of calls to a store that turns the router away.

    Sequence: an engine is lost; the store answers 503; each look asks anew.
    Cause: only reads that succeeded were spaced out.
    """
    turn = ordering.make_turn('r1', 0.0)
    turn.may_act(True, 10.0)
    acts = [turn.may_act(True, 10.0 + n * 0.1) for n in range(50)]
    assert sum(acts) <= 6


def test_another_holder_is_waited_out_by_the_own_clock():
    turn = ordering.make_turn('r1', 0.0)
    row = ordering.LeaseRow('r2', 4, 77)
    assert turn.claim(row, 10.0) is None
    ends_at = 10.0 + ordering.LEASE_FOR_OTHERS
    assert turn.claim(row, ends_at - 0.1) is None
    claimed = turn.claim(row, ends_at + 0.1)
    assert (claimed.holder, claimed.term, claimed.version) == ('r1', 5, 77)
    renewed = ordering.LeaseRow('r2', 4, 78)
    assert turn.claim(renewed, ends_at + 0.2) is None


def test_a_holder_that_was_killed_is_replaced_soon():
    """Symptom: a failure domain lacks layers for three seconds more.

    Sequence: the router that holds the lease is killed; an engine is lost.
    Cause: others waited for a lease of three seconds and read it once a
    second.
    """
    turn = ordering.make_turn('r1', 0.0)
    row = ordering.LeaseRow('r2', 4, 77)
    now, reads, claimed = 10.0, 0, None
    while claimed is None:
        if turn.may_act(True, now):
            reads += 1
            claimed = turn.claim(row, now)
        now += 0.05
    assert now <= 10.0 + 1.5
    assert reads == 2


def test_a_lease_ends_for_its_holder_before_others_may_take_it():
    turn = ordering.make_turn('r1', 0.0)
    turn.won(10.0)
    assert turn.holds(10.0 + ordering.LEASE - 0.1)
    assert not turn.holds(10.0 + ordering.LEASE)
    assert ordering.LEASE < ordering.LEASE_FOR_OTHERS


@hypothesis.given(strategies.integers(0, 10**6))
def test_two_routers_never_hold_the_lease_at_once(seed):
    """Routers that freeze, lose answers and race over one row.

    The oracle is the row itself: a write succeeds on its version only.
    """
    rng = random.Random(seed)
    names = ['r1', 'r2', 'r3']
    turns = {n: ordering.make_turn(n, rng.random()) for n in names}
    row, now, version = None, 0.0, 0
    for _ in range(200):
        now += rng.choice((0.05, 0.3, 1.0))
        turn = turns[rng.choice(names)]
        if turn.holds(now):
            continue
        asked = now
        wanted = turn.claim(row, now)
        now += rng.choice((0.0, 0.01, 0.5))
        if wanted is None or wanted.version != (row.version if row else 0):
            continue
        version += 1
        row = ordering.LeaseRow(wanted.holder, wanted.term, version)
        if rng.random() < 0.8:
            turn.won(asked)
        holders = [n for n in names if turns[n].holds(now)]
        assert len(holders) <= 1


def test_a_site_that_starts_is_planned_when_engines_stop_coming():
    """Symptom: a bad layout that is never put right.

    Sequence: engines register within a second or two; the first few are
    given the whole model among them; the others double single windows.
    Cause: the plan was made for the first that came.
    """
    arrivals = ordering.Arrivals()
    first = [build.endpoint('x', 'model')]
    both = first + [build.endpoint('y', 'model')]
    assert not arrivals.are_settled([], 0.0)
    assert not arrivals.are_settled(first, 0.1)
    assert not arrivals.are_settled(both, 1.0)
    assert arrivals.are_settled(both, 1.0 + ordering.SETTLED)
    held = [build.held_endpoint('z', 0, 8)]
    assert arrivals.are_settled(both + held, 2.1)


def test_an_order_counts_until_it_shows_or_never_will():
    ledger = ordering.make_ledger()
    empty = build.endpoint('x', 'model', started=5)
    ledger.settle([empty], 10.0)
    assert ledger.count(empty) == 0
    ledger.ordered(empty, build.holding(0, 8), 0, 'begun', 1.4)
    assert ledger.expected(empty, 10.1) == build.holding(0, 8)
    assert ledger.count(empty) == 1
    ledger.settle([empty], 10.0 + 1.4)
    assert ledger.expected(empty, 11.4) == build.holding(0, 8)
    shown_by = ordering.SHOWS_AFTER + ordering.LOAD_MARGIN * 1.4
    ledger.settle([empty], 10.0 + shown_by)
    assert ledger.expected(empty, 20.0) is None


def test_an_engine_that_started_again_holds_nothing_ordered_before():
    ledger = ordering.make_ledger()
    before = build.endpoint('x', 'model', started=5)
    ledger.settle([before], 10.0)
    ledger.ordered(before, build.holding(0, 8), 0, 'begun', 1.4)
    after = build.endpoint('x', 'model', started=6)
    ledger.settle([after], 10.1)
    assert ledger.expected(after, 10.1) is None
    assert ledger.count(after) == 0


def test_a_lost_answer_makes_the_count_unknown():
    ledger = ordering.make_ledger()
    empty = build.endpoint('x', 'model')
    ledger.settle([empty], 10.0)
    ledger.ordered(empty, build.holding(0, 8), 0, 'unknown', 1.4)
    assert ledger.count(empty) is None


def test_an_engine_that_refuses_is_left_alone_for_a_moment():
    """Symptom: the same order 60 times in three seconds.

    Sequence: an engine gives layers up and waits for what passes through
    them; the plan wants it elsewhere; each look orders again.
    Cause: a refusal was forgotten at once.
    """
    ledger = ordering.make_ledger()
    held = build.held_endpoint('x', 0, 8)
    ledger.settle([held], 10.0)
    ledger.ordered(held, build.holding(8, 16), 1, 'conflict', 1.4)
    assert ledger.is_blocked(held, 10.1)
    assert not ledger.is_blocked(held, 10.0 + ordering.BUSY_SECONDS)


def test_an_engine_that_waits_for_its_requests_is_not_counted_on():
    """Symptom: a failure domain lacks three layers for fifteen seconds.

    Sequence: a spare is ordered to them and gives its own up; streams that
    began at it go on; it loads nothing, and refuses the next order.
    Cause: ordered again and again, it counted as their holder.
    """
    ledger = ordering.make_ledger()
    before = build.held_endpoint('x', 0, 8, started=5)
    ledger.settle([before], 10.0)
    ledger.counted(before, 1)
    ledger.ordered(before, build.holding(8, 11), 1, 'begun', 0.5)
    waiting = build.endpoint('x', 'model', started=5)
    ledger.settle([waiting], 11.0)
    assert not ledger.is_emptying(waiting, 11.0)
    late = 10.0 + ordering.SHOWS_AFTER + ordering.LOAD_MARGIN * 0.5
    ledger.settle([waiting], late)
    assert ledger.is_emptying(waiting, late)
    assert not ledger.is_emptying(waiting, late + ordering.EMPTYING_SECONDS)
    loaded = build.held_endpoint('x', 8, 11, started=5)
    assert not ledger.is_emptying(loaded, late)
    other = ordering.make_ledger()
    other.settle([waiting], late)
    other.ordered(waiting, build.holding(8, 11), 0, 'conflict', 0.5)
    assert other.is_emptying(waiting, late)
    assert not other.is_emptying(build.endpoint('x', started=6), late)
