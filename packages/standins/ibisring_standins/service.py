"""A plain service stand-in, such as label lookup or alert dispatch."""

__all__ = ['PlainService', 'make_service', 'make_app']

import threading
import time

from ibisring_backing import engines
from ibisring_backing import services
from ibisring_records import exceptions
from ibisring_standins import faults
from ibisring_web import routes
import msgspec

FAULT_POLL_SECONDS = 0.05


class Run(msgspec.Struct):
    """A ledger entry: a call that ran."""

    request: str
    attempt: int
    body: object


class PlainService:
    """Responds to each call with its body and the number of the run."""

    def __init__(self, name, slots=8, seconds=0.0):
        self.name = name
        self.slots = slots
        self.seconds = seconds
        self.faults = faults.ServiceFaults()
        self.ledger = []
        self.running = 0
        self.lock = threading.Lock()

    def call(self, request):
        if self.faults.refuse:
            raise exceptions.EndpointRefused(f'{self.name} takes no work')
        body = routes.read_body(request, object)
        with self.lock:
            self.running += 1
        try:
            return self._run(request, body)
        finally:
            with self.lock:
                self.running -= 1

    def _run(self, request, body):
        run = Run(
            request.headers.get(services.REQUEST_HEADER, ''),
            int(request.headers.get(services.ATTEMPT_HEADER, '0')),
            body,
        )
        with self.lock:
            self.ledger.append(run)
            number = len(self.ledger)
        delay = self.seconds + self.faults.delay
        if delay:
            time.sleep(delay)
        switches = self.faults
        while switches.hang and self.faults is switches:
            time.sleep(FAULT_POLL_SECONDS)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return routes.event_response(_truncated_body())
        if self.faults.fail > 0:
            self.faults.fail -= 1
            raise exceptions.EndpointFailed(f'{self.name} failed the call')
        response = {'service': self.name, 'run': number, 'echo': body}
        load = f'{self.running}/0/{self.slots}'
        return routes.json_response(
            response, headers={engines.LOAD_HEADER: load}
        )

    def status(self, request):
        load = engines.EngineLoad(self.running, 0, self.slots)
        return routes.json_response(
            engines.EngineStatus(
                self.name, '', '', 0, 0, True, False, [], load
            )
        )

    def set_faults(self, request):
        self.faults = routes.read_body(request, faults.ServiceFaults)
        return routes.json_response({})

    def list_runs(self, request):
        return routes.json_response(self.ledger)


def _truncated_body():
    yield b'{"'
    raise ConnectionAbortedError('cut by a fault')


def make_service(name, slots=8, seconds=0.0):
    """Make a plain service."""
    return PlainService(name, slots, seconds)


def make_app(service):
    """Make the WSGI application of a plain service."""
    return routes.Application(
        [
            routes.route('POST', '/call', service.call),
            routes.route('GET', '/v1/status', service.status),
            routes.route('PUT', '/faults', service.set_faults),
            routes.route('GET', '/ledger', service.list_runs),
        ]
    )
