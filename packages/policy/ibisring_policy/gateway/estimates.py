"""What one router believes of the endpoints' load and health."""

__all__ = ['EstimateTable', 'Estimate', 'make_estimate_table']

from ibisring_policy.gateway import chains
from ibisring_policy.gateway import shortage
import msgspec

# Seconds for which an endpoint that could not be reached gets no requests
# while others can take them, for the first failure and at most.
EJECT_FIRST = 0.5
EJECT_MOST = 4.0
# Failures among the latest answers that take an endpoint out: a share of
# them, and a least number so that one unlucky answer does not.
FAILING_SHARE = 0.3
FAILING_LEAST = 2
# Each answer counts 0.2 of the failing share: about the last five matter.
SMOOTHING = 0.2
# Seconds for which an engine that refused is left out: at first, and at most.
# If it has memory free, each refusal soon after the last rest doubles it: an
# engine that leaves while the store can't say so refuses everything, and each
# request sent to it spends one of the fleet's repeats.
MIN_BACKOFF_SECONDS = 0.3
MOST_FULL_SECONDS = 2.4
FULL_AGAIN = 0.5
# An engine that has refused for so many seconds although it has memory is
# about to leave; its layers are given to others.
REFUSES_FOR = 0.8
# Share of an engine's memory up to which a refusal is not for want of it.
MEMORY_AVAILABLE_SHARE = 0.7
# What another router told counts for so many seconds: of 83 routers, each of
# which tells six others four times a second, nine in ten are heard in it.
TOLD_AGE = 8.0
# News of an engine that was lost is told for this long, in seconds, and not
# believed by a router that has heard from the engine since.
DEAD_NEWS = 1.0
TRUST_OWN = 0.1
# Seconds after which a router that was told of a lost engine asks that engine
# itself, if nobody has told by then that it is back.  Those that found it lost
# ask sooner; all of 195 asking made most of a bad day's status questions.
PEER_REPORT_PROBE_DELAY_SECONDS = 4.0
# An engine's own word that it is slow counts for so many seconds; it is asked
# again after a part of that.
SLOW_FOR = 2.5
SLOW_AGAIN = 1.0
# Times its usual pace from which an engine counts as slow.  Below it, going
# round costs more than it gains: a stage is a tenth of a chain's time.
SLOW_FACTOR = 2.0
# A report of load older than this says nothing, in seconds: of a plain
# endpoint, and of a first stage, whose requests last longer.
REPORT_AGE = 1.0
MAX_FIRST_STAGE_REPORT_AGE_SECONDS = 2.0


class Estimate(msgspec.Struct):
    """What is believed of one endpoint; times are monotonic seconds."""

    active: int = 0
    tokens: float = 0.0
    first_stage_requests: int = 0
    reported_load: int = 0
    active_at_report: int = 0
    first_stages_at_report: int = 0
    reported_at: float = -1e9
    load_from_peer: bool = False
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    eject_seconds: float = EJECT_FIRST
    answered_at: float = -1e9
    dead: bool = False
    dead_at: float = -1e9
    dead_from_peer: bool = False
    recovered_at: float = -1e9
    recovery_from_peer: bool = False
    backoff_until: float = 0.0
    backoff_seconds: float = MIN_BACKOFF_SECONDS
    refusal_from_peer: bool = False
    refused_at: float = -1e9
    refusing_since: float | None = None
    slowdown: float = 1.0
    slowdown_at: float = -1e9
    slowdown_from_peer: bool = False
    started: int = 0


