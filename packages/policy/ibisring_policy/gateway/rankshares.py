"""How much of a service's engines requests of each rank may use.

Each router tells the others what its requests use by rank, in tokens times
layers.  Where the more urgent ranks recently used more than now, the
difference is kept free for them: requests of lower ranks may fill engines only
up to a share.  There is no agreement protocol: each router decides by what it
has received, so that the sum over the fleet may exceed a share by what begins
within the delay of gossip.
"""

__all__ = ['RankShares', 'make_rank_shares']

import msgspec

from ibisring_policy.gateway import rankpeaks

# Share of a service's capacity that lower ranks may hold beside what the more
# urgent ones use, also where their peak fills it.  No rank may be served less
# than a quarter as often as all requests; a smaller share doesn't ensure that.
MIN_RANK_SHARE = 0.25
# How long the use that another router sent counts, as its load does: by then
# nearly every router of a large fleet has sent again.
USE_SECONDS = 8.0
# Without any message for this long, gossip is silent; every router sends to
# some others at least once a second.
SILENT_SECONDS = 2.5
# Interval at which expired use is removed.
EXPIRY_SECONDS = 0.25
# Bounds on services and ranks in one message, some 300 bytes together.
MAX_SERVICES_SENT = 4
MAX_RANKS_SENT = 6


class _Report(msgspec.Struct):
    """Use by service and rank that another router sent."""

    received_at: float
    use: dict


