"""Asking endpoints whether they can take work, and how loaded they are."""

__all__ = ['StatusPoller', 'is_ready', 'is_due', 'make_poller']

import concurrent.futures

from ibisring_backing import engines
from ibisring_policy import subsets
from ibisring_records import exceptions
from ibisring_web import calls
import xxhash

POLL_THREADS = 8
LEAST_TURNS = 10
SETTLED_A_ROUND = 2


def is_ready(spec, status):
    """Say whether an engine holds just what its record says.

    Parameters
    ----------
    spec : schemas.EndpointV2
    status : engines.EngineStatus

    Notes
    -----
    An engine that is still loading, or holds another version or range,
    would run the wrong layers; it shows as words that make no sense.
    """
    if spec.service:
        return True
    if not status.loaded or status.loading:
        return False
    held = (
        status.model,
        status.version,
        status.first_layer,
        status.last_layer,
    )
    wanted = (spec.model, spec.version, spec.first_layer, spec.last_layer)
    return held == wanted and set(spec.adapters) <= set(status.adapters)


def poll_cycle_rounds(count):
    """Give the rounds in which all settled endpoints get their turn.

    Few are polled in a round however many there are: at 180 endpoints a
    poll of each every ten rounds would spend twice the control budget.
    """
    return max(LEAST_TURNS, count // SETTLED_A_ROUND)


def is_due(name, round_number, is_settled, turns):
    """Say whether an endpoint is polled in a round.

    Parameters
    ----------
    name : str
    round_number : int
    is_settled : bool
        It was ready when last polled; then its load comes with its answers,
        and it is looked at only once in so many `turns`.
    turns : int
    """
    if not is_settled:
        return True
    turn = xxhash.xxh64_intdigest(name.encode()) % turns
    return round_number % turns == turn


class StatusPoller:
    """Polls the endpoints that this router uses or gives orders to.

    Parameters
    ----------
    router_id : str
    keeper : recordkeeping.RecordKeeper
    placement : dispatching.Placement
    caller : calls.Caller

    Attributes
    ----------
    statuses : dict of str to engines.EngineStatus
        The last of each endpoint.
    holds_lease_of : callable
        From an endpoint's name, whether its share's lease is held here.
    """

    def __init__(self, router_id, keeper, placement, caller):
        self.router_id = router_id
        self.keeper = keeper
        self.placement = placement
        self.caller = caller
        self.statuses = {}
        # The record that each endpoint was ready for when last polled.
        self.settled = {}
        self.round_number = 0
        self.holds_lease_of = lambda name: False
        self.pool = concurrent.futures.ThreadPoolExecutor(POLL_THREADS)

    def poll(self):
        """Poll once the endpoints whose turn it is."""
        configuration = self.keeper.current
        if configuration is None:
            return
        self.round_number += 1
        every = list(configuration.endpoints.values())
        used = subsets.choose_subset(self.router_id, every)
        names = {endpoint.name for endpoint in used}
        watched = [
            endpoint
            for endpoint in every
            if endpoint.name in names or self.holds_lease_of(endpoint.name)
        ]
        turns = poll_cycle_rounds(len(watched))
        due = [
            endpoint
            for endpoint in watched
            if is_due(
                endpoint.name,
                self.round_number,
                self.settled.get(endpoint.name) == endpoint.spec,
                turns,
            )
        ]
        list(self.pool.map(self._poll_one, due))

    def _poll_one(self, endpoint):
        try:
            status = self.caller.call(
                'GET',
                endpoint.spec.address,
                '/v1/status',
                cls=engines.EngineStatus,
            )
        except (calls.CallError, exceptions.IbisringError):
            # A missed poll says little; attempts that fail eject it.
            self.settled.pop(endpoint.name, None)
            return
        ready = is_ready(endpoint.spec, status) and not status.draining
        if ready:
            self.settled[endpoint.name] = endpoint.spec
        else:
            self.settled.pop(endpoint.name, None)
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
