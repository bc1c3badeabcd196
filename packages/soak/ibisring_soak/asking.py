"""One request of a caller that keeps no connection, and its answer."""

__all__ = ['Call', 'KEY', 'ask']

import http.client
import logging
import time

from ibisring_adapter.tests import running
import msgspec

LOG = logging.getLogger(__name__)
KEY = 'key-1'


class Call(msgspec.Struct):
    """A request and its answer; `at` is monotonic, both in seconds.

    `status` is 0 if no whole answer came.
    """

    at: float
    body: bytes
    status: int = 0
    seconds: float = 0.0
    retry_after: float | None = None


def ask(router, name, kind, body):
    """Ask a router for something.

    Parameters
    ----------
    router : world.Router
    name : str
        Of the attempt.
    kind : str
        Of the route.
    body : bytes

    Returns
    -------
    Call
    """
    call = Call(time.monotonic(), body)
    sent = running.headers(name, Credential=KEY)
    port = router.process.caller_port
    try:
        reply = running.fetch(port, 'POST', f'/{kind}/x', sent, body)
        call.status = reply.status if reply.complete else 0
        retry_after = reply.headers.get('Retry-After')
        call.retry_after = float(retry_after) if retry_after else None
    except (OSError, http.client.HTTPException) as error:
        LOG.debug('%s: %s', name, error)
    call.seconds = time.monotonic() - call.at
    return call
