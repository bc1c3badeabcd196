"""Status queries to engines, and the health updates that result."""

__all__ = ['Reply', 'StatusQuerier', 'make_status_querier']

import concurrent.futures
import enum
import logging

from ibisring_gateway import ports
from ibisring_gateway import workerpool
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
# A second query starts after this share of the timeout of the first one, which
# may still be answered: both end about when the first one alone would have.
SECOND_START_SHARE = 0.5
# Shortest timeout in seconds of a second query: engines without load answer in
# about 0.01 s, and a thread may start late.
MIN_SECOND_SECONDS = 0.025
# Seconds by which both may end later than the first one alone if no engine
# has answered: then all are more likely slow than lost.
MAX_EXTRA_SECONDS = 0.06
MS_PER_SECOND = 1000.0


class Reply(enum.Enum):
    """What a status query showed; `NOT_SENT` if no thread was free."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    NONE = 'none'
    NOT_SENT = 'not_sent'


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
        self.pool = workerpool.make_worker_pool(WORKERS)
        # Second queries of silent engines must not delay first ones.
        self.second_pool = workerpool.make_worker_pool(WORKERS)
        self.recent_queries = {}
        self.recent_second_queries = {}
        self.on_answer = lambda endpoint, started: None

    def stop(self):
        """Shut the thread pools down without waiting."""
        for pool in (self.pool, self.second_pool):
            pool.shutdown(wait=False, cancel_futures=True)

    def check(self, endpoints, is_confirmed=True, has_answers=False):
        """Query endpoints and return what this showed of each.

        Parameters
        ----------
        endpoints : list of routing.Endpoint
        is_confirmed : bool
            Whether a second query confirms that an endpoint doesn't answer:
            one may fail because the engine, this router or the link is busy.
        has_answers : bool
            Whether other engines of the same chain are known to answer.

        Returns
        -------
        dict of str to Reply
        """
        timeout = self.timeout.seconds
        if not is_confirmed:
            queries = {e.id: self._share_query(e, timeout) for e in endpoints}
            return {name: self._reply(f) for name, f in queries.items()}
        # The first query is still answered while the second one runs.
        longest = timeout + MAX_EXTRA_SECONDS
        first = {e.id: self._share_query(e, longest) for e in endpoints}
        concurrent.futures.wait(first.values(), timeout * SECOND_START_SHARE)
        has_answers = has_answers or any(map(_is_answered, first.values()))
        seconds = _second_timeout(timeout, has_answers)
        second = {
            e.id: self._share_query(e, seconds, 2)
            for e in endpoints
            if _is_undecided(first[e.id])
        }
        return {
            e.id: self._confirm(e, first[e.id], second.get(e.id), seconds)
            for e in endpoints
        }

    def _share_query(self, endpoint, timeout, number=1):
        """Query an endpoint's status, or share a query just sent.

        Returns
        -------
        concurrent.futures.Future
            Its result is a `Reply`.
        """
        shared, pool = self.recent_queries, self.pool
        if number == 2:
            shared, pool = self.recent_second_queries, self.second_pool
        now = self.clock()
        with self.view.lock:
            recent = shared.get(endpoint.id)
            if recent is not None and now - recent[0] < SHARED_SECONDS:
                return recent[1]
            future = pool.submit(self._status, endpoint, timeout)
            shared[endpoint.id] = now, future
            return future

    def _confirm(self, endpoint, first, second, seconds):
        """Wait for the queries of an endpoint and judge them."""
        if second is None:
            reply = self._reply(first)
            if reply is not Reply.NONE:
                return reply
            # The first query had to wait for a free thread.
            second = self._share_query(endpoint, seconds, 2)
        concurrent.futures.wait(
            (first, second),
            4 * MAX_TIMEOUT_SECONDS,
            concurrent.futures.FIRST_COMPLETED,
        )
        if _is_answered(first):
            return Reply.ANSWERED
        reply = self._reply(second)
        if reply is Reply.NONE and _is_answered(first):
            return Reply.ANSWERED
        if reply is Reply.ANSWERED:
            with self.view.lock:
                self.timeout.false_timeout()
        return reply

    def _reply(self, future):
        """Wait for a query and return its `Reply`."""
        try:
            return future.result(timeout=4 * MAX_TIMEOUT_SECONDS)
        except concurrent.futures.TimeoutError:
            LOG.debug('status query timed out waiting for a free thread')
            return Reply.NOT_SENT

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
                LOG,
                'no_status',
                endpoint=endpoint.id,
                limit_ms=round(timeout * MS_PER_SECOND),
                took_ms=round((self.clock() - started_at) * MS_PER_SECOND),
                late_ms=self.view.late_ms(started_at),
                why=error.detail,
            )
            is_refused = isinstance(error, ports.ConnectionRefused)
            return Reply.REFUSED if is_refused else Reply.NONE
        self.on_answer(endpoint, started_at)
        with self.view.lock:
            self.timeout.answered(self.clock() - started_at)
        self._record_slowdown(endpoint, status)
        return Reply.ANSWERED

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
        reply = self._status(endpoint, PROBE_TIMEOUT_SECONDS)
        alive = reply is Reply.ANSWERED
        now = self.clock()
        with self.view.lock:
            if alive:
                self.timeout.false_timeout()
                self.view.estimates.note_reachable(endpoint.id, now)
            else:
                self.view.estimates.note_unreachable(
                    endpoint.id, now, tried_at=started_at
                )
        logs.event(
            LOG,
            'asked_again',
            endpoint=endpoint.id,
            alive=alive,
            late_ms=self.view.late_ms(started_at),
        )


def _second_timeout(timeout, has_answers):
    """Return the timeout of second queries, from that of the first ones.

    If no engine has answered yet, slow engines are more likely than lost ones.
    """
    rest = timeout * (1.0 - SECOND_START_SHARE)
    if not has_answers:
        return rest + MAX_EXTRA_SECONDS
    return max(MIN_SECOND_SECONDS, rest)


def _is_answered(future):
    """Return whether a query has been answered by now."""
    return future.done() and future.result() is Reply.ANSWERED


def _is_undecided(future):
    """Return whether a query leaves open whether its endpoint is lost."""
    if future.done():
        return future.result() is Reply.NONE
    return future.running()


def make_status_querier(view, engines, metrics):
    """Make a `StatusQuerier`."""
    return StatusQuerier(view, engines, metrics)
