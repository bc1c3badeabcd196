"""Detection of lost stages of silent requests, and rerouting around them.

An attempt is given up only for a successor that has been set aside, see
`successors`.  Without one it stays: a sound endpoint may be silent for a
second and go on, and the caller or the deadline ends what never goes on.
"""

__all__ = ['NoWayRound', 'StallHandler', 'make_stall_handler']

import logging
import threading

from ibisring_gateway import enginestatus
from ibisring_gateway import ports
from ibisring_gateway import statusqueries
from ibisring_gateway import workerpool
from ibisring_policy.gateway import attempts
from ibisring_records import routing
from ibisring_router import guards
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Seconds for which an event of another request shows that a stage is alive.
PROOF_SECONDS = 0.05
# Seconds until the next check after stages were replaced, and after the first
# check that found nothing wrong; the wait doubles with each further check.
REPLACEMENT_PAUSE_SECONDS = 0.25
RECHECK_SECONDS = 0.06
# Longest wait in seconds until the stages of a request without a way round
# lost ones are queried again while nothing has changed; the wait doubles up to
# it.
MAX_BLOCKED_SECONDS = 0.25
# Seconds for which the excluded engines of a service are kept: less than the
# interval of searches, so that each finds a change.
EXCLUDED_SECONDS = 0.05
# Checks without a finding before the request is sent elsewhere: a stage that
# has lost its own links to other stages still answers status queries.
MAX_CHECKS = 4
# Seconds until a plain request without a successor is looked at again.
PLAIN_RECHECK_SECONDS = 0.1
# Seconds for which a plain endpoint is not looked at again.
LOST_CHECK_SECONDS = 0.5
# Silence after which a request goes on by another router if this one has lost
# its links to engines; an open connection may still work.
CUT_SILENCE_SECONDS = 0.25
WORKERS = 24
# Limit of the times that a request is moved off engines that leave.
MAX_REROUTES = 3


class NoWayRound:
    """Why a request could not be moved off lost stages, and until when.

    Attributes
    ----------
    lost : frozenset of str
        The stages found lost.
    endpoints : sequence of routing.Endpoint
        The service's endpoints, with the layers that they hold.
    excluded : frozenset of str
        Engines that get no requests.
    until : float
        When to query the stages again if neither has changed.
    wait : float
        Seconds from the last queries to `until`.
    """

    __slots__ = ('lost', 'endpoints', 'excluded', 'until', 'wait')

    def __init__(self, lost, endpoints, excluded, until, wait):
        self.lost = lost
        self.endpoints = endpoints
        self.excluded = excluded
        self.until = until
        self.wait = wait


