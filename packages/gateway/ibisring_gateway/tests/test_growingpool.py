"""Tests of the number of threads that serve callers."""

import logging
import queue

from ibisring_gateway import growingpool
import pytest

SPARE = growingpool.SPARE_THREADS


class _Worker:
    """A thread that takes nothing until the test says so."""

    conn = None


@pytest.fixture
def make_pool(monkeypatch):
    """Make a pool whose threads are started by name only."""
    monkeypatch.setattr(
        growingpool.GrowingPool, '_spawn_worker', lambda pool: _Worker()
    )

    def make(first, limit):
        pool = growingpool.GrowingPool(None, first, limit)
        pool.start()
        return pool

    return make


def test_burst_at_a_quiet_server_gets_a_thread_each(make_pool):
    """Guards against connections of a burst that wait for one another."""
    pool = make_pool(16, 1200)
    for number in range(250):
        pool.put(number)
        assert len(pool._threads) >= number + 1
    assert len(pool._threads) == 250 + SPARE


def test_threads_that_took_no_connection_yet_do_not_count_as_free(make_pool):
    """Guards against a pool that takes busy threads for free ones."""
    pool = make_pool(16, 1200)
    for number in range(16 + SPARE):
        pool.put(number)
        pool._queue.get()
    assert len(pool._threads) == 16 + 2 * SPARE


def test_pool_grows_to_its_limit_only(make_pool):
    pool = make_pool(2, 20)
    for number in range(50):
        pool.put(number)
    assert len(pool._threads) == 20


def test_connections_one_after_the_other_need_no_more_threads(make_pool):
    """Guards against a pool that grows with the requests of its life."""
    pool = make_pool(16, 1200)
    for number in range(100):
        pool.put(number)
        assert pool.take() == number
    assert pool.load == 1
    assert len(pool._threads) == 16


def test_thread_that_waits_has_no_connection(make_pool, monkeypatch):
    pool = make_pool(16, 1200)
    pool.put('a')
    pool.take()
    assert pool.load == 1

    def nothing():
        raise queue.Empty

    monkeypatch.setattr(pool._queue, 'get', nothing)
    with pytest.raises(queue.Empty):
        pool.take()
    assert pool.load == 0


class _Machine:
    """Starts threads up to its limit.

    Attributes
    ----------
    room : int
        Threads that may still be started.
    tries : int
    now : float
    """

    def __init__(self, room):
        self.room = room
        self.tries = 0
        self.now = 0.0

    def start(self):
        self.tries += 1
        if self.room == 0:
            raise RuntimeError("can't start new thread")
        self.room -= 1
        return _Worker()

    def make_pool(self, monkeypatch, first, limit=1200):
        monkeypatch.setattr(
            growingpool.GrowingPool, '_spawn_worker', self.start
        )
        return growingpool.GrowingPool(None, first, limit, lambda: self.now)


@pytest.mark.parametrize('room', [0, 1, 15])
def test_start_goes_on_with_fewer_threads(monkeypatch, room):
    """Guards against a router that exits at the system's limit of threads."""
    pool = _Machine(room).make_pool(monkeypatch, 16)
    pool.start()
    assert len(pool._threads) == room
    assert pool.failed_starts == 1


def test_connection_is_queued_where_no_thread_can_be_started(monkeypatch):
    """Guards against connections lost at the system's limit of threads."""
    pool = _Machine(16).make_pool(monkeypatch, 16)
    pool.start()
    for number in range(250):
        pool.put(number)
    assert len(pool._threads) == 16
    assert [pool.take() for _ in range(250)] == list(range(250))


def test_failed_start_is_logged_and_tried_again_later(monkeypatch, caplog):
    """Guards against a try and a log line for each connection."""
    caplog.set_level(logging.INFO)
    machine = _Machine(16)
    pool = machine.make_pool(monkeypatch, 16)
    pool.start()
    for number in range(250):
        pool.put(number)
    assert pool.failed_starts == 1
    assert machine.tries == 17
    machine.now += growingpool.RETRY_SECONDS
    pool.grow_as_needed()
    assert pool.failed_starts == 2
    assert [line.message for line in caplog.records] == ['thread_start_failed']
    machine.room = 1000
    pool.grow_as_needed()
    assert len(pool._threads) == 16
    machine.now += growingpool.RETRY_SECONDS
    pool.grow_as_needed()
    assert len(pool._threads) == 250 + SPARE
    assert [line.message for line in caplog.records] == [
        'thread_start_failed',
        'thread_start_recovered',
    ]


def test_pool_without_threads_gets_those_of_the_start_later(monkeypatch):
    """Guards against a server that stays without threads."""
    machine = _Machine(0)
    pool = machine.make_pool(monkeypatch, 16)
    pool.start()
    machine.room = 1000
    machine.now += growingpool.RETRY_SECONDS
    pool.grow_as_needed()
    assert len(pool._threads) == 16
