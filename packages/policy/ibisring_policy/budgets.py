"""Rate limit on calls to the table service, divided among all routers."""

__all__ = ['Urgency', 'StoreBudget', 'make_budget']

import enum
import math

BURST_SECONDS = 1.0
# Assumed number of routers until the VM list has been read once.
ROUTERS_IF_UNKNOWN = 100


class Urgency(enum.Enum):
    """Fraction of the burst that must be left for a call to be allowed.

    Background calls (polls, sweeps, delayed writes) leave half of it to
    calls that a caller or an operator waits for.
    """

    FOREGROUND = 0.0
    BACKGROUND = 0.5


class _TokenBucket:
    """Token bucket of reads or writes.

    It holds the calls of `BURST_SECONDS`, and at least one call.
    """

    __slots__ = ('total', 'level', 'updated')

    def __init__(self, total, now):
        self.total = total
        self.updated = now
        self.fill()

    def fill(self):
        """Fill the bucket; the next call caps the level at its size."""
        self.level = math.inf

    def take(self, routers, min_fraction, now):
        rate = self.total / routers
        size = max(1.0, rate * BURST_SECONDS)
        gained = (now - self.updated) * rate
        self.level = min(size, self.level + gained)
        self.updated = now
        if self.level < max(1.0, min_fraction * size):
            return False
        self.level -= 1.0
        return True


class StoreBudget:
    """Limits the calls of this router to the table service.

    Parameters
    ----------
    reads, writes : int
        Calls per second of all routers together.
    now : float

    Notes
    -----
    Each router uses an equal part of the limit, so no shared counter is
    needed.  In any `t` seconds all routers together make at most
    ``total * t`` calls plus one burst: the calls of one second, or one call
    per router if that is more.  This also holds when the service recovers
    and every router has queued work, or when all routers start at once.
    """

    def __init__(self, reads, writes, now):
        self.reads = _TokenBucket(reads, now)
        self.writes = _TokenBucket(writes, now)
        self.router_count_known = False

    def may_read(self, urgency, routers, now):
        """Charge a read; False if it exceeds the budget.

        Parameters
        ----------
        urgency : Urgency
        routers : int
            Routers on the VM list; 0 if it was never read.
        now : float
        """
        return self._take(self.reads, urgency, routers, now)

    def may_write(self, urgency, routers, now):
        """Charge a write; False if it exceeds the budget."""
        return self._take(self.writes, urgency, routers, now)

    def _take(self, bucket, urgency, routers, now):
        if routers and not self.router_count_known:
            self.router_count_known = True
            self.reads.fill()
            self.writes.fill()
        router_count = routers or ROUTERS_IF_UNKNOWN
        return bucket.take(router_count, urgency.value, now)


def make_budget(reads, writes, now):
    """Make the budget of one router."""
    return StoreBudget(reads, writes, now)
