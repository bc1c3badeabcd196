"""Tests of the actor that orders engines."""

import time

import pytest

from ibisring_gateway import placing
from ibisring_gateway import ports
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import presence
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions

# An engine that alone holds its layers in its failure domain.
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


def _placer(view, leases=None, engines=None, touches=None, told=None):
    placer = placing.Placer(
        view,
        leases or builders.Leases(),
        engines or builders.Engines(),
        'r1',
        builders.Metrics(),
        lambda: touches or {},
        (told if told is not None else []).append,
        lambda: None,
    )
    placer.turn = layerorders.make_lease('r1', 0.0)
    placer.arrivals.changed_at = -100.0
    return placer


def _look(placer, times=3):
    for _ in range(times):
        placer.turn.read_again_at = -100.0
        placer.on_look(placing.Look())


def test_a_good_layout_needs_neither_lease_nor_order():
    leases, engines = builders.Leases(), builders.Engines()
    placer = _placer(builders.make_view(_endpoints()), leases, engines)
    _look(placer)
    assert (leases.reads, engines.placed) == (0, [])


def test_lost_layers_are_ordered_by_count_once():
    engines = builders.Engines()
    left = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(left), engines=engines)
    _look(placer, times=5)
    names = [name for name, _, _ in engines.placed]
    assert names and len(names) == len(set(names))
    assert all(expected == 1 for _, _, expected in engines.placed)


def test_nobody_orders_without_the_lease():
    """Symptom: two routers order one engine back and forth.

    Sequence: another router has just taken the lease for the same loss.
    Cause: both see it at the same moment.
    """
    leases, engines = builders.Leases(), builders.Engines()
    leases.row = layerorders.LeaseRow('r2', 1, 1)
    leases.version = 1
    left = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(left), leases, engines)
    _look(placer)
    assert engines.placed == []


def test_a_store_that_is_away_orders_nothing():
    leases, engines = builders.Leases(), builders.Engines()
    left = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(left), leases, engines)
    for error in (
        exceptions.PlatformUnavailable('503'),
        exceptions.PlatformAnswerLost('timeout'),
    ):
        leases.fails = error
        _look(placer)
    assert engines.placed == []


def _placer_without_store(touches, told=None):
    engines = builders.Engines()
    left = [e for e in _endpoints() if e.id != LOST]
    view = builders.make_view(left, store_lost_at=-100.0)
    placer = _placer(view, engines=engines, touches=touches, told=told)
    placer.leases.fails = exceptions.PlatformUnavailable('503')
    return placer, engines


def test_one_router_orders_while_the_store_is_away():
    """Symptom: a failure domain serves nothing for eight seconds.

    Sequence: the store goes away; an engine that alone holds its layers is
    lost; nobody can take the lease.
    Cause: orders needed the store, although each engine itself refuses
    those that do not carry its count.
    """
    lost = layerorders.StoreStatus.LOST
    placer, engines = _placer_without_store({'r2': lost, 'r3': lost})
    _look(placer, times=5)
    names = [name for name, _, _ in engines.placed]
    assert names and len(names) == len(set(names))
    assert all(expected == 1 for _, _, expected in engines.placed)


@pytest.mark.parametrize(
    'touches',
    [
        {'r2': layerorders.StoreStatus.FOLLOWING},
        {'r0': layerorders.StoreStatus.LOST},
    ],
)
def test_others_do_not_order_while_the_store_is_away(touches):
    """Symptom: an engine is ordered back and forth in an outage.

    Sequence: the store turns this router away and serves another; or all
    are turned away and each sees the same loss.
    Cause: whoever noticed the loss ordered.
    """
    placer, engines = _placer_without_store(touches)
    _look(placer)
    assert engines.placed == []


def test_a_router_that_has_just_started_plans_nothing():
    """Symptom: twenty engines are moved at once; 335 requests are refused.

    Sequence: all routers are killed while the store is away; they start and
    it returns; of 38 entries that lapsed the first eight are back.
    Cause: a router that knows nothing of before takes the rest for gone.
    """
    engines = builders.Engines()
    few = _endpoints()[-8:]
    now = time.monotonic()
    view = builders.make_view(few, known_since=now)
    placer = _placer(view, engines=engines)
    _look(placer)
    assert engines.placed == []
    grown = now - presence.REREGISTER_SECONDS
    placer.view = builders.make_view(few, known_since=grown)
    _look(placer)
    assert engines.placed


