"""How long to wait for an answer, from how long answers took.

A fixed limit that fits a calm site takes every engine of a busy one for lost.
The estimate is that of TCP's retransmission timer: the smoothed time of an
answer and four of its smoothed deviations.

References
----------
.. [1] V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988.
"""

__all__ = ['Patience', 'make_patience']

# Weights of the latest answer in its smoothed time and deviation, and how many
# deviations are waited for.
TIME_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4.0
# Without an answer in time the limit grows by this factor, as in TCP: answers
# that come too late are never seen, and would teach nothing.
GROWTH = 1.5


class Patience:
    """A limit in seconds that follows the answers seen.

    Parameters
    ----------
    least, most : float
        Bounds of the limit.

    Examples
    --------
    >>> patience = make_patience(0.035, 0.15)
    >>> patience.limit
    0.035
    >>> for _ in range(20):
    ...     patience.answered(0.05)
    >>> 0.05 < patience.limit <= 0.15
    True
    """

    __slots__ = ('least', 'most', 'time', 'deviation', 'limit')

    def __init__(self, least, most):
        self.least = least
        self.most = most
        self.time = least / DEVIATIONS
        self.deviation = 0.0
        self.limit = least

    def answered(self, seconds):
        """Note how long an answer took."""
        error = seconds - self.time
        self.time += TIME_WEIGHT * error
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)
        limit = self.time + DEVIATIONS * self.deviation
        self.limit = min(self.most, max(self.least, limit))

    def late_but_alive(self):
        """Note that an endpoint taken for lost by this limit was alive."""
        self.limit = min(self.most, self.limit * GROWTH)


def make_patience(least, most):
    """Make a `Patience` that has seen no answer."""
    return Patience(least, most)
