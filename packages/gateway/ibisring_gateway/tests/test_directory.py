"""Tests of the endpoints and the routing table in force."""

from ibisring_gateway import directory
from ibisring_gateway import ports
from ibisring_gateway import storefollowing
from ibisring_gateway.tests import builders
from ibisring_gateway import upstream
from ibisring_gateway import view as view_module
from ibisring_policy.gateway import polling
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import storereaders
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing
import pytest


def _make_directory():
    view = view_module.make_view('a')
    changes = []
    actor = directory.Directory(
        view,
        builders.Metrics(),
        upstream.make_connection_pool(),
        lambda: changes.append(view.snapshot),
        lambda table: None,
    )
    return actor, view, changes


def _read_table(actor, version, origin=directory.STORE):
    table = build.table(version)
    actor.on_read(directory.ReadResult([table], True, origin, is_table=True))


def _read_endpoints(actor, items, whole=True, position=1, origin='store'):
    actor.on_read(
        directory.ReadResult(items, whole, origin=origin, position=position)
    )


def test_older_table_is_never_applied():
    """Failure: a revoked key works again for a moment.

    After version 9, a peer that is behind or a store with stale state
    returns version 8, and whatever was read last is put in force.
    """
    actor, view, _ = _make_directory()
    _read_table(actor, 9)
    _read_table(actor, 8, 'router r2')
    _read_table(actor, 8)
    assert view.snapshot.version == 9
    _read_table(actor, 12)
    assert view.snapshot.version == 12


def test_view_is_ready_with_table_and_endpoints():
    actor, view, _ = _make_directory()
    assert not view.is_ready
    _read_table(actor, 1)
    assert not view.is_ready
    _read_endpoints(actor, [])
    assert view.is_ready


def test_draining_endpoint_is_known_but_gets_no_requests():
    actor, view, changes = _make_directory()
    leaving = build.endpoint('x', state=routing.EndpointState.DRAINING)
    _read_endpoints(actor, [build.endpoint('y'), leaving])
    assert [e.id for e in view.snapshot.by_service['lookup']] == ['y']
    assert set(view.snapshot.endpoints) == {'x', 'y'}
    assert len(changes) == 1


def test_stale_peer_restores_no_endpoint():
    """Failure: an engine that has left is used in chains again.

    It is removed, and a peer that has not read this yet returns its list,
    which is accepted by its age instead of its version.
    """
    actor, view, _ = _make_directory()
    both = [build.endpoint('x'), build.endpoint('y')]
    _read_endpoints(actor, both, position=5)
    _read_endpoints(actor, [ports.Removed('x')], whole=False, position=6)
    _read_endpoints(actor, both, position=5, origin='router r2')
    assert set(view.snapshot.endpoints) == {'y'}
    _read_endpoints(actor, [], position=7, origin='router r2')
    assert view.snapshot.endpoints == {}


@pytest.mark.parametrize('whole', (True, False))
def test_old_answer_of_the_store_restores_no_endpoint(whole):
    """Failure: a leaving endpoint gets requests again for a moment.

    A router is suspended while an answer of the store is in transit.  It
    resumes, receives newer state from a peer, and then reads the answer,
    which is put in force regardless of its version.
    """
    actor, view, _ = _make_directory()
    ready = build.endpoint('x')
    leaving = build.endpoint('x', state=routing.EndpointState.DRAINING)
    _read_endpoints(actor, [ready], position=4)
    _read_endpoints(actor, [leaving], position=6, origin='router r2')
    _read_endpoints(actor, [ready], whole, position=5)
    assert view.snapshot.endpoints['x'].state is routing.EndpointState.DRAINING
    gone = [ports.Removed('x')]
    _read_endpoints(actor, gone, whole=False, position=7)
    assert view.snapshot.endpoints == {}


def test_restarted_engine_counts_as_alive():
    actor, view, _ = _make_directory()
    _read_endpoints(actor, [build.held_endpoint('x', 0, 8, started=1)])
    view.estimates.note_unreachable('x', 10.0)
    restarted = build.held_endpoint('x', 0, 8, started=2)
    _read_endpoints(actor, [restarted], whole=False, position=2)
    assert not view.estimates.is_dead('x')


def test_outage_does_not_empty_the_list():
    actor, view, _ = _make_directory()
    _read_endpoints(actor, [build.endpoint('x')])
    actor.on_read_failed(directory.ReadFailed('no answer'))
    _read_endpoints(actor, [], position=9)
    assert set(view.snapshot.endpoints) == {'x'}


