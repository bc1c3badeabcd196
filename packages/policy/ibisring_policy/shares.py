"""A router's quota of each endpoint's slots.

Load reports lag, so all routers that see an endpoint as idle would send it
requests.  Instead each router limits itself to a quota of the slots; the
quotas sum to the slots if the routers agree on who they are and on the
demand at each.
"""

__all__ = ['range_quotas', 'reserved_slots', 'FleetShares', 'make_shares']

import functools
import math

from ibisring_policy import subsets
import xxhash

EVEN_SHARE = 0.45
DEMAND_HALF_LIFE_SECONDS = 10.0
HASH_RANGE = 2.0**64
MAX_CACHED_SLOT_ORDERS = 256


def _hash(endpoint, router):
    return xxhash.xxh64_intdigest(f'{endpoint}\0{router}'.encode())


def range_quotas(slots, pool, weights, own_id):
    """Return a router's integer quota of each endpoint of a layer range.

    Parameters
    ----------
    slots : dict of str to int
        By endpoint, for all endpoints of the range.
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
    All slots of the range are arranged in one sequence in which the
    endpoints alternate.  Each router gets a section proportional to its
    weight, with both ends rounded down (systematic sampling [1]_); the
    order of the routers is the same in every range.  A chain takes a slot
    in each range, so a router is limited by its smallest sum of quotas over
    the ranges.  If quotas were rounded at each endpoint separately, these
    sums would differ, and a sixth of the slots of nine engines could not be
    used.

    References
    ----------
    .. [1] W. Madow, L. Madow, "On the theory of systematic sampling",
       Annals of Mathematical Statistics 15(1), 1944.

    Examples
    --------
    >>> WEIGHTS = {'a': 0.25, 'b': 0.75}
    >>> quotas = range_quotas({'e': 4, 'f': 4}, 'm', WEIGHTS, 'a')
    >>> sum(quotas.values())
    2
    """
    slot_order = _interleaved_slots(tuple(sorted(slots.items())))
    quotas = dict.fromkeys(slots, 0)
    before = 0.0
    for router in sorted(weights, key=lambda name: _hash(pool, name)):
        after = before + len(slot_order) * weights[router]
        if router == own_id:
            for endpoint in slot_order[
                _round_down(before) : _round_down(after)
            ]:
                quotas[endpoint] += 1
        before = after
    return quotas


@functools.lru_cache(maxsize=MAX_CACHED_SLOT_ORDERS)
def _interleaved_slots(slots):
    """Return the endpoint's name for each slot, evenly interleaved."""
    positions = [
        ((slot + 0.5) / count, xxhash.xxh64_intdigest(name.encode()), name)
        for name, count in slots
        for slot in range(count)
    ]
    return [name for _, _, name in sorted(positions)]


def _round_down(value):
    """Round down, tolerating floating-point errors."""
    return math.floor(value + 1e-6)


def reserved_slots(quotas, reserved):
    """Choose the slots that only more urgent requests may use.

    Parameters
    ----------
    quotas : list of tuple of (str, int)
        Endpoint and this router's quota, the fastest endpoint first.
    reserved : float
        Fraction of the sum of quotas.

    Returns
    -------
    dict of str to int

    Notes
    -----
    Slots are reserved at the fastest endpoints, because a short urgent
    request misses its latency bound on the slowest chain even if that chain
    is idle.  At least one slot is left to other requests.
    """
    total = sum(quota for _, quota in quotas)
    remaining = min(round(reserved * total), total - 1)
    reserved_by_endpoint = {}
    for name, quota in quotas:
        reserved_by_endpoint[name] = max(0, min(quota, remaining))
        remaining -= reserved_by_endpoint[name]
    return reserved_by_endpoint


class FleetShares:
    """Routers that share the endpoints, and the demand at each.

    Parameters
    ----------
    own_id : str
    """

    def __init__(self, own_id):
        self.own_id = own_id
        self.routers = (own_id,)
        self.peer_demands = {}
        self.own_demands = {}

    def observe(self, pool, count, now):
        """Record the number of requests that run or wait at this router."""
        old, before = self.own_demands.get(pool, (float(count), now))
        weight = 0.5 ** ((now - before) / DEMAND_HALF_LIFE_SECONDS)
        self.own_demands[pool] = (count + weight * (old - count), now)

    def demands(self):
        """Return the demand sent to peers: average requests, by pool."""
        averages = {
            pool: round(value, 1)
            for pool, (value, _) in self.own_demands.items()
        }
        return {pool: value for pool, value in averages.items() if value}

    def set_routers(self, routers):
        """Set the routers that accept callers; drop demands of others."""
        self.routers = tuple(sorted({*routers, self.own_id}))
        self.peer_demands = {
            name: demands
            for name, demands in self.peer_demands.items()
            if name in self.routers
        }

    def receive_demands(self, router, demands):
        """Record the demand of a peer.

        Parameters
        ----------
        router : str
        demands : dict of str to float
            Average number of requests that run or wait at the peer, by
            service or model version.
        """
        self.peer_demands[router] = demands

    def weights(self, pool):
        """Return the share of each router in a pool's slots; they sum to 1.

        A fraction `EVEN_SHARE` is split evenly, so that an idle router can
        start immediately.  A router that has reported no demand is assumed
        to have the average one.
        """
        demands = {
            name: reported.get(pool, 0.0)
            for name, reported in self.peer_demands.items()
        }
        demands[self.own_id], _ = self.own_demands.get(pool, (0.0, 0.0))
        mean = sum(demands.values()) / len(demands)
        assumed = {name: demands.get(name, mean) for name in self.routers}
        total = sum(assumed.values())
        even = 1.0 / len(assumed)
        if total <= 0.0:
            return dict.fromkeys(assumed, even)
        return {
            name: EVEN_SHARE * even + (1.0 - EVEN_SHARE) * demand / total
            for name, demand in assumed.items()
        }

    def quotas(self, pool, endpoints, slots_by_group, weights):
        """Return this router's quota of each endpoint's slots, by name.

        Parameters
        ----------
        pool : str
        endpoints : list of configuration.Endpoint
            The endpoints that this router uses.
        slots_by_group : dict of tuple to dict of str to int
            The slots of all endpoints of each service or layer range.
        weights : dict of str to float
        """
        group_quotas = {
            group: range_quotas(slots, pool, weights, self.own_id)
            for group, slots in slots_by_group.items()
            if len(slots) <= subsets.SUBSET_SIZE
        }
        quotas = {}
        for endpoint in endpoints:
            group = subsets.group_key(endpoint)
            if group in group_quotas:
                quotas[endpoint.name] = group_quotas[group][endpoint.name]
            else:
                size = len(slots_by_group[group])
                quotas[endpoint.name] = self._quota(endpoint, size, weights)
        return quotas

    def _quota(self, endpoint, size, weights):
        """Return the quota of an endpoint that only some routers use.

        No router knows all users of the endpoint, so the quota is rounded
        at an offset given by a hash.
        """
        slots = endpoint.spec.slots
        quota = slots * weights[self.own_id] * size / subsets.SUBSET_SIZE
        begin = _hash(endpoint.name, self.own_id) / HASH_RANGE
        return _round_down(begin + quota) - _round_down(begin)


def make_shares(own_id):
    """Make the shares of a router that knows no other router yet."""
    return FleetShares(own_id)
