"""A request from its first byte to its one final answer."""

__all__ = ['Forwarder', 'make_forwarder']

import logging
import random
import time

from ibisring_gateway import exchange as exchange_module
from ibisring_gateway import jobs
from ibisring_gateway import selecting
from ibisring_gateway import sending
from ibisring_gateway import watching
from ibisring_policy.gateway import attempts
from ibisring_records import exceptions
from ibisring_router import logs
from ibisring_web import serving

LOG = logging.getLogger(__name__)
# Seconds before a caller's own time limit at which it gets the final answer,
# while it still listens.
ANSWER_MARGIN = 0.02
# A router that knows no configuration has just started and finds the store
# away; outages last seconds, and a caller comes back once or twice only.
UNREADY_RETRY = 2.0
SECOND_MS = 1000.0
GOING_ON = (attempts.NextStep.RETRY, attempts.NextStep.RESUME)
# Seconds that a stream under way waits for room, and between looks for it.
RESUME_WAIT = 1.3
RESUME_TICK = 0.05


class Forwarder:
    """Serves callers' requests.

    Parameters
    ----------
    view : view.View
    codec : ports.Codec
    connections : upstream.ConnectionPool
    watcher : watching.Watcher
    window : attempts.RetryBudget
    count_routers : callable
        Gives how many routers share the bound on repeats.
    metrics : metrics.Metrics
    screen : screening.Screen
    """

    def __init__(
        self,
        view,
        codec,
        connections,
        watcher,
        window,
        count_routers,
        metrics,
        screen,
    ):
        self.view = view
        self.codec = codec
        self.watcher = watcher
        self.window = window
        self.count_routers = count_routers
        self.metrics = metrics
        self.screen = screen
        self.selector = selecting.make_selector(view)
        self.sender = sending.make_sender(
            view, codec, connections, self.selector, screen
        )
        self.clock = view.clock
        self.rng = random.Random()
        self.stopping_at = None
        self.refuse_after = None
        self.active = 0

    def serve(self, exchange):
        """Serve one request; called in a thread of the server."""
        started = self.clock()
        request_id = ''
        with self.view.lock:
            self.active += 1
        try:
            request = self.codec.decode_request(
                exchange.method, exchange.target, exchange.headers()
            )
            request_id = request.id
            request.body = exchange.read_body()
            self._serve(exchange, request, started)
        except exceptions.IbisringError as error:
            self._refuse(exchange, request_id, error, started)
        except exchange_module.CallerLeft as error:
            exchange.abort()
            self._log(request_id, 'caller_gone', started, why=str(error))
        except Exception:
            exchange.abort()
            self.metrics.count('internal_errors')
            LOG.exception('request_failed %s', request_id)
            if not exchange.begun:
                error = exceptions.IbisringError('an internal error')
                self._refuse(exchange, request_id, error, started)
        finally:
            with self.view.lock:
                self.active -= 1
            if self.stopping_at is not None:
                exchange.close_after()

    def _refuse(self, exchange, request_id, error, started):
        if exchange.begun:
            # The caller has a part of an answer.  An error written after it
            # would end that answer as if it were whole; the caller sees that
            # it was cut only if nothing more comes.
            exchange.abort()
            self._log(request_id, 'broken_off', started, why=str(error))
            return
        if self.stopping_at is not None:
            exchange.close_after()
        status, headers, body = self.codec.encode_error(request_id, error)
        try:
            exchange.answer(status, headers, body)
        except exchange_module.CallerLeft as left:
            LOG.debug('caller left before a refusal: %s', left)
        self.metrics.count(f'refused.{error.code}')
        snapshot = self.view.snapshot
        self._log(
            request_id,
            error.code,
            started,
            status=status,
            why=error.detail,
            retry_after=error.retry_after,
            table=snapshot.version,
            table_age_ms=round(
                (self.clock() - snapshot.table_read_at) * SECOND_MS
            ),
            **error.facts,
        )

    def _log(self, request_id, outcome, started, **facts):
        seconds = self.clock() - started
        self.metrics.time('request', seconds)
        self.metrics.count(f'outcome.{outcome}')
        logs.event(
            LOG,
            'request',
            id=request_id,
            outcome=outcome,
            ms=round(seconds * SECOND_MS, 1),
            **facts,
        )

    def _serve(self, exchange, request, started):
        snapshot = self.view.snapshot
        if not self.view.is_ready:
            raise exceptions.NotReady('no configuration yet', UNREADY_RETRY)
        match = snapshot.index.find(request.host, request.path, request.key)
        if self.refuse_after is not None and started > self.refuse_after:
            raise exceptions.NotReady('this router is ending', 0.0)
        service = snapshot.index.pick_service(match.route, self.rng.random())
        if service is None:
            raise exceptions.NoEndpoint('the route has no service', 1.0)
        limit = match.route.timeout
        if request.time_limit is not None:
            limit = min(limit, request.time_limit - ANSWER_MARGIN)
        job = jobs.Job(
            exchange, request, match, service, started, started + limit
        )
        with self.view.lock:
            self.window.count_request(started)
        self._run(job)
        self._finish(job)

    def _finish(self, job):
        answer = job.answer
        if job.late:
            self.metrics.count(f'late.{job.late}')
        self._log(
            job.request.id,
            'answered' if answer and answer.status < 400 else 'failed',
            job.started,
            status=answer.status if answer else None,
            digest=job.digest.hex(),
            route=job.route.name,
            service=job.service.name,
            account=job.match.account,
            tries=job.progress.tries,
            endpoints=job.sent_to,
            limit=answer.limit if answer else None,
            events=job.splitter.count,
            first_ms=_rounded_ms(job.first_seconds),
            longest_pause_ms=_rounded_ms(job.longest_pause),
            late=job.late,
            chain=job.chain,
            table=self.view.snapshot.version,
            endpoints_age_ms=round(
                (self.clock() - self.view.snapshot.endpoints_read_at)
                * SECOND_MS
            ),
        )

    def _run(self, job):
        """Try endpoints until the request has its final answer."""
        while True:
            end = self._attempt(job)
            if end is None:
                return
            now = self.clock()
            progress = job.progress
            progress.time_left = job.deadline - now
            progress.delivering = job.exchange.begun
            progress.has_retry_budget = True
            step = attempts.decide(end, progress)
            if step in GOING_ON and progress.sent_to:
                with self.view.lock:
                    progress.has_retry_budget = self.window.take_retry(
                        now, self.count_routers()
                    )
                step = attempts.decide(end, progress)
            logs.event(
                LOG,
                'attempt_ended',
                id=job.request.id,
                digest=job.digest.hex(),
                chain=job.chain,
                end=end.value,
                next=step.value,
                tries=progress.tries,
                endpoints=job.sent_to,
                left_ms=round(progress.time_left * SECOND_MS),
                after_event=job.splitter.last,
            )
            if step not in GOING_ON:
                self._give_up(job, end, step)
                return
            if (
                step is attempts.NextStep.RESUME
                and end is attempts.Result.REFUSED
            ):
                self._pause(job)

    def _pause(self, job):
        """Let a moment pass before a stream under way is tried again."""
        time.sleep(attempts.REFUSAL_PAUSE_SECONDS)
        if serving.is_gone(job.exchange.socket):
            raise exchange_module.CallerLeft('between two tries')

    def _give_up(self, job, end, step):
        if step is attempts.NextStep.DROP:
            raise exchange_module.CallerLeft('the caller closed')
        if step is attempts.NextStep.ABORT:
            job.exchange.abort()
            self.metrics.count('broken_off')
            job.answer = None
            return
        detail = f'the last attempt ended as {end.value}'
        if (
            step is attempts.NextStep.REFUSE
            and end is attempts.Result.SUSPECTED
        ):
            raise exceptions.EndsEndpoints(
                'endpoints have ended under this request',
                self.screen.retry_after(job),
                digest=job.digest.hex(),
                ends=self.screen.verdict(job).crashes,
            )
        retry_after = max(
            self.selector.retry_after(job.service),
            self.screen.retry_after(job),
        )
        if job.limited:
            limited = self.selector.turns.refuse(job, self.clock())
            retry_after = max(retry_after, limited)
        if step is attempts.NextStep.REFUSE:
            raise exceptions.NoEndpoint(detail, retry_after)
        if job.route.repeatable:
            raise exceptions.Interrupted(detail, retry_after)
        raise exceptions.OutcomeUnknown(detail)

    def _attempt(self, job):
        """Send the request to one endpoint.

        Returns
        -------
        attempts.Result or None
            None once the caller has its final answer.
        """
        if not self.screen.passes(job):
            return attempts.Result.SUSPECTED
        choice = self.selector.choose(job, self.clock())
        if choice is None and job.exchange.begun:
            choice = self._wait_for_choice(job)
        if choice is None and job.progress.tries:
            job.progress.refusals = attempts.MAX_REFUSALS
            job.progress.tries = attempts.MAX_TRIES
            return attempts.Result.NOT_SENT
        if choice is None and job.limited:
            raise exceptions.Overloaded(
                'endpoints take no more requests for now',
                self.selector.turns.refuse(job, self.clock()),
                limited=sorted(job.limited),
            )
        if choice is None:
            raise exceptions.Overloaded(
                'no endpoint has room',
                self.selector.retry_after(job.service),
                layers=self.selector.shortages(job, self.clock()),
            )
        if choice.wait:
            time.sleep(choice.wait)
        attempt = watching.Attempt(
            job.request.id, choice.endpoint, choice.stages, job.deadline
        )
        attempt.tokens = choice.tokens
        attempt.may_change_endpoint = self._may_leave(job, choice.endpoint)
        job.chain = _chain_text(choice.stages)
        self.selector.reserve(attempt)
        self.screen.begin(job, attempt)
        self.watcher.add(job.exchange.socket, attempt)
        try:
            return self.sender.send(job, attempt)
        finally:
            self.watcher.remove(job.exchange.socket)
            self.selector.release(attempt)
            self.screen.finish(job)

    def _may_leave(self, job, endpoint):
        """Whether another endpoint may get the request after this one."""
        sent_to = {*job.sent_to, endpoint.id}
        return len(sent_to) < job.progress.max_endpoints

    def _wait_for_choice(self, job):
        """Wait for room for a stream that its caller has a part of.

        Breaking it off would lose the whole; its caller waits two seconds
        for the next event, and room comes within one, as others end or
        layers are loaded.
        """
        end = min(job.deadline, self.clock() + RESUME_WAIT)
        while self.clock() < end:
            time.sleep(RESUME_TICK)
            if serving.is_gone(job.exchange.socket):
                raise exchange_module.CallerLeft('while waiting for room')
            choice = self.selector.choose(job, self.clock())
            if choice is not None:
                return choice
        return None


def _rounded_ms(seconds):
    return None if seconds is None else round(seconds * SECOND_MS)


def _chain_text(stages):
    return ' '.join(f'{s.endpoint}={s.first}-{s.end}' for s in stages)


def make_forwarder(*parts):
    """Make a `Forwarder`."""
    return Forwarder(*parts)
