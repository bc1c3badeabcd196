"""One thread that ends attempts whose caller left or whose time is up."""

__all__ = ['Attempt', 'Watcher', 'make_watcher']

import logging
import select
import socket
import threading
import time

from ibisring_policy.gateway import attempts

LOG = logging.getLogger(__name__)
# A caller's leaving shows at once.  The thread sleeps until some attempt is
# next due, within these bounds in seconds: at most a little less than the
# shortest time after which a stream that has just had an event is looked at,
# so that an attempt which comes while it sleeps is not late.
LEAST_SLEEP = 0.005
MOST_SLEEP = 0.05
IDLE_SLEEP = 1.0
_LEFT = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class Attempt:
    """One sending of a request to an endpoint.

    Attributes
    ----------
    end : attempts.End or None
        Why the watcher broke it off.
    may_change_endpoint : bool
        Whether the request may still go to another first endpoint.
    deadline, check_at : float
        Monotonic seconds: when to give up, and when to look at its stages.
    """

    __slots__ = (
        'request_id',
        'endpoint',
        'stages',
        'socket',
        'end',
        'deadline',
        'check_at',
        'sent_at',
        'last_event_at',
        'checks',
        'looking',
        'mean_gap',
        'events',
        'tokens',
        'moves',
        'stuck',
        'may_change_endpoint',
    )

    def __init__(self, request_id, endpoint, stages, deadline):
        self.request_id = request_id
        self.endpoint = endpoint
        self.stages = stages
        self.socket = None
        self.end = None
        self.deadline = deadline
        self.check_at = None
        self.sent_at = 0.0
        self.last_event_at = 0.0
        self.checks = 0
        self.looking = False
        self.mean_gap = 0.0
        self.events = 0
        self.tokens = 0.0
        self.moves = 0
        self.stuck = None
        self.may_change_endpoint = True

    def break_off(self, end):
        """End the attempt; the thread that reads it wakes up.

        Shutting the socket down is what wakes a thread that is blocked in a
        read of it; closing it would not.
        """
        if self.end is None:
            self.end = end
        sock = self.socket
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError as error:
                LOG.debug('already_closed %s', error)


class Watcher:
    """Watches callers' sockets and the times of attempts.

    Parameters
    ----------
    on_silence : callable
        Called with an attempt that has been silent for too long.
    clock : callable
    """

    def __init__(self, on_silence, clock=time.monotonic):
        self.on_silence = on_silence
        self.clock = clock
        self.epoll = select.epoll()
        self.lock = threading.Lock()
        self.by_fd = {}
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.epoll.register(self.wake_reader.fileno(), select.EPOLLIN)
        self.stopped = False
        self.thread = threading.Thread(target=self._loop, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()
        return self

    def stop(self):
        """End the thread."""
        self.stopped = True
        self.wake_writer.send(b'x')

    def add(self, caller_socket, attempt):
        """Watch an attempt until `remove`."""
        fd = caller_socket.fileno()
        with self.lock:
            was_idle = not self.by_fd
            known = fd in self.by_fd
            self.by_fd[fd] = attempt
            if not known:
                self.epoll.register(fd, _LEFT)
        if was_idle:
            self.wake_writer.send(b'x')

    def remove(self, caller_socket):
        """Stop watching; the caller's socket is still open."""
        fd = caller_socket.fileno()
        with self.lock:
            if self.by_fd.pop(fd, None) is not None:
                self._unregister(fd)

    def count(self):
        """Give how many attempts are under way."""
        return len(self.by_fd)

    def all(self):
        """Give the attempts under way."""
        with self.lock:
            return list(self.by_fd.values())

    def _unregister(self, fd):
        try:
            self.epoll.unregister(fd)
        except (OSError, ValueError) as error:
            LOG.debug('not_registered %s', error)

    def _loop(self):
        while not self.stopped:
            for fd, _ in self.epoll.poll(self.sleep(self.clock())):
                self._on_event(fd)
            self.look(self.clock())

    def sleep(self, now):
        """Give the seconds until an attempt is next due."""
        if not self.by_fd:
            return IDLE_SLEEP
        dues = [now + MOST_SLEEP]
        for attempt in self.all():
            dues.append(attempt.deadline)
            if attempt.check_at is not None and not attempt.looking:
                dues.append(attempt.check_at)
        return max(LEAST_SLEEP, min(dues) - now)

    def _on_event(self, fd):
        if fd == self.wake_reader.fileno():
            self.wake_reader.recv(4096)
            return
        with self.lock:
            attempt = self.by_fd.get(fd)
            self._unregister(fd)
        if attempt is not None:
            attempt.break_off(attempts.End.CALLER_GONE)

    def look(self, now):
        """Break off what is out of time; report what is silent."""
        for attempt in self.all():
            if now >= attempt.deadline:
                attempt.break_off(attempts.End.DEADLINE)
            elif attempt.check_at is not None and now >= attempt.check_at:
                if not attempt.looking and attempt.end is None:
                    attempt.looking = True
                    self.on_silence(attempt)


def make_watcher(on_silence, clock=time.monotonic):
    """Make and start a `Watcher`."""
    return Watcher(on_silence, clock).start()
