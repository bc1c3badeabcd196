"""Tests of pools by capacity, on the small copies of two deployments."""

import random

import msgspec
import pytest

from ibisring_policy.gateway import layers
from ibisring_policy.gateway import poolsize
from ibisring_policy.gateway import repairs
from ibisring_policy.gateway.tests import builders as build
from ibisring_policy.gateway.tests import fleets
from ibisring_policy.gateway import tilings
from ibisring_policy.gateway import windows


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
    """Failure: all loads slow each other down and end at the same time.

    Domain b is sized by share and not bounded.
    """
    engines, model = fleets.deployment('b')
    first = layers.plan(engines, model, 8)[0]
    engines = _ordered(engines, first, loaded=first.holding)
    due, bounded = _due_and_bounded(engines, model)
    assert due == bounded[:3]
    assert {change.id.split('-')[0] for change in due} == {'a'}
    engines = _ordered(engines, due[0])
    due, bounded = _due_and_bounded(engines, model)
    assert due == bounded[:2]


def _ordered(engines, change, loaded=None):
    return [
        (
            msgspec.structs.replace(e, holding=change.holding, loaded=loaded)
            if e.id == change.id
            else e
        )
        for e in engines
    ]


def _due_and_bounded(engines, model):
    pools = layers.pools(engines, model, 8)
    by_share = {
        e.id
        for pool in pools
        if pool.sizing is layers.Sizing.BY_SHARE
        for e in pool.engines
    }
    changes = layers.plan(engines, model, 8)
    due = layers.due(changes, pools, model)
    assert set(due) >= {c for c in changes if c.id in by_share}
    bounded = [c for c in changes if c.id not in by_share]
    return [c for c in due if c.id not in by_share], bounded


@pytest.mark.parametrize('name', 'ab')
def test_an_empty_start_is_not_bounded(name):
    """Failure: a deployment starts later than without the bound."""
    engines, model = fleets.deployment(name)
    pools = layers.pools(engines, model, 8)
    changes = layers.plan(engines, model, 8)
    assert layers.due(changes, pools, model) == changes


def _site_with_a_small_domain():
    _, model = fleets.deployment('b')
    counts = {'a': (3, 3, 3), 'b': (3, 3, 3), 'c': (1, 2, 3)}
    return fleets.engines(counts, fleets.B_CARDS), model


def test_engines_of_a_domain_that_is_too_small_are_used():
    """Failure: six engines stay empty for good."""
    engines, model = _site_with_a_small_domain()
    changes = layers.plan(engines, model, 8)
    assert {change.id[0] for change in changes} == {'a', 'b'}
    engines = fleets.settled(engines, model)
    assert fleets.complete_domains(engines, model)[:2] == ['a', 'b']
    assert all(engine.loaded is not None for engine in engines)


def test_spare_engines_get_the_gap_of_an_incomplete_pool():
    """Failure: layers stay without a holder beside empty engines."""
    engines, model = _site_with_a_small_domain()
    engines = fleets.settled(engines, model)
    lost = max((e for e in engines if e.domain == 'a'), key=_memory)
    left = [
        _emptied(e) if e.domain == 'c' else e for e in engines if e is not lost
    ]
    pools = layers.pools(left, model, 8)
    changes = layers.plan_pools(pools, model, {('a',): 0.0})
    assert {change.id[0] for change in changes} <= {'a', 'c'}
    new = {change.id: change.holding for change in changes}
    after = [
        msgspec.structs.replace(e, holding=new.get(e.id, e.holding))
        for e in left
        if e.domain != 'b'
    ]
    assert 0 not in windows.coverage(after, model.layers)


def test_a_merged_plan_stays_while_it_alone_is_complete():
    """Failure: nothing is served while domains load ranges of their own."""
    engines, model = fleets.deployment('b')
    pool = layers.Pool(engines, layers.Sizing.BY_SHARE)
    new = {c.id: c.holding for c in layers.plan_pools([pool], model)}
    engines = [
        msgspec.structs.replace(e, holding=new[e.id], loaded=new[e.id])
        for e in engines
    ]
    assert repairs.has_all_loaded(engines, model.layers)
    for _ in range(20):
        engines = fleets.step(engines, model)
        assert repairs.has_all_loaded(engines, model.layers)


def test_engines_stay_merged_while_no_domain_can_be_completed():
    """Failure: a domain that can't be completed yet replaces the one pool."""
    model = build.model(layers=16, token_mb=0.0)
    engines = [
        build.engine('a0', 'a', 'small', held=(4, 12)),
        build.engine('a1', 'a', 'small', held=(4, 12), loaded=False),
        build.engine('b0', 'b', 'small', held=(0, 4)),
        build.engine('c0', 'c', 'small', held=(12, 16)),
    ]
    (pool,) = layers.pools(engines, model, 8)
    assert pool.domains == ['a', 'b', 'c']
    engines[1] = build.engine('a1', 'a', 'small', held=(4, 12))
    found = [pool.domains for pool in layers.pools(engines, model, 8)]
    assert found == [['a'], ['b', 'c']]


