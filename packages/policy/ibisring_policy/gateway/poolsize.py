"""Room of a pool for prompts, and the ranges that give each layer the same.

A token in the cache of an engine takes memory for each layer that the engine
runs, so a pool has room for as many tokens as its ranges leave beside their
weights.  All sizes are in layers, all memory in MB, and room in tokens unless
it is stated to be in requests.
"""

__all__ = [
    'request_tokens',
    'size',
    'room',
    'sizes',
    'held_room',
    'rooms_by_count',
]

import collections
import math

# Relative tolerance of a division that should give a whole number of layers.
TOLERANCE = 1e-9


def request_tokens(model):
    """Return the tokens of a typical request.

    Examples
    --------
    >>> from ibisring_policy.gateway.tests import builders
    >>> request_tokens(builders.model())
    946.0
    """
    return model.mean_prompt + model.mean_answer


def size(memory_mb, tokens, model):
    """Return the number of layers that leave a card room for tokens."""
    layer_mb = model.layer_mb
    # Room is infinite if tokens take no memory.
    if model.token_mb > 0.0:
        layer_mb += tokens * model.token_mb / model.layers
    return min(model.layers, int(memory_mb / layer_mb * (1.0 + TOLERANCE)))


def room(engines, model):
    """Return the largest room with which engines can hold all layers.

    Returns
    -------
    float
        In tokens; negative if the engines can't hold the model at all.
    """
    counts = collections.Counter(engine.memory_mb for engine in engines)
    candidates = sorted(
        {
            value
            for memory_mb in counts
            for value in rooms_by_count(memory_mb, model)
        }
    )
    low, high = 0, len(candidates)
    while low < high:
        middle = (low + high) // 2
        held = sum(
            number * size(memory_mb, candidates[middle], model)
            for memory_mb, number in counts.items()
        )
        if held >= model.layers:
            low = middle + 1
        else:
            high = middle
    return candidates[low - 1] if low else -1.0


def rooms_by_count(memory_mb, model):
    """Return the room of a card with 1, 2 and more layers, as they fit."""
    token_mb = model.token_mb / model.layers
    largest = size(memory_mb, 0.0, model)
    if token_mb <= 0.0:
        return [math.inf] if largest else []
    return [
        max(0.0, memory_mb / count - model.layer_mb) / token_mb
        for count in range(1, largest + 1)
    ]


def sizes(engines, tokens, model):
    """Return the range size of each engine that leaves room for tokens.

    Of the engines whose size would fall first with more room, only as many
    get their full size as are needed for all layers: the memory of the others
    is better used for prompts.

    Returns
    -------
    dict of str to int
    """
    found = {e.id: size(e.memory_mb, tokens, model) for e in engines}
    surplus = sum(found.values()) - model.layers
    if math.isinf(tokens):
        return found
    for engine in sorted(engines, key=lambda e: e.id, reverse=True):
        if surplus <= 0:
            break
        smaller = size(engine.memory_mb, tokens * (1.0 + 1e-6) + 1e-6, model)
        if 0 < smaller < found[engine.id]:
            surplus -= found[engine.id] - smaller
            found[engine.id] = smaller
    return found


def held_room(engines, model):
    """Return the tokens for which the loaded layers leave room.

    That of the layer with the least memory for prompts over all its holders;
    0 if a layer has no holder.
    """
    totals = [0.0] * model.layers
    token_mb = model.token_mb / model.layers
    for engine in engines:
        held = engine.loaded
        if held is None or held.count == 0:
            continue
        free = max(0.0, engine.memory_mb / held.count - model.layer_mb)
        tokens = free / token_mb if token_mb > 0.0 else math.inf
        for layer in range(held.first, held.end):
            totals[layer] += tokens
    return min(totals, default=0.0)
