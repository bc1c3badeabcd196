"""When refused callers are told to come back."""

__all__ = ['ReturnTimes', 'make_return_times']

import collections

# No refused caller is told to return sooner, in seconds: callers retry once or
# twice only, and a shortage rarely ends within less.
MIN_SECONDS = 0.7
# Nor later: engines that were lost have been replaced by then.
MAX_SECONDS = 6.0
# Upper bound of the most urgent rank as a share of `MAX_SECONDS`.  The bounds
# of the other ranks rise evenly to `MAX_SECONDS`, that of the lowest rank, so
# that callers return in order of rank even if every rank is at its bound.
MIN_MAXIMUM_SHARE = 0.5
# Times at the maximum are spread over this last share of it.
SPREAD_SHARE = 0.25
# Even if more urgent requests take everything, lower ranks expect this share
# of the grants, see `requestqueue.FLOOR_SHARE`.
MIN_RATE_SHARE = 0.25
# Bound on the returns remembered.
MAX_RETURNS = 1000


class ReturnTimes:
    """Expected returns of refused callers; the caller holds a lock.

    Each refused caller is given a place behind those of its rank or a more
    urgent one that are still to return, at the rate of grants that more
    urgent arrivals leave.  So callers return at the rate at which they can be
    served, not all at once.
    """

    __slots__ = ('expected',)

    def __init__(self):
        self.expected = collections.deque(maxlen=MAX_RETURNS)

    def assign(self, rank, waiting, rate, urgent_rate, position, now, draw):
        """Return the seconds after which a refused caller may return.

        Parameters
        ----------
        rank : tuple of int
        waiting : int
            Requests that wait, of this rank or more urgent ones.
        rate : float
            Grants per second.
        urgent_rate : float
            Arrivals per second of more urgent requests.
        position : float
            Of the rank among recent ranks, from 0 (most urgent) to 1.
        now : float
        draw : float
            Random number from 0 to 1.
        """
        self._expire(now)
        ahead = waiting + sum(1 for _, r in self.expected if r <= rank)
        free_rate = max(rate - urgent_rate, MIN_RATE_SHARE * rate)
        seconds = MIN_SECONDS + (ahead + draw) / free_rate
        maximum = MAX_SECONDS * (
            MIN_MAXIMUM_SHARE + (1.0 - MIN_MAXIMUM_SHARE) * position
        )
        if seconds > (1.0 - SPREAD_SHARE) * maximum:
            seconds = maximum * (1.0 - SPREAD_SHARE * (1.0 - draw))
        self.expected.append((now + seconds, rank))
        return seconds

    def _expire(self, now):
        if any(at <= now for at, _ in self.expected):
            due = [each for each in self.expected if each[0] > now]
            self.expected.clear()
            self.expected.extend(due)


def make_return_times():
    """Make a `ReturnTimes` without expected returns."""
    return ReturnTimes()
