"""Which window of layers an engine should hold, and what is missing.

A window is judged by who holds its layers already: see `best_window`.
"""

__all__ = ['Engine', 'Layer', 'best_window', 'coverage', 'gaps']

from ibisring_records import routing
import msgspec


class Engine(msgspec.Struct, frozen=True):
    """An engine as the planner sees it.

    `holding` is what it holds, or was ordered to hold; `loaded` is what of it
    is in place now.  `may_replace` is set for one that has just come: it may
    take the place of one that is about to leave, see `place_empty`.
    `step_factor` is its time for a layer over that of the fastest kind of
    card; `memory_use` the share of its memory for prompts that requests hold.
    """

    id: str
    domain: str
    memory_mb: float
    holding: routing.Holding | None = None
    loaded: routing.Holding | None = None
    may_replace: bool = False
    step_factor: float = 1.0
    memory_use: float = 0.0

    @property
    def is_loading(self):
        """Whether an order is under way; it refuses others until its end."""
        return self.holding != self.loaded

    def max_layers(self, layer_mb, share=1.0):
        """Give how many layers fit into a share of the memory."""
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


class Layer:
    """Who holds a layer in a pool.

    Attributes
    ----------
    holders : dict of str to Engine
    """

    __slots__ = ('holders', 'ranges')

    def __init__(self):
        self.holders = {}
        self.ranges = {}

    def add(self, engine, holding):
        """Count an engine that holds this layer among others."""
        self.holders[engine.id] = engine
        self.ranges[engine.id] = holding.count

    def remove(self, engine):
        """Take an engine out."""
        del self.holders[engine.id]
        del self.ranges[engine.id]

    def gain(self, pace):
        """Give how much faster this layer runs with an engine of a pace."""
        if not self.holders:
            return 0.0
        return max(
            0.0, min(e.step_factor for e in self.holders.values()) - pace
        )

    def loss(self, engine):
        """Give how much slower this layer runs without one of its holders."""
        others = [
            e.step_factor for e in self.holders.values() if e is not engine
        ]
        return max(0.0, min(others) - engine.step_factor) if others else 0.0

    def tightness(self, model):
        """Give the want of memory for prompts, from 0 up to 1."""
        total = 0.0
        for name, engine in self.holders.items():
            free = engine.memory_mb - self.ranges[name] * model.layer_mb
            total += max(free, 1.0) / self.ranges[name]
        return 1.0 / (1.0 + total)


def best_window(held, size, engine, model, around=None):
    """Give the window that most needs an engine.

    Layers with no holder come first.  Then those that it runs faster than
    all who hold them: the engines of a fast chain serve, slower ones stand
    by.  Then the least memory for prompts: a domain has room for as many
    requests as its tightest layer, and what has a second holder there takes
    over without a load when the first is lost.  Of equal windows the first,
    so that ranges lie side by side.

    Parameters
    ----------
    held : list of Layer
    size : int
    engine : Engine
    model : routing.Model
    around : routing.Holding or None
        The window must contain this range.
    """
    first, last = 0, model.layers - size
    if around is not None:
        first, last = max(0, around.end - size), min(last, around.first)
    gains = [layer.gain(engine.step_factor) for layer in held]
    wants = [layer.tightness(model) for layer in held]
    empties = [not layer.holders for layer in held]
    best = None
    for first in range(first, last + 1):
        span = slice(first, first + size)
        # A window that starts inside a gap leaves a splinter before it,
        # which would cost a whole engine later.
        splinter = bool(first and empties[first - 1] and empties[first])
        rank = (
            -sum(empties[span]),
            splinter,
            -round(sum(gains[span]), 3),
            -round(sum(wants[span]), 6),
            first,
        )
        if best is None or rank < best:
            best = rank
    return routing.Holding(best[-1], best[-1] + size)


def gaps(counts):
    """Give the runs of layers that have no holder."""
    found = []
    start = None
    for layer, count in enumerate([*counts, 1]):
        if count == 0 and start is None:
            start = layer
        if count and start is not None:
            found.append(routing.Holding(start, layer))
            start = None
    return found
