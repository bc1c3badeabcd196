"""A caller's request and its answer, on cheroot."""

__all__ = [
    'Exchange',
    'CallerDisconnected',
]

import http
import logging
import socket
import struct

from ibisring_gateway import bodies
from ibisring_records import exceptions
from ibisring_web import sockets

LOG = logging.getLogger(__name__)
# Longest delay of an answer by a body that it doesn't depend on.
DISCARD_SECONDS = 0.25
# Says nothing of whether the request has run.
UNANSWERED_STATUS = 504
# Zero seconds: the connection is reset when it is closed.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# Hop-by-hop headers apply to one connection only and are not forwarded.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class CallerDisconnected(Exception):
    """The caller's connection was lost during a read or write."""


class Exchange:
    """A caller's request and the answer to it.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest
    body : bodies.Body or None
        None if the request has none.

    Attributes
    ----------
    headers_sent : bool
        Whether the status line and headers of an answer were written.
    ends_with_connection : bool
        Whether nothing but the connection's close marks the answer's end.
    is_from_router : bool
        Whether another router handed the request over.
    list_extra_headers : callable
        Returns headers to add to the answer, as (name, value) pairs.
    is_last : callable
        Returns whether an answer that begins is the connection's last one.
    job : jobs.Job or None
        State of the request, None until its route is known.
    """

    def __init__(self, request, body=None):
        self.request = request
        self.body = body
        self.headers_sent = False
        self.ends_with_connection = False
        self.is_from_router = False
        self.list_extra_headers = list
        self.is_last = bool
        self.job = None
        self.status = 0
        self.sent = 0

    @property
    def socket(self):
        """The caller's socket."""
        return self.request.conn.socket

    @property
    def method(self):
        """The request method as text."""
        return self.request.method.decode('latin-1')

    @property
    def target(self):
        """Path and query string as the caller sent them."""
        return self.request.uri.decode('latin-1')

    def headers(self):
        """Return the request's headers without the hop-by-hop ones."""
        found = {}
        for name, value in self.request.inheaders.items():
            text = name.decode('latin-1')
            if text.lower() not in HOP_BY_HOP:
                found[text] = value.decode('latin-1')
        return found

    def read_body(self):
        """Read the whole body.

        Raises
        ------
        InvalidRequest
            Including its subclasses `RequestTooLarge` and `RequestTooSlow`.
        CallerDisconnected
        """
        if self.body is None:
            return b''
        try:
            return self.body.read()
        except (OSError, bodies.BodyEnded) as error:
            raise CallerDisconnected(str(error)) from error

    def begin(self, status, headers):
        """Write status line and headers; `write` sends the body.

        Parameters
        ----------
        status : int
        headers : list of (str, str)
        """
        self._finish_body()
        if self.is_last():
            self.close_after()
        request = self.request
        try:
            phrase = http.HTTPStatus(status).phrase
        except ValueError:
            phrase = 'Unknown'
        request.status = f'{status} {phrase}'.encode('latin-1')
        sent = request.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in [*headers, *self.list_extra_headers()]
            if name.lower() not in HOP_BY_HOP
        ]
        self.headers_sent = True
        self.status = status
        try:
            request.ensure_headers_sent()
        except OSError as error:
            raise CallerDisconnected(str(error)) from error
        has_length = any(n.lower() == b'content-length' for n, _ in sent)
        self.ends_with_connection = not (has_length or request.chunked_write)

    def _finish_body(self):
        """Read what is left of the body, or close the connection after.

        The caller's next request would begin in the middle of the body.
        """
        if self.body is None or self.body.is_complete:
            return
        try:
            if not self.body.is_started:
                self.body.read(DISCARD_SECONDS)
                return
        except (OSError, bodies.BodyEnded, exceptions.InvalidRequest) as error:
            LOG.debug('the rest of a body is not read: %s', error)
        self.request.close_connection = True
        self.request.conn.has_unread_input = True

    def write(self, data):
        """Write a chunk of the body."""
        if not data:
            return
        try:
            self.request.write(data)
        except OSError as error:
            raise CallerDisconnected(str(error)) from error
        self.sent += len(data)

    def answer(self, status, headers, body):
        """Write a complete answer."""
        length = ('Content-Length', str(len(body)))
        kept = [h for h in headers if h[0].lower() != 'content-length']
        self.begin(status, [*kept, length])
        # The caller would take a body for the beginning of its next answer.
        if self.method != 'HEAD':
            self.write(body)

    def abort(self):
        """Truncate the answer so that the caller can't take it as complete.

        The final chunk (or the rest of the declared length) is missing when
        the connection closes, which tells the caller that the answer was
        truncated.  Where only the close marks the end, the connection is
        reset instead.
        """
        self.request.chunked_write = False
        self.request.close_connection = True
        if self.ends_with_connection:
            self._reset()

    def prepare_exit(self):
        """Have the end of the process reset an answer that has begun.

        A close would look like its end; other framings show that they are
        cut.
        """
        if not (self.headers_sent and self.ends_with_connection):
            return
        try:
            self._reset_on_close()
        except OSError as error:
            LOG.debug('the connection is closed already: %s', error)

    def _reset_on_close(self):
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )

    def _reset(self):
        """Reset the connection, which cheroot would close."""
        conn = self.request.conn
        conn.linger = True
        try:
            self._reset_on_close()
            conn.socket.close()
        except OSError as error:
            LOG.debug('the connection is closed already: %s', error)

    def end(self):
        """End the request; a caller that is still there gets an answer."""
        if self.headers_sent:
            return
        if sockets.is_gone(self.socket):
            self.request.ready = False
            self.request.close_connection = True
            return
        LOG.warning('a request to %s ended without an answer', self.target)
        self.close_after()
        try:
            self.answer(UNANSWERED_STATUS, [], b'')
        except CallerDisconnected as error:
            LOG.debug('the caller has left meanwhile: %s', error)

    def close_after(self):
        """Close the connection after this answer.

        To be called before the answer begins, which announces the close: a
        caller that doesn't know of it may send a request that is lost.
        """
        self.request.close_connection = True
