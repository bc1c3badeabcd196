"""Tests of the explanation of refusals for lack of room."""

from ibisring_policy.gateway import shortage
from ibisring_policy.gateway.tests import builders as build


def _find(holders, excluded=(), tokens=1000.0):
    demand = build.demand(tokens, end=16)
    return shortage.describe(shortage.find(holders, excluded, demand, 0.95))


def test_there_is_no_shortage_if_every_layer_has_room():
    assert _find([build.holder('x', 0, 16)]) == []


def test_each_range_of_layers_has_its_reasons():
    """Failure: operators can't tell from refusals what to remedy.

    One engine is full, one is lost, and some layers have no holder.
    """
    holders = [
        build.holder('full', 0, 8, used=0.99e6),
        build.holder('free', 6, 10),
    ]
    excluded = [shortage.ExcludedRange(0, 4, 'lost')]
    assert _find(holders, excluded) == [
        '0-4 lost=1 no_memory=1',
        '4-6 no_memory=1',
        '10-16 missing',
    ]


def test_a_first_stage_without_a_slot_does_not_lack_memory():
    first_stage = build.holder('first_stage', 0, 16)
    first_stage.slot_use = 1.0
    assert _find([first_stage]) == ['0-1 no_slot=1']
