"""UDP gossip in which routers exchange their load and endpoint health."""

__all__ = ['Gossip', 'make_gossip']

import logging
import math
import random
import socket
import threading


from ibisring_gateway import changes as changes_module
from ibisring_gateway import gossipmessages
from ibisring_gateway import gossipreceiving
from ibisring_gateway import peers as peers_module
from ibisring_policy.gateway import gossipschedule
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import storereaders
from ibisring_policy.gateway import storereads
from ibisring_records import exceptions
from ibisring_router import guards

LOG = logging.getLogger(__name__)
MAX_DATAGRAM_BYTES = 60000
# Pause after a message that could not be handled; others wait in the kernel.
RECEIVE_PAUSE_SECONDS = 0.005


class Gossip:
    """Sends and receives `gossipmessages.Message` datagrams.

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
    receiver : gossipreceiving.Receiver
    bytes_sent, bytes_received : int
        Payload bytes of the datagrams, without headers.
    own_service : callable
        Returns whether this router takes requests, and how many it runs.
    """

    def __init__(self, settings, view, peers, tell_directory, sock):
        self.settings = settings
        self.view = view
        self.peers = peers
        self.receiver = gossipreceiving.make_receiver(
            view, peers, tell_directory
        )
        self.rng = random.Random()
        self.own_service = lambda: (False, 0)
        self.bytes_sent = 0
        self.bytes_received = 0
        self.schedule = gossipschedule.make_send_schedule()
        self.urgent_schedule = gossipschedule.make_send_schedule()
        self.rotation = gossipschedule.make_peer_rotation(self.rng)
        peers.followers.publish = self.send_changes
        peers.followers.tell_reads = self.send_reads
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
            if not guards.run('gossip_send', self._send_due):
                self.stopped.wait(gossipschedule.CHECK_SECONDS)

    def _send_due(self):
        try:
            self._send()
        except OSError as error:
            LOG.debug('sending gossip failed: %s', error)

    def _message(self, now):
        """Build the message that describes this router now."""
        message = gossipmessages.Message(self.settings.router_id, {}, [])
        message.domain = self.settings.failure_domain
        message.takes_requests, message.active = self.own_service()
        message.term = self.view.term
        message.holdings = self.view.holdings_to_send(now)
        message.leaving = self.view.leaving_to_send(now)
        message.router_counts = self.peers.peer_reports.counts_to_send(now)
        self._add_engines(message, now)
        self._add_store_access(message, now)
        self._add_positions(message, now)
        return message

    def _add_engines(self, message, now):
        """Add what this router has seen of endpoints and their requests."""
        share = self._repeat_share()
        routers = self.peers.max_routers(now)
        with self.view.lock:
            self.view.rank_shares.note_routers(routers, now)
            message.rank_use = self.view.rank_shares.use_to_send()
            estimates = self.view.estimates
            tokens = estimates.own_tokens()
            message.tokens = {n: int(each) for n, each in tokens.items()}
            connected_at = self.view.links.connected_at()
            estimates.confirm_losses(now, self.view.health)
            message.unreachable = estimates.recently_dead(now, connected_at)
            message.recovered = estimates.recently_recovered(now)
            message.slowdowns = estimates.recently_slow(now)
            message.refusing = estimates.refusing(now)
            message.loads = estimates.loads_to_send(now)
            message.cut_from = self.view.links.cut_services()
            message.suspects = self.view.suspects.updates_to_send(
                now, self.rng, share
            )
            message.parts = self.view.parts.updates_to_send(
                now, self.rng, share
            )
            message.limits = self.view.limits.updates_to_send(
                now, self.rng, share
            )
            message.link_use = self.view.domain_links.updates_to_send(now)

    def _add_store_access(self, message, now):
        """Add how well this router reaches the store."""
        own = self.peers.own_store_access()
        message.store_access = own.store_access
        message.link = own.link
        message.reads_store = own.reads_store
        message.is_told = self.peers.role() is storereaders.Role.TOLD
        message.store_status = self.view.store_status
        message.store_lost_ms = self._store_lost_ms(now)

    def _add_positions(self, message, now):
        """Add the versions of table and endpoints that are in force.

        Those only read are left out: they may not be applied yet, and
        receivers would take them for known.  Reads are of the store, whether
        or not this router has applied what it read.
        """
        snapshot = self.view.snapshot
        message.age_ms = self._age_ms(now)
        message.table_version = snapshot.version
        message.table_era = positions.era(snapshot.table_position)
        message.table_position = positions.version(snapshot.table_position)
        message.endpoints_era = positions.era(snapshot.position)
        message.position = positions.version(snapshot.position)
        # Nothing may have changed in the present era yet.
        era_start = positions.make(message.endpoints_era, 0)
        newest = max(snapshot.newest_version, era_start)
        message.endpoints_version = positions.version(newest)
        message.reads = self.peers.followers.known_reads()

    def _age_ms(self, now):
        """Return the milliseconds since the older of both tables was read."""
        snapshot = self.view.snapshot
        read_at = min(snapshot.table_read_at, snapshot.endpoints_read_at)
        return int((now - read_at) * gossipmessages.SECOND_MS)

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
        """Send a message, if one is due, to some of the other routers."""
        now = self.view.clock()
        message = self._message(now)
        rows = {row.name: row for row in self.peers.others()}
        reach_share = min(
            1.0, gossipschedule.MAX_BROADCAST_PEERS / max(1, len(rows))
        )
        is_urgent = self.urgent_schedule.has_recent_change(
            now, self._urgent_state(message)
        )
        if not self.schedule.is_due(
            now,
            self._prompt_state(message, now),
            self.view.estimates.max_memory_use,
            reach_share,
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

    def _prompt_state(self, message, now):
        """Return what makes a message due at once when it changes."""
        return [
            *(getattr(message, n) for n in gossipmessages.PROMPT_FIELDS),
            self.peers.followers.lost_at,
            self.view.suspects.changes,
            self.view.parts.changes,
            self.view.limits.changes,
            self.view.limits.endpoints_in_demand(now),
            sorted(each[:2] for each in message.link_use),
        ]

    def _urgent_state(self, message):
        """Return what is sent to the whole domain when it changes."""
        return [
            *(getattr(message, n) for n in gossipmessages.URGENT_FIELDS),
            self.peers.followers.lost_at,
            self.view.suspects.local_changes,
            self.view.parts.local_changes,
            self.view.limits.changes,
        ]

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
        data = gossipmessages.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            LOG.warning('gossip message too large: %s bytes', len(data))
            return
        for row in rows:
            host, _, port = row.address.rpartition(':')
            try:
                self.socket.sendto(data, (host, int(port)))
            except OSError as error:
                # The others get it; the address may be one of no interface.
                LOG.debug('sending to %s failed: %s', row.address, error)
            else:
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
        message.parts = []
        message.limits = {}
        message.changes = packed
        name = peers_module.TABLE if is_table else peers_module.ENDPOINTS
        message.reads[name] = storereads.make_read(
            page.position, page.position, page.newest_version, page.read_ms
        )
        try:
            self._send_to(local_rows, message)
        except OSError as error:
            LOG.debug('sending changes failed: %s', error)

    def send_reads(self):
        """Send what this router knows of the tables to those that are told."""
        rows = self.peers.told_rows()
        if not rows:
            return
        message = gossipmessages.Message(self.settings.router_id, {}, [])
        message.reads = self.peers.followers.known_reads()
        message.age_ms = self._age_ms(self.view.clock())
        message.has_reads_only = True
        try:
            self._send_to(rows, message)
        except OSError as error:
            LOG.debug('sending reads failed: %s', error)

    def _store_lost_ms(self, now):
        lost_at = self.peers.followers.lost_at
        return (
            None
            if math.isinf(lost_at)
            else int((now - lost_at) * gossipmessages.SECOND_MS)
        )

    def _receive_loop(self):
        while not self.stopped.is_set():
            if not guards.run('gossip_receive', self._receive_next):
                self.stopped.wait(RECEIVE_PAUSE_SECONDS)

    def _receive_next(self):
        try:
            data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            self.bytes_received += len(data)
            message = gossipmessages.decode(data)
        except OSError as error:
            LOG.debug('receiving gossip failed: %s', error)
            self.stopped.wait(gossipschedule.CHECK_SECONDS)
        except exceptions.MalformedMessage as error:
            LOG.warning('unreadable gossip message: %s', error.detail)
        else:
            self.receiver.receive(message, source)


def make_gossip(settings, view, peers, tell_directory):
    """Make a `Gossip`; start it with ``start()``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((settings.host, settings.peer_port))
    return Gossip(settings, view, peers, tell_directory, sock)
