"""Tests of the number of threads that serve callers."""

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
