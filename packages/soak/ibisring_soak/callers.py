"""Callers that keep their connections and note what they get."""

__all__ = ['Callers', 'make_callers']

import http.client
import logging
import random
import threading
import time

from ibisring_adapter.tests import running
from ibisring_soak import records

LOG = logging.getLogger(__name__)
# Kinds of requests, their paths and methods, and how often they come.
PATHS = {
    'stream': ('POST', '/stream/x', 0.45),
    'once': ('POST', '/once/x', 0.35),
    'safe': ('GET', '/safe/x', 0.2),
}
# Seconds without a byte after which a caller gives up, and between calls.
PATIENCE = 2.5
PAUSE = 0.15
# Share of streams that a caller leaves on purpose after a moment.
LEAVES = 0.05
LEAVES_AFTER = 0.1
# A caller uses a revoked key once more now and then.
USES_REVOKED = 0.15
STREAM_EVENTS = (5, 60)


class Callers:
    """Threads that call routers until stopped.

    Parameters
    ----------
    world : world.World
    seed, count : int
    """

    def __init__(self, world, seed, count):
        self.world = world
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(
                target=self._loop, args=(number, seed), daemon=True
            )
            for number in range(count)
        ]

    def start(self):
        """Start all callers."""
        for thread in self.threads:
            thread.start()

    def stop(self):
        """Let the callers finish their last requests."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(timeout=15.0)

    def _loop(self, number, seed):
        rng = random.Random(f'{seed}-{number}')
        conn, router, made = None, None, 0
        while not self.stopped.wait(PAUSE * rng.uniform(0.5, 1.5)):
            if conn is None:
                router = self._pick(rng)
                conn = http.client.HTTPConnection(
                    '127.0.0.1', router.front.port, timeout=PATIENCE
                )
            made += 1
            call = self._draw(rng, f'c{number}-{made}', router)
            if call.kind == 'safe' and made % 2 and self.world.added:
                call.route = self.world.added[-1]
            self.world.history.calls.append(call)
            keep = self._make(conn, call, rng)
            call.ended_at = time.monotonic()
            if not keep or rng.random() < 0.1:
                conn.close()
                conn = None

    def _pick(self, rng):
        routers = self.world.routers
        ready = [each for each in routers if each.in_rotation]
        return rng.choice(ready or routers)

    def _draw(self, rng, name, router):
        shares = [share for _, _, share in PATHS.values()]
        kind = rng.choices(list(PATHS), shares)[0]
        keys = self.world.keys()
        if self.world.revoked and rng.random() < USES_REVOKED:
            keys = sorted(self.world.revoked)
        return records.Call(
            id=name,
            kind=kind,
            router=router.name,
            key=rng.choice(keys),
            sent_at=time.monotonic(),
            length=rng.randint(*STREAM_EVENTS),
        )

    def _make(self, conn, call, rng):
        """Make a call; True if its connection may be used again."""
        method, path, _ = PATHS[call.kind]
        if call.route:
            path = f'/{call.route}/x'
        sent = running.headers(call.id, call.length, Credential=call.key)
        body = b'body' if method == 'POST' else None
        try:
            conn.request(method, path, body, sent)
            response = conn.getresponse()
            call.status = response.status
            call.signed = running.is_signed(response.headers)
            call.answered_id = running.response_request_id(response.headers)
            if call.kind == 'stream' and rng.random() < LEAVES:
                time.sleep(LEAVES_AFTER)
                call.gave_up = True
                return False
            call.body = response.read()
            call.whole = True
        except http.client.IncompleteRead as error:
            call.body = error.partial
        except TimeoutError:
            call.gave_up = True
        except (OSError, http.client.HTTPException) as error:
            LOG.debug('%s: %s', call.id, error)
        if call.kind == 'stream':
            reply = running.Reply(call.status, {}, call.body, call.whole)
            call.words = reply.event_data() if call.status == 200 else []
        return call.whole and not response.will_close


def make_callers(world, seed, count=10):
    """Make `Callers`; start them with ``start()``."""
    return Callers(world, seed, count)
