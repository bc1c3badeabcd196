"""A caller's side of a request, on cheroot."""

__all__ = [
    'Exchange',
    'BodyTooLarge',
    'CallerLeft',
    'make_server',
    'apply_limits',
]

import http
import logging

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot.workers import threadpool

from ibisring_records import exceptions

LOG = logging.getLogger(__name__)
# Connections that the kernel may queue; cheroot's default of 5 resets a
# burst of new ones.
BACKLOG = 1024
# cheroot keeps 10 idle connections unless told otherwise and closes all
# others after each answer, which costs callers a new one for each request.
MOST_KEPT = 100000
# Answers of these kinds belong to one connection and are not passed on.
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


class BodyTooLarge(exceptions.RequestTooLarge):
    """The request's body passes the limit in force."""


class CallerLeft(Exception):
    """The caller's connection ended while it was read or written."""


class Exchange:
    """One request of a caller and the answer to it.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest

    Attributes
    ----------
    begun : bool
        Whether the head of an answer was written.
    """

    def __init__(self, request):
        self.request = request
        self.begun = False
        self.status = 0
        self.sent = 0

    @property
    def socket(self):
        """The caller's socket."""
        return self.request.conn.socket

    @property
    def method(self):
        """The method as text."""
        return self.request.method.decode('latin-1')

    @property
    def target(self):
        """Path and query as the caller sent them."""
        return self.request.uri.decode('latin-1')

    def headers(self):
        """Give the request's headers, without those of the connection."""
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
        RequestTooLarge
        CallerLeft
        """
        try:
            return self.request.rfile.read()
        except cheroot_errors.MaxSizeExceeded as error:
            self.request.close_connection = True
            raise BodyTooLarge('the body is too large') from error
        except (OSError, ValueError) as error:
            raise CallerLeft(str(error)) from error

    def begin(self, status, headers):
        """Write status and headers; the body follows by `write`.

        Parameters
        ----------
        status : int
        headers : list of (str, str)
        """
        request = self.request
        try:
            phrase = http.HTTPStatus(status).phrase
        except ValueError:
            phrase = 'Unknown'
        request.status = f'{status} {phrase}'.encode('latin-1')
        request.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
            if name.lower() not in HOP_BY_HOP
        ]
        self.begun = True
        self.status = status
        try:
            request.ensure_headers_sent()
        except OSError as error:
            raise CallerLeft(str(error)) from error

    def write(self, data):
        """Write a piece of the body."""
        if not data:
            return
        try:
            self.request.write(data)
        except OSError as error:
            raise CallerLeft(str(error)) from error
        self.sent += len(data)

    def answer(self, status, headers, body):
        """Write a whole answer."""
        length = ('Content-Length', str(len(body)))
        kept = [h for h in headers if h[0].lower() != 'content-length']
        self.begin(status, [*kept, length])
        self.write(body)

    def abort(self):
        """End an answer under way so that it can't look complete.

        Without the last chunk, or short of its length, and with the
        connection closed, the caller sees that it was cut.
        """
        self.request.chunked_write = False
        self.request.close_connection = True

    def close_after(self):
        """Let the connection end after this answer."""
        self.request.close_connection = True


class _Server(cheroot_server.HTTPServer):
    """Logs what cheroot finds wrong as structured lines."""

    def error_log(self, msg='', level=logging.INFO, traceback=False):
        LOG.log(level, 'caller_connection', extra={'facts': {'said': msg}})


def make_server(address, threads, handle, limits):
    """Make a cheroot server.

    Parameters
    ----------
    address : str
        'IP:PORT'
    threads : (int, int)
        Threads at the start and at most.
    handle : callable
        Called with an `Exchange` in a thread of the server.
    limits : routing.CallerLimits

    Returns
    -------
    cheroot.server.HTTPServer
        Not yet started.
    """

    class Gateway(cheroot_server.Gateway):
        def respond(self):
            handle(Exchange(self.req))

    host, _, port = address.rpartition(':')
    server = _Server((host, int(port)), Gateway)
    server.requests = GrowingPool(server, min=threads[0], max=threads[1])
    server.request_queue_size = BACKLOG
    server.keep_alive_conn_limit = MOST_KEPT
    server.server_name = 'ibisring'
    server.shutdown_timeout = 1
    apply_limits(server, limits)
    return server


def apply_limits(server, limits):
    """Put limits in force for connections that come from now on."""
    # Callers use a connection again for four fifths of the idle limit;
    # ending it no sooner than the limit keeps theirs from being cut.
    server.timeout = limits.idle_timeout + 1.0
    server.max_request_header_size = limits.header_bytes * 2
    server.max_request_body_size = limits.body_bytes


class GrowingPool(threadpool.ThreadPool):
    """Adds threads while all are busy.

    Each stream holds a thread for its whole life, and how many come depends
    on how many other routers are down; threads for the worst case would
    cost memory on every day.  cheroot itself waits a tenth of a second for
    new threads, in the thread that accepts connections; this does not.
    """

    STEP = 8

    def put(self, obj):
        if self.idle <= 1:
            self.grow(self.STEP)
        super().put(obj)

    def grow(self, amount):
        room = max(self.max - len(self._threads), 0)
        for _ in range(min(amount, room)):
            self._threads.append(self._spawn_worker())
