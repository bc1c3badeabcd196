"""Threads that serve callers' requests."""

__all__ = ['GrowingPool', 'make_growing_pool']

import logging
import threading
import time

from cheroot.workers import threadpool
from ibisring_policy.gateway import threadcounts
from ibisring_router import logs

LOG = logging.getLogger(__name__)


class GrowingPool(threadpool.ThreadPool):
    """A thread pool with a thread for each connection that needs one.

    Each stream occupies a thread until it ends, and the number of streams
    depends on how many other routers are down; a pool sized for the worst
    case would waste memory all the time.  cheroot's own pool blocks the
    thread that accepts connections for a tenth of a second while new threads
    start; here the threads that take connections start the next ones.

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
    counts : threadcounts.ThreadCounts
        Used with `lock` held.
    holders : set of int
        The threads that serve a connection.
    """

    def __init__(self, server, first, limit, clock=time.monotonic):
        super().__init__(server, min=first, max=limit)
        self.clock = clock
        self.counts = threadcounts.make_thread_counts(first, limit)
        self.holders = set()
        self.is_stopping = False
        self.lock = threading.Lock()
        self.get = self.take

    @property
    def load(self):
        """Connections with a request under way."""
        return self.counts.load

    @property
    def failed_starts(self):
        """Times that a thread could not be started."""
        return self.counts.failed_starts

    def put(self, obj):
        """Queue a connection for the next thread that is free."""
        with self.lock:
            self.counts.queued += 1
        super().put(obj)
        with self.lock:
            is_stuck = self.counts.is_stuck()
        if is_stuck:
            self.grow(1)

    def take(self):
        """Return the next connection; the one taken before is done with."""
        holder = threading.get_ident()
        self._release(holder)
        obj = self._queue.get()
        if obj is threadpool._SHUTDOWNREQUEST:
            return obj
        with self.lock:
            self.holders.add(holder)
            self.counts.held += 1
            self.counts.queued -= 1
        self.grow(threadcounts.STARTS_PER_CONNECTION)
        return obj

    def _release(self, holder):
        with self.lock:
            if holder in self.holders:
                self.holders.remove(holder)
                self.counts.held -= 1

    def grow(self, amount):
        """Start threads, as far as they are missing.

        Parameters
        ----------
        amount : int
            At most.
        """
        for _ in range(amount):
            with self.lock:
                if self.is_stopping or not self.counts.reserve(self.clock()):
                    return
            self._start_thread()

    def check(self):
        """Start a thread if none of the others will.

        Called now and again, for starts that failed.
        """
        with self.lock:
            is_needed = self.counts.is_stuck() or self.counts.is_incomplete()
        if is_needed:
            self.grow(1)

    def _start_thread(self):
        try:
            worker = self._spawn_worker()
        except (RuntimeError, MemoryError) as error:
            with self.lock:
                is_first = self.counts.note_failure(self.clock())
            if is_first:
                self._log('thread_start_failed', error=str(error))
            return
        with self.lock:
            self._add(worker)
            is_first = self.counts.note_success()
        if is_first:
            self._log('thread_start_recovered', failures=self.failed_starts)

    def _add(self, worker):
        self._threads.append(worker)
        if self.is_stopping:
            # `stop` didn't know of it.
            self._queue.put(threadpool._SHUTDOWNREQUEST)

    def _log(self, name, **facts):
        logs.event(
            LOG, name, threads=self.counts.threads, load=self.load, **facts
        )

    def stop(self, timeout=5):
        """Stop all threads; none is started any more."""
        with self.lock:
            self.is_stopping = True
        super().stop(timeout)


def make_growing_pool(server, first, limit):
    """Make a `GrowingPool`.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
    first, limit : int
        Threads at the start and at most.
    """
    return GrowingPool(server, first, limit)
