"""Callers' connections without a request under way."""

__all__ = ['IdleConnections', 'make_idle_connections']

import collections
import errno
import logging
import os
import selectors
import threading
import time

from cheroot import connections
from ibisring_web import sockets

LOG = logging.getLogger(__name__)
# A caller that has just connected or been answered is likely to be sending
# its next request.
RECENT_SECONDS = 0.1
# Interval of the checks while connections are refused or none is accepted.
EXCESS_INTERVAL_SECONDS = 0.02
# Time without accepting after the system had no descriptor or memory.
PAUSE_SECONDS = 0.1
# Connections taken from the kernel's queue at the end, at most.
MAX_LAST_ACCEPTS = 4096
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class IdleConnections(connections.ConnectionManager):
    """Waits for requests, and closes connections that have expired.

    At the limit on descriptors, an idle connection is closed for a new one, of
    callers that which was idle longest.  If there is none, the new one is
    refused once its request arrives, and no more are accepted than can be
    refused at a time.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
        Prepared.
    limits : idlelimits.IdleLimits
    slots : descriptorlimit.Slots
    excess : excessconnections.ExcessConnections
    clock : callable
        Monotonic: a step of the system's clock must not expire connections.

    Attributes
    ----------
    idle : collections.OrderedDict of HTTPConnection to int
        Descriptors of the idle connections, the longest idle one first.
    paused_until : float or None
        No connection is accepted before; None if they are accepted.
    wake_up : int or None
        Descriptor that ends a wait of the thread that accepts connections.
    is_finishing : bool
        Whether `finish` was called.
    is_closing : bool
        Whether connections without a request are closed at once.
    is_finished : bool
        Whether all connections without a request were closed.
    closed_at_end : int
        Connections that were closed so.
    """

    def __init__(self, server, limits, slots, excess, clock):
        super().__init__(server)
        self.limits = limits
        self.slots = slots
        self.excess = excess
        self.clock = clock
        self.idle = collections.OrderedDict()
        self.idle_lock = threading.Lock()
        self.paused_until = None
        self.wake_up = None
        self.is_finishing = False
        self.is_closing = False
        self.is_finished = False
        self.closed_at_end = 0
        slots.closers.append(self.close_longest_idle)

    def put(self, conn):
        """Keep a connection until its next request."""
        conn.last_used = self.clock()
        conn.idle_limit = self.limits.longest(conn.last_used)
        self.slots.record_free()
        self._keep(conn)

    def _keep(self, conn):
        if conn.rfile.has_data():
            self.server.process_conn(conn)
            return
        descriptor = conn.socket.fileno()
        with self.idle_lock:
            is_kept = not self.is_closing
            if is_kept:
                self.idle[conn] = descriptor
                self._selector.register(
                    descriptor, selectors.EVENT_READ, data=conn
                )
        if not is_kept:
            self._end(conn)

    def _end(self, conn):
        """Close a connection, unless a request has arrived on it."""
        if conn.rfile.has_data() or sockets.has_input(conn.socket):
            self.server.process_conn(conn)
            return
        conn.close()
        self.closed_at_end += 1

    def finish(self):
        """Have the thread that accepts connections end them, and return."""
        try:
            self.wake_up = os.eventfd(1)
            self._selector.register(
                self.wake_up, selectors.EVENT_READ, data=None
            )
        except OSError as error:
            # The thread notices it after its present wait.
            LOG.warning('the end of a server is noticed late: %s', error)
        self.is_finishing = True

    def _finish(self):
        self._end_wake_up()
        self._accept_waiting()
        if self.paused_until is None:
            self._selector.unregister(self.server.socket.fileno())
        self.server.socket.close()
        self._finish_excess()
        with self.idle_lock:
            self.is_closing = True
            idle = list(self.idle.items())
            self.idle.clear()
            for _, descriptor in idle:
                self._selector.unregister(descriptor)
        for conn, _ in idle:
            self._end(conn)
        self.is_finished = True

    def _end_wake_up(self):
        if self.wake_up is not None:
            self._selector.unregister(self.wake_up)
            os.close(self.wake_up)
            self.wake_up = None

    def _accept_waiting(self):
        """Accept the connections that wait in the kernel.

        Closing the listening socket resets them, after their callers have
        sent requests.
        """
        for _ in range(MAX_LAST_ACCEPTS):
            if not sockets.has_input(self.server.socket):
                return
            self._accept()
            if self.paused_until is not None:
                return

    def _finish_excess(self):
        for conn in list(self.excess.states):
            if not sockets.has_input(conn.socket):
                continue
            if self.excess.is_answered(conn) or self.excess.answer(conn):
                # Unread data would have the exit reset the connection.
                self.excess.discard(conn)

    def _take(self, descriptor, conn):
        """Stop waiting for a request on a connection.

        Returns
        -------
        bool
            False if another thread has closed it for a new connection.
        """
        with self.idle_lock:
            if self.idle.pop(conn, None) is None:
                return False
            self._selector.unregister(descriptor)
        return True

    def _remove_invalid_sockets(self):
        super()._remove_invalid_sockets()
        with self.idle_lock:
            for conn in list(self.idle):
                if conn.socket.fileno() < 0:
                    del self.idle[conn]

    def _run(self, expiration_interval):
        checked_at = self.clock()
        while not self._stop_requested:
            if self.is_finishing:
                self._finish()
                return
            is_calm = self.paused_until is None and not self.excess
            interval = (
                expiration_interval if is_calm else EXCESS_INTERVAL_SECONDS
            )
            try:
                ready = self._selector.select(timeout=interval)
            except OSError:
                self._remove_invalid_sockets()
                continue
            for descriptor, conn in ready:
                self._dispatch(descriptor, conn)
            self._check_excess()
            now = self.clock()
            if now - checked_at > expiration_interval:
                self.close_expired(now)
                self.server.requests.check()
                checked_at = now

    def _dispatch(self, descriptor, conn):
        if conn is None:
            # The wake-up of `finish`.
            return
        if conn is self.server:
            self._accept()
        elif conn in self.excess:
            self._dispatch_excess(descriptor, conn)
        elif self._take(descriptor, conn):
            # A thread reads from it until `put` is called again.
            self.server.process_conn(conn)

    def _accept(self):
        """Keep a new connection until its first request begins."""
        is_allowed = self.slots.open_in_place()
        if not is_allowed and not self._reserve_refusal():
            self._pause(EXCESS_INTERVAL_SECONDS)
            return
        conn = None
        try:
            conn = self._accept_socket()
        finally:
            if conn is None:
                self._give_back(is_allowed)
        if conn is None:
            return
        if is_allowed:
            self._admit(conn)
            self._keep(conn)
        else:
            self.excess.add(conn)
            self._selector.register(
                conn.socket.fileno(), selectors.EVENT_READ, data=conn
            )

    def _accept_socket(self):
        """Return a new connection, None if there is none."""
        try:
            return self._from_server_socket(self.server.socket)
        except OSError as error:
            if error.errno not in _EXHAUSTED:
                raise
            # The listener stays readable: without a pause this would spin.
            self.slots.record_exhaustion(error)
            self.slots.make_room()
            self._pause(PAUSE_SECONDS)
            return None

    def _give_back(self, is_slot):
        if is_slot:
            self.slots.close()
        else:
            self.slots.end_refusal()

    def _admit(self, conn):
        """Have a connection hold the slot that was opened for it."""
        conn.last_used = self.clock()
        conn.idle_limit = self.limits.longest(conn.last_used)
        conn.holds_slot = True

    def close_longest_idle(self):
        """Close the connection that was idle longest, from any thread.

        Returns
        -------
        bool
            Whether there was one that may be closed.
        """
        with self.idle_lock:
            conn = self._find_closable()
            if conn is None:
                return False
            self._selector.unregister(self.idle.pop(conn))
        conn.close()
        return True

    def _find_closable(self):
        """Return the longest idle connection on which nothing arrives."""
        before = self.clock() - RECENT_SECONDS
        for conn in self.idle:
            if conn.last_used > before:
                return None
            if not sockets.has_input(conn.socket):
                return conn
        return None

    def _reserve_refusal(self):
        """Return whether another connection may be refused."""
        if self.excess.reserve():
            return True
        silent = self.excess.find_silent()
        if silent is None:
            return False
        self._close_excess(silent)
        return self.excess.reserve()

    def _pause(self, seconds):
        """Accept no connection for a time; they wait in the kernel."""
        if self.paused_until is None:
            self._selector.unregister(self.server.socket.fileno())
        self.paused_until = self.clock() + seconds

    def _resume(self):
        self.paused_until = None
        self._selector.register(
            self.server.socket.fileno(),
            selectors.EVENT_READ,
            data=self.server,
        )

    def _dispatch_excess(self, descriptor, conn):
        if self.excess.is_answered(conn):
            if not self.excess.discard(conn):
                self._close_excess(conn)
            return
        self._selector.unregister(descriptor)
        self.excess.defer(conn)
        self._serve_or_refuse(conn)

    def _serve_or_refuse(self, conn):
        """Serve the request on a connection, refuse it, or let it wait.

        It waits a moment where connections are idle that were used just now:
        either they get requests, or one of them may be closed.
        """
        if self.slots.open_in_place():
            self.excess.remove(conn)
            self._admit(conn)
            self.server.process_conn(conn)
        elif self.idle and self.excess.may_wait(conn):
            return
        elif self.excess.answer(conn):
            self._selector.register(
                conn.socket.fileno(), selectors.EVENT_READ, data=conn
            )
        else:
            self.excess.remove(conn)
            conn.close()

    def _close_excess(self, conn):
        self._selector.unregister(conn.socket.fileno())
        self.excess.remove(conn)
        conn.close()

    def _check_excess(self):
        """Serve or close connections beyond the limit; accept new ones."""
        if self.excess:
            for conn in self.excess.list_expired(self.server.header_timeout):
                self._close_excess(conn)
            for conn in self.excess.list_waiting():
                if not self.slots.open():
                    break
                self._selector.unregister(conn.socket.fileno())
                self.excess.remove(conn)
                self._admit(conn)
                self._keep(conn)
            for conn in self.excess.list_deferred():
                self._serve_or_refuse(conn)
        until = self.paused_until
        if until is not None and self.clock() >= until:
            self._resume()

    def close_expired(self, now):
        """Close the connections that have been idle for too long.

        Parameters
        ----------
        now : float
        """
        with self.idle_lock:
            idle = list(self.idle.items())
        for conn, descriptor in idle:
            if self._is_expired(conn, now) and self._take(descriptor, conn):
                conn.close()

    def _is_expired(self, conn, now):
        if not self.limits.is_expired(conn.last_used, conn.idle_limit, now):
            return False
        # A request may have arrived since the selector was last asked.
        return not sockets.has_input(conn.socket)


def make_idle_connections(server, limits, slots, excess, clock=time.monotonic):
    """Make `IdleConnections`."""
    return IdleConnections(server, limits, slots, excess, clock)