def test_report_of_an_engine_counts_only_during_an_outage():
    """Failure: layers loaded during a store outage are used only after it.

    An engine loads layers that it was ordered to hold, but its store entry,
    the only source of its layers, can't change.
    """
    actor, view, changes = _make_directory()
    _read_endpoints(actor, [build.held_endpoint('x', 0, 8, started=3)])
    report = directory.HoldingReport('x', 3, build.holding(8, 16))
    actor.on_holding_report(report)
    assert view.snapshot.endpoints['x'].holding == build.holding(0, 8)
    actor.on_read_failed(directory.ReadFailed('no answer'))
    actor.on_holding_report(report)
    assert view.snapshot.endpoints['x'].holding == build.holding(8, 16)
    assert len(changes) == 2
    actor.on_holding_report(
        directory.HoldingReport('x', 4, build.holding(0, 4))
    )
    assert view.snapshot.endpoints['x'].holding == build.holding(8, 16)
    updated = build.held_endpoint('x', 0, 4, started=3)
    _read_endpoints(actor, [updated], whole=False, position=2)
    assert view.snapshot.endpoints['x'].holding == build.holding(0, 4)
    assert view.snapshot.store_lost_at is None


def test_endpoint_missing_after_an_outage_is_dropped_in_time():
    """Failure: a request reaches an engine 2.5 s after it announced leaving.

    Its entry is missing after an outage and may come back within 2.2 s.
    The end of that time is checked only when the store reports a change,
    which takes a second more.
    """
    clock = builders.Clock()
    actor, view, _ = _make_directory()
    view.clock = clock
    _read_endpoints(actor, [build.endpoint('x'), build.endpoint('y')])
    actor.on_read_failed(directory.ReadFailed('no answer'))
    _read_endpoints(actor, [ports.Removed('x')], whole=False, position=2)
    clock.now += 1.0
    actor.on_tick(directory.Tick())
    assert 'x' in view.snapshot.endpoints
    clock.now += 1.3
    actor.on_tick(directory.Tick())
    assert set(view.snapshot.endpoints) == {'y'}


def test_missing_endpoint_is_kept_for_the_time_that_the_router_ran():
    """Guards against dropping what has registered again, unread as yet."""
    actor, view, _ = _make_directory()
    clock = view.clock = builders.Clock()
    _read_endpoints(actor, [build.endpoint('x')])
    actor.on_read_failed(directory.ReadFailed('no answer'))
    _read_endpoints(actor, [ports.Removed('x')], whole=False, position=2)
    view.health.begin_wait(clock())
    clock.now += 3.0
    view.health.end_wait(clock())
    actor.on_tick(directory.Tick())
    assert 'x' in view.snapshot.endpoints
    clock.now += 2.3
    actor.on_tick(directory.Tick())
    assert not view.snapshot.endpoints


def test_loss_and_return_of_each_table_is_logged(monkeypatch):
    """Failure: the log reports the store as back while one table is stale.

    The calls for both tables fail, and one is answered again a second before
    the other; the log lines don't say which.
    """
    lines = []
    monkeypatch.setattr(
        directory.logs, 'event', lambda log, name, **f: lines.append((name, f))
    )
    actor, _, _ = _make_directory()
    for is_table in (True, False):
        actor.on_read_failed(directory.ReadFailed('no answer', is_table, 5.4))
        actor.on_read_failed(directory.ReadFailed('no answer', is_table, 0.6))
    _read_endpoints(actor, [])
    logged = [(n, f['source']) for n, f in lines if n.startswith('store')]
    assert logged == [
        ('store_lost', 'table'),
        ('store_lost', 'endpoints'),
        ('store_regained', 'endpoints'),
    ]
    assert lines[0][1]['waited_ms'] == 5400


def test_later_start_charges_a_request_whose_answer_was_lost():
    """Failure: a crash behind an open port is charged to no request."""
    actor, view, _ = _make_directory()
    before = build.endpoint('e1', started=1)
    actor.on_read(directory.ReadResult([before], True, position=1))
    digest, now = b'12345678', view.clock()
    view.suspects.answer_lost(digest, 'e1', 1, now)
    after = build.endpoint('e1', started=2)
    actor.on_read(directory.ReadResult([after], False, position=2))
    assert view.suspects.verdict(digest, now).crashes == 1


def test_a_lower_version_of_a_later_era_is_applied():
    """Guards against dropping what a restored store says as outdated."""
    actor, view, _ = _make_directory()
    both = [build.endpoint('x'), build.endpoint('y')]
    _read_endpoints(actor, both, position=positions.make(1, 147))
    leaving = build.endpoint('x', state=routing.EndpointState.DRAINING)
    _read_endpoints(actor, both, position=positions.make(2, 144))
    _read_endpoints(
        actor, [leaving], whole=False, position=positions.make(2, 145)
    )
    assert [e.id for e in view.snapshot.by_service['lookup']] == ['y']


