"""Tests of pools by capacity, on the small copies of two deployments."""

import random

import msgspec
import pytest

from ibisring_policy.gateway import layers
from ibisring_policy.gateway import poolsize
from ibisring_policy.gateway.tests import builders as build
from ibisring_policy.gateway.tests import fleets
from ibisring_policy.gateway import tilings


def _start(name):
    engines, model = fleets.deployment(name)
    return fleets.settled(engines, model), model


def test_room_is_limited_by_the_range_of_the_largest_card():
    """19 layers on a card of 36,000 MB leave 16,000 tokens."""
    engines, model = fleets.deployment('b')
    group = [e for e in engines if e.domain == 'a']
    tokens = poolsize.room(group, model)
    assert round(tokens, -3) == 16000.0
    found = poolsize.sizes(group, tokens, model)
    assert sorted(found.values()) == [7, 7, 7, 11, 11, 18, 19]
    assert poolsize.room(group[:3], model) < 0.0


@pytest.mark.parametrize('domain', 'abc')
def test_each_small_domain_holds_the_model_from_the_first_plan_on(domain):
    """Failure: each chain crosses slow links several times, none answers.

    Domains that could just hold the model were combined with all others.
    """
    engines, model = fleets.deployment('b')
    changes = {c.id: c.holding for c in layers.plan(engines, model, 8)}
    group = [
        msgspec.structs.replace(e, holding=changes[e.id], loaded=changes[e.id])
        for e in engines
        if e.domain == domain
    ]
    assert fleets.complete_domains(group, model) == [domain]
    pool = layers.Pool(group, layers.Sizing.BY_ROOM)
    assert layers.room_requests(pool, model) >= 15


@pytest.mark.parametrize('name', 'ab')
def test_loads_in_steps_end_with_complete_domains(name):
    engines, model = _start(name)
    assert fleets.complete_domains(engines, model) == ['a', 'b', 'c']
    for engine in engines:
        assert engine.holding.count <= engine.memory_mb / model.layer_mb


def test_no_engine_of_another_domain_moves_after_a_loss():
    """Failure: the loss of one engine dissolves all pools."""
    engines, model = _start('b')
    for lost in engines:
        left = [e for e in engines if e is not lost]
        for change in layers.plan(left, model, 8):
            assert change.id.split('-')[0] == lost.domain
        after = fleets.settled(left, model)
        others = sorted(set('abc') - {lost.domain})
        assert set(fleets.complete_domains(after, model)) >= set(others)


def test_a_domain_that_cannot_hold_the_model_keeps_its_layers():
    """Failure: engines are loaded back and forth while one is restarted."""
    engines, model = _start('b')
    lost = max((e for e in engines if e.domain == 'a'), key=_memory)
    left = [e for e in engines if e is not lost]
    assert layers.plan(left, model, 8) == []
    empty = msgspec.structs.replace(lost, holding=None, loaded=None)
    (change,) = layers.plan([*left, empty], model, 8)
    assert (change.id, change.holding) == (lost.id, lost.holding)


def _memory(engine):
    return engine.memory_mb


def test_the_pool_with_the_fewest_missing_layers_is_repaired_first():
    """Failure: four layers wait together with 28 of another domain."""
    engines, model = _start('a')
    lost = {'a-0-0', 'b-0-0'}
    left = [e for e in engines if e.id not in lost]
    changes = layers.plan(left, model, 8)
    order = [change.id.split('-')[0] for change in changes]
    assert order == sorted(order, reverse=True)
    assert set(order) == {'a', 'b'}


def test_few_engines_load_at_once_while_a_pool_is_not_complete():
    """Failure: all loads slow each other down and end at the same time."""
    engines, model = fleets.deployment('a')
    pools = layers.pools(engines, model, 8)
    changes = layers.plan(engines, model, 8)
    due = layers.due(changes, pools, model)
    assert due == changes[:3]
    assert {change.id.split('-')[0] for change in due} == {'a'}
    loading = msgspec.structs.replace(engines[0], holding=due[0].holding)
    pools = layers.pools([loading, *engines[1:]], model, 8)
    assert layers.due(changes[1:], pools, model) == changes[1:3]


def test_layers_that_no_engine_holds_are_loaded_first():
    """Failure: no request is served while second holders are loaded."""
    model = build.model(layers=16, loads_at_once=1)
    engines = [
        build.engine('a0', 'a', held=(0, 8)),
        build.engine('a1', 'a'),
        build.engine('b0', 'b', 'small', held=(4, 8)),
        build.engine('b1', 'b', held=(0, 4)),
        build.engine('b2', 'b', held=(8, 10)),
        build.engine('b3', 'b', held=(8, 10)),
    ]
    first, *_ = layers.plan(engines, model, 1)
    held = {e.id: e.holding for e in engines}[first.id]
    assert first.holding.end > 10 and (held is None or held.end <= 10)


def test_a_tiling_moves_as_few_layers_as_it_can():
    """Failure: the loss of one engine reloads the ranges of all others."""
    parts = [
        tilings.Part('x', (0, 0), build.holding(0, 8), 12),
        tilings.Part('y', (8, 0), build.holding(8, 16), 8, movable=False),
        tilings.Part('z', (19, 0), build.holding(19, 24), 8),
    ]
    found = tilings.tile(parts, 24)
    assert (found.ranges, found.cost) == ({'z': build.holding(16, 24)}, 3)
    assert tilings.tile(parts, 29) is None


@pytest.mark.parametrize('name', 'ab')
@pytest.mark.parametrize('seed', range(6))
def test_pools_recover_from_losses_one_after_the_other(name, seed):
    """Failure: pools move although they are complete, or never recover."""
    rng = random.Random(seed)
    engines, model = _start(name)
    away = []
    for _ in range(25):
        if away and rng.random() < 0.5:
            back = away.pop(rng.randrange(len(away)))
            engines.append(msgspec.structs.replace(back, holding=None))
        else:
            away.append(engines.pop(rng.randrange(len(engines))))
            away[-1] = msgspec.structs.replace(away[-1], loaded=None)
        engines = _checked(engines, model, rng)


def _checked(engines, model, rng):
    """Let plans come to rest, and check each change on the way."""
    before = {e.id: e for e in engines}
    complete = set(fleets.complete_domains(engines, model))
    after = fleets.settled(engines, model, rng=rng)
    for engine in after:
        if engine.holding is None:
            continue
        assert engine.holding.count <= engine.memory_mb / model.layer_mb
        held = before[engine.id].holding
        if engine.domain in complete and held is not None:
            assert engine.holding.first <= held.first
            assert engine.holding.end >= held.end
    for pool in layers.pools(after, model, 8):
        if poolsize.room(pool.engines, model) >= 8 * 1000.0:
            assert pool.is_complete(model.layers)
    return after
