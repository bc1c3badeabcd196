"""HTTP server for callers and other routers, on cheroot."""

__all__ = ['make_server', 'apply_limits']

import logging
import socket
import time

from cheroot import server as cheroot_server
from ibisring_gateway import bodies
from ibisring_gateway import descriptorlimit
from ibisring_gateway import excessconnections
from ibisring_gateway import exchange
from ibisring_gateway import growingpool
from ibisring_gateway import headreading
from ibisring_gateway import idleconnections
from ibisring_policy.gateway import idlelimits
from ibisring_web import sockets

LOG = logging.getLogger(__name__)
# Connections that the kernel may queue; cheroot's default of 5 resets a
# burst of new ones.
LISTEN_BACKLOG = 1024
# By default cheroot keeps 10 connections alive and closes all others after
# each answer, so callers would need a new connection for each request.
MAX_IDLE_CONNECTIONS = 100000
# Longest wait for data of a request that has begun, or for a caller to take
# data of its answer.
SOCKET_TIMEOUT_SECONDS = 30.0
BLANK_LINE = b'\r\n'
# Blank lines that are skipped before a request.
MAX_BLANK_LINES = 32
# Longest time for which a connection is read after its last answer.
DISCARD_SECONDS = 1.0
READ_BYTES = 65536


class _Request(cheroot_server.HTTPRequest):
    """Has a time limit for its head."""

    def parse_request(self):
        conn = self.conn
        reader = conn.rfile
        conn.rfile = headreading.make_head_reader(
            reader, conn.socket, self.server.header_timeout
        )
        try:
            super().parse_request()
        finally:
            conn.rfile = reader
            conn.socket.settimeout(SOCKET_TIMEOUT_SECONDS)

    def simple_response(self, status, msg=''):
        """Answer with an error; what follows the head is not read."""
        self.conn.has_unread_input = True
        super().simple_response(status, msg)


class _Connection(cheroot_server.HTTPConnection):
    """Has a time limit of its own for each read and write.

    Attributes
    ----------
    has_unread_input : bool
        Whether the caller may still send what is never read.
    holds_slot : bool
        Whether the connection counts towards the limit on descriptors.
    blank_lines : int
        How many were skipped since the last request.
    """

    RequestHandlerClass = _Request

    def __init__(self, server, sock, *args):
        super().__init__(server, sock, *args)
        self.has_unread_input = False
        self.holds_slot = False
        self.blank_lines = 0
        sock.settimeout(SOCKET_TIMEOUT_SECONDS)

    def communicate(self):
        """Serve a request, if one has begun.

        Returns
        -------
        bool
            Whether the connection is kept.
        """
        return not self._has_request() or super().communicate()

    def _has_request(self):
        """Return whether there is more than the blank lines between requests.

        With these alone, a thread would wait for a request.  Too many of them
        are one, which is refused.
        """
        while self.rfile.has_data() or sockets.has_input(self.socket):
            is_blank = self.rfile.peek(1).startswith(BLANK_LINE)
            if not is_blank or self.blank_lines >= MAX_BLANK_LINES:
                self.blank_lines = 0
                return True
            self.rfile.read1(len(BLANK_LINE))
            self.blank_lines += 1
        return False

    def close(self):
        """Close the connection once the caller has its answer."""
        if self.has_unread_input:
            _discard_input(self.socket)
        try:
            super().close()
        finally:
            self._release_slot()

    def _release_slot(self):
        if self.holds_slot:
            self.holds_slot = False
            self.server.slots.close()
            self.server.slots.record_free()


def _discard_input(sock):
    """Read a connection until the caller closes it, for a limited time.

    Closing a connection with unread data resets it, and the caller would lose
    the answer just sent.
    """
    end = time.monotonic() + DISCARD_SECONDS
    try:
        sock.shutdown(socket.SHUT_WR)
        while time.monotonic() < end:
            sock.settimeout(DISCARD_SECONDS)
            if not sock.recv(READ_BYTES):
                return
    except OSError as error:
        LOG.debug('the connection is not read to its end: %s', error)