def test_tokens_without_a_size_are_no_error():
    """Failure: the placement check stops at an exception."""
    engines, model = fleets.deployment('b')
    model = msgspec.structs.replace(model, token_mb=0.0)
    engines = fleets.settled(engines, model)
    for pool in layers.pools(engines, model, 8):
        assert round(layers.room_requests(pool, model)) > 0


def test_an_absent_bound_does_not_limit_loads():
    """Failure: one engine loads at a time where no bound is configured."""
    engines, model = _start('b')
    model = msgspec.structs.replace(model, loads_at_once=0)
    engines = [_emptied(e) if e.domain != 'c' else e for e in engines]
    changes = layers.plan(engines, model, 8)
    pools = layers.pools(engines, model, 8)
    assert len(changes) > 3
    assert layers.due(changes, pools, model) == changes


def _emptied(engine):
    return msgspec.structs.replace(engine, holding=None, loaded=None)


def test_pools_sized_by_share_are_bounded_only_during_a_repair():
    """Failure: deployments with memory to spare are repaired later."""
    model = build.model(loads_at_once=1)
    engines = build.planned(build.mixed_engines(), model)
    engines = [
        _emptied(e) if e.domain in 'ab' and '-mid' in e.id else e
        for e in engines
    ]
    pools = layers.pools(engines, model, 8)
    assert {pool.sizing for pool in pools} == {layers.Sizing.BY_SHARE}
    changes = layers.plan(engines, model, 8)
    assert len(changes) > 1
    assert layers.due(changes, pools, model) == changes
    due = layers.due(changes, pools, model, broken={('a',)})
    mine = [c for c in changes if c.id.startswith('a')]
    assert [c for c in due if c.id.startswith('a')] == mine
    assert len([c for c in due if not c.id.startswith('a')]) <= 1


def test_the_last_holder_of_a_layer_keeps_it_while_no_pool_is_complete():
    """Failure: chains over several domains lose a layer that they need."""
    model = build.model(layers=16)
    engines = [
        build.engine('a0', 'a', held=(0, 8)),
        build.engine('a1', 'a', held=(0, 8)),
        build.engine('b0', 'b', held=(4, 10)),
    ]
    pools = [layers.Pool(engines, layers.Sizing.BY_ROOM)]
    moves = [
        layers.Change('a0', build.holding(8, 16)),
        layers.Change('a1', build.holding(8, 16)),
        layers.Change('b0', build.holding(2, 8)),
    ]
    assert layers.due(moves, pools, model) == moves[:1]


def test_few_engines_of_an_incomplete_pool_give_up_layers_at_a_time():
    """Failure: all ranges of a domain are given up for one lost engine."""
    model = build.model(layers=16, loads_at_once=2)
    whole = build.engine('w', 'w', 'wide', held=(0, 16))
    group = [build.engine(f'a{n}', 'a', held=(0, 8)) for n in range(4)]
    pools = [
        layers.Pool([whole], layers.Sizing.BY_ROOM),
        layers.Pool(group, layers.Sizing.BY_ROOM),
    ]
    moves = [layers.Change(e.id, build.holding(8, 16)) for e in group]
    assert layers.due(moves, pools, model) == moves[:2]
    assert layers.due(moves, pools, model, waiting=['a']) == moves[:1]
    group[3] = msgspec.structs.replace(
        group[3], loaded=None, is_unloading=True
    )
    assert layers.due(moves[:3], pools, model, waiting=['w']) == moves[:1]


@pytest.mark.parametrize('seconds, has_moves', [(0.0, False), (4.0, True)])
def test_ranges_are_given_up_only_after_a_gap_has_stood(seconds, has_moves):
    """Failure: a domain is torn down though the lost engine returns.

    Engines in pools sized by share whose layers all have other holders are
    moved at once, as before.
    """
    given_up = 0
    for name in 'ab':
        engines, model = _start(name)
        for lost in engines:
            left = [e for e in engines if e is not lost]
            pools = layers.pools(left, model, 8)
            ages = {(lost.domain,): seconds}
            changes = layers.plan_pools(pools, model, ages)
            given_up += _sole_layers_given_up(left, changes, model)
    assert bool(given_up) == has_moves


def _sole_layers_given_up(engines, changes, model):
    """Count the layers that no engine of their domain holds any more."""
    new = {change.id: change.holding for change in changes}
    count = 0
    for domain in 'abc':
        group = [e for e in engines if e.domain == domain]
        kept = set()
        for engine in group:
            planned = new.get(engine.id, engine.holding)
            kept |= _layers(engine.holding) & _layers(planned)
        held = set().union(*(_layers(e.holding) for e in group))
        count += len(held - kept)
    return count


