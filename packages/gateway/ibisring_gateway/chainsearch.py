"""Finds chains of engines with room."""

__all__ = ['ChainSearch']

import math
import random

from ibisring_gateway import bottlenecks
from ibisring_gateway import rankroom
from ibisring_gateway import throttling
from ibisring_policy.gateway import chains
from ibisring_policy.gateway import shortage

# Range of the random factor on scores that makes routers with the same view
# choose differently.
SCORE_NOISE = 0.25
# Share of the memory reserved for requests that is counted as used when no
# chain has room otherwise.
OVERCOMMIT_MEMORY_SHARE = 0.9
# The same for the slots of first stages: when none has a free slot, a few
# requests may queue in an engine, which makes them late but loses none.
OVERCOMMIT_SLOT_SHARE = 0.75
# Further searches after the budget of a link has refused a chain.  Each takes
# as long as the first one, and many requests are refused at a high load.
MAX_FURTHER_SEARCHES = 2


class ChainSearch:
    """Finds chains by the view's snapshot and endpoint estimates.

    Parameters
    ----------
    view : view.View
    """

    def __init__(self, view):
        self.view = view
        self.rng = random.Random()
        self.throttle = throttling.make_throttle(view, self.rng)
        self.bottlenecks = bottlenecks.make_bottlenecks(view, self.rng.random)

    @property
    def domain(self):
        """This router's failure domain."""
        return self.view.domain

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

    def _endpoints(self, job):
        return self.view.snapshot.by_service.get(job.service.name, ())

    def _receivers(self, job):
        """Return the ids of the endpoints that requests are sent to."""
        endpoints = self._endpoints(job)
        if job.service.model is None:
            return {each.id for each in endpoints}
        return set(self._first_stages(endpoints))

    def _model(self, service):
        """Return a service's model, None if a new table has no such one."""
        found = self.view.snapshot.index.services.get(service)
        return found.model if found is not None else None

    def _random_factor(self):
        return 1.0 + SCORE_NOISE * (self.rng.random() - 0.5)

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

    def _first_stages(self, endpoints):
        """Return the ids of the engines that hold the first layers."""
        return [
            each.id
            for each in endpoints
            if each.holding and each.holding.first == 0
        ]

    def _first_stages_within_limits(self, job, endpoints, first_stages):
        """Return the first stages whose rate limits allow the request."""
        if first_stages is None:
            first_stages = self._first_stages(endpoints)
        return [name for name in first_stages if name not in job.limited]

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

    def _chain_domains(self, attempt):
        """Return the failure domains of an attempt's chain."""
        by_id = self.view.snapshot.endpoints
        found = {attempt.endpoint.failure_domain}
        for stage in attempt.stages:
            if stage.endpoint in by_id:
                found.add(by_id[stage.endpoint].failure_domain)
        return found
