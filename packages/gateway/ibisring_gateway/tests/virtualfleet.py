"""Routers' real code that follows a store, all in one thread's virtual time.

The store, its links and the network between routers are made here.  What
decides when to call, whom to ask and what to put in force is the product's.
"""

__all__ = [
    'KINDS',
    'Trouble',
    'Change',
    'Schedule',
    'draw',
    'play',
    'seconds_until_known',
]

import random

import msgspec

from ibisring_gateway import directory
from ibisring_gateway import gossip
from ibisring_gateway import peers
from ibisring_gateway import ports
from ibisring_gateway import settings as settings_module
from ibisring_gateway.tests import builders
from ibisring_gateway.tests import virtualtime
from ibisring_gateway import upstream
from ibisring_gateway import view as view_module
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions
from ibisring_web import calls

# What may go wrong: the store for all routers or for some; one router.
STORE_KINDS = ('silent', 'reset', 'busy', 'old', 'lost')
ROUTER_KINDS = (
    'unreachable',
    'cut',
    'isolated',
    'frozen',
    'restart',
    'lossy',
)
KINDS = STORE_KINDS + ROUTER_KINDS
# Seconds that an answer of the store and a datagram take.
STORE_DELAY = 0.004
PEER_DELAY = 0.002
# Seconds beyond its wait after which a call is given up.
MARGIN = 0.6
# Seconds by which the state is old that a store shows in such trouble.
OLD_BY = 4.0
# Shares of what is lost in trouble that loses some.
LOST_SHARE = 0.5
LOSSY_SHARE = 0.3
# Seconds without trouble after which a router is held to its promise, and
# seconds after the store's acknowledgement at which it knows a change.
CALM = 3.0
KNOWS_WITHIN = 2.0
CHECK_EVERY = 0.1
# Seconds that are played after the last change or trouble.
AFTER = 8.0
TABLE = 'table'
ENDPOINTS = 'endpoints'


class Trouble(msgspec.Struct, frozen=True):
    """Something that goes wrong, from `at` on, for `lasts` seconds.

    `who` are numbers of routers; none means all.
    """

    kind: str
    at: float
    lasts: float
    who: tuple[int, ...] = ()

    @property
    def ends(self):
        """When it is over."""
        return self.at + self.lasts

    def strikes(self, number):
        """Say whether it is about a router."""
        return not self.who or number in self.who


class Change(msgspec.Struct, frozen=True):
    """The operator, or an endpoint, writes at a time."""

    at: float
    source: str


class Schedule(msgspec.Struct, frozen=True):
    """What happens in a run; times are seconds from its start."""

    routers: int
    changes: tuple[Change, ...]
    troubles: tuple[Trouble, ...]
    seed: int = 0

    @property
    def ends(self):
        """When the run ends."""
        times = [0.0]
        times += [change.at for change in self.changes]
        times += [trouble.ends for trouble in self.troubles]
        return max(times) + AFTER


def draw(seed):
    """Draw a schedule: troubles in series and overlapping, many changes."""
    rng = random.Random(seed)
    routers = rng.randint(3, 7)
    troubles = []
    for _ in range(rng.randint(1, 4)):
        kind = rng.choice(KINDS)
        lasts = rng.uniform(0.3, 7.0)
        who = ()
        if kind in ROUTER_KINDS or rng.random() < 0.3:
            who = tuple(rng.sample(range(routers), rng.randint(1, 2)))
        troubles.append(Trouble(kind, rng.uniform(3.0, 14.0), lasts, who))
    changes = [
        Change(rng.uniform(2.0, 20.0), rng.choice((TABLE, ENDPOINTS)))
        for _ in range(rng.randint(3, 14))
    ]
    changes.sort(key=lambda change: change.at)
    return Schedule(routers, tuple(changes), tuple(troubles), seed)


class _Call:
    """A call of the store under way; `page` or `error` once it is set."""

    def __init__(self, scheduler, number, source, after):
        self.number = number
        self.source = source
        self.after = after
        self.answered = virtualtime.Event(scheduler)
        self.page = None
        self.error = None
        self.is_lost = False

    def fail(self, error):
        """End it with an error."""
        self.error = error
        self.answered.set()


