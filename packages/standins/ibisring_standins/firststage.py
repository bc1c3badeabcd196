"""The head engine's token loop over the stages of a plan."""

__all__ = ['StageLost', 'Transport', 'generate']

import abc

from ibisring_backing import engines
from ibisring_records import exceptions
from ibisring_standins import engine as engine_module

CANCELLED = 'cancelled'


class StageLost(Exception):
    """A stage of the chain can't go on.

    Attributes
    ----------
    endpoint : str
    """

    def __init__(self, endpoint, detail):
        super().__init__(detail)
        self.endpoint = endpoint


class Transport(abc.ABC):
    """How the head reaches a stage, itself included."""

    @abc.abstractmethod
    def begin(self, stage, begin):
        """Begin an attempt at a stage; give an `engine.BeginReply`.

        Raises
        ------
        StageLost
        """

    @abc.abstractmethod
    def step(self, stage, step):
        """Pass one token through a stage; give the state that leaves it.

        Raises
        ------
        StageLost
        """

    def prefill(self, tokens):
        """Spend the time of a prefill; nothing unless overridden."""


def _begin(order, transport):
    """Begin at every stage, and prefill unless all hold the KV cache."""
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
    return engine_module.word(state)


def _failure(order, tokens, code, endpoint, detail):
    return engines.FailureEvent(
        order.request,
        order.attempt,
        len(tokens),
        code,
        endpoint,
        str(detail),
    )


def generate(order, transport, is_cancelled):
    """Yield the events of an attempt; the last ends it.

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
        _begin(order, transport)
        while len(tokens) < order.max_tokens:
            if is_cancelled():
                yield _failure(order, tokens, CANCELLED, '', CANCELLED)
                return
            text = _next_token(order, transport, tokens)
            tokens.append(text)
            yield engines.TokenEvent(
                order.request, order.attempt, len(tokens) - 1, text
            )
    except StageLost as lost:
        yield _failure(order, tokens, engines.STAGE_LOST, lost.endpoint, lost)
        return
    except exceptions.IbisringError as error:
        head = order.stages[0].endpoint
        yield _failure(order, tokens, engines.ENGINE_FAILED, head, error)
        return
    yield engines.FinishEvent(
        order.request,
        order.attempt,
        len(tokens),
        engines.FINISH_LENGTH,
        prompt_tokens=len(order.prompt.split()),
    )
