"""A repeated request that crashes each endpoint which starts to run it.

Runs beside ordinary requests on real gateway processes, and returns what
callers and endpoints observed.
"""

__all__ = [
    'Load',
    'Observations',
    'Crasher',
    'PoisonCaller',
    'run_load',
]

import itertools
import threading
import time

from ibisring_soak import asking
from ibisring_soak import disruptions
from ibisring_soak import records
import msgspec

BODY = b'ends what runs it'
# A harmless body that many callers send.
POPULAR = b'asked often'
POPULAR_EVERY = 2
# Time from the crash of an endpoint to its next start.
RESTART_SECONDS = 3.0
# After this many crashes, and the time that routers have to inform each other,
# the poison request must not be sent to endpoints any more.
MAX_CRASHES = 3
PROPAGATION_SECONDS = 3.0
# Time after the third crash from which other requests are served as before.
SETTLE_SECONDS = 7.0
# Status of a refused request, which guarantees that it did not run.
REFUSED = 503


class Load(msgspec.Struct, frozen=True):
    """Load on a route of some kind; `*_every` are seconds between requests."""

    kind: str = 'safe'
    poison_every: float = 0.4
    others_every: float = 0.1
    seconds: float = 15.0


class Observations(msgspec.Struct):
    """What was observed; times are monotonic seconds."""

    crashes: list[float]
    poison_runs: list[float]
    calls: list[asking.Call]

    @property
    def third_crash(self):
        """Time of the third crash."""
        return sorted(self.crashes)[MAX_CRASHES - 1]

    def late_runs(self):
        """Return the poison runs after all routers have been informed."""
        since = self.third_crash + PROPAGATION_SECONDS
        return [at for at in self.poison_runs if at > since]

    def refusals(self):
        """Return the poison calls after all routers have been informed."""
        since = self.third_crash + PROPAGATION_SECONDS
        return [c for c in self.calls if c.body == BODY and c.sent_at > since]

    def other_calls(self, body=None):
        """Return the other calls after the settling time."""
        since = self.third_crash + SETTLE_SECONDS
        return [
            call
            for call in self.calls
            if call.body != BODY
            and call.sent_at > since
            and body in (None, call.body)
        ]

    def served_share(self, body=None):
        """Return the share of the other calls that was served."""
        others = self.other_calls(body)
        served = [call for call in others if call.status == 200]
        return len(served) / max(1, len(others))


class Crasher:
    """Crashes endpoints that run the poison request, and restarts them.

    Parameters
    ----------
    world : world.World

    Attributes
    ----------
    crashes : list of float
        Times of the crashes, in monotonic seconds.
    keeps_port : bool
        Whether something keeps the port of a crashed endpoint open.
    """

    def __init__(self, world):
        self.world = world
        self.crashes = []
        self.keeps_port = False
        self.lock = threading.Lock()
        self.down = set()
        world.site.poison = BODY
        world.site.on_poison = self.crash

    def crash(self, server):
        """Simulate the crash of an endpoint's process and its restart."""
        with self.lock:
            if server.name in self.down:
                return
            self.down.add(server.name)
        now = time.monotonic()
        self.crashes.append(now)
        disruption = 'endpoints', now, now + RESTART_SECONDS
        self.world.history.disruptions.append(disruption)
        link = self.world.proxies[server.name]
        if self.keeps_port:
            link.refusing = True
            link.reset_all()
        else:
            link.crash()
        timer = threading.Timer(RESTART_SECONDS, self._restart, (server,))
        timer.daemon = True
        timer.start()

    def _restart(self, server):
        link = self.world.proxies[server.name]
        if self.keeps_port:
            link.restore()
        else:
            link.restart()
        self.down.discard(server.name)
        site = self.world.site
        if server.name in site.engines or server.name in site.services:
            server.restart()


class PoisonCaller(disruptions.Disruption):
    """A caller that sends the poison request repeatedly.

    Parameters
    ----------
    world : world.World
    kind : str
        Kind of the route that it uses.
    """

    def __init__(self, world, kind):
        super().__init__(world, f'poison {kind}')
        self.kind = kind
        self.crasher = Crasher(world)
        self.threads = []

    def stop(self):
        """Stop sending, and add the crashes to the history."""
        super().stop()
        for thread in self.threads:
            thread.join(timeout=10.0)
        self.world.history.endpoint_crashes = sorted(self.crasher.crashes)

    def _loop(self):
        for number in itertools.count():
            if self.stopped.wait(Load().poison_every):
                return
            routers = self.world.routers
            router = routers[number % len(routers)]
            thread = threading.Thread(
                target=self._call, args=(f'bad{number}', router), daemon=True
            )
            thread.start()
            self.threads.append(thread)

    def _call(self, name, router):
        call = records.Call(
            id=name,
            kind='bad',
            router=router.name,
            key=asking.KEY,
            sent_at=time.monotonic(),
        )
        self.world.history.calls.append(call)
        call.status = self._send(name, router).status
        call.ended_at = time.monotonic()

    def _send(self, name, router):
        return asking.send(router, name, self.kind, BODY)


class _LoadRun:
    """Sends poison and other requests to the routers in turn."""

    def __init__(self, world, load):
        self.world = world
        self.load = load
        self.crasher = Crasher(world)
        self.calls = []

    def run(self):
        """Send for the load's duration, and return what was observed."""
        intervals = {
            'poison': self.load.poison_every,
            'other': self.load.others_every,
        }
        asking.send_steadily(self._call, intervals, self.load.seconds)
        return Observations(
            self.crasher.crashes, self.world.site.poison_runs, self.calls
        )

    def _body(self, source, number):
        if source == 'poison':
            return BODY
        if number % POPULAR_EVERY == 0:
            return POPULAR
        return b'body %d' % number

    def _call(self, source, number):
        body = self._body(source, number)
        routers = self.world.routers
        router = routers[number % len(routers)]
        call = asking.send(router, f'q{number}', self.load.kind, body)
        self.calls.append(call)


def run_load(world, load):
    """Run a load on a world that has started.

    Parameters
    ----------
    world : world.World
    load : Load

    Returns
    -------
    Observations
    """
    return _LoadRun(world, load).run()
