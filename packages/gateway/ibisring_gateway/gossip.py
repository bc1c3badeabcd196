"""Datagrams in which routers tell their own load and engines just lost."""

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
from ibisring_policy.gateway import hearing
from ibisring_policy.gateway import ordering
from ibisring_policy.gateway import ratelimits
from ibisring_policy.gateway import sharing
from ibisring_policy.gateway import suspects as suspects_module
from ibisring_policy.gateway import telling
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import logs

LOG = logging.getLogger(__name__)
MOST_BYTES = 60000
SECOND_MS = 1000.0
TABLE = peers_module.TABLE
ENDPOINTS = peers_module.ENDPOINTS


class Told(msgspec.Struct, array_like=True):
    """What one router tells others.

    `tokens` are its tokens times layers by engine, `dead` engines that it
    has just found lost, `slow` paces of those that it found slow, `full`
    those that refuse its requests.  `changed` is the store's version of the
    last change of endpoints that it knows, `table` the version in force
    there, `touch` what it knows of the store, `term` the newest of the right
    to order that it knows.  `held` are start time, first layer and end that
    engines told it while the store is away.  `lost_ms` are the milliseconds
    since it last lost the store, None if it never has.

    A release that does not know the later fields ignores them, and what it
    leaves out has the default: it reads the store by itself and for nobody.
    `standing` is how the router stands with the store, `link` its VM's link
    in Mbit/s, `reads` whether it calls the store, `counts` the running
    routers by domain and the milliseconds since one there said so.
    `position` and `table_position` are the store's versions up to which it
    knows endpoints and routing table, `age_ms` the milliseconds since it read
    the older of both, `changes` packed `changes.Changes` just read.
    `loads` are the running and waiting requests of endpoints, as these told
    the router, and the milliseconds since, `back` lost engines that have
    answered it, `suspects` requests under which endpoints have ended,
    `limits` the rates that endpoints take from all routers together.
    """

    router: str
    tokens: dict[str, int]
    dead: list[str]
    changed: int = 0
    table: int = 0
    slow: dict[str, float] = {}
    touch: ordering.StoreTouch = ordering.StoreTouch.FOLLOWED
    term: int = 0
    held: dict[str, tuple[int, int, int]] = {}
    full: list[str] = []
    domain: str = ''
    lost_ms: int | None = None
    standing: sharing.Standing = sharing.Standing.UNSURE
    counts: dict[str, tuple[int, int]] = {}
    position: int = 0
    table_position: int = 0
    age_ms: int = 0
    changes: bytes = b''
    link: float = 0.0
    reads: bool = False
    loads: dict[str, tuple[int, int]] = {}
    back: list[str] = []
    suspects: list[suspects_module.Word] = []
    limits: dict[str, ratelimits.Word] = {}


# What others act upon at once; load and names of routers are not.
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
# What the whole failure domain is told at once; a change of a table is told
# to it as it is read.
_URGENT = ('dead', 'back', 'slow', 'full', 'held', 'touch', 'standing')


