"""Holding leases, and sending engines orders to match their records."""

__all__ = ['LeaseActor', 'Reconciler', 'make_reconciler']

import logging
import time
import uuid

from ibisring_backing import engines
from ibisring_backing import weights
from ibisring_policy import leases
from ibisring_policy import orders
from ibisring_records import exceptions
from ibisring_router import actors
from ibisring_router import logs
from ibisring_web import calls
import msgspec

LOG = logging.getLogger(__name__)
SHARE_COUNT = 16
MAX_RELEASE_TRIES = 3
LEASE_PREFIX = 'leases/'
TABLE_ERRORS = (
    exceptions.PlatformUnavailable,
    exceptions.PlatformAnswerLost,
    exceptions.Conflict,
)


class RunRound(msgspec.Struct):
    """Asks to read, renew and acquire leases once."""

    members: list[str]


class ReleaseLeases(msgspec.Struct):
    """Asks to release all leases of this process."""


class GetLeases(msgspec.Struct):
    """Asks for the leases, by share."""


class LeaseActor(actors.MessageActor):
    """Owns this router's view of all leases.

    Parameters
    ----------
    own_id : str
    seconds : float
    table : tables.TableService
        Used for rounds, which are repeated and may be delayed.
    release_table : tables.TableService
        Used for the release at shutdown, which is not repeated.
    clock : callable
    """

    def __init__(self, own_id, seconds, table, release_table, clock):
        super().__init__()
        self.own_id = own_id
        self.table = table
        self.release_table = release_table
        self.clock = clock
        self.leases = {
            share: leases.Lease(own_id, seconds)
            for share in range(SHARE_COUNT)
        }

    def handlers(self):
        return {
            RunRound: self.on_round,
            ReleaseLeases: self.on_release,
            GetLeases: self.on_get_leases,
        }

    def on_round(self, message):
        own_shares = [
            share
            for share, lease in self.leases.items()
            if self._is_contender(share, message.members)
            or lease.holds(self.clock())
        ]
        self._read_rows(self.table, own_shares)
        for share in own_shares:
            self._acquire_or_renew(share, message.members)

    def on_release(self, message):
        """Release this process's rows; return the shares not released.

        Each try reads the rows again, so a lost write is repeated.
        """
        for _ in range(MAX_RELEASE_TRIES):
            if not self._own_terms():
                break
            try:
                self._read_rows(self.release_table, self._own_terms())
            except TABLE_ERRORS:
                continue
            for share in self._own_terms():
                self._release(share)
        return self._own_terms()

    def on_get_leases(self, message):
        return self.leases

    def _is_contender(self, share, members):
        return self.own_id in leases.contenders(share, members)

    def _read_rows(self, table, shares):
        """Read the rows of some shares and update their leases."""
        if not shares:
            return
        rows = table.read([_row_key(share) for share in shares])
        for share in shares:
            row = rows.get(_row_key(share))
            stored, version = None, 0
            if row is not None:
                stored = msgspec.convert(row.value, leases.LeaseRow)
                version = row.version
            self.leases[share].observe(stored, version, self.clock())

    def _own_terms(self):
        return [s for s, lease in self.leases.items() if lease.is_own_term()]

    def _release(self, share):
        lease = self.leases[share]
        row = lease.released_row()
        version = self._write(self.release_table, share, row, lease.version)
        if version is not None:
            lease.observe(row, version, self.clock())

    def _acquire_or_renew(self, share, members):
        lease = self.leases[share]
        now = self.clock()
        intent = lease.intent(now, self._is_contender(share, members))
        if intent is leases.Intent.WAIT:
            return
        desired = lease.next_row(intent)
        sent_at = self.clock()
        version = self._write(self.table, share, desired, lease.version)
        if version is None:
            return
        lease.written(desired, version, sent_at, intent)
        if intent is leases.Intent.ACQUIRE:
            logs.event(
                LOG, 'lease_taken', share=share, fencing=desired.fencing
            )

    def _write(self, table, share, row, version):
        """Write a lease row; return its new version, None after an error."""
        key = _row_key(share)
        try:
            written = table.commit(
                {key: version}, {key: msgspec.to_builtins(row)}
            )
        except TABLE_ERRORS:
            # If it took effect nevertheless, the next round reads the row and
            # waits for it to expire, as for another router's row.
            return None
        return written[key]


def _row_key(share):
    return f'{LEASE_PREFIX}{share:04d}'


