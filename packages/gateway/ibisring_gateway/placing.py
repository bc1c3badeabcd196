"""Actor that plans layer placement and sends orders to engines."""

__all__ = ['CheckPlacement', 'Placer']

import logging
import random
import time

from ibisring_gateway import directory
from ibisring_gateway import ports
from ibisring_gateway import workerpool
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
# An engine that does not answer stays in the plan for this time: shorter than
# the lifetime of its entry, longer than a brief stall.
LOST_AFTER_SECONDS = 0.4
STATUS_TIMEOUT_SECONDS = 0.3
# Engines called concurrently: one that does not answer would otherwise delay
# the orders to all others by half a second.
MAX_CONCURRENT_CALLS = 8
# Slowdown from which an engine is left out of the plan: at 4, one of ten
# stages is busy for a third of the time with the prompts of its domain.
MAX_SLOWDOWN = 4.0


class CheckPlacement(msgspec.Struct):
    """Message: check whether any engine should hold other layers."""


class Placer(actors.MessageActor):
    """Plans placement, holds the lease, and sends orders.

    Parameters
    ----------
    view : view.View
    lease_table : ports.LeaseTable
    engines : ports.EngineControl
    router_id : str
    metrics : metrics.Metrics
    store_statuses : callable
        Returns the store statuses reported lately by other routers, by name.
    send_to_directory : callable
        Takes `directory.HoldingReport` messages.
    on_outage_suspected : callable
        Called when the store does not answer.
    min_pool_requests : int
        See `layers.pools`.
    on_silence : callable
        Called with an engine that hasn't answered, and when it was asked.
    """

    def __init__(
        self,
        view,
        lease_table,
        engines,
        router_id,
        metrics,
        store_statuses,
        send_to_directory,
        on_outage_suspected,
        min_pool_requests=layers.MIN_REQUESTS,
        on_silence=lambda endpoint, started: None,
    ):
        super().__init__()
        self.on_silence = on_silence
        self.router_id = router_id
        self.store_statuses = store_statuses
        self.send_to_directory = send_to_directory
        self.on_outage_suspected = on_outage_suspected
        self.min_pool_requests = min_pool_requests
        self.pool = workerpool.make_worker_pool(MAX_CONCURRENT_CALLS)
        self.view = view
        self.engines = engines
        self.metrics = metrics
        self.lease = layerorders.make_lease(
            router_id, random.Random().random()
        )
        self.lease_table = lease_table
        self.orders = layerorders.make_order_tracker()
        self.registrations = layerorders.Registrations()
        self.pool_tracker = layerorders.PoolTracker()
        self.missing_layers = {}
        self.pool_rooms = {}
        self.last_checks = {}

    def handlers(self):
        return {CheckPlacement: self.on_check}

    def on_check(self, message):
        """Compare the layers held with the plan, and order the changes."""
        snapshot = self.view.snapshot
        if snapshot.index is None or not snapshot.endpoints_known:
            return
        for service in snapshot.index.table.services:
            if service.model is None or self._is_cut_from(service):
                continue
            self._check_service(service, snapshot)

    def _is_cut_from(self, service):
        """Return whether this router reaches no engine of a service.

        Its plan would replace engines that run, and its orders reach none;
        without it, another router takes the lease.
        """
        with self.view.lock:
            return self.view.links.is_cut(service.name)

    def _check_service(self, service, snapshot):
        now = time.monotonic()
        usable = self._usable_engines(service, snapshot, now)
        if not self.registrations.are_settled(usable, now):
            return
        self.orders.update(usable, now)
        engines = self._planner_engines(usable, service.model, now)
        if self.view.store_lost_at is not None:
            self._query_ordered_engines(usable)
        if now - snapshot.known_since < presence.REREGISTER_SECONDS:
            # Entries that expired in an outage return within two seconds.  A
            # router that has just started can't distinguish their engines
            # from lost ones, and would reassign all engines that it sees.
            return
        needs_changes = self._needs_changes(service, engines, usable, now)
        self.lease.note_holder(self.view.term, now)
        if not self.lease.may_act(needs_changes, now):
            return
        if not self._acquire_lease(now):
            return
        engines = self._with_memory_use(engines, usable, service.model, now)
        pools = layers.pools(engines, service.model, self.min_pool_requests)
        gap_seconds = self.pool_tracker.gap_seconds(service.name, now)
        changes = layers.plan_pools(pools, service.model, gap_seconds)
        by_id = {e.id: e for e in usable}
        planned = [(by_id[c.id], c.holding) for c in changes]
        self._send_orders(planned, pools, service)

    def _track_pools(self, service, pools, now):
        """Return for how long layers have lacked a holder, by domains."""
        count = service.model.layers
        found = [
            (tuple(p.domains), p.is_complete(count), p.has_gaps(count))
            for p in pools
        ]
        self.pool_tracker.update(service.name, found, now)
        return self.pool_tracker.gap_seconds(service.name, now)

    def _report_pools(self, service, pools):
        """Log changed pools, and set the metric of the smallest room."""
        found = [
            (
                pool.domains,
                round(layers.room_requests(pool, service.model)),
                pool.is_complete(service.model.layers),
            )
            for pool in pools
        ]
        if found == self.pool_rooms.get(service.name):
            return
        self.pool_rooms[service.name] = found
        rooms = [
            room
            for entries in self.pool_rooms.values()
            for _, room, is_complete in entries
            if is_complete
        ]
        self.view.pool_room_requests = min(rooms, default=0)
        logs.event(
            LOG,
            'layer_pools',
            service=service.name,
            pools=[
                {'domains': domains, 'room': room, 'complete': is_complete}
                for domains, room, is_complete in found
            ],
        )

    def _needs_changes(self, service, engines, usable, now):
        """Return whether any engine of a service should hold other layers.

        Every router checks several times a second, while the engines seldom
        differ from the last check.  How full they are is left out: it decides
        only which of them are changed.  Layers that are lacking for long are
        planned for in another way.
        """
        overdue = self.pool_tracker.lacking_for(
            service.name, layers.RETILE_SECONDS, now
        )
        key = service.model, engines, overdue
        known = self.last_checks.get(service.name)
        if known is not None and known[0] == key:
            return known[1]
        self._log_missing_layers(service, usable)
        pools = layers.pools(engines, service.model, self.min_pool_requests)
        self._report_pools(service, pools)
        gap_seconds = self._track_pools(service, pools, now)
        needs_changes = bool(
            layers.plan_pools(pools, service.model, gap_seconds)
        )
        self.last_checks[service.name] = key, needs_changes
        return needs_changes

    def _with_memory_use(self, engines, usable, model, now):
        """Return the engines with the share of their memory in use."""
        with self.view.lock:
            holders = self.view.estimates.holders(usable, model, now)
        loads = {h.id: h.used / h.capacity for h in holders if h.capacity > 0}
        return [
            msgspec.structs.replace(e, memory_use=loads.get(e.id, 0.0))
            for e in engines
        ]

    def _planner_engines(self, usable, model, now):
        """Return the engines that may be ordered, as the planner's input."""
        # On a site that is starting up, no engine replaces another.
        is_running_site = any(e.holding is not None for e in usable)
        found = []
        for each in usable:
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
                    is_running_site
                    and self.registrations.has_just_registered(each, now),
                    card.step_factor,
                    is_unloading=self.orders.gives_up_layers(each),
                )
            )
        return found

    def _query_ordered_engines(self, usable):
        """Query ordered engines for their layers during a store outage.

        Their entries can't change then; without these reports no router would
        use the layers that were loaded, and they would be ordered again.
        """
        ordered = [e for e in usable if e.id in self.orders.pending]
        for endpoint, (status, _) in zip(
            ordered, self.pool.run_all(self._query_status, ordered)
        ):
            if status is None:
                continue
            self.view.reported_holdings[endpoint.id] = (
                self.view.clock(),
                status.started,
                status.holding,
            )
            self.send_to_directory(
                directory.HoldingReport(
                    endpoint.id, status.started, status.holding
                )
            )

    def _log_missing_layers(self, service, usable):
        """Log changes in the layers that are missing in failure domains."""
        engines = [
            windows.Engine(e.id, e.failure_domain, 0.0, e.holding)
            for e in usable
        ]
        found = layers.missing(engines, service.model.layers)
        texts = {
            domain: [_range_text(gap) for gap in gaps]
            for domain, gaps in found.items()
        }
        if texts != self.missing_layers:
            self.missing_layers = texts
            logs.event(
                LOG, 'layers_missing', domains=texts, engines=len(usable)
            )

    def _usable_engines(self, service, snapshot, now):
        estimates = self.view.estimates
        known = [
            each
            for each in snapshot.by_service.get(service.name, ())
            if service.model.card(each.card) is not None
        ]
        with self.view.lock:
            connected_at = self.view.links.connected_at()
            return [
                each
                for each in known
                if not estimates.is_lost(
                    each.id, now, LOST_AFTER_SECONDS, connected_at
                )
                and not self._is_too_slow(each, now)
                and not estimates.is_probably_leaving(each.id, now)
            ]

    def _is_too_slow(self, endpoint, now):
        """Return whether an engine's layers should be held by others too.

        A stage that is many times slower can't keep up with the prompts of
        its domain, and all streams there pause.
        """
        return self.view.estimates.slowdown(endpoint.id, now) >= MAX_SLOWDOWN

    def _acquire_lease(self, now):
        """Acquire or renew the lease by a conditional write to the store.

        Without the lease every router would send the same orders, and one
        with an older view would revert what another has just ordered.
        """
        self.lease.note_term(self.view.term)
        if self.lease.is_held(time.monotonic()):
            return True
        if self.view.snapshot.store_lost_at is not None:
            return self._lead_without_store()
        try:
            row = self.lease_table.read_lease()
            row_to_write = self.lease.next_row(row, time.monotonic())
            if row_to_write is None:
                return False
            written = self.lease_table.write_lease(row_to_write)
        except exceptions.IbisringError as error:
            logs.event(
                LOG,
                'lease_unavailable',
                late_ms=self.view.late_ms(now),
                why=error.detail,
            )
            self.on_outage_suspected()
            if self.view.lease_lost_at is None:
                self.view.lease_lost_at = time.monotonic()
            return self._lead_without_store()
        self.view.lease_lost_at = None
        if written is None:
            logs.event(LOG, 'lease_lost_race', term=row_to_write.term)
            return False
        self.lease.note_acquired(now)
        self.view.term = max(self.view.term, row_to_write.term)
        logs.event(LOG, 'lease_taken', term=row_to_write.term)
        self.metrics.count('leases_taken')
        return True

    def _lead_without_store(self):
        lost_at = self.view.store_lost_at
        if lost_at is None:
            return False
        now = time.monotonic()
        statuses = self.store_statuses()
        if not layerorders.leads_without_store(
            self.router_id, now - lost_at, statuses
        ):
            return False
        self.lease.lead_without_store(now)
        logs.event(
            LOG,
            'leads_without_store',
            lost_ms=round((now - lost_at) * 1000.0),
            heard=sorted(statuses),
            term=self.lease.term,
        )
        return True

    def _send_orders(self, planned, pools, service):
        """Send orders concurrently, as many as may load at once.

        Parameters
        ----------
        planned : list of (routing.Endpoint, routing.Holding)
        pools : list of layers.Pool
        service : routing.Service
        """
        model = service.model
        unknown = [
            e for e, _ in planned if self.orders.accepted_orders(e) is None
        ]
        for endpoint, (status, started) in zip(
            unknown, self.pool.run_all(self._query_status, unknown)
        ):
            self._record_order_count(endpoint, status, started)
        now = time.monotonic()
        ready = [
            (endpoint, holding)
            for endpoint, holding in planned
            if self.orders.accepted_orders(endpoint) is not None
            and not self.orders.is_blocked(endpoint, now)
        ]
        broken = self.pool_tracker.broken[service.name]
        waiting = [
            e.failure_domain
            for e in self.view.snapshot.by_service.get(service.name, ())
            if self.orders.is_unloading(e, now)
        ]
        ready = _due_orders(ready, pools, model, broken, waiting)
        results = self.pool.run_all(self._send_order, ready)
        for (endpoint, holding), result in zip(ready, results):
            if result is not None:
                seconds = _load_seconds(endpoint, holding, model)
                self._record_order(endpoint, holding, result, seconds)

    def _send_order(self, planned):
        """Send one order; None if the lease has expired."""
        endpoint, holding = planned
        if not self.lease.is_held(time.monotonic()):
            return None
        return self.engines.place(
            endpoint,
            holding,
            self.orders.accepted_orders(endpoint),
            self.lease.term,
        )

    def _record_order(self, endpoint, holding, result, seconds):
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
            held=_range_text(endpoint.holding),
            expected_orders=expected,
            term=self.lease.term,
            result=result.value,
        )
        if result is ports.OrderResult.STALE:
            self.lease.note_lost()
        if result is ports.OrderResult.UNKNOWN:
            self.on_silence(endpoint, self.view.clock())

    def _query_status(self, endpoint):
        """Query an engine's status.

        Returns
        -------
        (ports.EngineStatus or None, float)
            None without an answer, and when it was asked.
        """
        started = self.view.clock()
        try:
            status = self.engines.status(endpoint, STATUS_TIMEOUT_SECONDS)
            return status, started
        except exceptions.IbisringError as error:
            logs.event(
                LOG,
                'no_status',
                endpoint=endpoint.id,
                late_ms=self.view.late_ms(started),
                why=error.detail,
            )
            return None, started

    def _record_order_count(self, endpoint, status, started):
        if status is None:
            self.on_silence(endpoint, started)
        elif status.busy:
            self.orders.note_busy(endpoint, time.monotonic())
        else:
            self.orders.note_accepted_orders(endpoint, status.orders)


def _due_orders(ready, pools, model, broken, waiting):
    """Return the orders to send now, see `layers.due`."""
    by_id = {endpoint.id: endpoint for endpoint, _ in ready}
    changes = [layers.Change(e.id, holding) for e, holding in ready]
    return [
        (by_id[change.id], change.holding)
        for change in layers.due(changes, pools, model, broken, waiting)
    ]


def _load_seconds(endpoint, holding, model):
    """Return the seconds to load the layers that an engine lacks."""
    held = endpoint.holding
    retained = 0
    if held is not None:
        retained = max(
            0, min(held.end, holding.end) - max(held.first, holding.first)
        )
    return (holding.count - retained) * model.load_seconds / model.layers


def _range_text(holding):
    if not isinstance(holding, routing.Holding):
        return None
    return f'{holding.first}-{holding.end}'
