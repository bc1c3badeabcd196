"""Chooses an endpoint, or a chain of engines, for a request."""

__all__ = ['Choice', 'AttemptMetadata', 'Selector', 'make_selector']

import math

from ibisring_gateway import bottlenecks
from ibisring_gateway import chainsearch
from ibisring_gateway import eventtimes
from ibisring_gateway import throttling
from ibisring_policy.gateway import estimates
import msgspec

# Seconds without a first event after which the stages are checked, beside the
# time to prefill: the objective of a stream is half a second.
FIRST_EVENT_TIMEOUT = 0.12
PREFILL_FACTOR = 4.0
# Between events, a stage is suspected after this many mean gaps, within these
# bounds in seconds, well below the pause after which a stream counts as late.
EVENT_TIMEOUT_FACTOR = 2.0
MIN_EVENT_TIMEOUT = 0.06
MAX_EVENT_TIMEOUT = 0.09
# A refusal that arrives this many seconds after the last event is caused by a
# stalled stage and not by admission control.
STALL_SECONDS = 1.0
# Retry-After of a plain service.
MIN_RETRY_SECONDS = 0.1


class Choice(msgspec.Struct):
    """Where a request is sent; `stages` is empty for a plain service.

    `wait` is the seconds until the endpoint's rate limit allows it, and
    `reservation` what it has counted against that limit.
    """

    endpoint: object
    stages: tuple = ()
    tokens: float = 0.0
    wait: float = 0.0
    reservation: object = None


class AttemptMetadata(msgspec.Struct, kw_only=True):
    """Data that a router adds to the caller's request to an endpoint."""

    stages: tuple
    time_left: float
    account: str
    priority: int
    after_event: int | None


