"""Tests of the actor that plans placement and orders engines."""

import time

import msgspec
import pytest

from ibisring_gateway import placing
from ibisring_gateway import ports
from ibisring_gateway.tests import builders
from ibisring_gateway.tests import threadrefusals
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import layers
from ibisring_policy.gateway import presence
from ibisring_policy.gateway.tests import builders as build
from ibisring_policy.gateway.tests import fleets
from ibisring_records import exceptions
from ibisring_records import routing

# The only engine that holds its layers in its failure domain.
LOST = 'b-wide-0'


def _endpoints(held=True):
    found = []
    for engine in build.planned(build.mixed_engines()):
        card = engine.id.split('-')[1]
        found.append(
            build.endpoint(
                engine.id,
                'model',
                engine.domain,
                card=card,
                address=f'{engine.id}:1',
                holding=engine.holding if held else None,
            )
        )
    return found


def _placer(view, leases=None, engines=None, statuses=None, reports=None):
    placer = placing.Placer(
        view,
        leases or builders.Leases(),
        engines or builders.Engines(),
        'r1',
        builders.Metrics(),
        lambda: statuses or {},
        (reports if reports is not None else []).append,
        lambda: None,
    )
    placer.lease = layerorders.make_lease('r1', 0.0)
    placer.registrations.changed_at = -100.0
    return placer


def _check(placer, times=3):
    for _ in range(times):
        placer.lease.read_again_at = -100.0
        placer.on_check(placing.CheckPlacement())


def test_complete_layout_needs_neither_lease_nor_orders():
    leases, engines = builders.Leases(), builders.Engines()
    placer = _placer(builders.make_view(_endpoints()), leases, engines)
    _check(placer)
    assert (leases.reads, engines.placed) == (0, [])


def test_lost_layers_are_ordered_once_with_the_order_count():
    engines = builders.Engines()
    remaining = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(remaining), engines=engines)
    _check(placer, times=5)
    names = [name for name, _, _ in engines.placed]
    assert names and len(names) == len(set(names))
    assert all(expected == 1 for _, _, expected in engines.placed)


def test_no_orders_without_the_lease():
    """Guards against two routers sending one engine contradicting orders.

    Both see the same loss at the same moment; the other has the lease.
    """
    leases, engines = builders.Leases(), builders.Engines()
    leases.row = layerorders.LeaseRow('r2', 1, 1)
    leases.version = 1
    remaining = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(remaining), leases, engines)
    _check(placer)
    assert engines.placed == []


def test_no_orders_when_the_store_first_fails():
    leases, engines = builders.Leases(), builders.Engines()
    remaining = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(remaining), leases, engines)
    for error in (
        exceptions.PlatformUnavailable('503'),
        exceptions.PlatformAnswerLost('timeout'),
    ):
        leases.error = error
        _check(placer)
    assert engines.placed == []


def _placer_without_store(statuses, reports=None):
    engines = builders.Engines()
    remaining = [e for e in _endpoints() if e.id != LOST]
    view = builders.make_view(remaining, store_lost_at=-100.0)
    placer = _placer(view, engines=engines, statuses=statuses, reports=reports)
    placer.lease_table.error = exceptions.PlatformUnavailable('503')
    return placer, engines


def test_one_router_orders_during_a_store_outage():
    """Guards against a failure domain without service in a store outage.

    The only engine that holds its layers is lost while no router can acquire
    the lease.  Orders are safe without the store, as each engine refuses
    those that don't carry its order count.
    """
    lost = layerorders.StoreStatus.LOST
    placer, engines = _placer_without_store({'r2': lost, 'r3': lost})
    _check(placer, times=5)
    names = [name for name, _, _ in engines.placed]
    assert names and len(names) == len(set(names))
    assert all(expected == 1 for _, _, expected in engines.placed)


@pytest.mark.parametrize(
    'statuses',
    [
        {'r2': layerorders.StoreStatus.FOLLOWING},
        {'r0': layerorders.StoreStatus.LOST},
    ],
)
def test_other_routers_do_not_order_during_a_store_outage(statuses):
    """Guards against contradicting orders to an engine in a store outage.

    Either the store fails for this router only, or it fails for all and each
    router sees the same loss; only one of them may send orders.
    """
    placer, engines = _placer_without_store(statuses)
    _check(placer)
    assert engines.placed == []


