"""Polling endpoints for their readiness and load."""

__all__ = ['StatusPoller', 'is_ready', 'is_due', 'make_poller']

import concurrent.futures

from ibisring_backing import engines
from ibisring_policy import subsets
from ibisring_records import exceptions
from ibisring_web import calls
import xxhash

POLL_THREADS = 8
MIN_CYCLE_ROUNDS = 10
READY_POLLS_PER_ROUND = 2


def is_ready(spec, status):
    """Return whether an engine has loaded what its record specifies.

    Parameters
    ----------
    spec : schemas.EndpointV2
    status : engines.EngineStatus

    Notes
    -----
    An engine that is still loading, or that has loaded another version or
    range, would run the wrong layers, and the output would be nonsense.
    """
    if spec.service:
        return True
    if not status.loaded or status.loading:
        return False
    loaded = (
        status.model,
        status.version,
        status.first_layer,
        status.last_layer,
    )
    recorded = (spec.model, spec.version, spec.first_layer, spec.last_layer)
    return loaded == recorded and set(spec.adapters) <= set(status.adapters)


def poll_cycle_rounds(count):
    """Return the number of rounds in which each ready endpoint is polled once.

    The cycle grows with the number of endpoints, so that a round polls only a
    few of them: with 180 endpoints, a poll of each every ten rounds would
    use twice the budget for control traffic.
    """
    return max(MIN_CYCLE_ROUNDS, count // READY_POLLS_PER_ROUND)


def is_due(name, round_number, was_ready, cycle_rounds):
    """Return whether an endpoint is polled in a round.

    Parameters
    ----------
    name : str
    round_number : int
    was_ready : bool
        Whether it was ready at the last poll.  Its load then comes with its
        answers, so one poll per cycle is enough.
    cycle_rounds : int
        Rounds of a cycle.
    """
    if not was_ready:
        return True
    slot = xxhash.xxh64_intdigest(name.encode()) % cycle_rounds
    return round_number % cycle_rounds == slot


class StatusPoller:
    """Polls the endpoints that this router uses or sends orders to.

    Parameters
    ----------
    router_id : str
    keeper : recordkeeping.RecordKeeper
    placement : dispatching.Placement
    caller : calls.Caller

    Attributes
    ----------
    statuses : dict of str to engines.EngineStatus
        Last status of each endpoint.
    holds_lease_of : callable
        Returns whether this router holds the lease of an endpoint, by name.
    """

    def __init__(self, router_id, keeper, placement, caller):
        self.router_id = router_id
        self.keeper = keeper
        self.placement = placement
        self.caller = caller
        self.statuses = {}
        # By endpoint, the spec for which it was ready at its last poll.
        self.ready_specs = {}
        self.round_number = 0
        self.holds_lease_of = lambda name: False
        self.pool = concurrent.futures.ThreadPoolExecutor(POLL_THREADS)

    def poll(self):
        """Poll the endpoints that are due in this round."""
        configuration = self.keeper.current
        if configuration is None:
            return
        self.round_number += 1
        endpoints = list(configuration.endpoints.values())
        used = subsets.choose_subset(self.router_id, endpoints)
        names = {endpoint.name for endpoint in used}
        polled = [
            endpoint
            for endpoint in endpoints
            if endpoint.name in names or self.holds_lease_of(endpoint.name)
        ]
        cycle_rounds = poll_cycle_rounds(len(polled))
        due = [
            endpoint
            for endpoint in polled
            if is_due(
                endpoint.name,
                self.round_number,
                self.ready_specs.get(endpoint.name) == endpoint.spec,
                cycle_rounds,
            )
        ]
        list(self.pool.map(self._poll_endpoint, due))

    def _poll_endpoint(self, endpoint):
        try:
            status = self.caller.call(
                'GET',
                endpoint.spec.address,
                '/v1/status',
                cls=engines.EngineStatus,
            )
        except (calls.CallError, exceptions.IbisringError):
            # A failed poll alone does not eject it; failed attempts do.
            self.ready_specs.pop(endpoint.name, None)
            return
        ready = is_ready(endpoint.spec, status) and not status.draining
        if ready:
            self.ready_specs[endpoint.name] = endpoint.spec
        else:
            self.ready_specs.pop(endpoint.name, None)
        self.statuses[endpoint.name] = status
        self.placement.observe(endpoint.name, status.load)
        self.placement.observe_status(
            endpoint,
            is_ready(endpoint.spec, status),
            status.draining,
        )

    def stop(self):
        self.pool.shutdown(wait=False, cancel_futures=True)


def make_poller(router_id, keeper, placement, caller):
    """Make the status poller of a router."""
    return StatusPoller(router_id, keeper, placement, caller)
