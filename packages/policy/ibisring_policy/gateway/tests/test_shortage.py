"""Tests of naming the layers for which nothing has room."""

from ibisring_policy.gateway import shortage
from ibisring_policy.gateway.tests import builders as build


def _find(holders, left_out=(), tokens=1000.0):
    demand = build.demand(tokens, end=16)
    return shortage.describe(shortage.find(holders, left_out, demand, 0.95))


def test_nothing_is_short_where_every_layer_has_room():
    assert _find([build.holder('x', 0, 16)]) == []


def test_each_run_of_layers_has_its_reasons():
    """Symptom: operators see refusals and can't tell what to do.

    Sequence: one engine is full, one is lost, and some layers have no
    holder; requests are refused for want of room.
    Cause: the refusal named none of these.
    """
    holders = [
        build.holder('full', 0, 8, used=0.99e6),
        build.holder('free', 6, 10),
    ]
    left_out = [shortage.ExcludedRange(0, 4, 'lost')]
    assert _find(holders, left_out) == [
        '0-4 lost=1 no_memory=1',
        '4-6 no_memory=1',
        '10-16 missing',
    ]


def test_a_first_engine_without_a_slot_is_no_want_of_memory():
    head = build.holder('head', 0, 16)
    head.slot_use = 1.0
    assert _find([head]) == ['0-1 no_slot=1']
