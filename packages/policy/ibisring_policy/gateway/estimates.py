"""A router's estimates of the load and health of endpoints."""

__all__ = ['EstimateTable', 'make_estimate_table']

import math

from ibisring_policy.gateway import chains
from ibisring_policy.gateway import endpointestimate
from ibisring_policy.gateway import loadestimates
from ibisring_policy.gateway import losses
from ibisring_policy.gateway import shortage
from ibisring_policy.gateway import slowdowns
from ibisring_policy import recentdict

# An endpoint is ejected at this failure rate, but only after this many
# failures in a row, so that a single failure does not eject it.
EJECT_FAILURE_RATE = 0.3
MIN_CONSECUTIVE_FAILURES = 2
# Weight of each response in the moving failure rate: about the last five
# count.
FAILURE_SMOOTHING = 0.2
# An engine that has refused for this long although it has free memory is
# about to leave; its layers are assigned to others.
LEAVING_AFTER_SECONDS = 0.8
# Share of an engine's memory in use up to which a refusal can't be due to a
# lack of memory.
MEMORY_AVAILABLE_SHARE = 0.7
# How long the load that another router sent counts: by then nearly every
# router of a large fleet has sent again.
MAX_PEER_TOKENS_AGE_SECONDS = 8.0
# A loss counts as found late if the process stood still for this long within
# this span around the finding, and is then sent only after the engine has
# not answered while the process ran for the longest limit of silence, or for
# a long time however little the process ran.
LATE_SECONDS = 0.1
LATE_SPAN_SECONDS = 1.0
CONFIRM_SECONDS = losses.MAX_LIMIT_SECONDS
MAX_UNCONFIRMED_SECONDS = 10.0
# Delay after which a router that learned of a lost engine from a peer probes
# the engine itself, unless a peer has reported its recovery by then.  Routers
# that detected the loss probe sooner.
PEER_REPORT_PROBE_DELAY_SECONDS = 4.0
# Routers that must report a loss before layers are planned for it that this
# router hasn't proven.
MIN_WITNESSES = 2
# How often another router's word is enough to use an engine again that this
# router has found dead, and for how long its layers are not planned elsewhere
# then: this router may have lost only its own link to it.
REFUTED_SECONDS = 4.0
REFUTED_PLAN_SECONDS = 1.0


