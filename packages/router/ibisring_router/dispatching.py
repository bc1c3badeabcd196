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

CALLER_CHECK_SECONDS = 0.25


class Offer(msgspec.Struct):
    """Asks for placement; `future` gets the `Grant` or an error."""

    ticket: admission.Ticket
    future: concurrent.futures.Future


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
    """Asks to call a function with the dispatcher."""

    function: object


class DispatchActor(actors.MessageActor):
    """Passes messages to the dispatcher, one at a time.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, dispatcher, clock):
        super().__init__()
        self.dispatcher = dispatcher
        self.clock = clock
        self.futures = {}

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
        self.futures[ticket.id] = message.future
        try:
            results = self.dispatcher.offer(ticket, self.clock())
        except exceptions.IbisringError as error:
            del self.futures[ticket.id]
            message.future.set_exception(error)
            return
        self._set_results(results)

    def on_finish(self, message):
        results = self.dispatcher.finish(message.report, self.clock())
        self._set_results(results)

    def on_cancel(self, message):
        future = self.futures.pop(message.ticket_id, None)
        results = self.dispatcher.cancel(message.ticket_id, self.clock())
        if future is not None:
            future.set_exception(exceptions.CallerGone('cancelled in queue'))
        self._set_results(results)

    def on_tick(self, message):
        self._set_results(self.dispatcher.tick(self.clock()))

    def on_configure(self, message):
        results = self.dispatcher.configure(
            message.configuration, self.clock()
        )
        self._set_results(results)

    def on_observe(self, message):
        now = self.clock()
        self.dispatcher.observe(message.endpoint, message.load, now)

    def on_observe_status(self, message):
        self.dispatcher.observe_status(
            message.endpoint, message.ready, message.draining
        )

    def on_inspect(self, message):
        return message.function(self.dispatcher)

    def _set_results(self, results):
        for result in results:
            future = self.futures.pop(result.ticket.id, None)
            if future is None:
                continue
            if isinstance(result, dispatch.Grant):
                future.set_result(result)
            else:
                future.set_exception(result.error)


class Placement:
    """Client of the dispatch actor, used by request threads."""

    def __init__(self, actor):
        self.actor = actor

    def place(self, ticket, is_gone):
        """Wait for a grant.

        Parameters
        ----------
        ticket : admission.Ticket
        is_gone : callable
            Returns whether the caller has disconnected; called while waiting.

        Returns
        -------
        dispatch.Grant

        Raises
        ------
        IbisringError
            The ticket was refused or cancelled, so nothing ran.
        """
        future = concurrent.futures.Future()
        self.actor.tell(Offer(ticket, future))
        cancelled = False
        while True:
            try:
                return future.result(timeout=CALLER_CHECK_SECONDS)
            except concurrent.futures.TimeoutError:
                if not cancelled and is_gone():
                    cancelled = True
                    self.actor.tell(Cancel(ticket.id))

    def finish(self, report):
        """Report the result of a granted attempt."""
        self.actor.tell(Finish(report))

    def observe(self, endpoint, load):
        """Pass on the load that an endpoint reported."""
        self.actor.tell(Observe(endpoint, load))

    def observe_status(self, endpoint, ready, draining):
        """Pass on whether an endpoint can take work."""
        self.actor.tell(ObserveStatus(endpoint, ready, draining))

    def configure(self, configuration):
        """Use a configuration for placement from now on."""
        self.actor.tell(Configure(configuration))

    def tick(self):
        """Check deadlines and waiting tickets at the current time."""
        self.actor.tell(Tick())

    def inspect(self, function):
        """Return `function(dispatcher)`, called in the actor's thread."""
        return self.actor.ask(Inspect(function))

    def stop(self):
        self.actor.stop()


def start_dispatcher(router_id, clock=time.monotonic):
    """Start the dispatch actor and return its `Placement`."""
    dispatcher = dispatch.make_dispatcher(random.Random(), router_id)
    return Placement(DispatchActor.start(dispatcher, clock))
