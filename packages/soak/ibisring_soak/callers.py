"""Callers with persistent connections that record their responses."""

__all__ = ['Callers', 'REQUEST_KINDS', 'make_callers', 'send']

import http.client
import logging
import random
import threading
import time

from ibisring_adapter.tests import running
from ibisring_soak import records

LOG = logging.getLogger(__name__)
# Method and path, by kind.
REQUEST_KINDS = {
    'stream': ('POST', '/stream/x'),
    'single': ('POST', '/single/x'),
    'once': ('POST', '/once/x'),
    'safe': ('GET', '/safe/x'),
}
# Share of all requests, by kind, and the shares beside planned work.
SHARES = {'stream': 0.45, 'once': 0.35, 'safe': 0.2}
PLANNED_SHARES = {'stream': 0.4, 'single': 0.4, 'once': 0.1, 'safe': 0.1}
# A caller gives up after this time without a byte.
READ_TIMEOUT_SECONDS = 2.5
CALL_INTERVAL_SECONDS = 0.15
# Share of streams that a caller abandons deliberately, and after how long.
ABANDONED_STREAM_SHARE = 0.05
ABANDON_AFTER_SECONDS = 0.1
# Share of calls that use a revoked key, if there is one.
REVOKED_KEY_SHARE = 0.15
EVENTS_PER_STREAM = (5, 60)


class Callers:
    """Threads that send requests to routers until stopped.

    Parameters
    ----------
    world : world.World
    seed, count : int
    shares : dict of str to float
        Share of all requests, by kind.
    """

    def __init__(self, world, seed, count, shares):
        self.world = world
        self.shares = shares
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
        """Stop the callers after their current requests."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(timeout=15.0)

    def _loop(self, number, seed):
        rng = random.Random(f'{seed}-{number}')
        conn, router, call_count = None, None, 0
        while not self.stopped.wait(
            CALL_INTERVAL_SECONDS * rng.uniform(0.5, 1.5)
        ):
            if conn is None:
                router = self._choose_router(rng)
                conn = http.client.HTTPConnection(
                    '127.0.0.1',
                    router.caller_link.port,
                    timeout=READ_TIMEOUT_SECONDS,
                )
            call_count += 1
            call = self._make_call(rng, f'c{number}-{call_count}', router)
            if call.kind == 'safe' and call_count % 2 and self.world.added:
                call.route = self.world.added[-1]
            self.world.history.calls.append(call)
            reusable = send(conn, call, rng)
            call.ended_at = time.monotonic()
            if not reusable or rng.random() < 0.1:
                conn.close()
                conn = None

    def _choose_router(self, rng):
        routers = self.world.routers
        available = [each for each in routers if each.in_rotation]
        return rng.choice(available or routers)

    def _make_call(self, rng, name, router):
        kind = rng.choices(list(self.shares), list(self.shares.values()))[0]
        keys = self.world.keys()
        if self.world.revoked and rng.random() < REVOKED_KEY_SHARE:
            keys = sorted(self.world.revoked)
        return records.Call(
            id=name,
            kind=kind,
            router=router.name,
            key=rng.choice(keys),
            sent_at=time.monotonic(),
            expected_events=rng.randint(*EVENTS_PER_STREAM),
        )


def send(conn, call, rng, body=None):
    """Send a request and record the response.

    Parameters
    ----------
    conn : http.client.HTTPConnection
    call : records.Call
        Gets the response.
    rng : random.Random
    body : iterator of bytes or None
        Sent in chunks; None sends a short body with a length.

    Returns
    -------
    bool
        Whether the connection can be reused.
    """
    method, path = REQUEST_KINDS[call.kind]
    if call.route:
        path = f'/{call.route}/x'
    headers = running.headers(
        call.id, call.expected_events, Credential=call.key
    )
    if body is None and method == 'POST':
        body = b'body'
    try:
        conn.request(method, path, body, headers)
        response = conn.getresponse()
        call.status = response.status
        call.signed = running.is_signed(response.headers)
        call.response_id = running.response_request_id(response.headers)
        is_stream = call.kind in records.STREAM_KINDS
        if is_stream and rng.random() < ABANDONED_STREAM_SHARE:
            time.sleep(ABANDON_AFTER_SECONDS)
            call.abandoned = True
            return False
        call.body = response.read()
        call.complete = True
    except http.client.IncompleteRead as error:
        call.body = error.partial
    except TimeoutError:
        call.abandoned = True
    except (OSError, http.client.HTTPException) as error:
        LOG.debug('request %s failed: %s', call.id, error)
    if call.kind in records.STREAM_KINDS:
        reply = running.Reply(call.status, {}, call.body, call.complete)
        call.events = reply.event_data() if call.status == 200 else []
    return call.complete and not response.will_close


def make_callers(world, seed, count=10, shares=None):
    """Make `Callers`; ``start()`` starts them."""
    return Callers(world, seed, count, shares or SHARES)
