"""This router's part of each endpoint's slots.

Reports of load lag, so routers that see the same idle endpoint all send it
work.  Each keeps to a part of the slots instead; the parts sum to the slots
where routers agree on who they are and on what each was asked for.
"""

__all__ = ['parts_of_range', 'kept_for_urgent', 'FleetShares', 'make_shares']

import functools
import math

from ibisring_policy import subsets
import xxhash

EVEN_SHARE = 0.45
DEMAND_HALF_LIFE = 10.0
HASH_RANGE = 2.0**64
LINES_KEPT = 256


def _hash(endpoint, router):
    return xxhash.xxh64_intdigest(f'{endpoint}\0{router}'.encode())


def parts_of_range(slots, pool, weights, own_id):
    """Return a router's whole part of each endpoint of a layer range.

    Parameters
    ----------
    slots : dict of str to int
        By endpoint: all of the range.
    pool : str
        Model version or service.
    weights : dict of str to float
        By router; they sum to 1.
    own_id : str

    Returns
    -------
    dict of str to int

    Notes
    -----
    All slots of the range are laid on a line, the endpoints by turns; each
    router takes a stretch of its weight, from one whole number to another
    (systematic sampling [1]_).  The routers' order is the same in every
    range.  A chain takes a slot in each range, so what counts is a router's
    least sum over ranges: rounded at each endpoint by itself the sums
    differ, and a sixth of the slots of nine engines is out of reach.

    References
    ----------
    .. [1] W. Madow, L. Madow, "On the theory of systematic sampling",
       Annals of Mathematical Statistics 15(1), 1944.

    Examples
    --------
    >>> WEIGHTS = {'a': 0.25, 'b': 0.75}
    >>> parts = parts_of_range({'e': 4, 'f': 4}, 'm', WEIGHTS, 'a')
    >>> sum(parts.values())
    2
    """
    line = _line(tuple(sorted(slots.items())))
    parts = dict.fromkeys(slots, 0)
    before = 0.0
    for router in sorted(weights, key=lambda name: _hash(pool, name)):
        after = before + len(line) * weights[router]
        if router == own_id:
            for endpoint in line[_whole(before) : _whole(after)]:
                parts[endpoint] += 1
        before = after
    return parts


@functools.lru_cache(maxsize=LINES_KEPT)
def _line(slots):
    """Return an endpoint's name for each slot, spread evenly."""
    places = [
        ((turn + 0.5) / count, xxhash.xxh64_intdigest(name.encode()), name)
        for name, count in slots
        for turn in range(count)
    ]
    return [name for _, _, name in sorted(places)]


def _whole(value):
    """Round down, but not for an error in the last digits."""
    return math.floor(value + 1e-6)


def kept_for_urgent(parts, reserved):
    """Choose the slots that only more urgent requests may use.

    Parameters
    ----------
    parts : list of tuple of (str, int)
        Endpoint and this router's part, the fastest first.
    reserved : float
        Share of all parts.

    Returns
    -------
    dict of str to int

    Notes
    -----
    They are kept at the fastest endpoints: a short urgent request that gets
    the slowest chain misses its bound however free that chain is.  One slot
    at least is left to the others.
    """
    total = sum(part for _, part in parts)
    left = min(round(reserved * total), total - 1)
    kept = {}
    for name, part in parts:
        kept[name] = max(0, min(part, left))
        left -= kept[name]
    return kept


class FleetShares:
    """Who shares the endpoints, and how much each is asked for.

    Parameters
    ----------
    own_id : str
    """

    def __init__(self, own_id):
        self.own_id = own_id
        self.routers = (own_id,)
        self.heard = {}
        self.own = {}

    def observe(self, pool, count, now):
        """Take in how many requests run or wait here, for an average."""
        old, before = self.own.get(pool, (float(count), now))
        weight = 0.5 ** ((now - before) / DEMAND_HALF_LIFE)
        self.own[pool] = (count + weight * (old - count), now)

    def demands(self):
        """Return what is told to peers: average requests in hand, by pool."""
        found = {
            pool: round(value, 1) for pool, (value, _) in self.own.items()
        }
        return {pool: value for pool, value in found.items() if value}

    def set_routers(self, routers):
        """Say which routers take callers; others' demands are forgotten."""
        self.routers = tuple(sorted({*routers, self.own_id}))
        self.heard = {
            name: demands
            for name, demands in self.heard.items()
            if name in self.routers
        }

    def receive_demands(self, router, demands):
        """Take in what a peer has in hand.

        Parameters
        ----------
        router : str
        demands : dict of str to float
            Requests that run or wait there, by service or model version.
        """
        self.heard[router] = demands

    def weights(self, pool):
        """Return the share of each router in a pool's slots; they sum to 1.

        A part is split evenly, so that a router that was idle can begin at
        once.  One that was not heard is taken for an average one.
        """
        demands = {
            name: told.get(pool, 0.0) for name, told in self.heard.items()
        }
        demands[self.own_id], _ = self.own.get(pool, (0.0, 0.0))
        mean = sum(demands.values()) / len(demands)
        every = {name: demands.get(name, mean) for name in self.routers}
        total = sum(every.values())
        even = 1.0 / len(every)
        if total <= 0.0:
            return dict.fromkeys(every, even)
        return {
            name: EVEN_SHARE * even + (1.0 - EVEN_SHARE) * demand / total
            for name, demand in every.items()
        }

    def parts(self, pool, endpoints, alike, weights):
        """Return this router's part of each endpoint's slots, by name.

        Parameters
        ----------
        pool : str
        endpoints : list of configuration.Endpoint
            Those that this router uses.
        alike : dict of tuple to dict of str to int
            The slots of all endpoints of each service or layer range.
        weights : dict of str to float
        """
        of_ranges = {
            kind: parts_of_range(slots, pool, weights, self.own_id)
            for kind, slots in alike.items()
            if len(slots) <= subsets.SUBSET_SIZE
        }
        found = {}
        for endpoint in endpoints:
            kind = subsets.kind_of(endpoint)
            if kind in of_ranges:
                found[endpoint.name] = of_ranges[kind][endpoint.name]
            else:
                size = len(alike[kind])
                found[endpoint.name] = self._part(endpoint, size, weights)
        return found

    def _part(self, endpoint, size, weights):
        """Round a part where only some routers use an endpoint.

        Nobody knows all of them, so it is rounded by hash.
        """
        slots = endpoint.spec.slots
        quota = slots * weights[self.own_id] * size / subsets.SUBSET_SIZE
        begin = _hash(endpoint.name, self.own_id) / HASH_RANGE
        return _whole(begin + quota) - _whole(begin)


def make_shares(own_id):
    """Make the shares of a router that knows no other."""
    return FleetShares(own_id)
