"""The engine stand-in refuses invalid steps and copies KV caches."""

import pytest

from ibisring_records import exceptions
from ibisring_records import schemas
from ibisring_standins import engine


def make(name='e', first=0, last=7):
    spec = schemas.EndpointV2(
        address='127.0.0.1:1',
        failure_domain='d',
        model='m',
        version='m@1',
        first_layer=first,
        last_layer=last,
    )
    return engine.make_engine(name, spec)


def begin(attempt=1, position=0, first=0, last=7, source=''):
    return engine.Begin('r', attempt, position, 5, first, last, source)


def step(attempt=1, position=0, first=0, last=7):
    return engine.Step('r', attempt, position, first, last, 1)


@pytest.mark.parametrize(
    'invalid',
    [
        step(first=1),
        step(last=8),
        step(attempt=2),
        step(position=1),
        engine.Step('other', 1, 0, 0, 7, 1),
    ],
)
def test_invalid_step_is_refused_and_counted(invalid):
    stage = make()
    stage.begin(begin())
    with pytest.raises(exceptions.PlanInvalid):
        stage.step(invalid)
    assert stage.refused_count == 1
    assert not stage.ledger


def test_step_is_not_run_twice():
    stage = make()
    stage.begin(begin())
    stage.step(step())
    with pytest.raises(exceptions.PlanInvalid):
        stage.step(step())
    assert len(stage.ledger) == 1


def test_outdated_attempt_is_refused():
    stage = make()
    stage.begin(begin(attempt=2))
    with pytest.raises(exceptions.PlanInvalid):
        stage.begin(begin(attempt=1))


def test_attempt_is_cold_unless_the_cache_is_kept_or_copied():
    old, new = make('old'), make('new')
    old.begin(begin())
    for position in range(3):
        old.step(step(position=position))

    def copy(address, request):
        return old.cached_position(request) if address == 'old' else None

    second = begin(attempt=2, position=3)
    copied = begin(attempt=2, position=3, source='old')
    assert not make().begin(second, copy).warm
    assert new.begin(copied, copy).warm
    assert old.begin(second, copy).warm


def test_layers_out_of_order_change_the_activation():
    state = engine.initial_state('pan', [])
    expected = engine.run_layers(state, 0, 7)
    halves = engine.run_layers(engine.run_layers(state, 0, 3), 4, 7)
    swapped = engine.run_layers(engine.run_layers(state, 4, 7), 0, 3)
    assert expected == halves
    assert expected != swapped
