"""Records, membership, leases and orders over several routers."""

import concurrent.futures
import uuid

import pytest

from ibisring_backing import vms
from ibisring_policy import membership
from ibisring_policy import orders
from ibisring_policy import subsets
from ibisring_records import exceptions
from ibisring_records import records
from ibisring_router import reconciling
from ibisring_router import recordkeeping
from ibisring_router import statuspolling
from ibisring_router.tests import builders
from ibisring_standins import faults
from ibisring_standins import memory
from ibisring_web import calls
from ibisring_web import serving


@pytest.fixture
def site():
    site = builders.small_site()
    yield site
    site.stop()


@pytest.fixture
def fleet(site):
    # Polls are too rare to matter here: changes spread by pushes only.
    routers = builders.start_fleet(
        site, 3, poll_seconds=60.0, probe_seconds=60.0, status_seconds=60.0
    )
    yield routers
    serving.stop_all(routers)


def model(layers, name='otro', revision=None):
    return records.Submitted(
        'model', name, spec={'layers': layers}, revision=revision
    )


def submit(router, *submitted, name='s1'):
    accepted, change = router.keeper.submit(
        records.Submission(name, list(submitted))
    )
    if change is not None:
        router.peering.push([change])
    return accepted.revision


def wait_for(router, revision):
    """Wait until a router has a revision; it is pushed by another thread."""
    ready = concurrent.futures.Future()

    def check_revision(configuration):
        if configuration.revision >= revision and not ready.done():
            ready.set_result(True)

    router.keeper.listeners.append(check_revision)
    if router.keeper.revision < revision:
        ready.result(timeout=10)


def test_accepted_record_is_pushed_to_every_router(site, fleet):
    revision = submit(fleet[0], model(3))
    for router in fleet:
        wait_for(router, revision)
        assert router.keeper.current.models['otro'].layers == 3


def test_second_submission_on_the_same_revision_is_refused(site, fleet):
    first = submit(fleet[0], model(3, revision=0))
    with pytest.raises(exceptions.Conflict) as caught:
        submit(fleet[1], model(4, revision=0), name='s2')
    assert caught.value.facts == {'in_force': first, 'submitted_on': 0}


def test_repeated_submission_is_accepted_once(site, fleet):
    first = submit(fleet[0], model(3))
    assert submit(fleet[1], model(3)) == first


def test_lost_answer_of_a_commit_is_resolved_by_reading(site, fleet):
    """A submission is not reported as failed if its commit took effect.

    The table service commits the submission, but its answer is lost.
    """
    site.platform.table.faults = faults.PlatformFaults(lose_answers=1)
    revision = submit(fleet[0], model(3))
    assert fleet[0].keeper.find_accepted('s1').revision == revision


def test_submission_during_an_outage_is_not_accepted(site, fleet):
    site.platform.table.faults = faults.PlatformFaults(down=True)
    with pytest.raises(exceptions.NotAccepted):
        submit(fleet[0], model(3))
    assert fleet[0].keeper.revision == 1


class AnswerLosingTable(memory.MemoryTable):
    """Loses the answer to every commit, and is down after it."""

    def commit(self, expected, puts, deletes=()):
        super().commit(expected, puts, deletes)
        self.faults.down = True
        raise exceptions.PlatformAnswerLost('lost')


def test_lost_answer_followed_by_an_outage_is_unknown():
    """A submission that is repeated after an unknown outcome applies once.

    The commit's answer is lost, and the table goes down before the row can
    be read, so it is unknown whether the submission was accepted.
    """
    table = AnswerLosingTable()
    keeper = recordkeeping.start_records(table, builders.metrics())
    submission = records.Submission('s1', [model(3)])
    with pytest.raises(exceptions.SubmissionUnknown):
        keeper.submit(submission)
    table.faults.down = False
    assert keeper.find_accepted('s1').revision == 1
    assert keeper.submit(submission)[0].revision == 1
    keeper.stop()


def test_v1_write_keeps_fields_of_v2(site, fleet):
    name = 'modelo-cocina'
    before = fleet[0].keeper.current.models[name]
    submit(
        fleet[0],
        records.Submitted('model', name, schema='v1', spec={'layers': 24}),
    )
    after = fleet[0].keeper.current.models[name]
    assert after == before
    assert after.objective is not None


