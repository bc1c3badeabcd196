"""Tests of the number of threads that serve callers."""

import contextlib
import logging
import queue
import threading

from ibisring_gateway import growingpool
from ibisring_gateway.tests import callers
from ibisring_policy.gateway import threadcounts
import pytest

SPARE = threadcounts.SPARE_THREADS
RETRY = threadcounts.RETRY_SECONDS
BURST = 250
REQUEST = callers.HEAD + b'Content-Length: 4\r\n\r\nbody'


class _Worker:
    """A thread that takes nothing until the test says so."""

    conn = None


class _Machine:
    """Starts threads up to its limit, by name only.

    Attributes
    ----------
    room : int
        Threads that may still be started.
    tries : int
    now : float
    """

    def __init__(self, monkeypatch):
        self.room = 10000
        self.tries = 0
        self.now = 0.0
        monkeypatch.setattr(
            growingpool.GrowingPool, '_spawn_worker', self._start
        )

    def _start(self):
        self.tries += 1
        if self.room == 0:
            raise RuntimeError("can't start new thread")
        self.room -= 1
        return _Worker()

    def make_pool(self, first=16, limit=1200):
        pool = growingpool.GrowingPool(None, first, limit, lambda: self.now)
        pool.start()
        return pool


@pytest.fixture
def machine(monkeypatch):
    return _Machine(monkeypatch)


def _serve(pool):
    """Take a connection in a thread of its own, and go on holding it."""
    thread = threading.Thread(target=pool.take)
    thread.start()
    thread.join()


def test_connections_of_a_burst_start_threads_as_they_are_taken(machine):
    """Guards against connections of a burst that wait for one another."""
    pool = machine.make_pool()
    for number in range(BURST):
        pool.put(number)
    assert machine.tries == 16
    for number in range(BURST):
        assert len(pool._threads) > number
        # A thread of this number may have the identity of one that ended.
        pool.holders.clear()
        _serve(pool)
    assert len(pool._threads) == BURST + SPARE


def test_connection_starts_a_thread_if_none_is_free(machine):
    """Guards against a connection that no thread will take."""
    pool = machine.make_pool(first=1)
    pool.put('a')
    _serve(pool)
    pool.counts.held = len(pool._threads)
    count = len(pool._threads)
    pool.put('b')
    pool.put('c')
    assert len(pool._threads) == count + 1


def test_connections_one_after_the_other_need_no_more_threads(machine):
    """Guards against a pool that grows with the requests of its life."""
    pool = machine.make_pool()
    for number in range(100):
        pool.put(number)
        assert pool.take() == number
    assert pool.load == 1
    assert len(pool._threads) == 16


def test_thread_that_waits_has_no_connection(machine, monkeypatch):
    pool = machine.make_pool()
    pool.put('a')
    pool.take()
    assert pool.load == 1

    def nothing():
        raise queue.Empty

    monkeypatch.setattr(pool._queue, 'get', nothing)
    with pytest.raises(queue.Empty):
        pool.take()
    assert pool.load == 0


@pytest.mark.parametrize('room', [0, 1, 15])
def test_start_goes_on_with_fewer_threads(machine, room):
    """Guards against a router that exits at the system's limit of threads."""
    machine.room = room
    pool = machine.make_pool()
    assert len(pool._threads) == room
    assert pool.failed_starts == 1


def test_connection_is_queued_where_no_thread_can_be_started(machine):
    """Guards against connections lost at the system's limit of threads."""
    machine.room = 16
    pool = machine.make_pool()
    for number in range(BURST):
        pool.put(number)
    assert [pool.take() for _ in range(BURST)] == list(range(BURST))
    assert len(pool._threads) == 16


