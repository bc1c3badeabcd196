"""How long to wait for an answer, from how long answers took.

A fixed limit that fits a calm site takes every engine of a busy one for lost.
The estimate is that of TCP's retransmission timer: the smoothed time of an
answer and four of its smoothed deviations.

References
----------
.. [1] V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988.
"""

__all__ = ['AdaptiveTimeout', 'make_adaptive_timeout']

# Weights of the latest answer in its smoothed time and deviation, and how many
# deviations are waited for.
TIME_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4.0
# Without an answer in time the limit grows by this factor, as in TCP: answers
# that come too late are never seen, and would teach nothing.
GROWTH = 1.5


class AdaptiveTimeout:
    """A limit in seconds that follows the answers seen.

    Parameters
    ----------
    min_seconds, max_seconds : float
        Bounds of the limit.

    Examples
    --------
    >>> patience = make_adaptive_timeout(0.035, 0.15)
    >>> patience.seconds
    0.035
    >>> for _ in range(20):
    ...     patience.answered(0.05)
    >>> 0.05 < patience.seconds <= 0.15
    True
    """

    __slots__ = ('min_seconds', 'max_seconds', 'time', 'deviation', 'seconds')

    def __init__(self, min_seconds, max_seconds):
        self.min_seconds = min_seconds
        self.max_seconds = max_seconds
        self.time = min_seconds / DEVIATIONS
        self.deviation = 0.0
        self.seconds = min_seconds

    def answered(self, seconds):
        """Note how long an answer took."""
        error = seconds - self.time
        self.time += TIME_WEIGHT * error
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)
        limit = self.time + DEVIATIONS * self.deviation
        self.seconds = min(self.max_seconds, max(self.min_seconds, limit))

    def false_timeout(self):
        """Note that an endpoint taken for lost by this limit was alive."""
        self.seconds = min(self.max_seconds, self.seconds * GROWTH)


def make_adaptive_timeout(min_seconds, max_seconds):
    """Make a `AdaptiveTimeout` that has seen no answer."""
    return AdaptiveTimeout(min_seconds, max_seconds)