class StallHandler:
    """Checks the stages of silent attempts and replaces lost ones.

    Parameters
    ----------
    view : view.View
    engines : ports.EngineControl
    selector : selecting.Selector
    watcher : attemptwatching.Watcher
    metrics : metrics.Metrics

    Attributes
    ----------
    on_all_silent : callable
        Called with a service whose engines all seem silent.
    can_relay : callable
        Returns whether another router may take requests for a service.
    successors : successors.Successors or None
        Without them no attempt is given up.
    may_still_answer : callable
        Returns whether a silent endpoint may still answer; waits for it.
    """

    def __init__(self, view, engines, selector, watcher, metrics):
        self.view = view
        self.watcher = watcher
        self.engines = engines
        self.selector = selector
        self.metrics = metrics
        self.clock = view.clock
        self.pool = workerpool.make_worker_pool(WORKERS)
        self.querier = enginestatus.make_status_querier(view, engines, metrics)
        self.querier.judge.engines_heard = self.engines_heard
        # By service: its endpoints, when they were looked at, and which of
        # them were excluded.
        self.excluded = {}
        self.excluded_lock = threading.Lock()
        self.on_all_silent = lambda service: None
        self.can_relay = lambda service: False
        self.successors = None
        # By plain endpoint and its start: when it was looked at, and whether
        # it was lost.
        self.lost = {}
        self.may_still_answer = lambda endpoint: True

    def stop(self):
        """Shut the thread pools down without waiting."""
        self.pool.shutdown(wait=False, cancel_futures=True)
        self.querier.stop()

    def handle(self, attempt):
        """Check a silent attempt in the background."""
        self.pool.submit(self._check, attempt)

    def _check(self, attempt):
        try:
            if attempt.stages:
                self._check_stages(attempt)
            elif not self._give_up(attempt, attempts.Cause.SILENT):
                self._keep_plain(attempt)
        except Exception:
            guards.failed('stage_check', id=attempt.request_id)
            attempt.check_at = self.clock() + RECHECK_SECONDS
        finally:
            attempt.is_checking = False

    def _keep_plain(self, attempt):
        """Keep a silent plain request while it may still be answered.

        Other requests prefer other endpoints.
        """
        now = self.clock()
        attempt.check_at = now + PLAIN_RECHECK_SECONDS
        attempt.checks += 1
        # Another router has no entry, and is no endpoint that may be lost.
        is_endpoint = isinstance(attempt.endpoint, routing.Endpoint)
        if is_endpoint and self._is_lost(attempt.endpoint, now):
            # Nothing more comes; the next step is decided as after any loss.
            attempt.abort(attempts.Result.LOST)
            return
        is_known = attempt.endpoint.id in self.view.snapshot.endpoints
        may_move = attempt.may_change_endpoint and attempt.job.route.repeatable
        if attempt.checks == 1 and is_known and may_move:
            with self.view.lock:
                self.view.estimates.note_response(
                    attempt.endpoint.id, True, now
                )

    def _is_lost(self, endpoint, now):
        """Return whether a silent plain endpoint is known to be lost.

        Looked at once for all requests that are silent there.
        """
        key = endpoint.id, endpoint.started
        with self.excluded_lock:
            checked_at, is_lost = self.lost.get(key, (float('-inf'), False))
            if now - checked_at < LOST_CHECK_SECONDS:
                return is_lost
            self.lost = {
                each: found
                for each, found in self.lost.items()
                if now - found[0] < LOST_CHECK_SECONDS
            }
            self.lost[key] = now, False
        is_lost = not self.may_still_answer(endpoint)
        with self.excluded_lock:
            self.lost[key] = self.clock(), is_lost
        return is_lost

    def _give_up(self, attempt, cause):
        """End an attempt if its request goes on elsewhere.

        Returns
        -------
        bool
            Whether the attempt has ended.
        """
        if self.successors is None:
            return False
        successor = self.successors.prepare(attempt, cause)
        if successor is None:
            return attempt.result is not None
        if attempt.hand_over(successor):
            self.metrics.count(f'given_up.{cause}')
            return True
        self.successors.cancel(successor)
        return attempt.result is not None

    def _check_stages(self, attempt):
        attempt.checks += 1
        lost = self._known_lost(attempt)
        is_known = lost is not None
        if not is_known:
            lost = self._find_lost(attempt)
        now = self.clock()
        if attempt.result is not None:
            return
        if not lost:
            attempt.blocked = None
            self._note_behind(attempt, lost, now)
            self._recheck_or_restart(attempt, now)
            return
        attempt.is_behind = False
        if not is_known:
            self._log_lost(attempt, lost, now)
        found_lost = frozenset(lost)
        if attempt.endpoint.id in lost:
            if not self._give_up(attempt, attempts.Cause.LOST):
                self._keep_blocked(attempt, found_lost, is_known, now)
            return
        # Engines refuse a path with a stage that is leaving or has given up
        # its layers, so such stages are replaced along with the lost ones.
        lost |= _leaving(attempt, self.view.snapshot.endpoints)
        is_first_lost = attempt.endpoint.id in lost
        if is_first_lost or not self._reroute(attempt, lost, is_known):
            self._restart_elsewhere(attempt, found_lost, is_known, now)

    def _log_lost(self, attempt, lost, now):
        if attempt.blocked is None:
            self.metrics.count('stalls.lost')
        logs.event(
            LOG,
            'stages_lost',
            id=attempt.request_id,
            lost=sorted(lost),
            silent_ms=round((now - attempt.last_event_at) * 1000.0),
            late_ms=self.view.late_ms(attempt.last_event_at),
            events=attempt.events,
        )

    def _restart_elsewhere(self, attempt, lost, is_known, now):
        """End an attempt that can't be rerouted, if another chain has room.

        Otherwise the attempt stays: the lost layers may be loaded elsewhere
        before the caller gives up.
        """
        has_alternative = self._has_alternative(attempt, now)
        if not has_alternative or not self._give_up(
            attempt, attempts.Cause.LOST
        ):
            self._keep_blocked(attempt, lost, is_known, now)

    def _keep_blocked(self, attempt, lost, is_known, now):
        """Keep an attempt with lost stages until something has changed."""
        attempt.check_at = now + RECHECK_SECONDS
        if is_known or not self.is_adaptive:
            return
        before = attempt.blocked
        wait = 2.0 * before.wait if before else RECHECK_SECONDS
        wait = min(MAX_BLOCKED_SECONDS, wait)
        attempt.blocked = NoWayRound(
            lost,
            self._endpoints(attempt),
            self._excluded(attempt, now),
            now + wait,
            wait,
        )

    def _known_lost(self, attempt):
        """Return the stages that queries would find lost again.

        None if something has changed since the last queries, or if these are
        due again.  The search for a way round doesn't wait for them: room is
        freed by any stream that ends.
        """
        blocked = attempt.blocked
        now = self.clock()
        if blocked is None or now >= blocked.until:
            return None
        endpoints = self._endpoints(attempt)
        if blocked.endpoints == endpoints:
            if blocked.excluded == self._excluded(attempt, now):
                return set(blocked.lost)
        attempt.blocked = None
        return None

    def _endpoints(self, attempt):
        service = attempt.endpoint.service
        return self.view.snapshot.by_service.get(service, ())

    def _excluded(self, attempt, now):
        """Return the engines of a service that get no requests now.

        Computed once for all streams of the service that are checked
        together: when an engine dies, there are many.
        """
        service = attempt.endpoint.service
        endpoints = self._endpoints(attempt)
        with self.excluded_lock:
            found = self.excluded.get(service)
            if found is not None and found[0] is endpoints:
                if 0.0 <= now - found[1] < EXCLUDED_SECONDS:
                    return found[2]
            with self.view.lock:
                names = self.view.estimates.excluded(endpoints, now)
            self.excluded[service] = endpoints, now, names
            return names

    @property
    def is_adaptive(self):
        """Whether slow engines are told from lost ones."""
        return self.selector.event_times.is_adaptive

    def _note_behind(self, attempt, lost, now):
        """Note that the engines of a silent attempt answer.

        `lost` is None if it is not known whether they do.
        """
        if lost is None:
            attempt.is_behind = False
            return
        if attempt.is_behind or not self.is_adaptive:
            return
        attempt.is_behind = True
        self.metrics.count('stalls.behind')
        logs.event(
            LOG,
            'stage_behind',
            id=attempt.request_id,
            stages=[stage.endpoint for stage in attempt.stages],
            silent_ms=round(attempt.silent_seconds(now) * 1000.0),
            expected_ms=round(attempt.expected_seconds * 1000.0),
            late_ms=self.view.late_ms(attempt.last_event_at),
            events=attempt.events,
        )

    def _has_alternative(self, attempt, now):
        """Return whether an attempt may go on over other engines."""
        service = attempt.endpoint.service
        if self._is_cut(service):
            return self.can_relay(service)
        return self.selector.has_alternative(attempt, now)

    def _is_cut(self, service):
        with self.view.lock:
            return self.view.links.is_cut(service)

    def _recheck_or_restart(self, attempt, now):
        silence = now - attempt.last_event_at
        is_cut = silence > CUT_SILENCE_SECONDS and self._is_cut(
            attempt.endpoint.service
        )
        has_waited = is_cut or attempt.checks > MAX_CHECKS
        if has_waited and self._may_leave(attempt, is_cut, now):
            if self._give_up(attempt, attempts.Cause.SILENT):
                return
        checks = min(MAX_CHECKS, attempt.checks)
        attempt.check_at = now + RECHECK_SECONDS * 2 ** (checks - 1)

    def _may_leave(self, attempt, is_cut, now):
        """Return whether an attempt without a lost stage goes elsewhere.

        One whose engines answer does so only if it continues sooner there.
        """
        if is_cut or not attempt.is_behind:
            return self._has_alternative(attempt, now)
        stages = self.selector.find_alternative(attempt, now)
        return stages is not None and self.selector.event_times.should_move(
            attempt, stages, now
        )

    def _find_lost(self, attempt):
        """Return the ids of the stages that do not answer.

        None if it is not known of some whether they are lost, and no other
        is.
        """
        by_id = self.view.snapshot.endpoints
        names = [stage.endpoint for stage in attempt.stages]
        with self.view.lock:
            unavailable = {n for n in names if n not in by_id}
            unavailable |= {n for n in names if self._is_lost_here(n)}
        alive = self._proven_alive(attempt)
        queried = [by_id[n] for n in names if n not in unavailable | alive]
        tried_at = self.clock() - enginestatus.SHARED_SECONDS
        replies = self.querier.check(
            queried, self.is_adaptive, not alive.isdisjoint(names)
        )
        lost = {
            name for name, reply in replies.items() if self._is_loss(reply)
        }
        if self._are_all_silent(attempt, replies, lost, tried_at):
            return None
        if not self.is_adaptive:
            self._note_lost(queried, lost, tried_at)
        lost |= unavailable
        return None if not lost and _is_any_unknown(replies) else lost

    def _is_lost_here(self, name):
        """Return whether this router knows that an engine is lost.

        One that only others report is asked: it may answer here.
        """
        table = self.view.estimates
        is_report = self.is_adaptive and table.is_suspected(name)
        return table.is_dead(name) and not is_report

    def _are_all_silent(self, attempt, replies, lost, since):
        """Return whether hardly any engine answers, and report it.

        That is no proof against them.
        """
        unknown = statusqueries.Reply.UNDECIDED
        silent = lost | {n for n, r in replies.items() if r is unknown}
        if not enginestatus.are_many(silent, replies):
            return False
        with self.view.lock:
            if any(map(self._is_lost_here, silent)):
                # Proven in spite of their number.
                return False
        logs.event(
            LOG,
            'all_silent',
            id=attempt.request_id,
            asked=len(replies),
            late_ms=self.view.late_ms(since),
        )
        self.on_all_silent(attempt.endpoint.service)
        return True

    def _note_lost(self, queried, lost, tried_at):
        """Take engines out after unanswered queries that nobody judged."""
        now = self.clock()
        with self.view.lock:
            for each in queried:
                if each.id in lost:
                    self.view.estimates.note_unreachable(
                        each.id, now, tried_at=tried_at
                    )

    def _is_loss(self, reply):
        """Return whether a reply shows that an engine is lost."""
        if reply is statusqueries.Reply.NOT_SENT:
            # This router lacked a free thread; the next check asks again.
            return not self.is_adaptive
        return reply in (statusqueries.Reply.NONE, statusqueries.Reply.REFUSED)

    def _proven_alive(self, attempt):
        """Return the stages of other requests that had an event just now.

        A status query costs time at the engine and here, and a stage that
        delivers events for others is alive.  An event may be in transit for
        up to `mean_gap`, so one that arrived right after the last event of
        this request proves nothing about the time since.
        """
        since = max(
            attempt.last_event_at + attempt.mean_gap,
            self.clock() - PROOF_SECONDS,
        )
        found = set()
        for other in self.watcher.attempts():
            if (
                other is not attempt
                and other.events
                and other.last_event_at > since
            ):
                found.update(stage.endpoint for stage in other.stages)
        return found

    def engines_with_events(self):
        """Return the engines that run streams with an event just now."""
        return self.engines_heard(self.clock() - PROOF_SECONDS)

    def engines_heard(self, since):
        """Return the engines that run streams with an event since a time."""
        return {
            stage.endpoint
            for attempt in self.watcher.attempts()
            if attempt.events and attempt.last_event_at > since
            for stage in attempt.stages
        }

    def run_checks(self):
        """Move requests off leaving stages; probe unreachable engines.

        Called periodically.  An engine that leaves or gives up layers waits
        for the requests that pass through it and finally cuts them off;
        moving them early costs only a second prefill of the prompt.
        """
        snapshot = self.view.snapshot
        for attempt in self.watcher.attempts():
            if attempt.stages and attempt.events and not attempt.is_checking:
                leaving = _leaving(attempt, snapshot.endpoints)
                if leaving == attempt.unmovable_stages:
                    continue
                if leaving and attempt.reroutes < MAX_REROUTES:
                    self._start_move(attempt, leaving)
        with self.view.lock:
            now = self.clock()
            names = self.view.estimates.dead_to_probe(snapshot.endpoints, now)
            slow = self.view.estimates.slow_to_probe(now)
            cut_services = self.view.links.cut_services()
        for name in names:
            if snapshot.endpoints[name].service not in cut_services:
                self.querier.probe(snapshot.endpoints[name])
        for name in slow:
            if name in snapshot.endpoints:
                self.querier.refresh_slowdown(snapshot.endpoints[name])

    def _start_move(self, attempt, leaving):
        attempt.is_checking = True
        try:
            self.pool.submit(self._move_off, attempt, leaving)
        except RuntimeError:
            guards.failed('start_move', id=attempt.request_id)
            attempt.is_checking = False

    def _move_off(self, attempt, leaving):
        try:
            is_first_leaving = attempt.endpoint.id in leaving
            if not is_first_leaving and self._reroute(attempt, leaving):
                attempt.reroutes += 1
                attempt.unmovable_stages = None
            elif not self._abort_blocking(attempt):
                # Retried only when the set of leaving engines changes, not
                # at every check, so that failing tries don't use up moves.
                attempt.unmovable_stages = leaving
        except Exception:
            guards.failed('move_off', id=attempt.request_id)
        finally:
            attempt.is_checking = False

    def _abort_blocking(self, attempt):
        """End an attempt that keeps an engine from loading new layers.

        An engine ordered to hold other layers loads them only when the
        requests that pass through it have ended; for up to ten seconds its
        failure domain lacks these layers.  The request continues elsewhere.
        An attempt on an engine that is shutting down may finish there.
        """
        endpoints = self.view.snapshot.endpoints
        if not attempt.may_change_endpoint or not _unloaded(
            attempt, endpoints
        ):
            return False
        if not self.selector.has_alternative(attempt, self.clock()):
            return False
        if not self._give_up(attempt, attempts.Cause.UNLOADED):
            return False
        logs.event(
            LOG,
            'cleared_out',
            id=attempt.request_id,
            engines=sorted(_unloaded(attempt, endpoints)),
        )
        return True

    def _reroute(self, attempt, lost, is_logged=False):
        """Replace lost stages of a request, keeping its first one."""
        stages = self.selector.replace_stages(attempt, lost, self.clock())
        if stages is None or stages == attempt.stages:
            if is_logged:
                return False
            logs.event(
                LOG, 'no_way_round', id=attempt.request_id, lost=sorted(lost)
            )
            return False
        result = self.engines.repath(
            attempt.endpoint, attempt.request_id, stages
        )
        self.metrics.count(f'repath.{result.value}')
        logs.event(
            LOG,
            'repath',
            id=attempt.request_id,
            lost=sorted(lost),
            stages=[f'{s.endpoint}={s.first}-{s.end}' for s in stages],
            result=result.value,
            silent_ms=round((self.clock() - attempt.last_event_at) * 1000.0),
        )
        if result not in (ports.OrderResult.BEGUN, ports.OrderResult.DONE):
            return False
        attempt.blocked = None
        with attempt.lock:
            if attempt.result is None and not attempt.is_over:
                self.selector.change_stages(attempt, stages)
                attempt.check_at = self.clock() + REPLACEMENT_PAUSE_SECONDS
        return True


def _leaving(attempt, endpoints):
    """Return the stages whose engines leave or have given up their layers."""
    found = set()
    for stage in attempt.stages:
        if not _is_staying(endpoints.get(stage.endpoint)):
            found.add(stage.endpoint)
    return found | _unloaded(attempt, endpoints)


def _is_staying(endpoint):
    """Return whether an endpoint, None if unknown, doesn't leave."""
    if endpoint is None:
        return False
    return endpoint.state is not routing.EndpointState.DRAINING


def _unloaded(attempt, endpoints):
    """Return the running engines that no longer hold their stage's layers."""
    found = set()
    for stage in attempt.stages:
        endpoint = endpoints.get(stage.endpoint)
        if not _is_staying(endpoint):
            continue
        holding = endpoint.holding
        if (
            holding is None
            or holding.first > stage.first
            or holding.end < stage.end
        ):
            found.add(stage.endpoint)
    return found


def _is_any_unknown(replies):
    unknown = statusqueries.Reply.UNDECIDED, statusqueries.Reply.NOT_SENT
    return any(reply in unknown for reply in replies.values())


def make_stall_handler(view, engines, selector, watcher, metrics):
    """Make a `StallHandler`."""
    return StallHandler(view, engines, selector, watcher, metrics)
