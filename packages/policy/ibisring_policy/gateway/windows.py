"""Choice of the window of layers that an engine should hold, and gaps.

Windows are ranked by the engines that hold their layers already, see
`best_window`.
"""

__all__ = ['Engine', 'LayerHolders', 'best_window', 'coverage', 'gaps']

from ibisring_records import routing
import msgspec


class Engine(msgspec.Struct, frozen=True):
    """An engine as the planner sees it.

    `holding` is the range that it holds or was ordered to hold, `loaded` the
    range that is loaded now.  `may_replace` is set for a newly registered
    engine: it may replace one that is about to leave, see `assign_empty`.
    `step_factor` is its time per layer relative to the fastest kind of card;
    `memory_use` is the share of its memory for prompts that is in use.
    `is_unloading` is set for one that has given up its layers for others,
    which it loads once the requests that use them have ended.
    """

    id: str
    domain: str
    memory_mb: float
    holding: routing.Holding | None = None
    loaded: routing.Holding | None = None
    may_replace: bool = False
    step_factor: float = 1.0
    memory_use: float = 0.0
    is_unloading: bool = False

    @property
    def is_loading(self):
        """Whether it is executing an order, and so refuses others."""
        return self.holding != self.loaded

    def max_layers(self, layer_mb, share=1.0):
        """Return the number of layers that fit into a share of its memory."""
        return int(self.memory_mb * share / layer_mb)


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


class LayerHolders:
    """The engines of a pool that hold a layer.

    Attributes
    ----------
    holders : dict of str to Engine
    range_sizes : dict of str to int
        Number of layers that each holder holds.
    """

    __slots__ = ('holders', 'range_sizes')

    def __init__(self):
        self.holders = {}
        self.range_sizes = {}

    def add(self, engine, holding):
        """Add an engine that holds a range with this layer."""
        self.holders[engine.id] = engine
        self.range_sizes[engine.id] = holding.count

    def remove(self, engine):
        """Remove an engine."""
        del self.holders[engine.id]
        del self.range_sizes[engine.id]

    def gain(self, step_factor):
        """Return the reduction of the lowest step factor by an engine."""
        if not self.holders:
            return 0.0
        return max(
            0.0,
            min(e.step_factor for e in self.holders.values()) - step_factor,
        )

    def loss(self, engine):
        """Return the increase of the lowest step factor without a holder."""
        others = [
            e.step_factor for e in self.holders.values() if e is not engine
        ]
        return max(0.0, min(others) - engine.step_factor) if others else 0.0

    def scarcity(self, model):
        """Return the scarcity of memory for prompts, from 0 up to 1."""
        total = 0.0
        for name, engine in self.holders.items():
            free = engine.memory_mb - self.range_sizes[name] * model.layer_mb
            total += max(free, 1.0) / self.range_sizes[name]
        return 1.0 / (1.0 + total)


def best_window(layer_holders, size, engine, model, around=None):
    """Return the window that most needs an engine.

    Layers without a holder have priority, then the first layers, if they have
    only one: a stream ends with the engine that runs them, while other stages
    can be replaced.  Then come layers that the engine runs faster than all
    their holders: a chain of fast engines serves, slower ones are standbys.
    Then the least memory for prompts decides: a
    domain has room for as many requests as the layer with the least memory,
    and a second holder there takes over without loading if the first is lost.
    Of equal windows the last is taken, so that ranges are adjacent and the
    first layers are left to the slower cards, which come last and hold small
    ranges, which are soon loaded again.

    Parameters
    ----------
    layer_holders : list of LayerHolders
    size : int
    engine : Engine
    model : routing.Model
    around : routing.Holding or None
        The window must contain this range.
    """
    first, last = 0, model.layers - size
    if around is not None:
        first, last = max(0, around.end - size), min(last, around.first)
    gains = [layer.gain(engine.step_factor) for layer in layer_holders]
    scarcities = [layer.scarcity(model) for layer in layer_holders]
    is_empty = [not layer.holders for layer in layer_holders]
    # A faster engine serves more where it is the fastest.
    needs_first_stage = len(layer_holders[0].holders) == 1 and not gains[0]
    best = None
    for first in range(first, last + 1):
        span = slice(first, first + size)
        # A window that ends inside a gap leaves a fragment after it, which
        # would need a whole engine later.
        end = first + size
        leaves_fragment = bool(
            end < model.layers and is_empty[end] and is_empty[end - 1]
        )
        rank = (
            -sum(is_empty[span]),
            leaves_fragment,
            first > 0 or not needs_first_stage,
            -round(sum(gains[span]), 3),
            -round(sum(scarcities[span]), 6),
            -first,
        )
        if best is None or rank < best:
            best = rank
    return routing.Holding(-best[-1], size - best[-1])


def gaps(counts):
    """Return the ranges of layers without a holder."""
    found = []
    start = None
    for layer, count in enumerate([*counts, 1]):
        if count == 0 and start is None:
            start = layer
        if count and start is not None:
            found.append(routing.Holding(start, layer))
            start = None
    return found
