"""Stops requests with a part in their prompts that crashes endpoints."""

__all__ = ['PartScreen', 'BEGIN_SECONDS', 'make_part_screen']

import logging

from ibisring_gateway import liveness
from ibisring_policy.gateway import promptfeatures
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# An endpoint that still answers so long after the first event has not been
# crashed by the request; one that ends before may have been.
BEGIN_SECONDS = 1.0


class PartScreen:
    """Checks requests against the view's parts, and reports losses.

    Parameters
    ----------
    view : view.View
    metrics : metrics.Metrics
    """

    def __init__(self, view, metrics):
        self.view = view
        self.metrics = metrics
        self.clock = view.clock

    def verdict(self, job):
        """Return the `promptparts.PartVerdict` on a request."""
        with self.view.lock:
            return self.view.parts.verdict(
                job.features, job.account_id, self.clock()
            )

    def refused_parts(self, job):
        """Return the names of the parts for which a request is refused."""
        if not job.features:
            return []
        causes = self.verdict(job).causes
        names = promptfeatures.names_of(job.request.shared_parts)
        return [
            name for name, each in zip(names, job.features) if each in causes
        ]

    def record_start(self, job):
        """Record that a request, doubtful or not, is being sent."""
        with self.view.lock:
            verdict = self.view.parts.verdict(
                job.features, job.account_id, self.clock()
            )
            self.view.parts.mark_running(verdict.doubtful)
            job.features_running = verdict.doubtful

    def record_end(self, job):
        """Record that the outcome of an attempt is known."""
        if not job.features_running:
            return
        with self.view.lock:
            self.view.parts.mark_finished(job.features_running)
        job.features_running = ()

    def record_event(self, job, attempt, now):
        """Record an event of a stream, which may have begun well by now."""
        if attempt.first_event_at is None:
            attempt.first_event_at = now
        elif now - attempt.first_event_at > BEGIN_SECONDS:
            self.record_answer(job, attempt)

    def record_answer(self, job, attempt):
        """Record that an endpoint has answered a request."""
        if attempt.is_counted:
            return
        attempt.is_counted = True
        with self.view.lock:
            self.view.parts.answered(
                job.features, job.account_id, self.clock()
            )
        self.record_end(job)

    def may_be_cause(self, job, attempt, lost_at):
        """Return whether a request may have crashed its endpoint."""
        if not job.features or attempt.is_counted:
            return False
        if self.view.snapshot.is_leaving(attempt.endpoint):
            return False
        began_at = attempt.first_event_at
        return began_at is None or lost_at - began_at <= BEGIN_SECONDS

    def record_loss(self, job, attempt, finding, lost_at):
        """Record what a check of an endpoint showed after a loss.

        A router that reaches no other endpoint knows nothing of the loss.

        Returns
        -------
        bool
            Whether other routers should know at once.
        """
        if finding in (liveness.Finding.RUNNING, liveness.Finding.CUT_OFF):
            return False
        endpoint = attempt.endpoint
        with self.view.lock:
            parts = self.view.parts
            changes_before = parts.local_changes
            parts.lost(
                job.features,
                job.account_id,
                endpoint.id,
                endpoint.started,
                lost_at,
                certain=finding is liveness.Finding.CRASHED,
            )
            has_changed = parts.local_changes > changes_before
        self.record_end(job)
        if has_changed:
            self._log(job, attempt, finding)
        return has_changed

    def _log(self, job, attempt, finding):
        self.metrics.count('part_losses')
        logs.event(
            LOG,
            'part_suspects',
            id=job.request.id,
            digest=job.digest.hex(),
            account=job.match.account,
            parts=[name.hex() for name in job.features],
            names=job.request.shared_parts,
            endpoint=attempt.endpoint.id,
            finding=finding.value,
            events=attempt.events,
        )


def make_part_screen(view, metrics):
    """Make a `PartScreen`."""
    return PartScreen(view, metrics)
