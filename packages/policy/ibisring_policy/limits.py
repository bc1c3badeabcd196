"""Limits per client account that hold over all routers together."""

__all__ = ['share_of_limit', 'TokenBucket', 'AccountLimits']

from ibisring_records import exceptions

BURST_SECONDS = 2.0
DEMAND_HALF_LIFE = 5.0
FLOOR_SHARE = 0.5


def share_of_limit(limit, own_demand, peer_demands, routers):
    """Return this router's part of an account's limit.

    Parameters
    ----------
    limit : float
        Tokens a second over all routers.
    own_demand : float
        Tokens a second asked for here.
    peer_demands : iterable of float
        The same at peers, as they last said.
    routers : int
        Routers that take callers, this one included.

    Returns
    -------
    float

    Notes
    -----
    Half of the limit is split evenly, so that a router whose peers are
    silent, or that just started, can serve something; the other half goes
    by demand.  With equal views the parts sum to at most the limit, and no
    counter has to be kept anywhere.

    Examples
    --------
    >>> share_of_limit(100.0, 30.0, [10.0], 2)
    62.5
    """
    even = limit * FLOOR_SHARE / max(1, routers)
    total = own_demand + sum(peer_demands)
    if total <= 0.0:
        return limit / max(1, routers)
    return even + limit * (1.0 - FLOOR_SHARE) * (own_demand / total)


class TokenBucket:
    """Holds up to `BURST_SECONDS` of a rate."""

    __slots__ = ('rate', 'level', 'updated')

    def __init__(self, rate, now):
        self.rate = rate
        self.level = rate * BURST_SECONDS
        self.updated = now

    def refill(self, now):
        """Bring the level up to a time."""
        gained = (now - self.updated) * self.rate
        self.level = min(self.rate * BURST_SECONDS, self.level + gained)
        self.updated = now

    def take(self, cost, now):
        """Take a cost if the bucket is not in debt.

        Returns
        -------
        float
            0 if taken, else seconds until it may be asked again.

        Notes
        -----
        A cost may exceed the bucket's size, so one request may bring it
        into debt; the next waits until the debt is paid.
        """
        self.refill(now)
        if self.level > 0.0:
            self.level -= cost
            return 0.0
        return max(0.01, -self.level / self.rate)

    def give_back(self, cost):
        """Return what a request did not use."""
        self.level = min(self.rate * BURST_SECONDS, self.level + cost)


class AccountLimits:
    """The buckets of all limited accounts on this router."""

    def __init__(self):
        self.buckets = {}
        self.demands = {}
        self.peers = {}
        self.routers = 1

    def demand(self, account, now):
        """Return the tokens a second that an account asks for here."""
        level, updated = self.demands.get(account, (0.0, now))
        return level * 0.5 ** ((now - updated) / DEMAND_HALF_LIFE)

    def all_demands(self, now):
        """Return the demands worth telling peers, by account."""
        found = {a: self.demand(a, now) for a in self.buckets}
        return {a: round(d, 1) for a, d in found.items() if d >= 0.1}

    def _add_demand(self, account, cost, now):
        gained = cost / DEMAND_HALF_LIFE
        self.demands[account] = (self.demand(account, now) + gained, now)

    def receive_demands(self, peer, demands):
        """Take in the demands that a peer tells of."""
        self.peers[peer] = demands

    def set_members(self, peers):
        """Say which peers there are; others' demands are forgotten."""
        self.routers = 1 + len(peers)
        self.peers = {p: d for p, d in self.peers.items() if p in peers}

    def take(self, account, limit, cost, now):
        """Charge a request, or refuse it.

        Raises
        ------
        AccountLimited
        """
        if limit <= 0.0:
            return
        self._add_demand(account, cost, now)
        heard = [d.get(account, 0.0) for d in self.peers.values()]
        own = self.demand(account, now)
        rate = share_of_limit(limit, own, heard, self.routers)
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

    def give_back(self, account, cost):
        """Return the cost of a request that did not run."""
        bucket = self.buckets.get(account)
        if bucket is not None:
            bucket.give_back(cost)
