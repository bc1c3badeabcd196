"""Serves a request: choice of endpoints, attempts, and the final answer."""

__all__ = ['Forwarder', 'make_forwarder']

import logging
import random
import time

from ibisring_gateway import exchange as exchange_module
from ibisring_gateway import intake
from ibisring_gateway import jobs
from ibisring_gateway import queueing
from ibisring_gateway import relaymarks
from ibisring_gateway import relayrouting
from ibisring_gateway import requestheads
from ibisring_gateway import requestlog
from ibisring_gateway import selecting
from ibisring_gateway import sending
from ibisring_gateway import successors
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import endings
from ibisring_records import exceptions
from ibisring_router import logs
from ibisring_web import sockets
import msgspec

LOG = logging.getLogger(__name__)
# The final answer is sent this long before the caller's own time limit, so
# that it arrives while the caller still waits.
ANSWER_MARGIN_SECONDS = 0.02
# A router without a configuration has just started during an outage of the
# store; outages last seconds, and callers retry once or twice only.
NOT_READY_RETRY_SECONDS = 2.0
MS_PER_SECOND = 1000.0
# Where no endpoint is in reach: by then one has been tried again, and a caller
# that comes back reaches another router.
NOBODY_RETRY_SECONDS = 0.4


class Forwarder:
    """Serves callers' requests.

    Parameters
    ----------
    view : view.View
    codec : ports.Codec
    connections : upstream.ConnectionPool
    watcher : attemptwatching.Watcher
    retry_budget : RetryBudget
    count_routers : callable
        Returns the number of routers that share the limit on retries.
    metrics : metrics.Metrics
    screen : screening.Screen
    relay_sender : relaysending.RelaySender
    """

    def __init__(
        self,
        view,
        codec,
        connections,
        watcher,
        retry_budget,
        count_routers,
        metrics,
        screen,
        relay_sender,
    ):
        self.view = view
        self.clock = view.clock
        self.codec = codec
        self.watcher = watcher
        self.retry_budget = retry_budget
        self.count_routers = count_routers
        self.metrics = metrics
        self.screen = screen
        self.rng = random.Random()
        self.selector = selecting.make_selector(view)
        self.admitter = queueing.make_admitter(view, self.selector, metrics)
        self.relay_sender = relay_sender
        self.relay_routing = relayrouting.RelayRouting(view, relay_sender)
        self.intake = intake.make_intake(view.clock)
        self.log = requestlog.make_request_log(
            view, metrics, self._retries_left
        )
        self._make_successors()
        self._make_sender(connections)

    def _make_successors(self):
        """Make what moves a stream to another chain."""
        self.successors = successors.make_successors(
            self.view,
            self.selector,
            self.screen,
            self.relay_sender,
            self.retry_budget,
            self.count_routers,
        )
        self.successors.end_of = self.intake.end_of

    def _make_sender(self, connections):
        """Make what sends an attempt to an endpoint."""
        self.sender = sending.make_sender(
            self.view, self.codec, connections, self.selector, self.screen
        )
        self.sender.on_decided = self._note_retry
        self.sender.successors = self.successors
        self.sender.may_pass_on = self.intake.may_pass_on

    def serve(self, exchange):
        """Serve one request; called in a worker thread of the server."""
        started = self.clock()
        request_id = ''
        exchange.is_last = self._is_stopping
        self.intake.enter(exchange)
        try:
            headers = exchange.headers()
            request = self.codec.decode_request(
                exchange.method, exchange.target, headers
            )
            request_id = request.id
            requestheads.check(exchange.method, exchange.target, headers)
            mark = relayrouting.accept_mark(exchange, request, self.view.name)
            self.intake.check()
            if not self.view.is_ready:
                raise exceptions.NotReady(
                    'no configuration yet', NOT_READY_RETRY_SECONDS
                )
            request.body = exchange.read_body()
            # Its last byte may have come much later than its head.
            self.intake.check()
            self._serve(exchange, request, started, mark)
        except exceptions.IbisringError as error:
            self._send_error(exchange, request_id, error, started)
        except exchange_module.CallerDisconnected as error:
            self._end_abandoned(exchange, request_id, error, started)
        except Exception:
            LOG.exception('request_failed %s', request_id)
            self._end_failed(exchange, request_id, started)
        finally:
            self.intake.leave(exchange)

    def _end_abandoned(self, exchange, request_id, error, started):
        """End a request whose caller has left."""
        exchange.abort()
        self.log.write(
            request_id,
            'caller_gone',
            started,
            exchange.job,
            endings.Party.CALLER,
            str(error),
        )

    def _end_failed(self, exchange, request_id, started):
        """End a request for an error of this process."""
        self.metrics.count('internal_errors')
        error = exceptions.IbisringError('an internal error')
        if not exchange.headers_sent:
            exchange.close_after()
        self._send_error(exchange, request_id, error, started)

    @property
    def active(self):
        """Requests that are being served."""
        return self.intake.active

    def _is_stopping(self):
        return self.intake.is_stopping

    def refuse(self, method, target, headers, retry_after):
        """Refuse a request for whose connection no descriptor is left.

        Parameters
        ----------
        method, target : str
        headers : dict
        retry_after : float
            Seconds.

        Returns
        -------
        (int, list of (str, str), bytes)
            Status, headers and body of the answer.
        """
        started = self.clock()
        request_id = ''
        try:
            request_id = self.codec.decode_request(method, target, headers).id
        except exceptions.InvalidRequest as error:
            LOG.debug('a refused request has no valid head: %s', error)
        error = exceptions.Overloaded(
            'this router has as many connections as it may', retry_after
        )
        self.metrics.count(f'refused.{error.code}')
        self.log.write_error(request_id, error, started, None, error.status)
        return self.codec.encode_error(request_id, error)

    def end_unanswered(self):
        """End attempts without any part of an answer; the process exits soon.

        Their callers get an error that says whether the request may have run.
        """
        for attempt in self._unanswered():
            attempt.abort(attempts.Result.EXIT)

    def count_unanswered(self):
        """Return how many attempts `end_unanswered` would end."""
        return len(self._unanswered())

    def _unanswered(self):
        return [
            attempt
            for attempt in self.watcher.attempts()
            if not attempt.job.exchange.headers_sent
        ]

    def end_attempts(self):
        """End all attempts, since the process exits.

        What has arrived of an answer is still passed on.
        """
        for attempt in self.watcher.attempts():
            attempt.abort(attempts.Result.EXIT)

    def prepare_exit(self):
        """Have callers notice the answers that the process cuts."""
        for exchange in self.intake.running():
            exchange.prepare_exit()

    def _send_error(self, exchange, request_id, error, started):
        if exchange.headers_sent:
            # The caller has received part of an answer.  An error written
            # after it would terminate that answer as if it were complete; the
            # caller detects the truncation only if nothing more is written.
            exchange.abort()
            self.log.write_broken_off(request_id, error, started, exchange.job)
            return
        if exchange.is_from_router:
            relayrouting.mark_error(exchange, error)
        status, headers, body = self.codec.encode_error(request_id, error)
        try:
            exchange.answer(status, headers, body)
        except exchange_module.CallerDisconnected as disconnected:
            LOG.debug(
                'caller disconnected before the error answer: %s', disconnected
            )
        self.metrics.count(f'refused.{error.code}')
        self.log.write_error(request_id, error, started, exchange.job, status)

    def _serve(self, exchange, request, started, mark):
        snapshot = self.view.snapshot
        if mark is not None and mark.table_version > snapshot.version:
            raise exceptions.TableBehind(
                f'{mark.sender} has table {mark.table_version}'
            )
        match = snapshot.index.find(request.host, request.path, request.key)
        service = snapshot.index.pick_service(match.route, self.rng.random())
        if service is None:
            raise exceptions.NoEndpoint('the route has no service', 1.0)
        time_limit = match.route.timeout
        if request.time_limit is not None:
            time_limit = min(
                time_limit, request.time_limit - ANSWER_MARGIN_SECONDS
            )
        job = jobs.Job(
            exchange, request, match, service, started, started + time_limit
        )
        job.rank = snapshot.index.rank(
            match.route, match.account, service.name
        )
        exchange.job = job
        self._check_exit(job, started)
        if mark is None:
            with self.view.lock:
                self.retry_budget.count_request(started)
        else:
            job.use_mark(mark)
            exchange.list_extra_headers = lambda: [
                (relaymarks.SENT_TO, ','.join(job.sent_to))
            ]
        self._run_attempts(job)
        self.log.write_answered(job)

    def _check_exit(self, job, now):
        """Refuse a request that this process exits too early for."""
        end = self.intake.end_of(job.deadline)
        # A stream that is cut goes on elsewhere from its last event.
        if end >= job.deadline or job.route.resumable:
            return
        if not self.sender.durations.fits(job.route.name, end - now, now):
            self.intake.count_refusal()
            raise exceptions.NotReady('this router ends before an answer', 0.0)

    def _run_attempts(self, job):
        """Send attempts until the request has its final answer."""
        try:
            while True:
                before = msgspec.structs.replace(job.progress)
                result = self._send_attempt(job)
                job.last_result = result
                if result is not attempts.Result.NOT_SENT:
                    job.retry = None
                if result is None:
                    return
                self._count_in_vain(job, result, before)
                step = self._decide(job, result)
                if step is attempts.NextStep.WAIT:
                    step = self._wait_for_retry(job, result)
                if step not in attempts.CONTINUING:
                    self._end_unanswered(job, result, step)
                    return
                self._pause(job, result, step)
        finally:
            self._cancel_successor(job)
            self._give_back_retry(job)

    def _count_in_vain(self, job, result, before):
        """Count the attempts of a held request that have not run."""
        if not attempts.is_in_vain(result, job.progress):
            job.in_vain = 0
            return
        job.in_vain += 1
        attempts.uncount(before, job.progress)
        # Kept during a search for room, it would be missing to others.
        self._give_back_retry(job)

    def _wait_for_retry(self, job, result):
        """Wait until a held request gets a retry, and return what follows."""
        step = attempts.NextStep.WAIT
        while step is attempts.NextStep.WAIT:
            job.in_vain += 1
            self._pause(job, result, step)
            step = self._choose_step(job, result)
        self._log_attempt(job, result, step)
        return step

    def _give_back_retry(self, job):
        retry, job.retry = job.retry, None
        if retry is not None:
            self.successors.give_back(retry)

    def _decide(self, job, result):
        """Return the next step after an attempt without a whole answer."""
        attempts.note_result(result, job.progress)
        if result is attempts.Result.SILENT and job.successor is not None:
            attempts.count_given_up(job.successor.cause, job.progress)
        step = self._choose_step(job, result)
        self._log_attempt(job, result, step)
        return step

    def _choose_step(self, job, result):
        now = self.clock()
        progress = job.progress
        progress.time_left = self.intake.end_of(job.deadline) - now
        progress.delivering = job.exchange.headers_sent
        progress.has_retry_budget = True
        step = attempts.decide(result, progress)
        if step in attempts.CONTINUING and progress.sent_to:
            progress.has_retry_budget = self._take_retry(job, now)
            step = attempts.decide(result, progress)
        return step

    def _log_attempt(self, job, result, step):
        progress = job.progress
        logs.event(
            LOG,
            'attempt_ended',
            id=job.request.id,
            digest=job.digest.hex(),
            chain=job.chain,
            end=result.value,
            cause=job.successor.cause.value if job.successor else None,
            next=step.value,
            tries=progress.tries,
            moves=progress.moves,
            endpoints=job.sent_to,
            left_ms=round(progress.time_left * MS_PER_SECOND),
            late_ms=self.view.late_ms(job.started),
            after_event=job.splitter.last_position,
        )

    def _cancel_successor(self, job):
        """Return what was set aside for a request that doesn't go on."""
        successor, job.successor = job.successor, None
        if successor is not None:
            self.successors.cancel(successor)
            if job.retry is successor.retry:
                job.retry = None

    def _retries_left(self):
        with self.view.lock:
            return self.retry_budget.remaining(
                self.clock(), self.count_routers()
            )

    def _take_retry(self, job, now):
        """Return whether the retry budget allows to send a request again.

        The outcome is noted only where it may lower a rate: a stream under
        way is retried for other reasons than a new request.
        """
        if job.successor is not None:
            job.retry = job.successor.retry
        elif job.retry is None:
            job.retry = self.successors.take_retry(job, now)
        is_allowed = job.retry is not None
        is_damped = is_allowed and job.retry.service is not None
        job.retried_at = job.retry.taken_at if is_damped else None
        return is_allowed

    def _note_retry(self, job, refused):
        """Note whether an endpoint refused or accepted a retry."""
        taken_at, job.retried_at = job.retried_at, None
        if taken_at is None or (refused and job.has_refused_retry):
            return
        job.has_refused_retry = job.has_refused_retry or refused
        with self.view.lock:
            self.retry_budget.note_outcome(
                job.service.name, taken_at, refused, self.clock()
            )

    def _pause(self, job, result, step):
        """Wait before a started stream is sent again, if it must."""
        seconds = attempts.pause_seconds(result, step, job.in_vain)
        if not seconds:
            return
        time.sleep(max(0.0, min(seconds, job.deadline - self.clock())))
        if sockets.is_gone(job.exchange.socket):
            raise exchange_module.CallerDisconnected('between two attempts')

    def _end_unanswered(self, job, result, step):
        """End a request whose attempts brought no answer."""
        if step is attempts.NextStep.DROP:
            raise exchange_module.CallerDisconnected(
                'the caller closed its connection'
            )
        if step is attempts.NextStep.ABORT:
            job.exchange.abort()
            self.metrics.count('broken_off')
            job.answer = None
            return
        detail = f'the last attempt ended as {result.value}'
        is_refused = step is attempts.NextStep.REFUSE
        if is_refused and result is attempts.Result.TURNED_AWAY:
            answer, body = job.relayed_refusal
            job.answer = answer
            job.exchange.answer(answer.status, answer.headers, body)
            return
        is_unsent = result is attempts.Result.NOT_SENT and not job.sent_to
        if is_refused and job.relayed_by and is_unsent:
            raise exceptions.Unreachable(detail)
        if is_refused and result is attempts.Result.EXIT:
            raise exceptions.NotReady(detail, 0.0)
        if is_refused and result is attempts.Result.SUSPECTED:
            raise self.screen.refusal(job)
        retry_after = max(
            self.admitter.retry_after(job, self.clock()),
            self.screen.retry_after(job),
            NOBODY_RETRY_SECONDS if job.is_cut_off else 0.0,
        )
        if step is attempts.NextStep.REFUSE:
            raise exceptions.NoEndpoint(detail, retry_after)
        if job.route.repeatable:
            raise exceptions.Interrupted(detail, retry_after)
        raise exceptions.OutcomeUnknown(detail)

    def _send_attempt(self, job):
        """Choose an endpoint and send the request to it.

        Returns
        -------
        attempts.Result or None
            None if the caller has its final answer.
        """
        if job.successor is not None:
            if self.screen.is_refused(job):
                return attempts.Result.SUSPECTED
            return self._send_to_successor(job)
        if not self.screen.wait_until_allowed(job):
            return attempts.Result.SUSPECTED
        try:
            peer = self.relay_routing.choose(job)
        except relayrouting.NobodyInReach:
            job.is_cut_off = True
            return self._use_up_tries(job)
        if peer is not None:
            self.metrics.count('relayed')
            return self.relay_sender.send(job, peer)
        choice = self.admitter.choose(job)
        if choice is None:
            return self._end_without_choice(job)
        return self._send_to(job, choice)

    def _send_to_successor(self, job):
        successor, job.successor = job.successor, None
        if successor.peer is not None:
            self.metrics.count('relayed')
            return self.relay_sender.send(job, successor.peer)
        return self._send_reserved(job, successor.choice, successor.attempt)

    def _send_to(self, job, choice):
        attempt = successors.attempt_for(job, choice)
        self.selector.reserve(attempt)
        return self._send_reserved(job, choice, attempt)

    def _send_reserved(self, job, choice, attempt):
        """Send an attempt that is counted in the load of its endpoints."""
        try:
            self.watcher.add(job.exchange.socket, attempt)
            if self._exits_within(choice.wait, job):
                self.selector.give_back(choice)
                return attempts.Result.EXIT
            if choice.wait:
                time.sleep(choice.wait)
            job.chain = _chain_text(choice.stages)
            self.screen.record_start(job, attempt)
            return self.sender.send(job, attempt)
        finally:
            self.watcher.remove(job.exchange.socket)
            job.successor = attempt.settle()
            self.selector.release(attempt)
            self.admitter.wake(job.service.name)
            self.screen.record_end(job)

    def _exits_within(self, seconds, job):
        """Return whether this process exits before a wait of a job ends."""
        end = self.intake.end_of(job.deadline)
        return end < job.deadline and self.clock() + seconds >= end

    def _end_without_choice(self, job):
        """End a request for which there is no endpoint.

        Returns
        -------
        attempts.Result
            Of the last attempt, if there was one.

        Raises
        ------
        exceptions.Overloaded
        """
        if job.progress.tries:
            return self._use_up_tries(job)
        now = self.clock()
        if job.limited:
            raise exceptions.Overloaded(
                'endpoints take no more requests for now',
                self.admitter.retry_after(job, now),
                limited=sorted(job.limited),
            )
        if job.blocked_by is not None and job.blocked_by.pairs:
            self.metrics.count('link_refused')
        raise exceptions.Overloaded(
            'no endpoint has room',
            self.admitter.retry_after(job, now),
            layers=self.selector.shortages(job, now),
            **self.selector.bottlenecks.facts(job),
        )

    def _use_up_tries(self, job):
        """End a request for which there is nothing left to try."""
        attempts.use_up(job.progress)
        return attempts.Result.NOT_SENT


def _chain_text(stages):
    return ' '.join(f'{s.endpoint}={s.first}-{s.end}' for s in stages)


def make_forwarder(*parts):
    """Make a `Forwarder`."""
    return Forwarder(*parts)
