"""A store and engines in processes of their own.

In one process with the callers they would answer late themselves, which a
router can't tell from an engine that is lost.
"""

__all__ = ['EngineReport', 'StandIns', 'make_stand_ins']

import base64
import http.client
import json
import multiprocessing

from ibisring_adapter import store as store_module
from ibisring_adapter.tests import standin
from ibisring_adapter.tests import standinstore
from ibisring_soak import eventpacing
from ibisring_soak import lateness
from ibisring_soak import pausing
import msgspec

EVENT_SECONDS = 0.025
PLACES = 32
# Room for the prompts and answers of all places.
KV_TOKENS = 50000
# Each engine serves streams and status queries, the store long polls.
ENGINE_THREADS = 96
STORE_THREADS_PER_ROUTER = 4
SPARE_STORE_THREADS = 32
REPORT_SECONDS = 20.0
_CONTEXT = multiprocessing.get_context('spawn')


class EngineReport(msgspec.Struct):
    """What the engines of one process saw; times are monotonic seconds.

    `started` is when each request first ran, `finished` when the last event
    of one had been sent, by request id; `lateness` is of their process.
    """

    started: dict
    finished: dict
    lateness: lateness.Lateness


class SteadyEngine(eventpacing.PacedAnswers, pausing.PausingEngine):
    """A model server that is never slow and never ends."""

    def entry(self):
        """Return its entry in the store."""
        return {**super().entry(), 'Slots': PLACES}


class SteadySite(pausing.PausingSite):
    """A site whose model servers are `SteadyEngine`.

    Attributes
    ----------
    pacer : eventpacing.EventPacer
        Sends the events of their streams.
    """

    engine_class = SteadyEngine

    def __init__(self, store):
        super().__init__(store)
        self.pacer = eventpacing.EventPacer(EVENT_SECONDS)

    def configure(self, **changes):
        """Write a configuration with room for the streams of all places."""
        config = standin.configuration(**changes)
        engine = config['Services'][0]['Engine']
        engine |= {'Slots': PLACES, 'KvCapacity': KV_TOKENS}
        self.last_configuration = config
        self.store.put('op', 'config', config)


class RemoteStore:
    """Writes rows to the store of another process."""

    def __init__(self, address):
        self.address = address

    def put(self, table, key, value):
        """Write a row, as a server does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        change = {
            'Precondition': [],
            'Puts': [{'Table': table, 'Key': key, 'Value': data}],
            'Drop': [],
        }
        conn = http.client.HTTPConnection(self.address)
        headers = {'Content-Type': 'application/json'}
        conn.request(
            'POST', store_module.CHANGE_PATH, json.dumps(change), headers
        )
        status = conn.getresponse().status
        conn.close()
        if status != 200:
            raise RuntimeError(f'the store answered {status} to {key}')


def _serve_store(pipe, threads, is_resumable):
    """Run a store until told to stop (target of a process)."""
    store = standinstore.Store(threads=threads)
    route = standin.route(
        'stream',
        'streaming',
        standin.MODEL_SERVICE,
        18000,
        Resumable=is_resumable,
    )
    SteadySite(store).configure(routes=[route])
    ticker = lateness.Ticker().start_thread()
    pipe.send(store.address)
    pipe.recv()
    pipe.send(ticker.report())


def _serve_engines(pipe, names, store_address):
    """Run engines until told to stop (target of a process)."""
    site = SteadySite(RemoteStore(store_address))
    for name in names:
        site.add_engine(name, threads=ENGINE_THREADS)
    ticker = lateness.Ticker().start_thread()
    pipe.send(len(names))
    pipe.recv()
    started = {}
    for request, _, at, *_ in site.runs():
        started[request] = min(at, started.get(request, at))
    pipe.send(EngineReport(started, dict(site.finished), ticker.report()))


class _Process:
    """A process of stand-ins, told to report through a pipe."""

    def __init__(self, target, *arguments):
        self.pipe, other = _CONTEXT.Pipe()
        self.process = _CONTEXT.Process(
            target=target, args=(other, *arguments), daemon=True
        )
        self.process.start()
        # So that the end of the process ends the wait for its report.
        other.close()

    def receive(self):
        """Return what it sends next."""
        if not self.pipe.poll(REPORT_SECONDS):
            raise RuntimeError('a process of stand-ins does not answer')
        return self.pipe.recv()

    def ask_report(self):
        """Have it report; `receive` returns the report."""
        self.pipe.send(None)

    def stop(self):
        """End it."""
        self.process.kill()
        self.process.join()


class StandIns:
    """A store and some engines, in processes of their own.

    Attributes
    ----------
    store : str
        Address of the store.
    """

    def __init__(self, router_count, engine_count, processes, is_resumable):
        threads = SPARE_STORE_THREADS + STORE_THREADS_PER_ROUTER * router_count
        self.store_process = _Process(_serve_store, threads, is_resumable)
        self.store = self.store_process.receive()
        names = [f'e{number}' for number in range(1, engine_count + 1)]
        self.engine_processes = [
            _Process(_serve_engines, names[first::processes], self.store)
            for first in range(processes)
        ]
        for process in self.engine_processes:
            process.receive()

    def report(self):
        """Return the store's `Lateness` and the engines' reports."""
        processes = [self.store_process, *self.engine_processes]
        for process in processes:
            process.ask_report()
        store, *engines = [process.receive() for process in processes]
        return store, engines

    def stop(self):
        """End all processes."""
        for process in [self.store_process, *self.engine_processes]:
            process.stop()


def make_stand_ins(router_count, engine_count, processes, is_resumable):
    """Start a store and engines.

    Parameters
    ----------
    router_count, engine_count : int
    processes : int
        Over which the engines are spread.
    is_resumable : bool
        Whether streams may be resumed.
    """
    return StandIns(router_count, engine_count, processes, is_resumable)
