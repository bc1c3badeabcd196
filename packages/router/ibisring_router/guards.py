"""Keeps the loops of long-lived threads going after an exception.

An exception in one step of such a loop, for example as no thread can be
started for a moment, would end the thread for good.  Each is counted, and at
most one a second of each kind is logged.
"""

__all__ = ['Failures', 'counts', 'failed', 'run']

import collections
import logging
import threading
import time

LOG = logging.getLogger(__name__)
LOG_INTERVAL_SECONDS = 1.0


class Failures:
    """Counts and logs exceptions by the kind of step that raised them.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.counters = collections.Counter()
        self.logged_counts = collections.Counter()
        self.logged_at = {}

    def failed(self, step, **facts):
        """Record the exception that is being handled.

        Parameters
        ----------
        step : str
        facts : dict
            Written to the log line.
        """
        with self.lock:
            now = self.clock()
            self.counters[step] += 1
            logged_at = self.logged_at.get(step)
            if logged_at is not None:
                if now - logged_at < LOG_INTERVAL_SECONDS:
                    return
            self.logged_at[step] = now
            times = self.counters[step] - self.logged_counts[step]
            self.logged_counts[step] += times
        facts = {'step': step, 'times': times, **facts}
        LOG.error('step_failed', exc_info=True, extra={'facts': facts})

    def run(self, step, function, *args):
        """Call a function; record an exception instead of raising it.

        Returns
        -------
        bool
            Whether it returned.
        """
        try:
            function(*args)
        except Exception:
            self.failed(step)
            return False
        return True

    def counts(self):
        """Return how often each kind of step failed.

        Returns
        -------
        dict of str to int
        """
        with self.lock:
            return dict(self.counters)


_process_failures = Failures()
# Of this process.
failed = _process_failures.failed
run = _process_failures.run
counts = _process_failures.counts
