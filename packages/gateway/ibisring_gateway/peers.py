"""Known peer routers, and fetching state from them when behind."""

__all__ = ['State', 'Peers', 'decode_state', 'make_peers']

import logging
import random
import threading
import time

import msgspec

from ibisring_gateway import directory as directory_module
from ibisring_gateway import ports
from ibisring_policy.gateway import catchup
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import peerreports
from ibisring_policy.gateway import polling
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import relays
from ibisring_policy.gateway import storereaders
from ibisring_policy import recentdict
from ibisring_records import exceptions
from ibisring_records import received
from ibisring_records import routing
from ibisring_router import guards
from ibisring_router import logs
from ibisring_web import calls

LOG = logging.getLogger(__name__)
FOLLOWING = layerorders.StoreStatus.FOLLOWING
LOST = layerorders.StoreStatus.LOST
SECOND_MS = 1000.0
STATE_PATH = '/state'
TABLE = 'table'
ENDPOINTS = 'endpoints'
CONNECT_TIMEOUT_SECONDS = 0.15
READ_TIMEOUT_SECONDS = 0.3
# Longest time from the first byte of a state to the last one.
STATE_SECONDS = 1.0
# Seconds between reads of the list of routers: after the first read, and
# while no peer has been heard from.  Routers that start later announce
# themselves by gossip.
RELIST_SECONDS = 3.0
ALONE_RELIST_SECONDS = 12.0
TICK_SECONDS = 0.1
# Time over which routers write their rows again after the store lost some.
REWRITE_SPREAD_SECONDS = 1.0


# Without these the endpoints and the table of a state can't be used.
_NEEDED = ('endpoints', 'table_position', 'endpoints_era', 'table_era')


class State(msgspec.Struct):
    """Routing state that one router serves to another.

    `table` is None if the requester has that version already.  `position`
    and `table_position` are the store versions up to which endpoints and
    table are known, in the eras `endpoints_era` and `table_era`; ages are in
    seconds.  `unconfirmed` names the endpoints whose entries are missing but
    may be written again.
    """

    version: received.Count
    table_age: received.SignedNumber
    endpoints_age: received.SignedNumber
    position: received.Version
    table: routing.RoutingTable | None = None
    endpoints: list[routing.Endpoint] = []
    table_position: received.Version = 0
    endpoints_era: received.Era = 0
    table_era: received.Era = 0
    unconfirmed: list[received.Identifier] = []


def decode_state(data, cls):
    """Decode a state; an endpoint that is out of bounds is left out."""
    return received.decode_json_items(data, cls, _NEEDED)