class Gossip:
    """Sends and receives `Told`.

    A lost datagram is replaced by the next; nothing is agreed on this way.

    Parameters
    ----------
    settings : settings.Settings
    view : view.View
    peers : peers.Peers
    tell : callable
        Takes `directory.HoldingReport` messages.
    sock : socket.socket
        Bound, for datagrams.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        In datagrams, without their headers.
    """

    def __init__(self, settings, view, peers, tell, sock):
        self.settings = settings
        self.view = view
        self.peers = peers
        self.tell = tell
        self.rng = random.Random()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.pace = telling.make_pace()
        self.urgent = telling.make_pace()
        self.rounds = telling.make_rounds(self.rng)
        peers.followers.publish = self.tell_changes
        self.stopped = threading.Event()
        self.wake = threading.Event()
        self.socket = sock
        self.threads = [
            threading.Thread(target=each, daemon=True)
            for each in (self.run, self._receive_loop)
        ]

    def start(self):
        """Start both threads."""
        for thread in self.threads:
            thread.start()
        return self

    def stop(self):
        """Let the threads end."""
        self.stopped.set()
        self.wake.set()
        self.socket.close()

    def request_send(self):
        """Look at once whether there is something to tell."""
        self.wake.set()

    def run(self):
        """Tell the others, when that is due, until stopped."""
        while not self.stopped.is_set():
            self.wake.wait(telling.TICK * self.rng.uniform(0.8, 1.2))
            self.wake.clear()
            try:
                self._send()
            except OSError as error:
                LOG.debug('gossip not sent: %s', error)

    def _told(self, now):
        """Give what this router has to tell now."""
        with self.view.lock:
            book = self.view.book
            tokens = {n: int(each) for n, each in book.own().items()}
            dead = book.lately_dead(now)
            slow = book.slow(now)
            full = book.refusing(now)
            loads = book.loads_to_tell(now)
            back = book.lately_back(now)
            share = self._old_share()
            suspects = self.view.suspects.to_tell(now, self.rng, share)
            limits = self.view.limits.to_tell(now, self.rng, share)
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
            standing=own.standing,
            counts=self.peers.hearing.counts_to_tell(now),
            # Not how far this router has read, which may not be in force
            # yet: others would take what it has just read for known.
            position=snapshot.position,
            table_position=snapshot.table_position,
            age_ms=int((now - read_at) * SECOND_MS),
            link=own.link,
            reads=own.reads,
            loads=loads,
            back=back,
            suspects=suspects,
            limits=limits,
        )

    def _old_share(self):
        """Give how often this router tells its domain what is old.

        So often that each router hears it from some of the others each time.
        """
        others = self.peers.others()
        near = sum(1 for each in others if self.peers.is_near(each.name))
        return min(1.0, telling.OLD_TELLERS / max(1, near))

    def _send(self):
        now = self.view.clock()
        told = self._told(now)
        lost_at = self.peers.followers.lost_at
        known, limits = self.view.suspects, self.view.limits
        news = [getattr(told, name) for name in _NEWS]
        news += [lost_at, known.changes, limits.changes, limits.wanted(now)]
        rows = {row.name: row for row in self.peers.others()}
        reach = min(1.0, telling.ALL_AT_ONCE / max(1, len(rows)))
        fullest = self.view.book.fullest
        urgent = [getattr(told, name) for name in _URGENT]
        urgent += [lost_at, known.found, limits.changes]
        is_urgent = self.urgent.is_fresh(now, urgent)
        if not self.pace.is_due(now, news, fullest, reach):
            return
        near = [name for name in rows if self.peers.is_near(name)]
        far = [name for name in rows if not self.peers.is_near(name)]
        busy = self._in_domains_of(told.tokens, far, rows)
        names = self.rounds.choose(near, far, is_urgent, busy)
        self._send_to([rows[name] for name in names], told)

    def _in_domains_of(self, engines, far, rows):
        """Give the far routers whose engines this router's requests use."""
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
        """Tell the routers of this domain what has just been read.

        Parameters
        ----------
        page : ports.Page
        before : int
            The store's version from which on nothing changed before the
            page.
        is_table : bool
        """
        near = [r for r in self.peers.others() if self.peers.is_near(r.name)]
        if len(near) < sharing.READERS:
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
            LOG.debug('changes not sent: %s', error)

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
                LOG.debug('gossip not received: %s', error)
                self.stopped.wait(telling.TICK)
                continue
            except msgspec.MsgspecError as error:
                LOG.warning('gossip_unreadable %s', error)
                continue
            self.take(told, source)

    def take(self, told, source):
        """Take in what another router tells.

        Parameters
        ----------
        told : Told
        source : (str, int)
            Address that the datagram came from.
        """
        now = self.view.clock()
        with self.view.lock:
            self.view.book.take_told(
                told.router,
                told.tokens,
                told.dead,
                now,
                told.slow,
                told.full,
            )
            self.view.book.take_loads(told.loads, now)
            self.view.book.take_back(told.back, now)
        self._take_suspects(told, now)
        self._take_limits(told, now)
        self._hear(told, f'{source[0]}:{source[1]}', now)
        if told.changes:
            self._take_changes(told)
        elif told.standing is sharing.Standing.SERVED:
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
            fresh = known.take(told.suspects, now)
            ends = [known.verdict(digest, now).ends for digest in fresh]
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
            news = self.view.limits.take_told(
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
        """Note that a router runs, and what it says of the fleet."""
        heard = hearing.Heard(
            name=told.router,
            domain=told.domain,
            at=now,
            touch=told.touch,
            neighbour=sharing.Neighbour(
                told.router, told.standing, told.link, told.reads
            ),
        )
        self.peers.heard(heard, address, told.lost_ms)
        self.peers.hearing.take_counts(told.counts, told.domain, now)

    def _take_changes(self, told):
        """Apply what a reader has just read, unless this router missed some.

        What is missing shows in the versions that others tell.
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
        """Note what a router of this domain that is served knows."""
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
