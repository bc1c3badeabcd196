"""A request that ends each endpoint which begins to run it, and comes again.

Played beside ordinary requests on real gateway processes; gives what callers
and endpoints saw.
"""

__all__ = ['Load', 'Seen', 'Call', 'play']

import concurrent.futures
import http.client
import itertools
import logging
import threading
import time

from ibisring_adapter.tests import running
import msgspec

LOG = logging.getLogger(__name__)
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


class Call(msgspec.Struct):
    """A request and its answer; `at` is monotonic, both in seconds."""

    at: float
    body: bytes
    status: int
    seconds: float
    retry_after: float | None = None
    whole: bool = False


class Seen(msgspec.Struct):
    """What was seen; times are monotonic seconds."""

    ends: list[float]
    poison_runs: list[float]
    calls: list[Call]

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
        served = [c for c in others if c.status == 200 and c.whole]
        return len(served) / max(1, len(others))


class _Play:
    """Sends both kinds of requests at routers in turn."""

    def __init__(self, world, load):
        self.world = world
        self.load = load
        self.ends = []
        self.calls = []
        self.numbers = itertools.count()
        world.site.poison = BODY
        world.site.on_poison = self._end

    def _end(self, server):
        """End an endpoint's process, and start it again a little later."""
        self.ends.append(time.monotonic())
        link = self.world.proxies[server.name]
        link.end()
        timer = threading.Timer(BACK_AFTER, self._begin_again, (server, link))
        timer.daemon = True
        timer.start()

    def _begin_again(self, server, link):
        link.begin_again()
        server.restart()

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
        return Seen(self.ends, self.world.site.poison_runs, self.calls)

    def _body(self, which, number):
        if which == 'poison':
            return BODY
        if number % POPULAR_EVERY == 0:
            return POPULAR
        return b'body %d' % number

    def _call(self, number, body):
        routers = self.world.routers
        port = routers[number % len(routers)].process.front
        sent = running.headers(f'q{number}', Credential='key-1')
        at = time.monotonic()
        call = Call(at, body, 0, 0.0)
        try:
            path = f'/{self.load.kind}/x'
            reply = running.fetch(port, 'POST', path, sent, body)
            call.status = reply.status
            call.whole = reply.whole
            retry_after = reply.headers.get('Retry-After')
            call.retry_after = float(retry_after) if retry_after else None
        except (OSError, http.client.HTTPException) as error:
            LOG.debug('q%s: %s', number, error)
        call.seconds = time.monotonic() - at
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
