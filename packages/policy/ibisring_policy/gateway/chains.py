"""Chains of engines for a request, chosen by time, memory and exposure.

A chain runs each layer once and in order.  An engine may run a part of what
it holds, so chains can change from one engine to another at any boundary of
anyone's range.
"""

__all__ = [
    'Stage',
    'Holder',
    'Demand',
    'choose',
    'tokens_needed',
    'jitter_slot_use',
]

from ibisring_policy import plans
import msgspec

# Costs are in layers run at pace 1, which take 0.09 ms an event each with the
# wait for the pass under way (fitted to 3,191 streams of three calm days:
# 0.22, 0.48 and 1.4 ms a layer on cards of pace 2.4, 5.3 and 16).
# One more stage: 0.5 ms an event for the hop, and one more engine whose loss
# pauses the stream; a stream of 3 s meets the loss of one in 150 on a bad day.
STAGE_COST = 25.0
# Passing between failure domains in the middle of a chain: the prompt's
# activations take some 11 to 30 ms of a pipe that all chains share.
CROSSING_COST = 640.0
# A first engine in another failure domain than the router's: its whole answer
# crosses, event by event.  At 200 the bytes between domains fell by 0.4 on a
# calm day and 0.25 on days of trouble against 50, and as many answers were
# in time.
AWAY_COST = 200.0
# A first engine whose slots are over half taken, by what is taken beyond that
# over what is free: at four fifths a slower one, or one in another domain, is
# as good.  A request that finds no slot waits for the end of another.
HEADS_COST = 100.0
LEAST_FREE = 0.05
# Share by which routers that were told the same take first engines to be more
# or less full.
HEADS_VARY = 0.2
# Share of an engine's memory for prompts, or of its slots, up to which its use
# costs nothing.
HALF_FULL = 0.5
# Paths looked for before a group of engines counts as full.
MOST_PATHS = 4
# An engine counts as full at this share of its memory for prompts: other
# routers' requests are known with a delay only.
FULL_SHARE = 0.95
# Share of the longest answer that is expected, with no better estimate.
ANSWER_SHARE = 0.6
# Share of the expected answer that is reserved.  An engine runs dozens of
# requests at all stages of their answers, half written on average.  With the
# whole reserved, engines reported 0.82 of what was booked (21,000 reports)
# and 1,668 requests were refused for room on fifteen days; with half 982, at
# 1 to 24 preempted requests on six of these days.
WRITTEN_SHARE = 0.5


class Stage(msgspec.Struct, frozen=True):
    """A part of a chain: an endpoint, and the layers that it runs."""

    endpoint: str
    address: str
    first: int
    end: int

    @property
    def first_layer(self):
        """Lowest layer."""
        return self.first

    @property
    def last_layer(self):
        """Highest layer, inclusive."""
        return self.end - 1


class Holder(msgspec.Struct):
    """An engine that may be part of a chain.

    `capacity` is memory for prompts in tokens times layers, `used` how much
    of it is taken; `step_factor` is its time for all layers over that of the
    fastest kind of card; `slot_use` the share of its slots taken.
    """

    id: str
    address: str
    domain: str
    first: int
    end: int
    capacity: float
    used: float = 0.0
    step_factor: float = 1.0
    slot_use: float = 0.0


class Demand(msgspec.Struct):
    """What a chain must carry: tokens of one request, and where it begins.

    `may_cross` allows a chain over several failure domains.
    """

    tokens: float
    domain: str
    first: int = 0
    end: int = 0
    may_cross: bool = True


def tokens_needed(prompt, longest_answer, hint=None):
    """Give the tokens that a request holds in memory, over its life.

    Parameters
    ----------
    prompt, longest_answer : int
    hint : int or None
        The caller's guess of the answer's length.
    """
    expected = longest_answer * ANSWER_SHARE
    if hint:
        expected = min(longest_answer, max(hint, 0.25 * longest_answer))
    return prompt + WRITTEN_SHARE * expected


def jitter_slot_use(holders, draw):
    """Change the shares of slots that are taken a little, at random.

    Hundreds of routers that were told the same would all send to the same
    first engine until they are told again, and fill it.

    Parameters
    ----------
    holders : list of Holder
    draw : callable
        Gives random numbers from 0 up to, without, 1.
    """
    for holder in holders:
        holder.slot_use *= 1.0 + HEADS_VARY * (2.0 * draw() - 1.0)


