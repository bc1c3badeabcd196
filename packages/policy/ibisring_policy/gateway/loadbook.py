"""What one router believes of the endpoints' load and health."""

__all__ = ['Book', 'Belief', 'make_book']

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
FULL_SECONDS = 0.3
MOST_FULL_SECONDS = 2.4
FULL_AGAIN = 0.5
# An engine that has refused for so many seconds although it has memory is
# about to leave; its layers are given to others.
REFUSES_FOR = 0.8
# Share of an engine's memory up to which a refusal is not for want of it.
HAS_MEMORY = 0.7
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
TOLD_ASKS_AFTER = 4.0
# An engine's own word that it is slow counts for so many seconds; it is asked
# again after a part of that.
SLOW_FOR = 2.5
SLOW_AGAIN = 1.0
# Times its usual pace from which an engine counts as slow.  Below it, going
# round costs more than it gains: a stage is a tenth of a chain's time.
SLOW = 2.0
# A report of load older than this says nothing, in seconds: of a plain
# endpoint, and of a first stage, whose requests last longer.
REPORT_AGE = 1.0
HEADS_AGE = 2.0


class Belief(msgspec.Struct):
    """What is believed of one endpoint; times are monotonic seconds."""

    active: int = 0
    tokens: float = 0.0
    heads: int = 0
    reported: int = 0
    reported_own: int = 0
    reported_heads: int = 0
    reported_at: float = -1e9
    report_told: bool = False
    failing: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    eject_for: float = EJECT_FIRST
    alive_at: float = -1e9
    dead: bool = False
    dead_at: float = -1e9
    dead_told: bool = False
    back_at: float = -1e9
    back_told: bool = False
    full_until: float = 0.0
    full_for: float = FULL_SECONDS
    full_told: bool = False
    refused_at: float = -1e9
    refuses_since: float | None = None
    pace: float = 1.0
    pace_at: float = -1e9
    pace_told: bool = False
    started: int = 0


