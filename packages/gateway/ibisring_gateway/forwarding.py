"""A request from its first byte to its one final answer."""

__all__ = ['Forwarder', 'Job', 'make_forwarder']

import logging
import random
import time

from ibisring_gateway import events
from ibisring_gateway import exchange as exchange_module
from ibisring_gateway import selecting
from ibisring_gateway import upstream
from ibisring_gateway import watching
from ibisring_policy import attempts
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import logs
from ibisring_web import serving

LOG = logging.getLogger(__name__)
# Seconds before a caller's own time limit at which it gets the final answer,
# while it still listens.
ANSWER_MARGIN = 0.02
# A router that knows no configuration has just started and finds the store
# away; outages last seconds, and a caller comes back once or twice only.
UNREADY_RETRY = 2.0
# Objectives that a repeatable plain request may wait for one endpoint.
PATIENCE = 2.0
# Seconds that a stream under way waits for room, and between looks for it.
RESUME_WAIT = 1.3
RESUME_TICK = 0.05
# Bytes of a plain answer that are held until it is whole.
HELD_WHOLE = 1 << 20


class Job:
    """A request while it is being served.

    Attributes
    ----------
    splitter : events.Splitter
    progress : attempts.Progress
    avoid : set of str
        Endpoints that failed this request.
    """

    def __init__(self, exchange, request, match, service, deadline):
        self.exchange = exchange
        self.request = request
        self.match = match
        self.route = match.route
        self.service = service
        self.deadline = deadline
        self.splitter = events.make_splitter(request.after_event)
        self.avoid = set()
        self.head = None
        self.sent_to = []
        self.answer = None
        self.chain = ''
        self.longest_gap = 0.0
        self.progress = attempts.Progress(
            repeatable=match.route.repeatable,
            stream=match.route.kind is routing.Kind.STREAM,
            most_endpoints=max(1, match.route.most_endpoints),
        )


