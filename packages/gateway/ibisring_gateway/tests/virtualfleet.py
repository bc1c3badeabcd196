"""Simulation of routers that follow a store, in virtual time in one thread.

The store, its links and the network between routers are simulated.  The code
that decides when to call, whom to query and what to apply is the product's.
"""

__all__ = ['Router', 'Fleet', 'simulate', 'seconds_until_known']

import random

from ibisring_gateway import directory
from ibisring_gateway import gossip
from ibisring_gateway import gossipmessages
from ibisring_gateway import peers
from ibisring_gateway import settings as settings_module
from ibisring_gateway import storefollowing
from ibisring_gateway.tests import builders
from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualstore
from ibisring_gateway.tests import virtualtime
from ibisring_gateway import upstream
from ibisring_gateway import view as view_module
from ibisring_records import exceptions
from ibisring_web import calls

ENDPOINTS = schedules.ENDPOINTS
REMOVAL = schedules.REMOVAL
TABLE = schedules.TABLE
# Seconds that a datagram takes, and the share lost on lossy links.
DATAGRAM_SECONDS = 0.002
LOSSY_SHARE = 0.3
# Seconds without failures after which the guarantees apply to a router, and
# seconds from the store's acknowledgement until it must know a change.
CALM_SECONDS = 3.0
KNOWN_WITHIN_SECONDS = 2.0
CHECK_SECONDS = 0.1


class _RouterRows:
    """The store's rows of routers, as accessed by one router."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number

    def write_router(self, row):
        self._check()
        self.fleet.rows[row.name] = row

    def read_routers(self):
        self._check()
        return list(self.fleet.rows.values())

    def _check(self):
        self.fleet.store.calls += 1
        if self.fleet.store.failure_kind(self.number) is not None:
            self.fleet.scheduler.sleep(virtualstore.TIMEOUT_MARGIN_SECONDS)
            raise exceptions.PlatformAnswerLost('no answer')
        self.fleet.scheduler.sleep(virtualstore.ANSWER_SECONDS)


class _Network:
    """Datagrams and calls from one router to the others."""

    def __init__(self, fleet, router):
        self.fleet = fleet
        self.router = router

    def sendto(self, data, address):
        """Send a datagram; it may be lost."""
        scheduler = self.fleet.scheduler
        other = self.fleet.by_address.get(f'{address[0]}:{address[1]}')
        if other is None or self.fleet.is_dropped(self.router, other):
            return
        message = gossipmessages.decode(data)
        source = self.router.host, self.router.settings.peer_port
        arrives_at = max(
            scheduler.now + self.fleet.datagram_seconds(self.router),
            scheduler.frozen.get(other.settings.router_id, 0.0),
        )
        scheduler.call_at(arrives_at, lambda: other.receive(message, source))

    def call(self, method, address, path, cls, decode):
        """Fetch another router's state."""
        scheduler = self.fleet.scheduler
        other = self.fleet.by_address.get(address)
        scheduler.sleep(DATAGRAM_SECONDS)
        name = other.settings.router_id if other else ''
        is_frozen = scheduler.frozen.get(name, 0.0) > scheduler.now
        if other is None or is_frozen or self.fleet.is_cut(self.router, other):
            scheduler.sleep(peers.READ_TIMEOUT_SECONDS)
            raise calls.AnswerLost(address)
        state = other.peers.state_for(int(path.partition('=')[2]))
        scheduler.sleep(DATAGRAM_SECONDS)
        return state


