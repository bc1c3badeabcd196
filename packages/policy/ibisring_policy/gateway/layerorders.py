"""Whose turn it is to order engines, and what was ordered."""

__all__ = [
    'StoreStatus',
    'Lease',
    'leads_without_store',
    'Registrations',
    'OrderTracker',
    'LeaseRow',
    'make_lease',
    'make_order_tracker',
]

import enum

from ibisring_records import routing
import msgspec

# Seconds that a lease lasts by its holder's clock, and for everyone else:
# the difference covers a holder that sends its last order late.  An engine
# refuses what does not carry its count of orders, so a lease only spares
# double work; a holder that is killed keeps missing layers away for as long.
LEASE_SECONDS = 0.8
LEASE_TAKEOVER_SECONDS = 1.2
# Routers act after a random part of this, in seconds, so that one of them
# usually finds that another has begun.
MAX_LEASE_DELAY_SECONDS = 0.3
# Seconds for which the store must have failed before a router orders without
# the lease, and for which it may then: an answer that was lost is no outage.
MIN_OUTAGE_SECONDS = 0.6
WITHOUT_STORE_FOR = 0.5
# Seconds between two reads of the lease, where nothing says when it ends.
READ_AGAIN = 1.0
# A site where no engine holds anything is planned once no engine has come
# for this many seconds: a plan for the first few that register would be
# undone when the others come.
REGISTRATION_SETTLE_SECONDS = 1.0
# An engine that comes in a release is there about a second before the one
# that it replaces leaves; seconds.
REPLACES_WITHIN = 1.6
# Seconds in which an order that was accepted shows in the engine's entry,
# beside the time of the load, which is half as long again as by itself where
# other engines load too.
ORDER_VISIBLE_SECONDS = 1.0
LOAD_TIME_FACTOR = 1.5
UNKNOWN_FOR = 1.5
# Seconds before an engine that refused an order is asked again, and before
# one that gave its layers up but can't load yet is counted on again.
BUSY_SECONDS = 0.5
UNLOADING_SECONDS = 1.0


class StoreStatus(enum.IntEnum):
    """What a router knows of the store, as it tells the others."""

    UNKNOWN = 0
    LOST = 1
    FOLLOWING = 2


def leads_without_store(router_id, lost_for, heard):
    """Say whether this router orders while the store is away.

    An outage of eight seconds in which an engine is lost would leave its
    failure domain without those layers for as long: nobody can take the
    lease.  The lease only keeps routers from doing the same work twice.
    What an order may do is decided by the engine itself, which refuses one
    that does not carry its present count of orders, so two routers that
    both take the lead do no harm.

    Parameters
    ----------
    router_id : str
    lost_for : float
        Seconds since the store last answered this router.
    heard : dict of str to StoreStatus
        What other routers told lately.  While one of them follows the store
        the lease can be taken there.

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
    if lost_for < MIN_OUTAGE_SECONDS:
        return False
    if StoreStatus.FOLLOWING in heard.values():
        return False
    others = [n for n, touch in heard.items() if touch is StoreStatus.LOST]
    return all(router_id < name for name in others)


class LeaseRow(msgspec.Struct):
    """The lease as the store holds it.

    `term` grows with each holder and serves as fencing token; `version` is
    the store's, for the condition of a write.
    """

    holder: str
    term: int
    version: int = 0


class Lease:
    """When a router takes the lease, and whether it still holds it.

    The lease is taken only when something is to be ordered, so an idle site
    makes no calls for it.  A contender waits until the row has stood
    unchanged for a lease's time by its own clock: no clocks are compared.

    Parameters
    ----------
    router_id : str
    draw : float
        Random, from 0 up to, without, 1.
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
        """Say whether a wish to order has stood for this router's delay."""
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
        self.read_again_at = now + READ_AGAIN
        return True

    def is_held(self, now):
        """Say whether this router may send an order now."""
        return now < self.held_until

    def next_row(self, row, now):
        """Give the row to write, or None while another holds the lease.

        Parameters
        ----------
        row : LeaseRow or None
        now : float
        """
        if row is None:
            self.term = 1
            return LeaseRow(self.router_id, 1)
        if row.holder != self.router_id:
            if row.version != self.seen_version:
                self.seen_version = row.version
                self.seen_at = now
            ends_at = self.seen_at + LEASE_TAKEOVER_SECONDS
            if now < ends_at:
                self.read_again_at = ends_at
                return None
        self.term = row.term + 1
        return LeaseRow(self.router_id, row.term + 1, row.version)

    def note_acquired(self, asked_at):
        """Note a write that succeeded, by the time just before it."""
        self.held_until = asked_at + LEASE_SECONDS

    def note_lost(self):
        """Give the lease up: an engine has seen a later holder's token."""
        self.held_until = -1.0

    def lead_without_store(self, now):
        """Order without the lease for a moment; see `leads_without_store`."""
        self.held_until = max(self.held_until, now + WITHOUT_STORE_FOR)

    def note_term(self, term):
        """Note a term that another router knows.

        Engines that look at the fencing token refuse one that is lower than
        they have seen.
        """
        self.term = max(self.term, term)


