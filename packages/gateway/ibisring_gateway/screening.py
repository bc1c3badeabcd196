"""Stops requests that crash endpoints from being forwarded.

Requests whose prompts have parts that others may share go by these parts, see
`partscreening`; all others by a digest of the whole request.
"""

__all__ = ['Restriction', 'Screen', 'make_screen']

import logging
import time

from ibisring_gateway import exchange as exchange_module
from ibisring_gateway import liveness
from ibisring_gateway import partscreening
from ibisring_policy.gateway import answerends
from ibisring_policy.gateway import suspects
from ibisring_records import exceptions
from ibisring_router import logs
from ibisring_web import sockets
import msgspec

LOG = logging.getLogger(__name__)
# Interval at which a waiting suspect is checked again.
POLL_SECONDS = 0.02
# Longest time a suspect waits for the outcome of another attempt at the same
# request, which crashes its endpoint or is answered long before.
MAX_WAIT_SECONDS = 1.2


class Restriction(msgspec.Struct, frozen=True):
    """How a request is restricted.

    `refused_until` is in monotonic seconds, 0 if it is not refused; `crashes`
    counts the endpoints that it, or what it has in common with others, is
    suspected of having crashed.  With `must_wait` it should not start yet;
    with `is_settling` this concerns started streams, too.
    """

    refused_until: float = 0.0
    crashes: int = 0
    is_suspect: bool = False
    must_wait: bool = False
    is_settling: bool = False


