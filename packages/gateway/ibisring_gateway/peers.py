"""What routers tell each other, and whom they know."""

__all__ = ['State', 'Peers', 'make_peers']

import logging
import random
import threading
import time

import msgspec

from ibisring_gateway import directory as directory_module
from ibisring_gateway import ports
from ibisring_policy.gateway import catchup
from ibisring_policy.gateway import ordering
from ibisring_policy.gateway import polling
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import logs
from ibisring_web import calls

LOG = logging.getLogger(__name__)
FOLLOWED = ordering.StoreTouch.FOLLOWED
LOST = ordering.StoreTouch.LOST
SECOND_MS = 1000.0
STATE_PATH = '/state'
CONNECT_TIMEOUT = 0.15
READ_TIMEOUT = 0.3
# The list of routers is read at the start, again a little later, and when
# nobody was heard for so many seconds; routers that come later make
# themselves known.
LIST_AGAIN = 3.0
ALONE_AFTER = 12.0
# Seconds for which a router counts as running after it was heard.
HEARD_FOR = 8.0
# Seconds after which a router that tells all others is taken for gone, and
# how many it tells at once.
HEARD_LATELY = 2.5
TOLD_AT_ONCE = 6
TICK = 0.1


class State(msgspec.Struct):
    """What a router knows, with the ages of both parts in seconds.

    `table` is left out where the asker has that version already.
    """

    version: int
    table_age: float
    endpoints_age: float
    position: int
    table: routing.RoutingTable | None = None
    endpoints: list[routing.Endpoint] = []


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
        )

    def heard(self, name, address, domain, touch, now, lost_ms=None):
        """Note a datagram of another router.

        Parameters
        ----------
        name, address, domain : str
        touch : ordering.StoreTouch
            What it knows of the store.
        now : float
        lost_ms : int or None
            Milliseconds since it last lost the store, None if it never has.
        """
        before = self.touches.get(name)
        self.heard_at[name] = now
        self.touches[name] = touch
        if lost_ms is not None:
            self.followers.told_of_loss(now - lost_ms / SECOND_MS)
        if before is LOST and touch is FOLLOWED:
            self.followers.returned()
        row = self.known.get(name)
        if row is None or row.address != address:
            self.known[name] = ports.RouterRow(name, address, domain, 0.0)

    def behind(self, name, now):
        """Note that another router knows something newer."""
        self.catchup.behind(name, now, self._is_near(name))

    def _is_near(self, name):
        """Whether a router is in this one's failure domain.

        What it tells then crosses no link between domains, which are dear.
        """
        row = self.known.get(name)
        return row is not None and row.domain == self.settings.failure_domain

    def running(self, now):
        """Give how many routers seem to run, this one included."""
        return 1 + len(self._heard(now))

    def _heard(self, now):
        """Give the names of the other routers that seem to run."""
        return [
            name
            for name, at in list(self.heard_at.items())
            if now - at < HEARD_FOR
        ]

    def place(self):
        """Give this router's place among those that run.

        Returns
        -------
        polling.Fleet
        """
        own = self.settings.router_id
        names = self._heard(self.view.clock())
        before = sum(1 for name in names if name < own)
        return polling.Fleet(len(names) + 1, before)

    def store_touches(self, now):
        """Give what the routers heard lately know of the store.

        Returns
        -------
        dict of str to ordering.StoreTouch
        """
        lately = self._lately()
        return {
            name: self.touches[name]
            for name, at in list(self.heard_at.items())
            if now - at < lately
        }

    def _lately(self):
        """Give the seconds in which each running router is mostly heard."""
        rounds = (len(self.heard_at) + 1) / TOLD_AT_ONCE
        return min(HEARD_FOR, max(HEARD_LATELY, HEARD_LATELY * rounds))

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
                if self.catchup.is_due(now, self._age(now), self.running(now)):
                    self.catchup.asked(now)
                    self._ask_one()
                self.catchup.forget(now)
            except Exception:
                LOG.exception('peers_failed')

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


def make_peers(settings, view, rows, tell, followers):
    """Make `Peers`; start it with ``start()``."""
    return Peers(settings, view, rows, tell, followers)
