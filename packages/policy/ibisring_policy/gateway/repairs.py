"""The engines of a pool while their ranges are being planned.

Empty engines are given the windows that need them most; gaps are closed with
as few layers moved as can be; ranges that were kept short are lengthened.
"""

__all__ = ['Pool', 'make_pool']

from ibisring_policy.gateway import chains
from ibisring_policy.gateway import windows
from ibisring_records import routing

# Memory for prompts kept on a card, as a share of it, when its range is
# lengthened to close a gap; and when nothing else closes it.  At 0.2 a card
# of 14 GB holds 44,000 tokens for six layers, at 0.12 20,000 for seven: half
# of what a failure domain has under way at the usual load.
RESERVE = 0.2
LEAST_RESERVE = 0.12
# And where the domain would serve nothing otherwise.
TIGHT_RESERVE = 0.05


def _size(engine, model, fill):
    """Give how many layers an engine should hold."""
    most = engine.max_layers(model.layer_mb)
    wanted = round(engine.memory_mb * fill / model.layer_mb)
    return min(max(1, wanted), max(1, most - 1), most, model.layers)


class Pool:
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

    def __init__(self, group, model, fill):
        self.group = group
        self.model = model
        self.fill = fill
        self.current = {engine.id: engine.holding for engine in group}
        self.held = [windows.Layer() for _ in range(model.layers)]
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
            if engine.may_replace and not self._gaps():
                continue
            size = _size(engine, self.model, self.fill)
            if engine.holding is None and size > 0:
                window = windows.best_window(
                    self.held, size, engine, self.model
                )
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
            size = _size(engine, self.model, self.fill)
            if held is not None and held.count < size:
                window = windows.best_window(
                    self.held, size, engine, self.model, around=held
                )
                self.assign(engine, window)
                return

    def _cost(self, engine):
        """Give what a layer costs on an engine, its stage's part included."""
        size = max(1, _size(engine, self.model, self.fill))
        return engine.step_factor + chains.STAGE_COST / size, engine.id

    def _gaps(self):
        return windows.gaps([len(layer.holders) for layer in self.held])

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
            size = min(gap.count, _size(spare, self.model, self.fill))
            first = max(0, min(gap.first, self.model.layers - size))
            self.assign(spare, routing.Holding(first, first + size))
            gap = _rest(first + size, gap.end)
        return None

    def _room(self, engine):
        held = self.current[engine.id]
        most = engine.max_layers(self.model.layer_mb, 1.0 - self.reserve)
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
        counts = windows.coverage(self.in_place(), self.model.layers)
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
    counts = windows.coverage(in_place, pool.model.layers)
    best = None
    for engine in in_place:
        held = engine.holding
        if min(counts[held.first : held.end]) < 2:
            continue
        span = pool.held[held.first : held.end]
        want = sum(layer.tightness(pool.model) for layer in span)
        rank = (
            round(sum(layer.loss(engine) for layer in span), 3),
            held.first == 0 and engine.memory_use > 0.0,
            round(engine.memory_use, 1),
            want / held.count,
            engine.id,
        )
        if best is None or rank < best[0]:
            best = rank, engine
    return best[1] if best else None


def make_pool(group, model, fill):
    """Make a `Pool` of the engines of a failure domain.

    Parameters
    ----------
    group : list of windows.Engine
    model : routing.Model
    fill : float
        Share of a card's memory for weights.
    """
    return Pool(group, model, fill)
