"""Orders: which are sent to an engine, when, and which never are."""

from ibisring_backing import engines
from ibisring_policy import leases
from ibisring_policy import orders
from ibisring_records import configuration
from ibisring_records import schemas

SECONDS = 6.0
LEAVING = schemas.EndpointState.LEAVING
STANDBY = schemas.Role.STANDBY


def endpoint(name='e', **changes):
    spec = schemas.EndpointV2(
        address='127.0.0.1:1',
        failure_domain='d',
        model='m',
        version='m@2',
        first_layer=0,
        last_layer=3,
        **changes,
    )
    return configuration.Endpoint(name, spec)


def status(version='m@2', running=0, loaded=True, adapters=()):
    return engines.EngineStatus(
        'e',
        'm',
        version,
        0,
        3,
        loaded,
        False,
        list(adapters),
        engines.EngineLoad(running, 0, 8),
    )


def active_configuration(desired, adapters=()):
    return configuration.Configuration(
        1,
        {},
        {'m@2': schemas.VersionV2('m', 'w', 10)},
        {a: schemas.AdapterV2('m', 'w') for a in adapters},
        {},
        {},
        {desired.name: desired},
        {},
        {},
    )


def test_other_version_is_loaded_only_on_an_idle_engine():
    """Guards against a corrupt answer during an upgrade.

    A load order must not replace the layers of running requests when a
    record names a new version.
    """
    desired = endpoint()
    busy = status('m@1', running=1)
    idle = status('m@1')
    current = active_configuration(desired)
    assert orders.next_order(desired, busy, current) is None
    order = orders.next_order(desired, idle, current)
    assert (order.kind, order.version) == (schemas.OrderKind.LOAD, 'm@2')
    assert order.megabytes == 40.0


def test_adapter_is_removed_only_if_no_record_names_it():
    desired = endpoint(adapters=('x',))
    current = active_configuration(desired, adapters=['x', 'y'])
    reported = status(adapters=['y', 'z'])
    order = orders.next_order(desired, reported, current)
    assert order.adapters == ['x', 'y']


def test_new_holder_waits_before_ordering_an_engine_without_fencing():
    """Guards against a late order that undoes that of the new holder.

    A holder is paused between its check and its send, another router
    acquires the lease, and the engine, which ignores fencing numbers,
    executes the old order last.
    """
    lease = leases.Lease('a', SECONDS)
    row = lease.next_row(leases.Intent.ACQUIRE)
    lease.written(row, 1, 100.0, leases.Intent.ACQUIRE)
    checking, ignoring = endpoint(checks_fencing=True), endpoint()
    assert orders.may_send(checking, lease, 100.1)
    assert not orders.may_send(ignoring, lease, 100.1)
    assert orders.may_send(ignoring, lease, 102.0)
    assert not orders.may_send(checking, lease, 100.0 + SECONDS)


def test_loads_are_limited_to_the_share_of_the_weight_rate():
    budget = orders.WeightFetchBudget(shares=4)
    assert budget.take(0, 100.0, 100.0, 0.0)
    assert not budget.take(0, 100.0, 100.0, 3.9)
    assert budget.take(1, 100.0, 100.0, 3.9)
    assert budget.take(0, 100.0, 100.0, 4.0)


def idle_at(tracker, desired, read, *times):
    """Return the idle seconds after status readings at the given times."""
    return [tracker.observe(desired, read(), now) for now in times][-1]


def test_leaving_engine_is_unloaded_once_no_router_can_send_it_requests():
    """Guards against cutting an answer while its endpoint is drained.

    A router that has not received the record of the leaving endpoint yet
    may send one more request, so an engine that seems idle must not be
    unloaded immediately.
    """
    desired = endpoint(state=LEAVING, checks_fencing=True)
    current = active_configuration(desired)
    tracker = orders.IdleTracker()
    delay = orders.UNLOAD_AFTER_SECONDS
    early = idle_at(tracker, desired, status, 10.0, 10.0 + delay - 0.1)
    assert orders.next_order(desired, status(), current, early) is None
    # A late request arrives and restarts the idle time.
    tracker.observe(desired, status(running=1), 16.0)
    again = idle_at(tracker, desired, status, 17.0, 17.0 + delay - 0.1)
    assert orders.next_order(desired, status(), current, again) is None
    late = idle_at(tracker, desired, status, 17.0 + delay)
    order = orders.next_order(desired, status(), current, late)
    assert order.kind is schemas.OrderKind.UNLOAD
    empty = status(loaded=False)
    assert orders.next_order(desired, empty, current, late) is None


def test_engine_that_ignores_fencing_is_never_unloaded():
    """Guards against unloading an engine that serves again.

    A holder is paused before it sends an unload order; meanwhile another
    holder loads the engine, which is to serve again.  The engine does not
    check the fencing number and would execute the late order.
    """
    desired = endpoint(state=LEAVING)
    idle_seconds = 10 * orders.UNLOAD_AFTER_SECONDS
    assert (
        orders.next_order(
            desired, status(), active_configuration(desired), idle_seconds
        )
        is None
    )


def test_engine_without_a_new_status_is_not_counted_as_idle():
    """Guards against unloading a busy engine that can't be reached.

    Its last status was idle; the time since that reading must not count,
    because the engine may have accepted requests.
    """
    desired = endpoint(state=LEAVING)
    tracker = orders.IdleTracker()
    last = status()
    assert idle_at(tracker, desired, lambda: last, 0.0, 60.0, 120.0) == 0.0


def test_endpoint_that_serves_again_is_not_unloaded():
    tracker = orders.IdleTracker()
    idle_at(tracker, endpoint(state=LEAVING), status, 0.0, 60.0)
    assert tracker.observe(endpoint(), status(), 61.0) == 0.0
    assert tracker.observe(endpoint(state=LEAVING), status(), 62.0) == 0.0


def test_role_order_is_sent_if_the_engine_reports_another_role():
    desired = endpoint(role=STANDBY)
    current = active_configuration(desired)
    reported = status()
    assert orders.next_order(desired, reported, current) is None
    reported.role = 'active'
    order = orders.next_order(desired, reported, current)
    assert (order.kind, order.role) == (schemas.OrderKind.ROLE, 'standby')
    reported.role = order.role
    assert orders.next_order(desired, reported, current) is None
