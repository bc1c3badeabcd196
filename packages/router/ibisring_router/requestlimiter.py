"""Limit on concurrent requests that reserves threads for urgent ones."""

__all__ = ['RequestLimiter', 'make_request_limiter']

import contextlib
import threading

from ibisring_records import exceptions

RETRY_AFTER_SECONDS = 1.0


class RequestLimiter:
    """Limits the requests that hold a caller thread.

    Parameters
    ----------
    threads : int
        Number of caller threads.
    urgent : int
        Number of these threads reserved for the most urgent priority.

    Notes
    -----
    A stream holds its thread until it ends.  If streams held all threads, an
    urgent request would wait unread in the kernel's listen queue.  So the
    last `urgent` threads only refuse other requests, at once and with
    outcome `not_run`.
    """

    def __init__(self, threads, urgent):
        self.threads = threads
        self.urgent = urgent
        self.held_threads = 0
        self.tracked_runs = 0
        self.condition = threading.Condition()

    @contextlib.contextmanager
    def hold(self, is_urgent):
        """Count a request against the limit while it runs.

        Raises
        ------
        Overloaded
        """
        self.acquire(is_urgent)
        try:
            yield
        finally:
            self.release()

    @contextlib.contextmanager
    def track(self):
        """Count a run that holds no caller thread; it is never refused."""
        with self.condition:
            self.tracked_runs += 1
        try:
            yield
        finally:
            with self.condition:
                self.tracked_runs -= 1
                self.condition.notify_all()

    def acquire(self, is_urgent):
        """Count a request against the limit until `release` is called."""
        with self.condition:
            limit = self.threads if is_urgent else self.threads - self.urgent
            if self.held_threads >= limit:
                raise exceptions.Overloaded(
                    f'{self.held_threads} requests are in flight here',
                    retry_after=RETRY_AFTER_SECONDS,
                )
            self.held_threads += 1

    def release(self):
        """End the count of an acquired request."""
        with self.condition:
            self.held_threads -= 1
            self.condition.notify_all()

    def wait_until_empty(self, timeout):
        """Wait until nothing runs; return False after a timeout."""
        with self.condition:
            return self.condition.wait_for(
                lambda: self.held_threads + self.tracked_runs == 0, timeout
            )


def make_request_limiter(threads, urgent):
    """Make a request limiter."""
    return RequestLimiter(threads, urgent)