def test_a_lease_that_is_refused_shows_an_outage():
    """Symptom: nobody orders for the first two seconds of an outage.

    Sequence: the store goes away while each router's call for changes
    waits there; those calls stay silent, others are refused at once.
    Cause: only the calls for changes told that the store is lost.
    """
    engines, leases = builders.Engines(), builders.Leases()
    left = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(left), leases, engines)
    leases.fails = exceptions.PlatformUnavailable('503')
    _look(placer)
    assert engines.placed == []
    assert placer.view.store_status is layerorders.StoreStatus.LOST
    placer.view.lease_lost_at -= layerorders.MIN_OUTAGE_SECONDS
    _look(placer)
    assert engines.placed
    placer.turn.note_lost()
    placer.orders.pending.clear()
    leases.fails = None
    _look(placer)
    assert placer.view.store_status is layerorders.StoreStatus.FOLLOWING


def test_engines_are_asked_what_they_hold_while_the_store_is_away():
    told = []
    placer, engines = _placer_without_store({}, told)
    _look(placer, times=1)
    ordered = {name for name, _, _ in engines.placed}
    engines.holding = build.holding(0, 9)
    _look(placer, times=1)
    assert {message.id for message in told} == ordered
    assert {message.holding for message in told} == {engines.holding}
    assert set(placer.view.holdings_to_send(placer.view.clock())) == ordered


def test_a_busy_engine_is_not_ordered():
    engines = builders.Engines()
    engines.busy = True
    left = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(left), engines=engines)
    _look(placer)
    assert engines.placed == []
    assert engines.queried


def test_an_engine_that_is_believed_lost_is_planned_without():
    engines = builders.Engines()
    view = builders.make_view(_endpoints())
    placer = _placer(view, engines=engines)
    view.estimates.get(LOST).dead = True
    view.estimates.get(LOST).dead_at = -100.0
    view.estimates.get(LOST).ejected_until = 1e12
    _look(placer)
    assert engines.placed
    assert LOST not in [name for name, _, _ in engines.placed]


def test_an_engine_that_seems_to_leave_is_planned_without():
    """Symptom: a failure domain refuses requests until an outage ends.

    Sequence: the store is away; an engine leaves and refuses everything; its
    entry can't say so, and it answers its status.
    Cause: it counted as a holder of its layers.
    """
    engines = builders.Engines()
    view = builders.make_view(_endpoints())
    placer = _placer(view, engines=engines)
    now = time.monotonic()
    for at in (now - 1.4, now - 1.05, now - 0.4):
        view.estimates.note_refusal(LOST, at, has_memory=True)
    _look(placer)
    assert engines.placed
    assert LOST not in [name for name, _, _ in engines.placed]


def test_an_unanswered_order_is_not_repeated_at_once():
    """Symptom: an engine carries out an order that was already replaced.

    Sequence: an order gets no answer and is carried out seconds later.
    Cause: nobody knows whether it began; a second one at once would race it.
    """
    engines = builders.Engines()
    engines.result = ports.OrderResult.UNKNOWN
    left = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(left), engines=engines)
    _look(placer, times=5)
    names = [name for name, _, _ in engines.placed]
    assert names and len(names) == len(set(names))


def test_orders_carry_the_term_and_end_when_a_later_one_is_known():
    """Symptom: a holder that was paused orders over its successor.

    Sequence: it checks its lease, freezes, and sends when it wakes.
    Cause: the check was true when it was made; only the engine can tell.
    """
    engines = builders.Engines()
    engines.result = ports.OrderResult.STALE
    left = [e for e in _endpoints() if e.id != LOST]
    placer = _placer(builders.make_view(left), engines=engines)
    placer.turn.read_again_at = -100.0
    placer.on_look(placing.Look())
    # Orders of one look go out together; none follows them.
    assert set(engines.tokens) == {placer.turn.term}
    assert not placer.turn.is_held(0.0)
    sent = len(engines.tokens)
    placer.leases.fails = exceptions.PlatformUnavailable('503')
    _look(placer)
    assert len(engines.tokens) == sent
