"""Chooses an endpoint, or a chain of engines, for a request."""

__all__ = ['Choice', 'AttemptMetadata', 'Selector', 'make_selector']

import math
import random

from ibisring_gateway import bottlenecks
from ibisring_gateway import eventtimes
from ibisring_gateway import rankroom
from ibisring_gateway import throttling
from ibisring_policy.gateway import chains
from ibisring_policy.gateway import estimates
from ibisring_policy.gateway import shortage
import msgspec

# Range of the random factor on scores that makes routers with the same view
# choose differently.
SCORE_NOISE = 0.25
# Seconds without a first event after which the stages are checked, beside the
# time to prefill: the objective of a stream is half a second.
FIRST_EVENT_TIMEOUT = 0.12
PREFILL_FACTOR = 4.0
# Between events, a stage is suspected after this many mean gaps, within these
# bounds in seconds, well below the pause after which a stream counts as late.
EVENT_TIMEOUT_FACTOR = 2.0
MIN_EVENT_TIMEOUT = 0.06
MAX_EVENT_TIMEOUT = 0.09
# Share of the memory reserved for requests that is counted as used when no
# chain has room otherwise.
OVERCOMMIT_MEMORY_SHARE = 0.9
# The same for the slots of first stages: when none has a free slot, a few
# requests may queue in an engine, which makes them late but loses none.
OVERCOMMIT_SLOT_SHARE = 0.75
# A refusal that arrives this many seconds after the last event is caused by a
# stalled stage and not by admission control.
STALL_SECONDS = 1.0
# Further searches after the budget of a link has refused a chain.  Each takes
# as long as the first one, and many requests are refused at a high load.
MAX_FURTHER_SEARCHES = 2
# Retry-After of a plain service.
MIN_RETRY_SECONDS = 0.1


class Choice(msgspec.Struct):
    """Where a request is sent; `stages` is empty for a plain service.

    `wait` is the seconds until the endpoint's rate limit allows it.
    """

    endpoint: object
    stages: tuple = ()
    tokens: float = 0.0
    wait: float = 0.0


class AttemptMetadata(msgspec.Struct, kw_only=True):
    """Data that a router adds to the caller's request to an endpoint."""

    stages: tuple
    time_left: float
    account: str
    priority: int
    after_event: int | None


