"""Routers' parts of the slots: they sum, follow demand, and keep urgency."""

import collections

from hypothesis import given
from hypothesis import strategies

from ibisring_policy import shares
from ibisring_policy import subsets
from ibisring_policy.tests import builders

POOL = 'm@1'


def fleet(count, in_hand=()):
    """Make the shares of routers that heard each other."""
    names = [f'r{number}' for number in range(count)]
    made = {name: shares.make_shares(name) for name in names}
    for name, demand in zip(names, in_hand):
        made[name].observe(POOL, demand, 0.0)
    for hearer in made.values():
        hearer.set_routers(names)
        for name in names:
            if name != hearer.own_id:
                hearer.receive_demands(name, made[name].demands())
    return made


def parts_of(router, chosen, endpoints):
    """Return a router's parts of some of the endpoints."""
    alike = collections.defaultdict(dict)
    for endpoint in endpoints:
        slots = alike[subsets.kind_of(endpoint)]
        slots[endpoint.name] = endpoint.spec.slots
    return router.parts(POOL, chosen, alike, router.weights(POOL))


@given(
    demands=strategies.lists(strategies.integers(0, 500), min_size=1),
    slots=strategies.integers(1, 64),
)
def test_parts_sum_to_the_slots_whatever_the_demands(demands, slots):
    """Symptom: engines queue while others of their kind are idle.

    Sequence: six routers see the same reports, each a while late.
    Cause: each sends to every engine as if it were the only router.
    """
    endpoints = [
        builders.endpoint(f'e{number}', model='m', slots=slots)
        for number in range(4)
    ]
    total = collections.Counter()
    for router in fleet(len(demands), demands).values():
        total.update(parts_of(router, endpoints, endpoints))
    assert all(total[endpoint.name] == slots for endpoint in endpoints)


@given(
    demands=strategies.lists(
        strategies.integers(0, 50), min_size=1, max_size=9
    ),
    slots=strategies.lists(strategies.integers(1, 16), min_size=1, max_size=8),
)
def test_chains_of_all_routers_use_every_slot(demands, slots):
    """Symptom: six routers refuse a ninth of what one router serves.

    Sequence: an evenly loaded site of nine engines at 0.8 of its capacity.
    Cause: parts were rounded at each engine by itself; a router had slots
    left in one layer range and none in another, and no chain.
    """
    endpoints = [
        builders.endpoint(f'e{first}-{n}', first, first, model='m', slots=each)
        for first in range(3)
        for n, each in enumerate(slots)
    ]
    chains = 0
    for router in fleet(len(demands), demands).values():
        held = collections.Counter({0: 0, 1: 0, 2: 0})
        parts = parts_of(router, endpoints, endpoints)
        for endpoint in endpoints:
            held[endpoint.spec.first_layer] += parts[endpoint.name]
        chains += min(held.values())
    assert chains == sum(slots)


def test_busy_router_gets_the_slots_of_idle_ones():
    """The balancer may send nearly all to one router."""
    endpoints = [builders.endpoint(f'e{n}', slots=8) for n in range(13)]
    routers = fleet(6, [100, 0, 0, 0, 0, 0])
    total = 8 * 13
    even = shares.EVEN_SHARE * total / 6
    busy = sum(parts_of(routers['r0'], endpoints, endpoints).values())
    idle = sum(parts_of(routers['r1'], endpoints, endpoints).values())
    assert abs(busy - (even + (1.0 - shares.EVEN_SHARE) * total)) <= 1
    assert busy > total / 2
    assert abs(idle - even) <= 1
    assert idle >= 1


def test_router_that_was_not_heard_counts_as_an_average_one():
    router = shares.make_shares('r0')
    router.set_routers(['r0', 'r1', 'r2'])
    router.observe(POOL, 30, 0.0)
    router.receive_demands('r1', {POOL: 10.0})
    weights = router.weights(POOL)
    assert abs(sum(weights.values()) - 1.0) < 1e-9
    assert weights['r1'] < weights['r2'] < weights['r0']


def test_told_demand_is_an_average():
    """One burst must not move slots that are taken back in a second."""
    router = shares.make_shares('r0')
    router.observe(POOL, 0, 0.0)
    router.observe(POOL, 100, 0.1)
    assert router.demands()[POOL] < 2.0
    router.observe(POOL, 100, 0.1 + shares.DEMAND_HALF_LIFE)
    assert 45.0 < router.demands()[POOL] < 55.0


def test_many_routers_on_many_endpoints_use_about_all_slots():
    """380 routers, each with a subset: no endpoint is known to all."""
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
        total += sum(parts_of(router, chosen, endpoints).values())
    assert 0.95 < total / (8 * len(endpoints)) < 1.05


def test_urgent_slots_are_kept_at_the_fastest_and_one_is_left():
    parts = [('fast', 1), ('middle', 2), ('slow', 2)]
    kept = shares.kept_for_urgent(parts, 0.4)
    assert kept == {'fast': 1, 'middle': 1, 'slow': 0}
    assert shares.kept_for_urgent([('only', 1)], 0.9) == {'only': 0}
