"""Holding leases and bringing engines to what records say."""

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
RELEASE_TRIES = 3
LEASE_PREFIX = 'leases/'
TABLE_ERRORS = (
    exceptions.PlatformUnavailable,
    exceptions.PlatformAnswerLost,
    exceptions.Conflict,
)


class RunRound(msgspec.Struct):
    """Asks for one round of reading, renewing and taking leases."""

    members: list[str]


class ReleaseLeases(msgspec.Struct):
    """Hands all held leases over."""


class GetLeases(msgspec.Struct):
    """Asks for the leases, by share."""


class LeaseActor(actors.MessageActor):
    """Owns this router's view of all leases.

    Parameters
    ----------
    own_id : str
    seconds : float
    table : tables.TableService
        For rounds, which may be put off.
    release_table : tables.TableService
        For the release, which comes once.
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
        mine = [
            share
            for share, lease in self.leases.items()
            if self._contends(share, message.members)
            or lease.holds(self.clock())
        ]
        self._observe(self.table, mine)
        for share in mine:
            self._settle(share, message.members)

    def on_release(self, message):
        """Release this process's rows; give the shares left unreleased.

        A write that was lost is seen by the next try's reading, and redone.
        """
        for _ in range(RELEASE_TRIES):
            if not self._own_terms():
                break
            try:
                self._observe(self.release_table, self._own_terms())
            except TABLE_ERRORS:
                continue
            for share in self._own_terms():
                self._release(share)
        return self._own_terms()

    def on_get_leases(self, message):
        return self.leases

    def _contends(self, share, members):
        return self.own_id in leases.contenders(share, members)

    def _observe(self, table, shares):
        """Read the rows of some shares and take them in."""
        if not shares:
            return
        rows = table.read([_row_key(share) for share in shares])
        for share in shares:
            row = rows.get(_row_key(share))
            found, version = None, 0
            if row is not None:
                found = msgspec.convert(row.value, leases.LeaseRow)
                version = row.version
            self.leases[share].observe(found, version, self.clock())

    def _own_terms(self):
        return [s for s, lease in self.leases.items() if lease.is_own_term()]

    def _release(self, share):
        lease = self.leases[share]
        row = lease.released_row()
        version = self._write(self.release_table, share, row, lease.version)
        if version is not None:
            lease.observe(row, version, self.clock())

    def _settle(self, share, members):
        lease = self.leases[share]
        now = self.clock()
        intent = lease.intent(now, self._contends(share, members))
        if intent is leases.Intent.WAIT:
            return
        wanted = lease.next_row(intent)
        sent_at = self.clock()
        version = self._write(self.table, share, wanted, lease.version)
        if version is None:
            return
        lease.written(wanted, version, sent_at, intent)
        if intent is leases.Intent.ACQUIRE:
            logs.event(LOG, 'lease_taken', share=share, fencing=wanted.fencing)

    def _write(self, table, share, row, version):
        """Write a lease row; give its new version, or None."""
        key = _row_key(share)
        try:
            written = table.commit(
                {key: version}, {key: msgspec.to_builtins(row)}
            )
        except TABLE_ERRORS:
            # A write that took effect unseen is found by the next round,
            # and waited out like another router's.
            return None
        return written[key]


def _row_key(share):
    return f'{LEASE_PREFIX}{share:04d}'


class Reconciler:
    """Sends orders for the shares whose leases this router holds.

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
        Gives the ids of routers that answer, this one included.
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
        """Renew and take leases, then put engines right."""
        try:
            self.actor.ask(RunRound(self.members()))
        except TABLE_ERRORS:
            # Leases lapse by themselves; routing goes on without orders.
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
        wanted = orders.next_order(endpoint, status, configuration, idle)
        if wanted is None or not self._within_rate(share, wanted):
            return
        order = engines.EngineOrder(
            id=uuid.uuid4().hex,
            kind=wanted.kind,
            fencing=lease.row.fencing,
            model=wanted.model,
            version=wanted.version,
            first_layer=wanted.first_layer,
            last_layer=wanted.last_layer,
            weights=wanted.weights,
            adapters=wanted.adapters,
            role=wanted.role,
        )
        if orders.may_send(endpoint, lease, self.clock()):
            self._send(endpoint, order)

    def _within_rate(self, share, wanted):
        if not wanted.megabytes:
            return True
        try:
            rate = self.weight_store.limit()
        except exceptions.IbisringError:
            return False
        return self.budget.take(share, wanted.megabytes, rate, self.clock())

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
            # The status is read again before the next order.
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
        """Say whether this router holds a share's lease now."""
        return share in self.held

    def holds_lease_of(self, name):
        """Say whether this router holds the lease of an endpoint's share."""
        return self.holds_share(leases.share_of(name, SHARE_COUNT))

    def release(self):
        """Hand all leases over, for a graceful shutdown.

        What can't be handed over, others wait out.
        """
        left = self.actor.ask(ReleaseLeases())
        if left:
            self.metrics.count('leases.not_released', len(left))
            logs.event(LOG, 'leases_not_released', shares=left)

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
    """Make the reconciler of a router."""
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
