"""Status queries to engines, and the health updates that result."""

__all__ = ['StatusQuerier', 'are_many', 'make_status_querier']

import concurrent.futures
import logging
import random

from ibisring_gateway import lossjudging
from ibisring_gateway import ports
from ibisring_gateway import reasking
from ibisring_gateway import statusqueries
from ibisring_gateway import workerpool
from ibisring_policy.gateway import adaptivetimeout
from ibisring_policy.gateway import losses
from ibisring_policy.gateway import slowdowns
from ibisring_records import exceptions
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Bounds in seconds of the timeout of a status query while a caller waits.
# The endpoint needs no free slot to answer, and the stream must go on before
# its pause makes it late.
MIN_TIMEOUT_SECONDS = 0.035
MAX_TIMEOUT_SECONDS = 0.12
# Longest timeout of a first query if the limit of silence is raised: a caller
# waits, and engines that are then undecided are asked again.
MAX_RAISED_SECONDS = 0.25
# Timeout in seconds for an endpoint that counts as unreachable: no caller
# waits for this answer, and an endpoint that is only slow must not stay
# excluded for as long as it is slow.
PROBE_TIMEOUT_SECONDS = 0.15
# Seconds for which a query is shared: when a stage dies, all requests that
# pass through it fall silent together.
SHARED_SECONDS = 0.05
WORKERS = 24
# If more than this share of the engines asked seem lost, this router is more
# likely slow or disconnected than all of them are down.
MAX_LOST_SHARE = 0.7
# A second query starts after this share of the timeout of the first one, which
# may still be answered: both end about when the first one alone would have.
SECOND_START_SHARE = 0.5
# Shortest timeout in seconds of a second query: engines without load answer in
# about 0.01 s, and a thread may start late.
MIN_SECOND_SECONDS = 0.025
# Seconds by which both may end later than the first one alone if no engine
# has answered: then all are more likely slow than lost.
MAX_EXTRA_SECONDS = 0.06
# Engines that are not in doubt and are asked as a control, if nobody else has
# been heard.
MAX_CONTROLS = 2
# Longest timeout of a control, and shortest interval between controls: all
# engines in doubt share them, and while everybody is silent they must not take
# up the threads of second queries.
MAX_CONTROL_SECONDS = 0.25
CONTROL_INTERVAL_SECONDS = 0.1
MS_PER_SECOND = 1000.0
ANY = concurrent.futures.FIRST_COMPLETED
FIRST = statusqueries.Purpose.FIRST
SECOND = statusqueries.Purpose.SECOND


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
    judge : lossjudging.LossJudge
    reasker : reasking.Reasker
        Asks engines again whose silence proves nothing yet.
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
        self.controls_at = float('-inf')
        self.on_answer = lambda endpoint, started: None
        self.judge = lossjudging.make_loss_judge(view, metrics)
        self.reasker = reasking.make_reasker(view, self, self.judge)
        self.rng = random.Random()

    def stop(self):
        """Shut the thread pools down without waiting."""
        for pool in (self.pool, self.second_pool):
            pool.shutdown(wait=False, cancel_futures=True)
        self.reasker.stop()

    def check(self, endpoints, is_confirmed=True, has_answers=False):
        """Query endpoints and return what this showed of each.

        Parameters
        ----------
        endpoints : list of routing.Endpoint
        is_confirmed : bool
            Whether a second query confirms that an endpoint doesn't answer,
            and its silence is judged: a query may fail because the engine,
            this router or the link is busy.
        has_answers : bool
            Whether other engines of the same chain are known to answer.

        Returns
        -------
        dict of str to Reply
        """
        timeout = self._timeout()
        if not is_confirmed:
            queries = {e.id: self._share_query(e, timeout) for e in endpoints}
            return {n: self._raw_reply(q) for n, q in queries.items()}
        doubted = {e.id: self._judge_open(e) for e in endpoints}
        doubted = {name: reply for name, reply in doubted.items() if reply}
        endpoints = [e for e in endpoints if e.id not in doubted]
        # The first query is still answered while the second one runs.
        longest = timeout + MAX_EXTRA_SECONDS
        first = {e.id: self._share_query(e, longest) for e in endpoints}
        _wait(first.values(), timeout * SECOND_START_SHARE)
        has_answers = has_answers or any(map(_is_answered, first.values()))
        seconds = _second_timeout(timeout, has_answers)
        second = {
            e.id: self._share_query(e, seconds, SECOND)
            for e in endpoints
            if _is_undecided(first[e.id])
        }
        if any(self._lacks_control(name, first[name]) for name in second):
            in_doubt = [each for each in endpoints if each.id in second]
            self.ask_controls(in_doubt, seconds)
        found, replies = {}, {}
        for each in endpoints:
            found[each.id], replies[each.id] = self._confirm(
                each, first[each.id], second.get(each.id), seconds
            )
        return doubted | self._judge_all(endpoints, found, replies)

    def _lacks_control(self, name, query):
        """Return whether no other engine was heard since a query began."""
        if query.sent_at is None:
            return False
        return not self.judge.hears_others(name, query.sent_at)

    def usual_limit(self):
        """Return the time limit of an answer by measured answers."""
        return self.timeout.seconds

    def _timeout(self):
        """Return the timeout of first queries."""
        limit = self.judge.limit_seconds(self.usual_limit())
        return max(self.usual_limit(), min(MAX_RAISED_SECONDS, limit))

    def ask_controls(self, endpoints, timeout):
        """Query other engines, to know whether any answers.

        Parameters
        ----------
        endpoints : list of routing.Endpoint
            Those in doubt.
        timeout : float
            Of the queries of those in doubt; slow answers of others show as
            much as fast ones.
        """
        timeout = max(MAX_TIMEOUT_SECONDS, min(MAX_CONTROL_SECONDS, timeout))
        if not self._may_ask_controls():
            return
        asked = {each.id for each in endpoints}
        others = [
            each
            for each in self.view.snapshot.endpoints.values()
            if each.id not in asked and self._may_be_control(each)
        ]
        with self.view.lock:
            is_dead = self.view.estimates.is_dead
            running = [each for each in others if not is_dead(each.id)]
        others = running or others
        count = min(MAX_CONTROLS, len(others))
        for each in self.rng.sample(others, count):
            self._share_query(each, timeout, statusqueries.Purpose.CONTROL)

    def _may_be_control(self, endpoint):
        """Return whether an engine is due and not asked anyway."""
        if endpoint.holding is None or self.judge.is_asked(endpoint.id):
            return False
        return not self.wait_seconds(endpoint)

    def _may_ask_controls(self):
        now = self.clock()
        with self.view.lock:
            if now - self.controls_at < CONTROL_INTERVAL_SECONDS:
                return False
            self.controls_at = now
        return True

    def _share_query(self, endpoint, timeout, purpose=FIRST):
        """Query an endpoint's status, or share a query just sent.

        Returns
        -------
        Query
        """
        shared, pool = self.recent_queries, self.pool
        if purpose is not FIRST:
            shared, pool = self.recent_second_queries, self.second_pool
        now = self.clock()
        with self.view.lock:
            recent = shared.get(endpoint.id)
            if recent is not None and now - recent[0] < SHARED_SECONDS:
                return recent[1]
            query = statusqueries.Query(timeout, purpose)
            wait = self.view.query_rate.wait_seconds(endpoint.id, now)
            if purpose is FIRST and wait:
                self.metrics.count('status_deferred')
                query.reject()
                return query
            self.view.query_rate.take(endpoint.id, now)
            query.future = pool.submit(self._run, endpoint, query)
            shared[endpoint.id] = now, query
            return query

    def wait_seconds(self, endpoint):
        """Return the seconds until this router may ask an engine."""
        with self.view.lock:
            return self.view.query_rate.wait_seconds(endpoint.id, self.clock())

    def _take(self, endpoint):
        with self.view.lock:
            self.view.query_rate.take(endpoint.id, self.clock())

    def _run(self, endpoint, query):
        """Run a query in a thread of a pool."""
        query.sent_at = self.clock()
        reply = self._status(endpoint, query)
        query.ended_at = self.clock()
        query.reply = reply
        return reply

    def ask(self, endpoint, timeout, purpose):
        """Query an endpoint in the caller's thread.

        Returns
        -------
        Query
        """
        query = statusqueries.Query(timeout, purpose)
        self._take(endpoint)
        self._run(endpoint, query)
        return query

    def _confirm(self, endpoint, first, second, seconds):
        """Wait for the queries of an endpoint.

        Returns
        -------
        (list of Query, Reply)
        """
        if second is None:
            reply = self._raw_reply(first)
            if reply is not statusqueries.Reply.NONE:
                return [first], reply
            # The first query had to wait for a free thread.
            second = self._share_query(endpoint, seconds, SECOND)
        both = [first, second]
        _wait(both, self._longest_wait(*both), ANY)
        if _is_answered(first):
            return both, statusqueries.Reply.ANSWERED
        reply = self._raw_reply(second)
        if reply is statusqueries.Reply.NONE and _is_answered(first):
            return both, statusqueries.Reply.ANSWERED
        if reply is statusqueries.Reply.ANSWERED:
            with self.view.lock:
                self.timeout.false_timeout()
        return both, reply

    def _judge_all(self, endpoints, queries, replies):
        """Replace the replies of engines that didn't answer by a judgement."""
        silent = [n for n, r in replies.items() if r in _UNANSWERED]
        is_many = are_many(silent, endpoints)
        for each in endpoints:
            if each.id in silent:
                replies[each.id] = self._judge(
                    each, queries[each.id], replies[each.id], is_many
                )
        return replies

    def _raw_reply(self, query):
        """Wait for a query and return its `Reply`."""
        try:
            return query.future.result(timeout=self._longest_wait(query))
        except concurrent.futures.TimeoutError:
            LOG.debug('status query timed out waiting for a free thread')
            return statusqueries.Reply.NOT_SENT

    def _longest_wait(self, *queries):
        return max(4 * MAX_TIMEOUT_SECONDS, *(2 * q.timeout for q in queries))

    def _judge_open(self, endpoint):
        """Return the judgement of an engine that is being asked again.

        Queries of each stream beside those would add load where load may be
        the cause.  None if it isn't asked again.
        """
        since = self.judge.open_since(endpoint.id)
        if since is None:
            return None
        evidence = self.judge.evidence(
            endpoint.id,
            since,
            self.usual_limit(),
            is_acknowledged=self.judge.is_acknowledged(endpoint.id),
        )
        if losses.judge(evidence) is losses.Verdict.UNDECIDED:
            return statusqueries.Reply.UNDECIDED
        self.judge.judge(endpoint.id, evidence, since)
        self.judge.note_lost(endpoint, since, evidence)
        return statusqueries.Reply.NONE

    def _judge(self, endpoint, queries, reply, is_many):
        """Return the judgement of an engine that has not answered."""
        sent = [q for q in queries if q.sent_at is not None]
        since = min(q.sent_at for q in sent)
        ends = [q.ended_at for q in sent if q.ended_at is not None]
        evidence = self.judge.evidence(
            endpoint.id,
            since,
            self.usual_limit(),
            max(ends, default=0.0),
            is_refused=reply is statusqueries.Reply.REFUSED,
            has_failed=all(q.has_failed for q in sent),
            is_one_of_many=is_many,
            is_acknowledged=_is_last_acknowledged(sent),
        )
        verdict = self.judge.judge(endpoint.id, evidence, since)
        if verdict is losses.Verdict.UNDECIDED:
            self.reasker.ask_again(endpoint, since, evidence)
            return (
                reply
                if reply is statusqueries.Reply.REFUSED
                else statusqueries.Reply.UNDECIDED
            )
        self.judge.note_lost(endpoint, since, evidence)
        if self.judge.is_lost_by_silence(endpoint.id):
            self.reasker.watch_recovery(endpoint)
        return reply

    def probe(self, endpoint):
        """Probe an unreachable endpoint in the background, if it is due."""
        if self.wait_seconds(endpoint):
            return
        self._take(endpoint)
        self.pool.submit(self._probe, endpoint)

    def refresh_slowdown(self, endpoint):
        """Query a slow endpoint's status in the background, if it is due."""
        if self.wait_seconds(endpoint):
            return
        self._take(endpoint)
        query = statusqueries.Query(
            PROBE_TIMEOUT_SECONDS, statusqueries.Purpose.PACE
        )
        self.pool.submit(self._status, endpoint, query)

    def _status(self, endpoint, query):
        self.metrics.count(f'status_asked.{query.purpose}')
        started_at = self.clock()
        try:
            status = self.engines.status(endpoint, query.timeout)
        except exceptions.IbisringError as error:
            query.is_acknowledged = isinstance(error, ports.ProcessSilent)
            logs.event(
                LOG,
                'no_status',
                endpoint=endpoint.id,
                purpose=query.purpose,
                limit_ms=round(query.timeout * MS_PER_SECOND),
                took_ms=round((self.clock() - started_at) * MS_PER_SECOND),
                late_ms=self.view.late_ms(started_at),
                acknowledged=query.is_acknowledged,
                why=error.detail,
            )
            is_refused = isinstance(error, ports.ConnectionRefused)
            if is_refused:
                self._give_back(endpoint)
            return (
                statusqueries.Reply.REFUSED
                if is_refused
                else statusqueries.Reply.NONE
            )
        self.on_answer(endpoint, started_at)
        took = self.clock() - started_at
        self._give_back(endpoint)
        with self.view.lock:
            self.timeout.answered(took)
        self.judge.note_answer(endpoint.id, took, MAX_TIMEOUT_SECONDS)
        self._record_slowdown(endpoint, status)
        return statusqueries.Reply.ANSWERED

    def _give_back(self, endpoint):
        """Don't count a query that has cost the engine hardly any time."""
        with self.view.lock:
            self.view.query_rate.give_back(endpoint.id, self.clock())

    def _record_slowdown(self, endpoint, status):
        now = self.clock()
        with self.view.lock:
            before = self.view.estimates.slowdown(endpoint.id, now)
            self.view.estimates.note_slowdown(endpoint.id, status.pace, now)
            after = self.view.estimates.slowdown(endpoint.id, now)
        if (before < slowdowns.SLOW_FACTOR) != (after < slowdowns.SLOW_FACTOR):
            logs.event(LOG, 'pace', endpoint=endpoint.id, pace=status.pace)

    def _probe(self, endpoint):
        started_at = self.clock()
        limit = self.judge.limit_seconds(PROBE_TIMEOUT_SECONDS)
        query = statusqueries.Query(limit, statusqueries.Purpose.PROBE)
        reply = self._status(endpoint, query)
        alive = reply is statusqueries.Reply.ANSWERED
        now = self.clock()
        with self.view.lock:
            if alive:
                self.timeout.false_timeout()
            else:
                self.view.estimates.note_unanswered_probe(endpoint.id, now)
        logs.event(
            LOG,
            'asked_again',
            endpoint=endpoint.id,
            alive=alive,
            late_ms=self.view.late_ms(started_at),
        )


