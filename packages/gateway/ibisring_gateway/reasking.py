"""Asks engines again whose silence proves nothing yet, or was reported."""

__all__ = ['Reasker', 'make_reasker']

import random
import threading

from ibisring_gateway import statusqueries
from ibisring_gateway import workerpool
from ibisring_policy.gateway import losses
from ibisring_router import guards

WORKERS = 32
# Shortest timeout in seconds of a query: threads start and answer late.
MIN_TIMEOUT_SECONDS = 0.03
# Factor by which the timeout grows: each query adds load where load may be the
# cause, and a long one is answered whenever the engine is.
TIMEOUT_FACTOR = 4.0
# Span in seconds over which routers spread their queries of an engine whose
# loss one of them has reported to all at the same moment: at least, and for
# each router.
SPREAD_SECONDS = 0.05
SPREAD_PER_ROUTER_SECONDS = 0.0025
# Longest pause until a case that has to wait for its turn is looked at again.
MAX_TURN_PAUSE_SECONDS = 0.25
# Seconds until an engine is asked again whose query failed, as the next one
# fails as fast, and until one that is lost is asked: its last query may still
# be answered.
FAILED_PAUSE_SECONDS = 0.05
WATCH_PAUSE_SECONDS = 0.1
# Others that have just been heard are likely to be heard again without being
# asked.
HEARD_SECONDS = 0.05
# Longest timeout in seconds, also of the query that shows whether an engine
# that is lost by its silence has only paused.
MAX_TIMEOUT_SECONDS = 1.0
AGAIN = statusqueries.Purpose.AGAIN
REPORTED = statusqueries.Purpose.REPORTED
RECOVERY = statusqueries.Purpose.RECOVERY


class _Case:
    """An engine that is asked again.

    Attributes
    ----------
    endpoint : routing.Endpoint
    since : float or None
        When its silence began, None if it hasn't been asked yet.
    timeout : float
        Of the next query.
    is_one_of_many : bool
        See `losses.Evidence`.
    pause : float
        Seconds until the next query.
    is_report : bool
        Whether it began without a query of this router's own: as another
        one reported a loss, or to see a lost engine answer again.
    waiting_since : float or None
        Since when it has waited for its turn.
    """

    __slots__ = (
        'endpoint',
        'since',
        'timeout',
        'is_one_of_many',
        'pause',
        'is_report',
        'waiting_since',
    )

    def __init__(self, endpoint, since, timeout, is_one_of_many, pause=0.0):
        self.endpoint = endpoint
        self.is_report = since is None
        self.waiting_since = None
        self.pause = pause
        self.since = since
        self.timeout = timeout
        self.is_one_of_many = is_one_of_many


