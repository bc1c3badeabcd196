"""Connections to endpoints over urllib3, one request on each at a time."""

__all__ = ['ConnectionPool', 'Failed', 'make_connection_pool', 'read_piece']

import logging
import select
import socket
import threading
import time

from urllib3 import connection as urllib3_connection
from urllib3 import exceptions as urllib3_exceptions
from urllib3 import util as urllib3_util

LOG = logging.getLogger(__name__)
# Seconds to connect.  Endpoints are within a millisecond or two; this leaves
# room for a busy one, and is short enough to try another within the time
# that a caller calls on time.
CONNECT_TIMEOUT = 0.2
# Idle seconds after which a connection is not used again: endpoints close
# idle ones, sooner than they say at times.
MOST_IDLE = 2.0
MOST_KEPT = 4
# Without acknowledgement for so long, in ms, the kernel gives a connection
# up; the peer has no power or is cut off.
USER_TIMEOUT_MS = 3000
# urllib3 adds these unless told not to; the endpoint must get what the
# caller sent and nothing else.
_NOT_ADDED = {
    'Accept-Encoding': urllib3_util.SKIP_HEADER,
    'User-Agent': urllib3_util.SKIP_HEADER,
}
_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]


class Failed(Exception):
    """A connection failed; `sent` says whether a byte may have gone out."""

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


class ConnectionPool:
    """Makes and keeps connections by endpoint.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.kept = {}

    def take(self, endpoint, fresh):
        """Give a connection to an endpoint.

        Parameters
        ----------
        endpoint : routing.Endpoint
        fresh : bool
            Never used before.  A kept one may have died without a sign, and
            then nobody knows whether a request sent on it ran.

        Raises
        ------
        Failed
        """
        if not fresh:
            kept = self._reuse(endpoint)
            if kept is not None:
                return kept
        host, _, port = endpoint.address.rpartition(':')
        conn = urllib3_connection.HTTPConnection(
            host, int(port), timeout=CONNECT_TIMEOUT, socket_options=_OPTIONS
        )
        try:
            conn.connect()
        except (urllib3_exceptions.HTTPError, OSError) as error:
            conn.close()
            raise Failed(str(error), False) from error
        conn.reused = False
        return conn

    def _reuse(self, endpoint):
        now = self.clock()
        while True:
            with self.lock:
                kept = self.kept.get((endpoint.id, endpoint.address))
                if not kept:
                    return None
                conn, idle_since = kept.pop()
            if now - idle_since < MOST_IDLE and _is_quiet(conn):
                conn.reused = True
                return conn
            conn.close()

    def give_back(self, endpoint, conn):
        """Keep a connection whose answer was read to its end."""
        key = endpoint.id, endpoint.address
        with self.lock:
            kept = self.kept.setdefault(key, [])
            if len(kept) < MOST_KEPT:
                kept.append((conn, self.clock()))
                return
        conn.close()

    def close_except(self, keep):
        """Close the connections of endpoints that are gone."""
        with self.lock:
            gone = [key for key in self.kept if key[0] not in keep]
            conns = [pair[0] for key in gone for pair in self.kept.pop(key)]
        for conn in conns:
            conn.close()

    def send(self, conn, request, headers, time_left):
        """Send a request and read the head of its answer.

        Returns
        -------
        urllib3.HTTPResponse

        Raises
        ------
        Failed
        """
        conn.timeout = time_left
        try:
            conn.sock.settimeout(time_left)
            conn.request(
                request.method,
                request.target,
                body=request.body or None,
                headers={**_NOT_ADDED, **headers},
                preload_content=False,
                decode_content=False,
            )
            return conn.getresponse()
        except (
            urllib3_exceptions.HTTPError,
            OSError,
            ValueError,
            *_PARSING,
        ) as error:
            raise Failed(f'{type(error).__name__}: {error}', True) from error


_PARSING = (urllib3_connection.HTTPException,)


def _is_quiet(conn):
    """Say whether nothing has come on an idle connection.

    Bytes after a whole answer belong to no request, and an end of stream
    means that the endpoint has closed it.
    """
    try:
        readable, _, _ = select.select([conn.sock], [], [], 0)
    except (OSError, ValueError, TypeError) as error:
        LOG.debug('kept connection is unusable: %s', error)
        return False
    return not readable


def read_piece(response):
    """Give the next bytes of a body, b'' at its end.

    Raises
    ------
    Failed
    """
    try:
        return response.read1(65536, decode_content=False)
    except (
        urllib3_exceptions.HTTPError,
        OSError,
        ValueError,
        AttributeError,
        *_PARSING,
    ) as error:
        raise Failed(f'{type(error).__name__}: {error}', True) from error


def make_connection_pool(clock=time.monotonic):
    """Make a `ConnectionPool` without open connections."""
    return ConnectionPool(clock)
