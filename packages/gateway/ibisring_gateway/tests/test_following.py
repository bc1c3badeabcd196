"""Tests of following a source that fails."""

from ibisring_gateway import directory
from ibisring_gateway import following
from ibisring_gateway import ports
from ibisring_records import exceptions


class _Source(ports.Source):
    """Fails while `fails`; counts whole reads."""

    def __init__(self):
        self.fails = True
        self.whole_reads = 0

    def _check(self):
        if self.fails:
            raise exceptions.PlatformUnavailable('no answer')

    def read_all(self):
        self._check()
        self.whole_reads += 1
        return ports.Page(7, [])

    def changes(self, position, wait):
        self._check()
        return ports.Page(position, [])


class _Pace:
    def wait(self):
        return 0.0

    def pause(self):
        return 0.0


def _follower():
    told = []
    follower = following.Follower(_Source(), False, _Pace(), told.append)
    follower.stopped.wait = lambda seconds: None
    return follower, told


def _fail(follower, times):
    for _ in range(times):
        follower._failed(exceptions.PlatformUnavailable('no answer'))


def test_a_router_that_knows_nothing_asks_soon_again():
    """Symptom: after the store's return nobody is served for 1.5 s.

    Sequence: all routers are killed while the store is down; it returns.
    Cause: the pause between tries grew as for one that serves meanwhile.
    """
    follower, told = _follower()
    _fail(follower, 20)
    assert follower.pause == following.MOST_FIRST_PAUSE
    assert all(isinstance(each, directory.Failed) for each in told)


def test_a_router_that_serves_spares_a_store_in_trouble():
    follower, told = _follower()
    follower.source.fails = False
    follower.step()
    assert told[0].whole and told[0].position == 7
    _fail(follower, 20)
    assert follower.pause == following.MOST_PAUSE
    follower.step()
    assert not told[-1].whole
    assert follower.source.whole_reads == 1