class Selector(chainsearch.ChainSearch):
    """Chooses endpoints by the view's snapshot and endpoint estimates.

    Parameters
    ----------
    view : view.View

    Attributes
    ----------
    may_connect : callable
        Returns whether this process may open a connection to an endpoint.
        While it may not, no endpoint counts as one that has room.
    on_reported : callable
        Called with engines whose loss another engine has reported.
    """

    def __init__(self, view):
        super().__init__(view)
        self.may_connect = lambda: True
        self.on_reported = lambda names: None
        self.event_times = eventtimes.make_event_times(view)

    def choose(self, job, now):
        """Return a `Choice`, or None if no endpoint can take the request.

        The request is counted against the endpoint's rate limit.  An endpoint
        whose limit makes the request wait is chosen only if no other takes it
        at once.
        """
        if not self.may_connect():
            job.limited = set()
            job.blocked_by = None
            return None
        max_wait = throttling.MAX_WAIT_SHARE * job.route.objective
        max_wait = max(0.0, min(max_wait, job.deadline - now))
        job.blocked_by = None
        for wait_bound in (0.0, max_wait):
            job.limited = self._backing_off(job, now, wait_bound)
            choice = self._choose_within(job, now, wait_bound)
            if choice is not None:
                job.blocked_by = None
            if choice is not None or not job.limited:
                return choice
        return None

    def choose_other(self, job, attempt, now):
        """Return a `Choice` for a request that leaves its endpoint, or None.

        Parameters
        ----------
        job : jobs.Job
        attempt : attemptwatching.Attempt
            The present attempt.
        now : float
        """
        name = attempt.endpoint.id
        was_avoided = name in job.avoid
        job.avoid.add(name)
        choice = self.choose(job, now)
        if choice is not None and choice.endpoint.id != name:
            return choice
        if choice is not None:
            self.give_back(choice)
        if not was_avoided:
            job.avoid.discard(name)
        return None

    def give_back(self, choice):
        """Take back what a choice that is not used has counted."""
        self.throttle.give_back(choice.reservation)

    def _backing_off(self, job, now, max_wait=0.0):
        """Return the receivers that want nothing for longer."""
        names = self.throttle.backing_off(now, max_wait)
        return names & self._receivers(job) if names else names

    def _choose_within(self, job, now, max_wait):
        endpoints = self._endpoints(job)
        choose = (
            self._choose_plain
            if job.service.model is None
            else self._choose_chain
        )
        while True:
            choice = choose(job, endpoints, now)
            if choice is None:
                return None
            admitted = self.throttle.admit(
                job, choice.endpoint.id, now, max_wait
            )
            if admitted is not None:
                choice.wait, choice.reservation = admitted
                return choice
            job.limited.add(choice.endpoint.id)

    def _choose_plain(self, job, endpoints, now):
        endpoints = [e for e in endpoints if e.id not in job.limited]
        candidates = [e for e in endpoints if e.id not in job.avoid]
        if not candidates:
            candidates = [e for e in endpoints if e.id not in job.sent_to]
        if not candidates:
            return None
        at_risk = self._at_risk(job)
        candidates = [
            e for e in candidates if e.id not in at_risk
        ] or candidates
        with self.view.lock:
            ranked = self.view.estimates.rank(candidates, now, self.rng.random)
        return Choice(ranked[0])

    def _choose_chain(self, job, endpoints, now):
        demand = self._demand(job)
        no_memory = self.bottlenecks.memory_exhausted(job, now)
        demand.may_overcommit = no_memory is None
        first_stages = None
        if job.progress.sent_to >= job.progress.max_endpoints:
            # The route allows no further endpoint; only those that had the
            # request may get it again.
            first_stages = job.sent_to
        if job.limited:
            first_stages = self._first_stages_within_limits(
                job, endpoints, first_stages
            )
        stages = self._choose_away_from_suspects(
            job, endpoints, now, demand, first_stages
        )
        if stages is None:
            stages = self._search(job, endpoints, now, demand, first_stages)
        no_link = None
        if stages:
            no_link = self.bottlenecks.link_exhausted(job, stages, now)
        if no_link is not None:
            stages = self._search_within_budgets(
                job, endpoints, now, demand, first_stages, stages
            )
        if stages is None:
            job.blocked_by = no_link or no_memory
            return None
        by_id = self.view.snapshot.endpoints
        endpoint = by_id.get(stages[0].endpoint)
        if endpoint is None:
            return None
        return Choice(endpoint, tuple(stages), demand.tokens)

    def reserve(self, attempt):
        """Count an attempt in the load of its endpoints."""
        with self.view.lock:
            if attempt.stages:
                self.view.estimates.reserve(attempt.stages, attempt.tokens)
                if attempt.rank is not None:
                    self.view.rank_shares.reserve(*_rank_use(attempt))
            else:
                self.view.estimates.get(attempt.endpoint.id).active += 1

    def release(self, attempt):
        """Remove what `reserve` counted."""
        self.event_times.note_unfinished(attempt, self.view.clock())
        with self.view.lock:
            if attempt.stages:
                self.view.estimates.release(attempt.stages, attempt.tokens)
                if attempt.rank is not None:
                    self.view.rank_shares.release(*_rank_use(attempt))
            else:
                self.view.estimates.get(attempt.endpoint.id).active -= 1

    def change_stages(self, attempt, stages):
        """Count an attempt at other stages from now on."""
        with self.view.lock:
            self.view.estimates.release(attempt.stages, attempt.tokens)
            attempt.stages = stages
            # The prompt is prefilled again at the new stages only.
            attempt.expected_seconds = 0.0
            self.view.estimates.reserve(attempt.stages, attempt.tokens)

    def first_event_timeout(self, job, attempt):
        """Return the seconds after which the stages are first checked.

        They don't grow with the load, so that a lost stage is found as soon
        as ever.  What the load explains is noted in the attempt: it decides
        whether an attempt whose stages answer is behind or stalled.
        """
        model = job.service.model
        if model is None:
            return job.route.objective
        prefill = job.request.prompt_tokens / max(1.0, model.prefill_rate)
        seconds = FIRST_EVENT_TIMEOUT + PREFILL_FACTOR * prefill * 8.0
        self.event_times.expect_first(
            attempt, job.request.prompt_tokens, seconds
        )
        return seconds

    def record_event(self, attempt, now):
        """Record an event, and when the next one is overdue."""
        gap = now - attempt.last_event_at
        attempt.last_event_at = now
        attempt.checks = 0
        attempt.is_behind = False
        attempt.blocked = None
        attempt.events += 1
        if attempt.events == 1 and attempt.stages:
            with self.view.lock:
                self.view.estimates.note_accepted(
                    [s.endpoint for s in attempt.stages], attempt.sent_at
                )
        if attempt.events > 1:
            weight = 0.3 if attempt.events > 2 else 1.0
            attempt.mean_gap += weight * (gap - attempt.mean_gap)
        wait = max(MIN_EVENT_TIMEOUT, attempt.mean_gap * EVENT_TIMEOUT_FACTOR)
        wait = min(wait, max(MAX_EVENT_TIMEOUT, 1.5 * attempt.mean_gap))
        attempt.check_at = now + wait
        attempt.explained_seconds = wait
        self.event_times.note_event(attempt, gap, now)

    def refusing_endpoint(self, attempt, answer):
        """Return the id of the endpoint that caused a refusal."""
        for stage in attempt.stages:
            if (
                answer.refusing_address
                and stage.address == answer.refusing_address
            ):
                return stage.endpoint
        return attempt.endpoint.id

    def record_refusal(self, attempt, refusing_endpoint, answer, now):
        """Update the estimates for a refusal; the view's lock must be held.

        A refusal that follows a stall is caused by a lost stage; one that
        comes at once by a lack of memory or slots, or by layers that are
        being unloaded.  An endpoint that asks for a backoff gets that one and
        no estimated one in addition.  One that this process has only read
        late followed no stall.
        """
        waited = self.view.health.running_seconds(attempt.last_event_at, now)
        is_own_refusal = refusing_endpoint == attempt.endpoint.id
        if answer.wrong_endpoint and not attempt.stages:
            self.view.estimates.note_unreachable(
                refusing_endpoint, now, tried_at=attempt.sent_at
            )
        elif attempt.stages and waited > STALL_SECONDS:
            # What another engine says of it is a report until it is asked.
            self.view.estimates.note_unreachable(
                refusing_endpoint, now, True, attempt.sent_at
            )
            self.on_reported([refusing_endpoint])
        elif answer.backoff is None or not is_own_refusal:
            has_memory = (
                self._memory_share(attempt, refusing_endpoint)
                < estimates.MEMORY_AVAILABLE_SHARE
            )
            self.view.estimates.note_refusal(
                refusing_endpoint, now, has_memory=has_memory
            )

    def _memory_share(self, attempt, name):
        """Return the estimated share of an engine's memory in use."""
        snapshot = self.view.snapshot
        model = self._model(attempt.endpoint.service)
        endpoint = snapshot.endpoints.get(name)
        if model is None or endpoint is None:
            return 1.0
        now = self.view.clock()
        table = self.view.estimates
        for holder in table.holders([endpoint], model, now):
            return holder.used / holder.capacity if holder.capacity else 1.0
        return 1.0

    def refuse(self, job, now):
        """Record that a request is refused.

        Returns
        -------
        float
            Seconds after which it may be served: when others than the
            endpoints that were skipped for their limits are likely to have
            room or, if there are none, when one of those takes requests.
        """
        job.limited |= self._backing_off(job, now)
        capacity_after = self.bottlenecks.refuse(job, now)
        if capacity_after is None:
            capacity_after = self._capacity_after(job.service)
        if not job.limited:
            return capacity_after
        limited_for = self.throttle.refuse(job, now)
        return limited_for if self.are_all_limited(job) else capacity_after

    def are_all_limited(self, job):
        """Return whether all receivers were skipped for their limits."""
        return bool(job.limited) and not self._receivers(job) - job.limited

    def _capacity_after(self, service):
        """Return the seconds after which capacity is likely to be free.

        Streams end evenly over their mean time, and missing layers are loaded
        within about as long.  Callers retry once or twice only, so a time
        that is too short loses the request.  The times are randomised, since
        callers refused together would otherwise retry together.
        """
        if service.model is None:
            return MIN_RETRY_SECONDS
        mean = bottlenecks.MEAN_STREAM_SECONDS
        return mean * (0.4 + 0.4 * self.rng.random())


def _rank_use(attempt):
    """Return service, rank and amount of what an attempt uses.

    All chains of a request run the same layers, so that the amount stays
    when stages are replaced.
    """
    layers = sum(stage.end - stage.first for stage in attempt.stages)
    amount = math.ceil(attempt.tokens) * layers
    return attempt.endpoint.service, attempt.rank, amount


def make_selector(view):
    """Make a `Selector`."""
    return Selector(view)
