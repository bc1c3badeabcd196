"""Spread of configuration, leaving endpoints, leases and control costs.

Six real router processes on one platform stand-in.

    python bench/configuration.py [--out FILE]
"""

import json
import pathlib
import signal
import statistics
import threading
import time


from ibisring_operator import client
from ibisring_policy import leases
from ibisring_records import records
from ibisring_router import reconciling
from ibisring_router.tests import builders
from ibisring_router.tests import processes
from ibisring_standins import deployments
from ibisring_standins import engineserver
import msgspec
import typer

ROUTERS = 6
CHANGES = 40
IDLE_SECONDS = 10.0
LOOK = 0.005
LIMIT = 60.0
SPEED = engineserver.Speed(step_seconds=0.001)


def wait_until(condition):
    """Give the seconds until a condition holds."""
    started = time.monotonic()
    pause = threading.Event()
    while not condition():
        if time.monotonic() - started > LIMIT:
            raise TimeoutError(condition)
        pause.wait(LOOK)
    return time.monotonic() - started


def control(router):
    return client.make_client(router.control, builders.OPERATOR_KEY)


def revision(router):
    return control(router).router_view().revision


def submit(router, record, number):
    submission = records.Submission(f'bench-{number}', [record])
    return control(router).submit(submission).revision


def spread(routers):
    """Give seconds from accepted until in force on all, for each change."""
    took = []
    for number in range(CHANGES):
        record = records.Submitted(
            'model', 'spread', spec={'layers': number + 1}
        )
        accepted = submit(routers[number % len(routers)], record, number)
        started = time.monotonic()
        for router in routers:
            wait_until(lambda r=router: revision(r) >= accepted)
        took.append(time.monotonic() - started)
    return took


def leaving(site, routers):
    """Give seconds from accepted 'leaving' to the last new request there."""
    name = 'etiquetado-0'
    spec = dict(control(routers[0]).get('endpoint', name)[0]['spec'])
    spec['state'] = 'leaving'
    stopped = threading.Event()
    threads = [
        threading.Thread(target=call_always, args=(router, stopped))
        for router in routers
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    submit(routers[0], records.Submitted('endpoint', name, spec=spec), 'l')
    accepted = time.monotonic()
    last, seen = accepted, len(site.services[name].ledger)
    while time.monotonic() - accepted < 4.0:
        time.sleep(LOOK)
        now = len(site.services[name].ledger)
        if now > seen:
            last, seen = time.monotonic(), now
    stopped.set()
    for thread in threads:
        thread.join()
    return last - accepted


def call_always(router, stopped):
    key = deployments.account_key('cocina-1')
    while not stopped.wait(0.01):
        builders.HTTP.request(
            'POST',
            f'http://{router.callers}/v1/services/etiquetado',
            json={},
            headers={'Authorization': f'Bearer {key}'},
        )


def lease_rows(site):
    rows = site.platform.table.scan(reconciling.LEASE_PREFIX)
    return [msgspec.convert(row.value, leases.LeaseRow) for row in rows]


def handover(site, routers, number):
    """Give seconds until a router's leases are held by others."""
    wait_until(lambda: len(lease_rows(site)) == reconciling.SHARE_COUNT)
    counts = {
        router.id: sum(row.holder == router.id for row in lease_rows(site))
        for router in routers
    }
    leaver = max(routers, key=lambda router: counts[router.id])
    leaver.signal(number)
    took = wait_until(
        lambda: all(
            row.holder not in (leaver.id, leases.NO_HOLDER)
            for row in lease_rows(site)
        )
    )
    routers.remove(leaver)
    return took


def control_cost(routers):
    """Give bytes a second and share of a core of each idle router."""
    before = [control(r).counters() for r in routers]
    cpu = [router.cpu_seconds() for router in routers]
    time.sleep(IDLE_SECONDS)
    after = [control(r).counters() for r in routers]
    moved = [
        (b['control.bytes'] - a['control.bytes']) / IDLE_SECONDS
        for a, b in zip(before, after)
    ]
    used = [
        (router.cpu_seconds() - start) / IDLE_SECONDS
        for router, start in zip(routers, cpu)
    ]
    return {
        'bytes_s': round(statistics.mean(moved)),
        'core': round(statistics.mean(used), 4),
        'mb': round(statistics.mean(r.megabytes() for r in routers)),
    }


def cost_rows():
    """Give control costs by peers, endpoints and records."""
    rows = []
    for peers, engines, extra in (
        (1, 6, 0),
        (3, 6, 0),
        (6, 6, 0),
        (9, 6, 0),
        (3, 24, 0),
        (9, 24, 0),
        (9, 48, 0),
        (3, 6, 2000),
    ):
        site = builders.small_site(engines=engines, speed=SPEED)
        routers = processes.start(site, peers)
        if extra:
            add_records(routers[0], extra)
        time.sleep(3.0)
        row = {'peers': peers - 1, 'endpoints': engines + 2, 'extra': extra}
        calls = table_calls(site)
        row.update(control_cost(routers))
        row['table_calls_s'] = (table_calls(site) - calls) / IDLE_SECONDS
        rows.append(row)
        typer.echo(json.dumps(row))
        processes.stop_all(routers)
        site.stop()
    return rows


def table_calls(site):
    table = site.platform.table
    return table.reads + table.writes


def add_records(router, count):
    made = [
        records.Submitted(
            'account',
            f'extra-{n}',
            spec={'key_sha256': records.hash_key(f'extra-{n}')},
        )
        for n in range(count)
    ]
    control(router).submit(records.Submission('extra', made))


def main(out: pathlib.Path = pathlib.Path('bench/out/configuration.json')):
    """Print spread, leaving, handover and control costs."""
    site = builders.small_site(speed=SPEED)
    routers = processes.start(site, ROUTERS, drain_seconds=0.2)
    time.sleep(3.0)
    took = spread(routers)
    result = {
        'spread_worst_s': round(max(took), 3),
        'spread_median_s': round(statistics.median(took), 3),
        'changes': CHANGES,
        'leaving_last_request_s': round(leaving(site, routers), 3),
        'handover_sigkill_s': round(
            handover(site, routers, signal.SIGKILL), 2
        ),
        'handover_sigterm_s': round(
            handover(site, routers, signal.SIGTERM), 2
        ),
    }
    typer.echo(json.dumps(result))
    processes.stop_all(routers)
    site.stop()
    result['costs'] = cost_rows()
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(result, indent=1))


if __name__ == '__main__':
    typer.run(main)
