"""What a router knows now: endpoints, routing table, load.

Actors change it; the threads that serve callers read it.  A snapshot is
replaced whole, never changed, so that reading it takes no lock.
"""

__all__ = ['Snapshot', 'View', 'make_view']

import threading
import time

from ibisring_policy.gateway import fairness
from ibisring_policy.gateway import loadbook
from ibisring_policy.gateway import ordering
from ibisring_policy.gateway import ratelimits
from ibisring_policy.gateway import suspects
import msgspec

# Seconds for which other routers are told what an engine said: of 83, each
# of which tells six others four times a second, most are reached.
LEARNT_TOLD_FOR = 3.0


class Snapshot(msgspec.Struct, frozen=True):
    """Endpoints and routing table as of some moment.

    `index` is a `routetable.Index` or None before a table was read;
    `position` is the store's version that the endpoints are of, `changed` the
    one at which they last changed, `table_position` the one up to which the
    table is known, `known_since` when endpoints were first read;
    `store_lost_at` is None while the store answers.  Times are monotonic.
    """

    index: object = None
    endpoints: dict = {}
    by_service: dict = {}
    table_read_at: float = 0.0
    endpoints_read_at: float = 0.0
    endpoints_known: bool = False
    known_since: float = 0.0
    position: int = 0
    changed: int = 0
    table_position: int = 0
    store_lost_at: float | None = None

    @property
    def version(self):
        """Version of the routing table, 0 before one was read."""
        return self.index.table.version if self.index else 0


class View:
    """Holds the present `Snapshot` and the book of beliefs.

    Attributes
    ----------
    lock : threading.Lock
        Guards `book`, `suspects`, `limits` and `fairness`.
    term : int
        The newest of the right to order that this router knows.
    lease_lost_at : float or None
        Since when the store has refused to say who holds the lease.
    reported_holdings : dict of str to (float, int, routing.Holding or None)
        What engines told this router while the store is away: when, their
        start time, what they hold.
    """

    def __init__(self, domain='', clock=time.monotonic, name=''):
        self.domain = domain
        self.clock = clock
        self.snapshot = Snapshot()
        self.lock = threading.Lock()
        self.book = loadbook.make_book()
        self.suspects = suspects.make_suspects()
        self.fairness = fairness.make_fairness()
        self.limits = ratelimits.make_limits(name, domain)
        self.term = 0
        self.lease_lost_at = None
        self.reported_holdings = {}

    def holdings_to_send(self, now):
        """Give what engines told lately: start, first layer and end."""
        found = {}
        for name, (at, started, held) in list(self.reported_holdings.items()):
            if now - at < LEARNT_TOLD_FOR:
                first, end = (held.first, held.end) if held else (0, 0)
                found[name] = started, first, end
        return found

    @property
    def store_lost_at(self):
        """When the store stopped answering this router, None while it does.

        A call that waits for changes may go silent for seconds when the
        store goes away; one that asks for the lease fails at once.
        """
        times = (self.snapshot.store_lost_at, self.lease_lost_at)
        return min((at for at in times if at is not None), default=None)

    @property
    def store_status(self):
        """What this router knows of the store."""
        if not self.is_ready:
            return ordering.StoreTouch.NOTHING
        if self.store_lost_at is not None:
            return ordering.StoreTouch.LOST
        return ordering.StoreTouch.FOLLOWED

    @property
    def is_ready(self):
        """Whether requests can be routed at all."""
        now = self.snapshot
        return now.index is not None and now.endpoints_known


def make_view(domain='', clock=time.monotonic, name=''):
    """Make an empty `View` of a router in a failure domain."""
    return View(domain, clock, name)
