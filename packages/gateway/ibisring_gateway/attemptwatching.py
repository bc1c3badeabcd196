"""Thread that ends attempts when the caller disconnects or time runs out."""

__all__ = ['Attempt', 'Watcher', 'make_watcher']

import logging
import select
import socket
import threading
import time

from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import latereads
from ibisring_policy.gateway import localhealth
from ibisring_router import guards
from ibisring_web import sockets

LOG = logging.getLogger(__name__)
# Bounds in seconds of the sleep until the next attempt is due; a disconnect
# of a caller ends the sleep at once.  The upper bound is a little less than
# the shortest time from an event of a stream to its next check, so that an
# attempt added during the sleep is still checked on time.
MIN_SLEEP_SECONDS = 0.005
MAX_SLEEP_SECONDS = 0.05
IDLE_SLEEP_SECONDS = 1.0
# Seconds until an attempt is checked again if its check could not be started.
RETRY_SECONDS = 0.05
_DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class Attempt:
    """One attempt to run a request at an endpoint.

    Attributes
    ----------
    socket : socket.socket or None
        Connection to the endpoint while the attempt uses it.
    result : attempts.Result or None
        Why this router ended the attempt.
    deadline : float
        Monotonic time at which the attempt is given up.
    check_at : float or None
        Monotonic time of the next check of its stages if no event arrives.
    sent_at, last_event_at : float
        Monotonic times.
    checks : int
        Checks of its stages since the last event.
    is_checking : bool
        Whether its stages are being checked.
    mean_gap : float
        Moving average of the seconds between events.
    events : int
        Events received.
    first_event_at : float or None
        Monotonic time.
    is_counted : bool
        Whether it counts as answered.
    tokens : float
        Size in tokens, as reserved at its stages.
    rank : tuple or None
        Rank of the request as the attempt began, see `jobs.Job.rank`.
    reroutes : int
        Times that it was moved off stages that were leaving.
    unmovable_stages : set of str or None
        Leaving stages that could not be replaced.
    may_change_endpoint : bool
        Whether the request may still go to another first endpoint.
    prompt_tokens : int
    expected_seconds : float
        Time that its next event takes without load, 0 if it is unknown.
    explained_seconds : float
        Shortest silence after which its next event counts as overdue.
    is_behind : bool
        Whether its engines answered in the present silence.
    blocked : stalls.NoWayRound or None
        What kept it from being moved off lost stages.
    job : jobs.Job or None
        The request.
    successor : successors.Successor or None
        What follows it, if this router gave it up.
    is_over : bool
        Whether its outcome is settled, so that it can't be given up.
    spared_events : int or None
        Value of `events` for which it was kept since there was input.
    """

    __slots__ = (
        'request_id',
        'endpoint',
        'stages',
        'socket',
        'result',
        'deadline',
        'check_at',
        'sent_at',
        'last_event_at',
        'checks',
        'is_checking',
        'mean_gap',
        'events',
        'first_event_at',
        'is_counted',
        'tokens',
        'rank',
        'reroutes',
        'unmovable_stages',
        'may_change_endpoint',
        'prompt_tokens',
        'expected_seconds',
        'explained_seconds',
        'is_behind',
        'blocked',
        'job',
        'successor',
        'is_over',
        'spared_events',
        'lock',
    )

    def __init__(self, request_id, endpoint, stages, deadline):
        self.request_id = request_id
        self.endpoint = endpoint
        self.stages = stages
        self.socket = None
        self.result = None
        self.deadline = deadline
        self.check_at = None
        self.sent_at = 0.0
        self.last_event_at = 0.0
        self.checks = 0
        self.is_checking = False
        self.mean_gap = 0.0
        self.events = 0
        self.first_event_at = None
        self.is_counted = False
        self.tokens = 0.0
        self.rank = None
        self.reroutes = 0
        self.unmovable_stages = None
        self.may_change_endpoint = True
        self.prompt_tokens = 0
        self.expected_seconds = 0.0
        self.explained_seconds = 0.0
        self.is_behind = False
        self.blocked = None
        self.job = None
        self.successor = None
        self.is_over = False
        self.spared_events = None
        self.lock = threading.Lock()

    def silent_seconds(self, now):
        """Return the seconds since the last event or, without one, sending.

        The head of an answer may precede its first event.
        """
        return now - (self.last_event_at if self.events else self.sent_at)

    def has_unread(self):
        """Return whether something of its endpoint waits to be read."""
        with self.lock:
            return self._has_unread()

    def _has_unread(self):
        return self.socket is not None and sockets.has_input(self.socket)

    def abort(self, end):
        """End the attempt for its caller's sake or for want of time.

        The thread that reads its answer is woken by shutting the socket
        down; closing it would not wake it.
        """
        with self.lock:
            if self.result is None:
                self.result = end
            if self.socket is not None:
                _shut_down(self.socket)

    def hand_over(self, successor, end=attempts.Result.SILENT):
        """End the attempt in favour of a successor.

        Parameters
        ----------
        successor : successors.Successor
        end : attempts.Result

        Returns
        -------
        bool
            False if it has ended otherwise or goes on; the successor is not
            used then.

        Notes
        -----
        Input that has not been read yet may be the event that was missed.  It
        keeps the attempt once: input that brings no event must not do so for
        ever.
        """
        with self.lock:
            if self.result is not None or self.is_over:
                return False
            if self.events != successor.events:
                return False
            is_spared = self.spared_events == self.events
            if not is_spared and self._has_unread():
                self.spared_events = self.events
                return False
            self.result = end
            self.successor = successor
            if self.socket is not None:
                _shut_down(self.socket)
            return True

    def settle(self):
        """Settle the outcome, and return the successor if there is one."""
        with self.lock:
            self.is_over = True
            self.socket = None
            return self.successor

    def detach(self):
        """Give up the connection, which another attempt may then use.

        An abort that still shut it down would cut that attempt.

        Returns
        -------
        bool
            Whether the connection is intact; False if this was aborted.
        """
        with self.lock:
            self.is_over = True
            self.socket = None
            return self.result is None