class Store:
    """Two tables that are written, read and followed.

    Attributes
    ----------
    acknowledged : dict of str to list of (float, int)
        When each version of a source was acknowledged.
    calls : int
        Calls that routers made.
    """

    def __init__(self, scheduler, troubles, rng):
        self.scheduler = scheduler
        self.troubles = troubles
        self.rng = rng
        self.log = []
        self.waiting = []
        self.acknowledged = {TABLE: [], ENDPOINTS: []}
        self.calls = 0

    def kind_of_trouble(self, number):
        """Give what is wrong between the store and a router now, or None."""
        passed = self.scheduler.now - virtualtime.START
        for trouble in self.troubles:
            if not trouble.at <= passed < trouble.ends:
                continue
            if not trouble.strikes(number):
                continue
            if trouble.kind in STORE_KINDS:
                return trouble.kind
            if trouble.kind in ('unreachable', 'isolated'):
                return 'silent'
        return None

    def trouble_begins(self, trouble):
        """Strike the calls that wait."""
        struck = [c for c in self.waiting if trouble.strikes(c.number)]
        for call in struck:
            if trouble.kind == 'reset':
                call.fail(exceptions.PlatformAnswerLost('reset'))
            elif trouble.kind in ('silent', 'unreachable', 'isolated'):
                call.is_lost = True

    def write(self, source):
        """Write the next version, when the store takes it."""
        passed = self.scheduler.now - virtualtime.START
        for trouble in self.troubles:
            refuses = trouble.kind in ('silent', 'reset', 'busy')
            if refuses and not trouble.who:
                if trouble.at <= passed < trouble.ends:
                    later = virtualtime.START + trouble.ends + 0.05
                    self.scheduler.at(later, lambda: self.write(source))
                    return
        version = len(self.log) + 1
        if source == TABLE:
            item = build.table(version)
        else:
            item = build.endpoint('x', started=version)
        now = self.scheduler.now
        self.log.append((now, version, source, item))
        self.acknowledged[source].append((now, version))
        self.tell_waiting()

    def tell_waiting(self):
        """Answer the calls for which there is something by now."""
        for call in list(self.waiting):
            if self._page(call).items:
                self._finish(call)

    def begin(self, number, source, after, wait):
        """Begin a call, of all there is if `after` is None."""
        self.calls += 1
        call = _Call(self.scheduler, number, source, after)
        arrives = self.scheduler.now + STORE_DELAY / 2
        self.scheduler.at(arrives, lambda: self._arrive(call, wait))
        return call

    def _arrive(self, call, wait):
        kind = self.kind_of_trouble(call.number)
        if kind == 'silent':
            return
        if kind == 'reset':
            call.fail(exceptions.PlatformAnswerLost('reset'))
            return
        if kind == 'busy':
            call.fail(exceptions.PlatformUnavailable('429'))
            return
        page = self._page(call)
        if call.after is None or page.items or wait <= 0.0:
            self._finish(call)
            return
        self.waiting.append(call)
        ends = self.scheduler.now + wait
        self.scheduler.at(ends, lambda: self._finish(call))

    def _finish(self, call):
        if call in self.waiting:
            self.waiting.remove(call)
        if call.page is not None or call.error is not None or call.is_lost:
            return
        kind = self.kind_of_trouble(call.number)
        if kind == 'silent':
            return
        if kind == 'lost' and self.rng.random() < LOST_SHARE:
            return
        call.page = self._page(call)
        comes = self.scheduler.now + STORE_DELAY / 2
        self.scheduler.at(comes, call.answered.set)

    def _page(self, call):
        known = self.log
        if self.kind_of_trouble(call.number) == 'old':
            limit = self.scheduler.now - OLD_BY
            known = [entry for entry in known if entry[0] <= limit]
        position = known[-1][1] if known else 0
        mine = [entry for entry in known if entry[2] == call.source]
        if call.after is None:
            items = [entry[3] for entry in mine[-1:]]
        else:
            items = [entry[3] for entry in mine if entry[1] > call.after]
        return ports.Page(position, items)


class _Source(ports.Source):
    """A table of the store as one router reaches it."""

    def __init__(self, store, number, name):
        self.store = store
        self.number = number
        self.name = name
        self.call = None

    def read_all(self):
        return self._run(None, 0.0)

    def changes(self, position, wait):
        return self._run(position, wait)

    def end_call(self):
        if self.call is not None:
            self.call.fail(ports.CallEnded('a new one begins'))

    def _run(self, after, wait):
        call = self.store.begin(self.number, self.name, after, wait)
        self.call = call
        call.answered.wait(wait + MARGIN)
        self.call = None
        if call.error is not None:
            raise call.error
        if not call.answered.is_set():
            raise exceptions.PlatformAnswerLost('no answer')
        return call.page


