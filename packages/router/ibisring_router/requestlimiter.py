"""Keeps threads free for urgent requests, and counts what is in flight."""

__all__ = ['RequestLimiter', 'make_request_limiter']

import contextlib
import threading

from ibisring_records import exceptions

RETRY_AFTER = 1.0


class RequestLimiter:
    """Bounds the requests that hold a caller thread.

    Parameters
    ----------
    threads : int
        Caller threads in all.
    urgent : int
        How many of them only the most urgent class may hold.

    Notes
    -----
    A stream holds its thread for its whole life.  If bulletins held them
    all, an alert would wait unread in the kernel's queue, where nobody sees
    it.  So the last `urgent` threads answer others at once that they did
    not run.
    """

    def __init__(self, threads, urgent):
        self.threads = threads
        self.urgent = urgent
        self.busy = 0
        self.tracked = 0
        self.condition = threading.Condition()

    @contextlib.contextmanager
    def hold(self, is_urgent):
        """Hold a place while a request runs.

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
        """Count a run that holds no caller thread, and refuse nothing."""
        with self.condition:
            self.tracked += 1
        try:
            yield
        finally:
            with self.condition:
                self.tracked -= 1
                self.condition.notify_all()

    def acquire(self, is_urgent):
        """Take a place; `release` must follow."""
        with self.condition:
            most = self.threads if is_urgent else self.threads - self.urgent
            if self.busy >= most:
                raise exceptions.Overloaded(
                    f'{self.busy} requests are in flight here',
                    retry_after=RETRY_AFTER,
                )
            self.busy += 1

    def release(self):
        """Give a place back."""
        with self.condition:
            self.busy -= 1
            self.condition.notify_all()

    def wait_until_empty(self, timeout):
        """Wait until nothing is in flight; False if it took too long."""
        with self.condition:
            return self.condition.wait_for(
                lambda: self.busy + self.tracked == 0, timeout
            )


def make_request_limiter(threads, urgent):
    """Make a gate."""
    return RequestLimiter(threads, urgent)
