"""Orders that bring an engine from its reported to its desired state."""

__all__ = [
    'OrderSpec',
    'next_order',
    'may_send',
    'IdleTracker',
    'WeightFetchBudget',
]

from ibisring_records import schemas
import msgspec

# No order is in flight for longer; the timeouts of clients ensure it.
ORDER_TIMEOUT_SECONDS = 2.0
# A router may send requests for up to 3 s until it receives the record of a
# leaving endpoint, and one more attempt may be in flight by then.
UNLOAD_AFTER_SECONDS = 5.0


class OrderSpec(msgspec.Struct):
    """An order without its id and fencing number."""

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
    """Return the next order for an engine, or None if none is due.

    Parameters
    ----------
    endpoint : configuration.Endpoint
    status : engines.EngineStatus
    configuration : configuration.Configuration
    idle : float
        Seconds for which it has been observed leaving and idle.

    Returns
    -------
    OrderSpec or None

    Notes
    -----
    An order may arrive late, after its sender lost the lease, at an engine
    that ignores fencing numbers.  Orders therefore add adapters first and
    remove only those that no active record names; another version is loaded
    only when no request is running; and the status is read again in each
    round, so that the effects of a late order are corrected.  A leaving
    engine is unloaded only when no router can still send it requests,
    because losing its layers would break off a running answer.  An engine
    that ignores fencing numbers is never unloaded: the order of a holder
    paused right before sending could reach it when it serves again.
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
        return _make_order_spec(
            schemas.OrderKind.UNLOAD, spec, version, [], 0.0
        )
    current = (
        status.model,
        status.version,
        status.first_layer,
        status.last_layer,
    )
    desired = (spec.model, spec.version, spec.first_layer, spec.last_layer)
    if not status.loaded or current != desired:
        if status.loaded and status.load.running + status.load.waiting:
            return None
        layers = spec.last_layer - spec.first_layer + 1
        return _make_order_spec(
            schemas.OrderKind.LOAD,
            spec,
            version,
            sorted(spec.adapters),
            float(layers * version.megabytes_per_layer),
        )
    adapters = _needed_adapters(spec, status, configuration)
    if adapters != sorted(status.adapters):
        return _make_order_spec(
            schemas.OrderKind.ADAPTERS, spec, version, adapters, 0.0
        )
    if status.role and status.role != spec.role:
        return _make_order_spec(
            schemas.OrderKind.ROLE, spec, version, adapters, 0.0
        )
    return None


def _needed_adapters(spec, status, configuration):
    named = set(configuration.adapters)
    for other in configuration.endpoints.values():
        named.update(other.spec.adapters)
    retained = {name for name in status.adapters if name in named}
    return sorted(retained | set(spec.adapters))


def _make_order_spec(kind, spec, version, adapters, megabytes):
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
    """Return whether an order may be sent; check right before sending.

    Parameters
    ----------
    endpoint : configuration.Endpoint
    lease : leases.Lease
    now : float

    Notes
    -----
    An engine that ignores fencing numbers would execute an order of the
    previous holder that is still in flight.  A new holder therefore waits
    for the order timeout before its first order there, so that its own
    order arrives last.
    """
    if not lease.holds(now):
        return False
    if endpoint.spec.checks_fencing:
        return True
    return now - lease.acquired_at >= ORDER_TIMEOUT_SECONDS


class _IdlePeriod(msgspec.Struct):
    spec: schemas.EndpointV2
    status: object
    first_read_at: float
    last_read_at: float


class IdleTracker:
    """Measures for how long leaving endpoints have been observed idle."""

    def __init__(self):
        self.idle_periods = {}

    def observe(self, endpoint, status, now):
        """Record the last status read; return the idle seconds so far.

        Parameters
        ----------
        endpoint : configuration.Endpoint
        status : engines.EngineStatus
            The same object as before if none was read since.
        now : float

        Notes
        -----
        Only the time between the first and last reading counts.  An
        endpoint whose status can't be read may be busy, so that time does
        not count as idle.
        """
        spec = endpoint.spec
        requests = status.load.running + status.load.waiting
        if requests or spec.state is not schemas.EndpointState.LEAVING:
            self.idle_periods.pop(endpoint.name, None)
            return 0.0
        period = self.idle_periods.get(endpoint.name)
        if period is None or period.spec != spec:
            period = _IdlePeriod(spec, status, now, now)
            self.idle_periods[endpoint.name] = period
        elif status is not period.status:
            period.status = status
            period.last_read_at = now
        return period.last_read_at - period.first_read_at


class WeightFetchBudget:
    """Limits the loads of each share to its part of the weight store's rate.

    Parameters
    ----------
    shares : int
        The holder of each share may use ``1 / shares`` of the rate, so that
        all holders together respect the limit without coordination.
    """

    def __init__(self, shares):
        self.shares = shares
        self.free_at = {}

    def take(self, share, megabytes, rate, now):
        """Reserve a load; False while an earlier load is being fetched."""
        if now < self.free_at.get(share, now):
            return False
        self.free_at[share] = now + megabytes * self.shares / rate
        return True
