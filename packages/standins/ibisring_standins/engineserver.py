"""HTTP server of the model engine stand-in."""

__all__ = ['EngineServer', 'make_server', 'make_app']

import threading
import time

from ibisring_backing import engines
from ibisring_records import exceptions
from ibisring_standins import engine as engine_module
from ibisring_standins import faults
from ibisring_standins import firststage
from ibisring_web import calls
from ibisring_web import events
from ibisring_web import routes
import msgspec

ORPHAN_TIMEOUT_SECONDS = 3.0
MAX_KEPT_GENERATIONS = 256
FAULT_POLL_SECONDS = 0.05


class Speed(msgspec.Struct):
    """Seconds per step of this stage, and per prefilled token."""

    step_seconds: float = 0.0
    prefill_seconds: float = 0.0


class _Generation:
    """An attempt at its first stage; it outlives the caller's connection."""

    def __init__(self, order):
        self.order = order
        self.events = []
        self.ended = False
        self.cancelled = False
        self.followers = 0
        self.orphaned_at = None
        self.changed = threading.Condition()

    def publish(self, event, last=False):
        with self.changed:
            self.events.append(event)
            self.ended = last
            self.changed.notify_all()

    def is_abandoned(self, now):
        """Return whether it has had no connection for too long."""
        if self.followers or self.orphaned_at is None:
            return False
        return now - self.orphaned_at > ORPHAN_TIMEOUT_SECONDS


