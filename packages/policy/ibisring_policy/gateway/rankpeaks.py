"""Recent peaks of what the more urgent ranks of a service use together."""

__all__ = ['Peaks', 'make_peaks']

import collections

# How long a peak counts.  Bursts of urgent requests recur within seconds; a
# longer memory would keep room free that no request comes for.
PEAK_SECONDS = 10.0
# Resolution in time: a peak counts for up to this much longer.
BUCKET_SECONDS = 0.5


class Peaks:
    """Peaks by rank; a smaller rank is more urgent.

    Attributes
    ----------
    buckets : collections.deque of (float, dict)
        Start of a period, and by rank the most that this rank and the more
        urgent ones used together in it.

    Examples
    --------
    >>> peaks = make_peaks()
    >>> peaks.record({(0, 0): 70, (0, 1): 20}, 100.0)
    >>> peaks.record({(0, 0): 10, (0, 1): 90}, 105.0)
    >>> peaks.more_urgent((0, 1)), peaks.more_urgent((0, 2))
    (70, 100)
    >>> peaks.record({}, 111.0)
    >>> peaks.more_urgent((0, 1))
    10
    """

    __slots__ = ('buckets',)

    def __init__(self):
        self.buckets = collections.deque()

    def record(self, use, now):
        """Record the present use by rank, and drop expired peaks."""
        buckets = self.buckets
        while buckets and buckets[0][0] <= now - PEAK_SECONDS - BUCKET_SECONDS:
            buckets.popleft()
        if not buckets or buckets[-1][0] <= now - BUCKET_SECONDS:
            buckets.append((now, {}))
        highest = buckets[-1][1]
        total = 0
        for rank in sorted(use):
            total += use[rank]
            highest[rank] = max(highest.get(rank, 0), total)

    def shift(self, seconds):
        """Keep all peaks for longer."""
        self.buckets = collections.deque(
            (at + seconds, highest) for at, highest in self.buckets
        )

    def more_urgent(self, rank):
        """Return the peak of the ranks that are more urgent than one."""
        return max(
            (
                amount
                for _, highest in self.buckets
                for each, amount in highest.items()
                if each < rank
            ),
            default=0,
        )

    def ranks(self):
        """Return the ranks that had requests."""
        return {rank for _, highest in self.buckets for rank in highest}


def make_peaks():
    """Make `Peaks` without any."""
    return Peaks()
