"""Steady load on all routers, and the share of it that is served."""

__all__ = ['Load', 'Served', 'served', 'make_load']

import threading
import time

from ibisring_soak import asking
import msgspec

SECONDS_TO_FINISH = 10.0


class Served(msgspec.Struct, frozen=True):
    """How many of some requests were served at the first attempt."""

    served: int
    sent: int

    @property
    def share(self):
        """The share served, 1.0 if none was sent."""
        return self.served / self.sent if self.sent else 1.0


class Load:
    """Sends requests to routers in turn, each on a connection of its own.

    Parameters
    ----------
    world : world.World
    kinds : sequence of str
        Kinds of routes, in turn.
    rate : float
        Requests per second.
    name : str
        Begins the ids of requests.

    Attributes
    ----------
    calls : list of (str, str, asking.Call)
        Router, kind and the call.
    """

    def __init__(self, world, kinds, rate, name):
        self.world = world
        self.kinds = kinds
        self.rate = rate
        self.name = name
        self.calls = []
        self.threads = []

    def run(self, seconds):
        """Send requests for some seconds."""
        started = time.monotonic()
        for number in range(round(seconds * self.rate)):
            due = started + number / self.rate
            time.sleep(max(0.0, due - time.monotonic()))
            thread = threading.Thread(
                target=self._send, args=(number,), daemon=True
            )
            thread.start()
            self.threads.append(thread)

    def wait(self):
        """Wait for the responses of all requests."""
        for thread in self.threads:
            thread.join(SECONDS_TO_FINISH)

    def _send(self, number):
        routers = self.world.routers
        router = routers[number % len(routers)]
        kind = self.kinds[number // len(routers) % len(self.kinds)]
        call = asking.send(router, f'{self.name}-{number}', kind, b'body')
        self.calls.append((router.name, kind, call))


def served(calls, routers, since, kind=None):
    """Count the requests served at some routers.

    Parameters
    ----------
    calls : list of (str, str, asking.Call)
    routers : collection of str
    since : float
        Monotonic time from which requests count.
    kind : str or None
        None counts all kinds.

    Returns
    -------
    Served
    """
    found = [
        call
        for router, each_kind, call in calls
        if router in routers
        and call.sent_at >= since
        and kind in (None, each_kind)
    ]
    return Served(sum(call.status == 200 for call in found), len(found))


def make_load(world, kinds=('safe', 'once', 'stream'), rate=30.0, name='l'):
    """Make a `Load`; ``run()`` sends it."""
    return Load(world, kinds, rate, name)
