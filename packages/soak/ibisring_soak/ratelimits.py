"""Load above the rate limits that endpoints declare.

Runs on real gateway processes, and returns what callers received and what
reached the endpoints.
"""

__all__ = [
    'Load',
    'Observations',
    'LimitChanger',
    'run_load',
    'max_allowed_requests',
    'max_in_window',
]

import math
import time

from ibisring_policy.gateway.tests import limitload
from ibisring_soak import asking
from ibisring_soak import disruptions
from ibisring_soak import records
import msgspec

# Bound on the requests that reach an endpoint with a limit, in any window of
# this length: a multiple of what the limit allows, and some more.
WINDOW_SECONDS = 4.0
MAX_RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
# Time after an endpoint first declared its limit from which all routers must
# comply with it.
PROPAGATION_SECONDS = 3.0
# Limits that endpoints declare in a soak, in requests per second, for how
# long, and how long they declare none; then values that are invalid.
LIMITS = ('0.5', '1', '2', '5')
LIMIT_SECONDS = (5.0, 9.0)
PAUSE_SECONDS = (0.3, 1.0)
INVALID_LIMITS = ('x', '-1', 'nan', '0', '1e9', '1, 2')


def max_allowed_requests(rate):
    """Return how many requests may reach an endpoint within a window."""
    return MAX_RATE_FACTOR * rate * WINDOW_SECONDS + EXTRA_REQUESTS


def max_in_window(times, seconds):
    """Return the largest number of times within any window of a length.

    Examples
    --------
    >>> max_in_window([0.0, 1.0, 1.5, 9.0], 1.0)
    2
    """
    return limitload.max_in_window(times, seconds, -math.inf)


class Load(msgspec.Struct, frozen=True):
    """A constant load.

    `limits` are the limits that endpoints declare, by endpoint name; `rate`
    is in requests per second.
    """

    limits: dict[str, str]
    kind: str = 'safe'
    rate: float = 24.0
    seconds: float = 12.0


class Observations(msgspec.Struct):
    """What callers and endpoints observed; times are monotonic seconds.

    `runs` holds the times at which each endpoint received requests; from
    `since` on, the limits must be complied with.
    """

    calls: list[asking.Call]
    runs: dict[str, list[float]]
    since: float

    def runs_of(self, name):
        """Return the endpoint's runs since its limit applies."""
        return [at for at in self.runs[name] if at >= self.since]

    def limited_calls(self):
        """Return the calls since the limits apply."""
        return [call for call in self.calls if call.sent_at >= self.since]

    def seconds(self):
        """Return for how many seconds the limits applied."""
        return max(call.sent_at for call in self.calls) - self.since


class LimitChanger(disruptions.Disruption):
    """Has endpoints declare limits from time to time, some of them invalid.

    Parameters
    ----------
    world : world.World
    seed : int
    """

    def __init__(self, world, seed):
        super().__init__(world, f'limits {seed}')

    def _loop(self):
        while not self.stopped.wait(self.rng.uniform(*PAUSE_SECONDS)):
            site = self.world.site
            name = self.rng.choice(sorted([*site.engines, *site.services]))
            rate = self.rng.choice(LIMITS)
            start = time.monotonic()
            site.limits[name] = rate
            self.stopped.wait(self.rng.uniform(*LIMIT_SECONDS))
            span = records.LimitSpan(
                name, float(rate), start, time.monotonic()
            )
            self.world.history.limits.append(span)
            # An invalid value changes nothing; without a value the limit ends.
            site.limits[name] = self.rng.choice(INVALID_LIMITS)
            self.stopped.wait(self.rng.uniform(*PAUSE_SECONDS))
            del site.limits[name]


class _LoadRun:
    def __init__(self, world, load):
        self.world = world
        self.load = load
        self.calls = []

    def run(self):
        self.world.site.limits = dict(self.load.limits)
        start = time.monotonic()
        intervals = {self.load.kind: 1.0 / self.load.rate}
        asking.send_steadily(self._call, intervals, self.load.seconds)
        site = self.world.site
        servers = {**site.engines, **site.services}
        runs = {name: list(each.run_times) for name, each in servers.items()}
        return Observations(self.calls, runs, start + PROPAGATION_SECONDS)

    def _call(self, kind, number):
        routers = self.world.routers
        router = routers[number % len(routers)]
        body = b'body %d' % number
        call = asking.send(router, f'q{number}', kind, body)
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
