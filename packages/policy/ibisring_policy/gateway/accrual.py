"""Timeouts from the ratio of seen to expected times of recent requests.

A fixed timeout that suits an idle service makes every chain of a busy one
appear stalled.  As in accrual failure detectors [1]_, the suspicion grows
with the silence, by how improbable it is among the times seen recently.  The
samples are ratios to the expected time rather than times, since chains differ
in length and prompts in size; their logarithms are taken as normally
distributed, since slowness multiplies times.

References
----------
.. [1] N. Hayashibara et al., "The phi accrual failure detector", SRDS 2004.
"""

__all__ = ['Tracker', 'make_tracker', 'should_move']

import collections
import math
import statistics

# Samples kept, and for how many seconds: long enough for a stable deviation,
# short enough that the timeouts fall soon after a load has ended.
MAX_SAMPLES = 100
SAMPLE_SECONDS = 10.0
# Samples below which assumed ones fill up: of ratio 1, with this deviation of
# the logarithm.
MIN_SAMPLES = 10
ASSUMED_DEVIATION = 0.25
# Equal times in a row must not make a slightly longer one suspicious.
MIN_DEVIATION = 0.1
# Bounds of a ratio, so that one outlier doesn't dominate the deviation.
MIN_RATIO = 0.1
MAX_RATIO = 30.0
# Suspicion at which a silence is no longer explained: of 1,000 requests of
# chains that run, one would be silent for longer.
SUSPICION = 3.0
# Lowest probability for which the suspicion is computed.
MIN_PROBABILITY = 1e-30
# Seconds without an event after which callers leave.
LEAVE_SECONDS = 2.0

_NORMAL = statistics.NormalDist()
_DEVIATIONS = {SUSPICION: _NORMAL.inv_cdf(1.0 - 10.0**-SUSPICION)}


class Tracker:
    """Ratios of seen to expected times, and the timeouts that follow.

    Parameters
    ----------
    max_seconds : float
        Upper bound of a timeout.
    clock : callable

    Examples
    --------
    >>> tracker = make_tracker(1.2, lambda: 0.0)
    >>> tracker.timeout(0.01, 0.2)
    0.2
    >>> for _ in range(50):
    ...     tracker.note(0.1, 0.4)
    >>> 0.4 < tracker.timeout(0.1, 0.2) < 0.7
    True
    """

    __slots__ = (
        'max_seconds',
        'clock',
        'samples',
        'total',
        'squares',
        'finished',
        'finished_total',
    )

    def __init__(self, max_seconds, clock):
        self.max_seconds = max_seconds
        self.clock = clock
        self.samples = collections.deque()
        self.total = 0.0
        self.squares = 0.0
        self.finished = 0
        self.finished_total = 0.0

    def note(self, expected, seen, is_finished=True):
        """Note how long an event took, and how long it was expected to take.

        An attempt that ended without the event counts with its wait: without
        these the timeouts would stay short while chains are slow.

        Parameters
        ----------
        expected, seen : float
            Seconds.
        is_finished : bool
            Whether the event came.
        """
        if expected <= 0.0:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, seen / expected))
        value = math.log(ratio)
        self.samples.append((self.clock(), value, is_finished))
        self._add(value, is_finished, 1)
        self._expire()

    def _add(self, value, is_finished, sign):
        self.total += sign * value
        self.squares += sign * value * value
        if is_finished:
            self.finished += sign
            self.finished_total += sign * value

    def _expire(self):
        oldest = self.clock() - SAMPLE_SECONDS
        samples = self.samples
        while samples and (
            samples[0][0] < oldest or len(samples) > MAX_SAMPLES
        ):
            _, value, is_finished = samples.popleft()
            self._add(value, is_finished, -1)
        if not samples:
            self.total = self.squares = self.finished_total = 0.0

    def _distribution(self):
        """Return mean and deviation of the logarithm of the ratios."""
        self._expire()
        count = len(self.samples)
        assumed = max(0, MIN_SAMPLES - count)
        weight = count + assumed
        mean = self.total / weight
        squares = self.squares + assumed * ASSUMED_DEVIATION**2
        variance = squares / weight - mean * mean
        return mean, max(MIN_DEVIATION, math.sqrt(max(0.0, variance)))

    def typical(self, expected):
        """Return the time that half of the requests take at most."""
        return expected * math.exp(self._distribution()[0])

    def typical_finished(self, expected):
        """Return the typical time of the events that came.

        Waits for a chain that hangs say nothing of the other chains.
        """
        self._expire()
        count = max(MIN_SAMPLES, self.finished)
        return expected * math.exp(self.finished_total / count)

    def timeout(self, expected, min_seconds=0.0, suspicion=SUSPICION):
        """Return the silence at which the suspicion reaches a value.

        Parameters
        ----------
        expected : float
            Seconds.
        min_seconds : float
            Lower bound of the timeout.
        suspicion : float
        """
        deviations = _DEVIATIONS.get(suspicion)
        if deviations is None:
            deviations = _NORMAL.inv_cdf(1.0 - 10.0**-suspicion)
        mean, deviation = self._distribution()
        seconds = expected * math.exp(mean + deviations * deviation)
        return max(min_seconds, min(self.max_seconds, seconds))

    def suspicion(self, expected, waited):
        """Return the suspicion after a silence.

        Returns
        -------
        float
            Negative decimal logarithm of the probability that an event of a
            running chain takes longer.
        """
        if expected <= 0.0 or waited <= 0.0:
            return 0.0
        mean, deviation = self._distribution()
        distance = (math.log(waited / expected) - mean) / deviation
        probability = 0.5 * math.erfc(distance / math.sqrt(2.0))
        return -math.log10(max(MIN_PROBABILITY, probability))


def should_move(waited, total, explained, other):
    """Return whether a stream that is behind continues sooner elsewhere.

    Parameters
    ----------
    waited : float
        Seconds since its last event.
    total : float
        Seconds that the next event takes over its present chain.
    explained : float
        Seconds of silence that load explains; after them a fault that status
        queries don't show is more likely than slowness.
    other : float
        Seconds that the next event takes over the other chain.

    Examples
    --------
    >>> should_move(0.5, 0.9, 1.2, 0.3), should_move(0.5, 0.7, 1.2, 0.3)
    (True, False)
    >>> should_move(1.3, 0.9, 1.2, 0.3), should_move(1.8, 0.9, 1.2, 0.3)
    (True, False)
    """
    if waited < LEAVE_SECONDS <= waited + other:
        # The prompt would be read again for a caller that has left.  A caller
        # that is still there after this time waits longer than most.
        return False
    return waited >= explained or other < total - waited


def make_tracker(max_seconds, clock):
    """Make a `Tracker` without samples."""
    return Tracker(max_seconds, clock)