def _shut_down(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        LOG.debug('socket already closed: %s', error)


class Watcher:
    """Watches callers' sockets and the deadlines of attempts.

    Parameters
    ----------
    on_silence : callable
        Called with an attempt whose `check_at` has passed.
    health : localhealth.LocalHealth
    clock : callable
    """

    def __init__(self, on_silence, health, clock=time.monotonic):
        self.on_silence = on_silence
        self.health = health
        self.clock = clock
        self.epoll = select.epoll()
        self.lock = threading.Lock()
        self.by_fd = {}
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        # Requests must not wait for a thread that doesn't read.
        self.wake_writer.setblocking(False)
        self.epoll.register(self.wake_reader.fileno(), select.EPOLLIN)
        self.stopped = False
        self.thread = threading.Thread(target=self._loop, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()
        return self

    def stop(self):
        """Ask the thread to exit."""
        self.stopped = True
        self._wake()

    def add(self, caller_socket, attempt):
        """Watch an attempt until `remove`."""
        fd = caller_socket.fileno()
        with self.lock:
            was_idle = not self.by_fd
            is_registered = fd in self.by_fd
            self.by_fd[fd] = attempt
            if not is_registered:
                self.epoll.register(fd, _DISCONNECT_EVENTS)
        if was_idle:
            self._wake()

    def _wake(self):
        try:
            self.wake_writer.send(b'x')
        except BlockingIOError:
            LOG.debug('the thread has yet to read the wake-ups before')

    def remove(self, caller_socket):
        """Stop watching an attempt; the caller's socket must be open."""
        fd = caller_socket.fileno()
        with self.lock:
            if self.by_fd.pop(fd, None) is not None:
                self._unregister(fd)

    def count(self):
        """Return the number of attempts being watched."""
        return len(self.by_fd)

    def attempts(self):
        """Return the attempts being watched."""
        with self.lock:
            return list(self.by_fd.values())

    def _unregister(self, fd):
        try:
            self.epoll.unregister(fd)
        except (OSError, ValueError) as error:
            LOG.debug('socket not registered: %s', error)

    def _loop(self):
        while not self.stopped:
            if not guards.run('watch_callers', self._handle_events):
                time.sleep(MAX_SLEEP_SECONDS)
            guards.run('watch_attempts', self._check_now)

    def _handle_events(self):
        for fd, _ in self.epoll.poll(self.sleep_seconds(self.clock())):
            guards.run('caller_event', self._on_event, fd)

    def _check_now(self):
        self.check(self.clock())

    def sleep_seconds(self, now):
        """Return the seconds until an attempt is next due."""
        if not self.by_fd:
            return IDLE_SLEEP_SECONDS
        due_times = [now + MAX_SLEEP_SECONDS]
        for attempt in self.attempts():
            due_times.append(attempt.deadline)
            if attempt.check_at is not None and not attempt.is_checking:
                due_times.append(attempt.check_at)
        return max(MIN_SLEEP_SECONDS, min(due_times) - now)

    def _on_event(self, fd):
        if fd == self.wake_reader.fileno():
            self.wake_reader.recv(4096)
            return
        with self.lock:
            attempt = self.by_fd.get(fd)
            # The event may be of a caller whose socket was closed since; the
            # next caller's has the same number.
            if attempt is None or not sockets.is_gone(fd):
                return
            self._unregister(fd)
        attempt.abort(attempts.Result.CALLER_GONE)

    def check(self, now):
        """Abort attempts past their deadline; report silent ones."""
        for attempt in self.attempts():
            guards.run('watch_attempt', self._check_attempt, attempt, now)

    def _check_attempt(self, attempt, now):
        if attempt.result is not None:
            return
        if now >= attempt.deadline:
            if self._is_over(attempt, now):
                attempt.abort(attempts.Result.DEADLINE)
            return
        check_at = attempt.check_at
        if check_at is None or now < check_at or attempt.is_checking:
            return
        if not self._is_silent(attempt, check_at, now):
            return
        attempt.is_checking = True
        try:
            self.on_silence(attempt)
        except Exception:
            guards.failed('silence_check', id=attempt.request_id)
            attempt.check_at = now + RETRY_SECONDS
            attempt.is_checking = False

    def _is_over(self, attempt, now):
        """Return whether an attempt ends, after its deadline."""
        return latereads.is_over(
            attempt.deadline, now, attempt.has_unread(), self.health
        )

    def _is_silent(self, attempt, limit_at, now):
        """Return whether a time limit passed for want of input."""
        return latereads.is_shown(
            limit_at, now, attempt.has_unread(), self.health
        )


def make_watcher(on_silence, health=None, clock=time.monotonic):
    """Make and start a `Watcher`.

    Without `health`, this process counts as never late.
    """
    health = health or localhealth.make_local_health()
    return Watcher(on_silence, health, clock).start()