class EstimateTable:
    """Beliefs by endpoint id; the caller holds a lock around each call.

    Attributes
    ----------
    peer_tokens : dict of str to (float, dict)
        What other routers told of their load, and when.
    max_memory_use : float
        Largest share of an engine's memory taken, when last looked at.
    """

    def __init__(self):
        self.by_endpoint = {}
        self.peer_tokens = {}
        self.max_memory_use = 0.0

    def get(self, name):
        """Give the estimate about an endpoint."""
        estimate = self.by_endpoint.get(name)
        if estimate is None:
            estimate = self.by_endpoint[name] = Estimate()
        return estimate

    def retain(self, names):
        """Forget endpoints that are gone and hold nothing of ours."""
        for name in [n for n in self.by_endpoint if n not in names]:
            if not self.by_endpoint[name].active:
                del self.by_endpoint[name]

    def reserve(self, stages, tokens):
        """Count a request at each stage of its chain."""
        for place, stage in enumerate(stages):
            estimate = self.get(stage.endpoint)
            estimate.active += 1
            estimate.tokens += tokens * (stage.end - stage.first)
            estimate.first_stage_requests += 1 if place == 0 else 0

    def release(self, stages, tokens):
        """Take back what `reserve` counted."""
        for place, stage in enumerate(stages):
            estimate = self.get(stage.endpoint)
            estimate.active -= 1
            estimate.tokens -= tokens * (stage.end - stage.first)
            estimate.first_stage_requests -= 1 if place == 0 else 0

    def note_reachable(self, name, now):
        """Note that an endpoint answered."""
        estimate = self.get(name)
        estimate.answered_at = now
        if estimate.dead:
            self._revive(estimate, now, from_peer=False)

    def _revive(self, estimate, now, from_peer):
        estimate.dead = False
        estimate.recovered_at = now
        estimate.recovery_from_peer = from_peer
        estimate.ejected_until = now
        estimate.eject_seconds = EJECT_FIRST

    def recently_recovered(self, now):
        """Give the lost engines that have answered this router lately."""
        return [
            name
            for name, estimate in self.by_endpoint.items()
            if now - estimate.recovered_at < DEAD_NEWS
            and not estimate.recovery_from_peer
            and not estimate.dead
        ]

    def merge_recovered(self, names, now):
        """Note lost engines that have answered another router."""
        for name in names:
            estimate = self.by_endpoint.get(name)
            if estimate is not None and estimate.dead:
                self._revive(estimate, now, from_peer=True)

    def note_unreachable(self, name, now, from_peer=False):
        """Note that an endpoint could not be reached, or went silent.

        `from_peer` if another router says so.

        An engine stays out until it has answered again: one that is gone
        for good may keep its entry for seconds, and each request tried on
        it would wait for its stall to end.
        """
        estimate = self.get(name)
        if not estimate.dead:
            estimate.dead = True
            estimate.dead_at = now
        estimate.dead_from_peer = from_peer
        if estimate.ejected_until <= now:
            estimate.ejected_until = now + estimate.eject_seconds
            estimate.eject_seconds = min(
                EJECT_MOST, estimate.eject_seconds * 2
            )

    def note_refusal(self, name, now, from_peer=False, has_memory=False):
        """Note that an engine refused a request.

        Parameters
        ----------
        name : str
        now : float
        from_peer : bool
            By another router.
        has_memory : bool
            It can't have been for want of memory.
        """
        estimate = self.get(name)
        estimate.refused_at = now
        if estimate.backoff_until > now:
            return
        again = now - estimate.backoff_until < FULL_AGAIN
        if again and has_memory:
            estimate.backoff_seconds = min(
                MOST_FULL_SECONDS, 2.0 * estimate.backoff_seconds
            )
        else:
            estimate.backoff_seconds = MIN_BACKOFF_SECONDS
        if not has_memory or not again:
            estimate.refusing_since = None
        if has_memory and estimate.refusing_since is None:
            estimate.refusing_since = now
        estimate.refusal_from_peer = from_peer
        estimate.backoff_until = now + estimate.backoff_seconds

    def note_accepted(self, names, sent_at):
        """Note that engines run a request; older refusals are forgotten."""
        for name in names:
            estimate = self.by_endpoint.get(name)
            if estimate is not None and estimate.refused_at < sent_at:
                estimate.backoff_until = 0.0
                estimate.refusing_since = None

    def refusing(self, now):
        """Give the engines that refuse this router's requests.

        Not those that are short of memory: that passes within a moment, and
        others may have a smaller request for them.
        """
        return [
            name
            for name, estimate in self.by_endpoint.items()
            if estimate.backoff_until > now
            and estimate.refusing_since is not None
            and not estimate.refusal_from_peer
        ]

    def is_probably_leaving(self, name, now):
        """Say whether an engine refuses everything though it has memory."""
        estimate = self.by_endpoint.get(name)
        if estimate is None or estimate.refusing_since is None:
            return False
        resting = now < estimate.backoff_until + FULL_AGAIN
        return resting and now - estimate.refusing_since >= REFUSES_FOR

    def note_slowdown(self, name, pace, now, from_peer=False):
        """Note what an engine says of its pace; 1 is usual, more is slow."""
        estimate = self.get(name)
        if pace < SLOW_FACTOR and estimate.slowdown < SLOW_FACTOR:
            return
        estimate.slowdown = pace
        estimate.slowdown_at = now
        estimate.slowdown_from_peer = from_peer

    def slowdown(self, name, now):
        """Give how many times slower than usual an engine is believed."""
        estimate = self.by_endpoint.get(name)
        if estimate is None or now - estimate.slowdown_at > SLOW_FOR:
            return 1.0
        return estimate.slowdown

    def recently_slow(self, now):
        """Give the engines that this router found slow lately."""
        return {
            name: round(estimate.slowdown, 1)
            for name, estimate in self.by_endpoint.items()
            if estimate.slowdown >= SLOW_FACTOR
            and not estimate.slowdown_from_peer
            and now - estimate.slowdown_at < SLOW_AGAIN + TRUST_OWN
        }

    def slow_to_probe(self, now):
        """Give the engines found slow that should be asked again."""
        return [
            name
            for name, estimate in self.by_endpoint.items()
            if estimate.slowdown >= SLOW_FACTOR
            and not estimate.slowdown_from_peer
            and SLOW_AGAIN <= now - estimate.slowdown_at < SLOW_FOR
        ]

    def dead_to_probe(self, names, now):
        """Give the endpoints believed dead that should be asked again."""
        found = []
        for name in names:
            estimate = self.by_endpoint.get(name)
            if estimate is None or not estimate.dead:
                continue
            waits = (
                estimate.dead_from_peer
                and now - estimate.dead_at < PEER_REPORT_PROBE_DELAY_SECONDS
            )
            if estimate.ejected_until <= now and not waits:
                found.append(name)
        return found

    def note_response(self, name, failed, now):
        """Count an answer; an endpoint that fails many is left out."""
        estimate = self.get(name)
        estimate.failure_rate += SMOOTHING * (
            (1.0 if failed else 0.0) - estimate.failure_rate
        )
        estimate.consecutive_failures = (
            estimate.consecutive_failures + 1 if failed else 0
        )
        many = estimate.consecutive_failures >= FAILING_LEAST
        if many and estimate.failure_rate >= FAILING_SHARE:
            if estimate.ejected_until <= now:
                estimate.ejected_until = now + estimate.eject_seconds
                estimate.eject_seconds = min(
                    EJECT_MOST, estimate.eject_seconds * 2
                )

    def note_load(self, name, load, now):
        """Note the load that an endpoint tells: running and waiting."""
        estimate = self.get(name)
        estimate.reported_load = load
        estimate.active_at_report = estimate.active
        estimate.first_stages_at_report = estimate.first_stage_requests
        estimate.reported_at = now
        estimate.load_from_peer = False

    def loads_to_send(self, now):
        """Give the loads that endpoints have told this router itself.

        Returns
        -------
        dict of str to (int, int)
            Running and waiting requests, and milliseconds since.
        """
        return {
            name: (
                estimate.reported_load,
                int((now - estimate.reported_at) * 1000.0),
            )
            for name, estimate in self.by_endpoint.items()
            if now - estimate.reported_at < REPORT_AGE
            and not estimate.load_from_peer
        }

    def merge_loads(self, loads, now):
        """Take the loads that endpoints have told another router.

        One of hundreds of routers sends an endpoint too little to know how
        busy it is by its own answers.

        Parameters
        ----------
        loads : dict of str to (int, int)
            As `loads_to_send` gives them.
        now : float
        """
        for name, (load, age_ms) in loads.items():
            estimate = self.by_endpoint.get(name)
            at = now - age_ms / 1000.0
            if estimate is not None and at > estimate.reported_at:
                self.note_load(name, load, at)
                estimate.load_from_peer = True

    def first_stage_load(self, name, now):
        """Estimate the requests that an engine has as their first stage."""
        estimate = self.get(name)
        others = max(
            0, estimate.reported_load - estimate.first_stages_at_report
        )
        if now - estimate.reported_at > MAX_FIRST_STAGE_REPORT_AGE_SECONDS:
            others = 0
        return estimate.first_stage_requests + others

    def is_ejected(self, name, now):
        """Say whether an endpoint is left out while others can serve."""
        estimate = self.by_endpoint.get(name)
        return estimate is not None and estimate.ejected_until > now

    def is_dead(self, name):
        """Say whether an endpoint is believed unreachable."""
        estimate = self.by_endpoint.get(name)
        return estimate is not None and estimate.dead

    def merge_gossip(self, router, tokens, dead, now, slow=None, refusing=()):
        """Take what another router tells of its load and of lost engines.

        Parameters
        ----------
        router : str
        tokens : dict of str to float
            Tokens times layers of its requests, by engine.
        dead : list of str
            Engines that it could not reach a moment ago.
        now : float
        slow : dict of str to float, optional
            Paces of engines that it found slow.
        refusing : list of str
            Engines that refuse its requests.
        """
        for name in refusing:
            estimate = self.by_endpoint.get(name)
            if estimate is not None and estimate.backoff_until <= now:
                self.note_refusal(name, now, from_peer=True, has_memory=True)
        for name, pace in (slow or {}).items():
            estimate = self.by_endpoint.get(name)
            if (
                estimate is not None
                and now - estimate.slowdown_at > SLOW_AGAIN
            ):
                self.note_slowdown(name, pace, now, from_peer=True)
        self.peer_tokens[router] = now, tokens
        for name in dead:
            estimate = self.by_endpoint.get(name)
            if estimate is None or estimate.dead:
                continue
            # Word of the loss may come after word of the return.
            was_back = now - estimate.recovered_at < DEAD_NEWS
            if now - estimate.answered_at > TRUST_OWN and not was_back:
                self.note_unreachable(name, now, from_peer=True)

    def peer_token_totals(self, now):
        """Give other routers' tokens times layers, by engine."""
        totals = {}
        for at, told in self.peer_tokens.values():
            if now - at < TOLD_AGE:
                for name, tokens in told.items():
                    totals[name] = totals.get(name, 0.0) + tokens
        return totals

    def own_tokens(self):
        """Give this router's tokens times layers, by engine."""
        return {
            name: estimate.tokens
            for name, estimate in self.by_endpoint.items()
            if estimate.tokens > 0
        }

    def recently_dead(self, now):
        """Give the engines that this router found dead within a second.

        What it was only told is not passed on: two routers would tell each
        other of an engine that has long answered again.
        """
        return [
            name
            for name, estimate in self.by_endpoint.items()
            if estimate.dead
            and not estimate.dead_from_peer
            and now - estimate.dead_at < DEAD_NEWS
        ]

    def queue_length(self, name, now):
        """Estimate the requests at a plain endpoint.

        The part that others sent is as told with the latest answer; it is
        corrected by what this router has sent and got back since.
        """
        estimate = self.get(name)
        others = max(0, estimate.reported_load - estimate.active_at_report)
        if now - estimate.reported_at > REPORT_AGE:
            others = 0
        return estimate.active + others

    def rank(self, endpoints, now, draw):
        """Order endpoints of a plain service, the best first.

        Parameters
        ----------
        endpoints : list of routing.Endpoint
        now : float
        draw : callable
            Random numbers, to break ties.
        """

        def rank(endpoint):
            slots = max(1, endpoint.slots)
            load = self.queue_length(endpoint.id, now) / slots
            return (
                self.is_ejected(endpoint.id, now),
                round(load + self.get(endpoint.id).failure_rate, 2),
                draw(),
            )

        return sorted(endpoints, key=rank)

    def _exclusion_reason(self, name, now, avoid):
        """Give why an engine gets no requests now, or None if it may."""
        estimate = self.get(name)
        if estimate.dead:
            return 'lost'
        if self.is_ejected(name, now):
            return 'failing'
        if estimate.backoff_until > now:
            return 'said_full'
        return 'tried' if name in avoid else None

    def excluded_ranges(self, endpoints, now, avoid=()):
        """Give the ranges of engines that get no requests now.

        Returns
        -------
        list of shortage.ExcludedRange
        """
        found = []
        for each in endpoints:
            why = self._exclusion_reason(each.id, now, avoid)
            if why is not None and each.holding is not None:
                held = each.holding
                found.append(shortage.ExcludedRange(held.first, held.end, why))
        return found

    def holders(self, endpoints, model, now, avoid=()):
        """Give the engines of a model as chains see them.

        Memory in use is what this router has sent, and what others tell.
        """
        others = self.peer_token_totals(now)
        found = []
        for each in endpoints:
            held = each.holding
            card = model.card(each.card)
            if held is None or held.count <= 0 or card is None:
                continue
            if self._exclusion_reason(each.id, now, avoid):
                continue
            estimate = self.get(each.id)
            free_mb = card.memory_mb - held.count * model.layer_mb
            capacity = max(0.0, free_mb) / (model.token_mb / model.layers)
            found.append(
                chains.Holder(
                    each.id,
                    each.address,
                    each.failure_domain,
                    held.first,
                    held.end,
                    capacity,
                    used=estimate.tokens + others.get(each.id, 0.0),
                    step_factor=card.step_factor * self.slowdown(each.id, now),
                    slot_use=self.first_stage_load(each.id, now)
                    / max(1, model.slots),
                )
            )
        return found

    def note_memory_use(self, holders):
        """Note how full the fullest of a model's engines is."""
        shares = [h.used / h.capacity for h in holders if h.capacity > 0]
        self.max_memory_use = max(shares, default=0.0)


def make_estimate_table():
    """Make an empty `EstimateTable`."""
    return EstimateTable()
