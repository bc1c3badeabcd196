"""Division of all layers among engines with few layers loaded.

The engines keep their order along the model, so that the ranges of engines
that stay where they are only change at their ends.
"""

__all__ = ['Part', 'Tiling', 'tile']

import math

from ibisring_records import routing
import msgspec

# Cost of a range for which an engine must give up layers, in layers loaded:
# it loads only when the requests that use them have ended, which takes longer
# than to load a few layers.
GIVE_UP_COST = 8.0


class Part(msgspec.Struct, frozen=True):
    """An engine to divide layers among.

    `held` is the range that costs nothing to use, `limit` the most layers
    that it may hold.  Shares are given in the order of `position`.  An engine
    that is not `movable` is loading, and refuses other ranges until it ends.
    One that `keeps_held` may only extend its range.
    """

    id: str
    position: tuple[int, int]
    held: routing.Holding | None
    limit: int
    movable: bool = True
    keeps_held: bool = False


class Tiling(msgspec.Struct, frozen=True):
    """New ranges by engine, and the layers to load for them."""

    ranges: dict[str, routing.Holding]
    cost: float


def tile(parts, layers):
    """Return new ranges with which the engines hold all layers.

    Dynamic programming over the engines, in the order of their ranges, and
    the number of layers covered so far; the cost is the number of layers to
    load.  An engine without a share of its own keeps what it holds.

    Parameters
    ----------
    parts : list of Part
    layers : int

    Returns
    -------
    Tiling or None
        Only engines with a new range.  None if the engines can't hold all.
    """
    ordered = sorted(parts, key=lambda part: (part.position, part.id))
    costs = [0.0] + [math.inf] * layers
    choices = []
    for part in ordered:
        costs, chosen = _step(part, costs, layers)
        choices.append(chosen)
    if math.isinf(costs[layers]):
        return None
    return Tiling(_ranges(ordered, choices, layers), costs[layers])


def _step(part, costs, layers):
    """Return the costs after an engine, and where its share begins."""
    best, chosen = list(costs), list(range(layers + 1))
    held = part.held.count if part.held is not None else 0
    for first, cost in enumerate(costs):
        if math.isinf(cost):
            continue
        longest = min(layers - first, max(part.limit, held))
        for end in range(first + 1, first + longest + 1):
            total = cost + _cost(part, first, end)
            if total < best[end]:
                best[end] = total
                chosen[end] = first
    return best, chosen


def _cost(part, first, end):
    """Return the cost of a share in layers, infinite if it is impossible."""
    held = part.held
    if held is None:
        return end - first if end - first <= part.limit else math.inf
    if held.first <= first and end <= held.end:
        return 0.0
    if not part.movable or end - first > part.limit:
        return math.inf
    kept = max(0, min(end, held.end) - max(first, held.first))
    keeps_all = _fits_with_held(part, first, end)
    if part.keeps_held and not keeps_all:
        return math.inf
    return end - first - kept + (0.0 if keeps_all else GIVE_UP_COST)


def _fits_with_held(part, first, end):
    """Return whether a share and the held layers form a range that fits."""
    held = part.held
    touches = first <= held.end and held.first <= end
    union = max(end, held.end) - min(first, held.first)
    return touches and union <= max(part.limit, held.count)


def _ranges(ordered, choices, layers):
    """Return the new ranges of the cheapest division."""
    found = {}
    end = layers
    for part, chosen in zip(reversed(ordered), reversed(choices)):
        first = chosen[end]
        if first == end:
            continue
        share = _with_held(part, routing.Holding(first, end))
        if share != part.held:
            found[part.id] = share
        end = first
    return found


def _with_held(part, share):
    """Extend a share by the layers that the engine holds, if all fit."""
    held = part.held
    if held is None or not _fits_with_held(part, share.first, share.end):
        return share
    first, end = min(share.first, held.first), max(share.end, held.end)
    return routing.Holding(first, end)