class Forwarder:
    """Serves callers' requests.

    Parameters
    ----------
    view : view.View
    codec : ports.Codec
    connections : upstream.Connections
    watcher : watching.Watcher
    window : attempts.Window
    metrics : metrics.Metrics
    """

    def __init__(self, view, codec, connections, watcher, window, metrics):
        self.view = view
        self.codec = codec
        self.connections = connections
        self.watcher = watcher
        self.window = window
        self.metrics = metrics
        self.selector = selecting.make_selector(view)
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
        if self.stopping_at is not None:
            exchange.close_after()
        status, headers, body = self.codec.encode_error(request_id, error)
        try:
            exchange.answer(status, headers, body)
        except exchange_module.CallerLeft as left:
            LOG.debug('caller left before a refusal: %s', left)
        self.metrics.count(f'refused.{error.code}')
        self._log(
            request_id,
            error.code,
            started,
            status=status,
            why=error.detail,
            retry_after=error.retry_after,
            table=self.view.snapshot.version,
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
            ms=round(seconds * 1000.0, 1),
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
        job = Job(exchange, request, match, service, started + limit)
        with self.view.lock:
            self.window.first(started)
        self._run(job)
        self._finish(job, started)

    def _finish(self, job, started):
        answer = job.answer
        self._log(
            job.request.id,
            'answered' if answer and answer.status < 400 else 'failed',
            started,
            status=answer.status if answer else None,
            route=job.route.name,
            service=job.service.name,
            account=job.match.account,
            tries=job.progress.tries,
            endpoints=job.sent_to,
            events=job.splitter.count,
            longest_gap_ms=round(job.longest_gap * 1000.0),
            chain=job.chain,
            table=self.view.snapshot.version,
            endpoints_age_ms=round(
                (self.clock() - self.view.snapshot.endpoints_at) * 1000.0
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
            progress.budget = True
            step = attempts.decide(end, progress)
            goes_on = step in (attempts.Next.ELSEWHERE, attempts.Next.RESUME)
            if goes_on and progress.sent_to:
                with self.view.lock:
                    progress.budget = self.window.take(now)
                if not progress.budget:
                    step = attempts.decide(end, progress)
                    goes_on = False
            logs.event(
                LOG,
                'attempt_ended',
                id=job.request.id,
                chain=job.chain,
                end=end.value,
                next=step.value,
                tries=progress.tries,
                endpoints=job.sent_to,
                left_ms=round(progress.time_left * 1000.0),
                after_event=job.splitter.last,
            )
            if not goes_on:
                self._give_up(job, end, step)
                return

    def _give_up(self, job, end, step):
        if step is attempts.Next.DROP:
            raise exchange_module.CallerLeft('the caller closed')
        if step is attempts.Next.BREAK:
            job.exchange.abort()
            self.metrics.count('broken_off')
            job.answer = None
            return
        detail = f'the last attempt ended as {end.value}'
        if step is attempts.Next.REFUSE:
            raise exceptions.NoEndpoint(
                detail, self.selector.retry_after(job.service)
            )
        if job.route.repeatable:
            raise exceptions.Interrupted(
                detail, self.selector.retry_after(job.service)
            )
        raise exceptions.OutcomeUnknown(detail)

    def _attempt(self, job):
        """Send the request to one endpoint.

        Returns
        -------
        attempts.End or None
            None once the caller has its final answer.
        """
        choice = self.selector.choose(job, self.clock())
        if choice is None and job.exchange.begun:
            choice = self._wait_for_choice(job)
        if choice is None and job.progress.tries:
            job.progress.tries = attempts.MOST_TRIES
            return attempts.End.NOT_SENT
        if choice is None:
            raise exceptions.Overloaded(
                'no endpoint has room',
                self.selector.retry_after(job.service),
            )
        attempt = watching.Attempt(
            job.request.id, choice.endpoint, choice.stages, job.deadline
        )
        attempt.tokens = choice.tokens
        job.chain = _chain_text(choice.stages)
        self.selector.reserve(attempt)
        self.watcher.add(job.exchange.socket, attempt)
        try:
            return self._send(job, attempt)
        finally:
            self.watcher.remove(job.exchange.socket)
            job.longest_gap = max(job.longest_gap, attempt.longest_gap)
            self.selector.release(attempt)

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

    def _send(self, job, attempt):
        endpoint = attempt.endpoint
        job.progress.tries += 1
        once = job.route.kind is routing.Kind.ONCE
        try:
            conn = self.connections.take(endpoint, fresh=once)
        except upstream.Failed as error:
            return self._not_reached(job, attempt, error)
        attempt.socket = conn.sock
        if attempt.end is not None:
            conn.close()
            return attempt.end
        self._set_patience(job, attempt)
        if endpoint.id not in job.sent_to:
            job.sent_to.append(endpoint.id)
        job.progress.sent_to = len(job.sent_to)
        headers = self.codec.encode_request(
            job.request, endpoint, self._sending(job, attempt)
        )
        try:
            time_left = max(0.01, job.deadline - self.clock()) + 1.0
            response = self.connections.send(
                conn, job.request, headers, time_left
            )
        except upstream.Failed as error:
            conn.close()
            return self._lost(job, attempt, error)
        return self._receive(job, attempt, conn, response)

    def _sending(self, job, attempt):
        return selecting.Sending(
            stages=attempt.stages,
            time_left=max(0.0, job.deadline - self.clock()),
            account=job.match.account,
            priority=min(9, max(0, job.match.priority)),
            after_event=job.splitter.last,
        )

    def _set_patience(self, job, attempt):
        now = self.clock()
        attempt.last_at = now
        if job.progress.stream:
            attempt.silent_at = now + self.selector.first_event(job, attempt)
        elif job.route.repeatable and self._has_further(job, attempt):
            # A slow answer is worth little by then, and another endpoint
            # may still give one in time.  The last one that the route allows
            # is waited for: ending it would leave the caller with nothing.
            attempt.silent_at = now + PATIENCE * job.route.objective

    def _has_further(self, job, attempt):
        """Whether another endpoint may get the request after this one."""
        sent_to = {*job.sent_to, attempt.endpoint.id}
        return len(sent_to) < job.progress.most_endpoints

    def _not_reached(self, job, attempt, error):
        name = attempt.endpoint.id
        job.avoid.add(name)
        with self.view.lock:
            self.view.book.unreachable(name, self.clock())
        logs.event(
            LOG,
            'endpoint_unreachable',
            id=job.request.id,
            endpoint=name,
            address=attempt.endpoint.address,
            why=str(error),
        )
        return attempt.end or attempts.End.NOT_SENT

    def _lost(self, job, attempt, error):
        """Sort a failure after the request was written."""
        job.progress.may_have_run = True
        if attempt.end is None or attempt.end is attempts.End.SILENT:
            job.avoid.add(attempt.endpoint.id)
            with self.view.lock:
                self.view.book.answered(
                    attempt.endpoint.id, True, self.clock()
                )
        logs.event(
            LOG,
            'answer_lost',
            id=job.request.id,
            endpoint=attempt.endpoint.id,
            end=attempt.end.value if attempt.end else None,
            why=str(error),
        )
        return attempt.end or attempts.End.LOST

    def _receive(self, job, attempt, conn, response):
        answer = self.codec.decode_answer(response.status, response.headers)
        name = attempt.endpoint.id
        now = self.clock()
        if answer.request_id not in (None, job.request.id):
            # An answer to some earlier request came late on this connection.
            conn.close()
            return self._lost(job, attempt, 'answer to another request')
        with self.view.lock:
            self.view.book.reached(name, now)
            if answer.load is not None:
                self.view.book.report(name, answer.load, now)
        if answer.refused:
            response.drain_conn()
            conn.close()
            return self._refused(job, attempt, answer)
        job.progress.may_have_run = True
        damage = _damage(answer)
        if damage:
            conn.close()
            return self._lost(job, attempt, damage)
        attempt.last_at = now
        if job.progress.stream and answer.status == 200:
            end = self._relay_stream(job, attempt, response, answer)
        else:
            end = self._relay_whole(job, attempt, response, answer)
        if end is None and answer.whole and attempt.end is None:
            self.connections.give_back(attempt.endpoint, conn)
        else:
            conn.close()
        return end

    def _refused(self, job, attempt, answer):
        """The endpoint, or a stage behind it, did not run the request."""
        culprit = self.selector.culprit(attempt, answer)
        job.avoid.add(culprit)
        with self.view.lock:
            self.selector.blame(attempt, culprit, answer, self.clock())
        logs.event(
            LOG,
            'endpoint_refused',
            id=job.request.id,
            endpoint=attempt.endpoint.id,
            culprit=culprit,
            status=answer.status,
            load=answer.load,
        )
        return attempts.End.REFUSED

    def _relay_whole(self, job, attempt, response, answer):
        """Pass a plain answer on once it is whole."""
        pieces = []
        size = 0
        try:
            while True:
                piece = upstream.read_piece(response)
                if not piece:
                    break
                pieces.append(piece)
                size += len(piece)
                if size > HELD_WHOLE:
                    raise upstream.Failed('the answer is too large', True)
        except upstream.Failed as error:
            return self._lost(job, attempt, error)
        if attempt.end is not None:
            return self._lost(job, attempt, 'broken off')
        if answer.length is not None and answer.length != size:
            return self._lost(job, attempt, 'short answer')
        failed = answer.status >= 500
        with self.view.lock:
            self.view.book.answered(attempt.endpoint.id, failed, self.clock())
        if failed and self._may_try_again(job):
            job.avoid.add(attempt.endpoint.id)
            return attempts.End.LOST
        job.answer = answer
        job.exchange.answer(answer.status, answer.headers, b''.join(pieces))
        return None

    def _may_try_again(self, job):
        """Whether an endpoint's own failure is worth another one's answer."""
        progress = job.progress
        return (
            progress.repeatable
            and not job.exchange.begun
            and progress.sent_to < progress.most_endpoints
            and job.deadline - self.clock() > 2 * attempts.LEAST_TIME
        )

    def _relay_stream(self, job, attempt, response, answer):
        """Pass events on as they come."""
        exchange = job.exchange
        job.splitter.restart()
        try:
            while True:
                piece = upstream.read_piece(response)
                if not piece:
                    break
                whole = job.splitter.feed(piece)
                if not whole:
                    continue
                self.selector.event_came(attempt, self.clock())
                if not exchange.begun:
                    exchange.begin(answer.status, _streamed(answer.headers))
                exchange.write(whole)
        except (upstream.Failed, events.Damaged) as error:
            return self._lost(job, attempt, error)
        if attempt.end is not None:
            return self._lost(job, attempt, 'broken off')
        with self.view.lock:
            self.view.book.answered(attempt.endpoint.id, False, self.clock())
        if not exchange.begun:
            exchange.begin(answer.status, _streamed(answer.headers))
        exchange.write(job.splitter.rest)
        job.answer = answer
        return None


def _damage(answer):
    """Say what shows that an answer is not the endpoint's whole word.

    An endpoint that crashes may have written the head of a success, which
    its callers would take for an empty but complete answer.
    """
    if answer.encoded:
        return 'encoded answer'
    if answer.status < 300 and not answer.signed:
        return 'success without a signature'
    return None


def _chain_text(stages):
    return ' '.join(f'{s.endpoint}={s.first}-{s.end}' for s in stages)


def _streamed(headers):
    return [h for h in headers if h[0].lower() != 'content-length']


def make_forwarder(view, codec, connections, watcher, window, metrics):
    """Make a `Forwarder`."""
    return Forwarder(view, codec, connections, watcher, window, metrics)
