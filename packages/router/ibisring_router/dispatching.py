"""The actor that owns admission, placement and endpoint states."""

__all__ = [
    'Offer',
    'Finish',
    'Cancel',
    'Tick',
    'Configure',
    'Observe',
    'ObserveStatus',
    'Inspect',
    'DispatchActor',
    'Placement',
    'start_dispatcher',
]

import concurrent.futures
import random
import time

from ibisring_backing import engines
from ibisring_policy import admission
from ibisring_policy import dispatch
from ibisring_records import configuration as configuration_module
from ibisring_records import exceptions
from ibisring_router import actors
import msgspec

GONE_CHECK_SECONDS = 0.25


class Offer(msgspec.Struct):
    """Asks for placement; `slot` gets a `Grant` or an error."""

    ticket: admission.Ticket
    slot: concurrent.futures.Future


class Finish(msgspec.Struct):
    report: dispatch.AttemptReport


class Cancel(msgspec.Struct):
    ticket_id: str


class Tick(msgspec.Struct):
    pass


class Configure(msgspec.Struct):
    configuration: configuration_module.Configuration


class Observe(msgspec.Struct):
    endpoint: str
    load: engines.EngineLoad


class ObserveStatus(msgspec.Struct):
    endpoint: configuration_module.Endpoint
    ready: bool
    draining: bool


class Inspect(msgspec.Struct):
    """Calls a function with the dispatcher, for reports and tests."""

    function: object


class DispatchActor(actors.MessageActor):
    """Feeds the pure dispatcher one message at a time.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, dispatcher, clock):
        super().__init__()
        self.dispatcher = dispatcher
        self.clock = clock
        self.slots = {}

    def handlers(self):
        return {
            Offer: self.on_offer,
            Finish: self.on_finish,
            Cancel: self.on_cancel,
            Tick: self.on_tick,
            Configure: self.on_configure,
            Observe: self.on_observe,
            ObserveStatus: self.on_observe_status,
            Inspect: self.on_inspect,
        }

    def on_offer(self, message):
        ticket = message.ticket
        self.slots[ticket.id] = message.slot
        try:
            results = self.dispatcher.offer(ticket, self.clock())
        except exceptions.IbisringError as error:
            del self.slots[ticket.id]
            message.slot.set_exception(error)
            return
        self._settle(results)

    def on_finish(self, message):
        results = self.dispatcher.finish(message.report, self.clock())
        self._settle(results)

    def on_cancel(self, message):
        slot = self.slots.pop(message.ticket_id, None)
        results = self.dispatcher.cancel(message.ticket_id, self.clock())
        if slot is not None:
            slot.set_exception(exceptions.CallerGone('cancelled in queue'))
        self._settle(results)

    def on_tick(self, message):
        self._settle(self.dispatcher.tick(self.clock()))

    def on_configure(self, message):
        results = self.dispatcher.configure(
            message.configuration, self.clock()
        )
        self._settle(results)

    def on_observe(self, message):
        now = self.clock()
        self.dispatcher.observe(message.endpoint, message.load, now)

    def on_observe_status(self, message):
        self.dispatcher.observe_status(
            message.endpoint, message.ready, message.draining
        )

    def on_inspect(self, message):
        return message.function(self.dispatcher)

    def _settle(self, results):
        for result in results:
            slot = self.slots.pop(result.ticket.id, None)
            if slot is None:
                continue
            if isinstance(result, dispatch.Grant):
                slot.set_result(result)
            else:
                slot.set_exception(result.error)


class Placement:
    """How request threads speak to the dispatch actor."""

    def __init__(self, actor):
        self.actor = actor

    def place(self, ticket, is_gone):
        """Wait for a grant.

        Parameters
        ----------
        ticket : admission.Ticket
        is_gone : callable
            Says whether the caller has left; asked while waiting.

        Returns
        -------
        dispatch.Grant

        Raises
        ------
        IbisringError
            Nothing ran.
        """
        slot = concurrent.futures.Future()
        self.actor.tell(Offer(ticket, slot))
        cancelled = False
        while True:
            try:
                return slot.result(timeout=GONE_CHECK_SECONDS)
            except concurrent.futures.TimeoutError:
                if not cancelled and is_gone():
                    cancelled = True
                    self.actor.tell(Cancel(ticket.id))

    def finish(self, report):
        """Report how a granted attempt went."""
        self.actor.tell(Finish(report))

    def observe(self, endpoint, load):
        """Pass on an endpoint's own report of its load."""
        self.actor.tell(Observe(endpoint, load))

    def observe_status(self, endpoint, ready, draining):
        """Pass on whether an endpoint can take work."""
        self.actor.tell(ObserveStatus(endpoint, ready, draining))

    def configure(self, configuration):
        """Put a configuration into force for placement."""
        self.actor.tell(Configure(configuration))

    def tick(self):
        """Let time pass: deadlines are looked at."""
        self.actor.tell(Tick())

    def inspect(self, function):
        """Give a function's result on the dispatcher, run by the actor."""
        return self.actor.ask(Inspect(function))

    def stop(self):
        self.actor.stop()


def start_dispatcher(router_id, clock=time.monotonic):
    """Start the dispatch actor and give its `Placement`."""
    dispatcher = dispatch.make_dispatcher(random.Random(), router_id)
    return Placement(DispatchActor.start(dispatcher, clock))
