"""Which layers each engine holds.

Engines of one failure domain form a pool, since a prompt's activations are
too large to cross between domains for every request.  The same fill of every
card gives each held layer the same memory for prompts, and the planner gives
an engine without layers the window of its size where the fewest others stand.
Engines that hold a window keep it; only where a layer has no holder left are
others moved, or their ranges lengthened.
"""

__all__ = ['Engine', 'Change', 'plan', 'coverage', 'missing', 'pools']

from ibisring_policy import chains
from ibisring_records import routing
import msgspec

# Share of a card's memory for weights.  At 0.65 the pools of mixed cards
# that the planner was tried on hold 1.2 to 1.5 copies of the model, and two
# and a half times the prompts of a mean load fit into the rest.
FILL = 0.68
# A pool must hold this many copies, or it is merged with the others.
LEAST_COPIES = 1.05
# Share of memory for weights that a small pool may go up to.
MOST_FILL = 0.88
# Memory for prompts kept on a card, as a share of it, when its range is
# lengthened to close a gap; and when nothing else closes it.  At 0.2 a card
# of 14 GB holds 44,000 tokens for six layers, at 0.12 20,000 for seven: half
# of what a failure domain has under way at the usual load.
RESERVE = 0.2
LEAST_RESERVE = 0.12
# And where the domain would serve nothing otherwise.
TIGHT_RESERVE = 0.05


class Engine(msgspec.Struct, frozen=True):
    """An engine as the planner sees it.

    `holding` is what it holds, or was ordered to hold; `placed` is what of it
    is in place now.  `waits` is set for one that has just come: it may take
    the place of one that is about to leave, see `place_empty`.  `pace` is
    its time for a layer over that of the fastest kind of card; `load` the
    share of its memory for prompts that requests hold.
    """

    id: str
    domain: str
    memory_mb: float
    holding: routing.Holding | None = None
    placed: routing.Holding | None = None
    waits: bool = False
    pace: float = 1.0
    load: float = 0.0

    @property
    def is_loading(self):
        """Whether an order is under way; it refuses others until its end."""
        return self.holding != self.placed

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
        gaps = _gaps(coverage(group, layers))
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
            return [sorted(engines, key=_name)]
    return [sorted(by_domain[name], key=_name) for name in sorted(by_domain)]


def _name(engine):
    return engine.id


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
    pool = _Pool(group, model)
    pool.place_empty()
    pool.close_gaps()
    pool.extend_one()
    return [Change(name, held) for name, held in pool.changes.items()]


class _Layer:
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
        return max(0.0, min(e.pace for e in self.holders.values()) - pace)

    def loss(self, engine):
        """Give how much slower this layer runs without one of its holders."""
        others = [e.pace for e in self.holders.values() if e is not engine]
        return max(0.0, min(others) - engine.pace) if others else 0.0

    def exposure(self):
        """Give the layers to load if the only engine with this one is lost."""
        if len(self.ranges) != 1:
            return 0.0
        return float(next(iter(self.ranges.values())))

    def tightness(self, model):
        """Give the want of memory for prompts, from 0 up to 1."""
        total = 0.0
        for name, engine in self.holders.items():
            free = engine.memory_mb - self.ranges[name] * model.layer_mb
            total += max(free, 1.0) / self.ranges[name]
        return 1.0 / (1.0 + total)


def _best_window(held, size, engine, model, around=None):
    """Give the window that most needs an engine.

    Layers with no holder come first.  Then those that it runs faster than
    all who hold them: the engines of a fast chain serve, slower ones stand
    by.  Then those whose only holder has most to load again if it is lost:
    26 layers keep a domain out for some five seconds, 5 for one.  Then the
    least memory for prompts; of equal windows the first, so that ranges lie
    side by side.

    Parameters
    ----------
    held : list of _Layer
    size : int
    engine : Engine
    model : routing.Model
    around : routing.Holding or None
        The window must contain this range.
    """
    first, last = 0, model.layers - size
    if around is not None:
        first, last = max(0, around.end - size), min(last, around.first)
    gains = [layer.gain(engine.pace) for layer in held]
    exposures = [layer.exposure() for layer in held]
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
            -sum(exposures[span]),
            -round(sum(wants[span]), 6),
            first,
        )
        if best is None or rank < best:
            best = rank
    return routing.Holding(best[-1], best[-1] + size)


