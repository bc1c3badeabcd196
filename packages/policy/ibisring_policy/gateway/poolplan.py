"""Planning of the ranges of layers that the engines of a pool hold.

Engines without layers are assigned the windows that need them most; gaps are
closed with as few layers moved as possible; ranges that were kept short are
extended.
"""

__all__ = ['PoolPlan', 'make_pool_plan', 'make_room_plan']

from ibisring_policy.gateway import chains
from ibisring_policy.gateway import poolsize
from ibisring_policy.gateway import tilings
from ibisring_policy.gateway import windows
from ibisring_records import routing

# Share of a card's memory kept for prompts when its range is extended to close
# a gap, and when nothing else closes it.
RESERVE_SHARE = 0.2
MIN_RESERVE_SHARE = 0.12
# The same if the domain could serve no requests otherwise.
EMERGENCY_RESERVE_SHARE = 0.05


def _size(engine, model, weight_share):
    """Return the number of layers for a share of an engine's memory."""
    max_layers = engine.max_layers(model.layer_mb)
    wanted = round(engine.memory_mb * weight_share / model.layer_mb)
    return min(
        max(1, wanted), max(1, max_layers - 1), max_layers, model.layers
    )


class PoolPlan:
    """The ranges of the engines of a pool, while these are being planned.

    Attributes
    ----------
    sizes : dict of str to int
        Number of layers that each engine should hold.
    current : dict of str to routing.Holding or None
        Range of each engine, with the changes planned so far.
    layer_holders : list of windows.LayerHolders
    changes : dict of str to routing.Holding
        Engines with a new range.
    reserve_share : float
        Share of a card's memory kept for prompts.
    joins_domains : bool
        Whether engines are to get ranges beside those of their domain.
    """

    __slots__ = (
        'group',
        'model',
        'sizes',
        'current',
        'layer_holders',
        'changes',
        'reserve_share',
        'joins_domains',
    )

    def __init__(self, group, model, sizes):
        self.group = group
        self.model = model
        self.sizes = sizes
        self.current = {engine.id: engine.holding for engine in group}
        self.layer_holders = [
            windows.LayerHolders() for _ in range(model.layers)
        ]
        self.changes = {}
        self.reserve_share = RESERVE_SHARE
        self.joins_domains = False
        for engine in group:
            for layer in self._span(engine.holding):
                layer.add(engine, engine.holding)

    def _span(self, holding):
        """Return the holders of each layer of a range."""
        return (
            self.layer_holders[holding.first : holding.end] if holding else []
        )

    def assign(self, engine, holding):
        """Assign another range to an engine."""
        for layer in self._span(self.current[engine.id]):
            layer.remove(engine)
        for layer in self._span(holding):
            layer.add(engine, holding)
        self.current[engine.id] = holding
        self.changes[engine.id] = holding

    def assign_empty(self):
        """Assign the windows that need engines most to those without.

        In a rolling release each new engine registers about a second before
        the one that it replaces leaves.  If it were assigned another window
        at once, it would have to unload it while the gap remains open.
        """
        for engine in sorted(self.group, key=self._cost):
            if engine.may_replace and not self._gaps():
                continue
            if engine.holding is None:
                self._assign_window(engine)

    def assign_spares(self, engines, only_gaps):
        """Assign windows to some engines without layers.

        Parameters
        ----------
        engines : list of windows.Engine
        only_gaps : bool
            Whether to assign no more engines than gaps need.
        """
        for engine in sorted(engines, key=self._cost):
            has_gaps = self.has_gaps()
            if not has_gaps and (only_gaps or engine.may_replace):
                continue
            self._assign_window(engine)

    def _assign_window(self, engine):
        size = self.sizes[engine.id]
        if size <= 0:
            return
        if self.joins_domains:
            beside = self._window_beside_domain(engine, size)
            if beside is not None:
                self.assign(engine, beside)
                return
        window = windows.best_window(
            self.layer_holders, size, engine, self.model
        )
        self.assign(engine, self._missing_part(window))

    def _window_beside_domain(self, engine, size):
        """Return a part of a gap beside a range of an engine's domain.

        A chain then crosses domains less often.  None if there is no such
        gap.
        """
        spans = [
            self.current[other.id]
            for other in self.group
            if other.domain == engine.domain
        ]
        ends = {span.end for span in spans if span is not None}
        firsts = {span.first for span in spans if span is not None}
        for gap in self._gaps():
            count = min(size, gap.count)
            if gap.first in ends:
                return routing.Holding(gap.first, gap.first + count)
            if gap.end in firsts:
                return routing.Holding(gap.end - count, gap.end)
        return None

    def _missing_part(self, window):
        """Return the part of a window that a serving pool should load first.

        Loading 26 layers takes some five seconds; the three that no engine
        holds, with which the domain can serve again, take half a second.
        `extend_one` adds the rest later.
        """
        if not self.settled_engines():
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
        """Extend a range that was kept short while layers were missing.

        Only one at a time, and only while nothing else is loading in the
        pool, since all engines load from the same weight store.
        """
        if self._gaps() or any(e.is_loading for e in self.group):
            return
        if self.changes:
            return
        for engine in sorted(self.group, key=self._cost):
            held = self.current[engine.id]
            size = self.sizes[engine.id]
            if held is not None and held.count < size:
                window = windows.best_window(
                    self.layer_holders, size, engine, self.model, around=held
                )
                self.assign(engine, window)
                return

    def _cost(self, engine):
        """Return cost per layer on an engine, including that of the stage."""
        size = max(1, self.sizes[engine.id])
        return engine.step_factor + chains.STAGE_COST / size, engine.id

    def tiling(self, limits, keeps_held=False):
        """Return the division of all layers that loads the fewest.

        Parameters
        ----------
        limits : dict of str to int
            The most layers that each engine may hold.
        keeps_held : bool
            Whether engines may only extend their ranges.

        Returns
        -------
        tilings.Tiling or None
        """
        domains = sorted({engine.domain for engine in self.group})
        parts = []
        for engine in self.group:
            planned = self.current[engine.id]
            if planned is not None:
                position = planned.first, 0
            else:
                # By domain, so that a chain leaves each domain once; small
                # ranges first, as in `windows.best_window`.
                index = domains.index(engine.domain) - len(domains)
                position = index, limits[engine.id]
            parts.append(
                tilings.Part(
                    engine.id,
                    position,
                    engine.holding,
                    limits[engine.id],
                    engine.holding is None or not engine.is_loading,
                    keeps_held,
                )
            )
        return tilings.tile(parts, self.model.layers)

    def apply(self, tiling):
        """Assign the ranges of a tiling, that of the last layers first."""
        by_id = {engine.id: engine for engine in self.group}
        for name, holding in tiling.ranges.items():
            self.assign(by_id[name], holding)

    def has_gaps(self):
        """Return whether a layer has no holder, as far as planned."""
        return bool(self._gaps())

    def _gaps(self):
        return windows.gaps(
            [len(layer.holders) for layer in self.layer_holders]
        )

    def close_gaps(self):
        """Assign each layer to an engine, moving as few layers as possible.

        The neighbours of a gap are extended over it if they can hold all of
        it, which leaves all other layers in place.  Otherwise the gap is
        assigned to redundant engines, whose layers all have other holders.
        If there is none, the neighbours take what they can, and those of
        another engine are extended over the layers that it alone holds, so
        that it can be moved once they are loaded.
        """
        for gap in self._gaps():
            self.reserve_share = RESERVE_SHARE
            remaining = self._extend_neighbours(gap, only_if_closed=True)
            remaining = self._move_redundant(remaining)
            self.reserve_share = MIN_RESERVE_SHARE
            if remaining is not None:
                remaining = self._extend_neighbours(remaining)
            if remaining is not None and not self._release_one(remaining):
                # A chain with little memory for prompts is better than none.
                self.reserve_share = EMERGENCY_RESERVE_SHARE
                self._extend_neighbours(remaining, only_if_closed=True)

    def _move_redundant(self, gap):
        """Assign a gap to redundant engines; return the part that is left."""
        while gap is not None:
            redundant = _redundant_engine(self)
            if redundant is None:
                return gap
            # Loading no more than is missing closes the gap soonest.
            size = min(gap.count, self.sizes[redundant.id])
            first = max(0, min(gap.first, self.model.layers - size))
            self.assign(redundant, routing.Holding(first, first + size))
            gap = _range_or_none(first + size, gap.end)
        return None

    def _spare_layers(self, engine):
        held = self.current[engine.id]
        max_layers = engine.max_layers(
            self.model.layer_mb, 1.0 - self.reserve_share
        )
        return max(0, max_layers - held.count)

    def _neighbours(self, span, without=None):
        """Return how far an engine on each side could extend into a span.

        Returns
        -------
        tuple of (int, windows.Engine) or None
            For the left and the right side, the boundary that can be reached.
        """
        left, right = None, None
        for engine in self.group:
            held = self.current[engine.id]
            if held is None or engine is without:
                continue
            if engine.holding is not None and engine.is_loading:
                continue
            if held.first < span.first <= held.end:
                reach = held.end + self._spare_layers(engine)
                if left is None or reach > left[0]:
                    left = reach, engine
            if held.first <= span.end < held.end:
                reach = held.first - self._spare_layers(engine)
                if right is None or reach < right[0]:
                    right = reach, engine
        return left, right

    def _extend_neighbours(self, gap, only_if_closed=False):
        """Extend the neighbours into a gap; return the part that is left."""
        left, right = self._neighbours(gap)
        left_end = min(gap.end, left[0]) if left else gap.first
        right_first = max(gap.first, right[0]) if right else gap.end
        if left_end >= right_first:
            middle = (gap.first + gap.end + 1) // 2
            boundary = min(left_end, max(right_first, middle))
            left_end = right_first = boundary
        if only_if_closed and left_end < right_first:
            return gap
        self._extend(left, left_end, right, right_first)
        return _range_or_none(left_end, right_first)

    def _extend(self, left, left_end, right, right_first):
        if left and left_end > self.current[left[1].id].end:
            first = self.current[left[1].id].first
            self.assign(left[1], routing.Holding(first, left_end))
        if right and right_first < self.current[right[1].id].first:
            end = self.current[right[1].id].end
            self.assign(right[1], routing.Holding(right_first, end))

    def _release_one(self, gap):
        """Extend the neighbours of an engine over the layers it alone holds.

        Returns
        -------
        bool
            Whether there is such an engine.
        """
        counts = windows.coverage(self.settled_engines(), self.model.layers)
        best = None
        for engine in self.settled_engines():
            held = engine.holding
            sole_layers = [
                i for i in range(held.first, held.end) if counts[i] < 2
            ]
            if not sole_layers or held.count * 2 < gap.count:
                continue
            span = routing.Holding(sole_layers[0], sole_layers[-1] + 1)
            left, right = self._neighbours(span, engine)
            left_reach = left[0] if left else span.first
            right_reach = right[0] if right else span.end
            if (
                left_reach >= min(right_reach, span.end)
                or right_reach <= span.first
            ):
                if best is None or span.count < best[0].count:
                    best = span, left, right
        if best is not None:
            self._extend_over(*best)
        return best is not None

    def _extend_over(self, span, left, right):
        left_end = min(span.end, left[0]) if left else span.first
        if left_end >= span.end:
            right = None
        self._extend(left, left_end, right, left_end)

    def settled_engines(self):
        """Return the engines whose ranges are loaded and stay unchanged."""
        return [
            engine
            for engine in self.group
            if engine.holding is not None
            and not engine.is_loading
            and engine.id not in self.changes
        ]


