"""Keeps requests that end their endpoints from being sent on."""

__all__ = ['Screen', 'make_screen']

import logging
import time

from ibisring_gateway import exchange as exchange_module
from ibisring_policy.gateway import suspects
from ibisring_router import logs
from ibisring_web import serving

LOG = logging.getLogger(__name__)
# Seconds between looks whether a suspect may run.
TICK = 0.02
# Seconds for which a suspect waits for the outcome of another attempt of the
# same request, which ends its endpoint or is answered long before.
MOST_WAIT = 1.2


class Screen:
    """Asks and tells `suspects.Suspects` about the requests of a router.

    Parameters
    ----------
    view : view.View
    prober : liveness.Prober
    metrics : metrics.Metrics

    Attributes
    ----------
    on_found : callable
        Called when something was found out that others should hear at once.
    """

    def __init__(self, view, prober, metrics):
        self.view = view
        self.prober = prober
        self.metrics = metrics
        self.clock = view.clock
        self.on_found = lambda: None

    def verdict(self, job):
        """Give the `suspects.Verdict` on a request."""
        with self.view.lock:
            return self.view.suspects.verdict(job.digest, self.clock())

    def passes(self, job):
        """Wait until a request may be sent on; False if it may not.

        One of which its caller has a part was answered, and goes on.

        Raises
        ------
        CallerLeft
        """
        if job.exchange.begun:
            return True
        end = min(job.deadline, self.clock() + MOST_WAIT)
        while True:
            verdict = self.verdict(job)
            job.is_suspect = verdict.crashes > 0
            if verdict.refused_until:
                return False
            now = self.clock()
            is_early = verdict.is_running or now < verdict.not_before
            if not is_early or now >= end:
                return True
            time.sleep(TICK)
            if serving.is_gone(job.exchange.socket):
                raise exchange_module.CallerLeft('while kept apart')

    def retry_after(self, job):
        """Give the seconds for which a request is refused, 0 if it is not."""
        return max(0.0, self.verdict(job).refused_until - self.clock())

    def begin(self, job, attempt):
        """Note that a request is being sent to an endpoint."""
        if job.is_suspect and not job.exchange.begun:
            with self.view.lock:
                self.view.suspects.mark_running(
                    job.digest, attempt.endpoint.id
                )

    def finish(self, job):
        """Note that an attempt is over."""
        if job.is_suspect:
            with self.view.lock:
                self.view.suspects.mark_finished(job.digest)

    def answered(self, job):
        """Note that an endpoint has answered a request, or begun to."""
        with self.view.lock:
            known = self.view.suspects
            before = known.local_changes
            known.mark_finished(job.digest)
            known.answered(job.digest, self.clock())
            found = known.local_changes > before
        if found:
            self._log(job.digest, 0)
            self.on_found()

    def lost(self, job, attempt):
        """Look into an answer that was lost before it began.

        Returns
        -------
        bool or None
            Whether the endpoint has ended; None if that was not asked, or
            can't be told.
        """
        if attempt.result is not None or attempt.events:
            return None
        has_ended = self.prober.has_ended(attempt.endpoint)
        if has_ended and self._speaks_against(job, attempt):
            self._ended(job, attempt.endpoint)
        return has_ended

    def _speaks_against(self, job, attempt):
        """Say whether an end may be the request's own doing.

        A stream of which some endpoint has delivered a part is not what ends
        them.
        """
        if job.exchange.begun or job.request.after_event:
            return False
        return self.clock() - attempt.sent_at < suspects.LOST_ANSWER_SECONDS

    def _ended(self, job, endpoint):
        now = self.clock()
        with self.view.lock:
            known = self.view.suspects
            before, forgotten = known.local_changes, known.evicted
            known.crashed(job.digest, endpoint.id, endpoint.started, now)
            found = known.local_changes > before
            ends = known.verdict(job.digest, now).crashes
            forgotten = known.evicted - forgotten
        if forgotten:
            self.metrics.count('suspects_forgotten', forgotten)
        if found:
            self.metrics.count('endpoints_ended_by_requests')
            self._log(job.digest, ends, endpoint=endpoint.id)
            self.on_found()

    def _log(self, digest, ends, **facts):
        logs.event(LOG, 'suspect', digest=digest.hex(), ends=ends, **facts)


def make_screen(view, prober, metrics):
    """Make a `Screen`."""
    return Screen(view, prober, metrics)
