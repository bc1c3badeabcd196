"""Applies the gossip messages of other routers."""

__all__ = ['Receiver', 'make_receiver']

import logging
import math

from ibisring_gateway import bottlenecks
from ibisring_gateway import changes as changes_module
from ibisring_gateway import directory
from ibisring_gateway import gossipmessages
from ibisring_gateway import peers as peers_module
from ibisring_policy.gateway import peerreports
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import relays
from ibisring_policy.gateway import storereaders
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import logs

LOG = logging.getLogger(__name__)
TABLE = peers_module.TABLE
ENDPOINTS = peers_module.ENDPOINTS
# A confirmation that makes the state known here younger by less than this is
# not passed on to the directory.
CONFIRMATION_SECONDS = 0.2
# Span before a report in which stalls of this process are reported.
RECENT_SECONDS = 1.0


class Receiver:
    """Applies messages to the view, the peers and the directory.

    Parameters
    ----------
    view : view.View
    peers : peers.Peers
    tell_directory : callable
        Takes messages for the `directory.Directory`.

    Attributes
    ----------
    alive_engines : callable
        Returns the engines that have just sent this router an event.
    on_reported : callable
        Called with engines whose loss another router has reported.
    on_loads : callable
        Called when the loads of engines have been updated.
    """

    def __init__(self, view, peers, tell_directory):
        self.view = view
        self.peers = peers
        self.tell_directory = tell_directory
        self.alive_engines = frozenset
        self.on_reported = lambda names: None
        self.on_loads = lambda: None

    def receive(self, message, source):
        """Apply a message of another router.

        Parameters
        ----------
        message : gossipmessages.Message
        source : (str, int)
            Address of the sender.
        """
        now = self.view.clock()
        if message.has_reads_only:
            self._apply_reads(message)
            return
        if message.era:
            self.peers.followers.note_era(message.era)
        self._apply_estimates(message, now)
        self._apply_rank_use(message, now)
        self._apply_suspects(message, now)
        self._apply_parts(message, now)
        self._apply_limits(message, now)
        self._apply_link_use(message, now)
        self._apply_leaving(message)
        self._record_peer(message, f'{source[0]}:{source[1]}', now)
        if message.changes:
            self._apply_changes(message)
        if message.store_access is storereaders.StoreAccess.SERVED:
            self._apply_reads(message)
        self.view.term = max(self.view.term, message.term)
        self._apply_holdings(message)
        self._note_newer(message, now)

    def _apply_estimates(self, message, now):
        estimates = self.view.estimates
        with self.view.lock:
            newly_dead = estimates.merge_gossip(
                message.router,
                message.tokens,
                self._credible(message.unreachable),
                now,
                message.slowdowns,
                message.refusing,
            )
            estimates.merge_loads(message.loads, now)
            estimates.merge_recovered(message.recovered, now)
        self.on_loads()
        if newly_dead:
            logs.event(
                LOG,
                'unreachable_reported',
                endpoints=newly_dead,
                late_ms=self.view.late_ms(now - RECENT_SECONDS),
                origin=f'router {message.router}',
            )
            self.on_reported(newly_dead)

    def _apply_rank_use(self, message, now):
        unranked = self._unranked_use(message)
        with self.view.lock:
            self.view.rank_shares.receive(
                message.router, message.rank_use, unranked, now
            )

    def _unranked_use(self, message):
        """Return the use by service of a sender that sends no ranks."""
        missing = set(self.view.rank_shares.ranked) - set(message.rank_use)
        if not missing:
            return {}
        endpoints = self.view.snapshot.endpoints
        found = {}
        for name, tokens in message.tokens.items():
            service = endpoints[name].service if name in endpoints else None
            if service in missing:
                found[service] = found.get(service, 0) + tokens
        return found

    def _apply_holdings(self, message):
        for name, (started, first, end) in message.holdings.items():
            holding = routing.Holding(first, end) if end > first else None
            self.tell_directory(
                directory.HoldingReport(name, started, holding)
            )

    def _note_newer(self, message, now):
        """Record that the sender knows more than this router, if it does."""
        snapshot = self.view.snapshot
        known = max(snapshot.newest_version, snapshot.position)
        newest = message.newest_endpoints
        if ENDPOINTS in message.reads:
            # Of a router that has read the whole table, the other field is
            # where it began, which is no change.
            newest = message.reads[ENDPOINTS].change_position
        if newest > known or message.table_version > snapshot.version:
            versions = {TABLE: message.table_version, ENDPOINTS: newest}
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

    def _apply_parts(self, message, now):
        with self.view.lock:
            added = self.view.parts.receive_updates(message.parts, now)
        if added:
            logs.event(
                LOG,
                'part_suspects',
                parts=[name.hex() for name in added],
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

    def _apply_link_use(self, message, now):
        link_use = message.link_use
        if link_use is None:
            link_use = bottlenecks.demand_of_tokens(
                self.view.snapshot, message.tokens
            )
        with self.view.lock:
            self.view.domain_links.receive(
                message.router, message.domain, link_use, now
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
        Nor is one of a release that vouches for no table.
        """
        own_era = positions.era(self.view.snapshot.position)
        store_access = message.store_access
        if message.endpoints_era < own_era or not message.reads:
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
            is_told=message.is_told,
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
        if items is None:
            return
        _, position, newest = changes.positions
        result = directory.ReadResult(
            items,
            False,
            origin=f'router {message.router}',
            is_table=changes.is_table,
            position=position,
            newest_version=newest,
        )
        self.peers.followers.apply_changes(
            name, changes, lambda: self.tell_directory(result)
        )

    def _apply_reads(self, message):
        """Record what a sender that the store answers knows of its tables.

        Reads of earlier eras don't count: what is current there says
        nothing of this one.
        """
        followers = self.peers.followers
        for name in followers.members:
            if name in message.reads:
                followers.accept(name, message.reads[name])
        self._confirm_table(message)
        read = message.reads.get(ENDPOINTS)
        position = self.view.snapshot.position
        if read is not None and read.era >= positions.era(position):
            self._confirm_in_directory(message, read)

    def _confirm_table(self, message):
        """Record that a sender has the table that is in force here.

        It has that table up to the position that it read, whatever was
        changed before this router last read it.
        """
        read = message.reads.get(TABLE)
        snapshot = self.view.snapshot
        if read is None or read.era < positions.era(snapshot.table_position):
            return
        if message.table_version != snapshot.version:
            return
        if snapshot.version and read.start <= message.read_table:
            self.peers.followers.confirm(TABLE, read)

    def _confirm_in_directory(self, message, read):
        """Tell the directory how old the endpoints in force are at most."""
        age = self._age(message, read)
        if self._is_confirmed(message, read, age):
            return
        self.tell_directory(
            directory.Confirmed(
                message.table_version,
                message.read_table,
                read.start,
                read.position,
                age,
            )
        )

    def _age(self, message, read):
        """Return the age of a read in seconds.

        By the sender's word where this router has no answer of the store.
        """
        age = self.peers.followers.age(read.read_ms)
        if math.isinf(age):
            return message.age_ms / gossipmessages.SECOND_MS
        return age

    def _is_confirmed(self, message, read, age):
        """Return whether a confirmation would change next to nothing.

        In a large failure domain they come many times more often than the
        age of what is known matters, and each occupies the directory.
        """
        snapshot = self.view.snapshot
        known_age = self.view.clock() - min(
            snapshot.table_read_at, snapshot.endpoints_read_at
        )
        return (
            message.read_table <= snapshot.table_position
            and read.position <= snapshot.position
            and known_age < age + CONFIRMATION_SECONDS
        )


def make_receiver(view, peers, tell_directory):
    """Make a `Receiver`."""
    return Receiver(view, peers, tell_directory)
