"""Real router processes under SIGTERM, SIGKILL and SIGSTOP."""

import signal
import threading
import time

import msgspec
import pytest

from ibisring_policy import leases
from ibisring_records import records
from ibisring_router import reconciling
from ibisring_router.tests import builders
from ibisring_router.tests import processes
from ibisring_standins import deployments
from ibisring_standins import engine
from ibisring_standins import engineserver
from ibisring_web import calls
from ibisring_web import events

MODEL = 'modelo-cocina'
LONG_WAIT_SECONDS = 30.0
POLL_SECONDS = 0.02
SHORT_INTERVALS = {
    'lease_seconds': 1.0,
    'status_seconds': 0.1,
    'probe_seconds': 0.2,
    'poll_seconds': 0.2,
    'drain_seconds': 0.5,
}


def wait_until(condition):
    """Poll until a condition holds; fail after `LONG_WAIT_SECONDS`."""
    deadline = time.monotonic() + LONG_WAIT_SECONDS
    pause = threading.Event()
    while not condition():
        assert time.monotonic() < deadline, 'waited for too long'
        pause.wait(POLL_SECONDS)


@pytest.fixture
def site():
    site = builders.small_site(speed=engineserver.Speed(step_seconds=0.005))
    yield site
    site.stop()


@pytest.fixture
def fleet(site):
    routers = processes.start(site, 2, **SHORT_INTERVALS)
    yield routers
    stop(routers)


@pytest.fixture
def partitioned_fleet(site):
    """Three routers; the last has another peer key, so peers reject it."""
    keys = ('a' * 16, 'a' * 16, 'b' * 16)
    routers = [
        processes.RouterProcess(
            site, f'router-{n}', peer_keys=key, **SHORT_INTERVALS
        )
        for n, key in enumerate(keys)
    ]
    site.platform.vms.listed = [router.vm() for router in routers]
    yield routers
    stop(routers)


def stop(routers):
    processes.stop_all(routers)
    for router in routers:
        # pytest shows this output if the test fails.
        print(router.id, *router.log_lines, sep='\n')


def http_get(address, path):
    return builders.HTTP.request('GET', f'http://{address}{path}')


def lease_rows(site):
    rows = site.platform.table.scan(reconciling.LEASE_PREFIX)
    return {
        row.key: msgspec.convert(row.value, leases.LeaseRow) for row in rows
    }


def all_held_by(site, router_ids):
    rows = lease_rows(site)
    return len(rows) == reconciling.SHARE_COUNT and all(
        row.holder in router_ids for row in rows.values()
    )


def open_stream(router, tokens):
    key = deployments.account_key('cocina-1')
    return builders.HTTP.request(
        'POST',
        f'http://{router.callers}/v1/completions',
        json={
            'model': MODEL,
            'prompt': 'ficha',
            'max_tokens': tokens,
            'stream': True,
        },
        headers={'Authorization': f'Bearer {key}'},
        preload_content=False,
    )


def test_sigterm_interrupts_no_request_in_flight(site, fleet):
    """Failure: responses break off whenever a VM is replaced.

    SIGTERM arrives while a response streams; the process must not exit
    before the stream has ended.
    """
    draining = fleet[0]
    data = events.decode(open_stream(draining, 150).stream())
    received = [next(data)]
    draining.signal(signal.SIGTERM)
    wait_until(lambda: http_get(draining.callers, '/readyz').status == 503)
    assert http_get(draining.callers, '/healthz').status == 200
    received.extend(data)
    assert received[-1] == events.DONE
    chunks = [msgspec.json.decode(d) for d in received[:-2]]
    text = ''.join(chunk['choices'][0]['text'] for chunk in chunks)
    expected = engine.expected_tokens('ficha', deployments.LAYERS, 150)
    assert text == ''.join(expected)
    assert draining.process.wait(timeout=LONG_WAIT_SECONDS) == 0


def test_leases_change_holder_after_sigterm_and_sigkill(site, fleet):
    router_ids = {router.id for router in fleet}
    wait_until(lambda: all_held_by(site, router_ids))
    fleet[0].signal(signal.SIGKILL)
    wait_until(lambda: all_held_by(site, {fleet[1].id}))
    assert http_get(fleet[1].callers, '/readyz').status == 200
    fleet[1].signal(signal.SIGTERM)
    wait_until(lambda: all_held_by(site, {leases.NO_HOLDER}))


def test_resumed_lease_holder_sends_no_orders(site, fleet):
    """Failure: two routers alternately send orders to one engine.

    A lease holder is stopped (SIGSTOP), its leases pass to another router,
    and it is continued (SIGCONT) still assuming that it holds them.  A lease
    checked before the pause must not be relied on after it.
    """
    router_ids = {router.id for router in fleet}
    wait_until(lambda: all_held_by(site, router_ids))
    paused, successor = fleet
    paused.signal(signal.SIGSTOP)
    wait_until(lambda: all_held_by(site, {successor.id}))
    before = lease_rows(site)
    for server in site.engines.values():
        status = server.engine.status
        status.loaded = False
        status.model = status.version = ''
        status.fencing = 0
    paused.signal(signal.SIGCONT)
    wait_until(
        lambda: all(s.engine.status.loaded for s in site.engines.values())
    )
    for name, server in site.engines.items():
        share = leases.share_of(name, reconciling.SHARE_COUNT)
        row = before[reconciling._row_key(share)]
        assert server.engine.status.fencing >= row.fencing


def error_outcome(response):
    return response.json()['error']['outcome']


def revision_at(operator, address):
    return operator.call('GET', address, '/v1/in-force')['revision']


def send_alert(router, key):
    account = deployments.account_key('cocina-1')
    return builders.HTTP.request(
        'POST',
        f'http://{router.callers}/v1/services/etiquetado',
        json={'zona': 'finca'},
        headers={
            'Authorization': f'Bearer {account}',
            'Idempotency-Key': key,
        },
    )


def test_router_cut_off_from_its_peers_stays_consistent(
    site, partitioned_fleet
):
    """Failure: an alert is sent twice, or two routers order one engine.

    The network between a router and its peers fails, but it still reaches
    callers, endpoints and the platform.  A caller repeats its alert there;
    what the other routers did has to reach it without the peers.
    """
    connected, _, cut_off = partitioned_fleet
    wait_until(lambda: all_held_by(site, {r.id for r in partitioned_fleet}))
    wait_until(lambda: send_alert(connected, 'k1').status == 200)
    # While the table service is slow it is not_run, which is also correct.
    wait_until(lambda: error_outcome(send_alert(cut_off, 'k1')) == 'unknown')
    new_alert = send_alert(cut_off, 'k2')
    assert error_outcome(new_alert) == 'not_run'
    assert 'Retry-After' in new_alert.headers
    runs = [len(service.ledger) for service in site.services.values()]
    assert sum(runs) == 1
    operator = calls.make_caller(key=builders.OPERATOR_KEY)
    record = records.Submitted('model', 'nuevo', spec={'layers': 3})
    submission = records.Submission('s1', [record])
    accepted = operator.call(
        'POST',
        connected.control,
        '/v1/records',
        submission,
        cls=records.Accepted,
    )
    wait_until(
        lambda: revision_at(operator, cut_off.control) >= accepted.revision
    )
