"""Tests of endpoints that left, and of entries that expired in an outage."""

import pytest

from ibisring_policy.gateway import presence
from ibisring_policy.gateway.tests import builders as build


def _presence(*names):
    endpoints = presence.make_presence()
    endpoints.replace([build.endpoint(name) for name in names], 0.0)
    return endpoints


def test_an_entry_removed_without_an_outage_is_gone_at_once():
    endpoints = _presence('x', 'y')
    assert endpoints.remove('x', 1.0)
    assert set(endpoints.usable()) == {'y'}


def test_entries_that_expired_in_an_outage_stay_in_use_for_a_while():
    """Symptom: the store has recovered, and every request is refused.

    Sequence: the store is down for seconds and accepts no heartbeats; when it
    recovers, all entries have expired, and are registered again one by one.
    Cause: missing entries counted as endpoints that left.
    """
    endpoints = _presence('x', 'y')
    assert endpoints.read_failed(1.0)
    assert not endpoints.read_failed(2.0)
    assert endpoints.read_succeeded(6.0)
    endpoints.replace([], 6.0)
    assert set(endpoints.usable()) == {'x', 'y'}
    endpoints.put(build.endpoint('x'), 7.0)
    assert not endpoints.expire(8.0)
    assert endpoints.expire(6.0 + presence.REREGISTER_SECONDS)
    assert set(endpoints.usable()) == {'x'}


def test_an_entry_missing_at_a_peer_that_reads_the_store_is_gone():
    endpoints = _presence('x', 'y')
    endpoints.read_failed(1.0)
    endpoints.replace([build.endpoint('x')], 2.0, confirmed=True)
    assert set(endpoints.usable()) == {'x'}


def test_an_unchanged_entry_is_not_a_change():
    endpoints = _presence('x')
    assert not endpoints.put(build.endpoint('x'), 1.0)
    assert not endpoints.remove('other', 1.0)
    assert endpoints.drain_changes() == ['x ready']


def _after_an_outage(served_at):
    endpoints = presence.make_presence()
    endpoints.put(build.endpoint('x'), 10.0)
    endpoints.read_failed(20.0)
    if served_at is not None:
        endpoints.store_served_peer(served_at)
    endpoints.read_succeeded(28.0)
    endpoints.remove('x', 28.0)
    return endpoints


@pytest.mark.parametrize('served_at', (None, 19.0, 24.0))
def test_an_entry_that_expired_in_an_outage_is_kept_for_the_grace_time(
    served_at,
):
    endpoints = _after_an_outage(served_at)
    assert 'x' in endpoints.usable()
    assert not endpoints.expire(28.0 + presence.REREGISTER_SECONDS - 0.1)
    assert endpoints.expire(28.0 + presence.REREGISTER_SECONDS)
    assert endpoints.usable() == {}


def test_an_entry_removed_while_only_this_router_was_rejected_is_gone():
    """Symptom: a request reaches an engine 2.5 s after it deregistered.

    Sequence: the store rejects one router and serves the others; an engine's
    entry is removed; the store answers the router again.
    Cause: the entry counted as expired in an outage, although the store
    accepted heartbeats all the time.
    """
    assert _after_an_outage(served_at=27.5).usable() == {}
