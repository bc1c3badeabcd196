"""Choosing the endpoints of a ticket, as far as this router may use them.

`Placer` keeps what is believed of each endpoint, and works out which may be
used, how many of their slots are this router's, and who goes where.
"""

__all__ = ['Placer', 'make_placer']

import collections
import math

from ibisring_policy import loads
from ibisring_policy import routing
from ibisring_policy import shares
from ibisring_policy import subsets
from ibisring_records import schemas

MOST_RESERVED = 0.9
PARTS_SECONDS = 0.25
# A request goes to a slow chain only if it could take so much longer there.
SPARE_TIME_FACTOR = 1.5
# Nor if it is slower by more than this: accelerators differ so much, but a
# degraded link differs by far more, and deadlines are often generous.
MOST_SLOWDOWN = 3.0


class Placer:
    """Endpoint states and the choice among them.

    Parameters
    ----------
    rng : random.Random
    router_id : str
    in_hand : callable
        Returns how many requests of a pool run or wait here.
    """

    def __init__(self, rng, router_id, in_hand):
        self.rng = rng
        self.router_id = router_id
        self.in_hand = in_hand
        self.configuration = None
        self.states = {}
        self.targets = {}
        self.shares = shares.make_shares(router_id)
        self.parts = {}

    def configure(self, configuration, now):
        """Take a configuration into force.

        Notes
        -----
        An endpoint that is leaving or gone gets no new work from here on;
        what it runs goes on.  An engine that joins, or whose record names
        other layers than before, gets work only once its status says that
        it holds them: it would run the wrong ones, which shows as words
        that make no sense.
        """
        before = self.configuration
        self.configuration = configuration
        for name, endpoint in configuration.endpoints.items():
            old = before.endpoints.get(name) if before is not None else None
            self._configure_endpoint(name, old, endpoint, before, now)
        for name in set(self.states) - set(configuration.endpoints):
            if self.states[name].own == 0:
                del self.states[name]
        self.targets.clear()
        self.parts.clear()

    def _configure_endpoint(self, name, old, new, before, now):
        first = before is None
        state = self.states.get(name)
        if state is None:
            joined = -math.inf if first else now
            state = loads.make_state(new.spec.slots, joined)
            self.states[name] = state
            state.ready = first or bool(new.spec.service)
        elif old is not None and _layers_of(old) != _layers_of(new):
            state.ready = False
        if state.slots != new.spec.slots:
            state.slots = new.spec.slots
            state.limit = float(new.spec.slots)

    def observe_status(self, endpoint, ready, draining):
        """Take in whether an endpoint can take work at all.

        Parameters
        ----------
        endpoint : configuration.Endpoint
            The record against which it was found ready.  If another has
            come into force meanwhile, that says nothing.
        ready, draining : bool
        """
        state = self.states.get(endpoint.name)
        current = self.configuration.endpoints.get(endpoint.name)
        if state is None or current is None:
            return
        if _layers_of(current) == _layers_of(endpoint):
            state.ready = ready
            state.draining = draining

    def _endpoints(self, target):
        found = self.targets.get(target)
        if found is None:
            found = self._find_endpoints(target)
            self.targets[target] = found
        return found

    def parts_of_all(self, target, now):
        """Return this router's part of each endpoint's slots.

        They change with what routers are asked for, and are worked out
        anew a few times a second.
        """
        known = self.parts.get(target)
        if known is not None and now - known[0] < PARTS_SECONDS:
            return known[1]
        pool = target.pool()
        self.shares.observe(pool, self.in_hand(pool), now)
        weights = self.shares.weights(pool)
        alike = collections.defaultdict(dict)
        for endpoint in self._all_of(target):
            slots = alike[subsets.kind_of(endpoint)]
            slots[endpoint.name] = endpoint.spec.slots
        found = self.shares.parts(
            pool, self._endpoints(target), alike, weights
        )
        self.parts[target] = (now, found)
        return found

    def _parts_of(self, target, usable, now):
        """Return the parts of those endpoints that may be used.

        Where none of a layer range is this router's, for it is small or
        the others have failed, each of them may get one request: an engine
        that waits for its turn is better than none.
        """
        parts = self.parts_of_all(target, now)
        reached = {
            subsets.kind_of(endpoint)
            for endpoint in usable
            if parts[endpoint.name]
        }
        return {
            endpoint.name: (
                parts[endpoint.name]
                if subsets.kind_of(endpoint) in reached
                else 1
            )
            for endpoint in usable
        }

    def _kept(self, target, usable, parts, reserved):
        """Return the slots kept for more urgent requests, by endpoint."""
        if not reserved:
            return {}
        ranges = {}
        for endpoint in usable:
            group = ranges.setdefault(subsets.kind_of(endpoint), [])
            group.append(endpoint.name)
        kept = {}
        for names in ranges.values():
            names.sort(key=lambda name: self.states[name].token_seconds)
            pairs = [(name, parts[name]) for name in names]
            kept.update(shares.kept_for_urgent(pairs, reserved))
        return kept

    def _all_of(self, target):
        """Return every endpoint of a target that is serving."""
        if target.service:
            every = self.configuration.service_endpoints(target.service)
        else:
            every = self.configuration.model_endpoints(
                target.model, target.version
            )
        serving = schemas.EndpointState.SERVING
        return [each for each in every if each.spec.state is serving]

    def _find_endpoints(self, target):
        all_of_it = self._all_of(target)
        return [
            endpoint
            for endpoint in subsets.choose_subset(self.router_id, all_of_it)
            if not target.adapter or target.adapter in endpoint.spec.adapters
        ]

    def _takes_work(self, name):
        state = self.states[name]
        return state.ready and not state.draining

    def _open(self, target, avoid, now):
        """Return the endpoints that may be used, ejected ones last.

        On a bad day every endpoint has failed lately.  Leaving all of them
        out would turn a bad day into an outage, so when the healthy ones
        don't suffice, the ejected ones are used as well.
        """
        able = [e for e in self._endpoints(target) if self._takes_work(e.name)]
        healthy = [
            e
            for e in able
            if e.name not in avoid and not self.states[e.name].is_ejected(now)
        ]
        if self._covers(target, healthy):
            return _without_spare_standbys(healthy)
        allowed = [e for e in able if e.name not in avoid]
        if self._covers(target, allowed):
            return allowed
        return able

    def _covers(self, target, endpoints):
        if target.service:
            return bool(endpoints)
        spans = [
            (e.spec.first_layer, e.spec.last_layer, 1.0) for e in endpoints
        ]
        return routing.bottleneck(spans, self._layers(target)) > 0.0

    def _layers(self, target):
        model = self.configuration.models.get(target.model)
        return model.layers if model is not None else 0

    def capacity(self, target, now):
        """Return how many requests the target works on at once."""
        usable = self._open(target, frozenset(), now)
        parts = self._parts_of(target, usable, now)
        spans = []
        for endpoint in usable:
            free = min(parts[endpoint.name], self.states[endpoint.name].limit)
            spec = endpoint.spec
            spans.append((spec.first_layer, spec.last_layer, free))
        if target.service:
            return sum(free for _, _, free in spans)
        return routing.bottleneck(spans, self._layers(target))

    def _reserved(self, rank):
        """Return the share kept for classes more urgent than a rank."""
        classes = self.configuration.priorities.values()
        kept = sum(c.reserved_share for c in classes if c.rank < rank)
        return min(MOST_RESERVED, kept)

    def _fastest(self, endpoints):
        """Return the pace to believe of an endpoint that was never measured.

        An endpoint believed to be slow is never chosen, so it is never
        measured, and stands idle for ever.  The fastest pace known makes
        sure that it is tried.
        """
        states = [self.states[endpoint.name] for endpoint in endpoints]
        measured = [s.token_seconds for s in states if s.measured]
        return min(measured, default=loads.DEFAULT_TOKEN_SECONDS)

    def place(self, ticket, now, contended=False):
        """Choose endpoints that can take a ticket now.

        Parameters
        ----------
        ticket : admission.Ticket
        now : float
        contended : bool
            Others wait as well.

        Returns
        -------
        list of configuration.Endpoint or None
            In the order of the chain.
        """
        candidates = self._candidates(ticket, now)
        if ticket.target.service:
            chosen = routing.choose_one(candidates, self.rng)
            return None if chosen is None else [chosen.endpoint]
        layers = self._layers(ticket.target)
        fastest = routing.choose_chain(candidates, layers, self.rng)
        if fastest is None:
            return None
        chain = None
        if not contended:
            slowest = min(
                _slowest_pace(ticket, now),
                MOST_SLOWDOWN * routing.pace(fastest),
            )
            chain = routing.choose_unhurried_chain(
                candidates, layers, self.rng, slowest
            )
        return [c.endpoint for c in chain or fastest]

    def _candidates(self, ticket, now):
        """Return the endpoints that can take a ticket now."""
        reserved = self._reserved(ticket.rank)
        usable = self._open(ticket.target, ticket.avoid, now)
        parts = self._parts_of(ticket.target, usable, now)
        kept = self._kept(ticket.target, usable, parts, reserved)
        fastest = self._fastest(usable)
        candidates = []
        for endpoint in usable:
            state = self.states[endpoint.name]
            free = state.usable(now, parts[endpoint.name])
            free -= kept.get(endpoint.name, 0)
            if free < 1.0:
                continue
            candidates.append(
                routing.Candidate(
                    endpoint,
                    state.outstanding(now) / state.limit,
                    state.token_seconds if state.measured else fastest,
                )
            )
        return candidates


def _slowest_pace(ticket, now):
    """Return the most seconds a token that leave a ticket time to spare."""
    end = min(ticket.deadline, ticket.wanted_by)
    return (end - now) / max(1.0, ticket.cost) / SPARE_TIME_FACTOR


def _layers_of(endpoint):
    """Return what an engine must hold to serve its record."""
    spec = endpoint.spec
    return (
        spec.model,
        spec.version,
        spec.first_layer,
        spec.last_layer,
        spec.adapters,
    )


def _without_spare_standbys(endpoints):
    """Leave out the standbys of layers that an active endpoint holds."""

    def is_active(endpoint):
        return endpoint.spec.role is schemas.Role.ACTIVE

    active = {subsets.kind_of(each) for each in endpoints if is_active(each)}
    return [
        each
        for each in endpoints
        if is_active(each) or subsets.kind_of(each) not in active
    ]


def make_placer(rng, router_id, in_hand):
    """Make the placer of a router."""
    return Placer(rng, router_id, in_hand)