def _layers(span):
    return set(range(span.first, span.end))


def test_a_returning_engine_gets_the_gap_at_once():
    """Failure: the engine that closes the gap waits like the others."""
    engines, model = _start('a')
    for lost in engines:
        found = [_emptied(e) if e is lost else e for e in engines]
        pools = layers.pools(found, model, 8)
        changes = layers.plan_pools(pools, model, {(lost.domain,): 0.0})
        assert [change.id for change in changes] == [lost.id]


def test_a_small_division_does_not_wait_while_no_pool_is_complete():
    """Failure: nothing is served for 4 s for want of three layers."""
    model = build.model(layers=40, token_mb=0.0)
    engines = [
        build.engine('a0', held=(0, 12)),
        build.engine('a1', held=(10, 22)),
        build.engine('a2', held=(22, 34)),
        build.engine('a3', held=(25, 37)),
    ]
    found = [layers.Pool(engines, layers.Sizing.BY_ROOM)]
    young = {('a',): 0.0}
    (change,) = layers.plan_pools(found, model, young)
    assert change.holding == build.holding(28, 40)
    whole = build.engine('w', 'w', 'big', held=(0, 40))
    found.append(layers.Pool([whole], layers.Sizing.BY_ROOM))
    assert layers.plan_pools(found, model, young) == []


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


def test_a_combined_pool_keeps_ranges_of_a_domain_adjacent():
    """Failure: chains cross domains more often after each loss."""
    model = build.model(layers=24)
    engines = [
        build.engine('a0', 'a', 'small', held=(0, 6)),
        build.engine('a1', 'a', 'small'),
        build.engine('b0', 'b', 'small', held=(12, 18)),
        build.engine('b1', 'b', 'small'),
    ]
    pool = layers.Pool(engines, layers.Sizing.BY_ROOM)
    found = {c.id: c.holding for c in layers.plan_pools([pool], model)}
    assert found == {'a1': build.holding(6, 12), 'b1': build.holding(18, 24)}


@pytest.mark.parametrize('is_served', [False, True])
def test_unheld_layers_come_before_others_unless_a_pool_is_complete(is_served):
    """Failure: copies are loaded first while no request can be served."""
    first = [
        build.engine('a0', 'a', 'wide', held=(0, 2)),
        build.engine('a1', 'a', 'wide', held=(4, 12)),
        build.engine('a2', 'a'),
        build.engine('a3', 'a'),
        build.engine('a4', 'a', held=(13, 16)),
    ]
    second = [
        build.engine('b0', 'b', 'wide', held=(0, 12)),
        build.engine('b1', 'b', held=(12 if is_served else 13, 16)),
    ]
    changes = [
        layers.Change('a2', build.holding(2, 4)),
        layers.Change('a3', build.holding(12, 13)),
    ]
    found = repairs.ordered([(first, changes), (second, [])], 16)
    assert found == (changes if is_served else changes[::-1])


def test_engines_that_keep_their_layers_come_before_others():
    """Failure: an engine waits for its requests before others load."""
    engines = [
        build.engine('a0', held=(0, 8)),
        build.engine('a1', held=(6, 12)),
    ]
    changes = [
        layers.Change('a1', build.holding(7, 13)),
        layers.Change('a0', build.holding(0, 11)),
    ]
    whole = [build.engine('w', 'w', 'wide', held=(0, 16))]
    found = repairs.ordered([(engines, changes), (whole, [])], 16)
    assert found == changes[::-1]


@pytest.mark.parametrize('is_unloading', [False, True])
def test_an_engine_that_waits_for_its_requests_is_no_load(is_unloading):
    """Failure: nothing loads for up to 15 s while an engine waits."""
    model = build.model(layers=16, loads_at_once=1)
    engines = [
        build.engine('a0', held=(0, 8)),
        msgspec.structs.replace(
            build.engine('a1', held=(4, 8), loaded=False),
            is_unloading=is_unloading,
        ),
        build.engine('a2'),
    ]
    changes = [layers.Change('a2', build.holding(8, 16))]
    found = [layers.Pool(engines, layers.Sizing.BY_ROOM)]
    assert layers.due(changes, found, model) == changes * is_unloading


def test_a_domain_that_holds_all_layers_stays_a_pool_with_little_room():
    """Failure: a complete pool is dissolved when its room shrinks."""
    engines, model = _start('b')
    sizings = [pool.sizing.name for pool in layers.pools(engines, model, 1000)]
    assert sizings == ['BY_ROOM', 'BY_SHARE', 'BY_ROOM']
    engines = [_emptied(e) if e.domain == 'a' else e for e in engines]
    sizings = [pool.sizing.name for pool in layers.pools(engines, model, 1000)]
    assert sizings == ['BY_SHARE', 'BY_ROOM', 'KEPT']
