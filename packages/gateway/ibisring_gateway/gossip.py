"""UDP gossip in which routers exchange their load and endpoint health."""

__all__ = ['Message', 'Gossip', 'make_gossip']

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
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import ratelimits
from ibisring_policy.gateway import relays
from ibisring_policy.gateway import storereaders
from ibisring_policy.gateway import suspects as suspects_module
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import logs

LOG = logging.getLogger(__name__)
MAX_DATAGRAM_BYTES = 60000
SECOND_MS = 1000.0
TABLE = peers_module.TABLE
ENDPOINTS = peers_module.ENDPOINTS


class Message(msgspec.Struct, array_like=True):
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
    unreachable : list of str
        Engines that the sender has recently found unreachable.
    endpoints_version : int
        Store version of the last change of endpoints known to the sender.
    table_version : int
        Version of the routing table in force at the sender.
    slowdowns : dict of str to float
        Slowdown factors of the engines that the sender found slow.
    store_status : layerorders.StoreStatus
        What the sender has seen of the store: unknown, following or lost.
    term : int
        Highest lease term known to the sender.
    holdings : dict of str to (int, int, int)
        Start time, first layer and end of the layers that engines reported
        to the sender during a store outage.
    refusing : list of str
        Engines that refuse the sender's requests.
    domain : str
        The sender's failure domain.
    store_lost_ms : int or None
        Milliseconds since the sender last lost the store, None if never.
    store_access : storereaders.StoreAccess
        Whether the store serves the sender; decides which routers read it.
    router_counts : dict of str to (int, int)
        Running routers by failure domain, and milliseconds since a router of
        that domain reported the number.
    position, table_position : int
        Store versions up to which the sender knows endpoints and table.
    endpoints_era, table_era : int
        Eras of the store versions of endpoints and table.
    leaving : dict of str to int
        Start times of endpoints that have said that they leave.
    age_ms : int
        Milliseconds since the older of the two was read.
    changes : bytes
        Packed `changes.Changes` that the sender has just read.
    link : float
        Speed of the link of the sender's VM in Mbit/s, 0 if unknown.
    reads_store : bool
        Whether the sender calls the store.
    loads : dict of str to (int, int)
        Outstanding requests that endpoints reported to the sender, and
        milliseconds since.
    recovered : list of str
        Engines found unreachable that have answered the sender again.
    suspects : list of suspects.SuspectUpdate
        Requests during which endpoints have crashed.
    limits : dict of str to ratelimits.LimitUpdate
        Request rates that endpoints accept from all routers together.
    takes_requests : bool
        Whether the sender serves requests that other routers hand over.
    active : int
        Requests that the sender runs.
    cut_from : list of str
        Services whose endpoints the sender can't reach.
    """

    router: str
    tokens: dict[str, int]
    unreachable: list[str]
    endpoints_version: int = 0
    table_version: int = 0
    slowdowns: dict[str, float] = {}
    store_status: layerorders.StoreStatus = layerorders.StoreStatus.FOLLOWING
    term: int = 0
    holdings: dict[str, tuple[int, int, int]] = {}
    refusing: list[str] = []
    domain: str = ''
    store_lost_ms: int | None = None
    store_access: storereaders.StoreAccess = storereaders.StoreAccess.UNSURE
    router_counts: dict[str, tuple[int, int]] = {}
    position: int = 0
    table_position: int = 0
    age_ms: int = 0
    changes: bytes = b''
    link: float = 0.0
    reads_store: bool = False
    loads: dict[str, tuple[int, int]] = {}
    recovered: list[str] = []
    suspects: list[suspects_module.SuspectUpdate] = []
    limits: dict[str, ratelimits.LimitUpdate] = {}
    endpoints_era: int = 0
    table_era: int = 0
    leaving: dict[str, int] = {}
    takes_requests: bool = False
    active: int = 0
    cut_from: list[str] = []

    @property
    def era(self):
        """The latest era known to the sender."""
        return max(self.endpoints_era, self.table_era)

    @property
    def newest_endpoints(self):
        """The position of `endpoints_version`."""
        return positions.make(self.endpoints_era, self.endpoints_version)

    @property
    def read_endpoints(self):
        """The position up to which the sender knows endpoints."""
        return positions.make(self.endpoints_era, self.position)

    @property
    def read_table(self):
        """The position up to which the sender knows the table."""
        return positions.make(self.table_era, self.table_position)


# Fields whose change others act upon at once, unlike load and router names.
_PROMPT_FIELDS = (
    'unreachable',
    'recovered',
    'slowdowns',
    'refusing',
    'holdings',
    'leaving',
    'takes_requests',
    'cut_from',
    'endpoints_version',
    'endpoints_era',
    'table_version',
    'store_status',
    'term',
)
# Fields whose change is sent to the whole failure domain at once.  Changes of
# the tables are not among them: `send_changes` sends them as they are read.
_URGENT_FIELDS = (
    'unreachable',
    'recovered',
    'slowdowns',
    'refusing',
    'holdings',
    'leaving',
    'takes_requests',
    'cut_from',
    'store_status',
    'store_access',
)


class Gossip:
    """Sends and receives `Message` datagrams.

    Each datagram holds the whole state, so the next one makes up for a lost
    one.  No decision depends on delivery.

    Parameters
    ----------
    settings : settings.Settings
    view : view.View
    peers : peers.Peers
    tell_directory : callable
        Takes messages for the `directory.Directory`.
    sock : socket.socket
        Bound UDP socket.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Payload bytes of the datagrams, without headers.
    alive_engines : callable
        Returns the engines that have just sent this router an event.
    own_service : callable
        Returns whether this router takes requests, and how many it runs.
    """

    def __init__(self, settings, view, peers, tell_directory, sock):
        self.settings = settings
        self.view = view
        self.peers = peers
        self.tell_directory = tell_directory
        self.rng = random.Random()
        self.alive_engines = frozenset
        self.own_service = lambda: (False, 0)
        self.bytes_sent = 0
        self.bytes_received = 0
        self.schedule = gossipschedule.make_send_schedule()
        self.urgent_schedule = gossipschedule.make_send_schedule()
        self.rotation = gossipschedule.make_peer_rotation(self.rng)
        peers.followers.publish = self.send_changes
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

    def _message(self, now):
        """Build the message that describes this router now."""
        with self.view.lock:
            book = self.view.estimates
            tokens = {n: int(each) for n, each in book.own_tokens().items()}
            unreachable = book.recently_dead(
                now, self.view.links.connected_at()
            )
            slowdowns = book.recently_slow(now)
            refusing = book.refusing(now)
            loads = book.loads_to_send(now)
            recovered = book.recently_recovered(now)
            share = self._repeat_share()
            suspects = self.view.suspects.updates_to_send(now, self.rng, share)
            limits = self.view.limits.updates_to_send(now, self.rng, share)
            cut_from = self.view.links.cut_services()
        snapshot = self.view.snapshot
        read_at = min(snapshot.table_read_at, snapshot.endpoints_read_at)
        own = self.peers.own_store_access()
        endpoints_era = positions.era(snapshot.position)
        takes_requests, active = self.own_service()
        # Nothing may have changed in the present era yet.
        newest = max(snapshot.newest_version, positions.make(endpoints_era, 0))
        return Message(
            self.settings.router_id,
            tokens,
            unreachable,
            endpoints_version=positions.version(newest),
            table_version=snapshot.version,
            slowdowns=slowdowns,
            store_status=self.view.store_status,
            term=self.view.term,
            holdings=self.view.holdings_to_send(now),
            refusing=refusing,
            domain=self.settings.failure_domain,
            store_lost_ms=self._store_lost_ms(now),
            store_access=own.store_access,
            router_counts=self.peers.peer_reports.counts_to_send(now),
            # The version in force, not the one read: what was just read may
            # not be applied yet, and receivers would take it for known.
            position=positions.version(snapshot.position),
            table_position=positions.version(snapshot.table_position),
            age_ms=int((now - read_at) * SECOND_MS),
            link=own.link,
            reads_store=own.reads_store,
            loads=loads,
            recovered=recovered,
            suspects=suspects,
            limits=limits,
            endpoints_era=endpoints_era,
            table_era=positions.era(snapshot.table_position),
            leaving=self.view.leaving_to_send(now),
            takes_requests=takes_requests,
            active=active,
            cut_from=cut_from,
        )

    def _repeat_share(self):
        """Return the share of messages that repeat old suspects and limits.

        Each router of the domain still receives every old entry from a few
        of the others (`gossipschedule.OLD_UPDATE_SENDERS`) per round.
        """
        others = self.peers.others()
        local_count = sum(
            1 for each in others if self.peers.is_local(each.name)
        )
        return min(
            1.0, gossipschedule.OLD_UPDATE_SENDERS / max(1, local_count)
        )

    def _send(self):
        now = self.view.clock()
        message = self._message(now)
        lost_at = self.peers.followers.lost_at
        suspects, limits = self.view.suspects, self.view.limits
        prompt_state = [getattr(message, name) for name in _PROMPT_FIELDS]
        prompt_state += [
            lost_at,
            suspects.changes,
            limits.changes,
            limits.endpoints_in_demand(now),
        ]
        rows = {row.name: row for row in self.peers.others()}
        reach_share = min(
            1.0, gossipschedule.MAX_BROADCAST_PEERS / max(1, len(rows))
        )
        memory_use = self.view.estimates.max_memory_use
        urgent_state = [getattr(message, name) for name in _URGENT_FIELDS]
        urgent_state += [lost_at, suspects.local_changes, limits.changes]
        is_urgent = self.urgent_schedule.has_recent_change(now, urgent_state)
        if not self.schedule.is_due(
            now, prompt_state, memory_use, reach_share
        ):
            return
        local_names = [name for name in rows if self.peers.is_local(name)]
        remote_names = [name for name in rows if not self.peers.is_local(name)]
        in_use = self._in_domains_of_engines(
            message.tokens, remote_names, rows
        )
        names = self.rotation.choose(
            local_names, remote_names, is_urgent, in_use
        )
        self._send_to([rows[name] for name in names], message)

    def _in_domains_of_engines(self, engines, remote_names, rows):
        """Return the routers in the domains of the engines given.

        Parameters
        ----------
        engines : iterable of str
            Engines that this router's requests use.
        remote_names : list of str
            Routers in other failure domains.
        rows : dict of str to ports.RouterRow
        """
        endpoints = self.view.snapshot.endpoints
        domains = {
            endpoints[name].failure_domain
            for name in engines
            if name in endpoints
        }
        return [name for name in remote_names if rows[name].domain in domains]

    def _send_to(self, rows, message):
        data = msgspec.msgpack.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            LOG.warning('gossip message too large: %s bytes', len(data))
            return
        for row in rows:
            host, _, port = row.address.rpartition(':')
            self.socket.sendto(data, (host, int(port)))
            self.bytes_sent += len(data)

    def send_changes(self, page, before, is_table):
        """Send what has just been read to the routers of this domain.

        Parameters
        ----------
        page : ports.Page
        before : int
            Store version after which nothing changed until the page.
        is_table : bool
        """
        local_rows = [
            r for r in self.peers.others() if self.peers.is_local(r.name)
        ]
        if len(local_rows) < storereaders.READERS_PER_DOMAIN:
            return
        index = self.view.snapshot.index
        if is_table:
            known = index.table if index else None
            changes = changes_module.table_changes(page, before, known)
        else:
            changes = changes_module.endpoint_changes(page, before)
        if changes is None:
            return
        packed = changes_module.pack(
            changes, len(local_rows), self.settings.link
        )
        if not packed:
            LOG.info('changes too large for gossip: %s items', len(page.items))
            return
        message = self._message(self.view.clock())
        message.tokens = {}
        message.loads = {}
        message.suspects = []
        message.limits = {}
        message.changes = packed
        try:
            self._send_to(local_rows, message)
        except OSError as error:
            LOG.debug('sending changes failed: %s', error)

    def _store_lost_ms(self, now):
        lost_at = self.peers.followers.lost_at
        return (
            None if math.isinf(lost_at) else int((now - lost_at) * SECOND_MS)
        )

    def _receive_loop(self):
        while not self.stopped.is_set():
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
                self.bytes_received += len(data)
                message = msgspec.msgpack.decode(data, type=Message)
            except OSError as error:
                LOG.debug('receiving gossip failed: %s', error)
                self.stopped.wait(gossipschedule.CHECK_SECONDS)
                continue
            except msgspec.MsgspecError as error:
                LOG.warning('unreadable gossip message: %s', error)
                continue
            self.receive(message, source)

    def receive(self, message, source):
        """Apply a message of another router.

        Parameters
        ----------
        message : Message
        source : (str, int)
            Address of the sender.
        """
        now = self.view.clock()
        if message.era:
            self.peers.followers.note_era(message.era)
        with self.view.lock:
            newly_dead = self.view.estimates.merge_gossip(
                message.router,
                message.tokens,
                self._credible(message.unreachable),
                now,
                message.slowdowns,
                message.refusing,
            )
            self.view.estimates.merge_loads(message.loads, now)
            self.view.estimates.merge_recovered(message.recovered, now)
        if newly_dead:
            logs.event(
                LOG,
                'unreachable_reported',
                endpoints=newly_dead,
                origin=f'router {message.router}',
            )
        self._apply_suspects(message, now)
        self._apply_limits(message, now)
        self._apply_leaving(message)
        self._record_peer(message, f'{source[0]}:{source[1]}', now)
        if message.changes:
            self._apply_changes(message)
        elif message.store_access is storereaders.StoreAccess.SERVED:
            self._apply_confirmation(message)
        self.view.term = max(self.view.term, message.term)
        for name, (started, first, end) in message.holdings.items():
            holding = routing.Holding(first, end) if end > first else None
            self.tell_directory(
                directory.HoldingReport(name, started, holding)
            )
        snapshot = self.view.snapshot
        is_behind = message.newest_endpoints > max(
            snapshot.newest_version, snapshot.position
        )
        if is_behind or message.table_version > snapshot.version:
            versions = {
                TABLE: message.table_version,
                ENDPOINTS: message.newest_endpoints,
            }
            self.peers.note_newer(message.router, now, versions)

    def _credible(self, unreachable):
        """Leave out engines of which this router has just had an event."""
        if not unreachable:
            return unreachable
        alive = self.alive_engines()
        return [name for name in unreachable if name not in alive]

    def _apply_suspects(self, message, now):
        suspects = self.view.suspects
        with self.view.lock:
            added = suspects.receive_updates(message.suspects, now)
            crashes = [
                suspects.verdict(digest, now).crashes for digest in added
            ]
        for digest, count in zip(added, crashes):
            logs.event(
                LOG,
                'suspect',
                digest=digest.hex(),
                ends=count,
                origin=f'router {message.router}',
            )

    def _apply_limits(self, message, now):
        endpoints = self.view.snapshot.endpoints
        starts = {
            name: endpoints[name].started
            for name in message.limits
            if name in endpoints
        }
        with self.view.lock:
            updated = self.view.limits.receive_updates(
                message.router, message.domain, message.limits, now, starts
            )
        for name in updated:
            logs.event(
                LOG,
                'endpoint_limit',
                endpoint=name,
                rate=message.limits[name].rate,
                origin=f'router {message.router}',
            )

    def _apply_leaving(self, message):
        known = self.view.snapshot.leaving
        origin = f'router {message.router}'
        for name, started in message.leaving.items():
            if name not in known or known[name][0] < started:
                self.tell_directory(
                    directory.LeavingReport(name, started, origin)
                )

    def _record_peer(self, message, address, now):
        """Record that a router runs, and the router counts that it sent.

        One that knows an earlier era only, or is of a release that knows of
        none, sends no changes that could be applied here: it is no reader.
        """
        own_era = positions.era(self.view.snapshot.position)
        store_access = message.store_access
        if message.endpoints_era < own_era:
            store_access = storereaders.StoreAccess.UNSURE
        report = peerreports.PeerReport(
            name=message.router,
            domain=message.domain,
            received_at=now,
            store_status=message.store_status,
            neighbour=storereaders.Neighbour(
                message.router,
                store_access,
                message.link,
                message.reads_store,
            ),
            relay_state=relays.PeerState(
                message.takes_requests,
                message.active,
                frozenset(message.cut_from),
            ),
        )
        self.peers.receive_report(report, address, message.store_lost_ms)
        self.peers.peer_reports.receive_counts(
            message.router_counts, message.domain, now
        )

    def _apply_changes(self, message):
        """Apply changes that the sender has just read from the store.

        They are dropped if this router has missed earlier ones, which it
        detects from the versions in others' messages.
        """
        try:
            changes = changes_module.unpack(message.changes)
        except exceptions.MalformedMessage as error:
            LOG.warning('unreadable changes in gossip: %s', error.detail)
            return
        name = TABLE if changes.is_table else ENDPOINTS
        index = self.view.snapshot.index
        items = changes.items(index.table if index else None)
        if items is None or not self.peers.followers.apply_changes(
            name, changes
        ):
            return
        _, position, newest = changes.positions
        self.tell_directory(
            directory.ReadResult(
                items,
                False,
                origin=f'router {message.router}',
                is_table=changes.is_table,
                position=position,
                newest_version=newest,
            )
        )

    def _apply_confirmation(self, message):
        """Record the versions of a sender that the store answers.

        Only routers of the same failure domain count, and no earlier eras:
        what is current there says nothing of this one.
        """
        if not self.peers.is_local(message.router):
            return
        snapshot = self.view.snapshot
        if message.endpoints_era < positions.era(snapshot.position):
            return
        if message.table_era < positions.era(snapshot.table_position):
            return
        followers = self.peers.followers
        if message.table_version == snapshot.version:
            followers.confirm(TABLE, message.read_table)
        if message.newest_endpoints <= followers.position(ENDPOINTS):
            followers.confirm(ENDPOINTS, message.read_endpoints)
        age = message.age_ms / SECOND_MS
        self.tell_directory(
            directory.Confirmed(
                message.table_version,
                message.read_table,
                message.newest_endpoints,
                message.read_endpoints,
                age,
            )
        )


def make_gossip(settings, view, peers, tell_directory):
    """Make a `Gossip`; start it with ``start()``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((settings.host, settings.peer_port))
    return Gossip(settings, view, peers, tell_directory, sock)
