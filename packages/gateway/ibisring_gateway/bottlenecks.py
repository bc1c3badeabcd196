"""Admission by what limits a service: links between domains, or memory."""

__all__ = ['Exhausted', 'Bottlenecks', 'demand_of_tokens', 'make_bottlenecks']

import collections
import logging
import math
import threading

from ibisring_policy.gateway import capacity
from ibisring_policy.gateway import chains
from ibisring_policy.gateway import domainlinks
from ibisring_router import logs
import msgspec

LOG = logging.getLogger(__name__)
BITS_PER_BYTE = 8.0
MS_PER_SECOND = 1000.0
# Mean seconds for which a stream occupies memory and sends over links.
MEAN_STREAM_SECONDS = 3.5
# Shortest time between two computations of a service's capacity: each takes
# milliseconds of processor time.
CAPACITY_SECONDS = 2.0
# How long the requests in flight that were last counted are used: the
# interval of gossip.
LOAD_SECONDS = 0.25
# Relative change of the capacity from which it is logged.
LOGGED_CHANGE = 0.1
# Period in which refused requests count as waiting to come back.
REFUSED_SECONDS = 2.0
# Bounds of the mean time after which a refused caller should retry, and the
# range of the random factor on it: callers refused together would otherwise
# come back together.  Callers come back once or twice only: by then a stream
# has ended, or lost layers are loaded, and they still wait.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 2.5
MIN_SPREAD, MAX_SPREAD = 0.5, 1.5


class Exhausted(msgspec.Struct, frozen=True):
    """Why a request was refused; `pairs` is empty if memory is exhausted.

    `wait` is in seconds.  `pairs` are the links crossed and `megabytes` what
    the request sends at each crossing; `in_flight` is the number of requests
    of the service at that time, `found` the capacity that they exceed.
    """

    wait: float
    pairs: tuple = ()
    megabytes: float = 0.0
    in_flight: float = 0.0
    found: capacity.Capacity | None = None