def choose(holders, demand, layers, noise, first_stages=None):
    """Give the best chain, or None if no chain has room.

    A chain stays in one failure domain if any domain has one with room.
    A prompt that crosses takes some 30 ms of a pipe that all share; at the
    usual load every second prompt would fill it, and then all that cross
    wait, also for the stages that are not at fault.

    Parameters
    ----------
    holders : list of Holder
    demand : Demand
        `first` and `end` bound the layers wanted.
    layers : int
        Layers of the whole model.
    noise : callable
        Gives a factor around 1.0 for each holder, so that routers which
        know the same do not all take the same chain.
    first_stages : collection of str or None
        Only these endpoints may be the first stage.

    Returns
    -------
    list of Stage or None

    Notes
    -----
    A shortest path over layer boundaries and failure domains.  The work
    grows with the holders times the square of the boundaries inside one
    range: 0.4 ms for 13 engines, 3 ms for 98.
    """
    costs = {}
    for holder in holders:
        cost = _cost_a_layer(holder)
        if cost is not None:
            costs[holder.id] = cost * noise()
    found = [
        _cheapest(group, demand, costs, first_stages)
        for group in _by_domain(holders).values()
    ]
    found = [each for each in found if each is not None]
    if not found and demand.may_cross:
        found = [_cheapest(holders, demand, costs, first_stages)]
        found = [each for each in found if each is not None]
    if not found:
        return None
    stages = min(found, key=lambda each: each[0])[1]
    if demand.first == 0 and demand.end == layers:
        plans.check_chain(stages, layers)
    return stages


def _by_domain(holders):
    groups = {}
    for holder in holders:
        groups.setdefault(holder.domain, []).append(holder)
    return groups


def _cheapest(holders, demand, costs, first_stages):
    """Give cost and stages of the best chain of some engines, or None.

    When engines are nearly full, a shortest path may pass through one of
    them twice, since each of the two pieces fits by itself.  That one is
    then tried with its longer piece only: giving up would refuse requests
    for which there is room.
    """
    for _ in range(MOST_PATHS):
        found = _shortest_path(holders, demand, costs, first_stages)
        if found is None:
            return None
        again = _used_twice(found[1])
        if again is None:
            return found
        holders = _narrowed(holders, again)
    return None


def _used_twice(stages):
    """Give the longest stage of an engine with several, or None."""
    names = [stage.endpoint for stage in stages]
    twice = [stage for stage in stages if names.count(stage.endpoint) > 1]
    return max(twice, key=lambda s: s.end - s.first, default=None)


def _narrowed(holders, stage):
    """Leave one engine a single stage, which it may run or not."""
    return [
        (
            msgspec.structs.replace(each, first=stage.first, end=stage.end)
            if each.id == stage.endpoint
            else each
        )
        for each in holders
    ]


def _shortest_path(holders, demand, costs, first_stages):
    points = _boundaries(holders, demand)
    best = {(demand.first, None): (0.0, None, None)}
    for point in points:
        _step(holders, demand, costs, points, point, best, first_stages)
    return _trace(best, demand, holders)


def _boundaries(holders, demand):
    points = {demand.first, demand.end}
    for holder in holders:
        points.add(holder.first)
        points.add(holder.end)
    return sorted(p for p in points if demand.first <= p <= demand.end)


def _cost_a_layer(holder):
    """Cost of running one layer, or None if the engine is full."""
    used = holder.used / holder.capacity if holder.capacity > 0 else 1.0
    if used >= FULL_SHARE:
        return None
    scarce = max(1.0, (1.0 - HALF_FULL) / (1.0 - used)) ** 2
    return holder.step_factor * scarce


def _step(holders, demand, costs, points, point, best, first_stages):
    """Extend every chain that ends at a boundary by one stage."""
    states = [(k, v[0]) for k, v in best.items() if k[0] == point]
    if not states:
        return
    for holder in holders:
        if holder.id not in costs or not holder.first <= point < holder.end:
            continue
        if point == 0 and not _may_be_first(holder, first_stages):
            continue
        before, origin = min(
            (
                (cost + _entry_cost(holder, key[1], demand), key)
                for key, cost in states
            ),
            key=lambda each: each[0],
        )
        free = holder.capacity * FULL_SHARE - holder.used
        for end in points:
            size = end - point
            if size <= 0 or end > holder.end or demand.tokens * size > free:
                continue
            total = before + STAGE_COST + size * costs[holder.id]
            total += _heads_cost(holder) if point == 0 else 0.0
            state = (end, holder.domain)
            if state not in best or total < best[state][0]:
                best[state] = (total, origin, holder.id)


def _may_be_first(holder, first_stages):
    """Say whether an engine may be a first stage; only there slots count."""
    return holder.slot_use < 1.0 and (
        first_stages is None or holder.id in first_stages
    )


def _heads_cost(holder):
    beyond = max(0.0, holder.slot_use - HALF_FULL)
    return HEADS_COST * beyond / max(LEAST_FREE, 1.0 - holder.slot_use)


def _entry_cost(holder, previous, demand):
    if previous is None:
        return 0.0 if holder.domain == demand.domain else AWAY_COST
    return 0.0 if holder.domain == previous else CROSSING_COST


def _trace(best, demand, holders):
    ends = [key for key in best if key[0] == demand.end]
    if not ends:
        return None
    by_id = {holder.id: holder for holder in holders}
    key = min(ends, key=lambda each: best[each][0])
    cost = best[key][0]
    stages = []
    while best[key][1] is not None:
        _, origin, name = best[key]
        holder = by_id[name]
        stages.append(Stage(name, holder.address, origin[0], key[0]))
        key = origin
    stages.reverse()
    return cost, stages
