"""Which requests a process takes until it exits."""

__all__ = ['Intake', 'make_intake']

import threading
import time

from ibisring_records import exceptions


class Intake:
    """Counts the requests under way, and refuses others at the end.

    `close_if` and `enter` exclude each other: a request is under way when the
    decision to exit is made, or is refused after it.

    Parameters
    ----------
    clock : callable

    Attributes
    ----------
    exchanges : set of exchange.Exchange
        Requests that are being served.
    is_stopping : bool
        Whether the process has been asked to exit.
    takes_until : float
        Requests that come later are refused.
    ends_at : float
        When the process exits at the latest, which cuts what still runs.
    is_closed : bool
        Whether the decision to exit is made, and nothing is passed on.
    refused : int
        Requests refused at the end.
    refused_after_close : int
        Those of them that came after the decision to exit.
    """

    def __init__(self, clock):
        self.clock = clock
        self.lock = threading.Lock()
        self.exchanges = set()
        self.is_stopping = False
        self.takes_until = float('inf')
        self.ends_at = float('inf')
        self.is_closed = False
        self.refused = 0
        self.refused_after_close = 0

    @property
    def active(self):
        """Requests that are being served."""
        return len(self.exchanges)

    def enter(self, exchange):
        """Count a request that has been read, before `check`."""
        with self.lock:
            self.exchanges.add(exchange)

    def leave(self, exchange):
        """Stop counting a request."""
        with self.lock:
            self.exchanges.discard(exchange)

    def running(self):
        """Return the requests that are being served."""
        with self.lock:
            return set(self.exchanges)

    def check(self):
        """Refuse a request that comes too late.

        Raises
        ------
        NotReady
        """
        with self.lock:
            is_late = self.clock() > self.takes_until
            if not (is_late or self.is_closed):
                return
            self.refused += 1
            self.refused_after_close += self.is_closed
        raise exceptions.NotReady('this router is ending', 0.0)

    def count_refusal(self):
        """Count a request that another part refuses for want of time."""
        with self.lock:
            self.refused += 1

    def may_pass_on(self):
        """Return whether requests may be sent to endpoints and routers."""
        return not self.is_closed

    def stop(self, takes_until, ends_at=float('inf')):
        """Take requests until some time, and exit at another."""
        with self.lock:
            self.is_stopping = True
            self.takes_until = takes_until
            self.ends_at = ends_at

    def end_of(self, deadline):
        """Return when a request with a deadline is ended."""
        return min(deadline, self.ends_at)

    def close_if(self, may_close):
        """Refuse all requests from now on, if the process may exit.

        Parameters
        ----------
        may_close : callable
            Called with the number of requests that are being served.

        Returns
        -------
        bool
        """
        with self.lock:
            self.is_closed = may_close(len(self.exchanges))
            return self.is_closed


def make_intake(clock=time.monotonic):
    """Make an `Intake` that takes all requests."""
    return Intake(clock)
