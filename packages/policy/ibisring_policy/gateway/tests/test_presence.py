"""Tests of endpoints that left, and of entries that expired in an outage."""

import pytest

from ibisring_policy.gateway import presence
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing


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


DRAINING = routing.EndpointState.DRAINING


def _restored(*left, started=1):
    """Return endpoints x, y and z as the store comes back from a copy."""
    endpoints = presence.make_presence()
    entries = [build.endpoint(name, started=started) for name in 'xyz']
    endpoints.replace(entries, 0.0)
    for name in left:
        endpoints.remove(name, 10.0)
    endpoints.store_restored(11.0)
    return endpoints


def _copy(names='xyz', **changes):
    return [
        build.endpoint(name, **{'started': 1, **changes}) for name in names
    ]


def test_an_entry_missing_in_the_copy_stays_in_use_until_written_again():
    """Guards against refusing requests for entries that the store lost."""
    endpoints = _restored()
    endpoints.replace([], 11.0)
    assert set(endpoints.usable()) == {'x', 'y', 'z'}
    endpoints.put(build.endpoint('x', started=1), 12.0)
    assert endpoints.expire(11.0 + presence.REREGISTER_SECONDS)
    assert set(endpoints.usable()) == {'x'}


def test_an_endpoint_that_left_is_not_revived_by_the_copy():
    """Guards against requests to an endpoint that only a copy still has."""
    endpoints = _restored('x')
    endpoints.replace(_copy(), 11.0)
    assert set(endpoints.usable()) == {'y', 'z'}
    endpoints.remove('x', 14.0)
    endpoints.expire(11.0 + presence.REVIVED_SECONDS)
    assert set(endpoints.usable()) == {'y', 'z'}


def test_an_endpoint_whose_entry_stays_in_the_store_is_used_again():
    """Guards against losing an endpoint that had only been unreachable."""
    endpoints = _restored('x')
    endpoints.replace(_copy(), 11.0)
    assert endpoints.expire(11.0 + presence.REVIVED_SECONDS)
    assert set(endpoints.usable()) == {'x', 'y', 'z'}


def test_an_entry_that_returns_in_the_same_era_is_used_at_once():
    endpoints = presence.make_presence()
    endpoints.put(build.endpoint('x', started=1), 0.0)
    endpoints.remove('x', 10.0)
    assert endpoints.put(build.endpoint('x', started=1), 15.0)


def test_an_entry_from_before_a_leave_does_not_undo_it():
    """Guards against a copy that takes back what an endpoint has said."""
    endpoints = _restored()
    endpoints.put(build.endpoint('x', started=1, state=DRAINING), 11.0)
    for entries in (_copy(), _copy('yz'), _copy()):
        endpoints.replace(entries, 20.0)
        found = endpoints.usable().get('x')
        assert found is None or found.state is DRAINING


def test_a_later_start_is_used_after_a_leave():
    endpoints = _restored('x')
    endpoints.put(build.endpoint('y', started=1, state=DRAINING), 11.0)
    endpoints.replace(_copy(started=2), 12.0)
    states = {each.state for each in endpoints.usable().values()}
    assert len(endpoints.usable()) == 3 and states == {
        routing.EndpointState.READY
    }


def test_an_entry_of_an_earlier_process_is_ignored():
    """Guards against returning to what a process before the present wrote."""
    endpoints = _restored(started=5)
    assert not endpoints.put(build.endpoint('x', started=4), 12.0)
    assert endpoints.usable()['x'].started == 5


def test_what_another_router_does_not_confirm_is_dropped_in_time():
    """Guards against keeping a left endpoint that a peer still waits for."""
    endpoints = presence.make_presence()
    endpoints.replace(_copy(), 10.0, confirmed=True, unconfirmed=['x'])
    assert set(endpoints.usable()) == {'x', 'y', 'z'}
    assert endpoints.expire(10.0 + presence.REREGISTER_SECONDS)
    assert set(endpoints.usable()) == {'y', 'z'}


def test_the_number_of_left_endpoints_is_bounded():
    endpoints = presence.make_presence()
    for number in range(presence.MAX_LEFT + 50):
        endpoints.put(build.endpoint(f'e{number}', started=1), 1.0)
        endpoints.remove(f'e{number}', 1.0)
    assert len(endpoints.left) == presence.MAX_LEFT


def test_a_leave_that_an_endpoint_reports_holds_for_its_life():
    """Guards against an entry or a peer's list that undoes a leave."""
    endpoints = presence.make_presence()
    endpoints.replace(_copy('xy'), 0.0)
    assert endpoints.report_leaving('x', 1, 1.0)
    assert not endpoints.report_leaving('x', 1, 2.0)
    endpoints.put(build.endpoint('x', started=1, slots=9), 3.0)
    endpoints.replace(_copy('xy'), 4.0, confirmed=True)
    assert endpoints.usable()['x'].state is DRAINING
    endpoints.put(build.endpoint('x', started=2), 5.0)
    assert endpoints.usable()['x'].state is routing.EndpointState.READY


def test_a_leave_reported_before_the_entry_is_known_holds():
    """Guards against forgetting what a router was told as it started."""
    endpoints = presence.make_presence()
    assert not endpoints.report_leaving('x', 1, 1.0)
    endpoints.replace(_copy('x'), 2.0)
    assert endpoints.usable()['x'].state is DRAINING


def test_a_leave_of_an_earlier_process_changes_nothing():
    endpoints = presence.make_presence()
    endpoints.replace(_copy('x', started=5), 0.0)
    assert not endpoints.report_leaving('x', 4, 1.0)
    assert endpoints.leaving() == {}


def test_a_leave_is_noted_once():
    """Guards against routers that tell each other of it without end."""
    endpoints = presence.make_presence()
    endpoints.replace(_copy('x'), 0.0)
    endpoints.report_leaving('x', 1, 1.0)
    endpoints.put(build.endpoint('x', started=1, state=DRAINING), 9.0)
    assert endpoints.leaving() == {'x': (1, 1.0)}
