"""Slot quotas: their sums, their response to demand, and reserved slots."""

import collections

from hypothesis import given
from hypothesis import strategies

from ibisring_policy import shares
from ibisring_policy import subsets
from ibisring_policy.tests import builders

POOL = 'm@1'


def make_fleet(count, demands=()):
    """Make the shares of routers that know each other's demands."""
    names = [f'r{number}' for number in range(count)]
    made = {name: shares.make_shares(name) for name in names}
    for name, demand in zip(names, demands):
        made[name].observe(POOL, demand, 0.0)
    for receiver in made.values():
        receiver.set_routers(names)
        for name in names:
            if name != receiver.own_id:
                receiver.receive_demands(name, made[name].demands())
    return made


def quotas_of(router, chosen, endpoints):
    """Return a router's quotas of some of the endpoints."""
    slots_by_group = collections.defaultdict(dict)
    for endpoint in endpoints:
        slots = slots_by_group[subsets.group_key(endpoint)]
        slots[endpoint.name] = endpoint.spec.slots
    return router.quotas(POOL, chosen, slots_by_group, router.weights(POOL))


@given(
    demands=strategies.lists(strategies.integers(0, 500), min_size=1),
    slots=strategies.integers(1, 64),
)
def test_quotas_sum_to_the_slots_for_any_demands(demands, slots):
    """Guards against queues at some engines while equal ones are idle.

    Routers see the same delayed load reports; without quotas each would
    send requests to every engine as if it were the only router.
    """
    endpoints = [
        builders.endpoint(f'e{number}', model='m', slots=slots)
        for number in range(4)
    ]
    total = collections.Counter()
    for router in make_fleet(len(demands), demands).values():
        total.update(quotas_of(router, endpoints, endpoints))
    assert all(total[endpoint.name] == slots for endpoint in endpoints)


@given(
    demands=strategies.lists(
        strategies.integers(0, 50), min_size=1, max_size=9
    ),
    slots=strategies.lists(strategies.integers(1, 16), min_size=1, max_size=8),
)
def test_chains_of_all_routers_use_every_slot(demands, slots):
    """Guards against slots that no chain can use.

    With quotas rounded at each engine separately, a router had slots left in
    one layer range and none in another; six routers on nine engines at 0.8
    of capacity rejected a ninth of what a single router serves.
    """
    endpoints = [
        builders.endpoint(f'e{first}-{n}', first, first, model='m', slots=each)
        for first in range(3)
        for n, each in enumerate(slots)
    ]
    chains = 0
    for router in make_fleet(len(demands), demands).values():
        range_slots = collections.Counter({0: 0, 1: 0, 2: 0})
        quotas = quotas_of(router, endpoints, endpoints)
        for endpoint in endpoints:
            range_slots[endpoint.spec.first_layer] += quotas[endpoint.name]
        chains += min(range_slots.values())
    assert chains == sum(slots)


def test_busy_router_gets_the_slots_of_idle_ones():
    """The load balancer may send nearly all requests to one router."""
    endpoints = [builders.endpoint(f'e{n}', slots=8) for n in range(13)]
    routers = make_fleet(6, [100, 0, 0, 0, 0, 0])
    total = 8 * 13
    even = shares.EVEN_SHARE * total / 6
    busy = sum(quotas_of(routers['r0'], endpoints, endpoints).values())
    idle = sum(quotas_of(routers['r1'], endpoints, endpoints).values())
    assert abs(busy - (even + (1.0 - shares.EVEN_SHARE) * total)) <= 1
    assert busy > total / 2
    assert abs(idle - even) <= 1
    assert idle >= 1


def test_router_without_reported_demand_counts_as_an_average_one():
    router = shares.make_shares('r0')
    router.set_routers(['r0', 'r1', 'r2'])
    router.observe(POOL, 30, 0.0)
    router.receive_demands('r1', {POOL: 10.0})
    weights = router.weights(POOL)
    assert abs(sum(weights.values()) - 1.0) < 1e-9
    assert weights['r1'] < weights['r2'] < weights['r0']


def test_reported_demand_is_an_average():
    """A burst must not move slots for a second and back again."""
    router = shares.make_shares('r0')
    router.observe(POOL, 0, 0.0)
    router.observe(POOL, 100, 0.1)
    assert router.demands()[POOL] < 2.0
    router.observe(POOL, 100, 0.1 + shares.DEMAND_HALF_LIFE_SECONDS)
    assert 45.0 < router.demands()[POOL] < 55.0


def test_many_routers_on_many_endpoints_use_about_all_slots():
    """Each of 380 routers uses a subset, so none knows all endpoints."""
    endpoints = [
        builders.endpoint(f'e{number}', model='m', slots=8)
        for number in range(400)
    ]
    names = [f'r{number}' for number in range(380)]
    total = 0
    for name in names:
        router = shares.make_shares(name)
        router.set_routers(names)
        chosen = subsets.choose_subset(name, endpoints)
        total += sum(quotas_of(router, chosen, endpoints).values())
    assert 0.95 < total / (8 * len(endpoints)) < 1.05


def test_slots_are_reserved_at_the_fastest_endpoints_and_one_is_left():
    quotas = [('fast', 1), ('middle', 2), ('slow', 2)]
    reserved = shares.reserved_slots(quotas, 0.4)
    assert reserved == {'fast': 1, 'middle': 1, 'slow': 0}
    assert shares.reserved_slots([('only', 1)], 0.9) == {'only': 0}
