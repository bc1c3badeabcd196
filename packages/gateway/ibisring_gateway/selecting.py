"""Choice of an endpoint or chain for a request, from what is known now."""

__all__ = ['Choice', 'Sending', 'Selector', 'make_selector']

import math
import random

from ibisring_gateway import turns
from ibisring_policy.gateway import chains
from ibisring_policy.gateway import estimates
from ibisring_policy.gateway import shortage
import msgspec

# Routers that know the same choose differently by up to this factor.
NOISE = 0.25
# Seconds without a first event after which the stages are looked at: the
# objective of a stream is half a second.
FIRST_EVENT = 0.12
PREFILL_FACTOR = 4.0
# Between events, a stage is suspected after this many usual gaps, within
# these bounds in seconds; callers count a stream as late after 0.2.
GAP_FACTOR = 2.0
MIN_EVENT_TIMEOUT = 0.06
MAX_EVENT_TIMEOUT = 0.09
# Share of the memory reserved for requests that they are taken to use when
# no chain has room otherwise.
SQUEEZE = 0.9
# The same of first engines' slots: a few requests may wait in an engine when
# none has a slot, which is late but no loss.
SQUEEZE_HEADS = 0.75
# A refusal this late, in seconds, ends a stall and is not one of admission.
STALLED = 1.0
# Seconds a stream holds its memory, for a refusal's Retry-After.
MEAN_STREAM = 3.5
# Seconds after which a plain service is worth another try.
LEAST_RETRY = 0.1


class Choice(msgspec.Struct):
    """Where a request goes; `stages` is empty for a plain service.

    `wait` is the seconds until its turn under the endpoint's limit.
    """

    endpoint: object
    stages: tuple = ()
    tokens: float = 0.0
    wait: float = 0.0


class Sending(msgspec.Struct, kw_only=True):
    """What an endpoint is told beside the caller's own request."""

    stages: tuple
    time_left: float
    account: str
    priority: int
    after_event: int | None


