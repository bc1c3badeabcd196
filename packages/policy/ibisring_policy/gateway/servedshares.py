"""Which ranks, accounts and sizes of requests are served too rarely."""

__all__ = ['Arrival', 'ServedShares', 'make_served_shares']

import collections

import msgspec

# Requests that came within this many seconds are compared.
WINDOW_SECONDS = 10.0
# A rank or account is behind if it is served less often than this share of
# how often all requests are.  The guarantee is a quarter: the margin covers
# the time until a change shows in the counts.
SERVED_FLOOR = 1 / 3
# Large requests are behind if they are refused this many times as often as
# all requests.  The guarantee is twice: the margin covers the time until a
# change shows in the counts.
MAX_REFUSED_RATIO = 1.0
# The largest tenth of the requests counts as large, once there are enough.
LARGE_QUANTILE = 0.9
MIN_COSTS = 20
# The bound of large costs is computed anew after this many seconds.
LARGE_COST_SECONDS = 1.0
# Bound on the arrivals kept: under high load the period is shorter.
MAX_ARRIVALS = 2000
ALL = ('all',)
LARGE = ('large',)


class Arrival(msgspec.Struct):
    """A request that came; `groups` are those that it counts for.

    One that is forgotten is counted no longer.
    """

    at: float
    cost: float
    groups: tuple
    is_served: bool = False
    is_refused: bool = False
    is_forgotten: bool = False


class _Count:
    __slots__ = ('came', 'served', 'refused')

    def __init__(self):
        self.came = 0
        self.served = 0
        self.refused = 0

    def share(self, number):
        """Return a number's share of the requests decided so far."""
        return number / max(1, self.served + self.refused)


class ServedShares:
    """Counts recent requests by group; the caller holds a lock.

    Examples
    --------
    >>> shares = make_served_shares()
    >>> for _ in range(3):
    ...     shares.serve(shares.add((0, 0), 'a', 1.0, 10.0))
    ...     shares.refuse(shares.add((0, 2), 'b', 1.0, 10.0))
    >>> last = shares.add((0, 2), 'a', 1.0, 10.5)
    >>> shares.behind(last, 10.5)
    [('rank', (0, 2))]
    """

    __slots__ = (
        'arrivals',
        'counts',
        'large_cost',
        'usual_cost',
        'large_cost_at',
    )

    def __init__(self):
        self.arrivals = collections.deque()
        self.counts = {}
        self.large_cost = float('inf')
        self.usual_cost = 0.0
        self.large_cost_at = float('-inf')

    def add(self, rank, account, cost, now):
        """Count a request that came and return it as an `Arrival`."""
        self._expire(now)
        self._find_large_cost(now)
        groups = [ALL, ('rank', rank)]
        if account:
            groups.append(('account', account))
        if cost >= self.large_cost and cost > self.usual_cost:
            groups.append(LARGE)
        arrival = Arrival(now, cost, tuple(groups))
        self.arrivals.append(arrival)
        for group in groups:
            self.counts.setdefault(group, _Count()).came += 1
        return arrival

    def serve(self, arrival):
        """Record that a request is served."""
        if arrival.is_served or arrival.is_forgotten:
            return
        arrival.is_served = True
        for group in arrival.groups:
            self.counts[group].served += 1

    def refuse(self, arrival):
        """Record that a request is refused."""
        if arrival.is_refused or arrival.is_forgotten:
            return
        arrival.is_refused = True
        for group in arrival.groups:
            self.counts[group].refused += 1

    def _expire(self, now):
        since = now - WINDOW_SECONDS
        arrivals = self.arrivals
        while arrivals and (
            arrivals[0].at <= since or len(arrivals) >= MAX_ARRIVALS
        ):
            self._forget(arrivals.popleft())

    def _forget(self, arrival):
        arrival.is_forgotten = True
        for group in arrival.groups:
            count = self.counts[group]
            count.came -= 1
            count.served -= arrival.is_served
            count.refused -= arrival.is_refused
            if not count.came:
                del self.counts[group]

    def _find_large_cost(self, now):
        if now - self.large_cost_at < LARGE_COST_SECONDS:
            return
        self.large_cost_at = now
        costs = sorted(each.cost for each in self.arrivals)
        self.large_cost = float('inf')
        if len(costs) >= MIN_COSTS:
            self.large_cost = costs[int(LARGE_QUANTILE * len(costs))]
            self.usual_cost = costs[len(costs) // 2]

    def behind(self, arrival, now):
        """Return the groups of a request that are served too rarely."""
        self._expire(now)
        return [each for each in arrival.groups if self._is_behind(each)]

    def _is_behind(self, group):
        total, count = self.counts.get(ALL), self.counts.get(group)
        if group == ALL or count is None:
            return False
        if group == LARGE:
            usual = total.share(total.refused)
            return count.share(count.refused) > MAX_REFUSED_RATIO * usual
        decided = count.served + count.refused
        usual = total.share(total.served)
        return count.served < SERVED_FLOOR * usual * decided

    def urgent_rate(self, rank, now):
        """Return the arrivals per second that are more urgent than a rank."""
        self._expire(now)
        came = sum(
            count.came
            for group, count in self.counts.items()
            if group[0] == 'rank' and group[1] < rank
        )
        return came / WINDOW_SECONDS

    def ranks(self):
        """Return the ranks of recent requests, the most urgent one first."""
        return sorted(g[1] for g in self.counts if g[0] == 'rank')


def make_served_shares():
    """Make a `ServedShares` without requests."""
    return ServedShares()
