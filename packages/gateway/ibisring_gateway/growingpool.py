"""Threads that serve callers' requests."""

__all__ = ['GrowingPool', 'make_growing_pool']

import threading

from cheroot.workers import threadpool

# Threads beyond those that the present connections need.
SPARE_THREADS = 8


class GrowingPool(threadpool.ThreadPool):
    """A thread pool with a thread for each connection that needs one.

    Each stream occupies a thread until it ends, and the number of streams
    depends on how many other routers are down; a pool sized for the worst
    case would waste memory all the time.  cheroot's own pool blocks the
    thread that accepts connections for a tenth of a second while new threads
    start; this one doesn't.

    Attributes
    ----------
    load : int
        Connections that are queued or held by a thread.  Threads that look
        idle may be about to take a queued connection, so counting those
        would start too few in a burst, after which nothing starts more.
    """

    def __init__(self, server, first, limit):
        super().__init__(server, min=first, max=limit)
        self.load = 0
        self.holders = set()
        self.lock = threading.Lock()
        self.growth_lock = threading.Lock()
        self.get = self.take

    def put(self, obj):
        """Queue a connection, and start the threads that are missing."""
        with self.lock:
            self.load += 1
        super().put(obj)
        if self.missing() > 0:
            with self.growth_lock:
                self.grow(self.missing())

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
        return self.load + SPARE_THREADS - len(self._threads)

    def grow(self, amount):
        """Start threads, within the limit."""
        spare = max(self.max - len(self._threads), 0)
        for _ in range(min(amount, spare)):
            self._threads.append(self._spawn_worker())


def make_growing_pool(server, first, limit):
    """Make a `GrowingPool`.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
    first, limit : int
        Threads at the start and at most.
    """
    return GrowingPool(server, first, limit)