def test_failed_start_is_logged_and_tried_again_later(machine, caplog):
    """Guards against a try and a log line for each connection."""
    caplog.set_level(logging.INFO)
    machine.room = 16
    pool = machine.make_pool()
    for number in range(BURST):
        pool.put(number)
    pool.take()
    pool.take()
    assert pool.failed_starts == 1
    assert machine.tries == 17
    machine.now += RETRY
    pool.take()
    assert pool.failed_starts == 2
    assert [line.message for line in caplog.records] == ['thread_start_failed']
    machine.room = 1000
    pool.take()
    assert len(pool._threads) == 16
    machine.now += RETRY
    pool.take()
    assert len(pool._threads) == 18
    assert [line.message for line in caplog.records] == [
        'thread_start_failed',
        'thread_start_recovered',
    ]


def test_threads_that_all_serve_get_another_after_a_failed_start(machine):
    """Guards against a connection that waits for a stream to end."""
    machine.room = 16
    pool = machine.make_pool()
    pool.counts.held = 16
    pool.put('a')
    pool.check()
    assert pool.failed_starts == 1
    machine.room = 1
    machine.now += RETRY
    pool.check()
    assert len(pool._threads) == 17


def test_pool_without_threads_gets_those_of_the_start_later(machine):
    """Guards against a server that stays without threads."""
    machine.room = 0
    pool = machine.make_pool()
    machine.room = 1000
    machine.now += RETRY
    for _ in range(20):
        pool.check()
    assert len(pool._threads) == 16


def test_stopped_pool_starts_no_thread(machine):
    """Guards against a thread that keeps a stopped process running."""
    pool = machine.make_pool()
    pool._threads.clear()
    pool.stop()
    for number in range(BURST):
        pool.put(number)
        pool.take()
    pool.check()
    assert machine.tries == 16


class _Endpoint:
    """Answers no request until all of a burst have arrived."""

    def __init__(self):
        self.arrived = threading.Barrier(BURST, timeout=callers.WAIT_SECONDS)

    def serve(self, call):
        call.read_body()
        self.arrived.wait()
        call.answer(200, [], b'served')


def _ask_at_once(server, opened):
    """Return the answers to a burst of requests on new connections."""
    socks = [
        opened.enter_context(callers.connected(server)) for _ in range(BURST)
    ]
    for sock in socks:
        sock.sendall(REQUEST)
    return [callers.receive_answer(sock) for sock in socks]


def test_burst_at_a_quiet_server_is_served_at_once():
    """Guards against requests that wait for those before them to end."""
    with callers.running(_Endpoint().serve, (16, 1200)) as server:
        with contextlib.ExitStack() as opened:
            for _ in range(2):
                answers = _ask_at_once(server, opened)
                assert all(answer.endswith(b'served') for answer in answers)
                callers.wait_until(lambda: server.requests.load == 0)
        assert len(server.requests._threads) <= BURST + SPARE


def test_server_without_threads_serves_once_it_has_them(monkeypatch):
    """Guards against an accept loop that ends for a thread not started."""
    spawn = growingpool.GrowingPool._spawn_worker
    failures = [RuntimeError("can't start new thread")] * 2

    def fail_first(pool):
        if failures:
            raise failures.pop()
        return spawn(pool)

    monkeypatch.setattr(growingpool.GrowingPool, '_spawn_worker', fail_first)
    with callers.running(threads=(16, 1200)) as server:
        assert not server.requests._threads
        with callers.connected(server) as sock:
            sock.sendall(REQUEST)
            assert callers.receive_answer(sock).endswith(b'body')


def test_server_that_can_start_no_more_threads_serves(monkeypatch):
    """Guards against an accept loop that ends for want of a thread."""
    start = threading.Thread.start

    def start_from_here_only(thread):
        if threading.current_thread() is not threading.main_thread():
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, 'start', start_from_here_only)
    with callers.running(threads=(2, 1200)) as server:
        with contextlib.ExitStack() as opened:
            answers = _ask_at_once(server, opened)
            assert all(answer.endswith(b'body') for answer in answers)
        assert len(server.requests._threads) == 2
