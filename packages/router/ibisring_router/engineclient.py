"""Clients of model engines."""

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

CANCEL_TIMEOUT_SECONDS = 1.0

_EVENT_DECODER = msgspec.json.Decoder(
    Union[engines.TokenEvent, engines.FinishEvent, engines.FailureEvent]
)


def parse_load(text):
    """Parse a load header 'RUNNING/WAITING/SLOTS'; None if invalid.

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
    """Sends attempts to the first stage of a chain and yields their events."""

    @abc.abstractmethod
    def generate(self, order, on_load):
        """Start an attempt and yield its events.

        Parameters
        ----------
        order : engines.GenerateOrder
        on_load : callable
            Called with the name of the first stage's endpoint and its
            `engines.EngineLoad`.

        Yields
        ------
        TokenEvent or FinishEvent or FailureEvent

        Raises
        ------
        AttemptFailed
        """

    @abc.abstractmethod
    def resume(self, order, position):
        """Resume an attempt and yield its events from a token position."""

    @abc.abstractmethod
    def cancel(self, order):
        """Cancel an attempt at its first stage; never raises."""


class HttpEngineClient(EngineClient):
    """Client of engines over HTTP with server-sent events.

    Parameters
    ----------
    caller : calls.Caller
        Its read timeout is the maximum time between two tokens, and its
        bounds are those of an answer's head and of an error.
    """

    def __init__(self, caller):
        self.caller = caller

    def generate(self, order, on_load):
        first_stage = order.stages[0]
        response = self._open_stream(first_stage, '/v1/generate', order)
        load = parse_load(response.headers.get(engines.LOAD_HEADER))
        if load is not None:
            on_load(first_stage.endpoint, load)
        yield from self._read_events(response, first_stage.address)

    def resume(self, order, position):
        first_stage = order.stages[0]
        request = engines.ResumeRequest(order.request, order.attempt, position)
        response = self._open_stream(first_stage, '/v1/resume', request)
        yield from self._read_events(response, first_stage.address)

    def cancel(self, order):
        first_stage = order.stages[0]
        request = engines.CancelRequest(order.request, order.attempt)
        try:
            self.caller.call(
                'POST',
                first_stage.address,
                '/v1/cancel',
                request,
                read_timeout=CANCEL_TIMEOUT_SECONDS,
            )
        except (calls.CallError, exceptions.IbisringError):
            # The first stage stops an attempt whose stream nobody reads.
            return

    def _open_stream(self, first_stage, path, message):
        # A kept-alive connection may hang forever while new ones work, so
        # each attempt opens a new one.
        try:
            response = self.caller.open(
                'POST',
                first_stage.address,
                path,
                message,
                fresh=True,
                is_stream=True,
            )
        except calls.NotSent as error:
            raise attempterrors.AttemptFailed(
                retries.Failure.NOT_SENT, str(error)
            ) from error
        except calls.AnswerLost as error:
            raise attempterrors.from_answer_lost(error) from error
        if response.status != 200:
            raise _failure_of_response(response, first_stage.address)
        return response

    def _read_events(self, response, address):
        chunks = calls.read_stream(response, address)
        try:
            for data in events.decode(chunks):
                yield _EVENT_DECODER.decode(data)
        except calls.AnswerLost as error:
            raise attempterrors.from_answer_lost(error) from error
        except msgspec.MsgspecError as error:
            raise attempterrors.AttemptFailed(
                retries.Failure.CUT, f'invalid event: {error}'
            ) from error
        finally:
            chunks.close()


def _failure_of_response(response, address):
    """Return the failure that an engine's error response stands for."""
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
    """Make an HTTP engine client."""
    caller = calls.make_caller(
        connect_timeout, token_timeout, answer_seconds=token_timeout
    )
    return HttpEngineClient(caller)
