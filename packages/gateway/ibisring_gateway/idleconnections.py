"""Callers' connections without a request under way."""

__all__ = ['IdleConnections', 'make_idle_connections']

import selectors
import time

from cheroot import connections
from ibisring_web import sockets


class IdleConnections(connections.ConnectionManager):
    """Waits for requests, and closes connections that have expired.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
        Prepared.
    limits : idlelimits.IdleLimits
    clock : callable
        Monotonic: a step of the system's clock must not expire connections.
    """

    def __init__(self, server, limits, clock):
        super().__init__(server)
        self.limits = limits
        self.clock = clock

    def put(self, conn):
        """Keep a connection until its next request."""
        conn.last_used = self.clock()
        conn.idle_limit = self.limits.longest(conn.last_used)
        if conn.rfile.has_data():
            self.server.process_conn(conn)
            return
        descriptor = conn.socket.fileno()
        self._selector.register(descriptor, selectors.EVENT_READ, data=conn)

    def _run(self, expiration_interval):
        checked_at = self.clock()
        while not self._stop_requested:
            try:
                ready = self._selector.select(timeout=expiration_interval)
            except OSError:
                self._remove_invalid_sockets()
                continue
            for descriptor, conn in ready:
                self._dispatch(descriptor, conn)
            now = self.clock()
            if now - checked_at > expiration_interval:
                self.close_expired(now)
                self.server.requests.check()
                checked_at = now

    def _dispatch(self, descriptor, conn):
        if conn is self.server:
            self._accept()
            return
        # A thread reads from it until `put` is called again.
        self._selector.unregister(descriptor)
        self.server.process_conn(conn)

    def _accept(self):
        """Keep a new connection until its first request begins."""
        conn = self._from_server_socket(self.server.socket)
        if conn is not None:
            self.put(conn)

    def close_expired(self, now):
        """Close the connections that have been idle for too long.

        Parameters
        ----------
        now : float
        """
        for descriptor, conn in list(self._selector.connections):
            if conn is not self.server and self._is_expired(conn, now):
                self._selector.unregister(descriptor)
                conn.close()

    def _is_expired(self, conn, now):
        if not self.limits.is_expired(conn.last_used, conn.idle_limit, now):
            return False
        # A request may have arrived since the selector was last asked.
        return not sockets.has_input(conn.socket)


def make_idle_connections(server, limits, clock=time.monotonic):
    """Make `IdleConnections`."""
    return IdleConnections(server, limits, clock)
