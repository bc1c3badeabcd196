"""Speaking with model engines."""

__all__ = [
    'EngineClient',
    'HttpEngineClient',
    'parse_load',
    'make_engine_client',
]

import abc
from typing import Union

from ibisring_backing import engines
from ibisring_policy import retries
from ibisring_records import exceptions
from ibisring_router import attempterrors
from ibisring_web import calls
from ibisring_web import events
import msgspec

CANCEL_TIMEOUT = 1.0

_EVENT = msgspec.json.Decoder(
    Union[engines.TokenEvent, engines.FinishEvent, engines.FailureEvent]
)


def parse_load(text):
    """Parse a load header 'RUNNING/WAITING/SLOTS'; None if it is damaged.

    Examples
    --------
    >>> parse_load('3/1/8').waiting
    1
    """
    try:
        running, waiting, slots = (int(part) for part in text.split('/'))
    except (ValueError, AttributeError):
        return None
    return engines.EngineLoad(running, waiting, slots)


class EngineClient(abc.ABC):
    """Sends attempts to the head of a chain and yields their events."""

    @abc.abstractmethod
    def generate(self, order, on_load):
        """Begin an attempt.

        Parameters
        ----------
        order : engines.GenerateOrder
        on_load : callable
            Given the head's endpoint name and `engines.EngineLoad`.

        Yields
        ------
        TokenEvent or FinishEvent or FailureEvent

        Raises
        ------
        AttemptFailed
        """

    @abc.abstractmethod
    def resume(self, order, position):
        """Yield the same attempt's events from a position, as `generate`."""

    @abc.abstractmethod
    def cancel(self, order):
        """Tell the head to stop an attempt; never raises."""


class HttpEngineClient(EngineClient):
    """Engines over HTTP with server-sent events.

    Parameters
    ----------
    caller : calls.Caller
        Its read timeout is the longest silence between two tokens.
    """

    def __init__(self, caller):
        self.caller = caller

    def generate(self, order, on_load):
        head = order.stages[0]
        response = self._open(head, '/v1/generate', order)
        load = parse_load(response.headers.get(engines.LOAD_HEADER))
        if load is not None:
            on_load(head.endpoint, load)
        yield from self._events(response, head.address)

    def resume(self, order, position):
        head = order.stages[0]
        request = engines.ResumeRequest(order.request, order.attempt, position)
        response = self._open(head, '/v1/resume', request)
        yield from self._events(response, head.address)

    def cancel(self, order):
        head = order.stages[0]
        request = engines.CancelRequest(order.request, order.attempt)
        try:
            self.caller.call(
                'POST',
                head.address,
                '/v1/cancel',
                request,
                read_timeout=CANCEL_TIMEOUT,
            )
        except (calls.CallError, exceptions.IbisringError):
            # The head drops an attempt that nobody follows by itself.
            return

    def _open(self, head, path, message):
        # A kept-alive connection may have gone silent for good while new
        # ones work, so each attempt gets a connection of its own.
        try:
            response = self.caller.open(
                'POST', head.address, path, message, fresh=True
            )
        except calls.NotSent as error:
            raise attempterrors.AttemptFailed(
                retries.Failure.NOT_SENT, str(error)
            ) from error
        except calls.AnswerLost as error:
            raise attempterrors.from_answer_lost(error) from error
        if response.status != 200:
            raise _refusal(response, head.address)
        return response

    def _events(self, response, address):
        chunks = calls.read_stream(response, address)
        try:
            for data in events.decode(chunks):
                yield _EVENT.decode(data)
        except calls.AnswerLost as error:
            raise attempterrors.from_answer_lost(error) from error
        except msgspec.MsgspecError as error:
            raise attempterrors.AttemptFailed(
                retries.Failure.CUT, f'damaged event: {error}'
            ) from error
        finally:
            chunks.close()


def _refusal(response, address):
    """Sort an engine's error answer into a failure."""
    try:
        data = calls.read_all(response, address)
    except calls.AnswerLost as error:
        return attempterrors.from_answer_lost(error)
    error = calls.decode_error(data, response.status)
    if error.outcome is exceptions.Outcome.NOT_RUN:
        return attempterrors.AttemptFailed(
            retries.Failure.REFUSED, error.detail
        )
    return attempterrors.AttemptFailed(retries.Failure.FAILED, error.detail)


def make_engine_client(token_timeout, connect_timeout):
    """Make the HTTP engine client."""
    return HttpEngineClient(calls.make_caller(connect_timeout, token_timeout))
