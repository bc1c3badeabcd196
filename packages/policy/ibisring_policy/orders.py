"""Orders that bring an engine from what it reports to what is wanted."""

__all__ = [
    'OrderSpec',
    'next_order',
    'may_send',
    'IdleTracker',
    'WeightFetchBudget',
]

from ibisring_records import schemas
import msgspec

# No order is in flight for longer; the callers' timeout ensures it.
ORDER_TIMEOUT_SECONDS = 2.0
# A router that has not yet heard that an endpoint leaves may send work for
# 3 s; one attempt more may be on its way by then.
UNLOAD_AFTER_SECONDS = 5.0


class OrderSpec(msgspec.Struct):
    """An order to give, before it gets its id and fencing number."""

    kind: schemas.OrderKind
    model: str
    version: str
    first_layer: int
    last_layer: int
    weights: str
    adapters: list[str]
    megabytes: float
    role: str = schemas.Role.ACTIVE


def next_order(endpoint, status, configuration, idle=0.0):
    """Return the next order for an engine, or None if all is as wanted.

    Parameters
    ----------
    endpoint : configuration.Endpoint
    status : engines.EngineStatus
    configuration : configuration.Configuration
    idle : float
        Seconds for which it has been seen leaving and without work.

    Returns
    -------
    OrderSpec or None

    Notes
    -----
    An order may arrive late, after its sender lost the lease, at an engine
    that ignores fencing numbers.  Orders therefore add first, and remove
    only adapters that no record in force names; another version is loaded
    only once nothing runs any more; and the status is read back each round,
    so that whatever a late order did is put right.  An engine that leaves
    gives up its layers only once no router can still send it work: a stage
    that lost them in the middle of an answer would cut it.  One that
    ignores fencing numbers is never told to: a holder paused right before
    its send would empty an engine that serves again by then.
    """
    spec = endpoint.spec
    version = configuration.versions.get(spec.version)
    if spec.service or version is None or status.loading:
        return None
    if spec.state is schemas.EndpointState.LEAVING:
        if not spec.checks_fencing:
            return None
        if not status.loaded or idle < UNLOAD_AFTER_SECONDS:
            return None
        return _wanted(schemas.OrderKind.UNLOAD, spec, version, [], 0.0)
    held = (
        status.model,
        status.version,
        status.first_layer,
        status.last_layer,
    )
    wanted = (spec.model, spec.version, spec.first_layer, spec.last_layer)
    if not status.loaded or held != wanted:
        if status.loaded and status.load.running + status.load.waiting:
            return None
        layers = spec.last_layer - spec.first_layer + 1
        return _wanted(
            schemas.OrderKind.LOAD,
            spec,
            version,
            sorted(spec.adapters),
            float(layers * version.megabytes_per_layer),
        )
    adapters = _wanted_adapters(spec, status, configuration)
    if adapters != sorted(status.adapters):
        return _wanted(
            schemas.OrderKind.ADAPTERS, spec, version, adapters, 0.0
        )
    if status.role and status.role != spec.role:
        return _wanted(schemas.OrderKind.ROLE, spec, version, adapters, 0.0)
    return None


def _wanted_adapters(spec, status, configuration):
    named = set(configuration.adapters)
    for other in configuration.endpoints.values():
        named.update(other.spec.adapters)
    kept = {name for name in status.adapters if name in named}
    return sorted(kept | set(spec.adapters))


def _wanted(kind, spec, version, adapters, megabytes):
    return OrderSpec(
        kind,
        spec.model,
        spec.version,
        spec.first_layer,
        spec.last_layer,
        version.weights,
        adapters,
        megabytes,
        spec.role.value,
    )


def may_send(endpoint, lease, now):
    """Return whether an order may be sent now; ask right before sending.

    Parameters
    ----------
    endpoint : configuration.Endpoint
    lease : leases.Lease
    now : float

    Notes
    -----
    An engine that ignores fencing numbers would obey an order of the last
    holder that is still under way.  A new holder lets the longest order
    pass before its first one there, so that its own comes last.
    """
    if not lease.holds(now):
        return False
    if endpoint.spec.checks_fencing:
        return True
    return now - lease.acquired_at >= ORDER_TIMEOUT_SECONDS


class _Idle(msgspec.Struct):
    spec: schemas.EndpointV2
    status: object
    since: float
    last: float


class IdleTracker:
    """Tells how long endpoints have been seen leaving and without work."""

    def __init__(self):
        self.seen = {}

    def observe(self, endpoint, status, now):
        """Take in the last status read; give the seconds idle so far.

        Parameters
        ----------
        endpoint : configuration.Endpoint
        status : engines.EngineStatus
            The same object again if none was read since.
        now : float

        Notes
        -----
        Time passes only from one reading to the next.  An endpoint that
        can't be read may be at work, so it is not idle meanwhile.
        """
        spec = endpoint.spec
        working = status.load.running + status.load.waiting
        if working or spec.state is not schemas.EndpointState.LEAVING:
            self.seen.pop(endpoint.name, None)
            return 0.0
        seen = self.seen.get(endpoint.name)
        if seen is None or seen.spec != spec:
            seen = _Idle(spec, status, now, now)
            self.seen[endpoint.name] = seen
        elif status is not seen.status:
            seen.status = status
            seen.last = now
        return seen.last - seen.since


class WeightFetchBudget:
    """Keeps one share's loads within its part of the weight store's rate.

    Parameters
    ----------
    shares : int
        Each share's holder may use ``1 / shares`` of the rate, so that all
        holders together keep the limit without talking to each other.
    """

    def __init__(self, shares):
        self.shares = shares
        self.free_at = {}

    def take(self, share, megabytes, rate, now):
        """Reserve a load; False if an earlier one is still being fetched."""
        if now < self.free_at.get(share, now):
            return False
        self.free_at[share] = now + megabytes * self.shares / rate
        return True