def test_a_higher_version_of_an_earlier_era_is_not_applied():
    """Guards against an answer that was under way as the store came back."""
    actor, view, _ = _make_directory()
    leaving = build.endpoint('x', state=routing.EndpointState.DRAINING)
    _read_endpoints(actor, [leaving], position=positions.make(2, 144))
    _read_endpoints(actor, [], position=positions.make(1, 999))
    assert set(view.snapshot.endpoints) == {'x'}


@pytest.mark.parametrize('origin', ('store', 'router r2'))
def test_a_loss_of_the_store_empties_no_list(origin):
    """Guards against refusing requests for entries that the store lost.

    No call of this router failed; only the era shows the loss.  The other
    router may have started since, and know of no endpoint that is missing.
    """
    clock = builders.Clock()
    actor, view, _ = _make_directory()
    view.clock = clock
    both = [build.endpoint('x'), build.endpoint('y')]
    _read_endpoints(actor, both, position=positions.make(1, 147))
    for version in (144, 145):
        position = positions.make(2, version)
        _read_endpoints(actor, [both[1]], position=position, origin=origin)
    assert set(view.snapshot.endpoints) == {'x', 'y'}
    clock.now += 2.3
    actor.on_tick(directory.Tick())
    assert set(view.snapshot.endpoints) == {'y'}


@pytest.mark.parametrize('origin', ('endpoint', 'router r2'))
def test_endpoint_that_reports_its_leave_gets_no_requests(origin):
    """Guards against requests to a leaving endpoint whose row says ready."""
    actor, view, changes = _make_directory()
    both = [build.endpoint('x', started=1), build.endpoint('y', started=1)]
    _read_endpoints(actor, both)
    actor.on_leaving_report(directory.LeavingReport('x', 1, origin))
    assert [e.id for e in view.snapshot.by_service['lookup']] == ['y']
    assert view.snapshot.is_leaving(both[0])
    assert len(changes) == 2
    _read_endpoints(actor, both, position=9)
    assert view.snapshot.is_leaving(both[0])
    assert view.leaving_to_send(view.clock()) == {'x': 1}


def test_leave_of_an_earlier_process_is_ignored():
    actor, view, changes = _make_directory()
    endpoint = build.endpoint('x', started=2)
    _read_endpoints(actor, [endpoint])
    actor.on_leaving_report(directory.LeavingReport('x', 1))
    assert not view.snapshot.is_leaving(endpoint)
    assert len(changes) == 1


def test_what_another_router_does_not_confirm_is_dropped_in_time():
    """Guards against keeping a left endpoint that a peer still waits for."""
    actor, view, _ = _make_directory()
    view.clock = builders.Clock()
    both = [build.endpoint('x'), build.endpoint('y')]
    actor.on_read(
        directory.ReadResult(
            both, True, 'router r2', position=5, unconfirmed=['x']
        )
    )
    assert set(view.snapshot.endpoints) == {'x', 'y'}
    view.clock.now += 2.3
    actor.on_tick(directory.Tick())
    assert set(view.snapshot.endpoints) == {'y'}


class _WholeSource(ports.Source):
    """Answers each read of a table with one page."""

    def __init__(self, page):
        self.page = page

    def read_all(self):
        return self.page

    def changes(self, position, wait):
        return self.page

    def cancel_call(self):
        """Do nothing: no call hangs."""


def test_confirmation_by_a_router_that_started_hides_no_removal():
    """Guards against removed endpoints that stay in use for good."""
    started, started_view, _ = _make_directory()
    behind, behind_view, _ = _make_directory()
    _read_table(started, 1)
    _read_table(behind, 1)
    _read_endpoints(
        behind, [build.endpoint('x'), build.endpoint('y')], position=5
    )
    # x is removed at 7; what is left last changed at 3.
    source = ports.Page(9, [build.endpoint('y')], 3)
    followers = storefollowing.make_followers(
        polling.Fleet, lambda: storereaders.Role.READS, builders.Clock()
    )
    followers.add('endpoints', _WholeSource(source), False, started.on_read)
    followers.members['endpoints'].read_once()
    told = started_view.snapshot
    behind.on_confirmed(
        directory.Confirmed(1, 0, told.newest_version, told.position, 0.0)
    )
    known = behind_view.snapshot
    assert known.position < 7 or set(known.endpoints) == {'y'}


def test_whole_read_without_a_change_vouches_for_nothing_before_it():
    """Guards against hiding what came and went between two whole reads."""
    actor, view, _ = _make_directory()
    for position in (5, 9):
        _read_endpoints(actor, [build.endpoint('x')], position=position)
    assert (view.snapshot.newest_version, view.snapshot.position) == (9, 9)
    _read_endpoints(actor, [], whole=False, position=12)
    assert (view.snapshot.newest_version, view.snapshot.position) == (9, 12)
