"""Actor that maintains the endpoints and the routing table in force."""

__all__ = [
    'ReadResult',
    'ReadFailed',
    'Confirmed',
    'HoldingReport',
    'LeavingReport',
    'Tick',
    'Directory',
]

import logging

from ibisring_gateway import ports
from ibisring_gateway import view as view_module
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import presence
from ibisring_policy.gateway import routetable
from ibisring_records import routing
from ibisring_router import actors
from ibisring_router import logs
import msgspec

LOG = logging.getLogger(__name__)
STORE = 'store'
SECOND_MS = 1000.0


class ReadResult(msgspec.Struct):
    """Result of a read; `whole` if the items are the complete table.

    `origin` names the store or a peer router; `position` (see `positions`) is
    that of the items, `newest_version` that of the newest one, which says
    nothing of what was removed before a whole read; `age` is the
    seconds since the store was read, `waited` the seconds that the call took.
    `unconfirmed` names the endpoints whose entries were missing there, but may
    be written again.
    """

    items: list
    whole: bool
    origin: str = STORE
    is_table: bool = False
    position: int = 0
    age: float = 0.0
    waited: float = 0.0
    newest_version: int = 0
    unconfirmed: list[str] = []

    @property
    def seen_since(self):
        """Position after which every change has been seen."""
        if self.whole:
            return self.position
        return self.newest_version or self.position


class Confirmed(msgspec.Struct):
    """Versions that a router which reads the store has confirmed as current.

    `table_version` is that of the routing table, `table_position` the
    position up to which the table was read; `newest_version` is the position
    after which every change of endpoints was seen, `position` the one up to
    which they were read; `age` is the seconds since these reads.
    """

    table_version: int
    table_position: int
    newest_version: int
    position: int
    age: float


class ReadFailed(msgspec.Struct):
    """A read of the store failed after `waited` seconds."""

    reason: str
    is_table: bool = False
    waited: float = 0.0


class HoldingReport(msgspec.Struct):
    """Layers that an engine reported directly during a store outage."""

    id: str
    started: int
    holding: routing.Holding | None


class LeavingReport(msgspec.Struct):
    """An endpoint says in an answer that it is leaving.

    `origin` is the endpoint, or names the router that was answered.
    """

    id: str
    started: int
    origin: str = 'endpoint'


class Tick(msgspec.Struct):
    """Periodic message: expires endpoints missing since an outage."""