class _Rows:
    """The rows of the routers, as one of them reaches them."""

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
        if self.fleet.store.kind_of_trouble(self.number) is not None:
            self.fleet.scheduler.sleep(MARGIN)
            raise exceptions.PlatformAnswerLost('no answer')
        self.fleet.scheduler.sleep(STORE_DELAY)


class _Network:
    """Datagrams and calls of one router to the others."""

    def __init__(self, fleet, router):
        self.fleet = fleet
        self.router = router

    def sendto(self, data, address):
        """Send a datagram; it may be lost."""
        scheduler = self.fleet.scheduler
        other = self.fleet.by_address.get(f'{address[0]}:{address[1]}')
        if other is None or self.fleet.loses(self.router, other):
            return
        told = msgspec.msgpack.decode(data, type=gossip.Told)
        source = self.router.host, self.router.settings.peer_port
        arrives = max(
            scheduler.now + PEER_DELAY,
            scheduler.frozen.get(other.settings.router_id, 0.0),
        )
        scheduler.at(arrives, lambda: other.receive(told, source))

    def call(self, method, address, path, cls):
        """Ask another router for what it knows."""
        scheduler = self.fleet.scheduler
        other = self.fleet.by_address.get(address)
        scheduler.sleep(PEER_DELAY)
        name = other.settings.router_id if other else ''
        is_frozen = scheduler.frozen.get(name, 0.0) > scheduler.now
        if other is None or is_frozen or self.fleet.cuts(self.router, other):
            scheduler.sleep(peers.READ_TIMEOUT)
            raise calls.AnswerLost(address)
        state = other.peers.state_for(int(path.partition('=')[2]))
        scheduler.sleep(PEER_DELAY)
        return state


class Router:
    """One router's parts that follow the store, in one lifetime."""

    def __init__(self, fleet, number):
        scheduler = fleet.scheduler
        self.host = f'10.0.0.{number + 1}'
        self.number = number
        self.is_up = True
        self.settings = settings_module.Settings(
            router_id=f'r{number}',
            failure_domain='abc'[number % 3],
            host=self.host,
            caller_listen=f'{self.host}:1',
            ready_listen=f'{self.host}:2',
            store='10.0.1.1:1',
            peer_port=7000,
        )
        domain = self.settings.failure_domain
        self.view = view_module.make_view(domain, scheduler.clock)
        self.directory = directory.Directory(
            self.view,
            builders.Metrics(),
            upstream.make_connections(),
            lambda: None,
            lambda table: None,
        )
        network = _Network(fleet, self)
        tell = self.directory.on_receive
        rows = _Rows(fleet, number)
        self.peers = peers.Peers(self.settings, self.view, rows, tell)
        self.peers.caller = network
        self.gossip = gossip.Gossip(
            self.settings, self.view, self.peers, tell, network
        )
        followers = self.peers.followers
        for name in (TABLE, ENDPOINTS):
            source = _Source(fleet.store, number, name)
            followers.add(name, source, name == TABLE, tell)
        followers.polling.draw = random.Random(fleet.rng.random()).random
        for part in followers.members.values():
            part.wake = virtualtime.Event(scheduler)
            scheduler.spawn(self.settings.router_id, part.run)
        for part in (self.peers, self.gossip):
            part.stopped = virtualtime.Event(scheduler)
            part.rng = random.Random(fleet.rng.random())
            scheduler.spawn(self.settings.router_id, part.run)
        scheduler.spawn(self.settings.router_id, self._tick)
        self.scheduler = scheduler
        self.shown = {TABLE: 0, ENDPOINTS: 0}

    def _tick(self):
        while True:
            self.scheduler.sleep(0.25)
            self.directory.on_tick(directory.Tick())

    def receive(self, told, source):
        """Take in a datagram."""
        if self.is_up:
            self.gossip.take(told, source)

    def versions(self):
        """Give the version of each source that is acted upon."""
        snapshot = self.view.snapshot
        found = snapshot.endpoints.get('x')
        return {
            TABLE: snapshot.version,
            ENDPOINTS: found.started if found else 0,
        }


