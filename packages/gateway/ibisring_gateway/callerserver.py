"""HTTP server for callers and other routers, on cheroot."""

__all__ = ['make_server', 'apply_limits']

import logging
import time

from cheroot import server as cheroot_server
from ibisring_gateway import exchange
from ibisring_gateway import growingpool
from ibisring_gateway import idleconnections
from ibisring_policy.gateway import idlelimits

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


class _Connection(cheroot_server.HTTPConnection):
    """Has a time limit of its own for each read and write."""

    def __init__(self, server, sock, *args):
        super().__init__(server, sock, *args)
        sock.settimeout(SOCKET_TIMEOUT_SECONDS)


class _Server(cheroot_server.HTTPServer):
    """Logs cheroot's errors as structured lines.

    Attributes
    ----------
    bound_socket : socket.socket or None
        Used in place of a new one.
    idle_limits : idlelimits.IdleLimits
    """

    bound_socket = None
    idle_limits = None
    ConnectionClass = _Connection

    @property
    def idle_connections(self):
        """Callers' connections without a request under way."""
        return self._connections

    def prepare(self):
        super().prepare()
        self._connections.close()
        self._connections = idleconnections.make_idle_connections(
            self, self.idle_limits
        )

    def bind(self, family, type, proto=0):
        if self.bound_socket is None:
            return super().bind(family, type, proto)
        self.socket = self.bound_socket
        return self.socket

    def error_log(self, msg='', level=logging.INFO, traceback=False):
        LOG.log(level, 'caller_connection', extra={'facts': {'said': msg}})


def make_server(address, threads, handler, limits, bound_socket=None):
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

    Returns
    -------
    cheroot.server.HTTPServer
        Not yet started.
    """

    class Gateway(cheroot_server.Gateway):
        def respond(self):
            handler(exchange.Exchange(self.req))

    host, _, port = address.rpartition(':')
    server = _Server((host, int(port)), Gateway)
    server.bound_socket = bound_socket
    server.requests = growingpool.GrowingPool(
        server, min=threads[0], max=threads[1]
    )
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
    server.max_request_header_size = limits.header_bytes * 2
    server.max_request_body_size = limits.body_bytes