_UNANSWERED = (statusqueries.Reply.NONE, statusqueries.Reply.REFUSED)


def are_many(silent, asked):
    """Return whether too many engines are silent for a loss of each."""
    return len(silent) > max(1, MAX_LOST_SHARE * len(asked))


def _second_timeout(timeout, has_answers):
    """Return the timeout of second queries, from that of the first ones.

    If no engine has answered yet, slow engines are more likely than lost ones.
    """
    rest = timeout * (1.0 - SECOND_START_SHARE)
    if not has_answers:
        return rest + MAX_EXTRA_SECONDS
    return max(MIN_SECOND_SECONDS, rest)


def _wait(queries, timeout, until=concurrent.futures.ALL_COMPLETED):
    futures = [query.future for query in queries]
    concurrent.futures.wait(futures, timeout, until)


def _is_answered(query):
    """Return whether a query has been answered by now."""
    return (
        query.future.done()
        and query.future.result() is statusqueries.Reply.ANSWERED
    )


def _is_undecided(query):
    """Return whether a query leaves open whether its endpoint is lost."""
    if query.future.done():
        return query.future.result() is statusqueries.Reply.NONE
    return query.future.running()


def _is_last_acknowledged(queries):
    """Return whether the query that ended last was acknowledged."""
    ended = [query for query in queries if query.ended_at is not None]
    last = max(ended, key=lambda query: query.ended_at, default=None)
    return last is not None and last.is_acknowledged


def make_status_querier(view, engines, metrics):
    """Make a `StatusQuerier`."""
    return StatusQuerier(view, engines, metrics)
