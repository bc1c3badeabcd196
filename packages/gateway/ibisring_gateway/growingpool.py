"""Threads that serve callers' requests."""

__all__ = ['GrowingPool', 'make_growing_pool']

import logging
import threading
import time

from cheroot.workers import threadpool
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Threads beyond those that the present connections need.
SPARE_THREADS = 8
# Pause after a thread could not be started.
RETRY_SECONDS = 1.0


class GrowingPool(threadpool.ThreadPool):
    """A thread pool with a thread for each connection that needs one.

    Each stream occupies a thread until it ends, and the number of streams
    depends on how many other routers are down; a pool sized for the worst
    case would waste memory all the time.  cheroot's own pool blocks the
    thread that accepts connections for a tenth of a second while new threads
    start; this one doesn't.

    A thread that cannot be started, at the system's limit or for lack of
    memory, is tried again later; the threads there are serve meanwhile.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
    first, limit : int
        Threads at the start and at most.
    clock : callable
        Monotonic.

    Attributes
    ----------
    load : int
        Connections that are queued or held by a thread.  Threads that look
        idle may be about to take a queued connection, so counting those
        would start too few in a burst, after which nothing starts more.
    failed_starts : int
        Times that a thread could not be started.
    """

    def __init__(self, server, first, limit, clock=time.monotonic):
        super().__init__(server, min=first, max=limit)
        self.clock = clock
        self.load = 0
        self.failed_starts = 0
        self.retry_at = None
        self.holders = set()
        self.lock = threading.Lock()
        self.growth_lock = threading.Lock()
        self.get = self.take

    def put(self, obj):
        """Queue a connection, and start the threads that are missing."""
        with self.lock:
            self.load += 1
        super().put(obj)
        self.grow_as_needed()

    def grow_as_needed(self):
        """Start the threads that are missing, unless one failed just now."""
        if self.missing() > 0 and self._may_start():
            with self.growth_lock:
                self.grow(self.missing())

    def _may_start(self):
        # Read once: another thread may reset it meanwhile.
        retry_at = self.retry_at
        return retry_at is None or self.clock() >= retry_at

    def take(self):
        """Return the next connection; the one taken before is done with."""
        holder = threading.get_ident()
        self._release(holder)
        obj = self._queue.get()
        with self.lock:
            self.holders.add(holder)
        return obj

    def _release(self, holder):
        with self.lock:
            if holder in self.holders:
                self.holders.remove(holder)
                self.load -= 1

    def missing(self):
        """Return how many threads fewer there are than are needed."""
        needed = max(self.min, self.load + SPARE_THREADS)
        return needed - len(self._threads)

    def grow(self, amount):
        """Start threads, within the limit, until one cannot be started."""
        spare = max(self.max - len(self._threads), 0)
        for _ in range(min(amount, spare)):
            if not self._may_start():
                return
            try:
                worker = self._spawn_worker()
            except RuntimeError as error:
                self._note_failure(error)
                return
            self._threads.append(worker)
            self._note_success()

    def _note_failure(self, error):
        """Put off the next try; log the first of several failures."""
        self.failed_starts += 1
        if self.retry_at is None:
            self._log('thread_start_failed', error=str(error))
        self.retry_at = self.clock() + RETRY_SECONDS

    def _note_success(self):
        if self.retry_at is not None:
            self.retry_at = None
            self._log('thread_start_recovered', failures=self.failed_starts)

    def _log(self, name, **facts):
        logs.event(
            LOG,
            name,
            threads=len(self._threads),
            load=self.load,
            **facts,
        )


def make_growing_pool(server, first, limit):
    """Make a `GrowingPool`.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
    first, limit : int
        Threads at the start and at most.
    """
    return GrowingPool(server, first, limit)
