"""Which layers each engine holds.

Engines of one failure domain form a pool, since a prompt's activations are
too large to cross between domains for every request.  The same fill of every
card gives each held layer the same memory for prompts, and the planner gives
an engine without layers the window of its size where the fewest others stand.
Engines that hold a window keep it; only where a layer has no holder left are
others moved, or their ranges lengthened.
"""

__all__ = ['Engine', 'Change', 'plan', 'coverage', 'missing', 'pools']

import math

from ibisring_records import routing
import msgspec

# Share of a card's memory for weights.  At 0.65 the pools of mixed cards
# that the planner was tried on hold 1.2 to 1.5 copies of the model, and two
# and a half times the prompts of a mean load fit into the rest.
FILL = 0.65
# A pool must hold this many copies, or it is merged with the others.
LEAST_COPIES = 1.05
# Share of memory for weights that a small pool may go up to.
MOST_FILL = 0.88
# Memory for prompts kept on a card, as a share of it, when its range is
# lengthened to close a gap.
RESERVE = 0.06


class Engine(msgspec.Struct, frozen=True):
    """An engine as the planner sees it.

    `holding` is what it holds, or was ordered to hold; `loaded` says that
    it is in place.
    """

    id: str
    domain: str
    memory_mb: float
    holding: routing.Holding | None = None
    loaded: bool = True

    def most_layers(self, layer_mb, share=1.0):
        """Give how many layers fit into a share of the memory."""
        return int(self.memory_mb * share / layer_mb)


class Change(msgspec.Struct, frozen=True):
    """A new range for an engine."""

    id: str
    holding: routing.Holding


def coverage(engines, layers):
    """Count the holders of each layer.

    Examples
    --------
    >>> held = routing.Holding(1, 3)
    >>> coverage([Engine('a', 'x', 10.0, held)], 4)
    [0, 1, 1, 0]
    """
    counts = [0] * layers
    for engine in engines:
        if engine.holding is not None:
            for layer in range(engine.holding.first, engine.holding.end):
                counts[layer] += 1
    return counts


def missing(engines, layers):
    """Give, for each failure domain, the layers that no engine there holds.

    Returns
    -------
    dict of str to list of Holding
        Only domains that lack some.
    """
    by_domain = {}
    for engine in engines:
        by_domain.setdefault(engine.domain, []).append(engine)
    found = {}
    for domain, group in by_domain.items():
        counts = coverage(group, layers)
        weights = {i: (n, 0.0) for i, n in enumerate(counts)}
        gaps = _gaps(weights, layers)
        if gaps:
            found[domain] = gaps
    return found


def pools(engines, model):
    """Group engines so that each group can hold the whole model.

    Returns
    -------
    list of list of Engine
        One group for each failure domain, or a single one if some domain
        is too small to hold the model beside any prompts.
    """
    by_domain = {}
    for engine in engines:
        by_domain.setdefault(engine.domain, []).append(engine)
    need = model.layers * LEAST_COPIES
    for group in by_domain.values():
        fits = sum(e.most_layers(model.layer_mb, MOST_FILL) for e in group)
        if fits < need:
            return [sorted(engines, key=_order)]
    return [sorted(by_domain[name], key=_order) for name in sorted(by_domain)]


def _order(engine):
    return -engine.memory_mb, engine.id


def plan(engines, model):
    """Give the changes that bring all engines to good ranges.

    Parameters
    ----------
    engines : list of Engine
        Those that stay: no draining or lost one.
    model : routing.Model

    Returns
    -------
    list of Change
        None that holds more than a card's memory.
    """
    changes = []
    for group in pools(engines, model):
        changes.extend(_plan_pool(group, model))
    return changes


def _fill(group, model):
    """Give the share of memory for weights in a pool."""
    memory = sum(engine.memory_mb for engine in group)
    if not memory:
        return FILL
    needed = LEAST_COPIES * model.layers * model.layer_mb / memory
    return min(MOST_FILL, max(FILL, needed))


def _window(engine, model, fill):
    """Give how many layers an engine should hold."""
    most = engine.most_layers(model.layer_mb)
    wanted = round(engine.memory_mb * fill / model.layer_mb)
    return min(max(1, wanted), max(1, most - 1), most, model.layers)