class Reconciler:
    """Sends orders to the engines whose leases this router holds.

    Parameters
    ----------
    keeper : recordkeeping.RecordKeeper
    poller : statuspolling.StatusPoller
    actor : pykka.ActorRef
        Of a `LeaseActor`.
    weight_store : weights.WeightStore
    caller : calls.Caller
        Its read timeout must not exceed ``orders.ORDER_TIMEOUT_SECONDS``.
    members : callable
        Returns the ids of the routers that answer, including this one.
    metrics : metrics.Metrics
    clock : callable
    """

    def __init__(
        self,
        keeper,
        poller,
        actor,
        weight_store,
        caller,
        members,
        metrics,
        clock,
    ):
        self.keeper = keeper
        self.poller = poller
        self.actor = actor
        self.weight_store = weight_store
        self.caller = caller
        self.members = members
        self.metrics = metrics
        self.clock = clock
        self.budget = orders.WeightFetchBudget(SHARE_COUNT)
        self.idle = orders.IdleTracker()
        self.held = set()

    def run_round(self):
        """Renew and acquire leases, then send the orders that are due."""
        try:
            self.actor.ask(RunRound(self.members()))
        except TABLE_ERRORS:
            # Leases expire by themselves; routing goes on without orders.
            self.metrics.count('leases.table_unavailable')
        configuration = self.keeper.current
        if configuration is None:
            return
        held = self.actor.ask(GetLeases())
        self.held = {
            share for share, lease in held.items() if lease.holds(self.clock())
        }
        for endpoint in configuration.endpoints.values():
            share = leases.share_of(endpoint.name, SHARE_COUNT)
            if held[share].holds(self.clock()):
                self._reconcile(endpoint, share, held[share], configuration)

    def _reconcile(self, endpoint, share, lease, configuration):
        status = self.poller.statuses.get(endpoint.name)
        if status is None:
            return
        idle = self.idle.observe(endpoint, status, self.clock())
        desired = orders.next_order(endpoint, status, configuration, idle)
        if desired is None or not self._fits_fetch_budget(share, desired):
            return
        order = engines.EngineOrder(
            id=uuid.uuid4().hex,
            kind=desired.kind,
            fencing=lease.row.fencing,
            model=desired.model,
            version=desired.version,
            first_layer=desired.first_layer,
            last_layer=desired.last_layer,
            weights=desired.weights,
            adapters=desired.adapters,
            role=desired.role,
        )
        if orders.may_send(endpoint, lease, self.clock()):
            self._send(endpoint, order)

    def _fits_fetch_budget(self, share, desired):
        if not desired.megabytes:
            return True
        try:
            rate = self.weight_store.limit()
        except exceptions.IbisringError:
            return False
        return self.budget.take(share, desired.megabytes, rate, self.clock())

    def _send(self, endpoint, order):
        self.metrics.count(f'orders.{order.kind}')
        logs.event(
            LOG,
            'order_sent',
            endpoint=endpoint.name,
            kind=order.kind.value,
            fencing=order.fencing,
        )
        try:
            report = self.caller.call(
                'POST',
                endpoint.spec.address,
                '/v1/orders',
                order,
                cls=engines.OrderReport,
                fresh=True,
            )
        except (calls.CallError, exceptions.IbisringError) as error:
            # The status is polled again before the next order.
            self.metrics.count('orders.failed')
            logs.event(
                LOG,
                'order_failed',
                endpoint=endpoint.name,
                problem=str(error),
            )
            return
        self.poller.statuses[endpoint.name] = report.status

    def holds_share(self, share):
        """Return whether the last round found a share's lease held here."""
        return share in self.held

    def holds_lease_of(self, name):
        """Return whether the lease of an endpoint's share is held here."""
        return self.holds_share(leases.share_of(name, SHARE_COUNT))

    def release(self):
        """Release all leases, for a graceful shutdown.

        Other routers wait until those that could not be released expire.
        """
        unreleased = self.actor.ask(ReleaseLeases())
        if unreleased:
            self.metrics.count('leases.not_released', len(unreleased))
            logs.event(LOG, 'leases_not_released', shares=unreleased)

    def stop(self):
        self.actor.stop()


def make_reconciler(
    settings,
    table,
    release_table,
    keeper,
    poller,
    members,
    metrics,
    caller,
    clock=time.monotonic,
):
    """Start the lease actor and return the reconciler of a router."""
    actor = LeaseActor.start(
        settings.router_id,
        settings.lease_seconds,
        table,
        release_table,
        clock,
    )
    return Reconciler(
        keeper,
        poller,
        actor,
        weights.http_weights(settings.platform, caller),
        caller,
        members,
        metrics,
        clock,
    )
