"""What a router has observed of one endpoint."""

__all__ = ['Estimate', 'Estimates']

import msgspec

# How long an endpoint that could not be reached gets no requests while others
# can take them: after the first failure, and at most.
MIN_EJECT_SECONDS = 0.5
MAX_EJECT_SECONDS = 4.0
# How long an engine that refused a request gets none: at first, and at most.
# If it has free memory, each refusal soon after the last backoff doubles it:
# an engine that leaves while the store is unavailable refuses everything, and
# each request sent to it uses up one of the fleet's retries.
MIN_BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 2.4
BACKOFF_REPEAT_SECONDS = 0.5
# How long the loss of an engine is sent to other routers, and for how long
# after its own contact with the engine a router ignores such a report.
DEAD_GOSSIP_SECONDS = 1.0
OWN_CONTACT_SECONDS = 0.1


class Estimate(msgspec.Struct):
    """Estimated load and health of an endpoint; times are monotonic seconds.

    `active`, `tokens` and `first_stage_requests` count this router's own
    requests; `tokens` are multiplied by the layers that the engine runs.
    `tried_at` is when the attempt to reach it began that showed it dead;
    `started` is the start time of the endpoint's present process.  Fields
    `*_from_peer` are set if another router reported the state.  A loss that
    was reported is a suspicion until it is `proven` here; `witnesses` are the
    routers that reported it, and `by_silence` is set if the endpoint neither
    refused connections nor failed otherwise.  `found_late` is set if this
    process stood still around the finding; `confirmed_at` is when the loss
    was confirmed after that.
    """

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
    eject_seconds: float = MIN_EJECT_SECONDS
    answered_at: float = -1e9
    dead: bool = False
    dead_at: float = -1e9
    tried_at: float = -1e9
    dead_from_peer: bool = False
    proven: bool = False
    by_silence: bool = False
    found_late: bool = False
    confirmed_at: float | None = None
    witnesses: frozenset = frozenset()
    refuted_at: float = -1e9
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


class Estimates:
    """Estimates by endpoint id; the caller holds a lock around each call.

    Attributes
    ----------
    by_endpoint : dict of str to Estimate
    """

    def __init__(self):
        self.by_endpoint = {}

    def get(self, name):
        """Return the estimate of an endpoint, a new one if there is none."""
        estimate = self.by_endpoint.get(name)
        if estimate is None:
            estimate = self.by_endpoint[name] = Estimate()
        return estimate
