"""Repeats under an Idempotency-Key, on one router and across routers."""

import concurrent.futures

import pytest

from ibisring_policy import budgets
from ibisring_router import claiming
from ibisring_router import keyed as keyed_module
from ibisring_router import periodic
from ibisring_router.tests import builders
from ibisring_standins import faults
from ibisring_web import serving

ALERT = {'zona': 'finca El Paraíso', 'aviso': 'rayos'}
PATH = '/v1/services/etiquetado'
FOREGROUND = budgets.Urgency.FOREGROUND
MODEL_PATH = '/v1/completions'


@pytest.fixture
def site():
    site = builders.small_site()
    yield site
    site.stop()


@pytest.fixture
def fleet(site):
    routers = builders.start_fleet(site, 3)
    yield routers
    serving.stop_all(routers)


def set_table(site, **switches):
    site.platform.table.faults = faults.PlatformFaults(**switches)


def test_repeat_on_the_same_router_gets_the_first_answer(site, fleet):
    answers = [
        builders.post(fleet[0], PATH, ALERT, Idempotency_Key='a1').json()
        for _ in range(2)
    ]
    assert answers[0] == answers[1]
    assert len(builders.service_runs(site)) == 1


def test_repeat_on_another_router_gets_the_first_answer(site, fleet):
    """A lost answer whose request the balancer repeats does not run twice.

    The balancer sends the repeat to another router, which did not run the
    first copy.
    """
    answers = [
        builders.post(router, PATH, ALERT, Idempotency_Key='a2').json()
        for router in fleet
    ]
    assert answers[0] == answers[1] == answers[2]
    assert len(builders.service_runs(site)) == 1


def test_concurrent_copies_on_all_routers_run_once(site, fleet):
    with concurrent.futures.ThreadPoolExecutor(9) as pool:
        futures = [
            pool.submit(
                builders.post, router, PATH, ALERT, Idempotency_Key='a3'
            )
            for router in fleet * 3
        ]
        answers = [future.result() for future in futures]
    assert len(builders.service_runs(site)) == 1
    assert {a.status for a in answers} == {200}


def test_alert_runs_once_while_the_table_is_down(site, fleet):
    """An outage of the table neither stops alerts nor duplicates them.

    Without the table only the voters' memory of the claim keeps the repeat
    at another router from running.
    """
    for router in fleet:
        router.claims.window = 0.0
    set_table(site, down=True)
    first = builders.post(fleet[0], PATH, ALERT, Idempotency_Key='a4')
    repeat = builders.post(fleet[1], PATH, ALERT, Idempotency_Key='a4')
    assert first.status == 200
    assert repeat.json() == first.json()
    assert len(builders.service_runs(site)) == 1


def test_repeat_after_a_crash_of_the_first_router_is_unknown(site, fleet):
    """An alert whose router crashed before it answered does not run again.

    The answer was lost with its router.  The request may have run, so the
    repeat at another router gets outcome unknown.
    """
    builders.post(fleet[0], PATH, ALERT, Idempotency_Key='a5')
    fleet[0].control.stop()
    repeat = builders.post(fleet[1], PATH, ALERT, Idempotency_Key='a5')
    assert repeat.json()['error']['outcome'] == 'unknown'
    assert repeat.headers['x-should-retry'] == 'false'
    assert len(builders.service_runs(site)) == 1


def test_repeat_after_a_restart_of_the_owner_is_unknown_at_once(site, fleet):
    """A repeat does not wait until its deadline for a restarted router.

    The claim names the router's own address as owner, but the answer was
    lost in the restart; the router would query itself until the deadline.
    """
    builders.post(fleet[0], PATH, ALERT, Idempotency_Key='a0')
    fleet[0].keyed.answers.ended.clear()
    repeat = builders.post(fleet[0], PATH, ALERT, Idempotency_Key='a0')
    assert repeat.json()['error']['outcome'] == 'unknown'
    assert len(builders.service_runs(site)) == 1


def test_waiting_peers_do_not_hold_all_control_threads(site, fleet):
    """A router that peers wait for still answers their probes.

    Without a bound, each repeat that joins a slow answer from another router
    holds a control thread until the answer ends.
    """
    keyed = fleet[0].keyed
    keyed.answers.get_or_create('slow', 'fingerprint')
    for _ in range(keyed_module.MAX_WAITING_PEERS):
        assert keyed.waiting_peers.acquire(blocking=False)
    view = keyed.view('slow', 1000.0)
    assert view.state is claiming.HeldState.RUNNING


def test_alert_runs_once_with_the_table_down_and_a_peer_dead(site, fleet):
    for router in fleet:
        router.claims.window = 0.0
    set_table(site, down=True)
    fleet[2].control.stop()
    first = builders.post(fleet[0], PATH, ALERT, Idempotency_Key='a6')
    repeat = builders.post(fleet[1], PATH, ALERT, Idempotency_Key='a6')
    assert first.status == 200
    assert repeat.json() == first.json()
    assert len(builders.service_runs(site)) == 1


