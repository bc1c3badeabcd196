"""The lease to order engines to load layers, and the orders sent."""

__all__ = [
    'StoreStatus',
    'Lease',
    'leads_without_store',
    'Registrations',
    'OrderTracker',
    'PoolTracker',
    'LeaseRow',
    'make_lease',
    'make_order_tracker',
]

import enum

from ibisring_records import received
from ibisring_records import routing
import msgspec

# Duration of a lease by its holder's clock, and until other routers may take
# it over: the difference allows for a holder that sends its last order late.
# An engine refuses an order without its present count of orders, so a lease
# only saves duplicate work; if a holder is killed, missing layers stay missing
# until the lease can be taken over.
LEASE_SECONDS = 0.8
LEASE_TAKEOVER_SECONDS = 1.2
# Routers wait for a random part of this before they take the lease, so that
# one of them usually finds that another has taken it.
MAX_LEASE_DELAY_SECONDS = 0.3
# How long the store must have failed before a router orders without the lease
# (a single lost response is no outage), and for how long it then may.
MIN_OUTAGE_SECONDS = 0.6
STORELESS_LEAD_SECONDS = 0.5
# Time between two reads of the lease if its expiry is not known.
LEASE_READ_INTERVAL_SECONDS = 1.0
# A site where no engine holds layers is planned once no engine has registered
# for this long: a plan for the first few engines would be undone when the
# others register.
REGISTRATION_SETTLE_SECONDS = 1.0
# In a rolling release, a new engine registers about a second before the one
# that it replaces leaves.
REPLACEMENT_SECONDS = 1.6
# Time until an accepted order shows in the engine's entry, in addition to the
# loading time, which is half as long again while other engines load too.
ORDER_VISIBLE_SECONDS = 1.0
LOAD_TIME_FACTOR = 1.5
UNKNOWN_RESULT_SECONDS = 1.5
# How long an engine that refused an order gets no other, and how long one
# that has given up its layers but can't load yet is left out of the plan.
BUSY_SECONDS = 0.5
UNLOADING_SECONDS = 1.0


class StoreStatus(enum.IntEnum):
    """A router's view of the store, as sent to other routers."""

    UNKNOWN = 0
    LOST = 1
    FOLLOWING = 2


def leads_without_store(router_id, outage_seconds, peer_statuses):
    """Return whether this router orders engines during a store outage.

    If an engine is lost during an outage, nobody can take the lease, and the
    failure domain would lack its layers until the store is back, for example
    for eight seconds.  The lease only prevents duplicate work: an engine
    refuses an order that does not carry its present count of orders, so two
    routers that both send orders do no harm.

    Parameters
    ----------
    router_id : str
    outage_seconds : float
        Seconds since the store last answered this router.
    peer_statuses : dict of str to StoreStatus
        Recent status of other routers.  While one of them follows the store,
        it can take the lease.

    Returns
    -------
    bool

    Examples
    --------
    >>> leads_without_store('a', 2.0, {'b': StoreStatus.LOST})
    True
    >>> leads_without_store('b', 2.0, {'a': StoreStatus.LOST})
    False
    """
    if outage_seconds < MIN_OUTAGE_SECONDS:
        return False
    if StoreStatus.FOLLOWING in peer_statuses.values():
        return False
    others = [
        n for n, status in peer_statuses.items() if status is StoreStatus.LOST
    ]
    return all(router_id < name for name in others)


class LeaseRow(msgspec.Struct):
    """The lease as stored.

    `term` grows with each acquisition and serves as fencing token; `version`
    is that of the stored row, on which a write is conditional.
    """

    holder: received.Name
    term: received.Count
    version: received.Position = 0


def _next_term(term):
    """Return the term after one that another party may have written.

    Terms are read up to this one: a row with a later one could not be read.
    """
    return min(term + 1, received.MAX_INTEGER)


