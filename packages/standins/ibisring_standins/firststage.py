"""Generates tokens over the stages of a chain, as its first stage does."""

__all__ = ['StageLost', 'Transport', 'generate']

import abc

from ibisring_backing import engines
from ibisring_records import exceptions
from ibisring_standins import engine as engine_module

CANCELLED = 'cancelled'


class StageLost(Exception):
    """A stage of the chain failed or can't be reached.

    Attributes
    ----------
    endpoint : str
    """

    def __init__(self, endpoint, detail):
        super().__init__(detail)
        self.endpoint = endpoint


class Transport(abc.ABC):
    """Calls the stages of a chain, the first one included."""

    @abc.abstractmethod
    def begin(self, stage, begin):
        """Begin an attempt at a stage; return an `engine.BeginReply`.

        Raises
        ------
        StageLost
        """

    @abc.abstractmethod
    def step(self, stage, step):
        """Run a stage for one token; return its output activation.

        Raises
        ------
        StageLost
        """

    def prefill(self, tokens):
        """Take the time of a prefill; does nothing unless overridden."""


def _begin_stages(order, transport):
    """Begin at every stage, and prefill unless all have the KV cache."""
    prefill = len(order.prompt.split()) + len(order.delivered)
    warm = True
    for stage in order.stages:
        begun = transport.begin(
            stage,
            engine_module.Begin(
                order.request,
                order.attempt,
                len(order.delivered),
                prefill,
                stage.first_layer,
                stage.last_layer,
                order.cache_sources.get(stage.endpoint, ''),
            ),
        )
        warm = warm and begun.warm
    if not warm:
        transport.prefill(prefill)


def _next_token(order, transport, tokens):
    state = engine_module.initial_state(order.prompt, tokens)
    for stage in order.stages:
        state = transport.step(
            stage,
            engine_module.Step(
                order.request,
                order.attempt,
                len(tokens),
                stage.first_layer,
                stage.last_layer,
                state,
            ),
        )
    return engine_module.token_text(state)


def _failure_event(order, tokens, code, endpoint, detail):
    return engines.FailureEvent(
        order.request,
        order.attempt,
        len(tokens),
        code,
        endpoint,
        str(detail),
    )


def generate(order, transport, is_cancelled):
    """Yield the events of an attempt, the last of which ends it.

    Parameters
    ----------
    order : engines.GenerateOrder
    transport : Transport
    is_cancelled : callable

    Yields
    ------
    TokenEvent, FinishEvent or FailureEvent
    """
    tokens = list(order.delivered)
    try:
        _begin_stages(order, transport)
        while len(tokens) < order.max_tokens:
            if is_cancelled():
                yield _failure_event(order, tokens, CANCELLED, '', CANCELLED)
                return
            text = _next_token(order, transport, tokens)
            tokens.append(text)
            yield engines.TokenEvent(
                order.request, order.attempt, len(tokens) - 1, text
            )
    except StageLost as error:
        yield _failure_event(
            order, tokens, engines.STAGE_LOST, error.endpoint, error
        )
        return
    except exceptions.IbisringError as error:
        first_stage = order.stages[0].endpoint
        yield _failure_event(
            order, tokens, engines.ENGINE_FAILED, first_stage, error
        )
        return
    yield engines.FinishEvent(
        order.request,
        order.attempt,
        len(tokens),
        engines.FINISH_LENGTH,
        prompt_tokens=len(order.prompt.split()),
    )