class Peers:
    """Keeps track of peer routers and fetches state from them.

    The store may refuse some routers and serve others.  A refused router
    would keep accepting a revoked key, or keep using an endpoint that is
    leaving, although its peers have newer state.

    Parameters
    ----------
    settings : settings.Settings
    view : view.View
    lease_table : ports.LeaseTable
    tell_directory : callable
        Takes `directory.ReadResult` messages.
    followers : storefollowing.Followers
        Notified of what other routers report of the store.
    """

    def __init__(self, settings, view, lease_table, tell_directory, followers):
        self.settings = settings
        self.view = view
        self.lease_table = lease_table
        self.tell_directory = tell_directory
        self.followers = followers
        self.rows = recentdict.RecentDict()
        self.rng = random.Random()
        self.caller = calls.make_caller(
            CONNECT_TIMEOUT_SECONDS,
            READ_TIMEOUT_SECONDS,
            answer_seconds=STATE_SECONDS,
        )
        self.stopped = threading.Event()
        self.next_list_at = 0.0
        self.is_row_written = False
        self.peer_reports = peerreports.make_peer_reports(
            settings.router_id,
            settings.failure_domain,
            view.clock(),
            view.health,
        )
        self.current_role = storereaders.Role.TOLD
        self.catchup = catchup.make_catchup()
        followers.on_restore = self.store_restored
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()
        return self

    def stop(self):
        """Ask the thread to exit."""
        self.stopped.set()

    def store_restored(self):
        """Write this router's row again: the store may have lost it."""
        spread = self.rng.random() * REWRITE_SPREAD_SECONDS
        self.next_list_at = self.view.clock() + spread
        self.is_row_written = False

    def state_for(self, version):
        """Return the state for a peer that has a version of the table."""
        now = self.view.clock()
        snapshot = self.view.snapshot
        table = None
        if snapshot.index is not None and snapshot.version > version:
            table = snapshot.index.table
        return State(
            version=snapshot.version,
            table_age=now - snapshot.table_read_at,
            endpoints_age=now - snapshot.endpoints_read_at,
            position=positions.version(snapshot.position),
            table=table,
            endpoints=list(snapshot.endpoints.values()),
            table_position=positions.version(snapshot.table_position),
            endpoints_era=positions.era(snapshot.position),
            table_era=positions.era(snapshot.table_position),
            unconfirmed=list(snapshot.unconfirmed),
        )

    def receive_report(self, report, address, lost_ms=None):
        """Record a datagram of another router.

        Parameters
        ----------
        report : peerreports.PeerReport
        address : str
        lost_ms : int or None
            Milliseconds since that router last lost the store, None if never.
        """
        previous = self.peer_reports.receive(report)
        if lost_ms is not None:
            self.followers.outage_reported(
                report.received_at - lost_ms / SECOND_MS
            )
        was_lost = previous is not None and previous.store_status is LOST
        if was_lost and report.store_status is FOLLOWING:
            self.followers.recovery_reported()
        row = self.rows.get(report.name)
        if row is None or row.address != address:
            row = ports.RouterRow(report.name, address, report.domain, 0.0)
        # Also if it is known: those heard last are kept.
        self.rows[report.name] = row

    def note_newer(self, name, now, versions=None):
        """Record that another router has newer state."""
        self.catchup.peer_is_ahead(name, now, self.is_local(name), versions)

    def is_local(self, name):
        """Whether a router is in this one's failure domain.

        Traffic to such a router uses no link between domains; those links
        are expensive.
        """
        row = self.rows.get(name)
        return row is not None and row.domain == self.settings.failure_domain

    def running_count(self, now):
        """Return the estimated number of running routers, including this."""
        return sum(self.peer_reports.router_counts(now).values())

    def relay_candidates(self):
        """Return the routers heard from that may take requests.

        Returns
        -------
        list of relays.Candidate
        """
        now = self.view.clock()
        rows = dict(self.rows)
        # Not counted in the ages: the time for which this router stood still.
        since = self.view.health.span_start(relays.HEARD_SECONDS, now)
        stalled = now - relays.HEARD_SECONDS - since
        return [
            relays.Candidate(
                each.name,
                rows[each.name].address,
                each.domain,
                each.received_at + stalled,
                each.relay_state,
            )
            for each in self.peer_reports.recent(now, relays.HEARD_SECONDS)
            if each.relay_state is not None and each.name in rows
        ]

    def own_store_access(self):
        """Return this router's store access as sent to other routers.

        Returns
        -------
        storereaders.Neighbour
        """
        is_lost = self.view.store_lost_at is not None
        is_told = self.current_role is storereaders.Role.TOLD
        return storereaders.Neighbour(
            self.settings.router_id,
            self.followers.store_access(is_lost),
            self.settings.link,
            not is_told or self.followers.has_just_read(),
        )

    def role(self):
        """Return this router's role in reading the store.

        Returns
        -------
        storereaders.Role
        """
        return self.current_role

    def told_rows(self):
        """Return the rows of routers that wait for what others read.

        Returns
        -------
        list of ports.RouterRow
        """
        told = self.peer_reports.told_routers(self.view.clock())
        rows = dict(self.rows)
        return [rows[each.name] for each in told if each.name in rows]

    def _update_role(self, now):
        neighbours = self.peer_reports.neighbours(now)
        role = storereaders.choose_role(self.own_store_access(), neighbours)
        if (
            now - self.peer_reports.started_at
            < storereaders.STARTUP_LISTEN_SECONDS
        ):
            role = storereaders.Role.TOLD
        if role is not self.current_role:
            self.current_role = role
            logs.event(LOG, 'store_role', role=role.name.lower())
            self.followers.role_changed(role)

    def polling_slot(self):
        """Return this router's rank among those that call the store.

        Returns
        -------
        polling.Fleet
        """
        now = self.view.clock()
        counts = self.peer_reports.router_counts(now)
        if self.current_role is storereaders.Role.ASKS:
            running = sum(counts.values())
            rank = min(self.peer_reports.rank(now), running - 1)
            return polling.Fleet(running, rank, running)
        preferred = storereaders.preferred_readers(
            self.own_store_access(), self.peer_reports.neighbours(now)
        )
        return storereaders.fleet_position(
            self.settings.failure_domain, len(preferred), counts
        )

    def store_statuses(self, now):
        """Return the store status of each router heard from lately.

        Returns
        -------
        dict of str to layerorders.StoreStatus
        """
        return self.peer_reports.store_statuses(now)

    def max_routers(self, now):
        """Return an upper estimate of the number of running routers.

        A router that has just started has received no gossip yet, but has
        read the rows of all routers that ever ran.
        """
        return max(self.running_count(now), len(self.others()) + 1)

    def run(self):
        """Update role and state until stopped."""
        while not self.stopped.wait(TICK_SECONDS * self.rng.uniform(0.8, 1.2)):
            now = self.view.clock()
            if now >= self.next_list_at:
                guards.run('list_routers', self._refresh_list, now)
            guards.run('store_role', self._update_role, now)
            guards.run('catch_up', self._catch_up, now)

    def _catch_up(self, now):
        """Fetch newer state of others if it has not arrived by gossip."""
        progress = self.catchup
        snapshot = self.view.snapshot
        position = max(snapshot.newest_version, snapshot.position)
        versions = {TABLE: snapshot.version, ENDPOINTS: position}
        progress.caught_up(versions)
        is_follower = self.current_role is storereaders.Role.TOLD
        callers = self.polling_slot().callers
        if progress.is_due(now, self._age_seconds(now), callers, is_follower):
            queries_store = is_follower and not progress.queried_store
            progress.queried(now, queries_store)
            logs.event(
                LOG,
                'catching_up',
                asks='store' if queries_store else 'router',
                ahead=progress.newest_peer,
                wanted=_wanted_texts(progress.wanted_versions),
                table=snapshot.version,
                endpoints=positions.text(position),
                age_ms=round(self._age_seconds(now) * SECOND_MS),
            )
            if queries_store:
                # The store returns only the changes; a peer would return
                # the whole list of endpoints, which is long.
                self.followers.read_now(progress.tables_to_read(versions))
            else:
                self._fetch_state()
        progress.expire(now, is_follower)

    def _age_seconds(self, now):
        """Return the seconds since the older of both tables was read."""
        snapshot = self.view.snapshot
        return now - min(snapshot.table_read_at, snapshot.endpoints_read_at)

    def _refresh_list(self, now):
        if self.running_count(now) > 1 and self.is_row_written:
            self.next_list_at = now + ALONE_RELIST_SECONDS
            return
        self._read_list(now)

    def _read_list(self, now):
        """Write this router's row once, and read the rows of all."""
        try:
            if not self.is_row_written:
                self.lease_table.write_router(self._own_row())
                self.is_row_written = True
            rows = self.lease_table.read_routers()
        except exceptions.IbisringError as error:
            LOG.debug('reading the list of routers failed: %s', error.detail)
            self.next_list_at = now + 1.0
            return
        next_list_at = (
            now + ALONE_RELIST_SECONDS if self.rows else now + RELIST_SECONDS
        )
        self.next_list_at = next_list_at
        # Routers that were heard from stay known: the store may have lost
        # their rows.
        before = set(self.rows)
        for row in rows:
            self.rows[row.name] = row
        if set(self.rows) != before:
            logs.event(LOG, 'routers', known=sorted(self.rows))

    def _own_row(self):
        settings = self.settings
        return ports.RouterRow(
            settings.router_id,
            f'{settings.host}:{settings.peer_port}',
            settings.failure_domain,
            time.time(),
        )

    def others(self):
        """Return the rows of the other routers."""
        own = self.settings.router_id
        rows = list(self.rows.items())
        return [row for name, row in rows if name != own]

    def _fetch_state(self):
        others = {row.name: row for row in self.others()}
        if not others:
            return
        row = others[self.catchup.choose(list(others), self.rng.random)]
        version = self.view.snapshot.version
        try:
            state = self.caller.call(
                'GET',
                row.address,
                f'{STATE_PATH}?version={version}',
                cls=State,
                decode=decode_state,
            )
        except (calls.CallError, exceptions.IbisringError) as error:
            LOG.debug('peer %s did not answer: %s', row.name, error)
            return
        self._apply_state(row.name, state)

    def _apply_state(self, name, state):
        origin = f'router {name}'
        table_position = positions.make(state.table_era, state.table_position)
        position = positions.make(state.endpoints_era, state.position)
        if state.table is not None:
            self.tell_directory(
                directory_module.ReadResult(
                    [state.table],
                    True,
                    origin=origin,
                    is_table=True,
                    position=table_position,
                    age=state.table_age,
                )
            )
            self.followers.record_state(TABLE, table_position)
        if position > self.view.snapshot.position:
            self.tell_directory(
                directory_module.ReadResult(
                    state.endpoints,
                    True,
                    origin=origin,
                    position=position,
                    age=state.endpoints_age,
                    unconfirmed=state.unconfirmed,
                )
            )
            self.followers.record_state(ENDPOINTS, position)


def _wanted_texts(versions):
    """Return the wanted versions as texts for a log line."""
    texts = {TABLE: str, ENDPOINTS: positions.text}
    return {name: texts[name](each) for name, each in versions.items()}


def make_peers(settings, view, lease_table, tell_directory, followers):
    """Make `Peers`; start it with ``start()``."""
    return Peers(settings, view, lease_table, tell_directory, followers)
