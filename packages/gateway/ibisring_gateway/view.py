"""State that a router shares among its threads: endpoints, table, load.

Actors update it and the threads that serve callers read it.  Snapshots are
immutable and replaced as a whole, so that reading them takes no lock.
"""

__all__ = ['Snapshot', 'View', 'make_view']

import random
import threading
import time

from ibisring_policy.gateway import domainlinks
from ibisring_policy.gateway import estimates
from ibisring_policy.gateway import fairness
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import links
from ibisring_policy.gateway import localhealth
from ibisring_policy.gateway import promptparts
from ibisring_policy.gateway import queryrate
from ibisring_policy.gateway import rankshares
from ibisring_policy.gateway import ratelimits
from ibisring_policy.gateway import relays
from ibisring_policy.gateway import suspects
from ibisring_records import routing
import msgspec

# Seconds for which an engine's report is included in gossip.  Of 83 routers,
# each sending to six others four times a second, most receive it.
REPORT_GOSSIP_SECONDS = 3.0
# Seconds for which it is included in gossip that an endpoint leaves, and of
# how many: by then it has left, or its entry says so.
LEAVING_GOSSIP_SECONDS = 30.0
MAX_LEAVING_SENT = 50
MS_PER_SECOND = 1000.0


class Snapshot(msgspec.Struct, frozen=True):
    """Endpoints and routing table at some moment.

    Times are monotonic.

    Attributes
    ----------
    index : routetable.Index or None
        None until a table has been read.
    endpoints : dict of str to routing.Endpoint
        Usable endpoints by id.
    by_service : dict of str to list of routing.Endpoint
        Those ready for requests, by service.
    table_read_at, endpoints_read_at : float
        When the store was read.
    endpoints_known : bool
        Whether endpoints have been read.
    known_since : float
        When endpoints were first read.
    leaving : dict of str to (int, float)
        Endpoints that said that they leave: start time, and when it was first
        noted here.
    unconfirmed : frozenset of str
        Usable endpoints without an entry, see `presence.Presence`.
    position : int
        Position in the store (see `positions`) of the endpoints.
    newest_version : int
        Position after which this router has seen every change of endpoints.
    table_position : int
        Position up to which the table is known.
    store_lost_at : float or None
        Since when the store has not answered, None while it does.
    """

    index: object = None
    endpoints: dict = {}
    by_service: dict = {}
    table_read_at: float = 0.0
    endpoints_read_at: float = 0.0
    endpoints_known: bool = False
    known_since: float = 0.0
    leaving: dict = {}
    unconfirmed: frozenset = frozenset()
    position: int = 0
    newest_version: int = 0
    table_position: int = 0
    store_lost_at: float | None = None

    @property
    def version(self):
        """Version of the routing table, 0 if none has been read."""
        return self.index.table.version if self.index else 0

    def is_leaving(self, endpoint):
        """Return whether an endpoint has said that it leaves."""
        known = self.endpoints.get(endpoint.id)
        return (
            known is not None
            and known.started == endpoint.started
            and known.state is routing.EndpointState.DRAINING
        )


class View:
    """Current `Snapshot` and the load and health estimates of endpoints.

    Attributes
    ----------
    lock : threading.Lock
        Guards `estimates`, `suspects`, `parts`, `limits`, `fairness`, `links`,
        `domain_links`, `relays`, `query_rate` and `rank_shares`.
    health : localhealth.LocalHealth
        How late this process runs; needs no lock.
    link_budgets : bool
        Whether requests are admitted by `domain_links` and by capacity.
    term : int
        Highest lease term known to this router.
    lease_lost_at : float or None
        Since when access to the lease in the store has failed.
    reported_holdings : dict of str to (float, int, routing.Holding or None)
        Reports of engines during a store outage: time of the report, start
        time of the engine, its layers.
    """

    def __init__(self, domain='', clock=time.monotonic, name=''):
        self.name = name
        self.domain = domain
        self.clock = clock
        self.health = localhealth.make_local_health()
        self.snapshot = Snapshot()
        self.lock = threading.Lock()
        self.estimates = estimates.make_estimate_table()
        self.suspects = suspects.make_suspects()
        self.parts = promptparts.make_parts(name)
        self.fairness = fairness.make_fairness()
        self.limits = ratelimits.make_limits(name, domain)
        self.links = links.make_links()
        self.query_rate = queryrate.make_query_rate()
        self.domain_links = domainlinks.make_domain_links(
            name, domain, random.Random().random
        )
        self.link_budgets = True
        self.relays = relays.make_relays(domain)
        self.rank_shares = rankshares.make_rank_shares()
        self.term = 0
        self.lease_lost_at = None
        self.reported_holdings = {}
        self.pool_room_requests = 0

    def late_ms(self, since):
        """Return the ms of this process's longest stall since a time.

        For log lines that judge others by a time limit.
        """
        seconds = self.health.lateness(since, self.clock())
        return round(seconds * MS_PER_SECOND)

    def leaving_to_send(self, now):
        """Return the start times of endpoints that said that they leave."""
        latest = list(self.snapshot.leaving.items())[-MAX_LEAVING_SENT:]
        return {
            name: started
            for name, (started, at) in latest
            if now - at < LEAVING_GOSSIP_SECONDS
        }

    def holdings_to_send(self, now):
        """Return recent reports: start time, first layer and end by engine."""
        found = {}
        for name, (at, started, holding) in list(
            self.reported_holdings.items()
        ):
            if now - at < REPORT_GOSSIP_SECONDS:
                first, end = (
                    (holding.first, holding.end) if holding else (0, 0)
                )
                found[name] = started, first, end
        return found

    @property
    def store_lost_at(self):
        """When the store stopped answering this router, None while it does.

        In an outage a long poll for changes may hang for seconds before it
        fails, while a read of the lease fails at once.
        """
        times = (self.snapshot.store_lost_at, self.lease_lost_at)
        return min((at for at in times if at is not None), default=None)

    @property
    def store_status(self):
        """State of this router's connection to the store."""
        if not self.is_ready:
            return layerorders.StoreStatus.UNKNOWN
        if self.store_lost_at is not None:
            return layerorders.StoreStatus.LOST
        return layerorders.StoreStatus.FOLLOWING

    @property
    def is_ready(self):
        """Whether the table and the endpoints have been read."""
        now = self.snapshot
        return now.index is not None and now.endpoints_known


def make_view(domain='', clock=time.monotonic, name=''):
    """Make an empty `View` of a router in a failure domain."""
    return View(domain, clock, name)