def test_router_that_has_just_started_orders_nothing():
    """Guards against reassigning engines whose entries have yet to return.

    All routers restart in a store outage; when it ends, the first eight of 38
    expired entries are back.  A router without earlier state would take the
    other engines for lost: 20 engines reassigned at once, 335 requests
    refused.
    """
    engines = builders.Engines()
    few = _endpoints()[-8:]
    now = time.monotonic()
    view = builders.make_view(few, known_since=now)
    placer = _placer(view, engines=engines)
    _check(placer)
    assert engines.placed == []
    grown = now - presence.REREGISTER_SECONDS
    placer.view = builders.make_view(few, known_since=grown)
    _check(placer)
    assert engines.placed


def test_refused_lease_call_indicates_an_outage():
    """Guards against no orders in the first two seconds of a store outage.

    Each router's long poll for changes hangs while other calls are refused at
    once; a refused lease call must count as a sign of the outage too.
    """
    engines, leases = builders.Engines(), builders.Leases()
    remaining = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(remaining), leases, engines)
    leases.error = exceptions.PlatformUnavailable('503')
    _check(placer)
    assert engines.placed == []
    assert placer.view.store_status is layerorders.StoreStatus.LOST
    placer.view.lease_lost_at -= layerorders.MIN_OUTAGE_SECONDS
    _check(placer)
    assert engines.placed
    placer.lease.note_lost()
    placer.orders.pending.clear()
    leases.error = None
    _check(placer)
    assert placer.view.store_status is layerorders.StoreStatus.FOLLOWING


def test_ordered_engines_are_queried_during_a_store_outage():
    reports = []
    placer, engines = _placer_without_store({}, reports)
    _check(placer, times=1)
    ordered = {name for name, _, _ in engines.placed}
    engines.holding = build.holding(0, 9)
    _check(placer, times=1)
    assert {message.id for message in reports} == ordered
    assert {message.holding for message in reports} == {engines.holding}
    assert set(placer.view.holdings_to_send(placer.view.clock())) == ordered


def test_busy_engine_is_not_ordered():
    engines = builders.Engines()
    engines.busy = True
    remaining = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(remaining), engines=engines)
    _check(placer)
    assert engines.placed == []
    assert engines.queried


def test_dead_engine_is_left_out_of_the_plan():
    engines = builders.Engines()
    view = builders.make_view(_endpoints())
    placer = _placer(view, engines=engines)
    view.estimates.get(LOST).dead = True
    view.estimates.get(LOST).dead_at = -100.0
    view.estimates.get(LOST).ejected_until = 1e12
    view.links.connected('s', time.monotonic())
    _check(placer)
    assert engines.placed
    assert LOST not in [name for name, _, _ in engines.placed]


def test_engine_that_seems_to_leave_is_left_out_of_the_plan():
    """Guards against refusals in a failure domain until an outage ends.

    In a store outage the entry of an engine that leaves can't change, and the
    engine still answers status queries while it refuses all requests; it must
    not count as a holder of its layers.
    """
    engines = builders.Engines()
    view = builders.make_view(_endpoints())
    placer = _placer(view, engines=engines)
    now = time.monotonic()
    for at in (now - 1.4, now - 1.05, now - 0.4):
        view.estimates.note_refusal(LOST, at, has_memory=True)
    _check(placer)
    assert engines.placed
    assert LOST not in [name for name, _, _ in engines.placed]


def test_unanswered_order_is_not_repeated_at_once():
    """Guards against an engine carrying out an order already replaced.

    An order without an answer may still be carried out seconds later; a
    second one sent at once would race with it.
    """
    engines = builders.Engines()
    engines.result = ports.OrderResult.UNKNOWN
    remaining = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(remaining), engines=engines)
    _check(placer, times=5)
    names = [name for name, _, _ in engines.placed]
    assert names and len(names) == len(set(names))


def test_orders_carry_the_term_and_stop_at_a_later_one():
    """Guards against a paused lease holder overriding its successor.

    It checks its lease, is suspended, and sends orders when it resumes; only
    the engine can detect the old term.
    """
    engines = builders.Engines()
    engines.result = ports.OrderResult.STALE
    remaining = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(remaining), engines=engines)
    placer.lease.read_again_at = -100.0
    placer.on_check(placing.CheckPlacement())
    # The orders of one check are sent concurrently; none follow.
    assert set(engines.tokens) == {placer.lease.term}
    assert not placer.lease.is_held(0.0)
    sent = len(engines.tokens)
    placer.lease_table.error = exceptions.PlatformUnavailable('503')
    _check(placer)
    assert len(engines.tokens) == sent


