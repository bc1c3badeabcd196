"""Threads that call a function periodically, with jitter."""

__all__ = ['Periodic', 'start', 'stop_all']

import random
import threading
import time

from ibisring_router import guards

JITTER_RATIO = 0.1
STOP_TIMEOUT_SECONDS = 5.0


class Periodic:
    """Calls a function periodically until stopped.

    Parameters
    ----------
    interval : float
        Seconds between calls, varied by up to a tenth so that routers which
        started together don't poll at the same time.
    function : callable
    """

    def __init__(self, interval, function):
        self.interval = interval
        self.function = function
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        rng = random.Random()
        while not self.stopped.wait(
            self.interval * rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        ):
            guards.run('periodic', self.function)


def start(interval, function):
    """Start a thread that calls a function every `interval` seconds."""
    periodic = Periodic(interval, function)
    periodic.thread.start()
    return periodic


def stop_all(periodics):
    """Stop threads, and wait for running calls to return."""
    for periodic in periodics:
        periodic.stopped.set()
    deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
    for periodic in periodics:
        periodic.thread.join(timeout=max(0.0, deadline - time.monotonic()))