def _range_or_none(first, end):
    return routing.Holding(first, end) if end > first else None


def _redundant_engine(pool):
    """Return the least needed engine whose layers all have other holders.

    The others must have loaded them: if an engine were moved while its
    successor is still loading, the pool would lack those layers.  An engine
    whose layers all have a faster holder is needed least.  Of these the least
    used is taken: an engine loads new layers only when its active requests
    have ended, and those that began at it can't be moved to another.
    """
    settled = pool.settled_engines()
    counts = windows.coverage(settled, pool.model.layers)
    best = None
    for engine in settled:
        held = engine.holding
        if min(counts[held.first : held.end]) < 2:
            continue
        span = pool.layer_holders[held.first : held.end]
        scarcity = sum(layer.scarcity(pool.model) for layer in span)
        rank = (
            round(sum(layer.loss(engine) for layer in span), 3),
            held.first == 0 and engine.memory_use > 0.0,
            round(engine.memory_use, 1),
            scarcity / held.count,
            engine.id,
        )
        if best is None or rank < best[0]:
            best = rank, engine
    return best[1] if best else None


def make_pool_plan(group, model, weight_share):
    """Make a `PoolPlan` with the same share of each card for weights.

    Parameters
    ----------
    group : list of windows.Engine
    model : routing.Model
    weight_share : float
        Share of a card's memory for weights.
    """
    sizes = {e.id: _size(e, model, weight_share) for e in group}
    return PoolPlan(group, model, sizes)


def make_room_plan(group, model, tokens):
    """Make a `PoolPlan` in which each layer has room for as many tokens.

    Parameters
    ----------
    group : list of windows.Engine
    model : routing.Model
    tokens : float
    """
    pool = PoolPlan(group, model, poolsize.sizes(group, tokens, model))
    pool.joins_domains = len({engine.domain for engine in group}) > 1
    return pool
