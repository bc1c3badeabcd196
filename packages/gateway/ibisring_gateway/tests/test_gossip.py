"""Tests of the datagrams between routers of two releases."""

import msgspec

from ibisring_gateway import gossip
from ibisring_policy.gateway import sharing


class _Older(msgspec.Struct, array_like=True):
    """What a release tells that reads the store for itself only."""

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
    told = gossip.Told('r1', {'x': 5}, ['y'], 7, changes=b'abc', back=['z'])
    data = msgspec.msgpack.encode(told)
    older = msgspec.msgpack.decode(data, type=_Older)
    assert (older.router, older.tokens, older.dead) == ('r1', {'x': 5}, ['y'])
    assert older.changed == 7


def test_an_older_release_reads_for_nobody():
    """Failure: a router waits for changes that its neighbour never tells."""
    data = msgspec.msgpack.encode(_Older('a', {}, [], domain='d', touch=2))
    told = msgspec.msgpack.decode(data, type=gossip.Told)
    neighbour = sharing.Neighbour(told.router, told.standing, told.link)
    own = sharing.Neighbour('b', sharing.Standing.SERVED)
    assert sharing.role(own, [neighbour] * 3) is sharing.Role.READS