class Book:
    """Beliefs by endpoint id; the caller holds a lock around each call.

    Attributes
    ----------
    told : dict of str to (float, dict)
        What other routers told of their load, and when.
    fullest : float
        Largest share of an engine's memory taken, when last looked at.
    """

    def __init__(self):
        self.beliefs = {}
        self.told = {}
        self.fullest = 0.0

    def of(self, name):
        """Give the belief about an endpoint."""
        belief = self.beliefs.get(name)
        if belief is None:
            belief = self.beliefs[name] = Belief()
        return belief

    def keep_only(self, names):
        """Forget endpoints that are gone and hold nothing of ours."""
        for name in [n for n in self.beliefs if n not in names]:
            if not self.beliefs[name].active:
                del self.beliefs[name]

    def reserve(self, stages, tokens):
        """Count a request at each stage of its chain."""
        for place, stage in enumerate(stages):
            belief = self.of(stage.endpoint)
            belief.active += 1
            belief.tokens += tokens * (stage.end - stage.first)
            belief.heads += 1 if place == 0 else 0

    def release(self, stages, tokens):
        """Take back what `reserve` counted."""
        for place, stage in enumerate(stages):
            belief = self.of(stage.endpoint)
            belief.active -= 1
            belief.tokens -= tokens * (stage.end - stage.first)
            belief.heads -= 1 if place == 0 else 0

    def reached(self, name, now):
        """Note that an endpoint answered."""
        belief = self.of(name)
        belief.alive_at = now
        if belief.dead:
            self._revive(belief, now, told=False)

    def _revive(self, belief, now, told):
        belief.dead = False
        belief.back_at = now
        belief.back_told = told
        belief.ejected_until = now
        belief.eject_for = EJECT_FIRST

    def lately_back(self, now):
        """Give the lost engines that have answered this router lately."""
        return [
            name
            for name, belief in self.beliefs.items()
            if now - belief.back_at < DEAD_NEWS
            and not belief.back_told
            and not belief.dead
        ]

    def take_back(self, names, now):
        """Note lost engines that have answered another router."""
        for name in names:
            belief = self.beliefs.get(name)
            if belief is not None and belief.dead:
                self._revive(belief, now, told=True)

    def unreachable(self, name, now, told=False):
        """Note that an endpoint could not be reached, or went silent.

        `told` if another router says so.

        An engine stays out until it has answered again: one that is gone
        for good may keep its entry for seconds, and each request tried on
        it would wait for its stall to end.
        """
        belief = self.of(name)
        if not belief.dead:
            belief.dead = True
            belief.dead_at = now
        belief.dead_told = told
        if belief.ejected_until <= now:
            belief.ejected_until = now + belief.eject_for
            belief.eject_for = min(EJECT_MOST, belief.eject_for * 2)

    def full(self, name, now, told=False, has_memory=False):
        """Note that an engine refused a request.

        Parameters
        ----------
        name : str
        now : float
        told : bool
            By another router.
        has_memory : bool
            It can't have been for want of memory.
        """
        belief = self.of(name)
        belief.refused_at = now
        if belief.full_until > now:
            return
        again = now - belief.full_until < FULL_AGAIN
        if again and has_memory:
            belief.full_for = min(MOST_FULL_SECONDS, 2.0 * belief.full_for)
        else:
            belief.full_for = FULL_SECONDS
        if not has_memory or not again:
            belief.refuses_since = None
        if has_memory and belief.refuses_since is None:
            belief.refuses_since = now
        belief.full_told = told
        belief.full_until = now + belief.full_for

    def accepted(self, names, sent_at):
        """Note that engines run a request; older refusals are forgotten."""
        for name in names:
            belief = self.beliefs.get(name)
            if belief is not None and belief.refused_at < sent_at:
                belief.full_until = 0.0
                belief.refuses_since = None

    def refusing(self, now):
        """Give the engines that refuse this router's requests.

        Not those that are short of memory: that passes within a moment, and
        others may have a smaller request for them.
        """
        return [
            name
            for name, belief in self.beliefs.items()
            if belief.full_until > now
            and belief.refuses_since is not None
            and not belief.full_told
        ]

    def seems_to_leave(self, name, now):
        """Say whether an engine refuses everything though it has memory."""
        belief = self.beliefs.get(name)
        if belief is None or belief.refuses_since is None:
            return False
        resting = now < belief.full_until + FULL_AGAIN
        return resting and now - belief.refuses_since >= REFUSES_FOR

    def note_pace(self, name, pace, now, told=False):
        """Note what an engine says of its pace; 1 is usual, more is slow."""
        belief = self.of(name)
        if pace < SLOW and belief.pace < SLOW:
            return
        belief.pace = pace
        belief.pace_at = now
        belief.pace_told = told

    def pace(self, name, now):
        """Give how many times slower than usual an engine is believed."""
        belief = self.beliefs.get(name)
        if belief is None or now - belief.pace_at > SLOW_FOR:
            return 1.0
        return belief.pace

    def slow(self, now):
        """Give the engines that this router found slow lately."""
        return {
            name: round(belief.pace, 1)
            for name, belief in self.beliefs.items()
            if belief.pace >= SLOW
            and not belief.pace_told
            and now - belief.pace_at < SLOW_AGAIN + TRUST_OWN
        }

    def to_ask_pace(self, now):
        """Give the engines found slow that should be asked again."""
        return [
            name
            for name, belief in self.beliefs.items()
            if belief.pace >= SLOW
            and not belief.pace_told
            and SLOW_AGAIN <= now - belief.pace_at < SLOW_FOR
        ]

    def to_revive(self, names, now):
        """Give the endpoints believed dead that should be asked again."""
        found = []
        for name in names:
            belief = self.beliefs.get(name)
            if belief is None or not belief.dead:
                continue
            waits = belief.dead_told and now - belief.dead_at < TOLD_ASKS_AFTER
            if belief.ejected_until <= now and not waits:
                found.append(name)
        return found

    def answered(self, name, failed, now):
        """Count an answer; an endpoint that fails many is left out."""
        belief = self.of(name)
        belief.failing += SMOOTHING * (
            (1.0 if failed else 0.0) - belief.failing
        )
        belief.failures = belief.failures + 1 if failed else 0
        many = belief.failures >= FAILING_LEAST
        if many and belief.failing >= FAILING_SHARE:
            if belief.ejected_until <= now:
                belief.ejected_until = now + belief.eject_for
                belief.eject_for = min(EJECT_MOST, belief.eject_for * 2)

    def report(self, name, load, now):
        """Note the load that an endpoint tells: running and waiting."""
        belief = self.of(name)
        belief.reported = load
        belief.reported_own = belief.active
        belief.reported_heads = belief.heads
        belief.reported_at = now
        belief.report_told = False

    def loads_to_tell(self, now):
        """Give the loads that endpoints have told this router itself.

        Returns
        -------
        dict of str to (int, int)
            Running and waiting requests, and milliseconds since.
        """
        return {
            name: (belief.reported, int((now - belief.reported_at) * 1000.0))
            for name, belief in self.beliefs.items()
            if now - belief.reported_at < REPORT_AGE and not belief.report_told
        }

    def take_loads(self, loads, now):
        """Take the loads that endpoints have told another router.

        One of hundreds of routers sends an endpoint too little to know how
        busy it is by its own answers.

        Parameters
        ----------
        loads : dict of str to (int, int)
            As `loads_to_tell` gives them.
        now : float
        """
        for name, (load, age_ms) in loads.items():
            belief = self.beliefs.get(name)
            at = now - age_ms / 1000.0
            if belief is not None and at > belief.reported_at:
                self.report(name, load, at)
                belief.report_told = True

    def heads(self, name, now):
        """Estimate the requests that an engine has as their first stage."""
        belief = self.of(name)
        others = max(0, belief.reported - belief.reported_heads)
        if now - belief.reported_at > HEADS_AGE:
            others = 0
        return belief.heads + others

    def is_ejected(self, name, now):
        """Say whether an endpoint is left out while others can serve."""
        belief = self.beliefs.get(name)
        return belief is not None and belief.ejected_until > now

    def is_dead(self, name):
        """Say whether an endpoint is believed unreachable."""
        belief = self.beliefs.get(name)
        return belief is not None and belief.dead

    def take_told(self, router, told, dead, now, slow=None, full=()):
        """Take what another router tells of its load and of lost engines.

        Parameters
        ----------
        router : str
        told : dict of str to float
            Tokens times layers of its requests, by engine.
        dead : list of str
            Engines that it could not reach a moment ago.
        now : float
        slow : dict of str to float, optional
            Paces of engines that it found slow.
        full : list of str
            Engines that refuse its requests.
        """
        for name in full:
            belief = self.beliefs.get(name)
            if belief is not None and belief.full_until <= now:
                self.full(name, now, told=True, has_memory=True)
        for name, pace in (slow or {}).items():
            belief = self.beliefs.get(name)
            if belief is not None and now - belief.pace_at > SLOW_AGAIN:
                self.note_pace(name, pace, now, told=True)
        self.told[router] = now, told
        for name in dead:
            belief = self.beliefs.get(name)
            if belief is None or belief.dead:
                continue
            # Word of the loss may come after word of the return.
            was_back = now - belief.back_at < DEAD_NEWS
            if now - belief.alive_at > TRUST_OWN and not was_back:
                self.unreachable(name, now, told=True)

    def others(self, now):
        """Give other routers' tokens times layers, by engine."""
        totals = {}
        for at, told in self.told.values():
            if now - at < TOLD_AGE:
                for name, tokens in told.items():
                    totals[name] = totals.get(name, 0.0) + tokens
        return totals

    def own(self):
        """Give this router's tokens times layers, by engine."""
        return {
            name: belief.tokens
            for name, belief in self.beliefs.items()
            if belief.tokens > 0
        }

    def lately_dead(self, now):
        """Give the engines that this router found dead within a second.

        What it was only told is not passed on: two routers would tell each
        other of an engine that has long answered again.
        """
        return [
            name
            for name, belief in self.beliefs.items()
            if belief.dead
            and not belief.dead_told
            and now - belief.dead_at < DEAD_NEWS
        ]

    def queue(self, name, now):
        """Estimate the requests at a plain endpoint.

        The part that others sent is as told with the latest answer; it is
        corrected by what this router has sent and got back since.
        """
        belief = self.of(name)
        others = max(0, belief.reported - belief.reported_own)
        if now - belief.reported_at > REPORT_AGE:
            others = 0
        return belief.active + others

    def rank_plain(self, endpoints, now, draw):
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
            load = self.queue(endpoint.id, now) / slots
            return (
                self.is_ejected(endpoint.id, now),
                round(load + self.of(endpoint.id).failing, 2),
                draw(),
            )

        return sorted(endpoints, key=rank)

    def _why_out(self, name, now, avoid):
        """Give why an engine gets no requests now, or None if it may."""
        belief = self.of(name)
        if belief.dead:
            return 'lost'
        if self.is_ejected(name, now):
            return 'failing'
        if belief.full_until > now:
            return 'said_full'
        return 'tried' if name in avoid else None

    def left_out(self, endpoints, now, avoid=()):
        """Give the ranges of engines that get no requests now.

        Returns
        -------
        list of shortage.LeftOut
        """
        found = []
        for each in endpoints:
            why = self._why_out(each.id, now, avoid)
            if why is not None and each.holding is not None:
                held = each.holding
                found.append(shortage.LeftOut(held.first, held.end, why))
        return found

    def holders(self, endpoints, model, now, avoid=()):
        """Give the engines of a model as chains see them.

        Memory in use is what this router has sent, and what others tell.
        """
        others = self.others(now)
        found = []
        for each in endpoints:
            held = each.holding
            card = model.card(each.card)
            if held is None or held.count <= 0 or card is None:
                continue
            if self._why_out(each.id, now, avoid):
                continue
            belief = self.of(each.id)
            free_mb = card.memory_mb - held.count * model.layer_mb
            room = max(0.0, free_mb) / (model.token_mb / model.layers)
            found.append(
                chains.Holder(
                    each.id,
                    each.address,
                    each.failure_domain,
                    held.first,
                    held.end,
                    room,
                    used=belief.tokens + others.get(each.id, 0.0),
                    pace=card.step_factor * self.pace(each.id, now),
                    heads=self.heads(each.id, now) / max(1, model.slots),
                )
            )
        return found

    def note_fullest(self, holders):
        """Note how full the fullest of a model's engines is."""
        shares = [h.used / h.room for h in holders if h.room > 0]
        self.fullest = max(shares, default=0.0)


def make_book():
    """Make an empty `Book`."""
    return Book()
