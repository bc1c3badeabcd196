"""Tests of the thread pool when no thread can be started."""

import threading

from ibisring_gateway.tests import threadrefusals
from ibisring_gateway import workerpool
import pytest


@pytest.fixture
def pool():
    made = workerpool.make_worker_pool(2)
    yield made
    made.shutdown()


def test_refused_call_is_never_run(pool):
    """Guards against a check that runs twice as it is submitted again."""
    calls = []
    with threadrefusals.no_new_threads(), pytest.raises(RuntimeError):
        pool.submit(calls.append, 'refused')
    pool.submit(calls.append, 'again').result()
    assert calls == ['again']


def test_call_waits_for_a_thread_that_there_is(pool):
    """Guards against a call that is refused as a second thread can't start."""
    is_free = threading.Event()
    is_busy = threading.Event()
    pool.submit(lambda: is_busy.set() or is_free.wait())
    is_busy.wait()
    with threadrefusals.no_new_threads():
        future = pool.submit(int, '7')
    assert not future.done()
    is_free.set()
    assert future.result() == 7


def test_calls_without_any_thread_run_in_that_of_the_caller(pool):
    """Guards against orders of which some were sent and none recorded."""
    with threadrefusals.no_new_threads():
        assert pool.run_all(int, ['1', '2', '3']) == [1, 2, 3]
    assert pool.run_all(int, ['4', '5', '6']) == [4, 5, 6]


def test_exception_of_a_call_is_raised_to_its_caller(pool):
    with pytest.raises(ValueError):
        pool.submit(int, 'x').result()


def test_call_after_the_end_is_refused(pool):
    """Guards against a wait for a call that no thread will run."""
    pool.submit(int).result()
    pool.shutdown()
    with pytest.raises(RuntimeError):
        pool.submit(int)
