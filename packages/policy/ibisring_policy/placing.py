"""Placement of tickets on the endpoints that this router may use.

`Placer` holds the state of each endpoint, determines which endpoints are
usable and this router's quota of their slots, and chooses among them.
"""

__all__ = ['Placer', 'make_placer']

import collections
import math

from ibisring_policy import loads
from ibisring_policy import routing
from ibisring_policy import shares
from ibisring_policy import subsets
from ibisring_records import schemas

MAX_RESERVED_SHARE = 0.9
QUOTA_REFRESH_SECONDS = 0.25
# A slow chain is used only if the request could take this many times longer
# there than expected.
SPARE_TIME_FACTOR = 1.5
# A chain slower than the fastest one by more than this factor is not used.
# Accelerators differ by this much; a degraded link is far slower, and could
# still meet the long deadlines that callers often set.
MAX_SLOWDOWN = 3.0


class Placer:
    """Holds endpoint states and chooses endpoints for tickets.

    Parameters
    ----------
    rng : random.Random
    router_id : str
    count_outstanding : callable
        Returns how many requests of a pool run or wait at this router.
    """

    def __init__(self, rng, router_id, count_outstanding):
        self.rng = rng
        self.router_id = router_id
        self.count_outstanding = count_outstanding
        self.configuration = None
        self.states = {}
        self.targets = {}
        self.shares = shares.make_shares(router_id)
        self.quotas = {}

    def configure(self, configuration, now):
        """Apply a configuration.

        Notes
        -----
        An endpoint that is leaving or removed gets no new requests; running
        ones continue.  An engine that joins, or whose record names other
        layers than before, gets requests only once its status reports these
        layers as loaded; otherwise it would run the wrong layers and return
        corrupt text.
        """
        previous = self.configuration
        self.configuration = configuration
        for name, endpoint in configuration.endpoints.items():
            old = (
                previous.endpoints.get(name) if previous is not None else None
            )
            self._configure_endpoint(name, old, endpoint, previous, now)
        for name in set(self.states) - set(configuration.endpoints):
            if self.states[name].own == 0:
                del self.states[name]
        self.targets.clear()
        self.quotas.clear()

    def _configure_endpoint(self, name, old, new, previous, now):
        is_first = previous is None
        state = self.states.get(name)
        if state is None:
            joined_at = -math.inf if is_first else now
            state = loads.make_state(new.spec.slots, joined_at)
            self.states[name] = state
            state.ready = is_first or bool(new.spec.service)
        elif old is not None and _required_layers(old) != _required_layers(
            new
        ):
            state.ready = False
        if state.slots != new.spec.slots:
            state.slots = new.spec.slots
            state.limit = float(new.spec.slots)

    def observe_status(self, endpoint, ready, draining):
        """Record whether an endpoint accepts requests.

        Parameters
        ----------
        endpoint : configuration.Endpoint
            The record with which its status was compared.  The status is
            ignored if the active record requires other layers.
        ready, draining : bool
        """
        state = self.states.get(endpoint.name)
        current = self.configuration.endpoints.get(endpoint.name)
        if state is None or current is None:
            return
        if _required_layers(current) == _required_layers(endpoint):
            state.ready = ready
            state.draining = draining

    def _endpoints(self, target):
        found = self.targets.get(target)
        if found is None:
            found = self._find_endpoints(target)
            self.targets[target] = found
        return found

    def quotas_of_target(self, target, now):
        """Return this router's quota of each endpoint's slots.

        The quotas follow the demand at the routers and are recomputed a few
        times per second.
        """
        cached = self.quotas.get(target)
        if cached is not None and now - cached[0] < QUOTA_REFRESH_SECONDS:
            return cached[1]
        pool = target.pool()
        self.shares.observe(pool, self.count_outstanding(pool), now)
        weights = self.shares.weights(pool)
        slots_by_group = collections.defaultdict(dict)
        for endpoint in self._serving_endpoints(target):
            slots = slots_by_group[subsets.group_key(endpoint)]
            slots[endpoint.name] = endpoint.spec.slots
        found = self.shares.quotas(
            pool, self._endpoints(target), slots_by_group, weights
        )
        self.quotas[target] = (now, found)
        return found

    def _usable_quotas(self, target, usable, now):
        """Return the quotas of the usable endpoints.

        If this router has no quota in a layer range, because the range is
        small or its other endpoints have failed, each endpoint of the range
        may get one request: waiting in the engine's queue is better than
        having no chain.
        """
        quotas = self.quotas_of_target(target, now)
        groups_with_quota = {
            subsets.group_key(endpoint)
            for endpoint in usable
            if quotas[endpoint.name]
        }
        return {
            endpoint.name: (
                quotas[endpoint.name]
                if subsets.group_key(endpoint) in groups_with_quota
                else 1
            )
            for endpoint in usable
        }

    def _reserved_slots(self, target, usable, quotas, reserved):
        """Return the slots reserved for more urgent requests, by endpoint."""
        if not reserved:
            return {}
        ranges = {}
        for endpoint in usable:
            group = ranges.setdefault(subsets.group_key(endpoint), [])
            group.append(endpoint.name)
        reserved_slots = {}
        for names in ranges.values():
            names.sort(key=lambda name: self.states[name].token_seconds)
            pairs = [(name, quotas[name]) for name in names]
            reserved_slots.update(shares.reserved_slots(pairs, reserved))
        return reserved_slots

    def _serving_endpoints(self, target):
        """Return all serving endpoints of a target."""
        if target.service:
            every = self.configuration.service_endpoints(target.service)
        else:
            every = self.configuration.model_endpoints(
                target.model, target.version
            )
        serving = schemas.EndpointState.SERVING
        return [each for each in every if each.spec.state is serving]

    def _find_endpoints(self, target):
        serving = self._serving_endpoints(target)
        return [
            endpoint
            for endpoint in subsets.choose_subset(self.router_id, serving)
            if not target.adapter or target.adapter in endpoint.spec.adapters
        ]

    def _accepts_requests(self, name):
        state = self.states[name]
        return state.ready and not state.draining

    def _usable_endpoints(self, target, avoid, now):
        """Return the endpoints to use, with ejected ones only if needed.

        If many endpoints have failed recently, excluding all of them would
        cause an outage, so when the healthy ones don't cover the target, the
        ejected ones are used as well.
        """
        accepting = [
            e
            for e in self._endpoints(target)
            if self._accepts_requests(e.name)
        ]
        healthy = [
            e
            for e in accepting
            if e.name not in avoid and not self.states[e.name].is_ejected(now)
        ]
        if self._covers(target, healthy):
            return _without_redundant_standbys(healthy)
        not_avoided = [e for e in accepting if e.name not in avoid]
        if self._covers(target, not_avoided):
            return not_avoided
        return accepting

    def _covers(self, target, endpoints):
        if target.service:
            return bool(endpoints)
        spans = [
            (e.spec.first_layer, e.spec.last_layer, 1.0) for e in endpoints
        ]
        return routing.bottleneck(spans, self._layer_count(target)) > 0.0

    def _layer_count(self, target):
        model = self.configuration.models.get(target.model)
        return model.layers if model is not None else 0

    def capacity(self, target, now):
        """Return how many requests the target can run concurrently."""
        usable = self._usable_endpoints(target, frozenset(), now)
        quotas = self._usable_quotas(target, usable, now)
        spans = []
        for endpoint in usable:
            slots = min(
                quotas[endpoint.name], self.states[endpoint.name].limit
            )
            spec = endpoint.spec
            spans.append((spec.first_layer, spec.last_layer, slots))
        if target.service:
            return sum(slots for _, _, slots in spans)
        return routing.bottleneck(spans, self._layer_count(target))

    def _reserved_share(self, rank):
        """Return the share reserved for classes more urgent than a rank."""
        classes = self.configuration.priorities.values()
        reserved = sum(c.reserved_share for c in classes if c.rank < rank)
        return min(MAX_RESERVED_SHARE, reserved)

    def _default_token_seconds(self, endpoints):
        """Return the time per token to assume for an unmeasured endpoint.

        This is the lowest measured time, so that the endpoint is tried.  If
        it were assumed to be slow, it might never be chosen, so that it
        would never be measured and would stay idle.
        """
        states = [self.states[endpoint.name] for endpoint in endpoints]
        measured = [s.token_seconds for s in states if s.measured]
        return min(measured, default=loads.DEFAULT_TOKEN_SECONDS)

    def place(self, ticket, now, contended=False):
        """Choose endpoints that can run a ticket now.

        Parameters
        ----------
        ticket : admission.Ticket
        now : float
        contended : bool
            Whether other tickets are waiting.

        Returns
        -------
        list of configuration.Endpoint or None
            In the order of the chain.
        """
        candidates = self._candidates(ticket, now)
        if ticket.target.service:
            chosen = routing.choose_one(candidates, self.rng)
            return None if chosen is None else [chosen.endpoint]
        layers = self._layer_count(ticket.target)
        fastest = routing.choose_chain(candidates, layers, self.rng)
        if fastest is None:
            return None
        chain = None
        if not contended:
            max_token_seconds = min(
                _max_token_seconds(ticket, now),
                MAX_SLOWDOWN * routing.chain_token_seconds(fastest),
            )
            chain = routing.choose_idle_chain(
                candidates, layers, self.rng, max_token_seconds
            )
        return [c.endpoint for c in chain or fastest]

    def _candidates(self, ticket, now):
        """Return the endpoints that can run a ticket now."""
        reserved = self._reserved_share(ticket.rank)
        usable = self._usable_endpoints(ticket.target, ticket.avoid, now)
        quotas = self._usable_quotas(ticket.target, usable, now)
        reserved_slots = self._reserved_slots(
            ticket.target, usable, quotas, reserved
        )
        default = self._default_token_seconds(usable)
        candidates = []
        for endpoint in usable:
            state = self.states[endpoint.name]
            free = state.free_slots(now, quotas[endpoint.name])
            free -= reserved_slots.get(endpoint.name, 0)
            if free < 1.0:
                continue
            candidates.append(
                routing.Candidate(
                    endpoint,
                    state.outstanding(now) / state.limit,
                    state.token_seconds if state.measured else default,
                )
            )
        return candidates


def _max_token_seconds(ticket, now):
    """Return the maximum seconds per token that leave spare time."""
    end = min(ticket.deadline, ticket.wanted_by)
    return (end - now) / max(1.0, ticket.cost) / SPARE_TIME_FACTOR


def _required_layers(endpoint):
    """Return the layers and adapters that an endpoint's record requires."""
    spec = endpoint.spec
    return (
        spec.model,
        spec.version,
        spec.first_layer,
        spec.last_layer,
        spec.adapters,
    )


def _without_redundant_standbys(endpoints):
    """Exclude standbys of layer ranges that have an active endpoint."""

    def is_active(endpoint):
        return endpoint.spec.role is schemas.Role.ACTIVE

    active = {subsets.group_key(each) for each in endpoints if is_active(each)}
    return [
        each
        for each in endpoints
        if is_active(each) or subsets.group_key(each) not in active
    ]


def make_placer(rng, router_id, count_outstanding):
    """Make the placer of a router."""
    return Placer(rng, router_id, count_outstanding)