class Router:
    """The parts of a router process that follow the store."""

    def __init__(self, fleet, number):
        scheduler = fleet.scheduler
        self.host = f'10.0.0.{number + 1}'
        self.number = number
        self.store = fleet.store
        self.is_up = True
        self.settings = settings_module.Settings(
            router_id=f'r{number}',
            failure_domain='abcdef'[number % fleet.schedule.domains],
            host=self.host,
            caller_listen=f'{self.host}:1',
            ready_listen=f'{self.host}:2',
            store='10.0.1.1:1',
            peer_port=7000,
        )
        domain = self.settings.failure_domain
        self.view = view_module.make_view(
            domain, scheduler.clock, self.settings.router_id
        )
        self.directory = directory.Directory(
            self.view,
            builders.Metrics(),
            upstream.make_connection_pool(),
            lambda: None,
            lambda table: None,
        )
        network = _Network(fleet, self)
        tell_directory = self.directory.on_receive
        rows = _RouterRows(fleet, number)
        followers = storefollowing.make_followers(
            lambda: self.peers.polling_slot(),
            lambda: self.peers.role(),
            scheduler.clock,
        )
        self.peers = peers.Peers(
            self.settings, self.view, rows, tell_directory, followers
        )
        self.peers.caller = network
        self.gossip = gossip.Gossip(
            self.settings, self.view, self.peers, tell_directory, network
        )
        for name in (TABLE, ENDPOINTS):
            source = virtualstore.Source(fleet.store, number, name)
            followers.add(name, source, name == TABLE, tell_directory)
        followers.polling.draw = random.Random(fleet.rng.random()).random
        for part in followers.members.values():
            part.wake = virtualtime.Event(scheduler)
            scheduler.spawn(self.settings.router_id, part.run)
        for part in (self.peers, self.gossip):
            part.stopped = virtualtime.Event(scheduler)
            part.wake = virtualtime.Event(scheduler)
            part.rng = random.Random(fleet.rng.random())
            scheduler.spawn(self.settings.router_id, part.run)
        self.gossip.rotation.rng = self.gossip.rng
        scheduler.spawn(self.settings.router_id, self._tick)
        self.scheduler = scheduler
        self.last_versions = {TABLE: 0, ENDPOINTS: 0, REMOVAL: 0}

    def _tick(self):
        while True:
            self.scheduler.sleep(0.25)
            self.directory.on_tick(directory.Tick())

    def receive(self, message, source):
        """Receive a datagram."""
        if self.is_up:
            self.gossip.receiver.receive(message, source)

    def versions(self):
        """Return the version of each source in force."""
        snapshot = self.view.snapshot
        found = snapshot.endpoints.get(virtualstore.WRITTEN_NAME)
        return {
            TABLE: snapshot.version,
            ENDPOINTS: found.started if found else 0,
            REMOVAL: self._removal_known(),
        }

    def _removal_known(self):
        """Return the number of the last removal, 0 if it is not known."""
        snapshot = self.view.snapshot
        removals = self.store.acknowledged[REMOVAL]
        is_known = virtualstore.REMOVED_NAME in snapshot.endpoints
        if is_known or not removals or not snapshot.endpoints_known:
            return 0
        return removals[-1][1]


