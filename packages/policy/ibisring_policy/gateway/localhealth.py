"""How late this process runs, for those who judge others by time limits.

A process that gets no processor time sees every time limit pass at once.  What
it then takes for the silence of an endpoint, a router or the store is its own
[1]_.  Waits that ended later than they were due show for which time a process
stood still.

References
----------
.. [1] A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness
   for More Accurate Failure Detection", DSN-W 2018.
"""

__all__ = ['LocalHealth', 'make_local_health']

import collections
import threading

# Waits that end later than due by less say nothing: timers are that inexact.
MIN_LATENESS_SECONDS = 0.005
# Longer than any time limit that is compared with it.
KEPT_SECONDS = 10.0


class LocalHealth:
    """Spans for which the process stood still; any thread may call it.

    Attributes
    ----------
    due : float or None
        When the present wait ends, None before the first one.
    stalls : collections.deque of (float, float)
        Start and end of each span.

    Examples
    --------
    >>> health = make_local_health()
    >>> health.begin_wait(10.05)
    >>> health.end_wait(10.35)
    >>> round(health.lateness(10.0, 10.4), 2)
    0.3
    >>> round(health.running_seconds(10.0, 10.4), 2)
    0.1
    """

    def __init__(self):
        self.due = None
        self.stalls = collections.deque()
        self.lock = threading.Lock()

    def begin_wait(self, due):
        """Record that a wait begins which should end at `due`."""
        with self.lock:
            self.due = due

    def end_wait(self, now):
        """Record that the wait has ended."""
        with self.lock:
            if self.due is not None:
                self._record(self.due, now)
            self.due = None

    def _record(self, due, now):
        if now - due >= MIN_LATENESS_SECONDS:
            self.stalls.append((due, now))
        while self.stalls and self.stalls[0][1] < now - KEPT_SECONDS:
            self.stalls.popleft()

    def lateness(self, since, now):
        """Return the seconds of the longest stall in a span.

        A wait that should have ended counts as a stall up to now.

        Parameters
        ----------
        since, now : float

        Returns
        -------
        float
        """
        return max(self._overlaps(since, now), default=0.0)

    def longest_stall(self, since, until):
        """Return the seconds of the longest stall that ended in a span.

        Parameters
        ----------
        since, until : float

        Returns
        -------
        float

        Examples
        --------
        >>> health = make_local_health()
        >>> health.begin_wait(10.0)
        >>> health.end_wait(12.0)
        >>> health.longest_stall(11.0, 12.0), health.longest_stall(9.0, 11.0)
        (2.0, 0.0)
        """
        with self.lock:
            stalls = list(self.stalls)
        return max(
            (end - at for at, end in stalls if since < end <= until),
            default=0.0,
        )

    def running_seconds(self, since, now):
        """Return the seconds of a span in which the process didn't stall.

        Parameters
        ----------
        since, now : float

        Returns
        -------
        float
        """
        return max(0.0, now - since - sum(self._overlaps(since, now)))

    def span_start(self, seconds, now):
        """Return since when the process ran for some seconds.

        For the age of what others sent, which this process could not receive
        while it stood still.

        Parameters
        ----------
        seconds, now : float

        Returns
        -------
        float

        Examples
        --------
        >>> health = make_local_health()
        >>> health.begin_wait(10.0)
        >>> health.end_wait(12.0)
        >>> health.span_start(2.0, 13.0)
        9.0
        """
        start = now
        for at, end in reversed(self._list_stalls(now)):
            ran = max(0.0, start - end)
            if ran >= seconds:
                break
            seconds -= ran
            start = min(start, at)
        return start - seconds

    def _list_stalls(self, now):
        with self.lock:
            stalls = list(self.stalls)
            if self.due is not None:
                if now - self.due >= MIN_LATENESS_SECONDS:
                    stalls.append((self.due, now))
        return stalls

    def _overlaps(self, since, now):
        overlaps = [
            min(end, now) - max(at, since)
            for at, end in self._list_stalls(now)
        ]
        return [seconds for seconds in overlaps if seconds > 0.0]


def make_local_health():
    """Make a `LocalHealth` of a process that has not stalled."""
    return LocalHealth()
