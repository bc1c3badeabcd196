"""One sending of a request to an endpoint, and what comes back of it."""

__all__ = ['Sender', 'make_sender']

import logging

from ibisring_gateway import events
from ibisring_gateway import selecting
from ibisring_gateway import upstream
from ibisring_policy.gateway import attempts
from ibisring_records import routing
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Objectives that a repeatable plain request may wait for one endpoint.
PATIENCE = 2.0
# Bytes of a plain answer that are held until it is whole.
HELD_WHOLE = 1 << 20
SECOND_MS = 1000.0


class Sender:
    """Sends requests to endpoints and relays their answers.

    Parameters
    ----------
    view : view.View
    codec : ports.Codec
    connections : upstream.ConnectionPool
    selector : selecting.Selector
    screen : screening.Screen

    Attributes
    ----------
    on_limit : callable
        Called when an endpoint names another limit than before.
    """

    def __init__(self, view, codec, connections, selector, screen):
        self.view = view
        self.codec = codec
        self.connections = connections
        self.selector = selector
        self.screen = screen
        self.on_limit = lambda: None
        self.clock = view.clock

    def send(self, job, attempt):
        """Send a request to one endpoint and relay the answer.

        Parameters
        ----------
        job : jobs.Job
        attempt : watching.Attempt

        Returns
        -------
        attempts.Result or None
            None once the caller has its final answer.
        """
        endpoint = attempt.endpoint
        job.progress.tries += 1
        once = job.route.kind is routing.Kind.ONCE
        try:
            conn = self.connections.take(endpoint, fresh=once)
        except upstream.Failed as error:
            return self._not_reached(job, attempt, error)
        attempt.socket = conn.sock
        if attempt.result is not None:
            conn.close()
            return attempt.result
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
        attempt.sent_at = now
        attempt.last_event_at = now
        if job.progress.stream:
            attempt.check_at = now + self.selector.first_event(job, attempt)
        elif job.route.repeatable and attempt.may_change_endpoint:
            # A slow answer is worth little by then, and another endpoint
            # may still give one in time.  The last one that the route allows
            # is waited for: ending it would leave the caller with nothing.
            attempt.check_at = now + PATIENCE * job.route.objective

    def _not_reached(self, job, attempt, error):
        name = attempt.endpoint.id
        job.avoid.add(name)
        with self.view.lock:
            self.view.estimates.note_unreachable(name, self.clock())
        logs.event(
            LOG,
            'endpoint_unreachable',
            id=job.request.id,
            endpoint=name,
            address=attempt.endpoint.address,
            why=str(error),
        )
        return attempt.result or attempts.Result.NOT_SENT

    def _lost(self, job, attempt, error):
        """Sort a failure after the request was written."""
        job.progress.may_have_run = True
        has_ended = self.screen.lost(job, attempt)
        if attempt.result is None or attempt.result is attempts.Result.SILENT:
            job.avoid.add(attempt.endpoint.id)
            with self.view.lock:
                self.view.estimates.note_response(
                    attempt.endpoint.id, True, self.clock()
                )
        logs.event(
            LOG,
            'answer_lost',
            id=job.request.id,
            digest=job.digest.hex(),
            endpoint=attempt.endpoint.id,
            end=attempt.result.value if attempt.result else None,
            ended=has_ended,
            ran_ms=round((self.clock() - attempt.sent_at) * SECOND_MS),
            events=attempt.events,
            why=str(error),
        )
        return attempt.result or attempts.Result.LOST

    def _receive(self, job, attempt, conn, response):
        answer = self.codec.decode_answer(response.status, response.headers)
        name = attempt.endpoint.id
        now = self.clock()
        if answer.request_id not in (None, job.request.id):
            # An answer to some earlier request came late on this connection.
            conn.close()
            return self._lost(job, attempt, 'answer to another request')
        with self.view.lock:
            self.view.estimates.note_reachable(name, now)
            if answer.load is not None:
                self.view.estimates.note_load(name, answer.load, now)
        self._note_limit(attempt, answer, now)
        if answer.refused:
            response.drain_conn()
            conn.close()
            return self._refused(job, attempt, answer)
        job.progress.may_have_run = True
        damage = _damage(answer)
        if job.exchange.begun and answer.status != 200:
            # The caller has a part of a stream.  Another status can't go on
            # with it, and written after it its end would close the stream
            # as if it were whole.
            damage = f'status {answer.status} in place of a stream\'s rest'
        if damage:
            conn.close()
            return self._lost(job, attempt, damage)
        attempt.last_event_at = now
        if job.progress.stream and answer.status == 200:
            end = self._relay_stream(job, attempt, response, answer)
        else:
            end = self._relay_whole(job, attempt, response, answer)
        if end is None and answer.delimited and attempt.result is None:
            self.connections.give_back(attempt.endpoint, conn)
        else:
            conn.close()
        return end

    def _note_limit(self, attempt, answer, now):
        """Note the limit that an endpoint names.

        A refusal without one says nothing: what writes it may not be what
        names limits.
        """
        endpoint = attempt.endpoint
        if answer.limit_invalid:
            logs.event(LOG, 'limit_unreadable', endpoint=endpoint.id)
            return
        if answer.wrong_endpoint or (answer.refused and answer.limit is None):
            return
        with self.view.lock:
            limits = self.view.limits
            before = limits.rate(endpoint.id)
            is_news = limits.record_rate(
                endpoint.id,
                endpoint.started,
                answer.limit,
                attempt.sent_at,
                now,
            )
        if is_news:
            logs.event(
                LOG,
                'endpoint_limit',
                endpoint=endpoint.id,
                rate=answer.limit,
                before=before,
            )
            self.on_limit()

    def _refused(self, job, attempt, answer):
        """The endpoint, or a stage behind it, did not run the request."""
        culprit = self.selector.culprit(attempt, answer)
        job.progress.refusals += 1
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
        return attempts.Result.REFUSED

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
        if attempt.result is not None:
            return self._lost(job, attempt, 'broken off')
        if answer.length is not None and answer.length != size:
            return self._lost(job, attempt, 'short answer')
        self.screen.answered(job)
        failed = answer.status >= 500
        with self.view.lock:
            self.view.estimates.note_response(
                attempt.endpoint.id, failed, self.clock()
            )
        if failed and self._may_try_again(job):
            job.avoid.add(attempt.endpoint.id)
            return attempts.Result.LOST
        job.answer = answer
        job.piece_came(self.clock())
        job.exchange.answer(answer.status, answer.headers, b''.join(pieces))
        return None

    def _may_try_again(self, job):
        """Whether an endpoint's own failure is worth another one's answer."""
        progress = job.progress
        return (
            progress.repeatable
            and not job.exchange.begun
            and progress.sent_to < progress.max_endpoints
            and job.deadline - self.clock()
            > 2 * attempts.MIN_TIME_LEFT_SECONDS
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
                now = self.clock()
                self.selector.event_came(attempt, now)
                job.piece_came(now)
                if attempt.events == 1:
                    self.screen.answered(job)
                if not exchange.begun:
                    exchange.begin(answer.status, _streamed(answer.headers))
                exchange.write(whole)
        except (upstream.Failed, events.Damaged) as error:
            return self._lost(job, attempt, error)
        if attempt.result is not None:
            return self._lost(job, attempt, 'broken off')
        with self.view.lock:
            self.view.estimates.note_response(
                attempt.endpoint.id, False, self.clock()
            )
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


def _streamed(headers):
    return [h for h in headers if h[0].lower() != 'content-length']


def make_sender(view, codec, connections, selector, screen):
    """Make a `Sender`."""
    return Sender(view, codec, connections, selector, screen)
