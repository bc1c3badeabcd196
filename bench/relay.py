"""Cost of a router: CPU a token, memory a stream, added latency, decisions.

A fake engine process streams tokens at a set pace, so that its own work is
not counted.  Latency is the time between tokens less the pace.

    python bench/relay.py [--out FILE]
"""

import json
import math
import multiprocessing
import pathlib
import random
import threading
import time

from hdrh import histogram
from ibisring_backing import engines
from ibisring_policy import admission
from ibisring_policy import dispatch
from ibisring_records import configuration
from ibisring_records import records
from ibisring_records import submitting
from ibisring_router.tests import processes
from ibisring_standins import deployments
from ibisring_standins import embedded
from ibisring_web import calls
from ibisring_web import events
from ibisring_web import routes
from ibisring_web import serving
import typer
import urllib3

PACE = 0.036
SECONDS = 12.0
CALLS = 1000
MODEL = 'modelo-cocina'
LAYERS = deployments.LAYERS
STREAMS = (1, 100, 200)
DECISIONS = 2000
# So that parts of slots are worked out anew as often as in service.
DECISION_SECONDS = 0.01
STREAMS_A_READER = 50
ENGINES = 2


def run_engine(pipe):
    """Serve one fake engine that holds all layers and keeps a pace."""

    def generate(request):
        order = routes.read_body(request, engines.GenerateOrder)
        return routes.event_response(stream(order))

    def status(request):
        load = engines.EngineLoad(0, 0, 1000)
        return routes.json_response(
            engines.EngineStatus(
                'e', MODEL, f'{MODEL}@1', 0, LAYERS - 1, True, False, [], load
            )
        )

    app = routes.Application(
        [
            routes.route('POST', '/v1/generate', generate),
            routes.route('POST', '/v1/cancel', cancel),
            routes.route('GET', '/v1/status', status),
        ]
    )
    listener = serving.make_listener(app, threads=260).start()
    pipe.send(listener.address)
    pipe.recv()


def start_engine():
    """Start a fake engine; give its process and address."""
    ours, theirs = multiprocessing.Pipe()
    engine = multiprocessing.Process(
        target=run_engine, args=(theirs,), daemon=True
    )
    engine.start()
    return engine, ours.recv()


def stream(order):
    start = time.monotonic()
    for position in range(order.max_tokens):
        wait = start + position * PACE - time.monotonic()
        time.sleep(max(0.0, wait))
        yield events.encode(
            engines.TokenEvent(
                order.request, order.attempt, position, 'palabra '
            )
        )
    yield events.encode(
        engines.FinishEvent(
            order.request, order.attempt, order.max_tokens, 'length'
        )
    )


def make_site(addresses):
    """Give a platform whose records name the fake engines only."""
    site = embedded.Site()
    site.listen(
        'platform',
        embedded.platformserver.make_app(site.platform),
        embedded.PLATFORM_THREADS,
    )
    deployment = deployments.cocinas(
        len(addresses), 0, engine_at=addresses.__getitem__
    )
    for record in deployment.records:
        if record.kind == 'endpoint':
            record.spec.update(
                first_layer=0, last_layer=LAYERS - 1, slots=1000
            )
    change = submitting.make_change(
        records.Submission('bench', deployment.records), {}
    )
    site.platform.table.commit({}, submitting.rows_to_write(change))
    return site