class Fleet:
    """All routers, the store, and the check of what they promise."""

    def __init__(self, schedule):
        self.schedule = schedule
        self.scheduler = virtualtime.Scheduler()
        self.rng = random.Random(schedule.seed)
        self.store = Store(self.scheduler, schedule.troubles, self.rng)
        self.rows = {}
        self.by_address = {}
        self.routers = {}
        self.violations = []

    def start(self, number):
        """Start a router, again after its end."""
        router = Router(self, number)
        self.routers[number] = router
        self.by_address[f'{router.host}:7000'] = router

    def end(self, number):
        """Kill a router."""
        router = self.routers.pop(number, None)
        if router is not None:
            router.is_up = False
            del self.by_address[f'{router.host}:7000']
            self.scheduler.kill(router.settings.router_id)

    def cuts(self, one, other):
        """Say whether two routers can't reach each other now."""
        return any(
            trouble.kind in ('cut', 'isolated')
            for trouble in self._striking(one, other)
        )

    def loses(self, one, other):
        """Say whether a datagram between two routers is lost."""
        if self.cuts(one, other):
            return True
        is_lossy = any(
            trouble.kind == 'lossy' for trouble in self._striking(one, other)
        )
        return is_lossy and self.rng.random() < LOSSY_SHARE

    def _striking(self, *routers):
        passed = self.scheduler.now - virtualtime.START
        for trouble in self.schedule.troubles:
            if trouble.at <= passed < trouble.ends:
                if any(trouble.strikes(router.number) for router in routers):
                    yield trouble

    def arrange(self):
        """Put everything that happens on the scheduler's list."""
        start = virtualtime.START
        for number in range(self.schedule.routers):
            self.start(number)
        for source in (TABLE, ENDPOINTS):
            self.store.write(source)
        for change in self.schedule.changes:
            self.scheduler.at(
                start + change.at,
                lambda source=change.source: self.store.write(source),
            )
        for trouble in self.schedule.troubles:
            self.scheduler.at(
                start + trouble.at, lambda each=trouble: self._begin(each)
            )
            after = start + trouble.ends + STORE_DELAY
            self.scheduler.at(after, self.store.tell_waiting)
        self.scheduler.at(start, self._check)

    def _begin(self, trouble):
        self.store.trouble_begins(trouble)
        ends = virtualtime.START + trouble.ends
        for number in trouble.who or range(self.schedule.routers):
            name = f'r{number}'
            if trouble.kind == 'frozen':
                until = max(ends, self.scheduler.frozen.get(name, 0.0))
                self.scheduler.frozen[name] = until
            elif trouble.kind == 'restart':
                self.end(number)
                self.scheduler.at(ends, lambda n=number: self._start_again(n))

    def _start_again(self, number):
        if number not in self.routers:
            self.start(number)

    def _check(self):
        for router in self.routers.values():
            self._check_router(router)
        self.scheduler.at(self.scheduler.now + CHECK_EVERY, self._check)

    def _check_router(self, router):
        passed = self.scheduler.now - virtualtime.START
        is_calm = self._is_calm(router.number, passed)
        for source, version in router.versions().items():
            if version < router.shown[source]:
                self._violated(router, source, f'went back to {version}')
            router.shown[source] = version
            due = [
                wanted
                for at, wanted in self.store.acknowledged[source]
                if at <= self.scheduler.now - KNOWS_WITHIN
            ]
            if is_calm and due and version < due[-1]:
                self._violated(router, source, f'{version}, not {due[-1]}')

    def all_know(self, source):
        """Say whether all routers act on a source's last version."""
        last = self.store.acknowledged[source][-1][1]
        return all(
            router.versions()[source] >= last
            for router in self.routers.values()
        )

    def _violated(self, router, source, what):
        at = self.scheduler.now - virtualtime.START
        name = router.settings.router_id
        self.violations.append(f'{at:.1f} {name} {source} {what}')

    def _is_calm(self, number, passed):
        """Say whether a router and the store were left alone for long."""
        if passed < CALM:
            return False
        for trouble in self.schedule.troubles:
            mine = trouble.kind in STORE_KINDS or trouble.strikes(number)
            if mine and trouble.at <= passed < trouble.ends + CALM:
                return False
        return True


def play(schedule):
    """Play a schedule.

    Returns
    -------
    (list of str, int)
        What was promised and not kept, and the calls of the store.
    """
    fleet = Fleet(schedule)
    fleet.arrange()
    fleet.scheduler.run(virtualtime.START + schedule.ends)
    fleet.scheduler.kill()
    return fleet.violations, fleet.store.calls


def seconds_until_known(schedule, source, since):
    """Play a schedule until all routers know the last change of a source.

    Returns
    -------
    float
        Seconds from the time `since`, after which nothing may be written.
    """
    fleet = Fleet(schedule)
    fleet.arrange()
    until = virtualtime.START + since
    end = virtualtime.START + schedule.ends
    while until < end:
        fleet.scheduler.run(until)
        if fleet.all_know(source):
            break
        until += STORE_DELAY
    fleet.scheduler.kill()
    return fleet.scheduler.now - virtualtime.START - since
