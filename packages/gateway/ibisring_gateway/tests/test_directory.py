"""Tests of what is in force and which endpoints are known."""

from ibisring_gateway import directory
from ibisring_gateway import ports
from ibisring_gateway.tests import builders
from ibisring_gateway import upstream
from ibisring_gateway import view as view_module
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing
import pytest


def _directory():
    view = view_module.make_view('a')
    changes = []
    actor = directory.Directory(
        view,
        builders.Metrics(),
        upstream.make_connections(),
        lambda: changes.append(view.snapshot),
        lambda table: None,
    )
    return actor, view, changes


def _table(actor, version, origin=directory.STORE):
    table = build.table(version)
    actor.on_read(directory.Read([table], True, origin, is_table=True))


def _endpoints(actor, items, whole=True, position=1, origin='store'):
    actor.on_read(
        directory.Read(items, whole, origin=origin, position=position)
    )


def test_an_older_table_never_comes_back():
    """Symptom: a revoked key works again for a moment.

    Sequence: a router reads version 9; a peer that is behind, or a store
    that answers with an old state, shows version 8.
    Cause: whatever was read last was put in force.
    """
    actor, view, _ = _directory()
    _table(actor, 9)
    _table(actor, 8, 'router r2')
    _table(actor, 8)
    assert view.snapshot.version == 9
    _table(actor, 12)
    assert view.snapshot.version == 12


def test_ready_needs_a_table_and_the_endpoints():
    actor, view, _ = _directory()
    assert not view.is_ready
    _table(actor, 1)
    assert not view.is_ready
    _endpoints(actor, [])
    assert view.is_ready


def test_a_draining_endpoint_is_known_but_takes_nothing():
    actor, view, changes = _directory()
    leaving = build.endpoint('x', state=routing.State.DRAINING)
    _endpoints(actor, [build.endpoint('y'), leaving])
    assert [e.id for e in view.snapshot.by_service['lookup']] == ['y']
    assert set(view.snapshot.endpoints) == {'x', 'y'}
    assert len(changes) == 1


def test_a_peer_that_is_behind_brings_nothing_back():
    """Symptom: an engine that left comes into chains again.

    Sequence: it is removed; a peer that has not read this yet is asked.
    Cause: the peer's list was judged by its age, not by its version.
    """
    actor, view, _ = _directory()
    both = [build.endpoint('x'), build.endpoint('y')]
    _endpoints(actor, both, position=5)
    _endpoints(actor, [ports.Gone('x')], whole=False, position=6)
    _endpoints(actor, both, position=5, origin='router r2')
    assert set(view.snapshot.endpoints) == {'y'}
    _endpoints(actor, [], position=7, origin='router r2')
    assert view.snapshot.endpoints == {}


@pytest.mark.parametrize('whole', (True, False))
def test_an_old_answer_of_the_store_brings_nothing_back(whole):
    """Symptom: a leaving endpoint gets requests again for a moment.

    Sequence: a router stands still with an answer on its way; it wakes,
    another router tells it of a newer state, and then it reads the answer.
    Cause: what the store said was put in force whatever it was of.
    """
    actor, view, _ = _directory()
    ready = build.endpoint('x')
    leaving = build.endpoint('x', state=routing.State.DRAINING)
    _endpoints(actor, [ready], position=4)
    _endpoints(actor, [leaving], position=6, origin='router r2')
    _endpoints(actor, [ready], whole, position=5)
    assert view.snapshot.endpoints['x'].state is routing.State.DRAINING
    gone = [ports.Gone('x')]
    _endpoints(actor, gone, whole=False, position=7)
    assert view.snapshot.endpoints == {}


def test_an_engine_that_started_again_is_believed_alive():
    actor, view, _ = _directory()
    _endpoints(actor, [build.held_endpoint('x', 0, 8, started=1)])
    view.book.unreachable('x', 10.0)
    again = build.held_endpoint('x', 0, 8, started=2)
    _endpoints(actor, [again], whole=False, position=2)
    assert not view.book.is_dead('x')


def test_an_outage_does_not_empty_the_list():
    actor, view, _ = _directory()
    _endpoints(actor, [build.endpoint('x')])
    actor.on_failed(directory.Failed('no answer'))
    _endpoints(actor, [], position=9)
    assert set(view.snapshot.endpoints) == {'x'}


def test_an_engine_is_believed_of_itself_only_while_the_store_is_away():
    """Symptom: layers loaded in an outage are used only after it.

    Sequence: the store is away; an engine is ordered to hold other layers
    and has them; its entry can't change.
    Cause: what engines hold was known from their entries only.
    """
    actor, view, changes = _directory()
    _endpoints(actor, [build.held_endpoint('x', 0, 8, started=3)])
    news = directory.HoldingReport('x', 3, build.holding(8, 16))
    actor.on_holding_report(news)
    assert view.snapshot.endpoints['x'].holding == build.holding(0, 8)
    actor.on_failed(directory.Failed('no answer'))
    actor.on_holding_report(news)
    assert view.snapshot.endpoints['x'].holding == build.holding(8, 16)
    assert len(changes) == 2
    actor.on_holding_report(
        directory.HoldingReport('x', 4, build.holding(0, 4))
    )
    assert view.snapshot.endpoints['x'].holding == build.holding(8, 16)
    again = build.held_endpoint('x', 0, 4, started=3)
    _endpoints(actor, [again], whole=False, position=2)
    assert view.snapshot.endpoints['x'].holding == build.holding(0, 4)
    assert view.snapshot.store_lost_at is None


def test_what_did_not_come_back_is_dropped_in_time():
    """Symptom: a request reaches an engine 2.5 s after it said it leaves.

    Sequence: an entry is missing after an outage and may come back within
    2.2 s; it does not; no change comes from the store for a second more.
    Cause: the time was looked at only when the store told something.
    """
    clock = builders.Clock()
    actor, view, _ = _directory()
    view.clock = clock
    _endpoints(actor, [build.endpoint('x'), build.endpoint('y')])
    actor.on_failed(directory.Failed('no answer'))
    _endpoints(actor, [ports.Gone('x')], whole=False, position=2)
    clock.now += 1.0
    actor.on_tick(directory.Tick())
    assert 'x' in view.snapshot.endpoints
    clock.now += 1.3
    actor.on_tick(directory.Tick())
    assert set(view.snapshot.endpoints) == {'y'}


def test_each_table_of_the_store_is_told_lost_and_regained(monkeypatch):
    """Symptom: the log says that the store is back, and nothing is new.

    Sequence: both calls that follow the store fail; one is answered again
    a second before the other.
    Cause: the lines did not say which of the two they were about.
    """
    lines = []
    monkeypatch.setattr(
        directory.logs, 'event', lambda log, name, **f: lines.append((name, f))
    )
    actor, _, _ = _directory()
    for is_table in (True, False):
        actor.on_failed(directory.Failed('no answer', is_table, 5.4))
        actor.on_failed(directory.Failed('no answer', is_table, 0.6))
    _endpoints(actor, [])
    told = [(n, f['source']) for n, f in lines if n.startswith('store')]
    assert told == [
        ('store_lost', 'table'),
        ('store_lost', 'endpoints'),
        ('store_regained', 'endpoints'),
    ]
    assert lines[0][1]['waited_ms'] == 5400
