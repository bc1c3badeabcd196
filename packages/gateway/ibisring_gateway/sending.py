"""Sends one attempt of a request to an endpoint and relays the answer."""

__all__ = ['Sender', 'make_sender']

import functools
import logging

from ibisring_gateway import events
from ibisring_gateway import relaying
from ibisring_gateway import selecting
from ibisring_gateway import upstream
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import durations
from ibisring_records import routing
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Multiple of the objective after which the endpoint of a plain request is
# looked at.
TIMEOUT_OBJECTIVES = 2.0
MS_PER_SECOND = 1000.0
# Results of attempts whose endpoint is then avoided; None if it ended them.
_ENDPOINT_FAILED = (None, attempts.Result.SILENT, attempts.Result.LOST)


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
        Called when the rate limit that an endpoint states changes.
    on_leaving : callable
        Called with an endpoint that says that it is leaving.
    on_decided : callable
        Called with a job and a bool when an endpoint has decided on its
        attempt: True if the attempt was refused, False if accepted.
    successors : successors.Successors or None
        Without them an error answer is never replaced by another attempt.
    may_pass_on : callable
        Returns whether requests may still be sent.
    durations : durations.Durations
    """

    def __init__(self, view, codec, connections, selector, screen):
        self.view = view
        self.codec = codec
        self.connections = connections
        self.selector = selector
        self.screen = screen
        self.on_limit = lambda: None
        self.on_leaving = lambda endpoint: None
        self.on_decided = lambda job, refused: None
        self.successors = None
        self.may_pass_on = lambda: True
        self.durations = durations.make_durations()
        self.clock = view.clock

    def send(self, job, attempt):
        """Send a request to one endpoint and relay the answer.

        Parameters
        ----------
        job : jobs.Job
        attempt : attemptwatching.Attempt

        Returns
        -------
        attempts.Result or None
            None if the caller has its final answer.
        """
        endpoint = attempt.endpoint
        job.progress.tries += 1
        is_once = job.route.kind is routing.RequestKind.ONCE
        started = self.clock()
        try:
            conn = self.connections.acquire(endpoint, fresh=is_once)
        except upstream.NoDescriptor as error:
            # Chosen just before the last descriptor was taken; the request
            # waits or is refused like one that finds no endpoint with room.
            job.progress.tries -= 1
            LOG.debug('not sent to %s: %s', endpoint.id, error)
            return attempt.result or attempts.Result.NOT_SENT
        except upstream.ConnectionFailed as error:
            return self._handle_unreachable(job, attempt, error, started)
        try:
            return self._send_on(job, attempt, conn)
        except Exception:
            conn.close()
            raise

    def _send_on(self, job, attempt, conn):
        """Send a request on a connection."""
        endpoint = attempt.endpoint
        attempt.socket = conn.sock
        if attempt.result is not None:
            conn.close()
            return attempt.result
        if not (self._takes_requests(endpoint) and self.may_pass_on()):
            # The endpoint said so, or the process exits, since it was chosen.
            return self._withdraw(attempt, conn)
        self._set_timeouts(job, attempt)
        job.retry = None
        if endpoint.id not in job.sent_to:
            job.sent_to.append(endpoint.id)
        job.progress.sent_to = len(job.sent_to)
        headers = self.codec.encode_request(
            job.request, endpoint, self._metadata(job, attempt)
        )
        try:
            time_left = max(0.01, job.deadline - self.clock()) + 1.0
            response = self.connections.send(
                conn, job.request, headers, time_left
            )
        except upstream.ConnectionFailed as error:
            conn.close()
            return self._handle_lost_answer(job, attempt, error)
        return self._receive(job, attempt, conn, response)

    def _withdraw(self, attempt, conn):
        """Keep a connection for other requests, since nothing was sent."""
        if attempt.detach():
            self.connections.release(attempt.endpoint, conn)
        else:
            conn.close()
        return attempt.result or attempts.Result.NOT_SENT

    def _takes_requests(self, endpoint):
        """Return whether an endpoint neither leaves nor backs off."""
        if self.view.snapshot.is_leaving(endpoint):
            return False
        with self.view.lock:
            remaining = self.view.limits.backoffs.remaining
            return remaining(endpoint.id, self.clock()) <= 0.0

    def _metadata(self, job, attempt):
        return selecting.AttemptMetadata(
            stages=attempt.stages,
            time_left=max(0.0, job.deadline - self.clock()),
            account=job.match.account,
            priority=min(9, max(0, job.match.priority)),
            after_event=job.splitter.last_position,
        )

    def _set_timeouts(self, job, attempt):
        now = self.clock()
        attempt.sent_at = now
        attempt.last_event_at = now
        if job.progress.stream:
            attempt.check_at = now + self.selector.first_event_timeout(
                job, attempt
            )
        elif not attempt.stages or (
            job.route.repeatable and attempt.may_change_endpoint
        ):
            # A slower answer is of little use, and another endpoint may still
            # answer in time.  Where none is allowed, the attempt stays while
            # its endpoint may still answer.
            attempt.check_at = now + TIMEOUT_OBJECTIVES * job.route.objective

    def _handle_unreachable(self, job, attempt, error, started):
        name = attempt.endpoint.id
        job.avoid.add(name)
        job.unreached_at = started
        with self.view.lock:
            self.view.estimates.note_unreachable(
                name, self.clock(), tried_at=started
            )
        logs.event(
            LOG,
            'endpoint_unreachable',
            id=job.request.id,
            endpoint=name,
            address=attempt.endpoint.address,
            ms=round((self.clock() - started) * MS_PER_SECOND),
            late_ms=self.view.late_ms(started),
            why=str(error),
        )
        return attempt.result or attempts.Result.NOT_SENT

    def _handle_lost_answer(self, job, attempt, error):
        """Handle a failure after the request was written."""
        job.record_loss()
        # The attempt's deadline may pass during the check.
        result = attempt.result
        finding = self.screen.check_lost_answer(job, attempt)
        if result in _ENDPOINT_FAILED:
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
            end=result.value if result else None,
            finding=finding.value if finding else None,
            late_ms=self.view.late_ms(attempt.sent_at),
            ran_ms=round((self.clock() - attempt.sent_at) * MS_PER_SECOND),
            events=attempt.events,
            why=str(error),
        )
        return attempt.result or attempts.Result.LOST

    def _receive(self, job, attempt, conn, response):
        answer = self.codec.decode_answer(
            response.status, response.headers, response.head.body
        )
        now = self.clock()
        if answer.leaving and not answer.wrong_endpoint:
            self.on_leaving(attempt.endpoint)
        if answer.request_id not in (None, job.request.id):
            # A late answer to an earlier request on this connection.
            conn.close()
            return self._handle_lost_answer(
                job, attempt, 'answer to another request'
            )
        self._record_answer(job, attempt, answer, now)
        if answer.refused:
            # The head says all; the body may have no end.
            conn.close()
            return self._handle_refusal(job, attempt, answer)
        job.progress.may_have_run = True
        fault = relaying.answer_fault(answer, job.exchange.headers_sent)
        if fault:
            conn.close()
            return self._handle_lost_answer(job, attempt, fault)
        attempt.last_event_at = now
        if job.progress.stream and answer.status == 200:
            result = self._relay_stream(job, attempt, response, answer)
        else:
            result = self._relay_plain(job, attempt, response, answer)
        is_intact = attempt.detach()
        if result is None and answer.delimited and is_intact:
            self.connections.release(attempt.endpoint, conn)
        else:
            conn.close()
        return result

    def _note_duration(self, job, attempt):
        """Note how long an answer took that is all of one attempt."""
        if job.progress.tries == 1:
            now = self.clock()
            seconds = now - attempt.sent_at
            self.durations.note(job.route.name, seconds, now)

    def _record_answer(self, job, attempt, answer, now):
        """Record what the head of an answer says of its endpoint."""
        name = attempt.endpoint.id
        with self.view.lock:
            self.view.estimates.note_reachable(name, now)
            if answer.load is not None:
                self.view.estimates.note_load(name, answer.load, now)
        self._record_limit(attempt, answer, now)
        self._record_backoff(job, attempt, answer, now)
        if not answer.wrong_endpoint:
            self.on_decided(job, answer.refused)

    def _record_limit(self, attempt, answer, now):
        """Record the rate limit that an endpoint states.

        A refusal that states no limit doesn't mean that there is none: it may
        be written by another component than the one that states limits.
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
            is_changed = limits.record_rate(
                endpoint.id,
                endpoint.started,
                answer.limit,
                attempt.sent_at,
                now,
            )
        if is_changed:
            logs.event(
                LOG,
                'endpoint_limit',
                endpoint=endpoint.id,
                rate=answer.limit,
                before=before,
            )
            self.on_limit()

    def _record_backoff(self, job, attempt, answer, now):
        """Record for how long an endpoint wants no requests, if it says so.

        It concerns the endpoint that was asked, also if a later stage of the
        chain is the reason.
        """
        endpoint = attempt.endpoint
        if answer.backoff is None:
            with self.view.lock:
                self.view.limits.backoffs.record_answer(
                    endpoint.id, endpoint.started, attempt.sent_at
                )
            return
        known = self.view.snapshot.endpoints.get(endpoint.id, endpoint)
        if known.started != endpoint.started:
            # The process that asked for it has ended.
            return
        with self.view.lock:
            is_kept = self.view.limits.backoffs.record(
                endpoint.id, endpoint.started, answer.backoff, now
            )
        logs.event(
            LOG,
            'endpoint_backoff',
            id=job.request.id,
            endpoint=endpoint.id,
            seconds=answer.backoff,
            kept=is_kept,
        )

    def _handle_refusal(self, job, attempt, answer):
        """Handle a refusal by the endpoint or a later stage of its chain."""
        refusing = self.selector.refusing_endpoint(attempt, answer)
        job.progress.refusals += 1
        job.avoid.add(refusing)
        with self.view.lock:
            self.selector.record_refusal(
                attempt, refusing, answer, self.clock()
            )
        logs.event(
            LOG,
            'endpoint_refused',
            id=job.request.id,
            endpoint=attempt.endpoint.id,
            culprit=refusing,
            status=answer.status,
            load=answer.load,
            backoff=answer.backoff,
            backoff_invalid=answer.backoff_invalid,
        )
        return attempts.Result.REFUSED

    def _relay_plain(self, job, attempt, response, answer):
        """Relay a plain answer once it is complete."""
        try:
            body = relaying.read_plain(
                attempt, response, answer, self._find_process(attempt)
            )
        except upstream.ConnectionFailed as error:
            return self._handle_lost_answer(job, attempt, error)
        self.screen.record_answer(job, attempt)
        self.screen.record_whole_answer(job, attempt)
        failed = answer.status >= 500
        with self.view.lock:
            self.view.estimates.note_response(
                attempt.endpoint.id,
                failed and answer.backoff is None,
                self.clock(),
            )
        if failed and self._may_retry(job) and self._replace_error(attempt):
            job.avoid.add(attempt.endpoint.id)
            return attempts.Result.LOST
        if not failed:
            self._note_duration(job, attempt)
        job.answer = answer
        job.record_chunk(self.clock())
        job.exchange.answer(answer.status, answer.headers, body)
        return None

    def _find_process(self, attempt):
        """Return what finds out whether an endpoint's process runs on."""
        return functools.partial(
            self.screen.process_after_answer, attempt.endpoint
        )

    def _may_retry(self, job):
        """Return whether another endpoint may replace an error answer."""
        progress = job.progress
        return (
            progress.repeatable
            and not job.exchange.headers_sent
            and progress.sent_to < progress.max_endpoints
            and job.deadline - self.clock()
            > 2 * attempts.MIN_TIME_LEFT_SECONDS
        )

    def _replace_error(self, attempt):
        """Give an error answer up for a successor, if there is one."""
        if self.successors is None:
            return False
        successor = self.successors.prepare(attempt, attempts.Cause.FAILED)
        if successor is None:
            return False
        if attempt.hand_over(successor, attempts.Result.LOST):
            return True
        self.successors.cancel(successor)
        return False

    def _relay_stream(self, job, attempt, response, answer):
        """Relay events as they arrive."""

        def on_event():
            now = self.clock()
            self.selector.record_event(attempt, now)
            job.record_chunk(now)
            self.screen.record_event(job, attempt, now)

        try:
            relaying.relay_events(
                job,
                attempt,
                response,
                answer,
                on_event,
                self._find_process(attempt),
            )
        except (upstream.ConnectionFailed, events.StreamBroken) as error:
            return self._handle_lost_answer(job, attempt, error)
        self.screen.record_whole_answer(job, attempt)
        with self.view.lock:
            self.view.estimates.note_response(
                attempt.endpoint.id, False, self.clock()
            )
        self._note_duration(job, attempt)
        job.answer = answer
        return None


def make_sender(view, codec, connections, selector, screen):
    """Make a `Sender`."""
    return Sender(view, codec, connections, selector, screen)
