"""UDP gossip in which routers exchange their load and endpoint health."""

__all__ = ['Told', 'Gossip', 'make_gossip']

import logging
import math
import random
import socket
import threading

import msgspec

from ibisring_gateway import changes as changes_module
from ibisring_gateway import directory
from ibisring_gateway import peers as peers_module
from ibisring_policy.gateway import gossipschedule
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import peerreports
from ibisring_policy.gateway import ratelimits
from ibisring_policy.gateway import storereaders
from ibisring_policy.gateway import suspects as suspects_module
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import logs

LOG = logging.getLogger(__name__)
MOST_BYTES = 60000
SECOND_MS = 1000.0
TABLE = peers_module.TABLE
ENDPOINTS = peers_module.ENDPOINTS


class Told(msgspec.Struct, array_like=True):
    """Gossip message of one router.

    Messages are encoded as arrays, so the order of the fields is the format.
    An older release ignores the fields that it does not know.  Fields that
    it does not send have their defaults, which describe a router that reads
    the store for itself only.

    Attributes
    ----------
    router : str
        Id of the sender.
    tokens : dict of str to int
        Tokens times layers that the sender has in flight, by engine.
    dead : list of str
        Engines that the sender has recently found unreachable.
    changed : int
        Store version of the last change of endpoints known to the sender.
    table : int
        Version of the routing table in force at the sender.
    slow : dict of str to float
        Slowdown factors of the engines that the sender found slow.
    touch : ordering.StoreTouch
        The sender's connection to the store.
    term : int
        Highest lease term known to the sender.
    held : dict of str to (int, int, int)
        Start time, first layer and end of the layers that engines reported
        to the sender during a store outage.
    full : list of str
        Engines that refuse the sender's requests.
    domain : str
        The sender's failure domain.
    lost_ms : int or None
        Milliseconds since the sender last lost the store, None if never.
    standing : sharing.Standing
        Whether the store answers the sender's calls.
    counts : dict of str to (int, int)
        Running routers by failure domain, and milliseconds since a router of
        that domain reported the number.
    position, table_position : int
        Store versions up to which the sender knows endpoints and table.
    age_ms : int
        Milliseconds since the older of the two was read.
    changes : bytes
        Packed `changes.Changes` that the sender has just read.
    link : float
        Speed of the link of the sender's VM in Mbit/s, 0 if unknown.
    reads : bool
        Whether the sender calls the store.
    loads : dict of str to (int, int)
        Outstanding requests that endpoints reported to the sender, and
        milliseconds since.
    back : list of str
        Engines found unreachable that have answered the sender again.
    suspects : list of suspects.Word
        Requests during which endpoints have crashed.
    limits : dict of str to ratelimits.Word
        Request rates that endpoints accept from all routers together.
    """

    router: str
    tokens: dict[str, int]
    dead: list[str]
    changed: int = 0
    table: int = 0
    slow: dict[str, float] = {}
    touch: layerorders.StoreStatus = layerorders.StoreStatus.FOLLOWING
    term: int = 0
    held: dict[str, tuple[int, int, int]] = {}
    full: list[str] = []
    domain: str = ''
    lost_ms: int | None = None
    standing: storereaders.StoreAccess = storereaders.StoreAccess.UNSURE
    counts: dict[str, tuple[int, int]] = {}
    position: int = 0
    table_position: int = 0
    age_ms: int = 0
    changes: bytes = b''
    link: float = 0.0
    reads: bool = False
    loads: dict[str, tuple[int, int]] = {}
    back: list[str] = []
    suspects: list[suspects_module.SuspectUpdate] = []
    limits: dict[str, ratelimits.LimitUpdate] = {}


# Fields whose change others act upon at once, unlike load and router names.
_NEWS = (
    'dead',
    'back',
    'slow',
    'full',
    'held',
    'changed',
    'table',
    'touch',
    'term',
)
# Fields whose change is sent to the whole failure domain at once.  Changes of
# the tables are not among them: `send_changes` sends them as they are read.
_URGENT = ('dead', 'back', 'slow', 'full', 'held', 'touch', 'standing')


