"""Status queries to engines, and the health updates that result."""

__all__ = ['StatusQuerier', 'make_status_querier']

import concurrent.futures
import logging

from ibisring_policy.gateway import adaptivetimeout
from ibisring_policy.gateway import estimates
from ibisring_records import exceptions
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Bounds in seconds of the timeout of a status query while a caller waits.
# The endpoint needs no free slot to answer, and the stream must go on before
# its pause makes it late.
MIN_TIMEOUT_SECONDS = 0.035
MAX_TIMEOUT_SECONDS = 0.12
# Timeout in seconds for an endpoint that counts as unreachable: no caller
# waits for this answer, and an endpoint that is only slow must not stay
# excluded for as long as it is slow.
PROBE_TIMEOUT_SECONDS = 0.15
# Seconds for which a query is shared: when a stage dies, all requests that
# pass through it fall silent together.
SHARED_SECONDS = 0.05
WORKERS = 24


class StatusQuerier:
    """Queries several engines concurrently for their status.

    Parameters
    ----------
    view : view.View
    engines : ports.EngineControl
    metrics : metrics.Metrics

    Attributes
    ----------
    on_answer : callable
        Called with an endpoint that has answered, and when the query began.
    """

    def __init__(self, view, engines, metrics):
        self.view = view
        self.engines = engines
        self.metrics = metrics
        self.clock = view.clock
        self.timeout = adaptivetimeout.make_adaptive_timeout(
            MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS
        )
        # Separate from the pool that checks attempts, whose threads wait for
        # these queries: in a shared pool, when many requests fall silent
        # together, all threads would wait for a free one and every stage
        # would seem lost.
        self.pool = concurrent.futures.ThreadPoolExecutor(WORKERS)
        self.recent_queries = {}
        self.on_answer = lambda endpoint, started: None

    def stop(self):
        """Shut the thread pool down without waiting."""
        self.pool.shutdown(wait=False, cancel_futures=True)

    def query(self, endpoint):
        """Query an endpoint's status, or share a query just sent.

        Returns
        -------
        concurrent.futures.Future
            Its result is an `EngineStatus`, or None after a timeout.
        """
        now = self.clock()
        with self.view.lock:
            recent = self.recent_queries.get(endpoint.id)
            if recent is not None and now - recent[0] < SHARED_SECONDS:
                return recent[1]
            timeout = self.timeout.seconds
            future = self.pool.submit(self._status, endpoint, timeout)
            self.recent_queries[endpoint.id] = now, future
            return future

    def is_answered(self, future):
        """Wait for a query and return whether it was answered in time."""
        try:
            return future.result(timeout=4 * MAX_TIMEOUT_SECONDS) is not None
        except concurrent.futures.TimeoutError:
            LOG.debug('status query timed out waiting for a free thread')
            return False

    def probe(self, endpoint):
        """Probe an unreachable endpoint in the background."""
        self.pool.submit(self._probe, endpoint)

    def refresh_slowdown(self, endpoint):
        """Query a slow endpoint's status in the background."""
        self.pool.submit(self._status, endpoint, PROBE_TIMEOUT_SECONDS)

    def _status(self, endpoint, timeout):
        self.metrics.count('status_asked')
        started_at = self.clock()
        try:
            status = self.engines.status(endpoint, timeout)
        except exceptions.IbisringError as error:
            logs.event(
                LOG, 'no_status', endpoint=endpoint.id, why=error.detail
            )
            return None
        self.on_answer(endpoint, started_at)
        with self.view.lock:
            self.timeout.answered(self.clock() - started_at)
        self._record_slowdown(endpoint, status)
        return status

    def _record_slowdown(self, endpoint, status):
        now = self.clock()
        with self.view.lock:
            before = self.view.estimates.slowdown(endpoint.id, now)
            self.view.estimates.note_slowdown(endpoint.id, status.pace, now)
            after = self.view.estimates.slowdown(endpoint.id, now)
        if (before < estimates.SLOW_FACTOR) != (after < estimates.SLOW_FACTOR):
            logs.event(LOG, 'pace', endpoint=endpoint.id, pace=status.pace)

    def _probe(self, endpoint):
        started_at = self.clock()
        alive = self._status(endpoint, PROBE_TIMEOUT_SECONDS) is not None
        now = self.clock()
        with self.view.lock:
            if alive:
                self.timeout.false_timeout()
                self.view.estimates.note_reachable(endpoint.id, now)
            else:
                self.view.estimates.note_unreachable(
                    endpoint.id, now, tried_at=started_at
                )
        logs.event(LOG, 'asked_again', endpoint=endpoint.id, alive=alive)


def make_status_querier(view, engines, metrics):
    """Make a `StatusQuerier`."""
    return StatusQuerier(view, engines, metrics)
