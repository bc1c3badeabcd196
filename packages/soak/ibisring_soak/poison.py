"""A request that ends each endpoint which begins to run it, and comes again.

Played beside ordinary requests on real gateway processes; gives what callers
and endpoints saw.
"""

__all__ = ['Load', 'Seen', 'Ender', 'Attack', 'play']

import concurrent.futures
import itertools
import threading
import time

from ibisring_soak import asking
from ibisring_soak import records
import msgspec

BODY = b'ends what runs it'
# A body that many callers ask for.
POPULAR = b'asked often'
POPULAR_EVERY = 2
# Seconds from an endpoint's end to its next start.
BACK_AFTER = 3.0
# Bad requests after this many ends are repeats that nobody should send,
# once routers have been in contact for so many seconds.
ENDS = 3
CONTACT = 3.0
# Seconds after the third end from which the others are served as before.
SETTLED = 7.0
# Refused with the promise that it did not run.
REFUSED = 503
WORKERS = 48


class Load(msgspec.Struct, frozen=True):
    """What comes: a route's kind, and seconds between requests."""

    kind: str = 'safe'
    poison_every: float = 0.4
    others_every: float = 0.1
    seconds: float = 15.0


class Seen(msgspec.Struct):
    """What was seen; times are monotonic seconds."""

    ends: list[float]
    poison_runs: list[float]
    calls: list[asking.Call]

    @property
    def third_end(self):
        """When the third endpoint ended."""
        return sorted(self.ends)[ENDS - 1]

    def late_runs(self):
        """Give the runs that began after all routers could know."""
        since = self.third_end + CONTACT
        return [at for at in self.poison_runs if at > since]

    def refusals(self):
        """Give the answers to the bad request after all could know."""
        since = self.third_end + CONTACT
        return [c for c in self.calls if c.body == BODY and c.at > since]

    def others(self, body=None):
        """Give the other requests since things have settled."""
        since = self.third_end + SETTLED
        return [
            call
            for call in self.calls
            if call.body != BODY
            and call.at > since
            and body in (None, call.body)
        ]

    def served_share(self, body=None):
        """Give the share of the others that was served."""
        others = self.others(body)
        served = [call for call in others if call.status == 200]
        return len(served) / max(1, len(others))


class Ender:
    """Ends endpoints that run the bad request, and starts them again.

    Parameters
    ----------
    world : world.World

    Attributes
    ----------
    ends : list of float
        When one ended, in monotonic seconds.
    """

    def __init__(self, world):
        self.world = world
        self.ends = []
        self.lock = threading.Lock()
        self.down = set()
        world.site.poison = BODY
        world.site.on_poison = self.end

    def end(self, server):
        """End an endpoint's process, and start it again a little later."""
        with self.lock:
            if server.name in self.down:
                return
            self.down.add(server.name)
        now = time.monotonic()
        self.ends.append(now)
        struck = 'endpoints', now, now + BACK_AFTER
        self.world.history.disturbed.append(struck)
        self.world.proxies[server.name].end()
        timer = threading.Timer(BACK_AFTER, self._begin_again, (server,))
        timer.daemon = True
        timer.start()

    def _begin_again(self, server):
        self.world.proxies[server.name].begin_again()
        self.down.discard(server.name)
        site = self.world.site
        if server.name in site.engines or server.name in site.services:
            server.restart()


class Attack:
    """A caller that asks for the bad request again and again.

    Parameters
    ----------
    world : world.World
    kind : str
        Of the route that it uses.
    """

    def __init__(self, world, kind):
        self.world = world
        self.kind = kind
        self.ender = Ender(world)
        self.stopped = threading.Event()
        self.threads = []
        self.thread = threading.Thread(target=self._loop, daemon=True)

    def start(self):
        """Begin to ask."""
        self.thread.start()

    def stop(self):
        """Ask no more, and note in the history what ended."""
        self.stopped.set()
        self.thread.join()
        for thread in self.threads:
            thread.join(timeout=10.0)
        self.world.history.ends = sorted(self.ender.ends)

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
        call.status = asking.ask(router, name, self.kind, BODY).status
        call.ended_at = time.monotonic()


class _Play:
    """Sends both kinds of requests at routers in turn."""

    def __init__(self, world, load):
        self.world = world
        self.load = load
        self.ender = Ender(world)
        self.calls = []
        self.numbers = itertools.count()

    def run(self):
        """Send until the time is over, and give what was seen."""
        begun = time.monotonic()
        due = {'poison': begun, 'other': begun}
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            while time.monotonic() < begun + self.load.seconds:
                which = min(due, key=due.get)
                time.sleep(max(0.0, due[which] - time.monotonic()))
                every = self.load.others_every
                if which == 'poison':
                    every = self.load.poison_every
                due[which] += every
                number = next(self.numbers)
                pool.submit(self._call, number, self._body(which, number))
        return Seen(self.ender.ends, self.world.site.poison_runs, self.calls)

    def _body(self, which, number):
        if which == 'poison':
            return BODY
        if number % POPULAR_EVERY == 0:
            return POPULAR
        return b'body %d' % number

    def _call(self, number, body):
        routers = self.world.routers
        router = routers[number % len(routers)]
        call = asking.ask(router, f'q{number}', self.load.kind, body)
        self.calls.append(call)


def play(world, load):
    """Play a load on a world that has started.

    Parameters
    ----------
    world : world.World
    load : Load

    Returns
    -------
    Seen
    """
    return _Play(world, load).run()
