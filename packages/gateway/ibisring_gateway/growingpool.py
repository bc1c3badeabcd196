"""Threads that serve callers' requests."""

__all__ = ['GrowingPool']

from cheroot.workers import threadpool


class GrowingPool(threadpool.ThreadPool):
    """A thread pool that grows while all of its threads are busy.

    Each stream occupies a thread until it ends, and the number of streams
    depends on how many other routers are down; a pool sized for the worst
    case would waste memory all the time.  cheroot's own pool blocks the
    thread that accepts connections for a tenth of a second while new threads
    start; this one doesn't.
    """

    GROWTH_STEP = 8

    def put(self, obj):
        if self.idle <= 1:
            self.grow(self.GROWTH_STEP)
        super().put(obj)

    def grow(self, amount):
        spare = max(self.max - len(self._threads), 0)
        for _ in range(min(amount, spare)):
            self._threads.append(self._spawn_worker())