class RankShares:
    """Use and shares by service and rank; the caller holds a lock.

    A rank is a tuple; the smaller one is more urgent.  Amounts are tokens
    times layers.

    Attributes
    ----------
    is_enabled : bool
        If unset, all shares are 1.0 and nothing is sent.
    ranked : dict of str to (tuple, tuple)
        The services with several ranks: their most and least urgent rank.
    own : dict of str to dict
        Use of this router's requests by service and rank.
    heard_at : float or None
        When a message of another router last arrived.
    routers : int
        Upper estimate of the routers that run, known without gossip too.

    Examples
    --------
    >>> shares = make_rank_shares()
    >>> shares.set_ranked({'chat': ((0, 0), (0, 1))})
    >>> shares.note_capacity('chat', 1000.0)
    >>> shares.reserve('chat', (0, 0), 400)
    >>> shares.reserve('chat', (0, 1), 100)
    >>> shares.share('chat', (0, 1), 50.0)
    1.0
    >>> shares.release('chat', (0, 0), 300)
    >>> shares.share('chat', (0, 1), 51.0), shares.share('chat', (0, 0), 51.0)
    (0.7, 1.0)
    >>> shares.share('chat', (0, 1), 61.5)
    1.0
    """

    def __init__(self):
        self.is_enabled = True
        self.ranked = {}
        self.own = {}
        self.reports = {}
        self.others = {}
        self.peaks = {}
        self.capacity = {}
        self.heard_at = None
        self.routers = 1
        self.expired_at = 0.0

    def set_ranked(self, ranked):
        """Set the services with several ranks.

        Parameters
        ----------
        ranked : dict of str to (tuple, tuple)
            Most and least urgent rank by service.
        """
        self.ranked = dict(ranked) if self.is_enabled else {}
        for name in set(self.peaks) - set(self.ranked):
            del self.peaks[name]

    def note_capacity(self, service, capacity):
        """Note the total capacity of a service's engines."""
        self.capacity[service] = capacity

    def note_routers(self, routers, now):
        """Note the number of routers, and record the present use."""
        self.routers = routers
        for service in self.ranked:
            self._record(service, now)

    def reserve(self, service, rank, amount):
        """Count a request of this router, of a service with a model."""
        use = self.own.setdefault(service, {})
        use[rank] = use.get(rank, 0) + amount

    def release(self, service, rank, amount):
        """Undo `reserve`."""
        use = self.own[service]
        left = use.get(rank, 0) - amount
        if left > 0:
            use[rank] = left
        else:
            use.pop(rank, None)

    def use_to_send(self):
        """Return what this router's requests use.

        Returns
        -------
        dict of str to list of (int, int, int)
            By service with several ranks: both parts of a rank, and the
            amount.  Ranks beyond the bound count as the last one sent.
        """
        used = [name for name in sorted(self.ranked) if self.own.get(name)]
        used.sort(key=lambda name: -sum(self.own[name].values()))
        return {
            name: _bounded(self.own[name]) for name in used[:MAX_SERVICES_SENT]
        }

    def receive(self, router, rank_use, unranked, now):
        """Record the use that another router sent.

        Parameters
        ----------
        router : str
        rank_use : dict of str to list of (int, int, int)
            As returned by `use_to_send`.
        unranked : dict of str to int
            Use by service that an older release sent without ranks.  It counts
            as the lowest rank.
        now : float
        """
        if self.is_silent(now) and self.heard_at is not None:
            for peaks in self.peaks.values():
                peaks.shift(now - self.heard_at - SILENT_SECONDS)
        self.heard_at = now
        use = {}
        for service, entries in rank_use.items():
            if service in self.ranked:
                use[service] = _sum_by_rank(entries)
        for service, amount in unranked.items():
            if service in self.ranked and service not in use:
                use[service] = {self.ranked[service][1]: amount}
        self._forget(router)
        self._add_to_others(use, 1)
        self.reports[router] = _Report(now, use)

    def _forget(self, router):
        report = self.reports.pop(router, None)
        if report is not None:
            self._add_to_others(report.use, -1)

    def _add_to_others(self, use, sign):
        for service, by_rank in use.items():
            totals = self.others.setdefault(service, {})
            for rank, amount in by_rank.items():
                totals[rank] = totals.get(rank, 0) + sign * amount
                if totals[rank] <= 0:
                    del totals[rank]

    def _expire(self, now):
        if now - self.expired_at < EXPIRY_SECONDS:
            return
        self.expired_at = now
        for name in [
            name
            for name, report in self.reports.items()
            if now - report.received_at >= USE_SECONDS
        ]:
            self._forget(name)

    def is_silent(self, now):
        """Return whether no other router is heard although there are some."""
        if self.routers <= 1:
            return False
        return self.heard_at is None or now - self.heard_at >= SILENT_SECONDS

    def use(self, service, now):
        """Return the estimated use of all routers by rank.

        While gossip is silent, the other routers are taken to use as much as
        this one.  In a large fleet only the routers heard from count, of 195
        some two thirds of the use: extrapolating from these overestimates it,
        since routers with much use send to more others.
        """
        self._expire(now)
        own = self.own.get(service, {})
        if self.is_silent(now):
            return {rank: each * self.routers for rank, each in own.items()}
        use = dict(own)
        for rank, amount in self.others.get(service, {}).items():
            use[rank] = use.get(rank, 0) + amount
        return use

    def _record(self, service, now):
        """Record a service's use, unless it is unknown; return it."""
        use = self.use(service, now)
        peaks = self.peaks.setdefault(service, rankpeaks.make_peaks())
        if not self.is_silent(now):
            peaks.record(use, now)
        return use

    def share(self, service, rank, now):
        """Return the share of engines that requests of a rank may fill.

        Parameters
        ----------
        service : str
        rank : tuple
        now : float

        Returns
        -------
        float
            From `MIN_RANK_SHARE` to 1.0; never more than that of a more
            urgent rank.
        """
        capacity = self.capacity.get(service, 0.0)
        if service not in self.ranked or capacity <= 0.0:
            return 1.0
        use = self._record(service, now)
        seen = sorted(self.peaks[service].ranks() | set(use))
        if len(seen) < 2:
            return 1.0
        bounds = [each for each in seen[1:] if each < rank]
        return min(
            self._share_beside(service, each, use) for each in [*bounds, rank]
        )

    def _share_beside(self, service, rank, use):
        """Return the share that the ranks more urgent than one leave.

        Beside what they use now, the lower ranks may use what their peak
        leaves, at least `MIN_RANK_SHARE`.
        """
        capacity = self.capacity[service]
        peak = self.peaks[service].more_urgent(rank)
        urgent = sum(amount for each, amount in use.items() if each < rank)
        share = min(peak, urgent) / capacity + _unclaimed(peak, capacity)
        return max(MIN_RANK_SHARE, min(1.0, share))

    def is_used_up(self, service, rank, now):
        """Return whether the share of a rank is used up over all engines.

        A lower rank that holds `MIN_RANK_SHARE` doesn't overcommit engines.
        While gossip is silent, a router may use an equal part of what the
        peak of the more urgent ranks leaves; all routers together exceed that
        by one request each at most.  The most urgent rank has no bound:
        engines refuse what they can't take.
        """
        capacity = self.capacity.get(service, 0.0)
        if service not in self.ranked or capacity <= 0.0:
            return False
        if rank <= self.ranked[service][0]:
            return False
        peaks = self.peaks.get(service)
        peak = peaks.more_urgent(rank) if peaks else 0
        use = self.use(service, now)
        if self.is_silent(now):
            lower = sum(use[each] for each in use if each >= rank)
            return lower >= _unclaimed(peak, capacity) * capacity
        if not peak or use.get(rank, 0) < MIN_RANK_SHARE * capacity:
            return False
        share = self.share(service, rank, now)
        return sum(use.values()) >= share * capacity

    def shares(self, now):
        """Return the shares of the ranks that recently had requests.

        Returns
        -------
        dict of (str, tuple) to float
            By service and rank.
        """
        found = {}
        for service in self.ranked:
            self._record(service, now)
            for rank in self.peaks[service].ranks():
                found[service, rank] = self.share(service, rank, now)
        return found


def _unclaimed(peak, capacity):
    """Return the share of the capacity that a peak leaves to lower ranks."""
    return max(MIN_RANK_SHARE, 1.0 - peak / capacity)


def _bounded(use):
    entries = [[*rank, int(use[rank])] for rank in sorted(use)]
    rest = entries[MAX_RANKS_SENT:]
    entries = entries[:MAX_RANKS_SENT]
    entries[-1][2] += sum(amount for _, _, amount in rest)
    return [tuple(each) for each in entries]


def _sum_by_rank(entries):
    use = {}
    for account_priority, route_priority, amount in entries:
        rank = account_priority, route_priority
        use[rank] = use.get(rank, 0) + max(0, amount)
    return use


def make_rank_shares():
    """Make `RankShares` that know of no use."""
    return RankShares()
