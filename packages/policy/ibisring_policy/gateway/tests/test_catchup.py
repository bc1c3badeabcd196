"""Tests of when a router asks another one, and which."""

import pytest

from ibisring_policy.gateway import catchup
from ibisring_policy.gateway import polling


@pytest.mark.parametrize('running', (1, 6, 88))
def test_others_are_asked_while_the_store_answers_late(running):
    """Symptom: a router that the store turns away keeps a revoked key.

    Sequence: it is turned away; the others are served and know better.
    Cause: it waited for the store alone.
    """
    made = catchup.make_catchup()
    usual = min(
        polling.MAX_WAIT_SECONDS, polling.CALL_INTERVAL_SECONDS * running
    )
    assert not made.is_due(100.0, usual, running)
    assert made.is_due(100.0, usual + 2 * catchup.QUERY_DELAY_SECONDS, running)


def test_questions_are_bounded():
    """Load: an outage of ten seconds; one question each 0.4 s."""
    made = catchup.make_catchup()
    asked = 0
    for tick in range(100):
        now = 10.0 + tick * 0.1
        if made.is_due(now, 60.0, 6):
            made.queried(now)
            asked += 1
    assert asked <= 10.0 / catchup.QUERY_INTERVAL_SECONDS + 1


def test_a_change_on_its_way_is_waited_for():
    made = catchup.make_catchup()
    made.peer_is_ahead('r1', 10.0, is_near=False)
    assert not made.is_due(10.0 + catchup.MAX_LAG_SECONDS / 2, 0.0, 6)
    assert made.is_due(10.0 + catchup.MAX_LAG_SECONDS, 0.0, 6)
    made.expire(10.0 + 3 * catchup.MAX_LAG_SECONDS)
    assert not made.is_due(11.0, 0.0, 6)


def test_the_one_that_is_ahead_is_asked_one_nearby_first():
    made = catchup.make_catchup()
    names = ['far', 'near', 'other']
    assert made.choose(names, lambda: 0.99) == 'other'
    made.peer_is_ahead('far', 10.0, is_near=False)
    assert made.choose(names, lambda: 0.99) == 'far'
    made.peer_is_ahead('near', 10.0, is_near=True)
    made.peer_is_ahead('other', 10.0, is_near=False)
    assert made.choose(names, lambda: 0.99) == 'near'
    assert made.choose(['other'], lambda: 0.0) == 'other'
