"""Thread that measures how late this process runs."""

__all__ = ['StallClock', 'make_stall_clock']

import logging
import threading
import time

from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Stalls that are shorter may go unseen; the shortest time limit by which
# others are judged is of the same size.
TICK_SECONDS = 0.05
# Stalls from which on a line is written, and the shortest time between two.
LOGGED_STALL_SECONDS = 0.1
LOG_INTERVAL_SECONDS = 1.0
MS_PER_SECOND = 1000.0


class StallClock:
    """Waits for short times and records how late each wait ended.

    Parameters
    ----------
    health : localhealth.LocalHealth
    metrics : metrics.Metrics
    clock : callable
    """

    def __init__(self, health, metrics, clock=time.monotonic):
        self.health = health
        self.metrics = metrics
        self.clock = clock
        self.logged_at = float('-inf')
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()
        return self

    def stop(self):
        """Ask the thread to exit."""
        self.stopped.set()

    def _run(self):
        while not self.stopped.is_set():
            due = self.clock() + TICK_SECONDS
            self.health.begin_wait(due)
            self.stopped.wait(TICK_SECONDS)
            now = self.clock()
            self.health.end_wait(now)
            self._report(now - due, now)

    def _report(self, late, now):
        if late < LOGGED_STALL_SECONDS:
            return
        self.metrics.count('process_stalls')
        if now - self.logged_at < LOG_INTERVAL_SECONDS:
            return
        self.logged_at = now
        logs.event(LOG, 'process_stalled', late_ms=round(late * MS_PER_SECOND))


def make_stall_clock(health, metrics):
    """Make a `StallClock`; ``start()`` starts it."""
    return StallClock(health, metrics)
