"""The actor that orders engines to hold layers."""

__all__ = ['Look', 'Placer']

import concurrent.futures
import logging
import random
import time

from ibisring_gateway import directory
from ibisring_gateway import ports
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import layers
from ibisring_policy.gateway import presence
from ibisring_policy.gateway import windows
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import actors
from ibisring_router import logs
import msgspec

LOG = logging.getLogger(__name__)
# Seconds that an engine which does not answer stays in the plan: shorter
# than its entry lives, longer than a hiccup.
LOST_AFTER = 0.4
STATUS_TIMEOUT = 0.3
# Engines ordered or asked at the same time: one that does not answer would
# otherwise hold up the orders to all others by half a second.
MOST_AT_ONCE = 8
# Times its usual pace from which an engine is planned without: at 4 one of
# ten stages is busy for a third of the time with a domain's prompts.
TOO_SLOW = 4.0


class Look(msgspec.Struct):
    """Look whether any engine should hold other layers."""


class Placer(actors.MessageActor):
    """Plans, takes the lease, and sends orders.

    Parameters
    ----------
    view : view.View
    leases : ports.LeaseTable
    engines : ports.EngineControl
    router_id : str
    metrics : metrics.Metrics
    store_touches : callable
        Gives what other routers told lately of the store, by name.
    tell : callable
        Takes `directory.HoldingReport` messages.
    on_trouble : callable
        Called when the store does not answer.
    """

    def __init__(
        self,
        view,
        leases,
        engines,
        router_id,
        metrics,
        store_touches,
        tell,
        on_trouble,
    ):
        super().__init__()
        self.router_id = router_id
        self.store_touches = store_touches
        self.tell_directory = tell
        self.on_trouble = on_trouble
        self.pool = concurrent.futures.ThreadPoolExecutor(MOST_AT_ONCE)
        self.view = view
        self.engines = engines
        self.metrics = metrics
        self.turn = layerorders.make_lease(router_id, random.Random().random())
        self.leases = leases
        self.orders = layerorders.make_order_tracker()
        self.arrivals = layerorders.Registrations()
        self.missing = {}

    def handlers(self):
        return {Look: self.on_look}

    def on_look(self, message):
        """Compare what engines hold with the plan, and order the rest."""
        snapshot = self.view.snapshot
        if snapshot.index is None or not snapshot.endpoints_known:
            return
        for service in snapshot.index.table.services:
            if service.model is not None:
                self._look_at(service, snapshot)

    def _look_at(self, service, snapshot):
        now = time.monotonic()
        staying = self._staying(service, snapshot, now)
        if not self.arrivals.are_settled(staying, now):
            return
        self.orders.update(staying, now)
        engines = self._engines(staying, service.model, now)
        self._tell_missing(service, staying)
        if self.view.store_lost_at is not None:
            self._learn(staying)
        if now - snapshot.known_since < presence.REREGISTER_SECONDS:
            # Entries that lapsed in an outage come back within two seconds.
            # A router that has just started can't tell them from engines
            # that are gone, and would move all that it sees.
            return
        changes = layers.plan(engines, service.model)
        if not self.turn.may_act(bool(changes), now):
            return
        if not self._hold_lease(now):
            return
        by_id = {e.id: e for e in staying}
        wanted = [(by_id[c.id], c.holding) for c in changes]
        self._order_all(wanted, service.model)

    def _engines(self, staying, model, now):
        """Give the planner's view of the engines that may be ordered."""
        # On a site that starts nothing is about to be replaced.
        is_whole = any(e.holding is not None for e in staying)
        with self.view.lock:
            holders = self.view.estimates.holders(staying, model, now)
        loads = {h.id: h.used / h.capacity for h in holders if h.capacity > 0}
        found = []
        for each in staying:
            if self.orders.is_unloading(each, now):
                continue
            card = model.card(each.card)
            found.append(
                windows.Engine(
                    each.id,
                    each.failure_domain,
                    card.memory_mb,
                    self.orders.expected_holding(each, now),
                    each.holding,
                    is_whole and self.arrivals.has_just_registered(each, now),
                    card.step_factor,
                    loads.get(each.id, 0.0),
                )
            )
        return found

    def _learn(self, staying):
        """Ask engines under orders what they hold, while the store is away.

        Their entries can't change then; without this nobody would use the
        layers that were loaded, and they would be ordered again.
        """
        ordered = [e for e in staying if e.id in self.orders.pending]
        for endpoint, status in zip(
            ordered, self.pool.map(self._status, ordered)
        ):
            if status is None:
                continue
            self.view.reported_holdings[endpoint.id] = (
                self.view.clock(),
                status.started,
                status.holding,
            )
            self.tell_directory(
                directory.HoldingReport(
                    endpoint.id, status.started, status.holding
                )
            )

    def _tell_missing(self, service, staying):
        """Log when the layers that some failure domain lacks change."""
        engines = [
            windows.Engine(e.id, e.failure_domain, 0.0, e.holding)
            for e in staying
        ]
        found = layers.missing(engines, service.model.layers)
        texts = {
            domain: [_text(gap) for gap in gaps]
            for domain, gaps in found.items()
        }
        if texts != self.missing:
            self.missing = texts
            logs.event(
                LOG, 'layers_missing', domains=texts, engines=len(staying)
            )

    def _staying(self, service, snapshot, now):
        found = []
        for each in snapshot.by_service.get(service.name, ()):
            if service.model.card(each.card) is None:
                continue
            if self._is_lost(each.id, now) or self._is_too_slow(each, now):
                continue
            if self.view.estimates.is_probably_leaving(each.id, now):
                continue
            found.append(each)
        return found

    def _is_lost(self, name, now):
        belief = self.view.estimates.by_endpoint.get(name)
        if belief is None or not belief.dead:
            return False
        return now - belief.dead_at >= LOST_AFTER

    def _is_too_slow(self, endpoint, now):
        """Say whether an engine's layers should be held by others as well.

        A stage that is many times slower falls behind with the prompts of
        its domain, and all streams there pause.
        """
        return self.view.estimates.slowdown(endpoint.id, now) >= TOO_SLOW

    def _hold_lease(self, now):
        """Take or keep the right to order, by the store's conditional write.

        Without it every router would send the same orders at once, and one
        with an older view would undo what another has just ordered.
        """
        self.turn.note_term(self.view.term)
        if self.turn.is_held(time.monotonic()):
            return True
        if self.view.snapshot.store_lost_at is not None:
            return self._leads_without_store()
        try:
            row = self.leases.read_lease()
            wanted = self.turn.next_row(row, time.monotonic())
            if wanted is None:
                return False
            written = self.leases.write_lease(wanted)
        except exceptions.IbisringError as error:
            logs.event(LOG, 'lease_unavailable', why=error.detail)
            self.on_trouble()
            if self.view.lease_lost_at is None:
                self.view.lease_lost_at = time.monotonic()
            return self._leads_without_store()
        self.view.lease_lost_at = None
        if written is None:
            logs.event(LOG, 'lease_lost_race', term=wanted.term)
            return False
        self.turn.note_acquired(now)
        self.view.term = max(self.view.term, wanted.term)
        logs.event(LOG, 'lease_taken', term=wanted.term)
        self.metrics.count('leases_taken')
        return True

    def _leads_without_store(self):
        lost_at = self.view.store_lost_at
        if lost_at is None:
            return False
        now = time.monotonic()
        heard = self.store_touches()
        if not layerorders.leads_without_store(
            self.router_id, now - lost_at, heard
        ):
            return False
        self.turn.lead_without_store(now)
        logs.event(
            LOG,
            'leads_without_store',
            lost_ms=round((now - lost_at) * 1000.0),
            heard=sorted(heard),
            term=self.turn.term,
        )
        return True

    def _order_all(self, wanted, model):
        """Send orders, all at the same time.

        Parameters
        ----------
        wanted : list of (routing.Endpoint, routing.Holding)
        model : routing.Model
        """
        unknown = [
            e for e, _ in wanted if self.orders.accepted_orders(e) is None
        ]
        for endpoint, status in zip(
            unknown, self.pool.map(self._status, unknown)
        ):
            self._note_count(endpoint, status)
        now = time.monotonic()
        ready = [
            (endpoint, holding)
            for endpoint, holding in wanted
            if self.orders.accepted_orders(endpoint) is not None
            and not self.orders.is_blocked(endpoint, now)
        ]
        results = list(self.pool.map(self._order, ready))
        for (endpoint, holding), result in zip(ready, results):
            if result is not None:
                seconds = _load_seconds(endpoint, holding, model)
                self._note_order(endpoint, holding, result, seconds)

    def _order(self, wanted):
        """Send one order; None if the right to order has ended."""
        endpoint, holding = wanted
        if not self.turn.is_held(time.monotonic()):
            return None
        return self.engines.place(
            endpoint,
            holding,
            self.orders.accepted_orders(endpoint),
            self.turn.term,
        )

    def _note_order(self, endpoint, holding, result, seconds):
        expected = self.orders.accepted_orders(endpoint)
        self.metrics.count(f'orders.{result.value}')
        self.orders.note_order(
            endpoint, holding, expected, result.value, seconds
        )
        logs.event(
            LOG,
            'order',
            endpoint=endpoint.id,
            first=holding.first,
            end=holding.end,
            held=_text(endpoint.holding),
            expected_orders=expected,
            term=self.turn.term,
            result=result.value,
        )
        if result is ports.OrderResult.STALE:
            self.turn.note_lost()
        if result is ports.OrderResult.UNKNOWN:
            self._note_unreachable(endpoint)

    def _status(self, endpoint):
        """Ask an engine for its status; None without an answer."""
        try:
            return self.engines.status(endpoint.address, STATUS_TIMEOUT)
        except exceptions.IbisringError as error:
            logs.event(
                LOG, 'no_status', endpoint=endpoint.id, why=error.detail
            )
            return None

    def _note_count(self, endpoint, status):
        if status is None:
            self._note_unreachable(endpoint)
        elif status.busy:
            self.orders.note_busy(endpoint, time.monotonic())
        else:
            self.orders.note_accepted_orders(endpoint, status.orders)

    def _note_unreachable(self, endpoint):
        with self.view.lock:
            self.view.estimates.note_unreachable(endpoint.id, time.monotonic())


def _load_seconds(endpoint, holding, model):
    """Give the time to load what of a range an engine does not hold."""
    held = endpoint.holding
    kept = 0
    if held is not None:
        kept = max(
            0, min(held.end, holding.end) - max(held.first, holding.first)
        )
    return (holding.count - kept) * model.load_seconds / model.layers


def _text(holding):
    if not isinstance(holding, routing.Holding):
        return None
    return f'{holding.first}-{holding.end}'
