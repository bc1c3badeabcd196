"""What routers tell each other, and whom they know."""

__all__ = ['State', 'Peers', 'make_peers']

import logging
import random
import threading
import time

import msgspec

from ibisring_gateway import directory as directory_module
from ibisring_gateway import logs
from ibisring_gateway import ports
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_web import calls

LOG = logging.getLogger(__name__)
STATE_PATH = '/state'
CONNECT_TIMEOUT = 0.15
READ_TIMEOUT = 0.3
# Seconds without the store after which a peer is asked, and between asks.
ASK_AFTER = 0.5
ASK_EVERY = 0.4
# Seconds between reads of the list of routers, which shows who has come.
LIST_EVERY = 10.0
TICK = 0.2


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
    """

    def __init__(self, settings, view, rows, tell):
        self.settings = settings
        self.view = view
        self.rows = rows
        self.tell = tell
        self.known = {}
        self.rng = random.Random()
        self.caller = calls.make_caller(CONNECT_TIMEOUT, READ_TIMEOUT)
        self.stopped = threading.Event()
        self.listed_at = -LIST_EVERY
        self.written = False
        self.thread = threading.Thread(target=self._loop, daemon=True)

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

    def _loop(self):
        asked_at = 0.0
        while not self.stopped.wait(TICK * self.rng.uniform(0.8, 1.2)):
            now = time.monotonic()
            try:
                if now - self.listed_at >= LIST_EVERY:
                    self._list(now)
                if self._is_stale(now) and now - asked_at >= ASK_EVERY:
                    asked_at = now
                    self._ask_one()
            except Exception:
                LOG.exception('peers_failed')

    def _is_stale(self, now):
        snapshot = self.view.snapshot
        age = now - min(snapshot.table_at, snapshot.endpoints_at)
        return age > self.settings.feed_wait_s + ASK_AFTER

    def _list(self, now):
        """Write the own row once, and read those of the others."""
        try:
            if not self.written:
                self.rows.write_router(self._own_row())
                self.written = True
            rows = self.rows.read_routers()
        except exceptions.IbisringError as error:
            LOG.debug('routers not read: %s', error.detail)
            self.listed_at = now - LIST_EVERY + 1.0
            return
        self.listed_at = now
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
        return [row for name, row in self.known.items() if name != own]

    def _ask_one(self):
        others = self.others()
        if not others:
            return
        row = self.rng.choice(others)
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


def make_peers(settings, view, rows, tell):
    """Make `Peers`; start it with ``start()``."""
    return Peers(settings, view, rows, tell)