def read_streams(address, body, headers, count, pipe):
    """Read some streams at once; send the gaps between tokens, in us.

    A chunk is an event here, so nothing needs decoding: a reader that
    decodes costs more than the router it measures.
    """
    gaps = []

    def read():
        response = urllib3.PoolManager().request(
            'POST',
            f'http://{address}/v1/completions',
            json=body,
            headers=headers,
            preload_content=False,
            retries=False,
        )
        last = None
        for _ in response.stream():
            now = time.monotonic()
            if last is not None:
                gaps.append(int(1e6 * (now - last)))
            last = now

    threads = [threading.Thread(target=read) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    pipe.send(gaps)


def read_by_processes(address, body, headers, count):
    """Read streams in processes of their own; give a histogram."""
    parts = [
        min(STREAMS_A_READER, count - start)
        for start in range(0, count, STREAMS_A_READER)
    ]
    readers = []
    for part in parts:
        ours, theirs = multiprocessing.Pipe()
        reader = multiprocessing.Process(
            target=read_streams, args=(address, body, headers, part, theirs)
        )
        reader.start()
        readers.append((reader, ours))
    gaps = histogram.HdrHistogram(1, 60_000_000, 3)
    for reader, pipe in readers:
        for gap in pipe.recv():
            gaps.record_value(gap)
        reader.join()
    return gaps


def added(gaps, percentile):
    micros = gaps.get_value_at_percentile(percentile)
    return round(micros / 1000.0 - PACE * 1000.0, 2)


def measure_streams(site, count):
    """Give the cost of so many streams through one router."""
    (router,) = processes.start(site, 1, caller_threads=280)
    tokens = int(SECONDS / PACE)
    body = {
        'model': MODEL,
        'prompt': 'x',
        'max_tokens': tokens,
        'stream': True,
    }
    key = deployments.account_key('cocina-1')
    time.sleep(2.0)
    megabytes, cpu = router.megabytes(), router.cpu_seconds()
    peak = []
    timer = threading.Timer(
        SECONDS / 2, lambda: peak.append(router.megabytes())
    )
    timer.start()
    started = time.monotonic()
    gaps = read_by_processes(
        router.callers, body, {'Authorization': f'Bearer {key}'}, count
    )
    elapsed = time.monotonic() - started
    used = router.cpu_seconds() - cpu
    router.kill()
    return {
        'streams': count,
        'tokens_s': round(count * tokens / elapsed),
        'core': round(used / elapsed, 3),
        'cpu_ms_token': round(1000.0 * used / (count * tokens), 3),
        'mb_stream': round((peak[0] - megabytes) / count, 3),
        'added_p50_ms': added(gaps, 50),
        'added_p99_ms': added(gaps, 99),
        'added_p95_ms': added(gaps, 95),
    }


def decisions(count):
    """Give placements a second with so many engines in force."""
    stored = [
        records.Stored(r.kind, r.name, r.schema, r.spec, 1, 's')
        for r in deployments.cocinas(count, 3).records
    ]
    for record in stored:
        record.spec.pop('tokens_per_second', None)
    dispatcher = dispatch.make_dispatcher(random.Random(1))
    dispatcher.configure(configuration.build(1, stored), 0.0)
    names = [f'router-{number}' for number in range(6)]
    dispatcher.set_routers(names, names)
    target = admission.Target(model=MODEL, version=f'{MODEL}@1')
    started = time.perf_counter()
    for number in range(DECISIONS):
        ticket = admission.Ticket(
            str(number), 'cocina-1', 1, target, 10.0, math.inf, 0.0
        )
        now = number * DECISION_SECONDS
        dispatcher.offer(ticket, now)
        dispatcher.finish(dispatch.AttemptReport(str(number), 0.1, 10), now)
    took = time.perf_counter() - started
    return {'engines': count, 'decisions_s': round(DECISIONS / took)}


def call_cost(address):
    """Give the CPU of one small JSON call, as router-driven steps need."""
    caller = calls.make_caller()
    message = engines.CancelRequest('0' * 32, 1)
    started = time.process_time()
    for _ in range(CALLS):
        caller.call('POST', address, '/v1/cancel', message)
    used = time.process_time() - started
    return {'call_cpu_ms': round(1000.0 * used / CALLS, 3)}


def cancel(request):
    """Answer a cancellation, which fake streams don't need."""
    return routes.json_response({})


def main(out: pathlib.Path = pathlib.Path('bench/out/relay.json')):
    """Print the cost of streams and of decisions."""
    rows = [decisions(40), decisions(1200)]
    for row in rows:
        typer.echo(json.dumps(row))
    fakes = [start_engine() for _ in range(ENGINES)]
    rows.append(call_cost(fakes[0][1]))
    typer.echo(json.dumps(rows[-1]))
    site = make_site([address for _, address in fakes])
    for count in STREAMS:
        rows.append(measure_streams(site, count))
        typer.echo(json.dumps(rows[-1]))
    site.stop()
    for engine, _ in fakes:
        engine.kill()
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(rows, indent=1))


if __name__ == '__main__':
    typer.run(main)
