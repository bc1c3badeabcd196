"""Fakes for the runners: clock, placement, and engines with faults."""

__all__ = ['Fault', 'FaultyEngines', 'DirectPlacement', 'FakeClock', 'Bench']

import collections
import enum
import random

from ibisring_backing import engines
from ibisring_policy import dispatch
from ibisring_policy import retries
from ibisring_records import exceptions
from ibisring_router import attempterrors
from ibisring_router import engineclient
from ibisring_router import generating
from ibisring_router import metrics
from ibisring_standins import engine
from ibisring_standins import firststage

SEED = 7


class Fault(enum.StrEnum):
    """Fault of a request, or of the next event on its way to the router."""

    DROP = 'drop'
    REPEAT = 'repeat'
    CUT = 'cut'
    SILENCE = 'silence'
    CROSS = 'cross'
    LATE = 'late'
    SWAP = 'swap'
    REFUSE = 'refuse'
    LOSE_REQUEST = 'lose_request'


class FakeClock:
    """Time that advances only when set or by `sleep`."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


class DirectPlacement:
    """Calls the dispatcher directly instead of through its actor.

    A ticket that would have to wait is refused, since nothing runs
    concurrently that could free an endpoint.
    """

    def __init__(self, dispatcher, clock):
        self.dispatcher = dispatcher
        self.clock = clock

    def place(self, ticket, is_gone):
        for result in self.dispatcher.offer(ticket, self.clock()):
            if isinstance(result, dispatch.Grant):
                if result.ticket.id == ticket.id:
                    return result
        self.dispatcher.cancel(ticket.id, self.clock())
        raise exceptions.Overloaded('no endpoint is free', retry_after=1.0)

    def finish(self, report):
        self.dispatcher.finish(report, self.clock())

    def observe(self, endpoint, load):
        self.dispatcher.observe(endpoint, load, self.clock())


class Bench:
    """A real runner and dispatcher with engines in memory.

    Parameters
    ----------
    current : configuration.Configuration
    """

    def __init__(self, current):
        self.clock = FakeClock()
        self.dispatcher = dispatch.make_dispatcher(random.Random(SEED))
        self.dispatcher.configure(current, self.clock())
        self.engines = {
            name: engine.make_engine(name, endpoint.spec)
            for name, endpoint in current.endpoints.items()
            if endpoint.spec.model
        }
        self.channel = FaultyEngines(self.engines, self.clock)
        self.metrics = metrics.make_metrics()
        self.runner = generating.GenerationRunner(
            DirectPlacement(self.dispatcher, self.clock),
            self.channel,
            self.metrics,
            self.clock,
            self.clock.sleep,
            random.Random(SEED),
        )


class _Attempt:
    """An attempt at its first stage: past events and the source of more."""

    def __init__(self, order, transport):
        self.events = []
        self.cancelled = False
        self.source = firststage.generate(
            order, transport, lambda: self.cancelled
        )

    def event(self, index):
        """Return an event by index, or None past the end."""
        while len(self.events) <= index:
            event = next(self.source, None)
            if event is None:
                return None
            self.events.append(event)
        return self.events[index]


class _DirectTransport(firststage.Transport):
    def __init__(self, channel):
        self.channel = channel

    def _engine(self, stage):
        if stage.endpoint in self.channel.dead:
            raise firststage.StageLost(stage.endpoint, 'dead')
        return self.channel.engines[stage.endpoint]

    def begin(self, stage, begin):
        stage_engine = self._engine(stage)
        try:
            return stage_engine.begin(begin)
        except exceptions.PlanInvalid as error:
            raise firststage.StageLost(stage.endpoint, str(error)) from error

    def step(self, stage, step):
        stage_engine = self._engine(stage)
        self.channel.clock.sleep(self.channel.delays.get(stage.endpoint, 0.0))
        try:
            return stage_engine.step(step)
        except exceptions.IbisringError as error:
            raise firststage.StageLost(stage.endpoint, str(error)) from error


class FaultyEngines(engineclient.EngineClient):
    """Engines in memory behind a channel with injected faults.

    Parameters
    ----------
    stage_engines : dict of str to engine.StageEngine
    clock : FakeClock

    Attributes
    ----------
    delays : dict of str to float
        Seconds per step, by endpoint.
    faults : collections.deque of Fault or None
        One for each coming event; None delivers it unchanged.
    applied : collections.Counter
        Faults that took effect.
    """

    def __init__(self, stage_engines, clock):
        self.engines = stage_engines
        self.clock = clock
        self.delays = {}
        self.dead = set()
        self.attempts = {}
        self.faults = collections.deque()
        self.applied = collections.Counter()
        self.cancelled = set()

    def _next_fault(self):
        return self.faults.popleft() if self.faults else None

    def _fail(self, failure, fault):
        self.applied[fault] += 1
        raise attempterrors.AttemptFailed(failure, str(fault))

    def _check_first_stage(self, order):
        if order.stages[0].endpoint in self.dead:
            self._fail(retries.Failure.NOT_SENT, 'dead_head')

    def generate(self, order, on_load):
        self._check_first_stage(order)
        fault = self.faults[0] if self.faults else None
        if fault is Fault.REFUSE:
            self.faults.popleft()
            self._fail(retries.Failure.REFUSED, fault)
        if fault is Fault.LOSE_REQUEST:
            self.faults.popleft()
            self._fail(retries.Failure.SILENT, fault)
        key = (order.request, order.attempt)
        self.attempts[key] = _Attempt(order, _DirectTransport(self))
        on_load(order.stages[0].endpoint, engines.EngineLoad(1, 0, 8))
        yield from self._follow(order, 0)

    def resume(self, order, position):
        self._check_first_stage(order)
        if (order.request, order.attempt) not in self.attempts:
            self._fail(retries.Failure.REFUSED, 'unknown_attempt')
        yield from self._follow(order, position - len(order.delivered))

    def cancel(self, order):
        key = (order.request, order.attempt)
        self.cancelled.add(key)
        if key in self.attempts:
            self.attempts[key].cancelled = True

    def _follow(self, order, index):
        attempt = self.attempts[order.request, order.attempt]
        while True:
            self._check_first_stage_alive(order)
            event = attempt.event(index)
            if event is None:
                return
            yield from self._deliver(order, attempt, index, event)
            index += 1

    def _check_first_stage_alive(self, order):
        if order.stages[0].endpoint in self.dead:
            self._fail(retries.Failure.CUT, 'head_died')

    def _deliver(self, order, attempt, index, event):
        fault = self._next_fault()
        if fault in (None, Fault.REFUSE, Fault.LOSE_REQUEST):
            yield event
            return
        if fault is Fault.CUT:
            self._fail(retries.Failure.CUT, fault)
        if fault is Fault.SILENCE:
            self._fail(retries.Failure.SILENT, fault)
        self.applied[fault] += 1
        if fault is Fault.DROP:
            return
        if fault is Fault.REPEAT:
            yield event
        elif fault is Fault.SWAP:
            following = attempt.event(index + 1)
            if following is not None:
                yield following
        else:
            yield from self._foreign_events(order, fault)
        yield event

    def _foreign_events(self, order, fault):
        """Yield events of other requests or of older attempts."""
        for (request, number), attempt in list(self.attempts.items()):
            is_same_request = request == order.request
            is_late = (
                fault is Fault.LATE
                and is_same_request
                and number < order.attempt
            )
            is_crossed = fault is Fault.CROSS and not is_same_request
            if is_late or is_crossed:
                yield from attempt.events