class Fleet:
    """All routers, the store, and the check of the guarantees."""

    def __init__(self, schedule):
        self.schedule = schedule
        self.scheduler = virtualtime.Scheduler()
        self.rng = random.Random(schedule.seed)
        self.store = virtualstore.Store(
            self.scheduler, schedule.failures, self.rng
        )
        self.rows = {}
        self.by_address = {}
        self.routers = {}
        self.violations = []

    def start(self, number):
        """Start a router, for the first time or after `kill`."""
        router = Router(self, number)
        self.routers[number] = router
        self.by_address[f'{router.host}:7000'] = router

    def kill(self, number):
        """Kill a router."""
        router = self.routers.pop(number, None)
        if router is not None:
            router.is_up = False
            del self.by_address[f'{router.host}:7000']
            self.scheduler.kill(router.settings.router_id)

    def is_cut(self, one, other):
        """Return whether two routers can't reach each other now."""
        return any(
            failure.kind in ('cut', 'isolated')
            for failure in self._active_failures(one, other)
        )

    def is_dropped(self, one, other):
        """Return whether a datagram between two routers is lost."""
        if self.is_cut(one, other):
            return True
        is_lossy = any(
            failure.kind == 'lossy'
            for failure in self._active_failures(one, other)
        )
        return is_lossy and self.rng.random() < LOSSY_SHARE

    def datagram_seconds(self, router):
        """Return how long a router's datagrams take now."""
        kinds = [each.kind for each in self._active_failures(router)]
        is_slow = schedules.SLOW in kinds
        return virtualstore.SLOW_SECONDS if is_slow else DATAGRAM_SECONDS

    def _active_failures(self, *routers):
        elapsed = self.scheduler.now - virtualtime.START
        for failure in self.schedule.failures:
            if failure.at <= elapsed < failure.ends_at:
                if any(failure.affects(router.number) for router in routers):
                    yield failure

    def set_up(self):
        """Start the routers and schedule all events of the run."""
        start = virtualtime.START
        for number in range(self.schedule.routers):
            self.start(number)
        for source in (TABLE, ENDPOINTS):
            self.store.write(source)
        for change in self.schedule.changes:
            self.scheduler.call_at(
                start + change.at,
                lambda source=change.source: self.store.write(source),
            )
        for failure in self.schedule.failures:
            self.scheduler.call_at(
                start + failure.at,
                lambda each=failure: self._start_failure(each),
            )
            if failure.kind == schedules.RESTORE:
                self.scheduler.call_at(
                    start + failure.ends_at, self.store.restore
                )
            after = start + failure.ends_at + virtualstore.ANSWER_SECONDS
            self.scheduler.call_at(after, self.store.answer_waiting)
        self.scheduler.call_at(start, self._check)

    def _start_failure(self, failure):
        self.store.apply_failure(failure)
        ends_at = virtualtime.START + failure.ends_at
        for number in failure.affected or range(self.schedule.routers):
            name = f'r{number}'
            if failure.kind == 'frozen':
                until = max(ends_at, self.scheduler.frozen.get(name, 0.0))
                self.scheduler.frozen[name] = until
            elif failure.kind == 'restart':
                self.kill(number)
                self.scheduler.call_at(
                    ends_at, lambda n=number: self._restart(n)
                )

    def _restart(self, number):
        if number not in self.routers:
            self.start(number)

    def _check(self):
        for router in self.routers.values():
            self._check_router(router)
        self.scheduler.call_at(self.scheduler.now + CHECK_SECONDS, self._check)

    def _check_router(self, router):
        elapsed = self.scheduler.now - virtualtime.START
        is_calm = self._is_calm(router.number, elapsed)
        for source, version in router.versions().items():
            if version < router.last_versions[source]:
                self._record_violation(
                    router, source, f'went back to {version}'
                )
            router.last_versions[source] = version
            due = [
                version_due
                for at, version_due in self.store.acknowledged[source]
                if at <= self.scheduler.now - KNOWN_WITHIN_SECONDS
            ]
            if is_calm and due and version < due[-1]:
                self._record_violation(
                    router, source, f'{version}, not {due[-1]}'
                )

    def all_know(self, source):
        """Return whether all routers act on a source's last version."""
        last = self.store.acknowledged[source][-1][1]
        return all(
            router.versions()[source] >= last
            for router in self.routers.values()
        )

    def _record_violation(self, router, source, detail):
        at = self.scheduler.now - virtualtime.START
        name = router.settings.router_id
        self.violations.append(f'{at:.1f} {name} {source} {detail}')

    def _is_calm(self, number, elapsed):
        """Return whether router and store have had no failure lately."""
        if elapsed < CALM_SECONDS:
            return False
        for failure in self.schedule.failures:
            is_relevant = failure.kind in (
                *schedules.STORE_KINDS,
                schedules.RESTORE,
            ) or failure.affects(number)
            if (
                is_relevant
                and failure.at <= elapsed < failure.ends_at + CALM_SECONDS
            ):
                return False
        return True


def simulate(schedule):
    """Run a schedule.

    Returns
    -------
    (list of str, int)
        Violated guarantees, and the number of store calls.
    """
    fleet = Fleet(schedule)
    fleet.set_up()
    fleet.scheduler.run(virtualtime.START + schedule.ends_at)
    fleet.scheduler.kill()
    return fleet.violations, fleet.store.calls


def seconds_until_known(schedule, source, since):
    """Run a schedule until all routers know the last change of a source.

    Returns
    -------
    float
        Seconds after `since`; the schedule has no changes after that time.
    """
    fleet = Fleet(schedule)
    fleet.set_up()
    until = virtualtime.START + since
    deadline = virtualtime.START + schedule.ends_at
    while until < deadline:
        fleet.scheduler.run(until)
        if fleet.all_know(source):
            break
        until += virtualstore.ANSWER_SECONDS
    fleet.scheduler.kill()
    return fleet.scheduler.now - virtualtime.START - since
