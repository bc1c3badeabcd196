"""Tests of the lease to order engines, and of tracking orders."""

import random

import hypothesis
from hypothesis import strategies

from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway.tests import builders as build
import pytest


def test_a_router_acts_after_its_delay_if_there_is_something_to_order():
    lease = layerorders.make_lease('r1', 0.5)
    assert not lease.may_act(False, 10.0)
    assert not lease.may_act(True, 10.0)
    assert lease.may_act(True, 10.0 + layerorders.MAX_LEASE_DELAY_SECONDS)


def test_reads_of_the_lease_from_a_failing_store_are_spaced_out():
    """Failure: hundreds of calls to a store that responds with 503.

    An engine is lost, and each check of the plan reads the lease again.
    """
    lease = layerorders.make_lease('r1', 0.0)
    lease.may_act(True, 10.0)
    acts = [lease.may_act(True, 10.0 + n * 0.1) for n in range(50)]
    assert sum(acts) <= 6


def test_a_lease_that_others_renew_is_not_read():
    """Failure: a call to the store by each router in each second.

    Layers are missing for ten seconds, and one router holds the lease and
    renews it for its orders.
    """
    lease = layerorders.make_lease('r1', 0.5)
    reads = 0
    for tick in range(40):
        now = 10.0 + 0.25 * tick
        lease.note_holder(tick // 4, now)
        reads += lease.may_act(True, now)
    assert reads <= 1


def test_a_lease_that_is_no_longer_renewed_is_read_again():
    lease = layerorders.make_lease('r1', 0.0)
    lease.note_holder(3, 10.0)
    ticks = [10.0 + 0.25 * n for n in range(8)]
    assert any(lease.may_act(True, now) for now in ticks)


def test_a_lease_is_taken_over_by_the_own_clock():
    lease = layerorders.make_lease('r1', 0.0)
    row = layerorders.LeaseRow('r2', 4, 77)
    assert lease.next_row(row, 10.0) is None
    takeover_at = 10.0 + layerorders.LEASE_TAKEOVER_SECONDS
    assert lease.next_row(row, takeover_at - 0.1) is None
    claimed = lease.next_row(row, takeover_at + 0.1)
    assert (claimed.holder, claimed.term, claimed.version) == ('r1', 5, 77)
    renewed = layerorders.LeaseRow('r2', 4, 78)
    assert lease.next_row(renewed, takeover_at + 0.2) is None


@pytest.mark.parametrize('row', [None, layerorders.LeaseRow('r2', 3, 8)])
def test_a_term_is_not_used_again_after_the_store_lost_it(row):
    """Guards against orders that engines refuse for their fencing token."""
    lease = layerorders.make_lease('r1', 0.0)
    lease.note_term(7)
    lease.next_row(row, 10.0)
    claimed = lease.next_row(row, 20.0)
    assert claimed.term > 7


def test_the_lease_of_a_killed_router_is_taken_over_soon():
    """Failure: a failure domain lacks layers for three more seconds.

    The router that holds the lease is killed and an engine is lost; a longer
    lease, or reading it once a second only, delays the takeover.
    """
    lease = layerorders.make_lease('r1', 0.0)
    row = layerorders.LeaseRow('r2', 4, 77)
    now, reads, claimed = 10.0, 0, None
    while claimed is None:
        if lease.may_act(True, now):
            reads += 1
            claimed = lease.next_row(row, now)
        now += 0.05
    assert now <= 10.0 + 1.5
    assert reads == 2


def test_a_lease_expires_for_its_holder_before_others_may_take_it():
    lease = layerorders.make_lease('r1', 0.0)
    lease.note_acquired(10.0)
    assert lease.is_held(10.0 + layerorders.LEASE_SECONDS - 0.1)
    assert not lease.is_held(10.0 + layerorders.LEASE_SECONDS)
    assert layerorders.LEASE_SECONDS < layerorders.LEASE_TAKEOVER_SECONDS


@hypothesis.given(strategies.integers(0, 10**6))
def test_two_routers_never_hold_the_lease_at_once(seed):
    """Simulates routers that freeze, lose responses and race for one row.

    A write succeeds only on the version of the row that it was made for.
    """
    rng = random.Random(seed)
    names = ['r1', 'r2', 'r3']
    leases = {n: layerorders.make_lease(n, rng.random()) for n in names}
    row, now, version = None, 0.0, 0
    for _ in range(200):
        now += rng.choice((0.05, 0.3, 1.0))
        lease = leases[rng.choice(names)]
        if lease.is_held(now):
            continue
        requested_at = now
        wanted = lease.next_row(row, now)
        now += rng.choice((0.0, 0.01, 0.5))
        if wanted is None or wanted.version != (row.version if row else 0):
            continue
        version += 1
        row = layerorders.LeaseRow(wanted.holder, wanted.term, version)
        if rng.random() < 0.8:
            lease.note_acquired(requested_at)
        holders = [n for n in names if leases[n].is_held(now)]
        assert len(holders) <= 1


def test_a_starting_site_is_planned_once_registrations_settle():
    """Failure: a bad layout of layers that is never corrected.

    Engines register within a second or two.  If a plan is made for the
    first few, these get the whole model, and the others only duplicate
    single windows.
    """
    registrations = layerorders.Registrations()
    first = [build.endpoint('x', 'model')]
    both = first + [build.endpoint('y', 'model')]
    assert not registrations.are_settled([], 0.0)
    assert not registrations.are_settled(first, 0.1)
    assert not registrations.are_settled(both, 1.0)
    assert registrations.are_settled(
        both, 1.0 + layerorders.REGISTRATION_SETTLE_SECONDS
    )
    held = [build.held_endpoint('z', 0, 8)]
    assert registrations.are_settled(both + held, 2.1)


def test_an_order_is_pending_until_it_shows_or_is_overdue():
    tracker = layerorders.make_order_tracker()
    empty = build.endpoint('x', 'model', started=5)
    tracker.update([empty], 10.0)
    assert tracker.accepted_orders(empty) == 0
    tracker.note_order(empty, build.holding(0, 8), 0, 'begun', 1.4)
    assert tracker.expected_holding(empty, 10.1) == build.holding(0, 8)
    assert tracker.accepted_orders(empty) == 1
    tracker.update([empty], 10.0 + 1.4)
    assert tracker.expected_holding(empty, 11.4) == build.holding(0, 8)
    visible_after = (
        layerorders.ORDER_VISIBLE_SECONDS + layerorders.LOAD_TIME_FACTOR * 1.4
    )
    tracker.update([empty], 10.0 + visible_after)
    assert tracker.expected_holding(empty, 20.0) is None


def test_a_restart_of_an_engine_drops_its_pending_order():
    tracker = layerorders.make_order_tracker()
    before = build.endpoint('x', 'model', started=5)
    tracker.update([before], 10.0)
    tracker.note_order(before, build.holding(0, 8), 0, 'begun', 1.4)
    after = build.endpoint('x', 'model', started=6)
    tracker.update([after], 10.1)
    assert tracker.expected_holding(after, 10.1) is None
    assert tracker.accepted_orders(after) == 0


def test_a_lost_response_makes_the_order_count_unknown():
    tracker = layerorders.make_order_tracker()
    empty = build.endpoint('x', 'model')
    tracker.update([empty], 10.0)
    tracker.note_order(empty, build.holding(0, 8), 0, 'unknown', 1.4)
    assert tracker.accepted_orders(empty) is None


def test_an_engine_that_refuses_an_order_is_blocked_briefly():
    """Failure: the same order is sent 60 times in three seconds.

    An engine gives up layers and waits for the requests that use them, while
    the plan assigns it other layers; each check of the plan orders again.
    """
    tracker = layerorders.make_order_tracker()
    held = build.held_endpoint('x', 0, 8)
    tracker.update([held], 10.0)
    tracker.note_order(held, build.holding(8, 16), 1, 'conflict', 1.4)
    assert tracker.is_blocked(held, 10.1)
    assert not tracker.is_blocked(held, 10.0 + layerorders.BUSY_SECONDS)


def test_an_unloading_engine_does_not_count_as_holder():
    """Failure: a failure domain lacks three layers for fifteen seconds.

    A redundant engine is ordered to load them and gives up its own layers,
    but loads nothing while streams that began at it continue.  Ordered again
    and again, it would count as holder of the missing layers.
    """
    tracker = layerorders.make_order_tracker()
    before = build.held_endpoint('x', 0, 8, started=5)
    tracker.update([before], 10.0)
    tracker.note_accepted_orders(before, 1)
    tracker.note_order(before, build.holding(8, 11), 1, 'begun', 0.5)
    waiting = build.endpoint('x', 'model', started=5)
    tracker.update([waiting], 11.0)
    assert not tracker.is_unloading(waiting, 11.0)
    late = (
        10.0
        + layerorders.ORDER_VISIBLE_SECONDS
        + layerorders.LOAD_TIME_FACTOR * 0.5
    )
    tracker.update([waiting], late)
    assert tracker.is_unloading(waiting, late)
    assert not tracker.is_unloading(
        waiting, late + layerorders.UNLOADING_SECONDS
    )
    loaded = build.held_endpoint('x', 8, 11, started=5)
    assert not tracker.is_unloading(loaded, late)
    other = layerorders.make_order_tracker()
    other.update([waiting], late)
    other.note_order(waiting, build.holding(8, 11), 0, 'conflict', 0.5)
    assert other.is_unloading(waiting, late)
    assert not other.is_unloading(build.endpoint('x', started=6), late)


def test_a_gap_is_timed_from_its_first_sight():
    """Failure: a later gap counts the time of one that was closed."""
    tracker = layerorders.PoolTracker()
    tracker.update('chat', [(('a',), True, False)], 1.0)
    tracker.update('chat', [(('a',), False, True)], 2.0)
    tracker.update('other', [(('a',), False, False)], 2.5)
    tracker.update('chat', [(('a',), False, True)], 5.0)
    assert tracker.gap_seconds('chat', 6.0) == {('a',): 4.0}
    assert tracker.broken == {'chat': {('a',)}, 'other': set()}
    tracker.update('chat', [(('a',), False, False)], 7.0)
    tracker.update('chat', [(('a',), False, True)], 8.0)
    assert tracker.gap_seconds('chat', 8.5) == {('a',): 0.5}
