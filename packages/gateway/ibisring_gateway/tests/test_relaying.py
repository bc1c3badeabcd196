"""Tests of routers that follow other routers instead of the store."""

import threading
import time

from ibisring_gateway import directory
from ibisring_gateway import following
from ibisring_gateway import peers
from ibisring_gateway import ports
from ibisring_gateway import relaying
from ibisring_gateway.tests import builders
from ibisring_gateway import upstream
from ibisring_gateway import view as view_module
from ibisring_policy import readers
from ibisring_policy.tests import fleetbuilders as build
from ibisring_records import exceptions
import pytest


def _board():
    clock = builders.Clock()
    board = relaying.make_board(clock)
    board.heard_at = clock()
    board.publish(10, [build.endpoint('x')], True)
    return board, clock


def test_a_follower_gets_changes_or_everything():
    board, clock = _board()
    board.publish(12, [build.endpoint('y'), ports.Gone('x')], False)
    clock.now += 0.5
    update = board.wait_after(10, 0.0)
    assert ([e.id for e in update.put], update.gone) == (['y'], ['x'])
    assert (update.position, update.whole, update.age) == (12, False, 0.5)
    whole = board.wait_after(9, 0.0)
    assert whole.whole and [e.id for e in whole.put] == ['y']
    assert board.wait_after(12, 0.0).put == []


def test_a_follower_that_waits_is_woken_by_a_change():
    board = relaying.make_board()
    board.publish(10, [], True)
    begun = time.monotonic()
    later = threading.Timer(
        0.1, board.publish, (11, [build.endpoint('z')], False)
    )
    later.start()
    update = board.wait_after(10, 5.0)
    assert [e.id for e in update.put] == ['z']
    assert time.monotonic() - begun < 4.0


def _fleet(own='r0', count=12, domain='a'):
    """Give `Peers` that have heard all others, and their clock."""
    clock = builders.Clock()
    view = builders.view_of([])
    view.clock = clock
    known = builders.peers_of(view, own)
    for number in range(count):
        if f'r{number}' != own:
            address = f'10.0.0.{number}:1'
            known.heard(f'r{number}', address, domain, clock())
    return known, clock


def test_three_routers_of_a_domain_follow_the_store():
    names = [f'r{n}' for n in range(12)]
    chosen = readers.choose(names)
    followed = []
    for name in names:
        known, _ = _fleet(name)
        row, source = peers.make_relays(known).current()
        assert (row is None) == (name in chosen)
        if row is not None:
            followed.append(row.name)
    assert set(followed) <= set(chosen) and len(followed) == 9


def test_a_small_fleet_follows_the_store_itself():
    for name in ('r0', 'r1', 'r2'):
        known, _ = _fleet(name, 3)
        assert peers.make_relays(known).current() == (None, None)


def test_a_router_of_another_domain_is_not_followed():
    known, _ = _fleet(domain='b')
    assert peers.make_relays(known).current() == (None, None)


def test_a_router_that_is_no_longer_heard_is_not_followed():
    chosen = readers.choose(f'r{n}' for n in range(12))
    own = next(f'r{n}' for n in range(12) if f'r{n}' not in chosen)
    known, clock = _fleet(own)
    relays = peers.make_relays(known)
    first, _ = relays.current()
    clock.now += peers.HEARD_FOR
    for name in list(known.known):
        if name != first.name:
            known.heard(name, '10.0.0.1:1', 'a', clock())
    again, _ = relays.current()
    assert again is None or again.name != first.name


class _Failing(ports.Source):
    def read_all(self):
        raise NotImplementedError

    def changes(self, position, wait):
        raise exceptions.PlatformUnavailable('frozen')


class _Relays:
    def __init__(self):
        self.row = ports.RouterRow('r9', '10.0.0.9:1', 'a', 0.0)
        self.source = _Failing()
        self.failures = []

    def current(self):
        return self.row, self.source

    def failed(self, row, why):
        self.failures.append((row.name, why))
        self.row = self.source = None


class _Store(ports.Source):
    def __init__(self):
        self.positions = []

    def read_all(self):
        return ports.Page(7, [])

    def changes(self, position, wait):
        self.positions.append(position)
        return ports.Page(position + 1, [])


class _Pace:
    def wait(self, is_table):
        return 0.0

    def pause(self):
        return 0.0


def test_the_store_is_followed_when_the_router_is_not_there():
    """Symptom: a leaving engine gets requests for as long as it serves.

    Sequence: a router follows another one; that one freezes.
    Cause: the follower waited for it to come back.
    """
    told = []
    store, relays = _Store(), _Relays()
    follower = following.Follower(store, False, _Pace(), told.append, relays)
    follower.step()
    follower.step()
    assert relays.failures == [('r9', 'frozen')]
    assert store.positions == [7]
    assert [each.relayed for each in told] == [False, False]


def _directory():
    view = view_module.make_view('a')
    actor = directory.Directory(
        view,
        builders.Metrics(),
        upstream.make_connections(),
        lambda: None,
        lambda table: None,
    )
    return actor, view


def _relayed(items, position, whole=False, doubt=0.0):
    return directory.Read(
        items,
        whole,
        origin='router r9',
        position=position,
        relayed=True,
        doubt=doubt,
    )


def test_entries_that_lapsed_in_an_outage_seen_by_the_other_stay():
    """Symptom: followers refuse everything when the store returns.

    Sequence: the store is away; the router that follows it sees that, the
    one that follows that router does not; entries have lapsed.
    Cause: the follower took the entries for endpoints that left.
    """
    actor, view = _directory()
    actor.on_read(_relayed([build.endpoint('x')], 5, whole=True))
    actor.on_read(_relayed([ports.Gone('x')], 6, doubt=2.0))
    assert 'x' in view.snapshot.endpoints
    other, view = _directory()
    other.on_read(_relayed([build.endpoint('x')], 5, whole=True))
    other.on_read(_relayed([ports.Gone('x')], 6))
    assert 'x' not in view.snapshot.endpoints


def test_a_follower_is_not_one_to_follow():
    """Symptom: two routers never hear of a change again.

    Sequence: each takes the other for one that follows the store.
    Cause: what a router was told counted as read from the store.
    """
    actor, view = _directory()
    actor.on_read(_relayed([build.endpoint('x')], 5, whole=True))
    assert view.board.wait_after(0, 0.0).age > 1e6
    actor.on_read(directory.Read([], False, position=6))
    assert view.board.wait_after(6, 0.0).age < 60.0
    actor.on_failed(directory.Failed('down'))
    assert view.board.wait_after(6, 0.0).age > 1e6


@pytest.mark.parametrize('count', [6, 30, 83, 300, 380])
def test_calls_for_a_change_do_not_grow_with_the_fleet(count):
    known, clock = _fleet(count=count)
    domains = 3
    for number in range(count):
        known.heard(f'r{number}', '10.0.0.1:1', f'd{number % 3}', clock())
    limit = readers.READERS * (domains + 1)
    assert known.callers(clock()) <= limit
    assert known.wait(is_table=False) <= peers.CALL_EVERY * limit