class Lease:
    """Decides when a router takes the lease, and whether it holds it.

    The lease is taken only when there is something to order, so an idle site
    makes no calls for it.  Another router waits until the row has not changed
    for the takeover time by its own clock: no clocks are compared.

    Parameters
    ----------
    router_id : str
    draw : float
        Random, from 0 up to but excluding 1.
    """

    __slots__ = (
        'router_id',
        'delay',
        'wanted_since',
        'held_until',
        'term',
        'seen_version',
        'seen_at',
        'read_again_at',
    )

    def __init__(self, router_id, draw):
        self.router_id = router_id
        self.delay = MAX_LEASE_DELAY_SECONDS * draw
        self.wanted_since = None
        self.held_until = -1.0
        self.term = 0
        self.seen_version = None
        self.seen_at = 0.0
        self.read_again_at = 0.0

    def may_act(self, wanted, now):
        """Return whether to order now, or to try to take the lease for it.

        `wanted` is set while there is anything to order.
        """
        if not wanted:
            self.wanted_since = None
            return False
        if self.is_held(now):
            return True
        if self.wanted_since is None:
            self.wanted_since = now
        if now < self.read_again_at:
            return False
        if now - self.wanted_since < self.delay:
            return False
        self.read_again_at = now + LEASE_READ_INTERVAL_SECONDS
        return True

    def is_held(self, now):
        """Return whether this router may send an order now."""
        return now < self.held_until

    def next_row(self, row, now):
        """Return the row to write, or None while another router holds it.

        Parameters
        ----------
        row : LeaseRow or None
        now : float
        """
        if row is None:
            self.term = _next_term(self.term)
            return LeaseRow(self.router_id, self.term)
        if row.holder != self.router_id:
            if row.version != self.seen_version:
                self.seen_version = row.version
                self.seen_at = now
            takeover_at = self.seen_at + LEASE_TAKEOVER_SECONDS
            if now < takeover_at:
                self.read_again_at = takeover_at
                return None
        # A row from a copy may have a lower term than was used since.
        self.term = _next_term(max(self.term, row.term))
        return LeaseRow(self.router_id, self.term, row.version)

    def note_acquired(self, requested_at):
        """Note that a write, begun at `requested_at`, has succeeded."""
        self.held_until = requested_at + LEASE_SECONDS

    def note_lost(self):
        """Drop the lease, as an engine has seen a newer fencing token."""
        self.held_until = -1.0

    def lead_without_store(self, now):
        """Allow orders briefly, as decided by `leads_without_store`."""
        self.held_until = max(self.held_until, now + STORELESS_LEAD_SECONDS)

    def note_term(self, term):
        """Note a term known to another router.

        Engines that check the fencing token refuse one that is lower than
        the highest they have seen.
        """
        self.term = max(self.term, term)

    def note_holder(self, term, now):
        """Note a term that gossip reports; a higher one is a new holder's.

        That router has just taken the lease, so reading it before it can be
        taken over is of no use.  While layers are missing for seconds, each
        router of a fleet would otherwise read it every second.
        """
        if term <= self.term:
            return
        self.note_term(term)
        if not self.is_held(now):
            self.read_again_at = now + LEASE_TAKEOVER_SECONDS + self.delay


class Registrations:
    """Tracks the registration of engines, on a starting site and later."""

    __slots__ = ('names', 'changed_at', 'registered_at')

    def __init__(self):
        self.names = frozenset()
        self.changed_at = 0.0
        self.registered_at = {}

    def are_settled(self, endpoints, now):
        """Return whether the engines are known well enough to plan for them.

        Parameters
        ----------
        endpoints : list of routing.Endpoint
        now : float
        """
        names = frozenset(e.id for e in endpoints)
        if names != self.names:
            self.names = names
            self.changed_at = now
            self.registered_at = {
                n: self.registered_at.get(n, now) for n in names
            }
        if any(e.holding is not None for e in endpoints):
            return True
        return (
            bool(names)
            and now - self.changed_at >= REGISTRATION_SETTLE_SECONDS
        )

    def has_just_registered(self, endpoint, now):
        """Return whether an engine is so new that it may replace another."""
        registered_at = self.registered_at.get(endpoint.id, now)
        return now - registered_at < REPLACEMENT_SECONDS


class _Order(msgspec.Struct):
    holding: routing.Holding
    started: int
    expected_orders: int
    overdue_at: float
    previous: routing.Holding | None


