"""The budget of calls to the table service, shared by all routers."""

__all__ = ['Urgency', 'StoreBudget', 'make_budget']

import enum
import math

BURST_SECONDS = 1.0
# A router that never read the VM list takes itself for one of so many.
ROUTERS_IF_UNKNOWN = 100


class Urgency(enum.Enum):
    """How much of the budget must be left for a call to be made.

    Polls, sweeps and late writes leave half of it to what a caller or an
    operator waits for.
    """

    FOREGROUND = 0.0
    BACKGROUND = 0.5


class _Bucket:
    """Calls of one kind; holds a second's worth, one call at least."""

    __slots__ = ('total', 'level', 'updated')

    def __init__(self, total, now):
        self.total = total
        self.updated = now
        self.fill()

    def fill(self):
        """Fill it, to the size that the next call finds."""
        self.level = math.inf

    def take(self, routers, kept, now):
        rate = self.total / routers
        size = max(1.0, rate * BURST_SECONDS)
        gained = (now - self.updated) * rate
        self.level = min(size, self.level + gained)
        self.updated = now
        if self.level < max(1.0, kept * size):
            return False
        self.level -= 1.0
        return True


class StoreBudget:
    """Says whether this router may call the table service now.

    Parameters
    ----------
    reads, writes : int
        Calls a second for all routers together.
    now : float

    Notes
    -----
    Each router keeps to an equal part, so nothing has to be counted in
    common.  In any `t` seconds the fleet makes at most ``total * t`` calls,
    and one second's worth (or one call a router, if that is more) besides:
    also when the service comes back and every router has work left over,
    or when all of them start at once.
    """

    def __init__(self, reads, writes, now):
        self.reads = _Bucket(reads, now)
        self.writes = _Bucket(writes, now)
        self.knows_routers = False

    def may_read(self, urgency, routers, now):
        """Take a read; False if it must not be made.

        Parameters
        ----------
        urgency : Urgency
        routers : int
            On the VM list; 0 if that was never read.
        now : float
        """
        return self._take(self.reads, urgency, routers, now)

    def may_write(self, urgency, routers, now):
        """Take a write; False if it must not be made."""
        return self._take(self.writes, urgency, routers, now)

    def _take(self, bucket, urgency, routers, now):
        if routers and not self.knows_routers:
            self.knows_routers = True
            self.reads.fill()
            self.writes.fill()
        sharing = routers or ROUTERS_IF_UNKNOWN
        return bucket.take(sharing, urgency.value, now)


def make_budget(reads, writes, now):
    """Make the budget of one router."""
    return StoreBudget(reads, writes, now)