def test_unreadable_record_is_kept_and_reported(site, fleet):
    row = records.Stored('endpoint', 'futuro', 'v9', {'x': 1}, 2, 'other-tool')
    change = records.Change(2, 'other-tool', [row])
    fleet[0].keeper.apply_changes([change])
    current = fleet[0].keeper.current
    assert list(current.unreadable) == ['endpoint/futuro']
    kept = fleet[0].keeper.snapshot().records
    assert row in kept


def test_older_revisions_are_never_applied(site, fleet):
    """Old records from a paused peer or a restored table undo no change."""
    old = fleet[0].keeper.snapshot()
    revision = submit(fleet[0], model(3))
    fleet[0].keeper.apply_snapshot(old)
    assert fleet[0].keeper.revision == revision
    site.platform.table.rows.clear()
    fleet[0].keeper.follow()
    assert fleet[0].keeper.revision == revision


def test_new_router_gets_its_records_from_peers_during_an_outage(site, fleet):
    revision = submit(fleet[0], model(3))
    site.platform.table.faults = faults.PlatformFaults(down=True)
    late = builders.start_router(site, router_id='router-9')
    try:
        assert late.keeper.revision == revision
        late.readiness.check()
    finally:
        late.stop()


def test_router_without_configuration_refuses_requests(site):
    site.platform.table.faults = faults.PlatformFaults(down=True)
    alone = builders.start_router(site)
    try:
        answer = builders.post(alone, '/v1/services/etiquetado', {})
        assert answer.json()['error']['code'] == 'not_ready'
        assert answer.json()['error']['outcome'] == 'not_run'
    finally:
        alone.stop()


def endpoint_record(router, name, **changes):
    (stored,) = [r for r in router.keeper.snapshot().records if r.name == name]
    return records.Submitted(
        'endpoint', name, schema=stored.schema, spec={**stored.spec, **changes}
    )


def test_leaving_endpoint_gets_no_new_requests(site, fleet):
    leaving = 'etiquetado-0'
    record = endpoint_record(fleet[0], leaving, state='leaving')
    revision = submit(fleet[0], record)
    for router in fleet:
        wait_for(router, revision)
        router.placement.inspect(lambda dispatcher: None)
        for _ in range(8):
            builders.post(router, '/v1/services/etiquetado', {})
    assert not site.services[leaving].ledger
    assert len(site.services['etiquetado-1'].ledger) == 24


def test_joining_engine_gets_requests_after_it_was_loaded(site, fleet):
    """An empty engine gets requests only after an order loaded its layers."""
    name = 'modelo-cocina-00'
    status = site.engines[name].engine.status
    status.loaded = False
    status.model = status.version = ''
    router = fleet[0]
    router.poller.poll()
    ready = router.placement.inspect(lambda d: d.states[name].ready)
    assert not ready
    for each in fleet:
        each.poller.poll()
        each.reconciler.run_round()
    assert status.loaded
    assert status.fencing >= 1
    router.poller.poll()
    assert router.placement.inspect(lambda d: d.states[name].ready)


def test_leaving_engine_is_unloaded_and_loaded_when_it_serves_again(
    site, fleet, monkeypatch
):
    """A leaving engine is unloaded, and loaded again if it serves again."""
    name = 'modelo-cocina-00'
    status = site.engines[name].engine.status
    submit_everywhere(fleet, endpoint_record(fleet[0], name, state='leaving'))
    reconcile(fleet)
    assert status.loaded
    monkeypatch.setattr(orders, 'UNLOAD_AFTER_SECONDS', 0.0)
    reconcile(fleet)
    assert not status.loaded
    submit_everywhere(fleet, endpoint_record(fleet[0], name, state='serving'))
    reconcile(fleet)
    assert status.loaded
    complete(fleet[0])


def test_change_of_role_reaches_the_engine(site, fleet):
    name = 'modelo-cocina-00'
    status = site.engines[name].engine.status
    submit_everywhere(fleet, endpoint_record(fleet[0], name, role='standby'))
    reconcile(fleet)
    assert status.role == 'standby'
    for _ in range(6):
        complete(fleet[0])
    assert not site.engines[name].engine.ledger


def complete(router):
    body = {'model': 'modelo-cocina', 'prompt': 'sopa', 'max_tokens': 3}
    assert builders.post(router, '/v1/completions', body).status == 200