class Registrations:
    """Tells when the engines of a site that starts have registered."""

    __slots__ = ('names', 'changed_at', 'came_at')

    def __init__(self):
        self.names = frozenset()
        self.changed_at = 0.0
        self.came_at = {}

    def are_settled(self, endpoints, now):
        """Say whether to plan for these engines.

        Parameters
        ----------
        endpoints : list of routing.Endpoint
        now : float
        """
        names = frozenset(e.id for e in endpoints)
        if names != self.names:
            self.names = names
            self.changed_at = now
            self.came_at = {n: self.came_at.get(n, now) for n in names}
        if any(e.holding is not None for e in endpoints):
            return True
        return (
            bool(names)
            and now - self.changed_at >= REGISTRATION_SETTLE_SECONDS
        )

    def has_just_registered(self, endpoint, now):
        """Say whether an engine may be meant to replace another."""
        came_at = self.came_at.get(endpoint.id, now)
        return now - came_at < REPLACES_WITHIN


class _Order(msgspec.Struct):
    holding: routing.Holding
    started: int
    expected: int
    until: float
    before: routing.Holding | None


class OrderTracker:
    """Orders sent and not yet seen in the engines' entries."""

    __slots__ = ('pending', 'counts', 'clock_now', 'blocked', 'emptying')

    def __init__(self):
        self.pending = {}
        self.counts = {}
        self.clock_now = 0.0
        self.blocked = {}
        self.emptying = {}

    def update(self, endpoints, now):
        """Forget orders that show, that never will, or of engines gone."""
        self.clock_now = now
        by_id = {e.id: e for e in endpoints}
        for name, order in list(self.pending.items()):
            endpoint = by_id.get(name)
            if (
                endpoint is None
                or endpoint.started != order.started
                or endpoint.holding == order.holding
            ):
                del self.pending[name]
            elif now >= order.until:
                del self.pending[name]
                if order.before is not None and endpoint.holding is None:
                    self._note_emptying(endpoint)

    def _note_emptying(self, endpoint):
        until = self.clock_now + UNLOADING_SECONDS
        self.emptying[endpoint.id] = endpoint.started, until

    def is_unloading(self, endpoint, now):
        """Say whether an engine waits for the requests in it.

        It has given its layers up and loads others only when the last of
        these requests has ended, which may take fifteen seconds.  Counted as
        the holder of the layers that it was ordered to, it would keep others
        from being ordered to them.
        """
        if endpoint.holding is not None:
            return False
        started, until = self.emptying.get(endpoint.id, (None, -1.0))
        return started == endpoint.started and now < until

    def expected_holding(self, endpoint, now):
        """Give what an engine holds or has been ordered to hold."""
        order = self.pending.get(endpoint.id)
        return order.holding if order is not None else endpoint.holding

    def accepted_orders(self, endpoint):
        """Give the orders that an engine has accepted, if that is known.

        None says that it must be asked.  An engine that holds nothing has
        most likely just started and accepted none.
        """
        known = self.counts.get(endpoint.id)
        if known is not None and known[0] == endpoint.started:
            return known[1]
        return 0 if endpoint.holding is None else None

    def note_accepted_orders(self, endpoint, orders):
        """Note how many orders an engine says it has accepted."""
        self.counts[endpoint.id] = endpoint.started, orders

    def note_busy(self, endpoint, now):
        """Note that an engine still carries an order out.

        It gives layers up only when the requests that pass through them
        have ended, and refuses other orders until then.
        """
        self.blocked[endpoint.id] = now + BUSY_SECONDS

    def is_blocked(self, endpoint, now):
        """Say whether an engine is known to refuse orders now."""
        return self.blocked.get(endpoint.id, -1.0) > now

    def note_order(self, endpoint, holding, expected, result, seconds):
        """Note an order and what became of it.

        Parameters
        ----------
        endpoint : routing.Endpoint
        holding : routing.Holding
        expected : int
            The engine's count of orders before this one.
        result : str
        seconds : float
            Time to load the layers that the engine does not hold yet.
        """
        shows = ORDER_VISIBLE_SECONDS + LOAD_TIME_FACTOR * seconds
        if result == 'begun':
            self.counts[endpoint.id] = endpoint.started, expected + 1
        elif result == 'unknown':
            self.counts[endpoint.id] = endpoint.started, None
            shows = UNKNOWN_FOR
        elif result in ('conflict', 'wrong', 'stale'):
            self.counts[endpoint.id] = endpoint.started, None
            self.note_busy(endpoint, self.clock_now)
            if endpoint.holding is None:
                self._note_emptying(endpoint)
            return
        self.pending[endpoint.id] = _Order(
            holding,
            endpoint.started,
            expected,
            self.clock_now + shows,
            endpoint.holding,
        )


def make_lease(router_id, draw):
    """Make a `Lease` of a router."""
    return Lease(router_id, draw)


def make_order_tracker():
    """Make an empty `OrderTracker`."""
    return OrderTracker()