class Selector:
    """Chooses from the view's snapshot and book.

    Parameters
    ----------
    view : view.View
    """

    def __init__(self, view):
        self.view = view
        self.rng = random.Random()
        self.turns = turns.make_turns(view, self.rng)

    def choose(self, job, now):
        """Give a `Choice`, or None if nothing can take the request.

        Its turn under the endpoint's limit is taken with it.  An endpoint
        that takes it later is chosen only where no other takes it now.
        """
        patience = turns.MOST_WAIT * job.route.objective
        for allowed in (0.0, patience):
            job.limited = set()
            choice = self._choose_within(job, now, allowed)
            if choice is not None or not job.limited:
                return choice
        return None

    def _choose_within(self, job, now, patience):
        endpoints = self.view.snapshot.by_service.get(job.service.name, ())
        pick = self._plain if job.service.model is None else self._chain
        while True:
            choice = pick(job, endpoints, now)
            if choice is None:
                return None
            wait = self.turns.take(job, choice.endpoint.id, now, patience)
            if wait is not None:
                choice.wait = wait
                return choice
            job.limited.add(choice.endpoint.id)

    def _plain(self, job, endpoints, now):
        endpoints = [e for e in endpoints if e.id not in job.limited]
        left = [e for e in endpoints if e.id not in job.avoid]
        if not left:
            left = [e for e in endpoints if e.id not in job.sent_to]
        if not left:
            return None
        at_risk = self._at_risk(job)
        left = [e for e in left if e.id not in at_risk] or left
        with self.view.lock:
            ranked = self.view.estimates.rank(left, now, self.rng.random)
        return Choice(ranked[0])

    def _noise(self):
        return 1.0 + NOISE * (self.rng.random() - 0.5)

    def _chain(self, job, endpoints, now):
        model = job.service.model
        demand = self._demand(job)
        heads = None
        if job.progress.sent_to >= job.progress.max_endpoints:
            # No further endpoint may get the request, but these may again.
            heads = job.sent_to
        if job.limited:
            heads = self._unlimited_heads(job, endpoints, heads)
        stages = self._apart(job, endpoints, now, demand, heads)
        if stages is None:
            stages = self._find(
                endpoints, model, now, demand, heads, job.avoid
            )
        if stages is None and job.avoid:
            # One that only lost an answer is better than none; those that
            # are believed lost or full are left out all the same.
            stages = self._find(endpoints, model, now, demand, heads, ())
        if stages is None:
            return None
        by_id = self.view.snapshot.endpoints
        endpoint = by_id.get(stages[0].endpoint)
        if endpoint is None:
            return None
        return Choice(endpoint, tuple(stages), demand.tokens)

    def _at_risk(self, job):
        """Give the endpoints that a suspect may be about to end."""
        with self.view.lock:
            return self.view.suspects.endpoints_at_risk(job.digest)

    def _apart(self, job, endpoints, now, demand, heads):
        """Choose a chain away from suspects, and for one where few run.

        Returns
        -------
        list of chains.Stage or None
            None if there is none, or no need for one.
        """
        at_risk = self._at_risk(job)
        if not at_risk and not job.is_suspect:
            return None
        if job.is_suspect and heads is None:
            heads = self._quiet_heads(endpoints, at_risk | job.avoid, now)
        model = job.service.model
        avoid = at_risk | job.avoid
        return self._find(endpoints, model, now, demand, heads, avoid)

    def _unlimited_heads(self, job, endpoints, heads):
        """Give the first engines whose limits leave room for a request."""
        if heads is None:
            heads = [
                each.id
                for each in endpoints
                if each.holding and each.holding.first == 0
            ]
        return [name for name in heads if name not in job.limited]

    def _quiet_heads(self, endpoints, avoid, now):
        """Give the half of the first engines that run the fewest streams."""
        firsts = [
            each.id
            for each in endpoints
            if each.holding and each.holding.first == 0
            if each.id not in avoid
        ]
        with self.view.lock:
            firsts.sort(
                key=lambda name: self.view.estimates.first_stage_load(
                    name, now
                )
            )
        return firsts[: math.ceil(len(firsts) / 2)]

    def _demand(self, job):
        request = job.request
        tokens = chains.tokens_needed(
            request.prompt_tokens, request.answer_tokens, request.answer_hint
        )
        layers = job.service.model.layers
        return chains.Demand(tokens, self.view_domain, 0, layers)

    def shortages(self, job, now):
        """Say, for a log line, which layers have no engine with room."""
        service = job.service
        if service.model is None:
            return []
        endpoints = self.view.snapshot.by_service.get(service.name, ())
        with self.view.lock:
            book = self.view.estimates
            holders = book.holders(endpoints, service.model, now, job.avoid)
            left_out = book.excluded_ranges(endpoints, now, job.avoid)
        found = shortage.find(
            holders, left_out, self._demand(job), chains.FULL_SHARE / SQUEEZE
        )
        return shortage.describe(found)

    def _find(self, endpoints, model, now, demand, heads, avoid):
        with self.view.lock:
            holders = self.view.estimates.holders(endpoints, model, now, avoid)
            self.view.estimates.note_memory_use(holders)
        chains.jitter_slot_use(holders, self.rng.random)
        found = chains.choose(
            holders, demand, model.layers, self._noise, heads
        )
        if found is None:
            found = self._squeeze(holders, demand, model, heads)
        return found

    def _squeeze(self, holders, demand, model, heads):
        """Choose although engines seem full.

        Requests rarely grow to the size that is reserved for them; an
        engine that is full after all says so at once.
        """
        for holder in holders:
            holder.used *= SQUEEZE
            holder.slot_use *= SQUEEZE_HEADS
        return chains.choose(holders, demand, model.layers, self._noise, heads)

    def replace_stages(self, attempt, lost, now):
        """Give stages for an attempt without those that are lost.

        The first stage stays; the others keep what they run.

        Parameters
        ----------
        attempt : watching.Attempt
        lost : set of str
        now : float

        Returns
        -------
        tuple of chains.Stage or None
            None if some lost stage has no other engine: a path with a stage
            that is not there is refused.
        """
        service = attempt.endpoint.service
        snapshot = self.view.snapshot
        model = snapshot.index.services[service].model
        endpoints = snapshot.by_service.get(service, ())
        kept = {s.endpoint for s in attempt.stages if s.endpoint not in lost}
        domains = self._domains(attempt)
        with self.view.lock:
            holders = self.view.estimates.holders(
                endpoints, model, now, avoid=kept | set(lost)
            )
        # Reading a prompt through a stage in another domain would cross the
        # pipe twice; starting over in that domain costs less.
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
            found = chains.choose(holders, demand, model.layers, self._noise)
            if found is None:
                return None
            stages.extend(found)
            used = {s.endpoint for s in found}
            holders = [h for h in holders if h.id not in used]
        return tuple(stages)

    def _domains(self, attempt):
        """Give the failure domains that a chain passes through."""
        by_id = self.view.snapshot.endpoints
        found = {attempt.endpoint.failure_domain}
        for stage in attempt.stages:
            if stage.endpoint in by_id:
                found.add(by_id[stage.endpoint].failure_domain)
        return found

    @property
    def view_domain(self):
        """Failure domain of this router."""
        return self.view.domain

    def reserve(self, attempt):
        """Count an attempt at its endpoints."""
        with self.view.lock:
            if attempt.stages:
                self.view.estimates.reserve(attempt.stages, attempt.tokens)
            else:
                self.view.estimates.get(attempt.endpoint.id).active += 1

    def release(self, attempt):
        """Take back what `reserve` counted."""
        with self.view.lock:
            if attempt.stages:
                self.view.estimates.release(attempt.stages, attempt.tokens)
            else:
                self.view.estimates.get(attempt.endpoint.id).active -= 1

    def change_stages(self, attempt, stages):
        """Count an attempt at other stages from now on."""
        with self.view.lock:
            self.view.estimates.release(attempt.stages, attempt.tokens)
            attempt.stages = stages
            self.view.estimates.reserve(attempt.stages, attempt.tokens)

    def first_event(self, job, attempt):
        """Give the seconds after which a first event is overdue."""
        model = job.service.model
        if model is None:
            return job.route.objective
        prefill = job.request.prompt_tokens / max(1.0, model.prefill_rate)
        return FIRST_EVENT + PREFILL_FACTOR * prefill * 8.0

    def event_came(self, attempt, now):
        """Note an event, and when the next is overdue."""
        gap = now - attempt.last_event_at
        attempt.last_event_at = now
        attempt.checks = 0
        attempt.events += 1
        if attempt.events == 1 and attempt.stages:
            with self.view.lock:
                self.view.estimates.note_accepted(
                    [s.endpoint for s in attempt.stages], attempt.sent_at
                )
        if attempt.events > 1:
            weight = 0.3 if attempt.events > 2 else 1.0
            attempt.mean_gap += weight * (gap - attempt.mean_gap)
        wait = max(MIN_EVENT_TIMEOUT, attempt.mean_gap * GAP_FACTOR)
        attempt.check_at = now + min(
            wait, max(MAX_EVENT_TIMEOUT, 1.5 * attempt.mean_gap)
        )

    def culprit(self, attempt, answer):
        """Give the id of the endpoint that a refusal is about."""
        for stage in attempt.stages:
            if (
                answer.refusing_address
                and stage.address == answer.refusing_address
            ):
                return stage.endpoint
        return attempt.endpoint.id

    def blame(self, attempt, culprit, answer, now):
        """Note a refusal; the caller holds the view's lock.

        A refusal that comes after the stall of a lost stage is about that
        stage; one that comes at once is about memory, slots, or layers that
        are being given up.
        """
        if answer.wrong_endpoint and not attempt.stages:
            self.view.estimates.note_unreachable(culprit, now)
        elif attempt.stages and now - attempt.last_event_at > STALLED:
            self.view.estimates.note_unreachable(culprit, now)
        else:
            has_memory = (
                self._used(attempt, culprit) < estimates.MEMORY_AVAILABLE_SHARE
            )
            self.view.estimates.note_refusal(
                culprit, now, has_memory=has_memory
            )

    def _used(self, attempt, name):
        """Give the share of an engine's memory that is believed taken."""
        snapshot = self.view.snapshot
        service = snapshot.index.services[attempt.endpoint.service]
        endpoint = snapshot.endpoints.get(name)
        if service.model is None or endpoint is None:
            return 1.0
        now = self.view.clock()
        book = self.view.estimates
        for holder in book.holders([endpoint], service.model, now):
            return holder.used / holder.capacity if holder.capacity else 1.0
        return 1.0

    def retry_after(self, service):
        """Give the seconds after which some request will have ended.

        Streams end evenly over their mean time, and layers that are missing
        are loaded within about as long.  Callers come back once or twice
        only, so a time that is too short loses the request; they are spread,
        since those refused together would return together.
        """
        if service.model is None:
            return LEAST_RETRY
        return MEAN_STREAM * (0.4 + 0.4 * self.rng.random())

    def has_alternative(self, attempt, now):
        """Say whether another first engine has room for an attempt."""
        snapshot = self.view.snapshot
        service = attempt.endpoint.service
        model = snapshot.index.services[service].model
        endpoints = snapshot.by_service.get(service, ())
        with self.view.lock:
            holders = self.view.estimates.holders(
                endpoints, model, now, (attempt.endpoint.id,)
            )
        demand = chains.Demand(
            attempt.tokens, self.view.domain, 0, model.layers, False
        )
        heads = self.turns.soon([h.id for h in holders], now)
        found = chains.choose(
            holders, demand, model.layers, self._noise, heads
        )
        return found is not None


def make_selector(view):
    """Make a `Selector`."""
    return Selector(view)
