"""Connections beyond the limit on descriptors, which are refused."""

__all__ = ['ExcessConnections', 'make_excess_connections', 'decode_head']

import http
import http.client
import io
import logging
import math
import socket
import time

from ibisring_web import sockets

LOG = logging.getLogger(__name__)
# Longest time for which a connection is read after its answer.
DISCARD_SECONDS = 1.0
# A connection on which no request has begun for this time may make room.
SILENT_SECONDS = 0.5
# Longest wait of a request for a connection that is about to be idle for long
# enough to be closed.
WAIT_SECONDS = 0.2
READ_BYTES = 65536
HEAD_END = b'\r\n\r\n'


class _Excess:
    """State of a connection."""

    __slots__ = ('began', 'timeout', 'deferred_at', 'answered_at')

    def __init__(self, began, timeout):
        self.began = began
        self.timeout = timeout
        self.deferred_at = None
        self.answered_at = None


class ExcessConnections:
    """Refuses requests on connections for which no descriptor is left.

    Nothing here waits: it runs in the thread that accepts connections.  Such
    a connection is closed after its answer was read, since closing one with
    unread data resets it, and the caller would lose the answer.

    Parameters
    ----------
    slots : descriptorlimit.Slots
    refuse : callable
        Called with method, target and headers of a request and the seconds
        after which to return; returns status, headers and body.
    clock : callable
    """

    def __init__(self, slots, refuse, clock):
        self.slots = slots
        self.refuse = refuse
        self.clock = clock
        self.states = {}

    def __contains__(self, conn):
        return conn in self.states

    def __len__(self):
        return len(self.states)

    def reserve(self):
        """Return whether there is room for another connection.

        The caller calls `add` if so, or gives the room back to the slots.
        """
        return self.slots.begin_refusal()

    def add(self, conn):
        """Add a connection, until its request has arrived."""
        sock = conn.socket
        self.states[conn] = _Excess(self.clock(), sock.gettimeout())
        sock.settimeout(0.0)

    def remove(self, conn):
        """Remove a connection, which then may be served or closed."""
        state = self.states.pop(conn)
        conn.socket.settimeout(state.timeout)
        self.slots.end_refusal()

    def is_answered(self, conn):
        """Return whether a connection has had its answer."""
        return self.states[conn].answered_at is not None

    def defer(self, conn):
        """Record that a request has arrived that is not decided on yet."""
        self.states[conn].deferred_at = self.clock()

    def may_wait(self, conn):
        """Return whether a request may go on waiting."""
        waited = self.clock() - self.states[conn].deferred_at
        return waited < WAIT_SECONDS

    def answer(self, conn):
        """Refuse the request that arrives on a connection.

        Returns
        -------
        bool
            Whether the caller may still have to read the answer.
        """
        sock = conn.socket
        try:
            head = sock.recv(READ_BYTES, socket.MSG_PEEK)
            if not head:
                return False
            method, target, headers = decode_head(head)
            answer = self.refuse(
                method, target, headers, self.slots.record_refusal()
            )
            sock.sendall(_encode_answer(method, *answer))
            sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            LOG.debug('a refused caller has left: %s', error)
            return False
        self.states[conn].answered_at = self.clock()
        return True

    def discard(self, conn):
        """Read from a connection; return whether more may come."""
        try:
            return bool(conn.socket.recv(READ_BYTES))
        except BlockingIOError:
            return True
        except OSError as error:
            LOG.debug('a refused caller has left: %s', error)
            return False

    def list_waiting(self):
        """Return the connections on which no request has arrived yet."""
        return [c for c, s in self.states.items() if s.deferred_at is None]

    def list_deferred(self):
        """Return the connections whose requests are not decided on yet."""
        return [
            conn
            for conn, state in self.states.items()
            if state.deferred_at is not None and state.answered_at is None
        ]

    def list_expired(self, header_timeout):
        """Return the connections that have been kept for long enough."""
        now = self.clock()
        return [
            conn
            for conn, state in self.states.items()
            if _is_expired(conn, state, header_timeout, now)
        ]

    def find_silent(self):
        """Return the oldest connection on which no request is arriving."""
        before = self.clock() - SILENT_SECONDS
        for conn in self.list_waiting():
            if self.states[conn].began > before:
                return None
            if not sockets.has_input(conn.socket):
                return conn
        return None


def _is_expired(conn, state, header_timeout, now):
    if state.answered_at is not None:
        return now - state.answered_at > DISCARD_SECONDS
    if state.deferred_at is not None:
        return False
    is_due = now - state.began > header_timeout
    return is_due and not sockets.has_input(conn.socket)


def decode_head(data):
    """Decode what has arrived of a request's head, as far as possible.

    Returns
    -------
    (str, str, dict)
        Method, target and headers.

    Examples
    --------
    >>> decode_head(b'GET /a HTTP/1.1\\r\\nhost: b\\r\\n\\r\\n')
    ('GET', '/a', {'host': 'b'})
    >>> decode_head(b'GE')
    ('GE', '', {})
    """
    line, _, rest = data.lstrip(b'\r\n').partition(b'\r\n')
    words = [*line.decode('latin-1').split(' '), '', '']
    lines = rest.partition(HEAD_END)[0] + HEAD_END
    try:
        fields = http.client.parse_headers(io.BytesIO(lines))
    except http.client.HTTPException as error:
        LOG.debug('the head of a refused request: %s', error)
        return words[0], words[1], {}
    return words[0], words[1], dict(fields.items())


def _encode_answer(method, status, headers, body):
    lines = [f'HTTP/1.1 {status} {http.HTTPStatus(status).phrase}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', 'Connection: close', '', '']
    head = '\r\n'.join(lines).encode('latin-1')
    return head if method == 'HEAD' else head + body


def refuse_plainly(method, target, headers, retry_after):
    """Return a refusal without a body."""
    return 503, [('Retry-After', str(math.ceil(retry_after)))], b''


def make_excess_connections(slots, refuse=None, clock=time.monotonic):
    """Make `ExcessConnections`."""
    return ExcessConnections(slots, refuse or refuse_plainly, clock)