def _plan_pool(group, model):
    fill = _fill(group, model)
    current = {engine.id: engine.holding for engine in group}
    weights = {}
    changes = {}

    def assign(engine, holding):
        _add(weights, current[engine.id], engine, model, -1)
        _add(weights, holding, engine, model, 1)
        current[engine.id] = holding
        changes[engine.id] = holding

    for engine in group:
        _add(weights, engine.holding, engine, model, 1)
    for engine in group:
        size = _window(engine, model, fill)
        if engine.holding is None and size > 0:
            assign(engine, _best_window(weights, size, model.layers))
    _close_gaps(group, model, current, weights, assign, fill, changes)
    return [Change(name, holding) for name, holding in changes.items()]


def _add(weights, holding, engine, model, sign):
    """Count an engine's memory for prompts at each layer that it holds."""
    if holding is None:
        return
    free = engine.memory_mb - holding.count * model.layer_mb
    density = max(free, 1.0) / holding.count
    for layer in range(holding.first, holding.end):
        count, total = weights.get(layer, (0, 0.0))
        weights[layer] = count + sign, total + sign * density


def _best_window(weights, size, layers):
    """Give the window that most needs another holder.

    Layers with no holder come first, then those with the least memory for
    prompts; of equal windows the first, so that ranges lie side by side.
    """
    best = None
    for first in range(0, layers - size + 1):
        span = [weights.get(i, (0, 0.0)) for i in range(first, first + size)]
        empty = sum(1 for count, _ in span if count == 0)
        tightest = sum(1.0 / (1.0 + total) for _, total in span)
        # A window that starts inside a gap leaves a splinter before it,
        # which would cost a whole engine later.
        before = weights.get(first - 1, (1, 0.0))[0] if first else 1
        splinter = 1 if before == 0 and span[0][0] == 0 else 0
        rank = (-empty, splinter, -tightest, first)
        if best is None or rank < best[0]:
            best = rank, first
    return routing.Holding(best[1], best[1] + size)


def _gaps(weights, layers):
    """Give the runs of layers that have no holder."""
    found = []
    start = None
    for layer in range(layers + 1):
        empty = layer < layers and weights.get(layer, (0, 0.0))[0] == 0
        if empty and start is None:
            start = layer
        if not empty and start is not None:
            found.append(routing.Holding(start, layer))
            start = None
    return found


def _close_gaps(group, model, current, weights, assign, fill, changes):
    """Give each layer a holder, moving as few layers as can be."""
    for gap in _gaps(weights, model.layers):
        gap = _lengthen(group, model, current, assign, gap)
        while gap is not None and gap.count > 0:
            spare = _spare(group, current, weights, changes, model.layers)
            if spare is None:
                return
            size = _window(spare, model, fill)
            first = max(0, min(gap.first, model.layers - size))
            assign(spare, routing.Holding(first, first + size))
            gap = routing.Holding(min(first + size, gap.end), gap.end)


def _lengthen(group, model, current, assign, gap):
    """Let the neighbours of a gap take its layers, if they have room."""
    left = [e for e in group if _touches(current[e.id], gap.first, 'end')]
    right = [e for e in group if _touches(current[e.id], gap.end, 'first')]
    left_room = max([_room(e, current[e.id], model) for e in left] or [0])
    right_room = max([_room(e, current[e.id], model) for e in right] or [0])
    if left_room + right_room < gap.count:
        return gap
    take = min(left_room, math.ceil(gap.count / 2))
    take = max(take, gap.count - right_room)
    _extend(left, take, current, assign, model, before=True)
    _extend(right, gap.count - take, current, assign, model, before=False)
    return None


def _touches(holding, layer, side):
    return holding is not None and getattr(holding, side) == layer


def _room(engine, holding, model):
    most = engine.most_layers(model.layer_mb, 1.0 - RESERVE)
    return max(0, most - holding.count)


def _extend(engines, count, current, assign, model, before):
    if count <= 0:
        return
    chosen = max(engines, key=lambda e: _room(e, current[e.id], model))
    held = current[chosen.id]
    if before:
        assign(chosen, routing.Holding(held.first, held.end + count))
    else:
        assign(chosen, routing.Holding(held.first - count, held.end))


def _spare(group, current, weights, changes, layers):
    """Give the engine all of whose layers others hold most often.

    Others must have them in place: an engine that is moved while its
    successor still loads would leave the pool without those layers.
    """
    in_place = [
        engine
        for engine in group
        if engine.loaded and engine.id not in changes
    ]
    counts = coverage(in_place, layers)
    best = None
    for engine in in_place:
        held = engine.holding
        if held is None:
            continue
        span = range(held.first, held.end)
        if all(counts[layer] >= 2 for layer in span):
            total = sum(weights[layer][1] for layer in span) / held.count
            if best is None or total > best[0]:
                best = total, engine
    return best[1] if best else None
