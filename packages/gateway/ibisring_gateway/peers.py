"""What routers tell each other, and whom they know."""

__all__ = ['State', 'Peers', 'make_peers']

import logging
import math
import random
import threading
import time

import msgspec

from ibisring_gateway import directory as directory_module
from ibisring_gateway import ports
from ibisring_policy.gateway import catchup
from ibisring_policy.gateway import ordering
from ibisring_policy.gateway import polling
from ibisring_policy.gateway import sharing
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import logs
from ibisring_web import calls

LOG = logging.getLogger(__name__)
FOLLOWED = ordering.StoreTouch.FOLLOWED
LOST = ordering.StoreTouch.LOST
SECOND_MS = 1000.0
STATE_PATH = '/state'
TABLE = 'table'
ENDPOINTS = 'endpoints'
CONNECT_TIMEOUT = 0.15
READ_TIMEOUT = 0.3
# The list of routers is read at the start, again a little later, and when
# nobody was heard for so many seconds; routers that come later make
# themselves known.
LIST_AGAIN = 3.0
ALONE_AFTER = 12.0
# Seconds for which a router counts as running after it was heard, and for
# which the number that another domain tells counts.  A router tells those of
# its own domain something five times in this, so that of datagrams of which a
# third is lost at least one comes.
HEARD_FOR = 4.4
# Seconds after its start in which a router has not heard all of its domain.
COUNTS_AFTER = 2.0
# Seconds for which what a router knows of the store counts.
HEARD_LATELY = 2.5
TICK = 0.1
# Of a domain of which nothing was told: when that was, and how many run.
NEVER = (-math.inf, 0)


class State(msgspec.Struct):
    """What a router knows, with the ages of both parts in seconds.

    `table` is left out where the asker has that version already.  `position`
    and `table_position` are the store's versions up to which endpoints and
    table are known.
    """

    version: int
    table_age: float
    endpoints_age: float
    position: int
    table: routing.RoutingTable | None = None
    endpoints: list[routing.Endpoint] = []
    table_position: int = 0


