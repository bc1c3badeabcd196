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
LONG_WAIT = 30.0
LOOK = 0.02
QUICK = {
    'lease_seconds': 1.0,
    'status_seconds': 0.1,
    'probe_seconds': 0.2,
    'poll_seconds': 0.2,
    'drain_seconds': 0.5,
}


def wait_until(condition):
    """Look until a condition holds; fail after a generous time."""
    end = time.monotonic() + LONG_WAIT
    pause = threading.Event()
    while not condition():
        assert time.monotonic() < end, 'waited for too long'
        pause.wait(LOOK)


@pytest.fixture
def site():
    site = builders.small_site(speed=engineserver.Speed(step_seconds=0.005))
    yield site
    site.stop()


@pytest.fixture
def fleet(site):
    routers = processes.start(site, 2, **QUICK)
    yield routers
    stop(routers)


@pytest.fixture
def parted(site):
    """Three routers; the last is cut off, for it has another peer key."""
    keys = ('a' * 16, 'a' * 16, 'b' * 16)
    routers = [
        processes.RouterProcess(site, f'router-{n}', peer_keys=key, **QUICK)
        for n, key in enumerate(keys)
    ]
    site.platform.vms.listed = [router.vm() for router in routers]
    yield routers
    stop(routers)


def stop(routers):
    processes.stop_all(routers)
    for router in routers:
        # Shown where a test fails.
        print(router.id, *router.lines, sep='\n')


def get(address, path):
    return builders.HTTP.request('GET', f'http://{address}{path}')


def holders(site):
    rows = site.platform.table.scan(reconciling.LEASE_PREFIX)
    return {
        row.key: msgspec.convert(row.value, leases.LeaseRow) for row in rows
    }


def all_held_by(site, names):
    rows = holders(site)
    return len(rows) == reconciling.SHARE_COUNT and all(
        row.holder in names for row in rows.values()
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


def test_sigterm_cuts_nothing_in_flight(site, fleet):
    """Symptom: sheets break off whenever a VM is replaced.

    Sequence: SIGTERM while an answer streams.
    Cause: the process ended with its streams.
    """
    leaver = fleet[0]
    data = events.decode(open_stream(leaver, 150).stream())
    received = [next(data)]
    leaver.signal(signal.SIGTERM)
    wait_until(lambda: get(leaver.callers, '/readyz').status == 503)
    assert get(leaver.callers, '/healthz').status == 200
    received.extend(data)
    assert received[-1] == events.DONE
    words = [msgspec.json.decode(d) for d in received[:-2]]
    text = ''.join(word['choices'][0]['text'] for word in words)
    expected = engine.expected_tokens('ficha', deployments.LAYERS, 150)
    assert text == ''.join(expected)
    assert leaver.process.wait(timeout=LONG_WAIT) == 0


def test_leases_are_handed_over_by_sigterm_and_sigkill(site, fleet):
    names = {router.id for router in fleet}
    wait_until(lambda: all_held_by(site, names))
    fleet[0].signal(signal.SIGKILL)
    wait_until(lambda: all_held_by(site, {fleet[1].id}))
    assert get(fleet[1].callers, '/readyz').status == 200
    fleet[1].signal(signal.SIGTERM)
    wait_until(lambda: all_held_by(site, {leases.NO_HOLDER}))


def test_paused_holder_comes_back_and_orders_nothing(site, fleet):
    """Symptom: an engine is ordered about by two routers in turn.

    Sequence: a holder is stopped (SIGSTOP), its leases go to another, it
    is continued (SIGCONT) and believes that it still holds them.
    Cause: a lease looked at before the pause was trusted after it.
    """
    names = {router.id for router in fleet}
    wait_until(lambda: all_held_by(site, names))
    paused, other = fleet
    paused.signal(signal.SIGSTOP)
    wait_until(lambda: all_held_by(site, {other.id}))
    before = holders(site)
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


def outcome(answer):
    return answer.json()['error']['outcome']


def revision_at(operator, address):
    return operator.call('GET', address, '/v1/in-force')['revision']


def alert(router, key):
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


def test_router_cut_off_from_its_peers_does_no_harm(site, parted):
    """Symptom: an alert goes out twice, or two routers order one engine.

    Sequence: the network between a router and its peers is cut; it reaches
    callers, endpoints and the platform. A caller repeats its alert there.
    Cause: what one router knew reached the others only by peers.
    """
    near, _, cut_off = parted
    wait_until(lambda: all_held_by(site, {r.id for r in parted}))
    wait_until(lambda: alert(near, 'k1').status == 200)
    # While the table is slow for a moment it is not_run, as truthfully.
    wait_until(lambda: outcome(alert(cut_off, 'k1')) == 'unknown')
    fresh = alert(cut_off, 'k2')
    assert outcome(fresh) == 'not_run'
    assert 'Retry-After' in fresh.headers
    runs = [len(service.ledger) for service in site.services.values()]
    assert sum(runs) == 1
    operator = calls.make_caller(key=builders.OPERATOR_KEY)
    record = records.Submitted('model', 'nuevo', spec={'layers': 3})
    submission = records.Submission('s1', [record])
    accepted = operator.call(
        'POST',
        near.control,
        '/v1/records',
        submission,
        cls=records.Accepted,
    )
    wait_until(
        lambda: revision_at(operator, cut_off.control) >= accepted.revision
    )