class EstimateTable(loadestimates.LoadEstimates, slowdowns.Slowdowns):
    """Estimates by endpoint id; the caller holds a lock around each call.

    Attributes
    ----------
    peer_tokens : dict of str to (float, dict)
        When each router last sent its load, and its tokens times layers by
        engine.
    max_memory_use : float
        Largest share of an engine's memory in use, as last computed.
    """

    def __init__(self):
        super().__init__()
        self.peer_tokens = recentdict.RecentDict()
        self.max_memory_use = 0.0

    def retain(self, names):
        """Drop other endpoints, unless requests of this router are active."""
        for name in [n for n in self.by_endpoint if n not in names]:
            if not self.by_endpoint[name].active:
                del self.by_endpoint[name]

    def note_reachable(self, name, now):
        """Note that an endpoint responded."""
        estimate = self.get(name)
        estimate.answered_at = now
        if estimate.dead:
            self._mark_recovered(estimate, now, from_peer=False)

    def _mark_recovered(self, estimate, now, from_peer):
        estimate.dead = False
        estimate.proven = estimate.by_silence = False
        estimate.witnesses = frozenset()
        estimate.recovered_at = now
        estimate.recovery_from_peer = from_peer
        estimate.ejected_until = now
        estimate.eject_seconds = endpointestimate.MIN_EJECT_SECONDS

    def recently_recovered(self, now):
        """Return dead engines that have recently responded to this router."""
        return [
            name
            for name, estimate in self.by_endpoint.items()
            if now - estimate.recovered_at
            < endpointestimate.DEAD_GOSSIP_SECONDS
            and not estimate.recovery_from_peer
            and not estimate.dead
        ]

    def merge_recovered(self, names, now):
        """Note dead engines that have responded to another router.

        One that this router has found dead itself is used again on another's
        word only once in a while: it may be reached from there and not from
        here.
        """
        for name in names:
            estimate = self.by_endpoint.get(name)
            if estimate is None or not estimate.dead:
                continue
            is_own = not estimate.dead_from_peer
            if is_own and now - estimate.refuted_at < REFUTED_SECONDS:
                continue
            if is_own:
                estimate.refuted_at = now
            self._mark_recovered(estimate, now, from_peer=True)

    def revive(self, names, now):
        """Use endpoints again that this router itself could not reach."""
        for name in names:
            estimate = self.by_endpoint.get(name)
            if estimate is None or not estimate.dead:
                continue
            if not estimate.dead_from_peer:
                self._mark_recovered(estimate, now, from_peer=True)

    def note_unreachable(self, name, now, from_peer=False, tried_at=None):
        """Note that an endpoint could not be reached, or did not respond.

        `from_peer` is set if another router reported it, `tried_at` is when
        the attempt to reach it began.

        An engine gets no requests until it has responded again: one that
        has gone for good may keep its entry for seconds, and each request
        sent to it would stall.
        """
        estimate = self.get(name)
        if not estimate.dead:
            estimate.dead = True
            self._date_loss(estimate, now)
            estimate.tried_at = now if tried_at is None else tried_at
        elif from_peer:
            return
        estimate.dead_from_peer = from_peer
        estimate.proven = not from_peer
        self._eject(estimate, now)

    def _date_loss(self, estimate, now):
        estimate.dead_at = now
        estimate.found_late = False
        estimate.confirmed_at = None

    def _eject(self, estimate, now):
        if estimate.ejected_until <= now:
            estimate.ejected_until = now + estimate.eject_seconds
            estimate.eject_seconds = min(
                endpointestimate.MAX_EJECT_SECONDS, estimate.eject_seconds * 2
            )

    def note_lost(self, name, now, tried_at, by_silence=False):
        """Note that the loss of an endpoint is proven.

        One that other routers have reported is left to them to probe: probes
        would grow with the number of routers.

        Parameters
        ----------
        name : str
        now : float
        tried_at : float
            When the attempt to reach it began.
        by_silence : bool
            Whether nothing but its silence shows it.
        """
        estimate = self.get(name)
        if not estimate.dead:
            self.note_unreachable(name, now, tried_at=tried_at)
            estimate.by_silence = by_silence
        elif estimate.dead_from_peer and not estimate.witnesses:
            # Another engine said so, and no other router knows of it.
            estimate.dead_from_peer = False
            self._date_loss(estimate, now)
            estimate.by_silence = by_silence
        estimate.proven = True

    def note_unanswered_probe(self, name, now):
        """Note that an endpoint that counts as lost was probed in vain."""
        self._eject(self.get(name), now)

    def silent_loss_seconds(self, name, now):
        """Return for how long an endpoint has been lost by its silence.

        None if it isn't, or if this router has not found that itself.
        """
        estimate = self.by_endpoint.get(name)
        if estimate is None or not estimate.dead or not estimate.by_silence:
            return None
        return now - estimate.dead_at

    def has_answered(self, excluded, since):
        """Return whether an endpoint but those excluded answered since."""
        return any(
            estimate.answered_at >= since and name not in excluded
            for name, estimate in self.by_endpoint.items()
        )

    def note_refusal(self, name, now, from_peer=False, has_memory=False):
        """Note that an engine refused a request.

        Parameters
        ----------
        name : str
        now : float
        from_peer : bool
            Whether another router reported the refusal.
        has_memory : bool
            Whether the engine has memory, so that it refused for another
            reason.
        """
        estimate = self.get(name)
        estimate.refused_at = now
        if estimate.backoff_until > now:
            return
        is_repeated = (
            now - estimate.backoff_until
            < endpointestimate.BACKOFF_REPEAT_SECONDS
        )
        if is_repeated and has_memory:
            estimate.backoff_seconds = min(
                endpointestimate.MAX_BACKOFF_SECONDS,
                2.0 * estimate.backoff_seconds,
            )
        else:
            estimate.backoff_seconds = endpointestimate.MIN_BACKOFF_SECONDS
        if not has_memory or not is_repeated:
            estimate.refusing_since = None
        if has_memory and estimate.refusing_since is None:
            estimate.refusing_since = now
        estimate.refusal_from_peer = from_peer
        estimate.backoff_until = now + estimate.backoff_seconds

    def note_accepted(self, names, sent_at):
        """Clear refusals older than a request that engines have accepted."""
        for name in names:
            estimate = self.by_endpoint.get(name)
            if estimate is not None and estimate.refused_at < sent_at:
                estimate.backoff_until = 0.0
                estimate.refusing_since = None

    def refusing(self, now):
        """Return the engines that refuse requests despite free memory.

        Only refusals of this router's own requests count.  Engines short of
        memory are omitted: that passes within a moment, and another router
        may have a smaller request for them.
        """
        return [
            name
            for name, estimate in self.by_endpoint.items()
            if estimate.backoff_until > now
            and estimate.refusing_since is not None
            and not estimate.refusal_from_peer
        ]

    def is_probably_leaving(self, name, now):
        """Return whether an engine keeps refusing despite free memory."""
        estimate = self.by_endpoint.get(name)
        if estimate is None or estimate.refusing_since is None:
            return False
        in_backoff = (
            now
            < estimate.backoff_until + endpointestimate.BACKOFF_REPEAT_SECONDS
        )
        return (
            in_backoff
            and now - estimate.refusing_since >= LEAVING_AFTER_SECONDS
        )

    def dead_to_probe(self, names, now):
        """Return the dead endpoints that should be probed again."""
        found = []
        for name in names:
            estimate = self.by_endpoint.get(name)
            if estimate is None or not estimate.dead:
                continue
            awaits_peers = (
                estimate.dead_from_peer
                and now - estimate.dead_at < PEER_REPORT_PROBE_DELAY_SECONDS
            )
            if estimate.ejected_until <= now and not awaits_peers:
                found.append(name)
        return found

    def note_response(self, name, failed, now):
        """Count a response; eject an endpoint that fails repeatedly."""
        estimate = self.get(name)
        estimate.failure_rate += FAILURE_SMOOTHING * (
            (1.0 if failed else 0.0) - estimate.failure_rate
        )
        estimate.consecutive_failures = (
            estimate.consecutive_failures + 1 if failed else 0
        )
        is_repeated = estimate.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
        if is_repeated and estimate.failure_rate >= EJECT_FAILURE_RATE:
            self._eject(estimate, now)

    def is_ejected(self, name, now):
        """Return whether an endpoint is avoided while others can serve."""
        estimate = self.by_endpoint.get(name)
        return estimate is not None and estimate.ejected_until > now

    def is_dead(self, name):
        """Return whether an endpoint is considered unreachable."""
        estimate = self.by_endpoint.get(name)
        return estimate is not None and estimate.dead

    def is_suspected(self, name):
        """Return whether others report a loss that isn't proven here."""
        estimate = self.by_endpoint.get(name)
        if estimate is None or not estimate.dead:
            return False
        return estimate.dead_from_peer and not estimate.proven

    def merge_gossip(self, router, tokens, dead, now, slow=None, refusing=()):
        """Merge the load and engine states that another router sent.

        Parameters
        ----------
        router : str
        tokens : dict of str to float
            Tokens times layers of its requests, by engine id.
        dead : list of str
            Engines that it recently found unreachable.
        now : float
        slow : dict of str to float, optional
            Slowdowns of engines that it found slow.
        refusing : list of str
            Engines that refuse its requests despite free memory.

        Returns
        -------
        list of str
            Engines that get no requests now because of this report.
        """
        for name in refusing:
            estimate = self.by_endpoint.get(name)
            if estimate is not None and estimate.backoff_until <= now:
                self.note_refusal(name, now, from_peer=True, has_memory=True)
        for name, slowdown in (slow or {}).items():
            estimate = self.by_endpoint.get(name)
            if (
                estimate is not None
                and now - estimate.slowdown_at
                > slowdowns.SLOWDOWN_PROBE_SECONDS
            ):
                self.note_slowdown(name, slowdown, now, from_peer=True)
        self.peer_tokens[router] = now, tokens
        newly_dead = []
        for name in dead:
            estimate = self.by_endpoint.get(name)
            if estimate is None:
                continue
            if estimate.dead:
                if len(estimate.witnesses) < MIN_WITNESSES:
                    estimate.witnesses |= {router}
                continue
            # The report of the loss may arrive after that of the recovery.
            has_recovered = (
                now - estimate.recovered_at
                < endpointestimate.DEAD_GOSSIP_SECONDS
            )
            if (
                now - estimate.answered_at
                > endpointestimate.OWN_CONTACT_SECONDS
                and not has_recovered
            ):
                self.note_unreachable(name, now, from_peer=True)
                estimate.witnesses = frozenset({router})
                newly_dead.append(name)
        return newly_dead

    def peer_token_totals(self, now):
        """Return the tokens times layers of other routers, by engine."""
        totals = {}
        for at, by_engine in self.peer_tokens.values():
            if now - at < MAX_PEER_TOKENS_AGE_SECONDS:
                for name, tokens in by_engine.items():
                    totals[name] = totals.get(name, 0.0) + tokens
        return totals

    def own_tokens(self):
        """Return the tokens times layers of this router, by engine."""
        return {
            name: estimate.tokens
            for name, estimate in self.by_endpoint.items()
            if estimate.tokens > 0
        }

    def is_lost(self, name, now, seconds, connected_at):
        """Return whether an endpoint has been dead for some seconds.

        What one other router has reported doesn't count until it is proven
        here: that router may be late, or may have lost its own link.

        Parameters
        ----------
        name : str
        now, seconds : float
        connected_at : float
            When this router last opened a connection to any endpoint.
            Without one since, it may have lost its own links.
        """
        estimate = self.by_endpoint.get(name)
        if estimate is None or not estimate.dead:
            return False
        if not estimate.dead_from_peer and estimate.tried_at >= connected_at:
            return False
        if now - estimate.refuted_at < REFUTED_PLAN_SECONDS:
            return False
        if self.is_suspected(name):
            if len(estimate.witnesses) < MIN_WITNESSES:
                return False
        return now - estimate.dead_at >= seconds

    def confirm_losses(self, now, health):
        """Note which losses were found late, and which of them hold.

        Parameters
        ----------
        now : float
        health : localhealth.LocalHealth
        """
        for estimate in self.by_endpoint.values():
            if not estimate.dead or estimate.dead_from_peer:
                continue
            if not _is_open(estimate, now):
                continue
            begin = estimate.dead_at - LATE_SPAN_SECONDS
            end = min(now, estimate.dead_at + LATE_SPAN_SECONDS)
            if health.lateness(begin, end) >= LATE_SECONDS:
                estimate.found_late = True
            if estimate.found_late and estimate.confirmed_at is None:
                if _is_confirmed(estimate, now, health):
                    estimate.confirmed_at = now

    def recently_dead(self, now, connected_at=math.inf):
        """Return the engines that this router itself recently found dead.

        Those found late count from when `confirm_losses` confirmed them.

        `connected_at` is when it last opened a connection to any endpoint: a
        router that has reached none since may have lost its own links.
        Reports of peers are not forwarded: two routers would keep sending
        each other the loss of an engine that has long recovered.
        """
        return [
            name
            for name, estimate in self.by_endpoint.items()
            if estimate.dead
            and not estimate.dead_from_peer
            and _is_recent(estimate, now)
            and estimate.tried_at < connected_at
        ]

    def rank(self, endpoints, now, draw):
        """Sort endpoints of a plain service, the best first.

        Parameters
        ----------
        endpoints : list of routing.Endpoint
        now : float
        draw : callable
            Returns random numbers, which break ties.
        """

        def sort_key(endpoint):
            slots = max(1, endpoint.slots)
            load = self.queue_length(endpoint.id, now) / slots
            return (
                self.is_ejected(endpoint.id, now),
                round(load + self.get(endpoint.id).failure_rate, 2),
                draw(),
            )

        return sorted(endpoints, key=sort_key)

    def _exclusion_reason(self, name, now, avoid):
        """Return why an engine gets no requests now, None if it does."""
        estimate = self.get(name)
        if estimate.dead:
            return 'lost'
        if self.is_ejected(name, now):
            return 'failing'
        if estimate.backoff_until > now:
            return 'said_full'
        return 'tried' if name in avoid else None

    def excluded(self, endpoints, now):
        """Return the ids of the engines that get no requests now."""
        return frozenset(
            each.id
            for each in endpoints
            if self._exclusion_reason(each.id, now, ())
        )

    def excluded_ranges(self, endpoints, now, avoid=()):
        """Return the ranges of engines that get no requests now.

        Returns
        -------
        list of shortage.ExcludedRange
        """
        found = []
        for each in endpoints:
            reason = self._exclusion_reason(each.id, now, avoid)
            if reason is not None and each.holding is not None:
                held = each.holding
                found.append(
                    shortage.ExcludedRange(held.first, held.end, reason)
                )
        return found

    def holders(self, endpoints, model, now, avoid=()):
        """Return the engines of a model that may be stages of a chain.

        Their memory in use is that of this router's requests and of those
        that other routers reported.
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
        """Note the highest memory use among a model's engines."""
        shares = [h.used / h.capacity for h in holders if h.capacity > 0]
        self.max_memory_use = max(shares, default=0.0)


def _is_open(estimate, now):
    """Return whether `confirm_losses` can still change what is told."""
    if estimate.found_late:
        return estimate.confirmed_at is None
    return now - estimate.dead_at < MAX_UNCONFIRMED_SECONDS


def _is_confirmed(estimate, now, health):
    """Return whether a loss that was found late has held for long enough."""
    if now - estimate.dead_at >= MAX_UNCONFIRMED_SECONDS:
        return True
    return health.running_seconds(estimate.dead_at, now) >= CONFIRM_SECONDS


def _is_recent(estimate, now):
    """Return whether a loss was found, or confirmed if late, recently."""
    since = estimate.dead_at
    if estimate.found_late:
        since = estimate.confirmed_at
    return (
        since is not None
        and now - since < endpointestimate.DEAD_GOSSIP_SECONDS
    )


def make_estimate_table():
    """Make an empty `EstimateTable`."""
    return EstimateTable()