class Directory(actors.MessageActor):
    """Applies read results to the view as new snapshots.

    Parameters
    ----------
    view : view.View
    metrics : metrics.Metrics
    connections : upstream.ConnectionPool
    on_change : callable
        Called after endpoints have changed.
    on_table : callable
        Called with each routing table that comes into force.
    """

    def __init__(self, view, metrics, connections, on_change, on_table):
        super().__init__()
        self.view = view
        self.metrics = metrics
        self.connections = connections
        self.on_change = on_change
        self.on_table = on_table
        self.presence = presence.make_presence()
        self.lost_tables = set()

    def handlers(self):
        return {
            ReadResult: self.on_read,
            ReadFailed: self.on_read_failed,
            Confirmed: self.on_confirmed,
            HoldingReport: self.on_holding_report,
            LeavingReport: self.on_leaving_report,
            Tick: self.on_tick,
        }

    def on_read_failed(self, message):
        """Record that the store does not answer."""
        now = self.view.clock()
        if self.presence.read_failed(now):
            self._replace(store_lost_at=now)
            self.metrics.count('store_lost')
        source = _table_name(message)
        if source not in self.lost_tables:
            self.lost_tables.add(source)
            self._log_store_event(
                'store_lost', message, now, why=message.reason
            )

    def on_read(self, message):
        """Apply the result of a read."""
        now = self.view.clock()
        if message.origin == STORE:
            self._store_answered(message, now)
        if message.is_table:
            self._replace(table_read_at=now - message.age)
            for table in message.items:
                self._apply_table(table, message.origin)
            position = max(self.view.snapshot.table_position, message.position)
            self._replace(table_position=position)
            return
        self._apply_endpoints(message, now)

    def on_confirmed(self, message):
        """Update read times and versions that a reader has confirmed."""
        before = self.view.snapshot
        read_at = self.view.clock() - message.age
        if message.table_version == before.version:
            position = max(before.table_position, message.table_position)
            self._replace(
                table_read_at=max(before.table_read_at, read_at),
                table_position=position,
            )
        if message.newest_version <= before.position:
            self._replace(
                endpoints_read_at=max(before.endpoints_read_at, read_at),
                position=max(before.position, message.position),
            )

    def _store_answered(self, message, now):
        self.view.lease_lost_at = None
        if self.presence.read_succeeded(now):
            self._replace(store_lost_at=None)
        source = _table_name(message)
        if source in self.lost_tables:
            self.lost_tables.discard(source)
            self._log_store_event('store_regained', message, now)

    def _log_store_event(self, name, message, now, **facts):
        """Log that the store stopped or resumed serving one of its tables.

        Each table is followed by separate calls, so that one may be read
        again long before the other.
        """
        before = self.view.snapshot
        read_at = (
            before.table_read_at
            if message.is_table
            else before.endpoints_read_at
        )
        logs.event(
            LOG,
            name,
            source=_table_name(message),
            waited_ms=round(message.waited * SECOND_MS),
            late_ms=self.view.late_ms(now - message.waited),
            age_ms=round((now - read_at) * SECOND_MS),
            **facts,
        )

    def on_tick(self, message):
        """Drop endpoints that did not come back after an outage.

        Answers of the store may be seconds apart; without this, requests
        would go to an endpoint that has left until the next answer.
        """
        now = self.view.clock()
        if self.presence.expire(self._ran_until(now)):
            self._publish_again(now, 'time')

    def _ran_until(self, now):
        """Return the time without what this process has just stood still.

        What was written to the store meanwhile has not been read yet.
        """
        grace = presence.REREGISTER_SECONDS
        return self.view.health.span_start(grace, now) + grace

    def on_holding_report(self, message):
        """Apply an engine's own report while its store entry can't change."""
        if self.view.store_lost_at is None:
            return
        if self.presence.update_holding(
            message.id, message.started, message.holding
        ):
            self._publish_again(self.view.clock(), 'engine')

    def on_leaving_report(self, message):
        """Stop using an endpoint that says that it leaves.

        Its entry may say so later, or never: an endpoint that can't reach the
        store still answers.
        """
        now = self.view.clock()
        if self.presence.report_leaving(message.id, message.started, now):
            self._publish_again(now, message.origin)

    def _apply_table(self, table, origin):
        """Put a table in force unless it is older than the current one.

        A store that serves stale state, or a peer that is behind, would
        otherwise restore a revoked key or a removed route.
        """
        before = self.view.snapshot
        if before.index is not None and table.version <= before.version:
            return
        index = routetable.make_index(table)
        # Whether an endpoint can be used depends on the model of its service.
        by_service = _group_ready(before.endpoints, index)
        self._replace(index=index, by_service=by_service)
        with self.view.lock:
            self.view.rank_shares.set_ranked(index.ranked_services)
        logs.event(
            LOG,
            'table_in_force',
            version=table.version,
            before=before.version,
            origin=origin,
            routes=len(table.routes),
            accounts=len(table.accounts or ()),
        )
        self.metrics.count('tables_applied')
        self.on_table(table)

    def _apply_endpoints(self, message, now):
        """Put endpoints in force unless a newer version is known.

        A process that was suspended may resume with an old answer after
        another router has sent newer state; an endpoint that is leaving
        would then seem to stay.  Nothing is lost by ignoring the answer: the
        next call continues from the older position.
        """
        if message.position < self.view.snapshot.position:
            logs.event(
                LOG,
                'old_state',
                origin=message.origin,
                position=positions.text(message.position),
                known=positions.text(self.view.snapshot.position),
            )
            return
        if self._is_next_era(message):
            self.presence.store_restored(now)
        if message.origin != STORE:
            self.presence.store_served_peer(now - message.age)
            if message.position <= self.view.snapshot.position:
                return
        if message.whole:
            # A peer has read the store, so endpoints missing from its list
            # have left, unless the store itself lacks some.
            confirmed = (
                message.origin != STORE
                and not self.presence.awaits_rewrites(now)
            )
            changed = self.presence.replace(
                message.items, now, confirmed, message.unconfirmed
            )
        else:
            changed = self._apply_each(message.items, now)
        changed |= self.presence.expire(self._ran_until(now))
        read_at = now - message.age
        if changed or not self.view.snapshot.endpoints_known:
            self._publish(
                now,
                message.origin,
                read_at,
                message.position,
                message.seen_since,
            )
            return
        self._replace(endpoints_read_at=read_at, position=message.position)
        if message.whole:
            # What came and went between two whole reads was not seen.
            self._replace(newest_version=message.seen_since)

    def _is_next_era(self, message):
        snapshot = self.view.snapshot
        known_era = positions.era(snapshot.position)
        is_later = positions.era(message.position) > known_era
        return snapshot.endpoints_known and is_later

    def _apply_each(self, items, now):
        """Add or remove endpoints; True if anything changed."""
        changed = False
        for item in items:
            if isinstance(item, ports.Removed):
                changed |= self.presence.remove(item.id, now)
            else:
                changed |= self.presence.put(item, now)
        return changed

    def _publish_again(self, now, origin):
        """Put endpoints in force that changed without a read."""
        known = self.view.snapshot
        self._publish(
            now,
            origin,
            known.endpoints_read_at,
            known.position,
            known.newest_version or known.position,
        )

    def _publish(self, now, origin, read_at, position, seen_since):
        """Put the usable endpoints in force as a new snapshot.

        Parameters
        ----------
        now : float
        origin : str
        read_at : float
            When the store was read.
        position : int
            Position up to which it was read.
        seen_since : int
            Position after which every change was seen.
        """
        before = self.view.snapshot
        usable = self.presence.usable()
        by_service = _group_ready(usable, before.index)
        self._replace(
            endpoints=usable,
            by_service=by_service,
            unconfirmed=frozenset(self.presence.unconfirmed),
            leaving=self.presence.leaving(),
            endpoints_read_at=read_at,
            position=position,
            newest_version=seen_since,
            endpoints_known=True,
            known_since=before.known_since if before.endpoints_known else now,
        )
        self.connections.close_except(usable)
        with self.view.lock:
            self.view.estimates.retain(usable)
            self.view.query_rate.retain(usable)
            self.view.limits.keep_only(usable)
            for endpoint in usable.values():
                self.view.limits.record_start(endpoint.id, endpoint.started)
                estimate = self.view.estimates.get(endpoint.id)
                if estimate.started != endpoint.started:
                    estimate.started = endpoint.started
                    self.view.estimates.note_reachable(endpoint.id, now)
        self._charge_ended_processes(usable, now)
        logs.event(
            LOG,
            'endpoints',
            origin=origin,
            usable=len(usable),
            ready=sum(len(group) for group in by_service.values()),
            changed=self.presence.drain_changes(),
        )
        self.on_change()

    def _charge_ended_processes(self, usable, now):
        """Charge requests whose answers were lost as a process ended."""
        processes = {each.id: each.started for each in usable.values()}
        with self.view.lock:
            charged = self.view.suspects.processes_known(processes, now)
            parts = self.view.parts.processes_known(processes, now)
        if parts:
            logs.event(
                LOG,
                'part_suspects',
                parts=[name.hex() for name in parts],
                origin='later start',
            )
        for digest in charged:
            self.metrics.count('endpoints_ended_by_requests')
            logs.event(
                LOG, 'suspect', digest=digest.hex(), origin='later start'
            )

    def _replace(self, **values):
        before = self.view.snapshot
        fields = {
            name: getattr(before, name) for name in before.__struct_fields__
        }
        fields.update(values)
        self.view.snapshot = view_module.Snapshot(**fields)


def _table_name(message):
    """Return the name of a message's table for log lines."""
    return 'table' if message.is_table else 'endpoints'


def _group_ready(endpoints, index):
    """Return the endpoints that are ready for requests, by service.

    Parameters
    ----------
    endpoints : dict of str to routing.Endpoint
    index : routetable.Index or None

    Returns
    -------
    dict of str to list of routing.Endpoint
    """
    services = index.services if index else {}
    found = {}
    for endpoint in endpoints.values():
        if endpoint.state is not routing.EndpointState.READY:
            continue
        service = services.get(endpoint.service)
        if service is None or service.fits(endpoint.holding):
            found.setdefault(endpoint.service, []).append(endpoint)
    return found
