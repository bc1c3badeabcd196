"""Measures how fast waiting requests of a service are granted chains."""

__all__ = ['GrantRate', 'make_grant_rate']

import collections

# Period over which grants are counted, in seconds: long enough for a few
# grants at a router of a large fleet, which makes about one a second.
WINDOW_SECONDS = 10.0
# Seconds that the rate of all grants weighs against the rate while requests
# wait: a shortage of milliseconds says little about the rate.
PRIOR_SECONDS = 1.0
# Lower bound of requests per second, so that times stay finite.
MIN_REQUEST_RATE = 0.05
# Bound on the grants kept: at high rates the window is shorter.
MAX_GRANTS = 2000


class GrantRate:
    """Rate of grants while requests wait; the caller holds a lock.

    The rate of grants without waiting is that of the arrivals and only a
    lower bound of what can be served.  It is used until requests have waited
    for some time.
    """

    __slots__ = ('grants', 'shortages', 'short_since')

    def __init__(self):
        self.grants = collections.deque(maxlen=MAX_GRANTS)
        self.shortages = collections.deque(maxlen=MAX_GRANTS)
        self.short_since = None

    def begin_shortage(self, now):
        """Record that the next request to serve found no chain."""
        if self.short_since is None:
            self.short_since = now

    def end_shortage(self, now):
        """Record that no request waits any more."""
        if self.short_since is not None:
            self.shortages.append((self.short_since, now))
            self.short_since = None

    def note(self, cost, now):
        """Record a grant."""
        self.grants.append((now, cost, self.short_since is not None))

    def _expire(self, now):
        since = now - WINDOW_SECONDS
        while self.grants and self.grants[0][0] <= since:
            self.grants.popleft()
        while self.shortages and self.shortages[0][1] <= since:
            self.shortages.popleft()

    def _short_seconds(self, now):
        since = now - WINDOW_SECONDS
        total = sum(end - max(at, since) for at, end in self.shortages)
        if self.short_since is not None:
            total += now - max(self.short_since, since)
        return total

    def requests(self, now):
        """Return the requests granted per second, None if none was."""
        self._expire(now)
        if not self.grants:
            return None
        in_shortage = sum(each[2] for each in self.grants)
        rate = self._weigh(in_shortage, len(self.grants), now)
        return max(MIN_REQUEST_RATE, rate)

    def tokens(self, now):
        """Return the tokens granted per second, None if no request was."""
        requests = self.requests(now)
        if requests is None:
            return None
        mean_cost = sum(each[1] for each in self.grants) / len(self.grants)
        in_shortage = sum(cost for _, cost, short in self.grants if short)
        total = mean_cost * len(self.grants)
        rate = self._weigh(in_shortage, total, now)
        return max(MIN_REQUEST_RATE * max(1.0, mean_cost), rate)

    def _weigh(self, in_shortage, total, now):
        prior = total / WINDOW_SECONDS * PRIOR_SECONDS
        return (in_shortage + prior) / (
            self._short_seconds(now) + PRIOR_SECONDS
        )


def make_grant_rate():
    """Make a `GrantRate` without grants."""
    return GrantRate()