class _Server(cheroot_server.HTTPServer):
    """Logs cheroot's errors as structured lines.

    Attributes
    ----------
    bound_socket : socket.socket or None
        Used in place of a new one.
    idle_limits : idlelimits.IdleLimits
    header_timeout : float
        Seconds.
    slots : descriptorlimit.Slots
    refuse : callable or None
        See `excessconnections.ExcessConnections`.
    """

    bound_socket = None
    header_timeout = 0.0
    idle_limits = None
    slots = None
    refuse = None
    ConnectionClass = _Connection

    @property
    def idle_connections(self):
        """Callers' connections without a request under way."""
        return self._connections

    def prepare(self):
        super().prepare()
        self._connections.close()
        self._connections = idleconnections.make_idle_connections(
            self,
            self.idle_limits,
            self.slots,
            excessconnections.make_excess_connections(self.slots, self.refuse),
        )

    @property
    def is_finished(self):
        """Whether no connection is taken or waited on any more."""
        return self._connections.is_finished

    @property
    def closed_at_end(self):
        """Idle connections that `finish` has closed."""
        return self._connections.closed_at_end

    def finish(self):
        """Take no more connections, and end those without a request.

        Requests that have arrived are still served.  Returns before this is
        done, see `is_finished`.
        """
        self._connections.finish()

    def serve(self):
        """Serve requests until the server is stopped.

        cheroot would first start a thread for connections that its queue has
        no room for, and end if that fails; this queue has room for all.
        """
        while self.ready:
            try:
                self._connections.run(self.expiration_interval)
                if self._connections.is_finished:
                    self.ready = False
            except Exception:
                self.error_log(
                    'Error in HTTPServer.serve', logging.ERROR, traceback=True
                )

    def bind(self, family, type, proto=0):
        if self.bound_socket is None:
            return super().bind(family, type, proto)
        self.socket = self.bound_socket
        return self.socket

    def error_log(self, msg='', level=logging.INFO, traceback=False):
        LOG.log(level, 'caller_connection', extra={'facts': {'said': msg}})


def make_server(
    address,
    threads,
    handler,
    limits,
    bound_socket=None,
    slots=None,
    refuse=None,
):
    """Make a cheroot server.

    Parameters
    ----------
    address : str
        'IP:PORT'
    threads : (int, int)
        Initial and maximum number of threads.
    handler : callable
        Called with an `Exchange` in a worker thread of the server.
    limits : routing.CallerLimits
    bound_socket : socket.socket or None
        Already bound to the address.
    slots : descriptorlimit.Slots or None
        Of the connections that it accepts; None for any number.
    refuse : callable or None
        Refuses a request for which there is no slot, see
        `excessconnections.ExcessConnections`.

    Returns
    -------
    cheroot.server.HTTPServer
        Not yet started.
    """

    class Gateway(cheroot_server.Gateway):
        def respond(self):
            # cheroot would read the rest of a body that it knows of.
            self.req.rfile = bodies.make_body(self.req)
            call = exchange.Exchange(self.req, self.req.rfile)
            handler(call)
            call.end()

    host, _, port = address.rpartition(':')
    server = _Server((host, int(port)), Gateway)
    server.bound_socket = bound_socket
    server.slots = slots or descriptorlimit.make_unlimited()
    server.refuse = refuse
    server.requests = growingpool.make_growing_pool(server, *threads)
    server.request_queue_size = LISTEN_BACKLOG
    server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    server.server_name = 'ibisring'
    server.shutdown_timeout = 1
    server.idle_limits = idlelimits.make_idle_limits(limits.idle_timeout)
    apply_limits(server, limits)
    return server


def apply_limits(server, limits):
    """Apply the limits of a configuration.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
        Made by `make_server`.
    limits : routing.CallerLimits
    """
    server.idle_limits.change(limits.idle_timeout, time.monotonic())
    # Announced to callers that speak HTTP/1.0.
    server.timeout = limits.idle_timeout
    server.header_timeout = limits.header_timeout
    server.max_request_header_size = limits.header_bytes * 2
    server.max_request_body_size = limits.body_bytes