def submit_everywhere(fleet, record):
    revision = submit(fleet[0], record, name=uuid.uuid4().hex)
    for router in fleet:
        wait_for(router, revision)


def reconcile(fleet):
    """Poll the status of every engine and send the orders that are due."""
    for router in fleet:
        router.poller.ready_specs.clear()
        router.poller.poll()
        router.reconciler.run_round()


def test_released_leases_are_acquired_by_other_routers(site, fleet):
    for router in fleet:
        router.reconciler.run_round()
    held = holders(fleet)
    assert len(held) == reconciling.SHARE_COUNT
    leaving = fleet[held[0]]
    leaving.readiness.draining = True
    leaving.reconciler.release()
    others = [router for router in fleet if router is not leaving]
    for router in others:
        router.peering.probe()
        router.reconciler.run_round()
    assert set(holders(fleet)) == set(range(reconciling.SHARE_COUNT))
    assert leaving not in {fleet[i] for i in holders(fleet).values()}


def holders(fleet):
    """Return the index of the router that holds each share's lease."""
    found = {}
    for index, router in enumerate(fleet):
        leases = router.reconciler.actor.ask(builders.held_leases_query())
        for share, lease in leases.items():
            if lease.holds(router.reconciler.clock()):
                assert share not in found
                found[share] = index
    return found


def test_answer_of_another_router_at_an_old_address_marks_the_peer_dead():
    members = membership.make_membership('me', 8)
    members.apply_vm_list(
        [vms.Vm('me', 'a:1', 'd'), vms.Vm('old', 'a:2', 'd')]
    )
    answer = builders.peer_state('new')
    members.record_answer('old', answer, 1.0)
    assert members.peers['old'].health is membership.Health.DEAD


def test_subsets_are_full_and_cover_every_endpoint():
    """With 1,200 endpoints and 380 routers, each router uses only a few."""
    current = builders.many_endpoints(1200)
    endpoints = list(current.endpoints.values())
    used = set()
    for number in range(380):
        chosen = subsets.choose_subset(f'r{number}', endpoints)
        assert len(chosen) == 3 * subsets.SUBSET_SIZE
        used.update(endpoint.name for endpoint in chosen)
    assert len(used) == len(endpoints)


def test_ready_endpoint_is_polled_once_per_cycle():
    cycle_rounds = statuspolling.poll_cycle_rounds(8)
    rounds = [
        n
        for n in range(30)
        if statuspolling.is_due('e', n, True, cycle_rounds)
    ]
    assert len(rounds) == 3
    assert all(
        statuspolling.is_due('e', n, False, cycle_rounds) for n in range(30)
    )


def test_fingers_reach_every_router_in_few_hops():
    ids = [f'r{n}' for n in range(380)]
    reached, hops = {'r0'}, 0
    while len(reached) < len(ids):
        informed = {f for r in reached for f in membership.fingers(r, ids, 8)}
        reached |= informed
        hops += 1
    assert hops <= 9


PEER_CALLS = (
    ('GET', '/peer/state'),
    ('POST', '/peer/changes'),
    ('GET', '/peer/changes?since=0'),
    ('GET', '/peer/snapshot'),
    ('POST', '/peer/claims'),
    ('POST', '/peer/releases'),
    ('GET', '/peer/answers/a1'),
)


def test_peer_paths_require_a_peer_key(fleet):
    """Other hosts can neither release claims nor push records.

    Without the check, a host on the network could release the claim of an
    alert before its repeat arrives, and the alert would run twice.
    """
    for key in ('', 'clave-que-no-vale'):
        caller = calls.make_caller(key=key)
        for method, path in PEER_CALLS:
            with pytest.raises(exceptions.Unauthorized):
                caller.call(method, fleet[0].control.address, path, {})


def test_peer_keys_can_be_changed_one_router_at_a_time(site):
    """Routers with the old and the new key accept each other meanwhile."""
    first, second = 'k' * 16, 'l' * 16
    routers = [
        builders.start_router(site, router_id=name, peer_keys=keys)
        for name, keys in (
            ('r0', f'{second},{first}'),
            ('r1', f'{first},{second}'),
        )
    ]
    builders.list_vms(site, routers)
    try:
        for router in routers:
            router.peering.probe()
            assert len(router.peering.alive()) == 1
    finally:
        serving.stop_all(routers)