class _Service:
    """What is known of a service; times are monotonic seconds.

    Attributes
    ----------
    lock : threading.Lock
        Guards the others.  It is not held while the capacity is computed,
        which would delay all requests of the service.
    found : capacity.Capacity or None
    refused : collections.deque of float
        When requests were refused for want of memory.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.holdings = ()
        self.found = None
        self.logged = -1.0
        self.computed_at = -math.inf
        self.counted_at = -math.inf
        self.in_flight = 0.0
        self.refused = collections.deque(maxlen=500)

    def load(self):
        """Return the requests in flight, and the capacity."""
        with self.lock:
            return self.in_flight, self.found

    def start_count(self, now):
        """Return whether the caller is to count the requests in flight."""
        with self.lock:
            is_due = now - self.counted_at >= LOAD_SECONDS
            if is_due:
                self.counted_at = now
            return is_due

    def start_computation(self, in_flight, holdings, now):
        """Note a count; return whether the caller is to compute anew."""
        with self.lock:
            self.in_flight = in_flight
            is_due = now - self.computed_at >= CAPACITY_SECONDS
            if not is_due or holdings == self.holdings:
                return False
            self.computed_at = now
            self.holdings = holdings
            return True

    def set_capacity(self, found):
        """Note a capacity; return whether to log it."""
        with self.lock:
            self.found = found
            change = abs(found.requests - self.logged)
            if change <= LOGGED_CHANGE * self.logged:
                return False
            self.logged = found.requests
            return True

    def count_refused(self, now):
        """Return the number of requests that were refused lately."""
        with self.lock:
            while self.refused and now - self.refused[0] > REFUSED_SECONDS:
                self.refused.popleft()
            return len(self.refused)

    def note_refused(self, now):
        with self.lock:
            self.refused.append(now)


class Bottlenecks:
    """Decides whether a request may use a link, or an engine that is full.

    Parameters
    ----------
    view : view.View
    draw : callable
        Returns random numbers from 0 up to but excluding 1.
    """

    def __init__(self, view, draw):
        self.view = view
        self.draw = draw
        self.services = {}

    def link_exhausted(self, job, stages, now):
        """Return why the budgets of links refuse a chain, None if they don't.

        Parameters
        ----------
        job : jobs.Job
        stages : list of chains.Stage
        now : float

        Returns
        -------
        Exhausted or None
        """
        rate = job.service.model.domain_link_mbps / BITS_PER_BYTE
        if not self.view.link_budgets or rate <= 0.0:
            return None
        pairs = domainlinks.crossings(self._domains(stages))
        if not pairs:
            return None
        if job.transfer is None:
            job.transfer = domainlinks.Transfer(
                _megabytes(job), rate, job.route.objective
            )
        job.transfer.continues = _continues(job)
        with self.view.lock:
            wait = self.view.domain_links.admit(pairs, job.transfer, now)
        if wait is None:
            return None
        return Exhausted(wait, tuple(pairs), job.transfer.megabytes)

    def refused_crossing(self, job, stages):
        """Return the domains before and behind the first refused crossing.

        Both are None if an engine of the chain has left meanwhile.
        """
        domains = self._domains(stages)
        refused = job.transfer.refused_pairs(domainlinks.crossings(domains))
        for before, behind in zip(domains, domains[1:]):
            if (min(before, behind), max(before, behind)) in refused:
                return before, behind
        return None, None

    def _domains(self, stages):
        endpoints = self.view.snapshot.endpoints
        return [
            endpoints[stage.endpoint].failure_domain
            for stage in stages
            if stage.endpoint in endpoints
        ]

    def memory_exhausted(self, job, now):
        """Return why a request may not use engines that are full.

        It may not if the requests in flight exceed what the engines carry
        together: another one would only delay them.  Streams that continue
        may.

        Returns
        -------
        Exhausted or None
            None if it may.
        """
        if not self.view.link_budgets or _continues(job):
            return None
        service = self._service(job.service, now)
        in_flight, found = service.load()
        if found is None or found.requests < 1.0:
            # Layers without an engine: no chain to overcommit.
            return None
        excess = in_flight - found.requests
        if excess <= 0.0:
            return None
        # Callers that this router refused lately come back first.
        ahead = excess + 1.0 + service.count_refused(now)
        wait = MEAN_STREAM_SECONDS * ahead / in_flight
        return Exhausted(wait, in_flight=in_flight, found=found)

    def refuse(self, job, now):
        """Record that a request is refused.

        Returns
        -------
        float or None
            Seconds after which it may be admitted, spread over callers; None
            if neither a link nor the capacity was the reason.
        """
        exhausted = job.blocked_by
        if exhausted is None:
            return None
        service = self.services.get(job.service.name)
        if service is not None and not exhausted.pairs:
            service.note_refused(now)
        wait = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, exhausted.wait))
        return wait * (MIN_SPREAD + (MAX_SPREAD - MIN_SPREAD) * self.draw())

    def facts(self, job):
        """Return what a log line says of a request that was refused."""
        exhausted = job.blocked_by
        if exhausted is None:
            return {}
        wait_ms = round(exhausted.wait * MS_PER_SECOND)
        if not exhausted.pairs:
            return {
                'over_capacity': {
                    'in_flight': round(exhausted.in_flight, 1),
                    'requests': round(exhausted.found.requests, 1),
                    'bottleneck': exhausted.found.bottleneck,
                    'wait_ms': wait_ms,
                }
            }
        return {
            'link_budget': {
                'links': sorted({' '.join(pair) for pair in exhausted.pairs}),
                'crossings': len(exhausted.pairs),
                'megabytes': round(exhausted.megabytes, 1),
                'wait_ms': wait_ms,
            }
        }

    def capacity_requests(self):
        """Return the last computed capacity of all services, in requests."""
        found = [each.found for each in list(self.services.values())]
        return round(sum(each.requests for each in found if each), 1)

    def _service(self, service, now):
        """Return the state of a service, brought up to date.

        Only one thread counts or computes; others use the former values.
        """
        known = self.services.get(service.name)
        if known is None:
            known = self.services.setdefault(service.name, _Service())
        if not known.start_count(now):
            return known
        endpoints = self.view.snapshot.by_service.get(service.name, ())
        usable, in_flight = self._count_in_flight(
            endpoints, service.model, now
        )
        holdings = service.model, tuple((e.id, e.holding) for e in usable)
        if known.start_computation(in_flight, holdings, now):
            self._compute(known, service, usable)
        return known

    def _count_in_flight(self, endpoints, model, now):
        """Return the engines in reach, and the requests in flight."""
        with self.view.lock:
            table = self.view.estimates
            usable = [e for e in endpoints if not table.is_dead(e.id)]
            totals = table.peer_token_totals(now)
            own = table.own_tokens()
        tokens = sum(
            totals.get(e.id, 0.0) + own.get(e.id, 0.0) for e in usable
        )
        each = max(1, model.layers) * _usual_tokens(model)
        return usable, tokens / each

    def _compute(self, known, service, endpoints):
        model = service.model
        holders = [
            holder
            for holder in map(lambda e: _holder(e, model), endpoints)
            if holder is not None
        ]
        found = capacity.compute(
            holders,
            model.layers,
            capacity.Usual(_usual_tokens(model), _per_link(model)),
        )
        if known.set_capacity(found):
            logs.event(
                LOG,
                'capacity',
                service=service.name,
                requests=round(found.requests, 1),
                bottleneck=found.bottleneck,
                engines=len(holders),
            )


def demand_of_tokens(snapshot, tokens):
    """Estimate the use of links by a router that doesn't report it.

    A router of an older release that has requests in several domains is
    assumed to send them across.

    Parameters
    ----------
    snapshot : view.Snapshot
    tokens : dict of str to int
        Tokens times layers that it has in flight, by engine.

    Returns
    -------
    list of (str, str, int, int)
        As in `gossipmessages.Message.link_use`.
    """
    by_domain = collections.Counter()
    activation_mb = 0.0
    for name, amount in tokens.items():
        endpoint = snapshot.endpoints.get(name)
        if endpoint is None or snapshot.index is None:
            continue
        service = snapshot.index.services.get(endpoint.service)
        if service is None or service.model is None:
            continue
        model = service.model
        by_domain[endpoint.failure_domain] += amount / model.layers
        activation_mb = max(activation_mb, model.activation_mb)
    total = sum(by_domain.values()) / MEAN_STREAM_SECONDS * activation_mb
    names = sorted(by_domain)
    return [
        (one, other, int(total * domainlinks.BYTES_PER_MB), 0)
        for position, one in enumerate(names)
        for other in names[position + 1 :]
    ]


def _continues(job):
    """Return whether a request continues a stream that has begun."""
    return job.progress.delivering or job.request.after_event is not None


def _megabytes(job):
    """Return what a request sends over a link at each crossing."""
    request = job.request
    prompt = request.prompt_tokens
    reserved = chains.tokens_needed(
        prompt, request.answer_tokens, request.answer_hint
    )
    answer = (reserved - prompt) / chains.RESERVED_RESPONSE_SHARE
    return (prompt + answer) * job.service.model.activation_mb


def _usual_tokens(model):
    """Return the tokens that are reserved for a usual request."""
    answer = chains.RESERVED_RESPONSE_SHARE * model.mean_answer
    return max(1.0, model.mean_prompt + answer)


def _per_link(model):
    """Return the usual requests that a link carries at once."""
    tokens = model.mean_prompt + model.mean_answer
    sent = tokens * model.activation_mb / MEAN_STREAM_SECONDS
    if model.domain_link_mbps <= 0.0 or sent <= 0.0:
        return math.inf
    return model.domain_link_mbps / BITS_PER_BYTE / sent


def _holder(endpoint, model):
    """Return an engine as a holder without load, None if it holds nothing."""
    held = endpoint.holding
    card = model.card(endpoint.card)
    if held is None or held.count <= 0 or card is None:
        return None
    free_mb = max(0.0, card.memory_mb - held.count * model.layer_mb)
    return chains.Holder(
        endpoint.id,
        endpoint.address,
        endpoint.failure_domain,
        held.first,
        held.end,
        free_mb / (model.token_mb / model.layers),
    )


def make_bottlenecks(view, draw):
    """Make `Bottlenecks` that know of no service."""
    return Bottlenecks(view, draw)
