"""Orders: what is sent to an engine, when, and what never is."""

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


def in_force(wanted, adapters=()):
    return configuration.Configuration(
        1,
        {},
        {'m@2': schemas.VersionV2('m', 'w', 10)},
        {a: schemas.AdapterV2('m', 'w') for a in adapters},
        {},
        {},
        {wanted.name: wanted},
        {},
        {},
    )


def test_other_version_is_loaded_only_when_nothing_runs():
    """Symptom: an answer turned to nonsense during an upgrade.

    Sequence: a record names a new version while the old one answers.
    Cause: the load order replaced the layers under running requests.
    """
    wanted = endpoint()
    busy = status('m@1', running=1)
    idle = status('m@1')
    current = in_force(wanted)
    assert orders.next_order(wanted, busy, current) is None
    order = orders.next_order(wanted, idle, current)
    assert (order.kind, order.version) == (schemas.OrderKind.LOAD, 'm@2')
    assert order.megabytes == 40.0


def test_adapter_is_removed_only_if_no_record_names_it():
    wanted = endpoint(adapters=('x',))
    current = in_force(wanted, adapters=['x', 'y'])
    held = status(adapters=['y', 'z'])
    order = orders.next_order(wanted, held, current)
    assert order.adapters == ['x', 'y']


def test_engine_without_fencing_waits_out_the_last_holder():
    """Symptom: an engine unloads what was just loaded.

    Sequence: a holder is paused between its check and its send; its lease
    goes to another; its order arrives after the new holder's.
    Cause: the engine ignores fencing numbers.
    """
    lease = leases.Lease('a', SECONDS)
    row = lease.next_row(leases.Intent.ACQUIRE)
    lease.written(row, 1, 100.0, leases.Intent.ACQUIRE)
    checking, ignoring = endpoint(checks_fencing=True), endpoint()
    assert orders.may_send(checking, lease, 100.1)
    assert not orders.may_send(ignoring, lease, 100.1)
    assert orders.may_send(ignoring, lease, 102.0)
    assert not orders.may_send(checking, lease, 100.0 + SECONDS)


def test_loads_keep_to_the_share_of_the_weight_rate():
    budget = orders.WeightFetchBudget(shares=4)
    assert budget.take(0, 100.0, 100.0, 0.0)
    assert not budget.take(0, 100.0, 100.0, 3.9)
    assert budget.take(1, 100.0, 100.0, 3.9)
    assert budget.take(0, 100.0, 100.0, 4.0)


def idle_at(clock, wanted, read, *times):
    """Return the idle seconds after a reading at each of some times."""
    return [clock.observe(wanted, read(), now) for now in times][-1]


def test_leaving_engine_is_unloaded_once_nobody_can_send_it_work():
    """Symptom: an answer is cut while its endpoint is drained.

    Sequence: a record says leaving; a router that has not heard of it yet
    sends one more request; the engine is told to unload meanwhile.
    Cause: the order went out as soon as the engine seemed idle.
    """
    wanted = endpoint(state=LEAVING, checks_fencing=True)
    current = in_force(wanted)
    clock = orders.IdleTracker()
    enough = orders.UNLOAD_AFTER_SECONDS
    early = idle_at(clock, wanted, status, 10.0, 10.0 + enough - 0.1)
    assert orders.next_order(wanted, status(), current, early) is None
    # The late request arrives: the time starts anew.
    clock.observe(wanted, status(running=1), 16.0)
    again = idle_at(clock, wanted, status, 17.0, 17.0 + enough - 0.1)
    assert orders.next_order(wanted, status(), current, again) is None
    late = idle_at(clock, wanted, status, 17.0 + enough)
    order = orders.next_order(wanted, status(), current, late)
    assert order.kind is schemas.OrderKind.UNLOAD
    empty = status(loaded=False)
    assert orders.next_order(wanted, empty, current, late) is None


def test_engine_that_ignores_fencing_is_never_unloaded():
    """Symptom: an engine is emptied while it serves.

    Sequence: a holder is paused before it sends an unload; the endpoint is
    made to serve again and loaded by another holder; the first one wakes.
    Cause: the engine does not look at the order's number.
    """
    wanted = endpoint(state=LEAVING)
    long = 10 * orders.UNLOAD_AFTER_SECONDS
    assert orders.next_order(wanted, status(), in_force(wanted), long) is None


def test_engine_that_cannot_be_read_is_not_idle():
    """Symptom: an engine that could not be reached was emptied at work.

    Sequence: its last status says idle; it takes work; no status is read.
    Cause: the old reading was counted as if it went on.
    """
    wanted = endpoint(state=LEAVING)
    clock = orders.IdleTracker()
    last = status()
    assert idle_at(clock, wanted, lambda: last, 0.0, 60.0, 120.0) == 0.0


def test_endpoint_that_serves_again_is_not_unloaded():
    clock = orders.IdleTracker()
    idle_at(clock, endpoint(state=LEAVING), status, 0.0, 60.0)
    assert clock.observe(endpoint(), status(), 61.0) == 0.0
    assert clock.observe(endpoint(state=LEAVING), status(), 62.0) == 0.0


def test_role_is_ordered_where_an_engine_reports_another():
    wanted = endpoint(role=STANDBY)
    current = in_force(wanted)
    held = status()
    assert orders.next_order(wanted, held, current) is None
    held.role = 'active'
    order = orders.next_order(wanted, held, current)
    assert (order.kind, order.role) == (schemas.OrderKind.ROLE, 'standby')
    held.role = order.role
    assert orders.next_order(wanted, held, current) is None
