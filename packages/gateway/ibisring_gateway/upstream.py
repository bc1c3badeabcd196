"""Pool of connections to endpoints, on urllib3.

Each connection carries one request at a time.
"""

__all__ = [
    'ConnectionPool',
    'ConnectionFailed',
    'NoDescriptor',
    'make_connection_pool',
    'read_chunk',
]

import errno
import socket
import threading
import time

from ibisring_gateway import descriptorlimit
from ibisring_web import answerreading
from ibisring_web import sockets
from urllib3 import connection as urllib3_connection
from urllib3 import exceptions as urllib3_exceptions
from urllib3 import util as urllib3_util

# Seconds.  The network round trip to an endpoint takes a millisecond or two;
# this leaves a margin for a busy one, and is short enough to try another
# endpoint within the caller's objective.
CONNECT_TIMEOUT_SECONDS = 0.2
# Idle connections are not reused after this time: endpoints close them,
# sometimes sooner than their announced timeout.
MAX_IDLE_SECONDS = 2.0
MAX_IDLE_PER_ENDPOINT = 4
# Time without new connections after the system gave no descriptor.
EXHAUSTED_SECONDS = 0.1
# The kernel closes a connection on which sent data stays unacknowledged for
# this time; the peer has lost power or is unreachable.
USER_TIMEOUT_MS = 3000
# urllib3 adds these headers by default; the endpoint must get exactly the
# headers that the caller sent.
_SUPPRESSED_HEADERS = {
    'Accept-Encoding': urllib3_util.SKIP_HEADER,
    'User-Agent': urllib3_util.SKIP_HEADER,
}
_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]


class ConnectionFailed(Exception):
    """A connection failed; `sent`: whether the endpoint may have got data."""

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


class NoDescriptor(ConnectionFailed):
    """This process may open no connection; it says nothing of the endpoint."""


class _Connection(answerreading.Connection):
    """Counts towards the limit on descriptors until it is closed.

    Attributes
    ----------
    slots : descriptorlimit.Slots or None
        None once it no longer counts.
    """

    slots = None
    reads_head = False

    def getresponse(self):
        # The connection of an answer that ends with it is closed here, while
        # the answer still holds the descriptor.
        self.reads_head = True
        try:
            return super().getresponse()
        finally:
            self.reads_head = False

    def close(self):
        super().close()
        slots = self.slots
        if slots is not None and not self.reads_head:
            self.slots = None
            slots.close()


