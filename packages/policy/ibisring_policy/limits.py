"""Rate limits per client account, divided among all routers."""

__all__ = ['share_of_limit', 'TokenBucket', 'AccountLimits']

from ibisring_records import exceptions

BURST_SECONDS = 2.0
DEMAND_HALF_LIFE_SECONDS = 5.0
EVEN_SHARE = 0.5


def share_of_limit(limit, own_demand, peer_demands, routers):
    """Return this router's part of an account's limit.

    Parameters
    ----------
    limit : float
        Tokens per second over all routers.
    own_demand : float
        Tokens per second requested at this router.
    peer_demands : iterable of float
        The same at peers, as last reported by them.
    routers : int
        Routers that accept callers, including this one.

    Returns
    -------
    float

    Notes
    -----
    Half of the limit is split evenly, so that a router that just started,
    or that receives nothing from its peers, can serve some requests; the
    other half is split in proportion to demand.  If all routers know the
    same demands, the parts sum to at most the limit without any shared
    counter.

    Examples
    --------
    >>> share_of_limit(100.0, 30.0, [10.0], 2)
    62.5
    """
    even = limit * EVEN_SHARE / max(1, routers)
    total = own_demand + sum(peer_demands)
    if total <= 0.0:
        return limit / max(1, routers)
    return even + limit * (1.0 - EVEN_SHARE) * (own_demand / total)


class TokenBucket:
    """Token bucket that holds up to `BURST_SECONDS` of its rate."""

    __slots__ = ('rate', 'level', 'updated')

    def __init__(self, rate, now):
        self.rate = rate
        self.level = rate * BURST_SECONDS
        self.updated = now

    def refill(self, now):
        """Add the tokens gained up to a time."""
        gained = (now - self.updated) * self.rate
        self.level = min(self.rate * BURST_SECONDS, self.level + gained)
        self.updated = now

    def take(self, cost, now):
        """Charge a cost if the level is positive.

        Returns
        -------
        float
            0 if charged, else seconds until it may be tried again.

        Notes
        -----
        A cost may exceed the bucket's size, so a request may make the level
        negative; the next one must wait until it is positive again.
        """
        self.refill(now)
        if self.level > 0.0:
            self.level -= cost
            return 0.0
        return max(0.01, -self.level / self.rate)

    def refund(self, cost):
        """Refund the cost of a request that did not run."""
        self.level = min(self.rate * BURST_SECONDS, self.level + cost)


class AccountLimits:
    """The buckets of all limited accounts on this router."""

    def __init__(self):
        self.buckets = {}
        self.demands = {}
        self.peer_demands = {}
        self.routers = 1

    def demand(self, account, now):
        """Return the tokens per second an account requests at this router."""
        level, updated = self.demands.get(account, (0.0, now))
        return level * 0.5 ** ((now - updated) / DEMAND_HALF_LIFE_SECONDS)

    def all_demands(self, now):
        """Return the demands to report to peers, by account."""
        found = {a: self.demand(a, now) for a in self.buckets}
        return {a: round(d, 1) for a, d in found.items() if d >= 0.1}

    def _add_demand(self, account, cost, now):
        gained = cost / DEMAND_HALF_LIFE_SECONDS
        self.demands[account] = (self.demand(account, now) + gained, now)

    def receive_demands(self, peer, demands):
        """Record the demands that a peer reports."""
        self.peer_demands[peer] = demands

    def set_peers(self, peers):
        """Set the peers, and drop the demands of all others."""
        self.routers = 1 + len(peers)
        self.peer_demands = {
            p: d for p, d in self.peer_demands.items() if p in peers
        }

    def charge(self, account, limit, cost, now):
        """Charge a request, or reject it.

        Raises
        ------
        AccountLimited
        """
        if limit <= 0.0:
            return
        self._add_demand(account, cost, now)
        reported = [d.get(account, 0.0) for d in self.peer_demands.values()]
        own = self.demand(account, now)
        rate = share_of_limit(limit, own, reported, self.routers)
        bucket = self.buckets.get(account)
        if bucket is None:
            bucket = self.buckets[account] = TokenBucket(rate, now)
        bucket.refill(now)
        bucket.rate = rate
        wait = bucket.take(cost, now)
        if wait > 0.0:
            raise exceptions.AccountLimited(
                f'account {account} is over {limit:g} tokens a second',
                retry_after=wait,
            )

    def refund(self, account, cost):
        """Refund the cost of a request that did not run."""
        bucket = self.buckets.get(account)
        if bucket is not None:
            bucket.refund(cost)
