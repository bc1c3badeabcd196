"""Expected times of events of streams, and the silences that they explain."""

__all__ = ['EventTimes', 'make_event_times']

from ibisring_policy.gateway import accrual
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import expectedtimes

# Upper bounds in seconds of the silence that load explains, before the first
# event and between events: callers leave after two seconds, and another chain
# needs part of that time to prefill the prompt.  Neither exceeds the time of
# the fifth check, the first at which `stalls` may move such a stream.
MAX_FIRST_EVENT_SECONDS = 1.0
MAX_GAP_SECONDS = 0.9
# One gap in this many is noted: a sample shows the distribution as well, and
# a router relays hundreds of events a second.
GAP_SAMPLING = 8


class EventTimes:
    """Times of events of each service at this router.

    Parameters
    ----------
    view : view.View

    Attributes
    ----------
    is_adaptive : bool
        Whether the times are used; otherwise the fixed ones are.
    first, gaps : dict of str to accrual.Tracker
        By service; the view's lock guards them.
    """

    def __init__(self, view):
        self.view = view
        self.is_adaptive = True
        self.first = {}
        self.gaps = {}

    def expect_first(self, attempt, prompt_tokens, min_seconds):
        """Set what explains the silence before the first event."""
        attempt.prompt_tokens = prompt_tokens
        attempt.explained_seconds = min_seconds
        if self.is_adaptive:
            attempt.expected_seconds = self._first_seconds(
                attempt.endpoint.service, attempt.stages, prompt_tokens
            )

    def note_event(self, attempt, gap, now):
        """Note an event of an attempt that came after a gap."""
        if not self.is_adaptive or not attempt.stages:
            return
        if attempt.events == 1:
            self._note(self.first, attempt, now - attempt.sent_at)
            attempt.expected_seconds = self._gap_seconds(attempt)
        else:
            if attempt.events % GAP_SAMPLING == 0:
                self._note(self.gaps, attempt, gap)
            attempt.expected_seconds = attempt.mean_gap

    def note_unfinished(self, attempt, now):
        """Note the wait of an attempt that ended without a first event.

        The event would have come later still; leaving such waits out would
        make slow chains seem faster than they are.
        """
        has_waited = attempt.result in (
            attempts.Result.CALLER_GONE,
            attempts.Result.SILENT,
        )
        if attempt.is_behind and attempt.events == 0 and has_waited:
            self._note(self.first, attempt, now - attempt.sent_at, False)

    def _note(self, trackers, attempt, seconds, is_finished=True):
        with self.view.lock:
            tracker = self._tracker(trackers, attempt.endpoint.service)
            tracker.note(attempt.expected_seconds, seconds, is_finished)

    def _tracker(self, trackers, service):
        tracker = trackers.get(service)
        if tracker is None:
            is_first = trackers is self.first
            tracker = trackers[service] = accrual.make_tracker(
                MAX_FIRST_EVENT_SECONDS if is_first else MAX_GAP_SECONDS,
                self.view.clock,
            )
        return tracker

    def should_move(self, attempt, stages, now):
        """Return whether an attempt that is behind goes to another chain.

        Parameters
        ----------
        attempt : attemptwatching.Attempt
        stages : sequence of chains.Stage
            The other chain.
        now : float
        """
        service = attempt.endpoint.service
        tokens = attempt.prompt_tokens + attempt.events
        other = self._first_seconds(service, stages, tokens)
        trackers = self.gaps if attempt.events else self.first
        expected = attempt.expected_seconds
        with self.view.lock:
            tracker = self._tracker(trackers, service)
            total = tracker.typical(expected)
            explained = tracker.timeout(expected, attempt.explained_seconds)
            other = self._tracker(self.first, service).typical_finished(other)
        waited = attempt.silent_seconds(now)
        return accrual.should_move(waited, total, explained, other)

    def _model(self, service):
        """Return a service's model, None if a new table has no such one."""
        found = self.view.snapshot.index.services.get(service)
        return found.model if found is not None else None

    def _first_seconds(self, service, stages, tokens):
        """Return the expected time of a first event, 0 if it is unknown."""
        model = self._model(service)
        if model is None:
            return 0.0
        loads = self._stage_loads(model, stages)
        return expectedtimes.first_event(loads, model, tokens)

    def _gap_seconds(self, attempt):
        model = self._model(attempt.endpoint.service)
        if model is None:
            return 0.0
        loads = self._stage_loads(model, attempt.stages)
        return expectedtimes.event_gap(loads, model)

    def _stage_loads(self, model, stages):
        by_id = self.view.snapshot.endpoints
        now = self.view.clock()
        found = []
        with self.view.lock:
            for stage in stages:
                endpoint = by_id.get(stage.endpoint)
                if endpoint is not None:
                    found.append(self._stage_load(model, stage, endpoint, now))
        return found

    def _stage_load(self, model, stage, endpoint, now):
        table = self.view.estimates
        card = model.card(endpoint.card)
        load = table.first_stage_load(endpoint.id, now)
        return expectedtimes.StageLoad(
            layers=stage.end - stage.first,
            domain=endpoint.failure_domain,
            prefill_factor=card.prefill_factor if card else 1.0,
            step_factor=card.step_factor if card else 1.0,
            slowdown=table.slowdown(endpoint.id, now),
            waiting=max(0, load - model.slots),
        )


def make_event_times(view):
    """Make an `EventTimes` without samples."""
    return EventTimes(view)