def _small_view(without=(), empty=()):
    """Make a view of the small copy of deployment B."""
    engines, model = fleets.deployment('b')
    model = msgspec.structs.replace(
        model,
        cards=tuple(
            routing.Card(f'card{n}', memory_mb, fleets.STEP_FACTORS[n], 1.0)
            for n, memory_mb in enumerate(fleets.B_CARDS)
        ),
    )
    services = (routing.Service('model', 1000, model),)
    table = msgspec.structs.replace(build.table(), services=services)
    endpoints = [
        build.endpoint(
            engine.id,
            'model',
            engine.domain,
            card=f"card{engine.id.split('-')[1]}",
            address=f'{engine.id}:1',
            holding=None if engine.id in empty else engine.holding,
        )
        for engine in fleets.settled(engines, model)
        if engine.id not in without
    ]
    return builders.make_view(endpoints, table)


def _pools_logged(caplog):
    return [
        record.facts['pools']
        for record in caplog.records
        if record.getMessage() == 'layer_pools'
    ]


def test_pools_are_logged_when_they_change(caplog):
    caplog.set_level('INFO')
    placer = _placer(_small_view())
    _check(placer)
    (pools,) = _pools_logged(caplog)
    assert [pool['domains'] for pool in pools] == [['a'], ['b'], ['c']]
    assert all(pool['complete'] for pool in pools)
    rooms = [pool['room'] for pool in pools]
    assert placer.view.pool_room_requests == min(rooms) >= 15


def test_loss_in_a_small_domain_leaves_all_engines_as_they_are(caplog):
    """Guards against loading all domains anew when one loses an engine.

    Domain a can't hold the model without one of its largest cards.  When the
    engine is back, it is ordered to load what it held.
    """
    caplog.set_level('INFO')
    engines = builders.Engines()
    placer = _placer(_small_view(without=('a-0-0',)), engines=engines)
    _check(placer)
    assert engines.placed == []
    assert [pool['complete'] for pool in _pools_logged(caplog)[-1]] == [
        True,
        True,
        False,
    ]
    placer.view.snapshot = _small_view(empty=('a-0-0',)).snapshot
    placer.registrations.registered_at = {'a-0-0': -100.0}
    _check(placer)
    assert {name for name, _, _ in engines.placed} == {'a-0-0'}


def test_engine_that_refuses_orders_does_not_hold_up_others():
    """Guards against repairs that wait until a busy engine's streams end.

    Few engines may load at once; one that refuses orders is none of them.
    """
    engines = builders.Engines()
    empty = ('a-2-0', 'b-2-0', 'c-2-0', 'c-2-1')
    placer = _placer(_small_view(empty=empty), engines=engines)
    placer.registrations.registered_at = {name: -100.0 for name in empty}
    busy = 'c-2-0'
    placer.orders.blocked[busy] = time.monotonic() + 100.0
    _check(placer, times=1)
    assert {name for name, _, _ in engines.placed} == set(empty) - {busy}
    placer.orders.blocked.clear()
    _check(placer)
    assert len(engines.placed) == 3


def test_ranges_are_not_given_up_for_an_engine_that_may_return():
    """Guards against tearing down a domain whose engine is soon back."""
    engines = builders.Engines()
    placer = _placer(_small_view(without=('b-0-0',)), engines=engines)
    _check(placer)
    assert engines.placed == []
    since = placer.pool_tracker.gap_since
    assert list(since) == [('model', ('b',))]
    since['model', ('b',)] -= layers.RETILE_SECONDS
    _check(placer)
    assert engines.placed
    assert {name[0] for name, _, _ in engines.placed} == {'b'}


def test_orders_are_sent_and_recorded_without_a_new_thread():
    """Guards against orders sent but not recorded, which are sent again."""
    engines = builders.Engines()
    remaining = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(remaining), engines=engines)
    with threadrefusals.no_new_threads():
        _check(placer, times=5)
    names = [name for name, _, _ in engines.placed]
    assert names and len(names) == len(set(names))