class OrderTracker:
    """Tracks orders sent that engines' entries do not show yet.

    Attributes
    ----------
    order_counts : dict of str to (int, int or None)
        The start time of each engine, and the orders it has accepted since.
    """

    __slots__ = (
        'pending',
        'order_counts',
        'updated_at',
        'blocked',
        'unloading',
    )

    def __init__(self):
        self.pending = {}
        self.order_counts = {}
        self.updated_at = 0.0
        self.blocked = {}
        self.unloading = {}

    def update(self, endpoints, now):
        """Drop orders that show or are overdue, or whose engines have gone."""
        self.updated_at = now
        by_id = {e.id: e for e in endpoints}
        for name, order in list(self.pending.items()):
            endpoint = by_id.get(name)
            if (
                endpoint is None
                or endpoint.started != order.started
                or endpoint.holding == order.holding
            ):
                del self.pending[name]
            elif now >= order.overdue_at:
                del self.pending[name]
                if order.previous is not None and endpoint.holding is None:
                    self._note_unloading(endpoint)

    def _note_unloading(self, endpoint):
        until = self.updated_at + UNLOADING_SECONDS
        self.unloading[endpoint.id] = endpoint.started, until

    def is_unloading(self, endpoint, now):
        """Return whether an engine waits for its active requests to end.

        It has given up its layers, and loads others only when the last of
        these requests has ended, which may take fifteen seconds.  If it
        counted as holder of the ordered layers, no other engine would be
        ordered to load them.
        """
        if endpoint.holding is not None:
            return False
        started, until = self.unloading.get(endpoint.id, (None, -1.0))
        return started == endpoint.started and now < until

    def gives_up_layers(self, endpoint):
        """Return whether an engine gave up layers for an order it executes."""
        order = self.pending.get(endpoint.id)
        return (
            order is not None
            and order.previous is not None
            and endpoint.holding is None
        )

    def expected_holding(self, endpoint, now):
        """Return the range that an engine holds or was ordered to hold."""
        order = self.pending.get(endpoint.id)
        return order.holding if order is not None else endpoint.holding

    def accepted_orders(self, endpoint):
        """Return the number of orders that an engine has accepted.

        None if it must be queried.  An engine that holds nothing has most
        likely just started and accepted none.
        """
        known = self.order_counts.get(endpoint.id)
        if known is not None and known[0] == endpoint.started:
            return known[1]
        return 0 if endpoint.holding is None else None

    def note_accepted_orders(self, endpoint, orders):
        """Note the number of accepted orders that an engine reported."""
        self.order_counts[endpoint.id] = endpoint.started, orders

    def note_busy(self, endpoint, now):
        """Note that an engine is still executing an order.

        It gives up layers only when the requests that use them have ended,
        and refuses other orders until then.
        """
        self.blocked[endpoint.id] = now + BUSY_SECONDS

    def is_blocked(self, endpoint, now):
        """Return whether an engine is expected to refuse orders now."""
        return self.blocked.get(endpoint.id, -1.0) > now

    def note_order(self, endpoint, holding, expected_orders, result, seconds):
        """Note an order and its result.

        Parameters
        ----------
        endpoint : routing.Endpoint
        holding : routing.Holding
        expected_orders : int
            The engine's count of accepted orders before this one.
        result : str
        seconds : float
            Time to load the layers that the engine does not hold yet.
        """
        visible_after = ORDER_VISIBLE_SECONDS + LOAD_TIME_FACTOR * seconds
        if result == 'begun':
            self.order_counts[endpoint.id] = (
                endpoint.started,
                expected_orders + 1,
            )
        elif result == 'unknown':
            self.order_counts[endpoint.id] = endpoint.started, None
            visible_after = UNKNOWN_RESULT_SECONDS
        elif result in ('conflict', 'wrong', 'stale'):
            self.order_counts[endpoint.id] = endpoint.started, None
            self.note_busy(endpoint, self.updated_at)
            if endpoint.holding is None:
                self._note_unloading(endpoint)
            return
        self.pending[endpoint.id] = _Order(
            holding,
            endpoint.started,
            expected_orders,
            self.updated_at + visible_after,
            endpoint.holding,
        )


class PoolTracker:
    """Tracks which pools lack layers, and since when.

    Pools are known by service and domains.

    Attributes
    ----------
    complete : set of (str, tuple of str)
        Pools that had loaded all layers once.
    broken : dict of str to set of tuple of str
        By service, the domains of pools that were complete and no longer are.
    gap_since : dict of (str, tuple of str) to float
        Pools with layers that no engine holds or is loading.
    """

    __slots__ = ('complete', 'broken', 'gap_since')

    def __init__(self):
        self.complete = set()
        self.broken = {}
        self.gap_since = {}

    def update(self, service, found, now):
        """Note the state of all pools of a service.

        Parameters
        ----------
        service : str
        found : list of (tuple of str, bool, bool)
            The domains of each pool, whether all layers are loaded, and
            whether some have no holder.
        now : float
        """
        broken, gap_since = set(), {}
        for domains, is_complete, has_gaps in found:
            key = service, domains
            if is_complete:
                self.complete.add(key)
            elif key in self.complete:
                broken.add(domains)
            if has_gaps:
                gap_since[key] = self.gap_since.get(key, now)
        others = {k: v for k, v in self.gap_since.items() if k[0] != service}
        self.gap_since = {**others, **gap_since}
        self.broken[service] = broken

    def gap_seconds(self, service, now):
        """Return for how long layers have lacked a holder, by domains."""
        return {
            domains: now - since
            for (name, domains), since in self.gap_since.items()
            if name == service
        }

    def lacking_for(self, service, seconds, now):
        """Return the domains of pools that lack layers for some seconds."""
        return {
            domains
            for domains, lasting in self.gap_seconds(service, now).items()
            if lasting >= seconds
        }


def make_lease(router_id, draw):
    """Make a `Lease` for a router."""
    return Lease(router_id, draw)


def make_order_tracker():
    """Make an empty `OrderTracker`."""
    return OrderTracker()