def _gaps(counts):
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


class _Pool:
    """The engines of a pool while their ranges are being planned."""

    __slots__ = (
        'group',
        'model',
        'fill',
        'current',
        'held',
        'changes',
        'reserve',
    )

    def __init__(self, group, model):
        self.group = group
        self.model = model
        self.fill = _fill(group, model)
        self.current = {engine.id: engine.holding for engine in group}
        self.held = [_Layer() for _ in range(model.layers)]
        self.changes = {}
        self.reserve = RESERVE
        for engine in group:
            for layer in self._span(engine.holding):
                layer.add(engine, engine.holding)

    def _span(self, holding):
        """Give the layers of a range."""
        return self.held[holding.first : holding.end] if holding else []

    def assign(self, engine, holding):
        """Give an engine another range."""
        for layer in self._span(self.current[engine.id]):
            layer.remove(engine)
        for layer in self._span(holding):
            layer.add(engine, holding)
        self.current[engine.id] = holding
        self.changes[engine.id] = holding

    def place_empty(self):
        """Give engines that hold nothing the windows that need them most.

        In a release each new engine comes about a second before the one
        that it replaces leaves.  Given some other window at once, it would
        have to be emptied and moved while the gap stands open.
        """
        for engine in sorted(self.group, key=self._cost):
            if engine.waits and not self._gaps():
                continue
            size = _window(engine, self.model, self.fill)
            if engine.holding is None and size > 0:
                window = _best_window(self.held, size, engine, self.model)
                self.assign(engine, self._missing_part(window))

    def _missing_part(self, window):
        """Give what of a window a pool that serves should load first.

        Loading 26 layers takes some five seconds; the three that nobody
        holds, with which the domain serves again, take half of one.  The
        rest follows, see `extend_one`.
        """
        if not self.in_place():
            return window
        parts = [
            routing.Holding(
                max(gap.first, window.first), min(gap.end, window.end)
            )
            for gap in self._gaps()
            if gap.first < window.end and gap.end > window.first
        ]
        return max(parts, key=lambda part: part.count, default=window)

    def extend_one(self):
        """Lengthen a range that was kept short while layers were missing.

        One at a time, and only while nothing else is loaded here: loads
        share the store of weights.
        """
        if self._gaps() or any(e.is_loading for e in self.group):
            return
        if self.changes:
            return
        for engine in sorted(self.group, key=self._cost):
            held = self.current[engine.id]
            size = _window(engine, self.model, self.fill)
            if held is not None and held.count < size:
                window = _best_window(
                    self.held, size, engine, self.model, around=held
                )
                self.assign(engine, window)
                return

    def _cost(self, engine):
        """Give what a layer costs on an engine, its stage's part included."""
        size = max(1, _window(engine, self.model, self.fill))
        return engine.pace + chains.STAGE_COST / size, engine.id

    def _gaps(self):
        return _gaps([len(layer.holders) for layer in self.held])

    def close_gaps(self):
        """Give each layer a holder, moving as few layers as can be.

        The neighbours of a gap grow over it, if they can hold all of it:
        that takes nothing away from anyone.  Otherwise it goes to engines
        whose layers all have other holders.  Without one, the neighbours
        take what they can, and those of some engine grow over what it alone
        holds, so that it can be moved when they are ready.
        """
        for gap in self._gaps():
            self.reserve = RESERVE
            rest = self._grow(gap, only_whole=True)
            rest = self._move_spares(rest)
            self.reserve = LEAST_RESERVE
            if rest is not None:
                rest = self._grow(rest)
            if rest is not None and not self._free_one(rest):
                # A narrow chain is worth more than none in this domain.
                self.reserve = TIGHT_RESERVE
                self._grow(rest, only_whole=True)

    def _move_spares(self, gap):
        """Give a gap to engines that are not needed; give what is left."""
        while gap is not None:
            spare = _spare(self)
            if spare is None:
                return gap
            # Loading no more than is missing ends the gap soonest.
            size = min(gap.count, _window(spare, self.model, self.fill))
            first = max(0, min(gap.first, self.model.layers - size))
            self.assign(spare, routing.Holding(first, first + size))
            gap = _rest(first + size, gap.end)
        return None

    def _room(self, engine):
        held = self.current[engine.id]
        most = engine.most_layers(self.model.layer_mb, 1.0 - self.reserve)
        return max(0, most - held.count)

    def _neighbours(self, span, without=None):
        """Give the engines that could grow into a span from each side."""
        left, right = None, None
        for engine in self.group:
            held = self.current[engine.id]
            if held is None or engine is without:
                continue
            if engine.holding is not None and engine.is_loading:
                continue
            if held.first < span.first <= held.end:
                reach = held.end + self._room(engine)
                if left is None or reach > left[0]:
                    left = reach, engine
            if held.first <= span.end < held.end:
                reach = held.first - self._room(engine)
                if right is None or reach < right[0]:
                    right = reach, engine
        return left, right

    def _grow(self, gap, only_whole=False):
        """Let the neighbours take what they can; give what is left."""
        left, right = self._neighbours(gap)
        left_end = min(gap.end, left[0]) if left else gap.first
        right_first = max(gap.first, right[0]) if right else gap.end
        if left_end >= right_first:
            middle = (gap.first + gap.end + 1) // 2
            cut = min(left_end, max(right_first, middle))
            left_end = right_first = cut
        if only_whole and left_end < right_first:
            return gap
        self._lengthen(left, left_end, right, right_first)
        return _rest(left_end, right_first)

    def _lengthen(self, left, left_end, right, right_first):
        if left and left_end > self.current[left[1].id].end:
            first = self.current[left[1].id].first
            self.assign(left[1], routing.Holding(first, left_end))
        if right and right_first < self.current[right[1].id].first:
            end = self.current[right[1].id].end
            self.assign(right[1], routing.Holding(right_first, end))

    def _free_one(self, gap):
        """Let the neighbours of some engine grow over what it alone holds.

        Returns
        -------
        bool
            Whether there is such an engine.
        """
        counts = coverage(self.in_place(), self.model.layers)
        best = None
        for engine in self.in_place():
            held = engine.holding
            alone = [i for i in range(held.first, held.end) if counts[i] < 2]
            if not alone or held.count * 2 < gap.count:
                continue
            span = routing.Holding(alone[0], alone[-1] + 1)
            left, right = self._neighbours(span, engine)
            reach = left[0] if left else span.first
            back = right[0] if right else span.end
            if reach >= min(back, span.end) or back <= span.first:
                if best is None or span.count < best[0].count:
                    best = span, left, right
        if best is not None:
            self._grow_over(*best)
        return best is not None

    def _grow_over(self, span, left, right):
        left_end = min(span.end, left[0]) if left else span.first
        if left_end >= span.end:
            right = None
        self._lengthen(left, left_end, right, left_end)

    def in_place(self):
        """Give the engines whose ranges are loaded and stay."""
        return [
            engine
            for engine in self.group
            if engine.holding is not None
            and not engine.is_loading
            and engine.id not in self.changes
        ]


def _rest(first, end):
    return routing.Holding(first, end) if end > first else None


def _spare(pool):
    """Give the engine that is missed least, all of whose layers others hold.

    Others must have them in place: an engine that is moved while its
    successor still loads would leave the pool without those layers.  One
    whose layers all have a faster holder is missed by nobody.  Of these the
    idlest is taken: an engine loads its new layers only when the requests in
    it have ended, and those that began at it can't be moved off it.
    """
    in_place = pool.in_place()
    counts = coverage(in_place, pool.model.layers)
    best = None
    for engine in in_place:
        held = engine.holding
        if min(counts[held.first : held.end]) < 2:
            continue
        span = pool.held[held.first : held.end]
        want = sum(layer.tightness(pool.model) for layer in span)
        rank = (
            round(sum(layer.loss(engine) for layer in span), 3),
            held.first == 0 and engine.load > 0.0,
            round(engine.load, 1),
            want / held.count,
            engine.id,
        )
        if best is None or rank < best[0]:
            best = rank, engine
    return best[1] if best else None
