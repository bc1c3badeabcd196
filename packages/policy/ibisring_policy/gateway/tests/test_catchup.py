"""Tests of when a router queries another one, and which."""

import pytest

from ibisring_policy.gateway import catchup
from ibisring_policy.gateway import polling


@pytest.mark.parametrize('running', (1, 6, 88))
def test_others_are_queried_when_the_store_answers_late(running):
    """Symptom: a router that the store rejects keeps a revoked key.

    Sequence: the store rejects it and serves the others, which have a newer
    table.
    Cause: it waited only for the store.
    """
    policy = catchup.make_catchup()
    usual = min(
        polling.MAX_WAIT_SECONDS, polling.CALL_INTERVAL_SECONDS * running
    )
    assert not policy.is_due(100.0, usual, running)
    assert policy.is_due(
        100.0, usual + 2 * catchup.QUERY_DELAY_SECONDS, running
    )


def test_the_rate_of_queries_is_bounded():
    """Load: an outage of ten seconds; one query every 0.4 s."""
    policy = catchup.make_catchup()
    queries = 0
    for tick in range(100):
        now = 10.0 + tick * 0.1
        if policy.is_due(now, 60.0, 6):
            policy.queried(now)
            queries += 1
    assert queries <= 10.0 / catchup.QUERY_INTERVAL_SECONDS + 1


def test_a_router_waits_for_a_change_before_a_query():
    policy = catchup.make_catchup()
    policy.peer_is_ahead('r1', 10.0, is_near=False)
    assert not policy.is_due(10.0 + catchup.MAX_LAG_SECONDS / 2, 0.0, 6)
    assert policy.is_due(10.0 + catchup.MAX_LAG_SECONDS, 0.0, 6)
    policy.expire(10.0 + 3 * catchup.MAX_LAG_SECONDS)
    assert not policy.is_due(11.0, 0.0, 6)


def test_a_router_ahead_in_the_own_domain_is_queried_first():
    policy = catchup.make_catchup()
    names = ['far', 'near', 'other']
    assert policy.choose(names, lambda: 0.99) == 'other'
    policy.peer_is_ahead('far', 10.0, is_near=False)
    assert policy.choose(names, lambda: 0.99) == 'far'
    policy.peer_is_ahead('near', 10.0, is_near=True)
    policy.peer_is_ahead('other', 10.0, is_near=False)
    assert policy.choose(names, lambda: 0.99) == 'near'
    assert policy.choose(['other'], lambda: 0.0) == 'other'


def test_only_tables_that_are_behind_are_read():
    """Load: 91 routers that start together read both tables twice."""
    progress = catchup.make_catchup()
    progress.peer_is_ahead('r2', 10.0, True, {'table': 2, 'endpoints': 6})
    assert progress.tables_to_read({'table': 0, 'endpoints': 92}) == ['table']
    both = {'table': 2, 'endpoints': 92}
    assert progress.tables_to_read(both) == ['table', 'endpoints']
