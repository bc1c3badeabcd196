"""Tests of the capacity of a service."""

import math
import random
import time

import pytest

from ibisring_policy.gateway import capacity
from ibisring_policy.gateway.tests import builders as build

TOKENS = 1000.0


def _holder(name, first, end, requests, domain='a'):
    """Return a holder with memory for some requests."""
    size = requests * TOKENS * (end - first)
    return build.holder(name, first, end, domain, capacity=size)


def _compute(holders, per_link=math.inf):
    return capacity.compute(holders, 80, capacity.Usual(TOKENS, per_link))


@pytest.mark.parametrize('per_link', [math.inf, 0.0])
def test_the_scarcest_layers_limit(per_link):
    held = [
        _holder('x', 0, 40, 20),
        _holder('y', 40, 80, 10),
        _holder('z', 40, 60, 5),
    ]
    found = _compute(held, per_link)
    assert found.requests == pytest.approx(10.0)
    assert found.bottleneck == 'layers 60-80'


@pytest.mark.parametrize(
    ('per_link', 'requests', 'bottleneck'),
    [
        (0.0, 5.0, 'link a b'),
        (3.0, 8.0, 'link a b'),
        (90.0, 20.0, 'layers 0-40'),
        (math.inf, 20.0, 'layers 0-40'),
    ],
)
def test_a_link_carries_what_a_domain_lacks(per_link, requests, bottleneck):
    held = [
        _holder('x', 0, 40, 20),
        _holder('y', 40, 80, 5),
        _holder('z', 40, 80, 90, 'b'),
    ]
    found = _compute(held, per_link)
    assert found.requests == pytest.approx(requests)
    assert found.bottleneck == bottleneck


def test_a_link_is_shared_by_both_crossings_of_a_chain():
    held = [
        _holder('x', 0, 20, 50),
        _holder('y', 20, 60, 50, 'b'),
        _holder('z', 60, 80, 50),
    ]
    assert _compute(held, 10.0).requests == pytest.approx(5.0)


def test_missing_layers_leave_no_capacity():
    """Failure: a service without a holder of some layers admits requests."""
    held = [_holder('x', 0, 40, 20), _holder('y', 50, 80, 20, 'b')]
    for per_link in (math.inf, 10.0):
        assert _compute(held, per_link).requests == 0.0
    assert _compute([]).requests == 0.0


def _random_holders(count):
    rng = random.Random(1)
    held = []
    for number in range(count):
        first = rng.randrange(74)
        end = min(80, first + rng.randrange(4, 19))
        size = rng.uniform(5, 60)
        held.append(_holder(f'e{number}', first, end, size, 'abc'[number % 3]))
    return held + [_holder(f'f{d}', 0, 6, 30, d) for d in 'ab']


def test_capacity_of_a_large_fleet_is_computed_quickly():
    """Failure: computing the capacity of large services occupies routers."""
    held = _random_holders(97)
    seconds = []
    for _ in range(5):
        started = time.process_time()
        _compute(held, 10.0)
        seconds.append(time.process_time() - started)
    assert min(seconds) < 0.02


def test_more_links_never_carry_less():
    held = _random_holders(40)
    found = [_compute(held, n).requests for n in (0.0, 2.0, 8.0, math.inf)]
    assert found == sorted(found)
