"""Known peer routers, and fetching state from them when behind."""

__all__ = ['State', 'Peers', 'make_peers']

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
from ibisring_policy.gateway import storereaders
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import logs
from ibisring_web import calls

LOG = logging.getLogger(__name__)
FOLLOWED = layerorders.StoreStatus.FOLLOWING
LOST = layerorders.StoreStatus.LOST
SECOND_MS = 1000.0
STATE_PATH = '/state'
TABLE = 'table'
ENDPOINTS = 'endpoints'
CONNECT_TIMEOUT = 0.15
READ_TIMEOUT = 0.3
# Seconds between reads of the list of routers: after the first read, and
# while no peer has been heard from.  Routers that start later announce
# themselves by gossip.
LIST_AGAIN = 3.0
ALONE_AFTER = 12.0
TICK = 0.1


class State(msgspec.Struct):
    """Routing state that one router serves to another.

    `table` is None if the requester has that version already.  `position`
    and `table_position` are the store versions up to which endpoints and
    table are known; ages are in seconds.
    """

    version: int
    table_age: float
    endpoints_age: float
    position: int
    table: routing.RoutingTable | None = None
    endpoints: list[routing.Endpoint] = []
    table_position: int = 0


class Peers:
    """Keeps track of peer routers and fetches state from them.

    The store may refuse some routers and serve others.  A refused router
    would keep accepting a revoked key, or keep using an endpoint that is
    leaving, although its peers have newer state.

    Parameters
    ----------
    settings : settings.Settings
    view : view.View
    rows : ports.LeaseTable
    tell : callable
        Takes `directory.Read` messages.
    followers : following.Followers
        Notified of what other routers report of the store.
    """

    def __init__(self, settings, view, rows, tell, followers):
        self.settings = settings
        self.view = view
        self.rows = rows
        self.tell = tell
        self.followers = followers
        self.known = {}
        self.rng = random.Random()
        self.caller = calls.make_caller(CONNECT_TIMEOUT, READ_TIMEOUT)
        self.stopped = threading.Event()
        self.list_at = 0.0
        self.written = False
        self.hearing = peerreports.make_peer_reports(
            settings.router_id, settings.failure_domain, view.clock()
        )
        self.current_role = storereaders.Role.TOLD
        self.catchup = catchup.make_catchup()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()
        return self

    def stop(self):
        """Ask the thread to exit."""
        self.stopped.set()

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
            position=snapshot.position,
            table=table,
            endpoints=list(snapshot.endpoints.values()),
            table_position=snapshot.table_position,
        )

    def heard(self, heard, address, lost_ms=None):
        """Record a datagram of another router.

        Parameters
        ----------
        heard : peerreports.PeerReport
        address : str
        lost_ms : int or None
            Milliseconds since it last lost the store, None if never.
        """
        before = self.hearing.receive(heard)
        if lost_ms is not None:
            self.followers.told_of_loss(
                heard.received_at - lost_ms / SECOND_MS
            )
        was_lost = before is not None and before.store_status is LOST
        if was_lost and heard.store_status is FOLLOWED:
            self.followers.returned()
        row = self.known.get(heard.name)
        if row is None or row.address != address:
            self.known[heard.name] = ports.RouterRow(
                heard.name, address, heard.domain, 0.0
            )

    def behind(self, name, now, versions=None):
        """Record that another router has newer state."""
        self.catchup.peer_is_ahead(name, now, self.is_near(name), versions)

    def is_near(self, name):
        """Whether a router is in this one's failure domain.

        Traffic to such a router uses no link between domains; those links
        are expensive.
        """
        row = self.known.get(name)
        return row is not None and row.domain == self.settings.failure_domain

    def running_count(self, now):
        """Return the estimated number of running routers with this one."""
        return sum(self.hearing.router_counts(now).values())

    def own_standing(self):
        """Return this router's store status as sent to other routers.

        Returns
        -------
        storereaders.Neighbour
        """
        is_lost = self.view.store_lost_at is not None
        return storereaders.Neighbour(
            self.settings.router_id,
            self.followers.standing(is_lost),
            self.settings.link,
            self.current_role is not storereaders.Role.TOLD,
        )

    def role(self):
        """Return this router's role in reading the store.

        Returns
        -------
        storereaders.Role
        """
        return self.current_role

    def _judge_role(self, now):
        neighbours = self.hearing.neighbours(now)
        found = storereaders.choose_role(self.own_standing(), neighbours)
        if now - self.hearing.started_at < storereaders.STARTUP_LISTEN_SECONDS:
            found = storereaders.Role.TOLD
        if found is not self.current_role:
            self.current_role = found
            logs.event(LOG, 'store_role', role=found.name.lower())
            self.followers.role_changed(found)

    def polling_slot(self):
        """Return this router's rank among those that call the store.

        Returns
        -------
        polling.Fleet
        """
        now = self.view.clock()
        counts = self.hearing.router_counts(now)
        if self.current_role is storereaders.Role.ASKS:
            running = sum(counts.values())
            rank = min(self.hearing.rank(now), running - 1)
            return polling.Fleet(running, rank, running)
        before = storereaders.preferred_readers(
            self.own_standing(), self.hearing.neighbours(now)
        )
        return storereaders.fleet_position(
            self.settings.failure_domain, len(before), counts
        )

    def store_statuses(self, now):
        """Return the store status of each router heard from lately.

        Returns
        -------
        dict of str to layerorders.StoreStatus
        """
        return self.hearing.store_statuses(now)

    def max_routers(self, now):
        """Return an upper estimate of the number of running routers.

        A router that has just started has received no gossip yet, but has
        read the rows of all routers that ever ran.
        """
        return max(self.running_count(now), len(self.others()) + 1)

    def run(self):
        """Update role and state until stopped."""
        while not self.stopped.wait(TICK * self.rng.uniform(0.8, 1.2)):
            now = self.view.clock()
            try:
                if now >= self.list_at:
                    self._list_if_alone(now)
                self._judge_role(now)
                self._catch_up(now)
            except Exception:
                LOG.exception('peers_failed')

    def _catch_up(self, now):
        """Fetch newer state of others if it has not arrived by gossip."""
        known = self.catchup
        snapshot = self.view.snapshot
        position = max(snapshot.changed, snapshot.position)
        known.caught_up({TABLE: snapshot.version, ENDPOINTS: position})
        is_told = self.current_role is storereaders.Role.TOLD
        callers = self.polling_slot().callers
        if known.is_due(now, self._age(now), callers, is_told):
            asks_store = is_told and not known.queried_store
            known.queried(now, asks_store)
            logs.event(
                LOG,
                'catching_up',
                asks='store' if asks_store else 'router',
                ahead=known.newest_peer,
                wanted=known.wanted_versions,
                table=snapshot.version,
                endpoints=position,
                age_ms=round(self._age(now) * SECOND_MS),
            )
            if asks_store:
                # The store returns only the changes; a peer would return
                # the whole list of endpoints, which is long.
                self.followers.read_now((TABLE, ENDPOINTS))
            else:
                self._ask_one()
        known.expire(now, is_told)

    def _age(self, now):
        """Return the seconds since the older of both tables was read."""
        snapshot = self.view.snapshot
        return now - min(snapshot.table_read_at, snapshot.endpoints_read_at)

    def _list_if_alone(self, now):
        if self.running_count(now) > 1 and self.written:
            self.list_at = now + ALONE_AFTER
            return
        self._list(now)

    def _list(self, now):
        """Write this router's row once, and read the rows of all."""
        try:
            if not self.written:
                self.rows.write_router(self._own_row())
                self.written = True
            rows = self.rows.read_routers()
        except exceptions.IbisringError as error:
            LOG.debug('reading the list of routers failed: %s', error.detail)
            self.list_at = now + 1.0
            return
        again = now + ALONE_AFTER if self.known else now + LIST_AGAIN
        self.list_at = again
        names = {row.name for row in rows}
        if names != set(self.known):
            logs.event(LOG, 'routers', known=sorted(names))
        self.known = {row.name: row for row in rows}

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
        known = list(self.known.items())
        return [row for name, row in known if name != own]

    def _ask_one(self):
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
            )
        except (calls.CallError, exceptions.IbisringError) as error:
            LOG.debug('peer %s did not answer: %s', row.name, error)
            return
        self._take(row.name, state)

    def _take(self, name, state):
        origin = f'router {name}'
        if state.table is not None:
            self.tell(
                directory_module.Read(
                    [state.table],
                    True,
                    origin=origin,
                    is_table=True,
                    position=state.table_position,
                    age=state.table_age,
                )
            )
            self.followers.confirm(TABLE, state.table_position, True)
        if state.position > self.view.snapshot.position:
            self.tell(
                directory_module.Read(
                    state.endpoints,
                    True,
                    origin=origin,
                    position=state.position,
                    age=state.endpoints_age,
                )
            )
            self.followers.confirm(ENDPOINTS, state.position, True)


def make_peers(settings, view, rows, tell, followers):
    """Make `Peers`; start it with ``start()``."""
    return Peers(settings, view, rows, tell, followers)
