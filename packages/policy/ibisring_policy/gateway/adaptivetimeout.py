"""A timeout that is estimated from response times.

A fixed timeout that suits an idle site makes every engine of a busy one appear
lost.  The estimate is that of TCP's retransmission timer [1]_: the smoothed
response time plus four times its smoothed deviation.

References
----------
.. [1] V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988.
"""

__all__ = ['AdaptiveTimeout', 'make_adaptive_timeout']

# Weights of the latest answer in the smoothed response time and deviation, and
# how many deviations the timeout adds.
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4.0
# The timeout grows by this factor after a false timeout, as in TCP: the
# estimate adapts to answers that arrive in time only.
BACKOFF_FACTOR = 1.5


class AdaptiveTimeout:
    """A timeout that adapts to the measured response times.

    Parameters
    ----------
    min_seconds, max_seconds : float
        Bounds of the timeout.

    Attributes
    ----------
    seconds : float
        The timeout.

    Examples
    --------
    >>> timeout = make_adaptive_timeout(0.035, 0.15)
    >>> timeout.seconds
    0.035
    >>> for _ in range(20):
    ...     timeout.answered(0.05)
    >>> 0.05 < timeout.seconds <= 0.15
    True
    """

    __slots__ = (
        'min_seconds',
        'max_seconds',
        'mean_seconds',
        'deviation_seconds',
        'seconds',
    )

    def __init__(self, min_seconds, max_seconds):
        self.min_seconds = min_seconds
        self.max_seconds = max_seconds
        self.mean_seconds = min_seconds / DEVIATIONS
        self.deviation_seconds = 0.0
        self.seconds = min_seconds

    def answered(self, seconds):
        """Record how long an answer took."""
        error = seconds - self.mean_seconds
        self.mean_seconds += MEAN_WEIGHT * error
        self.deviation_seconds += DEVIATION_WEIGHT * (
            abs(error) - self.deviation_seconds
        )
        timeout = self.mean_seconds + DEVIATIONS * self.deviation_seconds
        self.seconds = min(self.max_seconds, max(self.min_seconds, timeout))

    def false_timeout(self):
        """Record that an endpoint was alive after a timeout."""
        self.seconds = min(self.max_seconds, self.seconds * BACKOFF_FACTOR)


def make_adaptive_timeout(min_seconds, max_seconds):
    """Make an `AdaptiveTimeout` without measured answers."""
    return AdaptiveTimeout(min_seconds, max_seconds)
