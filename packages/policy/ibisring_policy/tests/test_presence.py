"""Tests of telling endpoints that left from those an outage hides."""

from ibisring_policy import presence
from ibisring_policy.tests import fleetbuilders as build


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
    assert known.failed(1.0)
    assert not known.failed(2.0)
    assert known.succeeded(6.0)
    known.replace([], 6.0)
    assert set(known.usable()) == {'x', 'y'}
    known.put(build.endpoint('x'), 7.0)
    assert not known.expire(8.0)
    assert known.expire(6.0 + presence.RETURN_GRACE)
    assert set(known.usable()) == {'x'}


def test_what_a_peer_that_reads_the_store_lacks_is_gone():
    known = _known('x', 'y')
    known.failed(1.0)
    known.replace([build.endpoint('x')], 2.0, sure=True)
    assert set(known.usable()) == {'x'}


def test_an_unchanged_entry_is_no_change():
    known = _known('x')
    assert not known.put(build.endpoint('x'), 1.0)
    assert not known.remove('other', 1.0)
    assert known.take_changes() == ['x ready']
