"""Asking engines for their status, and what follows from the answers."""

__all__ = ['Asker', 'make_asker']

import concurrent.futures
import logging

from ibisring_policy.gateway import adaptivetimeout
from ibisring_policy.gateway import estimates
from ibisring_records import exceptions
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Bounds of the seconds that an endpoint has to tell its status while a caller
# waits: it needs no slot for it, and streams are late after a pause of 0.2.
LEAST_TIMEOUT = 0.035
MOST_TIMEOUT = 0.12
# Seconds that an endpoint believed lost has: nobody waits for that answer,
# and one that is merely late must not stay out for as long as it is.
REVIVE_TIMEOUT = 0.15
# A status this fresh is not asked for again, in seconds: when a stage dies
# all requests through it fall silent together.
FRESH = 0.05
WORKERS = 24


class Asker:
    """Asks engines, several at the same time.

    Parameters
    ----------
    view : view.View
    engines : ports.EngineControl
    metrics : metrics.Metrics
    """

    def __init__(self, view, engines, metrics):
        self.view = view
        self.engines = engines
        self.metrics = metrics
        self.clock = view.clock
        self.patience = adaptivetimeout.make_adaptive_timeout(
            LEAST_TIMEOUT, MOST_TIMEOUT
        )
        # Those who examine requests wait for those who ask; in one pool, when
        # many requests fall silent together, all threads would wait for a
        # free one and every stage would seem lost.
        self.pool = concurrent.futures.ThreadPoolExecutor(WORKERS)
        self.asked = {}

    def stop(self):
        """End the threads."""
        self.pool.shutdown(wait=False, cancel_futures=True)

    def ask(self, endpoint):
        """Ask an endpoint for its status, or share a question just asked.

        Returns
        -------
        concurrent.futures.Future
            Of an `EngineStatus`, or of None without an answer in time.
        """
        now = self.clock()
        with self.view.lock:
            known = self.asked.get(endpoint.id)
            if known is not None and now - known[0] < FRESH:
                return known[1]
            timeout = self.patience.seconds
            future = self.pool.submit(self._status, endpoint, timeout)
            self.asked[endpoint.id] = now, future
            return future

    def answered(self, future):
        """Say whether a question was answered in time."""
        try:
            return future.result(timeout=4 * MOST_TIMEOUT) is not None
        except concurrent.futures.TimeoutError:
            LOG.debug('status questions wait for a thread')
            return False

    def revive(self, endpoint):
        """Ask an endpoint believed lost whether it lives; returns at once."""
        self.pool.submit(self._revive, endpoint)

    def look_at_pace(self, endpoint):
        """Ask a slow endpoint whether it still is; returns at once."""
        self.pool.submit(self._status, endpoint, REVIVE_TIMEOUT)

    def _status(self, endpoint, timeout):
        self.metrics.count('status_asked')
        begun = self.clock()
        try:
            status = self.engines.status(endpoint.address, timeout)
        except exceptions.IbisringError as error:
            logs.event(
                LOG, 'no_status', endpoint=endpoint.id, why=error.detail
            )
            return None
        with self.view.lock:
            self.patience.answered(self.clock() - begun)
        self._note_pace(endpoint, status)
        return status

    def _note_pace(self, endpoint, status):
        now = self.clock()
        with self.view.lock:
            before = self.view.book.slowdown(endpoint.id, now)
            self.view.book.note_slowdown(endpoint.id, status.pace, now)
            after = self.view.book.slowdown(endpoint.id, now)
        if (before < estimates.SLOW_FACTOR) != (after < estimates.SLOW_FACTOR):
            logs.event(LOG, 'pace', endpoint=endpoint.id, pace=status.pace)

    def _revive(self, endpoint):
        alive = self._status(endpoint, REVIVE_TIMEOUT) is not None
        now = self.clock()
        with self.view.lock:
            if alive:
                self.patience.false_timeout()
                self.view.book.note_reachable(endpoint.id, now)
            else:
                self.view.book.note_unreachable(endpoint.id, now)
        logs.event(LOG, 'asked_again', endpoint=endpoint.id, alive=alive)


def make_asker(view, engines, metrics):
    """Make an `Asker`."""
    return Asker(view, engines, metrics)