class EngineServer:
    """Serves a `StageEngine`, which can be any stage of a chain."""

    def __init__(self, engine, speed):
        self.engine = engine
        self.speed = speed
        self.caller = calls.make_caller(read_timeout=2.0)
        load = engine.status.load
        self.slots = engine_module.Slots(load.slots, 4 * load.slots)
        self.generations = {}
        self.lock = threading.Lock()
        self.cancelled_count = 0

    # Requests to any stage

    def begin(self, request):
        message = routes.read_body(request, engine_module.Begin)
        return routes.json_response(self.begin_local(message))

    def begin_local(self, message):
        return self.engine.begin(message, self._import_cache)

    def _import_cache(self, address, request_id):
        try:
            return self.caller.call('GET', address, f'/kv/{request_id}')
        except (calls.CallError, exceptions.IbisringError):
            return None

    def export_cache(self, request, request_id):
        position = self.engine.cached_position(request_id)
        return routes.json_response(position)

    def step(self, request):
        message = routes.read_body(request, engine_module.Step)
        state = self.step_local(message)
        return routes.json_response(
            msgspec.structs.replace(message, state=state)
        )

    def step_local(self, message):
        delay = self.speed.step_seconds + self.engine.faults.step_delay
        if delay:
            time.sleep(delay)
        return self.engine.step(message)

    def drop_cache(self, request):
        message = routes.read_body(request, engines.CancelRequest)
        self.engine.drop_cache(message.request, message.attempt)
        return routes.json_response({})

    # Requests to the first stage

    def generate(self, request):
        order = routes.read_body(request, engines.GenerateOrder)
        if self.engine.faults.never_answer:
            self._hang()
        if self.engine.faults.refuse or not self.engine.status.loaded:
            raise exceptions.EndpointRefused(
                f'{self.engine.status.endpoint} takes no work',
                retry_after=0.5,
            )
        if not self.slots.acquire(order.rank, timeout=30):
            raise exceptions.EndpointRefused('queue full', retry_after=0.5)
        generation = _Generation(order)
        with self.lock:
            self.generations[order.request, order.attempt] = generation
            self._evict_finished()
        thread = threading.Thread(
            target=self._run, args=(generation,), daemon=True
        )
        thread.start()
        return self._stream(generation, len(order.delivered))

    def _evict_finished(self):
        while len(self.generations) > MAX_KEPT_GENERATIONS:
            oldest = next(iter(self.generations))
            if not self.generations[oldest].ended:
                break
            del self.generations[oldest]

    def resume(self, request):
        message = routes.read_body(request, engines.ResumeRequest)
        with self.lock:
            key = (message.request, message.attempt)
            generation = self.generations.get(key)
        if generation is None:
            raise exceptions.NotFound(f'attempt {key}')
        return self._stream(generation, message.position)

    def cancel(self, request):
        message = routes.read_body(request, engines.CancelRequest)
        with self.lock:
            key = (message.request, message.attempt)
            generation = self.generations.get(key)
        if generation is not None and not generation.ended:
            generation.cancelled = True
            self.cancelled_count += 1
        return routes.json_response({})

    def _stream(self, generation, position):
        load = self.load()
        headers = {
            engines.LOAD_HEADER: (
                f'{load.running}/{load.waiting}/{load.slots}'
            )
        }
        return routes.event_response(
            self._follow(generation, position), headers
        )

    def _follow(self, generation, position):
        """Yield a generation's events from a token position on."""
        first = position - len(generation.order.delivered)
        index = first
        with generation.changed:
            generation.followers += 1
        try:
            while True:
                with generation.changed:
                    generation.changed.wait_for(
                        lambda: len(generation.events) > index
                        or generation.ended
                    )
                    batch = generation.events[index:]
                    ended = generation.ended
                index += len(batch)
                for event in batch:
                    yield from self._emit(event)
                if ended and index >= len(generation.events):
                    return
        finally:
            with generation.changed:
                generation.followers -= 1
                generation.orphaned_at = time.monotonic()

    def _hang(self):
        """Block until the fault switches are replaced."""
        switches = self.engine.faults
        while self.engine.faults is switches:
            time.sleep(FAULT_POLL_SECONDS)

    def _emit(self, event):
        switches = self.engine.faults
        data = events.encode(event)
        if 0 <= switches.cut_at <= event.position and switches.cuts > 0:
            switches.cuts -= 1
            yield data[: len(data) // 2]
            # Ends without the final chunk, as when a process crashes.
            raise ConnectionAbortedError('cut by a fault')
        is_silent = 0 <= switches.silence_at <= event.position
        if is_silent and switches.silences > 0:
            switches.silences -= 1
            self._hang()
        yield data
        if switches.repeat_events:
            yield data

    def _run(self, generation):
        transport = _HttpTransport(self)
        ended = False
        try:
            for event in firststage.generate(
                generation.order,
                transport,
                lambda: generation.cancelled
                or generation.is_abandoned(time.monotonic()),
            ):
                ended = not isinstance(event, engines.TokenEvent)
                generation.publish(event, ended)
        finally:
            self.slots.release()
            self._drop_caches(generation.order)

    def is_local(self, stage):
        """Return whether this engine runs a stage."""
        return stage.endpoint == self.engine.status.endpoint

    def call_stage(self, stage, path, message, cls):
        """Call another stage.

        Raises
        ------
        firststage.StageLost
        """
        try:
            return self.caller.call(
                'POST', stage.address, path, message, cls=cls
            )
        except (calls.CallError, exceptions.IbisringError) as error:
            raise firststage.StageLost(stage.endpoint, str(error)) from error

    def _drop_caches(self, order):
        cancel = engines.CancelRequest(order.request, order.attempt)
        for stage in order.stages:
            if self.is_local(stage):
                continue
            try:
                self.call_stage(stage, '/stage/forget', cancel, object)
            except firststage.StageLost:
                continue

    # Status, orders and faults

    def load(self):
        """Return the current load."""
        slots = self.slots
        running, waiting = slots.running, len(slots.waiting)
        return engines.EngineLoad(running, waiting, slots.count)

    def status(self, request):
        status = msgspec.structs.replace(self.engine.status, load=self.load())
        return routes.json_response(status)

    def order(self, request):
        order = routes.read_body(request, engines.EngineOrder)
        status = self.engine.order(order)
        return routes.json_response(
            engines.OrderReport(order.id, True, status)
        )

    def set_faults(self, request):
        self.engine.faults = routes.read_body(request, faults.EngineFaults)
        return routes.json_response({})

    def ledger(self, request):
        return routes.json_response(self.engine.ledger)


class _HttpTransport(firststage.Transport):
    """Calls other stages over HTTP and the local one directly."""

    def __init__(self, server):
        self.server = server

    def begin(self, stage, begin):
        if self.server.is_local(stage):
            return self.server.begin_local(begin)
        return self.server.call_stage(
            stage, '/stage/begin', begin, engine_module.BeginReply
        )

    def step(self, stage, step):
        if self.server.is_local(stage):
            return self.server.step_local(step)
        reply = self.server.call_stage(
            stage, '/stage/step', step, engine_module.Step
        )
        return reply.state

    def prefill(self, tokens):
        seconds = self.server.speed.prefill_seconds * tokens
        if seconds:
            time.sleep(seconds)


def make_server(engine, speed=None):
    """Make the server of an engine."""
    return EngineServer(engine, speed or Speed())


def make_app(server):
    """Make the WSGI application of an engine server."""
    return routes.Application(
        [
            routes.route('POST', '/v1/generate', server.generate),
            routes.route('POST', '/v1/resume', server.resume),
            routes.route('POST', '/v1/cancel', server.cancel),
            routes.route('GET', '/v1/status', server.status),
            routes.route('POST', '/v1/orders', server.order),
            routes.route('POST', '/stage/begin', server.begin),
            routes.route('POST', '/stage/step', server.step),
            routes.route('POST', '/stage/forget', server.drop_cache),
            routes.route('GET', '/kv/<request_id>', server.export_cache),
            routes.route('PUT', '/faults', server.set_faults),
            routes.route('GET', '/ledger', server.ledger),
        ]
    )