def test_request_without_a_majority_of_voters_is_refused_as_not_run(
    site, fleet
):
    set_table(site, down=True)
    for router in fleet[1:]:
        router.control.stop()
    answer = builders.post(fleet[0], PATH, ALERT, Idempotency_Key='a7')
    error = answer.json()['error']
    assert (error['code'], error['outcome']) == (
        'claim_unavailable',
        'not_run',
    )
    assert answer.headers['Retry-After']
    assert not builders.service_runs(site)


def test_claim_made_during_an_outage_is_written_after_it(site, fleet):
    for router in fleet:
        router.claims.window = 0.0
    set_table(site, down=True)
    builders.post(fleet[0], PATH, ALERT, Idempotency_Key='a8')
    set_table(site)
    fleet[0].claims.window = 600.0
    fleet[0].claims.save_unsaved()
    assert site.platform.table.scan('claims/')
    assert not fleet[0].claims.unsaved


def spend_budget(router, writes):
    """Use up a budget of `writes` writes; its clock stands still."""
    shared = router.store_budget
    shared.clock = lambda: 0.0
    shared.count_routers = lambda: 1
    shared.budget = budgets.make_budget(writes, writes, 0.0)
    for _ in range(writes):
        assert shared.budget.may_write(FOREGROUND, 1, 0.0)


def test_alert_runs_when_the_store_budget_is_spent(site, fleet):
    """Keyed requests that exceed the store budget run without a claim row.

    A burst of keyed calls spends the router's share of the writes; the call
    that was not made must not fail the request.
    """
    for router in fleet:
        router.claims.window = 0.0
    spend_budget(fleet[0], 1)
    answers = [
        builders.post(router, PATH, ALERT, Idempotency_Key='a10')
        for router in fleet[:2]
    ]
    assert [answer.status for answer in answers] == [200, 200]
    assert len(builders.service_runs(site)) == 1
    assert (
        list(fleet[0].claims.unsaved) and not fleet[0].claims.table_down_until
    )


def test_delayed_claim_writes_stay_within_the_store_budget(site, fleet):
    """Claims of an outage don't overload the table service when it recovers.

    They would all be written at once if the budget did not apply.
    """
    for router in fleet:
        router.claims.window = 0.0
    set_table(site, down=True)
    for number in range(12):
        key = f'late-{number}'
        builders.post(fleet[0], PATH, ALERT, Idempotency_Key=key)
    router = fleet[0]
    periodic.stop_all(router.periodics)
    router.claims.window = 600.0
    spend_budget(router, 4)
    set_table(site)
    router.claims.save_unsaved()
    assert not site.platform.table.scan('claims/')
    left = []
    for second in range(1, 7):
        router.store_budget.clock = lambda now=float(second): now
        router.claims.save_unsaved()
        left.append(len(router.claims.unsaved))
    # Half of the four writes per second is reserved for foreground calls.
    assert left[0] == 9
    assert left[-1] == 0
    assert len(site.platform.table.scan('claims/')) == 12


def test_lost_answer_of_a_claim_write_is_resolved_by_reading(site, fleet):
    set_table(site, lose_answers=1)
    answer = builders.post(fleet[0], PATH, ALERT, Idempotency_Key='a9')
    assert answer.status == 200
    assert len(builders.service_runs(site)) == 1


def test_sweep_deletes_old_claim_rows(site, fleet):
    builders.post(fleet[0], PATH, ALERT, Idempotency_Key='c1')
    claims = fleet[0].claims
    (row,) = site.platform.table.scan('claims/')
    claims.sweep(row.value['made_at'] + claims.window)
    assert site.platform.table.scan('claims/')
    claims.sweep(row.value['made_at'] + 2 * claims.window + 1)
    assert not site.platform.table.scan('claims/')


def test_key_with_a_different_body_is_refused(site, fleet):
    builders.post(fleet[0], PATH, ALERT, Idempotency_Key='b1')
    for router in fleet[:2]:
        other = builders.post(router, PATH, {'x': 1}, Idempotency_Key='b1')
        assert other.json()['error']['code'] == 'idempotency_key_reused'
    assert len(builders.service_runs(site)) == 1


def test_request_refused_as_not_run_may_be_repeated_at_another_router(
    site, fleet
):
    for service in site.services.values():
        service.faults.refuse = True
    first = builders.post(fleet[0], PATH, ALERT, Idempotency_Key='b2')
    assert first.json()['error']['outcome'] == 'not_run'
    for service in site.services.values():
        service.faults.refuse = False
    repeat = builders.post(fleet[1], PATH, ALERT, Idempotency_Key='b2')
    assert repeat.status == 200
    assert len(builders.service_runs(site)) == 1


def test_copies_of_a_model_request_on_two_routers_generate_once(site, fleet):
    body = {'model': 'modelo-cocina', 'prompt': 'sopa', 'max_tokens': 6}
    headers = {'Idempotency_Key': 'b3', 'Ibisring_Idempotent': 'false'}
    texts = {
        builders.post(router, MODEL_PATH, body, **headers).json()['choices'][
            0
        ]['text']
        for router in fleet[:2]
    }
    requests = {
        run.request
        for engine in site.engines.values()
        for run in engine.engine.ledger
    }
    assert len(texts) == 1
    assert len(requests) == 1
