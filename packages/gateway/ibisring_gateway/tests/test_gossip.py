"""Tests of gossip messages, also between routers of two releases."""

import msgspec

from ibisring_gateway import following
from ibisring_gateway import gossip
from ibisring_gateway import peers
from ibisring_gateway import settings as settings_module
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import polling
from ibisring_policy.gateway import storereaders
from ibisring_policy.gateway import suspects


class _Older(msgspec.Struct, array_like=True):
    """Message of an older release, which reads the store for itself only."""

    router: str
    tokens: dict[str, int]
    dead: list[str]
    changed: int = 0
    table: int = 0
    slow: dict[str, float] = {}
    touch: int = 0
    term: int = 0
    held: dict[str, tuple[int, int, int]] = {}
    full: list[str] = []
    domain: str = ''
    lost_ms: int | None = None


def test_an_older_release_reads_what_a_newer_one_tells():
    suspect = suspects.SuspectUpdate(b'12345678', {1: 5})
    told = gossip.Told(
        'r1',
        {'x': 5},
        ['y'],
        7,
        changes=b'abc',
        back=['z'],
        suspects=[suspect],
    )
    data = msgspec.msgpack.encode(told)
    older = msgspec.msgpack.decode(data, type=_Older)
    assert (older.router, older.tokens, older.dead) == ('r1', {'x': 5}, ['y'])
    assert older.changed == 7
    assert msgspec.msgpack.decode(data, type=gossip.Told).suspects == [suspect]


def test_an_older_release_reads_for_nobody():
    """Failure: a router waits for changes that an older peer never sends."""
    data = msgspec.msgpack.encode(_Older('a', {}, [], domain='d', touch=2))
    told = msgspec.msgpack.decode(data, type=gossip.Told)
    neighbour = storereaders.Neighbour(told.router, told.standing, told.link)
    own = storereaders.Neighbour('b', storereaders.StoreAccess.SERVED)
    assert (
        storereaders.choose_role(own, [neighbour] * 3)
        is storereaders.Role.READS
    )


def _gossip(view):
    """Return a router's gossip that has no socket."""
    settings = settings_module.Settings(
        router_id='r0',
        failure_domain='a',
        host='127.0.0.1',
        caller_listen='127.0.0.1:1',
        ready_listen='127.0.0.1:2',
        store='127.0.0.1:3',
        peer_port=0,
    )
    followers = following.make_followers(
        polling.Fleet, lambda: storereaders.Role.READS
    )
    for name in (peers.TABLE, peers.ENDPOINTS):
        followers.add(name, None, name == peers.TABLE, [].append)
    known = peers.make_peers(
        settings, view, builders.Leases(), [].append, followers
    )
    return gossip.Gossip(settings, view, known, [].append, None)


def test_what_is_not_in_force_yet_is_not_told_as_known():
    """Failure: a router keeps sending to an endpoint that has left.

    A reader that has read a change but not yet applied it sends the new
    position along with the old state.  Receivers conclude that nothing
    changed up to that position, and skip the change when it is sent.
    """
    view = builders.make_view([])
    teller = _gossip(view)
    for follower in teller.peers.followers.members.values():
        follower.position = view.snapshot.position + 100
    told = teller._told(view.clock())
    assert told.position == view.snapshot.position
    assert told.table_position == view.snapshot.table_position