class Peers:
    """Asks other routers while the store does not answer this one.

    The store may turn away some routers and serve the others.  One that is
    turned away would go on with a revoked key or a leaving endpoint, while
    a peer next to it knows better.

    Parameters
    ----------
    settings : settings.Settings
    view : view.View
    rows : ports.LeaseTable
    tell : callable
        Takes `directory.Read` messages.
    followers : following.Followers
        Told what other routers say of the store.
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
        self.heard_at = {}
        self.touches = {}
        self.neighbours = {}
        self.counts = {}
        self.first_hand = {}
        self.begun_at = view.clock()
        self.current_role = sharing.Role.TOLD
        self.catchup = catchup.make_catchup()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()
        return self

    def stop(self):
        """Let the thread end."""
        self.stopped.set()

    def state_for(self, version):
        """Give what this router knows to one that has a version."""
        now = self.view.clock()
        snapshot = self.view.snapshot
        table = None
        if snapshot.index is not None and snapshot.version > version:
            table = snapshot.index.table
        return State(
            version=snapshot.version,
            table_age=now - snapshot.table_at,
            endpoints_age=now - snapshot.endpoints_at,
            position=snapshot.position,
            table=table,
            endpoints=list(snapshot.endpoints.values()),
            table_position=self.followers.position(TABLE),
        )

    def heard(
        self,
        name,
        address,
        domain,
        touch,
        now,
        lost_ms=None,
        neighbour=None,
        counts=None,
    ):
        """Note a datagram of another router.

        Parameters
        ----------
        name, address, domain : str
        touch : ordering.StoreTouch
            What it knows of the store.
        now : float
        lost_ms : int or None
            Milliseconds since it last lost the store, None if it never has.
        neighbour : sharing.Neighbour or None
            How it stands with the store itself.
        counts : dict of str to (int, int), optional
            By failure domain, how many routers run and how many milliseconds
            ago one of them said so.
        """
        before = self.touches.get(name)
        self.heard_at[name] = now
        self.touches[name] = touch
        if neighbour is not None:
            self.neighbours[name] = neighbour
        self._take_counts(counts or {}, domain, now)
        if lost_ms is not None:
            self.followers.told_of_loss(now - lost_ms / SECOND_MS)
        if before is LOST and touch is FOLLOWED:
            self.followers.returned()
        row = self.known.get(name)
        if row is None or row.address != address:
            self.known[name] = ports.RouterRow(name, address, domain, 0.0)

    def _take_counts(self, counts, teller, now):
        """Take the newest word of how many routers run in each domain.

        Only what a router says of its own domain is passed on: each hop
        makes word look younger by its delay, so that it would go round for
        as long as there are routers.
        """
        for domain, (count, age_ms) in counts.items():
            said_at = now - age_ms / SECOND_MS
            if said_at > self.counts.get(domain, NEVER)[0]:
                self.counts[domain] = said_at, count
            if domain == teller:
                self.first_hand[domain] = said_at, count

    def behind(self, name, now, versions=None):
        """Note that another router knows something newer."""
        self.catchup.behind(name, now, self.is_near(name), versions)

    def is_near(self, name):
        """Whether a router is in this one's failure domain.

        What it tells then crosses no link between domains, which are dear.
        """
        row = self.known.get(name)
        return row is not None and row.domain == self.settings.failure_domain

    def running(self, now):
        """Give how many routers seem to run, this one included."""
        return sum(self._counts(now).values())

    def counts_to_tell(self, now):
        """Give how many routers run by domain, as `heard` takes it.

        Returns
        -------
        dict of str to (int, int)
        """
        found = {
            domain: (count, int((now - at) * SECOND_MS))
            for domain, (at, count) in list(self.first_hand.items())
            if now - at < HEARD_FOR
        }
        found.pop(self.settings.failure_domain, None)
        if now - self.begun_at >= COUNTS_AFTER:
            near = 1 + len(self._heard(now, near=True))
            found[self.settings.failure_domain] = near, 0
        return found

    def _counts(self, now):
        """Give the running routers by failure domain.

        Of the other domains either some router has told the number, or only
        those that were heard are known.
        """
        counts = {self.settings.failure_domain: 1}
        for name in self._heard(now):
            domain = self.known[name].domain
            counts[domain] = counts.get(domain, 0) + 1
        for domain, (at, count) in list(self.counts.items()):
            if domain != self.settings.failure_domain:
                if now - at < HEARD_FOR:
                    counts[domain] = count
        return counts

    def _heard(self, now, near=False, within=HEARD_FOR):
        """Give the names of the other routers that were heard lately.

        Parameters
        ----------
        now : float
        near : bool
            Only those of the own failure domain.
        within : float
            Seconds.
        """
        return [
            name
            for name, at in list(self.heard_at.items())
            if now - at < within and (not near or self.is_near(name))
        ]

    def _neighbours(self, now):
        """Give the routers of this domain that were heard lately."""
        names = self._heard(now, near=True, within=sharing.SILENT_AFTER)
        known = self.neighbours
        return [known[name] for name in names if name in known]

    def own_standing(self):
        """Give how this router stands with the store, as others are told.

        Returns
        -------
        sharing.Neighbour
        """
        is_lost = self.view.store_lost_at is not None
        return sharing.Neighbour(
            self.settings.router_id,
            self.followers.standing(is_lost),
            self.settings.link,
            self.current_role is not sharing.Role.TOLD,
        )

    def role(self):
        """Give what this router does about the store.

        Returns
        -------
        sharing.Role
        """
        return self.current_role

    def _judge_role(self, now):
        found = sharing.role(self.own_standing(), self._neighbours(now))
        if now - self.begun_at < sharing.LISTEN_FIRST:
            found = sharing.Role.TOLD
        if found is not self.current_role:
            self.current_role = found
            logs.event(LOG, 'store_role', role=found.name.lower())
            if found is not sharing.Role.TOLD:
                self.followers.go_on()

    def place(self):
        """Give this router's place among those that call the store.

        Returns
        -------
        polling.Fleet
        """
        now = self.view.clock()
        counts = self._counts(now)
        if self.current_role is sharing.Role.ASKS:
            own = self.settings.router_id
            before = sum(1 for name in self._heard(now) if name < own)
            running = sum(counts.values())
            return polling.Fleet(running, min(before, running - 1), running)
        rank = len(sharing.readers(self.own_standing(), self._neighbours(now)))
        return sharing.place(self.settings.failure_domain, rank, counts)

    def store_touches(self, now):
        """Give what the routers heard lately know of the store.

        Returns
        -------
        dict of str to ordering.StoreTouch
        """
        names = self._heard(now, within=HEARD_LATELY)
        return {name: self.touches[name] for name in names}

    def fleet(self, now):
        """Give how many routers there may be, this one included.

        One that has just started has heard nobody yet, but has read the
        rows of those that ever ran.
        """
        return max(self.running(now), len(self.others()) + 1)

    def run(self):
        """Ask others, when that is due, until stopped."""
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
        """Get what others know already, if it does not come by itself."""
        known = self.catchup
        snapshot = self.view.snapshot
        position = max(snapshot.changed, snapshot.position)
        known.caught_up({TABLE: snapshot.version, ENDPOINTS: position})
        is_told = self.current_role is sharing.Role.TOLD
        callers = self.place().callers
        if known.is_due(now, self._age(now), callers, is_told):
            asks_store = is_told and not known.asked_store
            known.asked(now, asks_store)
            logs.event(
                LOG,
                'catching_up',
                asks='store' if asks_store else 'router',
                ahead=known.ahead,
                wanted=known.wanted,
                table=snapshot.version,
                endpoints=position,
                age_ms=round(self._age(now) * SECOND_MS),
            )
            if asks_store:
                # The list of endpoints is long; the store gives the changes.
                self.followers.read_now((TABLE, ENDPOINTS))
            else:
                self._ask_one()
        known.forget(now, is_told)

    def _age(self, now):
        """Give the seconds since the older of both tables was read."""
        snapshot = self.view.snapshot
        return now - min(snapshot.table_at, snapshot.endpoints_at)

    def _list_if_alone(self, now):
        if self.running(now) > 1 and self.written:
            self.list_at = now + ALONE_AFTER
            return
        self._list(now)

    def _list(self, now):
        """Write the own row once, and read those of the others."""
        try:
            if not self.written:
                self.rows.write_router(self._own_row())
                self.written = True
            rows = self.rows.read_routers()
        except exceptions.IbisringError as error:
            LOG.debug('routers not read: %s', error.detail)
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
        """Give the rows of the other routers."""
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