class ConnectionPool:
    """Opens connections and keeps idle ones, by endpoint.

    At the limit on descriptors, the connection that was idle longest is closed
    for a new one.

    Parameters
    ----------
    clock : callable
    slots : descriptorlimit.Slots

    Attributes
    ----------
    on_connect : callable
        Called with the endpoint, when the attempt began and whether it
        succeeded, after each attempt to open a connection.
    """

    def __init__(self, clock, slots):
        self.clock = clock
        self.slots = slots
        self.slots.closers.append(self.close_longest_idle)
        self.exhausted_until = float('-inf')
        self.on_connect = lambda endpoint, started, connected: None
        self.lock = threading.Lock()
        self.idle = {}

    def acquire(self, endpoint, fresh, timeout=CONNECT_TIMEOUT_SECONDS):
        """Return a connection to an endpoint.

        Parameters
        ----------
        endpoint : routing.Endpoint
        fresh : bool
            Open a new connection.  A reused one may be dead without notice,
            and it is then unknown whether a request sent on it ran.
        timeout : float
            Seconds to open a new connection.

        Raises
        ------
        ConnectionFailed
            Including its subclass `NoDescriptor`.
        """
        if not fresh:
            idle = self._reuse(endpoint)
            if idle is not None:
                return idle
        conn = _make_connection(endpoint.address, timeout)
        if not self.slots.open_in_place():
            self.slots.record_denial()
            raise NoDescriptor('no descriptor is left', False)
        conn.slots = self.slots
        started = self.clock()
        try:
            conn.connect()
        except (urllib3_exceptions.HTTPError, OSError, ValueError) as error:
            conn.close()
            if _is_exhausted(error):
                self._record_exhaustion(error)
                raise NoDescriptor(str(error), False) from error
            self.on_connect(endpoint, started, False)
            raise ConnectionFailed(str(error), False) from error
        self.on_connect(endpoint, started, True)
        conn.reused = False
        return conn

    def _record_exhaustion(self, error):
        self.exhausted_until = self.clock() + EXHAUSTED_SECONDS
        self.slots.record_exhaustion(error)
        self.slots.make_room()

    def may_acquire(self):
        """Return whether `acquire` is likely to find a descriptor."""
        if self.clock() >= self.exhausted_until and self._has_room():
            return True
        self.slots.record_denial()
        return False

    def _has_room(self):
        if self.slots.may_open() or any(list(self.idle.values())):
            return True
        return self.slots.make_room()

    def close_longest_idle(self):
        """Close the connection that was idle longest; return whether."""
        with self.lock:
            oldest = min(
                (idle for idle in self.idle.values() if idle),
                key=lambda idle: idle[0][1],
                default=None,
            )
            if oldest is None:
                return False
            conn, _ = oldest.pop(0)
        conn.close()
        return True

    def _reuse(self, endpoint):
        now = self.clock()
        while True:
            with self.lock:
                idle = self.idle.get((endpoint.id, endpoint.address))
                if not idle:
                    return None
                conn, idle_since = idle.pop()
            is_recent = now - idle_since < MAX_IDLE_SECONDS
            # Data after a complete answer belongs to no request, and its end
            # means that the endpoint has closed the connection.
            if is_recent and not sockets.has_input(conn.sock):
                conn.reused = True
                return conn
            conn.close()

    def release(self, endpoint, conn):
        """Put back a connection whose answer was read completely."""
        if not conn.is_reusable:
            conn.close()
            return
        key = endpoint.id, endpoint.address
        with self.lock:
            idle = self.idle.setdefault(key, [])
            if len(idle) < MAX_IDLE_PER_ENDPOINT:
                idle.append((conn, self.clock()))
                return
        conn.close()

    def close_except(self, keep):
        """Close the idle connections to endpoints not in `keep`."""
        with self.lock:
            stale = [key for key in self.idle if key[0] not in keep]
            conns = [pair[0] for key in stale for pair in self.idle.pop(key)]
        for conn in conns:
            conn.close()

    def send(self, conn, request, headers, time_left):
        """Send a request and read status and headers of the answer.

        Returns
        -------
        urllib3.HTTPResponse
            With the `answerheads.Head` as its `head`.

        Raises
        ------
        ConnectionFailed
        """
        conn.timeout = time_left
        try:
            conn.sock.settimeout(time_left)
            conn.request(
                request.method,
                request.target,
                body=request.body or None,
                headers={**_SUPPRESSED_HEADERS, **headers},
                preload_content=False,
                decode_content=False,
            )
            return conn.getresponse()
        except (
            urllib3_exceptions.HTTPError,
            OSError,
            ValueError,
            *_HTTP_ERRORS,
        ) as error:
            raise ConnectionFailed(
                f'{type(error).__name__}: {error}', True
            ) from error


_HTTP_ERRORS = (urllib3_connection.HTTPException,)


def _make_connection(address, timeout):
    """Make a connection that isn't open.

    Raises
    ------
    ConnectionFailed
        The address is not one of a host and a port.
    """
    host, _, port = address.rpartition(':')
    try:
        return _Connection(
            host, int(port), timeout=timeout, socket_options=_SOCKET_OPTIONS
        )
    except (ValueError, *_HTTP_ERRORS) as error:
        raise ConnectionFailed(f'address {address!r:.80}', False) from error


_EXHAUSTED = (errno.EMFILE, errno.ENFILE)


def _is_exhausted(error):
    """Return whether the system had no descriptor for a connection."""
    while error is not None:
        if isinstance(error, OSError) and error.errno in _EXHAUSTED:
            return True
        error = error.__cause__
    return False


def read_chunk(response):
    """Return the next chunk of a body, b'' at its end.

    Raises
    ------
    ConnectionFailed
    """
    try:
        return response.read1(65536, decode_content=False)
    except (
        urllib3_exceptions.HTTPError,
        OSError,
        ValueError,
        AttributeError,
        *_HTTP_ERRORS,
    ) as error:
        raise ConnectionFailed(
            f'{type(error).__name__}: {error}', True
        ) from error


def make_connection_pool(clock=time.monotonic, slots=None):
    """Make a `ConnectionPool` without open connections.

    Without `slots` there may be any number of connections.
    """
    return ConnectionPool(clock, slots or descriptorlimit.make_unlimited())
