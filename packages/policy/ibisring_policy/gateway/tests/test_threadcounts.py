"""Tests of when a pool of threads grows, and by whom."""

import random

from ibisring_policy.gateway import threadcounts
import pytest

SPARE = threadcounts.SPARE_THREADS
RETRY = threadcounts.RETRY_SECONDS
STARTS = threadcounts.STARTS_PER_CONNECTION


def _make(threads=0, first=16, limit=1200):
    counts = threadcounts.make_thread_counts(first, limit)
    counts.threads = threads
    return counts


class _Pool:
    """Threads that advance one step at a time, in a random order.

    Attributes
    ----------
    free, taking, starting : int
        Threads that wait for a connection, that have one which does not count
        as held yet, and that are being started.
    waiting : int
        Connections in the queue.
    started_by_queuer : int
        Threads that whoever queues connections had to start.
    """

    def __init__(self, seed, first=16, limit=1200):
        self.random = random.Random(seed)
        self.counts = _make(first, first, limit)
        self.free = first
        self.taking = 0
        self.starting = 0
        self.waiting = 0
        self.started_by_queuer = 0

    def put(self):
        self.counts.queued += 1
        self.waiting += 1
        if self.counts.is_stuck() and self._reserve(1):
            self.started_by_queuer += 1

    def _reserve(self, amount):
        count = [self.counts.reserve(0.0) for _ in range(amount)].count(True)
        self.starting += count
        return count

    def step(self):
        """Advance one thread; return whether one could."""
        steps = []
        if self.starting:
            steps.append(self._start)
        if self.free and self.waiting:
            steps.append(self._take)
        if self.taking:
            steps.append(self._hold)
        if steps:
            self.random.choice(steps)()
        return bool(steps)

    def _start(self):
        self.starting -= 1
        self.free += 1

    def _take(self):
        self.free -= 1
        self.waiting -= 1
        self.taking += 1

    def _hold(self):
        self.taking -= 1
        self.counts.held += 1
        self.counts.queued -= 1
        self._reserve(STARTS)


@pytest.mark.parametrize('seed', range(50))
@pytest.mark.parametrize('steps', [0, 1, 3])
def test_burst_at_a_quiet_pool_gets_a_thread_each(seed, steps):
    """Guards against connections that wait for others to end."""
    pool = _Pool(seed)
    for _ in range(250):
        pool.put()
        for _ in range(pool.random.randint(0, steps)):
            pool.step()
    while pool.step():
        pass
    assert pool.counts.held == 250
    assert 250 <= pool.counts.threads <= 250 + SPARE


@pytest.mark.parametrize('seed', range(50))
def test_queuer_starts_no_thread_while_others_do(seed):
    """Guards against an accept loop that starts a burst's threads."""
    pool = _Pool(seed)
    for _ in range(250):
        pool.put()
    while pool.step():
        pass
    assert pool.started_by_queuer == 0


@pytest.mark.parametrize('seed', range(20))
def test_burst_over_the_limit_gets_all_threads(seed):
    pool = _Pool(seed, first=2, limit=20)
    for _ in range(50):
        pool.put()
    while pool.step():
        pass
    assert pool.counts.threads == pool.counts.held == 20


def test_threads_double_with_each_round_of_starts():
    """Guards against a burst whose threads start one after the other."""
    counts = _make(16)
    counts.queued = 250
    rounds = 0
    while counts.queued:
        rounds += 1
        for _ in range(min(counts.threads - counts.held, counts.queued)):
            counts.queued -= 1
            counts.held += 1
            for _ in range(STARTS):
                counts.reserve(0.0)
    assert rounds <= 5


@pytest.mark.parametrize(
    'threads, queued, held, is_stuck',
    [
        (16, 0, 16, False),
        (16, 1, 15, False),
        (16, 1, 16, True),
        (17, 1, 16, False),
        (0, 1, 0, True),
        (0, 0, 0, False),
    ],
)
def test_queuer_starts_one_if_no_thread_is_free(
    threads, queued, held, is_stuck
):
    """Guards against a connection that no thread will take."""
    counts = _make(threads)
    counts.queued = queued
    counts.held = held
    assert counts.is_stuck() == is_stuck


@pytest.mark.parametrize(
    'threads, load, missing',
    [(0, 0, 16), (16, 0, 0), (16, 8, 0), (16, 9, 1), (1195, 1195, 5)],
)
def test_there_is_a_thread_for_each_connection_and_spare_ones(
    threads, load, missing
):
    counts = _make(threads)
    counts.queued = load
    assert counts.missing() == missing


def test_failed_start_is_tried_again_after_a_pause():
    """Guards against a try, and a log line, for each connection."""
    counts = _make(16)
    counts.queued = 250
    assert counts.reserve(10.0)
    assert counts.note_failure(10.0)
    assert counts.threads == 16
    assert not counts.reserve(10.0 + 0.9 * RETRY)
    assert counts.reserve(10.0 + RETRY)
    assert not counts.note_failure(10.0 + RETRY)
    assert counts.reserve(10.0 + 2.0 * RETRY)
    assert counts.note_success()
    assert counts.reserve(10.0 + 2.0 * RETRY)
    assert not counts.note_success()
    assert counts.failed_starts == 2
