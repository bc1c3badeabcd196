"""Sends a single request to a router on a connection of its own."""

__all__ = ['Call', 'KEY', 'send', 'send_steadily']

import concurrent.futures
import http.client
import itertools
import logging
import time

from ibisring_adapter.tests import running
import msgspec

LOG = logging.getLogger(__name__)
KEY = 'key-1'
WORKERS = 64


class Call(msgspec.Struct):
    """A request, by its id, and the response to it.

    `sent_at` is in monotonic seconds, `seconds` the time until the response.
    `status` is 0 if no complete response arrived.
    """

    sent_at: float
    body: bytes
    name: str = ''
    status: int = 0
    seconds: float = 0.0
    retry_after: float | None = None


def send(router, name, kind, body, **changes):
    """Send a request to a router.

    Parameters
    ----------
    router : world.Router
    name : str
        Request id.
    kind : str
        Kind of the route.
    body : bytes
    **changes
        Headers in place of the usual ones.

    Returns
    -------
    Call
    """
    call = Call(time.monotonic(), body, name)
    headers = running.headers(name, **{'Credential': KEY, **changes})
    port = router.process.caller_port
    try:
        reply = running.fetch(port, 'POST', f'/{kind}/x', headers, body)
        call.status = reply.status if reply.complete else 0
        retry_after = reply.headers.get('Retry-After')
        call.retry_after = float(retry_after) if retry_after else None
    except (OSError, http.client.HTTPException) as error:
        LOG.debug('request %s failed: %s', name, error)
    call.seconds = time.monotonic() - call.sent_at
    return call


def send_steadily(call, intervals, seconds, delays=None):
    """Send requests of several sources, each at its own interval.

    Parameters
    ----------
    call : callable
        Sends a request, in a thread; takes its source and number.
    intervals : dict of str to float
        Seconds between two requests, by source.
    seconds : float
    delays : dict of str to float or None
        Seconds until the first request, 0 where it is not named.
    """
    start = time.monotonic()
    due = {each: start + (delays or {}).get(each, 0.0) for each in intervals}
    numbers = itertools.count()
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        while time.monotonic() < start + seconds:
            source = min(due, key=due.get)
            time.sleep(max(0.0, due[source] - time.monotonic()))
            due[source] += intervals[source]
            pool.submit(call, source, next(numbers))
