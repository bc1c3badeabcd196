"""Endpoints that name a limit, under more requests than that.

Played on real gateway processes; gives what callers got and what reached the
endpoints.
"""

__all__ = [
    'Load',
    'Seen',
    'Namer',
    'play',
    'allowed',
    'most_within',
]

import concurrent.futures
import itertools
import math
import random
import threading
import time

from ibisring_policy.gateway.tests import limitload
from ibisring_soak import asking
from ibisring_soak import records
import msgspec

WORKERS = 48
# Bound of what reaches an endpoint that names a limit: so many times what the
# limit allows in so many seconds, and some requests more.
WINDOW = 4.0
MOST_TIMES = 1.5
EXTRA = 5
# Seconds after an endpoint first named its limit from which it is kept.
CONTACT = 3.0
# Limits that endpoints name in a soak, for how long in seconds, and how long
# they name none; and what is no limit.
RATES = ('0.5', '1', '2', '5')
LASTS = (5.0, 9.0)
PAUSE = (0.3, 1.0)
NONSENSE = ('x', '-1', 'nan', '0', '1e9', '1, 2')


def allowed(rate):
    """Give how many requests may reach an endpoint within `WINDOW`."""
    return MOST_TIMES * rate * WINDOW + EXTRA


def most_within(times, seconds):
    """Give the most times that lie within some seconds of each other.

    Examples
    --------
    >>> most_within([0.0, 1.0, 1.5, 9.0], 1.0)
    2
    """
    return limitload.max_in_window(times, seconds, -math.inf)


class Load(msgspec.Struct, frozen=True):
    """`limits` are what endpoints name, by name, `rate` is a second's load."""

    limits: dict[str, str]
    kind: str = 'safe'
    rate: float = 24.0
    seconds: float = 12.0


class Seen(msgspec.Struct):
    """What callers and endpoints saw; times are monotonic seconds."""

    calls: list[asking.Call]
    runs: dict[str, list[float]]
    since: float

    def runs_of(self, name):
        """Give what an endpoint ran since its limit has to be kept."""
        return [at for at in self.runs[name] if at >= self.since]

    def later_calls(self):
        """Give the calls since then."""
        return [call for call in self.calls if call.at >= self.since]

    def seconds(self):
        """Give for how long the limit had to be kept."""
        return max(call.at for call in self.calls) - self.since


class Namer:
    """Lets endpoints name limits from time to time, and nonsense too.

    Parameters
    ----------
    world : world.World
    seed : int
    """

    def __init__(self, world, seed):
        self.world = world
        self.rng = random.Random(f'limits {seed}')
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._loop, daemon=True)

    def start(self):
        """Begin."""
        self.thread.start()

    def stop(self):
        """Let no endpoint name anything more."""
        self.stopped.set()
        self.thread.join()

    def _loop(self):
        while not self.stopped.wait(self.rng.uniform(*PAUSE)):
            site = self.world.site
            name = self.rng.choice(sorted([*site.engines, *site.services]))
            rate = self.rng.choice(RATES)
            begun = time.monotonic()
            site.limits[name] = rate
            self.stopped.wait(self.rng.uniform(*LASTS))
            span = records.LimitSpan(
                name, float(rate), begun, time.monotonic()
            )
            self.world.history.limits.append(span)
            # A damaged figure changes nothing, a recall lifts the limit.
            site.limits[name] = self.rng.choice(NONSENSE)
            self.stopped.wait(self.rng.uniform(*PAUSE))
            del site.limits[name]


class _Play:
    def __init__(self, world, load):
        self.world = world
        self.load = load
        self.calls = []

    def run(self):
        self.world.site.limits = dict(self.load.limits)
        begun = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            for number in itertools.count():
                due = begun + number / self.load.rate
                if due > begun + self.load.seconds:
                    break
                time.sleep(max(0.0, due - time.monotonic()))
                pool.submit(self._call, number)
        site = self.world.site
        servers = {**site.engines, **site.services}
        runs = {name: list(each.run_times) for name, each in servers.items()}
        return Seen(self.calls, runs, begun + CONTACT)

    def _call(self, number):
        routers = self.world.routers
        router = routers[number % len(routers)]
        body = b'body %d' % number
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
