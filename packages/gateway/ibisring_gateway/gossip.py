"""Datagrams in which routers tell their own load and engines just lost."""

__all__ = ['Told', 'Gossip', 'make_gossip']

import logging
import math
import random
import socket
import threading

import msgspec

from ibisring_gateway import directory
from ibisring_gateway import peers as peers_module
from ibisring_policy.gateway import ordering
from ibisring_policy.gateway import telling
from ibisring_records import routing

LOG = logging.getLogger(__name__)
MOST_BYTES = 60000
SECOND_MS = 1000.0


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


# What others act upon at once; load and names of routers are not.
_NEWS = ('dead', 'slow', 'full', 'held', 'changed', 'table', 'touch', 'term')


class Gossip:
    """Sends and receives `Told`.

    A lost datagram is replaced by the next; nothing is agreed on this way.

    Parameters
    ----------
    settings : settings.Settings
    view : view.View
    peers : peers.Peers
    tell : callable
        Takes `directory.Learnt` messages.
    sock : socket.socket
        Bound, for datagrams.
    """

    def __init__(self, settings, view, peers, tell, sock):
        self.settings = settings
        self.view = view
        self.peers = peers
        self.tell = tell
        self.rng = random.Random()
        self.pace = telling.make_pace()
        self.stopped = threading.Event()
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
        self.socket.close()

    def run(self):
        """Tell the others, when that is due, until stopped."""
        while not self.stopped.wait(telling.TICK * self.rng.uniform(0.8, 1.2)):
            try:
                self._send()
            except OSError as error:
                LOG.debug('gossip not sent: %s', error)

    def _send(self):
        now = self.view.clock()
        with self.view.lock:
            own = self.view.book.own()
            dead = self.view.book.lately_dead(now)
            slow = self.view.book.slow(now)
            full = self.view.book.refusing(now)
            fullest = self.view.book.fullest
        told = Told(
            self.settings.router_id,
            {name: int(tokens) for name, tokens in own.items()},
            dead,
            self.view.snapshot.changed,
            self.view.snapshot.version,
            slow,
            self.view.store_touch,
            self.view.term,
            self.view.told_holdings(now),
            full,
            self.settings.failure_domain,
            self._lost_ms(now),
        )
        news = [getattr(told, name) for name in _NEWS]
        news.append(self.peers.followers.lost_at)
        others = self.peers.others()
        reach = min(1.0, peers_module.TOLD_AT_ONCE / max(1, len(others)))
        if not self.pace.is_due(now, news, fullest, reach):
            return
        data = msgspec.msgpack.encode(told)
        if len(data) > MOST_BYTES:
            LOG.warning('gossip_too_large %s', len(data))
            return
        for row in self.rng.sample(
            others, min(peers_module.TOLD_AT_ONCE, len(others))
        ):
            host, _, port = row.address.rpartition(':')
            self.socket.sendto(data, (host, int(port)))

    def _lost_ms(self, now):
        lost_at = self.peers.followers.lost_at
        return (
            None if math.isinf(lost_at) else int((now - lost_at) * SECOND_MS)
        )

    def _receive_loop(self):
        while not self.stopped.is_set():
            try:
                data, source = self.socket.recvfrom(MOST_BYTES + 1)
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
        self.peers.heard(
            told.router,
            f'{source[0]}:{source[1]}',
            told.domain,
            told.touch,
            now,
            told.lost_ms,
        )
        self.view.term = max(self.view.term, told.term)
        for name, (started, first, end) in told.held.items():
            held = routing.Holding(first, end) if end > first else None
            self.tell(directory.Learnt(name, started, held))
        snapshot = self.view.snapshot
        behind = told.changed > max(snapshot.changed, snapshot.position)
        if behind or told.table > snapshot.version:
            self.peers.behind(told.router, now)


def make_gossip(settings, view, peers, tell):
    """Make a `Gossip`; start it with ``start()``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((settings.host, settings.peer_port))
    return Gossip(settings, view, peers, tell, sock)