class Reasker:
    """Asks silent engines with growing timeouts until a judgement.

    Each engine is asked once at a time, however many streams and reports
    put it in doubt.

    Parameters
    ----------
    view : view.View
    querier : enginestatus.StatusQuerier
    judge : lossjudging.LossJudge

    Attributes
    ----------
    sleep : callable
        Waits for some seconds.
    """

    def __init__(self, view, querier, judge):
        self.view = view
        self.querier = querier
        self.judge = judge
        self.pool = workerpool.make_worker_pool(WORKERS)
        self.stopped = threading.Event()
        self.sleep = self.stopped.wait
        self.rng = random.Random()

    def stop(self):
        """Shut the thread pool down without waiting."""
        self.stopped.set()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def ask_again(self, endpoint, since, evidence):
        """Ask an engine until it has answered or is proven lost.

        Parameters
        ----------
        endpoint : routing.Endpoint
        since : float
            When the first query was sent that it has not answered.
        evidence : losses.Evidence
            What is known so far.
        """
        if not self.judge.note_silent(endpoint.id, since):
            return
        timeout = losses.missing_seconds(evidence) or evidence.limit_seconds
        timeout = max(MIN_TIMEOUT_SECONDS, timeout)
        pause = FAILED_PAUSE_SECONDS if _is_failure(evidence) else 0.0
        many = evidence.is_one_of_many
        self._submit(self._ask, _Case(endpoint, since, timeout, many, pause))

    def doubt(self, endpoint, since):
        """Judge an engine that hasn't answered a call of another kind.

        Parameters
        ----------
        endpoint : routing.Endpoint
        since : float
            When it was called.
        """
        evidence = self.judge.evidence(
            endpoint.id, since, self.querier.usual_limit()
        )
        self.ask_again(endpoint, since, evidence)

    def watch_recovery(self, endpoint):
        """Notice soon if an engine found lost by its silence has paused."""
        if self.judge.note_silent(endpoint.id, float('inf')):
            case = _Case(
                endpoint, None, MAX_TIMEOUT_SECONDS, False, WATCH_PAUSE_SECONDS
            )
            self._submit(self._await_recovery, case)

    def _await_recovery(self, case):
        try:
            self.sleep(case.pause)
            is_due = not self.querier.wait_seconds(case.endpoint)
            if is_due and not self.stopped.is_set():
                self.querier.ask(case.endpoint, case.timeout, RECOVERY)
        finally:
            self.judge.end_silence(case.endpoint.id)

    def check_reports(self, names):
        """Ask engines at once whose loss another router has reported."""
        for name in names:
            endpoint = self.view.snapshot.endpoints.get(name)
            if endpoint is None:
                continue
            if not self.judge.note_silent(name, float('inf')):
                continue
            pause = self.rng.uniform(0.0, self._spread_seconds())
            timeout = self._first_timeout()
            self._submit(
                self._ask, _Case(endpoint, None, timeout, False, pause)
            )

    def _spread_seconds(self):
        routers = self.view.query_rate.routers
        return max(SPREAD_SECONDS, SPREAD_PER_ROUTER_SECONDS * routers)

    def _first_timeout(self):
        usual = self.querier.usual_limit()
        return max(MIN_TIMEOUT_SECONDS, self.judge.limit_seconds(usual))

    def _submit(self, function, case):
        if self.stopped.is_set():
            self.judge.end_silence(case.endpoint.id)
            return
        try:
            self.pool.submit(guards.run, 'ask_again', function, case)
        except RuntimeError:
            # Asked again when a stream finds it silent.
            guards.failed('ask_again')
            self.judge.end_silence(case.endpoint.id)

    def _ask(self, case):
        """Ask an engine once, and again if that decides nothing."""
        is_open = False
        try:
            is_open = self._is_undecided(case)
        finally:
            if not is_open:
                self.judge.end_silence(case.endpoint.id)
        if is_open:
            self._submit(self._ask, case)
            return
        if self.judge.is_lost_by_silence(case.endpoint.id):
            self.watch_recovery(case.endpoint)

    def _ask_controls(self, case):
        """Ask others as well, unless they are heard all the time."""
        since = self.view.clock() - HEARD_SECONDS
        if not self.judge.hears_others(case.endpoint.id, since):
            self.querier.ask_controls([case.endpoint], case.timeout)

    def _is_worth_asking(self, case):
        name = case.endpoint.id
        if name not in self.view.snapshot.endpoints:
            return False
        if not case.is_report or case.since is not None:
            return True
        # Another router may have heard it since.
        with self.view.lock:
            return self.view.estimates.is_dead(name)

    def _wait_for_turn(self, case, seconds):
        """Keep a case that may not be asked yet; return whether it is open.

        Its silence begins anew with the next query: nobody listens meanwhile.
        """
        name = case.endpoint.id
        if case.waiting_since is None:
            self.querier.metrics.count('status_deferred')
            case.waiting_since = self.view.clock()
            case.since = None
            case.timeout = MAX_TIMEOUT_SECONDS
            self.judge.begin_silence(name, float('inf'))
        elif name in self.judge.engines_heard(case.waiting_since):
            return False
        case.pause = min(MAX_TURN_PAUSE_SECONDS, seconds)
        return True

    def _is_undecided(self, case):
        """Ask an engine, and return whether that decides nothing."""
        endpoint = case.endpoint
        self.sleep(case.pause)
        if self.stopped.is_set():
            return False
        if not self._is_worth_asking(case):
            return False
        wait = self.querier.wait_seconds(endpoint)
        if wait:
            return self._wait_for_turn(case, wait)
        case.waiting_since = None
        self._ask_controls(case)
        purpose = REPORTED if case.is_report else AGAIN
        query = self.querier.ask(endpoint, case.timeout, purpose)
        if query.is_answered:
            return False
        if case.since is None:
            case.since = query.sent_at
            self.judge.begin_silence(endpoint.id, query.sent_at)
        evidence = self.judge.evidence(
            endpoint.id,
            case.since,
            self.querier.usual_limit(),
            asked_at=query.sent_at,
            is_refused=query.is_refused,
            has_failed=query.has_failed,
            is_one_of_many=case.is_one_of_many,
            is_acknowledged=query.is_acknowledged,
        )
        verdict = self.judge.judge(endpoint.id, evidence, case.since)
        case.timeout = _next_timeout(case.timeout, evidence)
        case.pause = case.timeout if _is_failure(evidence) else 0.0
        if verdict is losses.Verdict.UNDECIDED:
            return True
        self.judge.note_lost(endpoint, case.since, evidence)
        return False


def _is_failure(evidence):
    return evidence.is_refused or evidence.has_failed


def _next_timeout(timeout, evidence):
    missing = losses.missing_seconds(evidence)
    wanted = max(MIN_TIMEOUT_SECONDS, missing, TIMEOUT_FACTOR * timeout)
    return min(MAX_TIMEOUT_SECONDS, wanted)


def make_reasker(view, querier, judge):
    """Make a `Reasker`."""
    return Reasker(view, querier, judge)