class Selector:
    """Chooses endpoints by the view's snapshot and endpoint estimates.

    Parameters
    ----------
    view : view.View

    Attributes
    ----------
    may_connect : callable
        Returns whether this process may open a connection to an endpoint.
        While it may not, no endpoint counts as one that has room.
    """

    def __init__(self, view):
        self.view = view
        self.may_connect = lambda: True
        self.rng = random.Random()
        self.throttle = throttling.make_throttle(view, self.rng)
        self.event_times = eventtimes.make_event_times(view)
        self.bottlenecks = bottlenecks.make_bottlenecks(view, self.rng.random)

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
        if not was_avoided:
            job.avoid.discard(name)
        return None

    def _endpoints(self, job):
        return self.view.snapshot.by_service.get(job.service.name, ())

    def _receivers(self, job):
        """Return the ids of the endpoints that requests are sent to."""
        endpoints = self._endpoints(job)
        if job.service.model is None:
            return {each.id for each in endpoints}
        return set(self._first_stages(endpoints))

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
            wait = self.throttle.admit(job, choice.endpoint.id, now, max_wait)
            if wait is not None:
                choice.wait = wait
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

    def _random_factor(self):
        return 1.0 + SCORE_NOISE * (self.rng.random() - 0.5)

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

    def _search(
        self, job, endpoints, now, demand, first_stages, without=frozenset()
    ):
        """Search a chain without, else with, the endpoints to avoid.

        It uses no engine of the failure domains `without`.
        """
        stages = self._find_chain(
            job, endpoints, now, demand, first_stages, job.avoid, without
        )
        if stages is None and job.avoid:
            # An endpoint that only lost an answer is better than none; those
            # estimated to be dead or full stay excluded.
            stages = self._find_chain(
                job, endpoints, now, demand, first_stages, (), without
            )
        return stages

    def _search_within_budgets(
        self, job, endpoints, now, demand, first_stages, refused
    ):
        """Choose another chain than one that a link's budget has refused.

        It does without the domain behind the refused crossing or, if there
        is no such chain, without the one before it.  The last resort is a
        chain within one domain.
        """
        before, behind = self.bottlenecks.refused_crossing(job, refused)
        without = {behind}
        for _ in range(MAX_FURTHER_SEARCHES):
            stages = self._search(
                job, endpoints, now, demand, first_stages, without
            )
            if stages is None:
                without = {before}
                continue
            if self.bottlenecks.link_exhausted(job, stages, now) is None:
                return stages
            before, behind = self.bottlenecks.refused_crossing(job, stages)
            without = without | {behind}
        demand.may_cross = False
        return self._search(job, endpoints, now, demand, first_stages)

    def _at_risk(self, job):
        """Return the endpoints that another suspect may be about to crash."""
        with self.view.lock:
            return self.view.suspects.endpoints_at_risk(job.digest)

    def _choose_away_from_suspects(
        self, job, endpoints, now, demand, first_stages
    ):
        """Choose a chain that keeps suspects and other requests apart.

        A suspect gets a first stage that runs few streams.

        Returns
        -------
        list of chains.Stage or None
            None if there is no such chain, or no suspect is involved.
        """
        at_risk = self._at_risk(job)
        if not at_risk and not job.is_suspect:
            return None
        if job.is_suspect and first_stages is None:
            first_stages = self._least_loaded_first_stages(
                endpoints, at_risk | job.avoid, now
            )
        avoid = at_risk | job.avoid
        return self._find_chain(
            job, endpoints, now, demand, first_stages, avoid
        )

    def _first_stages_within_limits(self, job, endpoints, first_stages):
        """Return the first stages whose rate limits allow the request."""
        if first_stages is None:
            first_stages = self._first_stages(endpoints)
        return [name for name in first_stages if name not in job.limited]

    def _first_stages(self, endpoints):
        """Return the ids of the engines that hold the first layers."""
        return [
            each.id
            for each in endpoints
            if each.holding and each.holding.first == 0
        ]

    def _least_loaded_first_stages(self, endpoints, avoid, now):
        """Return the half of the first stages that run the fewest streams."""
        found = [n for n in self._first_stages(endpoints) if n not in avoid]
        with self.view.lock:
            found.sort(
                key=lambda name: self.view.estimates.first_stage_load(
                    name, now
                )
            )
        return found[: math.ceil(len(found) / 2)]

    def _demand(self, job):
        request = job.request
        tokens = chains.tokens_needed(
            request.prompt_tokens, request.answer_tokens, request.answer_hint
        )
        layers = job.service.model.layers
        known_for = self.view.clock() - self.view.snapshot.known_since
        return chains.Demand(
            tokens,
            self.domain,
            0,
            layers,
            remote_first_stage_cost=chains.remote_first_stage_cost(known_for),
        )

    def shortages(self, job, now):
        """Describe, for a log line, the layers without an engine with room."""
        service = job.service
        if service.model is None:
            return []
        endpoints = self.view.snapshot.by_service.get(service.name, ())
        with self.view.lock:
            table = self.view.estimates
            holders = table.holders(endpoints, service.model, now, job.avoid)
            share = self._rank_share(job, holders, now, job.avoid)
            excluded = table.excluded_ranges(endpoints, now, job.avoid)
        rankroom.restrict(holders, share)
        found = shortage.find(
            holders,
            excluded,
            self._demand(job),
            chains.FULL_SHARE / OVERCOMMIT_MEMORY_SHARE,
        )
        return shortage.describe(found)

    def _rank_share(self, job, holders, now, avoid):
        """Return the share of engines that a request may fill.

        A stream that continues after a loss may fill them all: breaking it
        off would lose what its caller has received.  The view's lock must be
        held.
        """
        name = job.service.name
        if name not in self.view.rank_shares.ranked:
            return 1.0
        if job.exchange.headers_sent:
            return 1.0
        return rankroom.share_for(
            self.view, name, job.rank, holders, now, not avoid
        )

    def _find_chain(
        self,
        job,
        endpoints,
        now,
        demand,
        first_stages,
        avoid,
        without=frozenset(),
    ):
        model = job.service.model
        with self.view.lock:
            holders = self.view.estimates.holders(endpoints, model, now, avoid)
            self.view.estimates.note_memory_use(holders)
            share = self._rank_share(job, holders, now, avoid)
        rankroom.restrict(holders, share)
        holders = [each for each in holders if each.domain not in without]
        chains.jitter_slot_use(holders, self.rng.random)
        found = chains.choose(
            holders, demand, model.layers, self._random_factor, first_stages
        )
        if found is None and demand.may_overcommit:
            found = self._find_chain_overcommitted(
                holders, demand, model, first_stages, share
            )
        return found

    def _find_chain_overcommitted(
        self, holders, demand, model, first_stages, share
    ):
        """Choose engines that are estimated to be full.

        Requests rarely grow to the size that is reserved for them; an engine
        that is in fact full refuses at once.  Requests that may fill engines
        only up to a share fill them up to just that.
        """
        is_limited = share < 1.0
        memory_share = (
            chains.FULL_SHARE if is_limited else OVERCOMMIT_MEMORY_SHARE
        )
        slot_share = 1.0 if is_limited else OVERCOMMIT_SLOT_SHARE
        for holder in holders:
            holder.used *= memory_share
            holder.slot_use *= slot_share
        return chains.choose(
            holders, demand, model.layers, self._random_factor, first_stages
        )

    def replace_stages(self, attempt, lost, now):
        """Return stages for an attempt that replace those that are lost.

        The first stage stays, and the other stages keep their layers.

        Parameters
        ----------
        attempt : attemptwatching.Attempt
        lost : set of str
        now : float

        Returns
        -------
        tuple of chains.Stage or None
            None if a lost stage has no replacement: a chain that contains a
            missing stage is refused.
        """
        service = attempt.endpoint.service
        snapshot = self.view.snapshot
        model = self._model(service)
        if model is None:
            return None
        endpoints = snapshot.by_service.get(service, ())
        kept = {s.endpoint for s in attempt.stages if s.endpoint not in lost}
        domains = self._chain_domains(attempt)
        with self.view.lock:
            holders = self.view.estimates.holders(
                endpoints, model, now, avoid=kept | set(lost)
            )
        # Prefilling through a stage in another domain would cross the link
        # between domains twice; starting over in that domain costs less.
        holders = [h for h in holders if h.domain in domains]
        stages = []
        for stage in attempt.stages:
            if stage.endpoint not in lost:
                stages.append(stage)
                continue
            demand = chains.Demand(
                attempt.tokens,
                attempt.endpoint.failure_domain,
                stage.first,
                stage.end,
            )
            found = chains.choose(
                holders, demand, model.layers, self._random_factor
            )
            if found is None:
                return None
            stages.extend(found)
            used = {s.endpoint for s in found}
            holders = [h for h in holders if h.id not in used]
        return tuple(stages)

    def _model(self, service):
        """Return a service's model, None if a new table has no such one."""
        found = self.view.snapshot.index.services.get(service)
        return found.model if found is not None else None

    def _chain_domains(self, attempt):
        """Return the failure domains of an attempt's chain."""
        by_id = self.view.snapshot.endpoints
        found = {attempt.endpoint.failure_domain}
        for stage in attempt.stages:
            if stage.endpoint in by_id:
                found.add(by_id[stage.endpoint].failure_domain)
        return found

    @property
    def domain(self):
        """This router's failure domain."""
        return self.view.domain

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
        no estimated one in addition.
        """
        is_own_refusal = refusing_endpoint == attempt.endpoint.id
        if answer.wrong_endpoint and not attempt.stages:
            self.view.estimates.note_unreachable(
                refusing_endpoint, now, tried_at=attempt.sent_at
            )
        elif attempt.stages and now - attempt.last_event_at > STALL_SECONDS:
            self.view.estimates.note_unreachable(
                refusing_endpoint, now, tried_at=attempt.sent_at
            )
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

    def has_alternative(self, attempt, now):
        """Return whether another first stage has room for an attempt."""
        return self.find_alternative(attempt, now) is not None

    def find_alternative(self, attempt, now):
        """Return a chain with room at another first stage, or None."""
        snapshot = self.view.snapshot
        service = attempt.endpoint.service
        model = self._model(service)
        if model is None:
            return None
        endpoints = snapshot.by_service.get(service, ())
        with self.view.lock:
            holders = self.view.estimates.holders(
                endpoints, model, now, (attempt.endpoint.id,)
            )
            if attempt.rank is not None and not attempt.events:
                share = rankroom.share_for(
                    self.view, service, attempt.rank, holders, now, False
                )
                rankroom.restrict(holders, share)
        demand = chains.Demand(
            attempt.tokens, self.view.domain, 0, model.layers, False
        )
        first_stages = self.throttle.with_capacity_soon(
            [h.id for h in holders], now
        )
        return chains.choose(
            holders, demand, model.layers, self._random_factor, first_stages
        )


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
