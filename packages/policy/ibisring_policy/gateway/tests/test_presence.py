"""Tests of telling endpoints that left from those an outage hides."""

import pytest

from ibisring_policy.gateway import presence
from ibisring_policy.gateway.tests import builders as build


def _known(*names):
    known = presence.make_presence()
    known.replace([build.endpoint(name) for name in names], 0.0)
    return known


def test_an_entry_removed_in_calm_is_gone_at_once():
    known = _known('x', 'y')
    assert known.remove('x', 1.0)
    assert set(known.usable()) == {'y'}


def test_entries_that_lapsed_in_an_outage_stay_in_use_for_a_while():
    """Symptom: the store is back, and every request is refused.

    Sequence: the store is down for seconds and nobody can write heartbeats;
    it returns, all entries have lapsed, and come back one by one.
    Cause: entries that were missing were taken for endpoints that left.
    """
    known = _known('x', 'y')
    assert known.read_failed(1.0)
    assert not known.read_failed(2.0)
    assert known.read_succeeded(6.0)
    known.replace([], 6.0)
    assert set(known.usable()) == {'x', 'y'}
    known.put(build.endpoint('x'), 7.0)
    assert not known.expire(8.0)
    assert known.expire(6.0 + presence.REREGISTER_SECONDS)
    assert set(known.usable()) == {'x'}


def test_what_a_peer_that_reads_the_store_lacks_is_gone():
    known = _known('x', 'y')
    known.read_failed(1.0)
    known.replace([build.endpoint('x')], 2.0, confirmed=True)
    assert set(known.usable()) == {'x'}


def test_an_unchanged_entry_is_no_change():
    known = _known('x')
    assert not known.put(build.endpoint('x'), 1.0)
    assert not known.remove('other', 1.0)
    assert known.drain_changes() == ['x ready']


def _after_an_outage(served_at):
    known = presence.make_presence()
    known.put(build.endpoint('x'), 10.0)
    known.read_failed(20.0)
    if served_at is not None:
        known.store_served_peer(served_at)
    known.read_succeeded(28.0)
    known.remove('x', 28.0)
    return known


@pytest.mark.parametrize('served_at', (None, 19.0, 24.0))
def test_what_lapsed_in_an_outage_may_come_back(served_at):
    known = _after_an_outage(served_at)
    assert 'x' in known.usable()
    assert not known.expire(28.0 + presence.REREGISTER_SECONDS - 0.1)
    assert known.expire(28.0 + presence.REREGISTER_SECONDS)
    assert known.usable() == {}


def test_what_left_while_only_this_router_was_turned_away_has_left():
    """Symptom: a request reaches an engine 2.5 s after it said it leaves.

    Sequence: the store turns one router away and serves the others; an
    engine's entry is removed; the store answers the router again.
    Cause: the entry counted as lapsed in an outage, and as one that may
    come back, although heartbeats were taken all the while.
    """
    assert _after_an_outage(served_at=27.5).usable() == {}
