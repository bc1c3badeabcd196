"""Tests of the bound on what all routers ask one engine."""

import random

from ibisring_policy.gateway import queryrate
import pytest

SECONDS = 30.0
LOOK_SECONDS = 0.05


class _Router:
    """A router that asks one engine as often as it may."""

    def __init__(self, routers):
        self.rate = queryrate.make_query_rate()
        self.rate.routers = routers

    def ask(self, now):
        """Return how many queries it sends now."""
        if self.rate.wait_seconds('e1', now):
            return 0
        self.rate.take('e1', now)
        return 1


@pytest.mark.parametrize('count', [1, 3, 6, 40, 81, 195])
def test_silent_engine_is_asked_no_more_by_more_routers(count):
    """Guards against a fleet whose queries keep a sound engine late."""
    rng = random.Random(count)
    routers = [_Router(count) for _ in range(count)]
    asked, now = 0, 0.0
    while now < SECONDS:
        asked += sum(router.ask(now) for router in routers)
        now += LOOK_SECONDS * rng.uniform(0.5, 1.5)
    most = queryrate.FLEET_QUERIES_PER_SECOND * SECONDS
    assert asked <= count * queryrate.BURST + most + 1


@pytest.mark.parametrize('count', [3, 40, 195])
def test_engine_that_answers_may_always_be_asked(count):
    """Guards against a bound that hides an engine which answers slowly."""
    router = _Router(count)
    for number in range(100):
        now = 0.2 * number
        assert router.ask(now)
        router.rate.give_back('e1', now + 0.15)


def test_removed_engine_is_forgotten():
    """Guards against memory that grows with each engine that ever ran."""
    router = _Router(3)
    router.ask(0.0)
    router.rate.retain({'e2'})
    assert not router.rate.buckets