class Gossip:
    """Sends and receives `Told` datagrams.

    Each datagram holds the whole state, so the next one makes up for a lost
    one.  No decision depends on delivery.

    Parameters
    ----------
    settings : settings.Settings
    view : view.View
    peers : peers.Peers
    tell : callable
        Takes messages for the `directory.Directory`.
    sock : socket.socket
        Bound UDP socket.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Payload bytes of the datagrams, without headers.
    """

    def __init__(self, settings, view, peers, tell, sock):
        self.settings = settings
        self.view = view
        self.peers = peers
        self.tell = tell
        self.rng = random.Random()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.pace = gossipschedule.make_send_schedule()
        self.urgent = gossipschedule.make_send_schedule()
        self.rounds = gossipschedule.make_peer_rotation(self.rng)
        peers.followers.publish = self.tell_changes
        self.stopped = threading.Event()
        self.wake = threading.Event()
        self.socket = sock
        self.threads = [
            threading.Thread(target=each, daemon=True)
            for each in (self.run, self._receive_loop)
        ]

    def start(self):
        """Start the sending and the receiving thread."""
        for thread in self.threads:
            thread.start()
        return self

    def stop(self):
        """Ask both threads to exit and close the socket."""
        self.stopped.set()
        self.wake.set()
        self.socket.close()

    def request_send(self):
        """Wake the sending thread, which sends if anything is due."""
        self.wake.set()

    def run(self):
        """Send messages as they fall due, until stopped."""
        while not self.stopped.is_set():
            self.wake.wait(
                gossipschedule.CHECK_SECONDS * self.rng.uniform(0.8, 1.2)
            )
            self.wake.clear()
            try:
                self._send()
            except OSError as error:
                LOG.debug('sending gossip failed: %s', error)

    def _told(self, now):
        """Build the message that describes this router now."""
        with self.view.lock:
            book = self.view.estimates
            tokens = {n: int(each) for n, each in book.own_tokens().items()}
            dead = book.recently_dead(now)
            slow = book.recently_slow(now)
            full = book.refusing(now)
            loads = book.loads_to_send(now)
            back = book.recently_recovered(now)
            share = self._old_share()
            suspects = self.view.suspects.updates_to_send(now, self.rng, share)
            limits = self.view.limits.updates_to_send(now, self.rng, share)
        snapshot = self.view.snapshot
        read_at = min(snapshot.table_read_at, snapshot.endpoints_read_at)
        own = self.peers.own_standing()
        return Told(
            self.settings.router_id,
            tokens,
            dead,
            changed=snapshot.changed,
            table=snapshot.version,
            slow=slow,
            touch=self.view.store_status,
            term=self.view.term,
            held=self.view.holdings_to_send(now),
            full=full,
            domain=self.settings.failure_domain,
            lost_ms=self._lost_ms(now),
            standing=own.store_access,
            counts=self.peers.hearing.counts_to_send(now),
            # The version in force, not the one read: what was just read may
            # not be applied yet, and receivers would take it for known.
            position=snapshot.position,
            table_position=snapshot.table_position,
            age_ms=int((now - read_at) * SECOND_MS),
            link=own.link,
            reads=own.reads_store,
            loads=loads,
            back=back,
            suspects=suspects,
            limits=limits,
        )

    def _old_share(self):
        """Give the share of messages that repeat old suspects and limits.

        Each router of the domain still receives every old entry from a few
        of the others (`telling.OLD_TELLERS`) per round.
        """
        others = self.peers.others()
        near = sum(1 for each in others if self.peers.is_near(each.name))
        return min(1.0, gossipschedule.OLD_UPDATE_SENDERS / max(1, near))

    def _send(self):
        now = self.view.clock()
        told = self._told(now)
        lost_at = self.peers.followers.lost_at
        known, limits = self.view.suspects, self.view.limits
        news = [getattr(told, name) for name in _NEWS]
        news += [
            lost_at,
            known.changes,
            limits.changes,
            limits.endpoints_in_demand(now),
        ]
        rows = {row.name: row for row in self.peers.others()}
        reach = min(
            1.0, gossipschedule.MAX_BROADCAST_PEERS / max(1, len(rows))
        )
        fullest = self.view.estimates.max_memory_use
        urgent = [getattr(told, name) for name in _URGENT]
        urgent += [lost_at, known.local_changes, limits.changes]
        is_urgent = self.urgent.has_recent_change(now, urgent)
        if not self.pace.is_due(now, news, fullest, reach):
            return
        near = [name for name in rows if self.peers.is_near(name)]
        far = [name for name in rows if not self.peers.is_near(name)]
        busy = self._in_domains_of(told.tokens, far, rows)
        names = self.rounds.choose(near, far, is_urgent, busy)
        self._send_to([rows[name] for name in names], told)

    def _in_domains_of(self, engines, far, rows):
        """Give the routers in the domains of the engines given.

        Parameters
        ----------
        engines : iterable of str
            Engines that this router's requests use.
        far : list of str
            Routers in other failure domains.
        rows : dict of str to ports.RouterRow
        """
        endpoints = self.view.snapshot.endpoints
        domains = {
            endpoints[name].failure_domain
            for name in engines
            if name in endpoints
        }
        return [name for name in far if rows[name].domain in domains]

    def _send_to(self, rows, told):
        data = msgspec.msgpack.encode(told)
        if len(data) > MOST_BYTES:
            LOG.warning('gossip_too_large %s', len(data))
            return
        for row in rows:
            host, _, port = row.address.rpartition(':')
            self.socket.sendto(data, (host, int(port)))
            self.bytes_sent += len(data)

    def tell_changes(self, page, before, is_table):
        """Send what has just been read to the routers of this domain.

        Parameters
        ----------
        page : ports.Page
        before : int
            Store version after which nothing changed until the page.
        is_table : bool
        """
        near = [r for r in self.peers.others() if self.peers.is_near(r.name)]
        if len(near) < storereaders.READERS_PER_DOMAIN:
            return
        index = self.view.snapshot.index
        if is_table:
            known = index.table if index else None
            changes = changes_module.table_changes(page, before, known)
        else:
            changes = changes_module.endpoint_changes(page, before)
        if changes is None:
            return
        packed = changes_module.pack(changes, len(near), self.settings.link)
        if not packed:
            LOG.info('changes_too_long %s', len(page.items))
            return
        told = self._told(self.view.clock())
        told.tokens = {}
        told.loads = {}
        told.suspects = []
        told.limits = {}
        told.changes = packed
        try:
            self._send_to(near, told)
        except OSError as error:
            LOG.debug('sending changes failed: %s', error)

    def _lost_ms(self, now):
        lost_at = self.peers.followers.lost_at
        return (
            None if math.isinf(lost_at) else int((now - lost_at) * SECOND_MS)
        )

    def _receive_loop(self):
        while not self.stopped.is_set():
            try:
                data, source = self.socket.recvfrom(MOST_BYTES + 1)
                self.bytes_received += len(data)
                told = msgspec.msgpack.decode(data, type=Told)
            except OSError as error:
                LOG.debug('receiving gossip failed: %s', error)
                self.stopped.wait(gossipschedule.CHECK_SECONDS)
                continue
            except msgspec.MsgspecError as error:
                LOG.warning('gossip_unreadable %s', error)
                continue
            self.take(told, source)

    def take(self, told, source):
        """Apply a message of another router.

        Parameters
        ----------
        told : Told
        source : (str, int)
            Address of the sender.
        """
        now = self.view.clock()
        with self.view.lock:
            self.view.estimates.merge_gossip(
                told.router,
                told.tokens,
                told.dead,
                now,
                told.slow,
                told.full,
            )
            self.view.estimates.merge_loads(told.loads, now)
            self.view.estimates.merge_recovered(told.back, now)
        self._take_suspects(told, now)
        self._take_limits(told, now)
        self._hear(told, f'{source[0]}:{source[1]}', now)
        if told.changes:
            self._take_changes(told)
        elif told.standing is storereaders.StoreAccess.SERVED:
            self._confirm(told)
        self.view.term = max(self.view.term, told.term)
        for name, (started, first, end) in told.held.items():
            held = routing.Holding(first, end) if end > first else None
            self.tell(directory.HoldingReport(name, started, held))
        snapshot = self.view.snapshot
        behind = told.changed > max(snapshot.changed, snapshot.position)
        if behind or told.table > snapshot.version:
            versions = {TABLE: told.table, ENDPOINTS: told.changed}
            self.peers.behind(told.router, now, versions)

    def _take_suspects(self, told, now):
        known = self.view.suspects
        with self.view.lock:
            fresh = known.receive_updates(told.suspects, now)
            ends = [known.verdict(digest, now).crashes for digest in fresh]
        for digest, count in zip(fresh, ends):
            logs.event(
                LOG,
                'suspect',
                digest=digest.hex(),
                ends=count,
                origin=f'router {told.router}',
            )

    def _take_limits(self, told, now):
        endpoints = self.view.snapshot.endpoints
        starts = {
            name: endpoints[name].started
            for name in told.limits
            if name in endpoints
        }
        with self.view.lock:
            news = self.view.limits.receive_updates(
                told.router, told.domain, told.limits, now, starts
            )
        for name in news:
            logs.event(
                LOG,
                'endpoint_limit',
                endpoint=name,
                rate=told.limits[name].rate,
                origin=f'router {told.router}',
            )

    def _hear(self, told, address, now):
        """Record that a router runs, and the router counts that it sent."""
        heard = peerreports.PeerReport(
            name=told.router,
            domain=told.domain,
            received_at=now,
            store_status=told.touch,
            neighbour=storereaders.Neighbour(
                told.router, told.standing, told.link, told.reads
            ),
        )
        self.peers.heard(heard, address, told.lost_ms)
        self.peers.hearing.receive_counts(told.counts, told.domain, now)

    def _take_changes(self, told):
        """Apply changes that the sender has just read from the store.

        They are dropped if this router has missed earlier ones, which it
        detects from the versions in others' messages.
        """
        try:
            changes = changes_module.unpack(told.changes)
        except exceptions.MalformedMessage as error:
            LOG.warning('changes_unreadable %s', error.detail)
            return
        name = TABLE if changes.is_table else ENDPOINTS
        index = self.view.snapshot.index
        items = changes.items(index.table if index else None)
        if items is None or not self.peers.followers.take(name, changes):
            return
        self.tell(
            directory.Read(
                items,
                False,
                origin=f'router {told.router}',
                is_table=changes.is_table,
                position=changes.position,
                changed=changes.changed,
            )
        )

    def _confirm(self, told):
        """Record the versions of a sender that the store answers.

        Only routers of the same failure domain count.
        """
        if not self.peers.is_near(told.router):
            return
        snapshot = self.view.snapshot
        followers = self.peers.followers
        if told.table == snapshot.version:
            followers.confirm(TABLE, told.table_position)
        if told.changed <= followers.position(ENDPOINTS):
            followers.confirm(ENDPOINTS, told.position)
        age = told.age_ms / SECOND_MS
        self.tell(
            directory.Confirmed(
                told.table,
                told.table_position,
                told.changed,
                told.position,
                age,
            )
        )


def make_gossip(settings, view, peers, tell):
    """Make a `Gossip`; start it with ``start()``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((settings.host, settings.peer_port))
    return Gossip(settings, view, peers, tell, sock)
