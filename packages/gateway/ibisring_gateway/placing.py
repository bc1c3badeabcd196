"""The actor that orders engines to hold layers."""

__all__ = ['Look', 'Placer']

import logging
import random
import time

from ibisring_gateway import ports
from ibisring_policy import layers
from ibisring_policy import ordering
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
    """

    def __init__(self, view, leases, engines, router_id, metrics):
        super().__init__()
        self.view = view
        self.engines = engines
        self.metrics = metrics
        self.turn = ordering.make_turn(router_id, random.Random().random())
        self.leases = leases
        self.orders = ordering.make_ledger()
        self.arrivals = ordering.Arrivals()
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
        self.orders.settle(staying, now)
        # On a site that starts nothing is about to be replaced.
        is_whole = any(e.holding is not None for e in staying)
        engines = []
        for each in staying:
            card = service.model.card(each.card)
            engines.append(
                layers.Engine(
                    each.id,
                    each.failure_domain,
                    card.memory_mb,
                    self.orders.expected(each, now),
                    each.holding is not None,
                    is_whole and self.arrivals.has_just_come(each, now),
                    card.step_factor,
                )
            )
        self._tell_missing(service, staying)
        changes = layers.plan(engines, service.model)
        if not self.turn.may_act(bool(changes), now):
            return
        if not self._hold_lease(now):
            return
        by_id = {e.id: e for e in staying}
        for change in changes:
            self._order(by_id[change.id], change.holding)

    def _tell_missing(self, service, staying):
        """Log when the layers that some failure domain lacks change."""
        engines = [
            layers.Engine(e.id, e.failure_domain, 0.0, e.holding)
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
            found.append(each)
        return found

    def _is_lost(self, name, now):
        belief = self.view.book.beliefs.get(name)
        if belief is None or not belief.dead:
            return False
        return now - belief.dead_at >= LOST_AFTER

    def _is_too_slow(self, endpoint, now):
        """Say whether an engine's layers should be held by others as well.

        A stage that is many times slower falls behind with the prompts of
        its domain, and all streams there pause.
        """
        return self.view.book.pace(endpoint.id, now) >= TOO_SLOW

    def _hold_lease(self, now):
        """Take or keep the right to order, by the store's conditional write.

        Without it every router would send the same orders at once, and one
        with an older view would undo what another has just ordered.
        """
        if self.turn.holds(time.monotonic()):
            return True
        try:
            row = self.leases.read_lease()
            wanted = self.turn.claim(row, time.monotonic())
            if wanted is None:
                return False
            written = self.leases.write_lease(wanted)
        except exceptions.IbisringError as error:
            logs.event(LOG, 'lease_unavailable', why=error.detail)
            return self.turn.without_store(time.monotonic())
        if written is None:
            logs.event(LOG, 'lease_lost_race', term=wanted.term)
            return False
        self.turn.won(now)
        logs.event(LOG, 'lease_taken', term=wanted.term)
        self.metrics.count('leases_taken')
        return True

    def _order(self, endpoint, holding):
        if not self.turn.holds(time.monotonic()):
            return
        expected = self.orders.count(endpoint)
        if expected is None:
            expected = self._read_count(endpoint)
            if expected is None:
                return
        if self.orders.is_blocked(endpoint, time.monotonic()):
            return
        result = self.engines.place(
            endpoint, holding, expected, self.turn.term
        )
        self.metrics.count(f'orders.{result.value}')
        self.orders.ordered(endpoint, holding, expected, result.value)
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
            self.turn.lost()
        if result is ports.OrderResult.UNKNOWN:
            with self.view.lock:
                self.view.book.unreachable(endpoint.id, time.monotonic())

    def _read_count(self, endpoint):
        try:
            status = self.engines.status(endpoint.address, STATUS_TIMEOUT)
        except exceptions.IbisringError as error:
            logs.event(
                LOG, 'no_status', endpoint=endpoint.id, why=error.detail
            )
            with self.view.lock:
                self.view.book.unreachable(endpoint.id, time.monotonic())
            return None
        if status.busy:
            self.orders.busy(endpoint, time.monotonic())
            return None
        return status.orders


def _text(holding):
    if not isinstance(holding, routing.Holding):
        return None
    return f'{holding.first}-{holding.end}'