class Screen:
    """Checks requests against the view's suspects, and reports crashes.

    Parameters
    ----------
    view : view.View
    prober : liveness.Prober
    metrics : metrics.Metrics

    Attributes
    ----------
    on_update : callable
        Called when suspects changed in a way to gossip at once.
    """

    def __init__(self, view, prober, metrics):
        self.view = view
        self.prober = prober
        self.metrics = metrics
        self.clock = view.clock
        self.on_update = lambda: None
        self.parts = partscreening.make_part_screen(view, metrics)

    def verdict(self, job):
        """Return the `suspects.Verdict` on a request."""
        with self.view.lock:
            return self.view.suspects.verdict(job.digest, self.clock())

    def restriction(self, job):
        """Return the `Restriction` of a request."""
        if job.features:
            found = self.parts.verdict(job)
            return Restriction(
                found.refused_until,
                found.crashes,
                bool(found.doubtful),
                found.must_wait,
                found.is_settling,
            )
        found = self.verdict(job)
        return Restriction(
            found.refused_until,
            found.crashes,
            found.crashes > 0,
            found.is_running or self.clock() < found.not_before,
        )

    def wait_until_allowed(self, job):
        """Wait until a request may be forwarded; False if it is refused.

        A request whose caller has received part of an answer passes: an
        endpoint has answered it without a crash.  Not so if a part of its
        prompt crashes endpoints as they begin to answer.

        Raises
        ------
        CallerDisconnected
        """
        is_started = job.exchange.headers_sent
        if is_started and not job.features:
            return True
        end = min(job.deadline, self.clock() + MAX_WAIT_SECONDS)
        while True:
            restriction = self.restriction(job)
            if restriction.refused_until:
                return False
            must_wait = restriction.is_settling
            if not is_started:
                job.is_suspect = restriction.is_suspect
                must_wait = restriction.must_wait
            if not must_wait or self.clock() >= end:
                return True
            time.sleep(POLL_SECONDS)
            if sockets.is_gone(job.exchange.socket):
                raise exchange_module.CallerDisconnected(
                    'while the suspect request waited'
                )

    def may_move(self, job):
        """Return whether a request may go to another endpoint at once."""
        is_started = job.exchange.headers_sent
        if is_started and not job.features:
            return True
        found = self.restriction(job)
        must_wait = found.is_settling if is_started else found.must_wait
        return not (found.refused_until or must_wait)

    def is_refused(self, job):
        """Return whether a request may not be sent to an endpoint."""
        if job.exchange.headers_sent and not job.features:
            return False
        return bool(self.restriction(job).refused_until)

    def retry_after(self, job):
        """Return the seconds for which a request is refused, 0 if allowed."""
        return max(0.0, self.restriction(job).refused_until - self.clock())

    def refusal(self, job):
        """Return the error for a request that is refused."""
        restriction = self.restriction(job)
        parts = self.parts.refused_parts(job)
        detail = 'endpoints have ended under this request'
        if parts:
            detail = f'endpoints have ended under {", ".join(parts)}'
        return exceptions.CrashingRequest(
            detail,
            max(0.0, restriction.refused_until - self.clock()),
            digest=job.digest.hex(),
            ends=restriction.crashes,
            parts=parts,
        )

    def record_start(self, job, attempt):
        """Record that a suspect is being sent to an endpoint."""
        if job.features:
            self.parts.record_start(job)
        if job.is_suspect and not job.exchange.headers_sent:
            with self.view.lock:
                self.view.suspects.mark_running(
                    job.digest, attempt.endpoint.id
                )

    def record_end(self, job):
        """Record that an attempt is over."""
        self.parts.record_end(job)
        if job.is_suspect:
            with self.view.lock:
                self.view.suspects.mark_finished(job.digest)

    def record_answer(self, job, attempt):
        """Record that an endpoint has answered a request, or begun to."""
        now = self.clock()
        endpoint = attempt.endpoint
        with self.view.lock:
            tracked = self.view.suspects
            changes_before = tracked.local_changes
            if not job.features:
                tracked.mark_finished(job.digest)
                tracked.answered(job.digest, now)
            for table in (tracked, self.view.parts):
                table.process_answered(
                    endpoint.id, endpoint.started, attempt.sent_at, now
                )
            has_changed = tracked.local_changes > changes_before
        if has_changed:
            self._log_suspect(job.digest, 0)
            self.on_update()

    def record_event(self, job, attempt, now):
        """Record an event of a stream."""
        if attempt.events == 1:
            self.record_answer(job, attempt)
        if job.features and not attempt.is_counted:
            self.parts.record_event(job, attempt, now)
            if attempt.is_counted:
                self._finish(job)

    def record_whole_answer(self, job, attempt):
        """Record that a request was answered to the end."""
        if job.features and not attempt.is_counted:
            self.parts.record_answer(job, attempt)
            self._finish(job)

    def _finish(self, job):
        with self.view.lock:
            self.view.suspects.mark_finished(job.digest)

    def check_lost_answer(self, job, attempt):
        """Check whether an endpoint crashed, after its answer was lost.

        Only answers that were lost as they began are checked: before the
        first event, or soon after it if the prompt has parts.

        Returns
        -------
        liveness.Finding or None
            None if it was not checked.
        """
        if attempt.result is not None:
            return None
        if job.features:
            return self._check_lost_parts(job, attempt)
        if attempt.events:
            return None
        finding = self.prober.check(attempt.endpoint)
        if self._may_be_cause(job, attempt):
            if finding is liveness.Finding.CRASHED:
                self._record_crash(job, attempt.endpoint)
            elif finding is not liveness.Finding.RUNNING:
                is_cut_off = finding is liveness.Finding.CUT_OFF
                self._record_unresolved(job, attempt.endpoint, is_cut_off)
        return finding

    def _check_lost_parts(self, job, attempt):
        lost_at = self.clock()
        if not self.parts.may_be_cause(job, attempt, lost_at):
            return None
        finding = self.prober.check(attempt.endpoint)
        if self.parts.record_loss(job, attempt, finding, lost_at):
            self.on_update()
        return finding

    def process_after_answer(self, endpoint):
        """Return what is known of an endpoint's process after its answer.

        One that leaves, or whose entry is gone, serves on with its port open
        until it exits, and its exit cuts what still runs.

        Returns
        -------
        answerends.Process
        """
        snapshot = self.view.snapshot
        is_exit_due = endpoint.id not in snapshot.endpoints
        is_exit_due |= snapshot.is_leaving(endpoint)
        return self.prober.find_process(endpoint, is_exit_due)

    def may_still_answer(self, endpoint):
        """Return whether a silent endpoint may still answer."""
        known = self.view.snapshot.endpoints.get(endpoint.id)
        process, is_reached = self.prober.observe(endpoint)
        return answerends.may_still_answer(
            answerends.Signs(
                process=process,
                has_entry=known is not None,
                has_restarted=(
                    known is not None and known.started > endpoint.started
                ),
                reaches_another=is_reached,
            )
        )

    def _record_unresolved(self, job, endpoint, is_cut_off):
        """Record a loss that a later start of the endpoint may explain."""
        with self.view.lock:
            self.view.suspects.answer_lost(
                job.digest,
                endpoint.id,
                endpoint.started,
                self.clock(),
                counts=not is_cut_off,
            )
        if not is_cut_off:
            self.on_update()

    def _may_be_cause(self, job, attempt):
        """Return whether the request may have caused a crash.

        A stream of which some endpoint has delivered a part is not the cause,
        nor is any request of the exit of an endpoint that leaves.
        """
        if self.view.snapshot.is_leaving(attempt.endpoint):
            return False
        if job.exchange.headers_sent or job.request.after_event:
            return False
        return self.clock() - attempt.sent_at < suspects.LOST_ANSWER_SECONDS

    def _record_crash(self, job, endpoint):
        now = self.clock()
        with self.view.lock:
            tracked = self.view.suspects
            changes_before, evicted = tracked.local_changes, tracked.evicted
            tracked.crashed(job.digest, endpoint.id, endpoint.started, now)
            has_changed = tracked.local_changes > changes_before
            crashes = tracked.verdict(job.digest, now).crashes
            evicted = tracked.evicted - evicted
        if evicted:
            self.metrics.count('suspects_forgotten', evicted)
        if has_changed:
            self.metrics.count('endpoints_ended_by_requests')
            self._log_suspect(job.digest, crashes, endpoint=endpoint.id)
            self.on_update()

    def _log_suspect(self, digest, crashes, **facts):
        logs.event(LOG, 'suspect', digest=digest.hex(), ends=crashes, **facts)


def make_screen(view, prober, metrics):
    """Make a `Screen`."""
    return Screen(view, prober, metrics)
