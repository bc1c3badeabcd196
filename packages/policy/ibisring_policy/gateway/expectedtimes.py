"""Expected times of events of a chain, from its cards, links and queue."""

__all__ = ['StageLoad', 'first_event', 'event_gap']

import msgspec

# Seconds for the request's way to the first stage and the event's way back.
OVERHEAD_SECONDS = 0.005
# Seconds between two stages of one failure domain.
HOP_SECONDS = 0.001
BITS_PER_BYTE = 8.0


class StageLoad(msgspec.Struct, kw_only=True):
    """A stage of a chain: its layers, its card, its load.

    `prefill_factor` and `step_factor` are those of the card, `slowdown` the
    factor by which the engine says that it is slower than usual; `waiting`
    counts the requests reported in excess of the engine's slots.
    """

    layers: int
    domain: str
    prefill_factor: float = 1.0
    step_factor: float = 1.0
    slowdown: float = 1.0
    waiting: int = 0


def _prefill_seconds(stages, model, tokens):
    """Return the time of all stages to prefill a prompt."""
    layers = sum(s.layers * s.prefill_factor * s.slowdown for s in stages)
    return tokens * layers / (model.layers * max(1.0, model.prefill_rate))


def _transfer_seconds(stages, model, tokens):
    """Return the time of a prompt on the links between failure domains."""
    if model.domain_link_mbps <= 0.0:
        return 0.0
    crossings = sum(
        before.domain != after.domain
        for before, after in zip(stages, stages[1:])
    )
    megabits = tokens * model.activation_mb * BITS_PER_BYTE
    return crossings * megabits / model.domain_link_mbps


def _queue_seconds(stages, model):
    """Return the wait for a slot: slots become free as streams end."""
    waiting = max((s.waiting for s in stages), default=0)
    stream_seconds = model.mean_answer * event_gap(stages, model)
    return waiting * stream_seconds / max(1, model.slots)


def event_gap(stages, model):
    """Return the expected seconds between two events of a stream.

    Parameters
    ----------
    stages : sequence of StageLoad
    model : routing.Model
    """
    layers = sum(s.layers * s.step_factor * s.slowdown for s in stages)
    steps = model.step_seconds * layers / model.layers
    return steps + HOP_SECONDS * len(stages)


def first_event(stages, model, tokens):
    """Return the expected seconds until a first event.

    Parameters
    ----------
    stages : sequence of StageLoad
    model : routing.Model
    tokens : float
        Tokens to prefill: those of the prompt, and for a stream that goes on
        those already delivered.
    """
    return (
        OVERHEAD_SECONDS
        + _queue_seconds(stages, model)
        + _prefill_seconds(stages, model, tokens)
        + _transfer_seconds(stages, model, tokens)
        + event_gap(stages, model)
    )
