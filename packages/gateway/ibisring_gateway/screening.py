"""Stops requests that crash endpoints from being forwarded."""

__all__ = ['Screen', 'make_screen']

import logging
import time

from ibisring_gateway import exchange as exchange_module
from ibisring_gateway import liveness
from ibisring_policy.gateway import suspects
from ibisring_router import logs
from ibisring_web import serving

LOG = logging.getLogger(__name__)
# Interval at which a waiting suspect is checked again.
POLL_SECONDS = 0.02
# Longest time a suspect waits for the outcome of another attempt at the same
# request, which crashes its endpoint or is answered long before.
MAX_WAIT_SECONDS = 1.2


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

    def verdict(self, job):
        """Return the `suspects.Verdict` on a request."""
        with self.view.lock:
            return self.view.suspects.verdict(job.digest, self.clock())

    def wait_until_allowed(self, job):
        """Wait until a request may be forwarded; False if it is refused.

        A request whose caller has received part of an answer passes: an
        endpoint has answered it without a crash.

        Raises
        ------
        CallerDisconnected
        """
        if job.exchange.headers_sent:
            return True
        end = min(job.deadline, self.clock() + MAX_WAIT_SECONDS)
        while True:
            verdict = self.verdict(job)
            job.is_suspect = verdict.crashes > 0
            if verdict.refused_until:
                return False
            now = self.clock()
            must_wait = verdict.is_running or now < verdict.not_before
            if not must_wait or now >= end:
                return True
            time.sleep(POLL_SECONDS)
            if serving.is_gone(job.exchange.socket):
                raise exchange_module.CallerDisconnected(
                    'while the suspect request waited'
                )

    def retry_after(self, job):
        """Return the seconds for which a request is refused, 0 if allowed."""
        return max(0.0, self.verdict(job).refused_until - self.clock())

    def record_start(self, job, attempt):
        """Record that a suspect is being sent to an endpoint."""
        if job.is_suspect and not job.exchange.headers_sent:
            with self.view.lock:
                self.view.suspects.mark_running(
                    job.digest, attempt.endpoint.id
                )

    def record_end(self, job):
        """Record that an attempt is over."""
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
            tracked.mark_finished(job.digest)
            tracked.answered(job.digest, now)
            tracked.process_answered(
                endpoint.id, endpoint.started, attempt.sent_at, now
            )
            has_changed = tracked.local_changes > changes_before
        if has_changed:
            self._log_suspect(job.digest, 0)
            self.on_update()

    def check_lost_answer(self, job, attempt):
        """Check whether an endpoint crashed, after its answer was lost.

        Only answers that were lost before they began are checked.

        Returns
        -------
        liveness.Finding or None
            None if it was not checked.
        """
        if attempt.result is not None or attempt.events:
            return None
        finding = self.prober.check(attempt.endpoint)
        if self._may_be_cause(job, attempt):
            if finding is liveness.Finding.CRASHED:
                self._record_crash(job, attempt.endpoint)
            elif finding is not liveness.Finding.RUNNING:
                is_cut_off = finding is liveness.Finding.CUT_OFF
                self._record_unresolved(job, attempt.endpoint, is_cut_off)
        return finding

    def has_ended(self, endpoint):
        """Return whether the process of an endpoint ended unexpectedly.

        One that leaves closes its port after its last answer.
        """
        known = self.view.snapshot.endpoints.get(endpoint.id)
        if known is None or self.view.snapshot.is_leaving(endpoint):
            return False
        return self.prober.has_ended(endpoint)

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

        A stream of which some endpoint has delivered a part is not the cause.
        """
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
