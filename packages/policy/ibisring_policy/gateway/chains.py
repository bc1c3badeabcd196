"""Choice of a chain of engines for a request, by time, memory and exposure.

A chain runs each layer once and in order.  An engine may run a part of the
layers that it holds, so chains can change from one engine to another at any
boundary of any engine's range.
"""

__all__ = [
    'Stage',
    'Holder',
    'Demand',
    'choose',
    'remote_first_stage_cost',
    'tokens_needed',
    'jitter_slot_use',
]

from ibisring_policy import plans
import msgspec

# Costs are in layers: one layer on the fastest kind of card is the unit.
# One more stage: the hop, and one more engine whose loss pauses the stream.
STAGE_COST = 25.0
# A crossing between failure domains within a chain: the activations of the
# prompt take tens of milliseconds of a link that all chains share.
CROSSING_COST = 640.0
# A first stage in another failure domain than the router's: the whole response
# crosses, event by event.
REMOTE_FIRST_STAGE_COST = 200.0
# The same for a router that does not know the load of others yet.  Routers
# that have started together would otherwise all choose the fastest chain of
# all domains, and fill it.
STARTING_REMOTE_FIRST_STAGE_COST = 2000.0
# Time after a start until the loads of most other routers have arrived.
LOADS_KNOWN_SECONDS = 2.0
# A first stage with more than half of its slots taken, multiplied by the
# excess over the free share: a request that finds no slot waits until another
# ends.
SLOT_COST = 100.0
MIN_FREE_SLOT_SHARE = 0.05
# Random variation of the slot use of first stages, so that routers which
# received the same state choose differently.
SLOT_USE_JITTER = 0.2
# Share of an engine's memory for prompts, or of its slots, that can be used
# at no extra cost.
COST_FREE_SHARE = 0.5
# Number of paths tried before a group of engines counts as full.
MAX_PATHS = 4
# An engine counts as full at this share of its memory for prompts, since the
# requests of other routers are known only after a delay.
FULL_SHARE = 0.95
# Share of the longest response that is expected without a better estimate.
EXPECTED_RESPONSE_SHARE = 0.6
# Share of the expected response for which memory is reserved: the requests of
# an engine have written half of their responses on average.
RESERVED_RESPONSE_SHARE = 0.5


class Stage(msgspec.Struct, frozen=True):
    """A stage of a chain: an endpoint, and the range of layers it runs."""

    endpoint: str
    address: str
    first: int
    end: int

    @property
    def first_layer(self):
        """Lowest layer that the stage runs."""
        return self.first

    @property
    def last_layer(self):
        """Highest layer that the stage runs, inclusive."""
        return self.end - 1


class Holder(msgspec.Struct):
    """An engine that holds layers and may run a stage of a chain.

    `capacity` is its memory for prompts in tokens times layers, and `used`
    the part that is reserved; `step_factor` is its time per layer relative to
    the fastest kind of card; `slot_use` is the share of its slots in use.
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
    """Requirements of a request: its tokens, its layers, the router's domain.

    `may_cross` allows a chain through several failure domains;
    `remote_first_stage_cost` is that of a first stage in another domain;
    `may_overcommit` allows engines that are estimated to be full.
    """

    tokens: float
    domain: str
    first: int = 0
    end: int = 0
    may_cross: bool = True
    remote_first_stage_cost: float = REMOTE_FIRST_STAGE_COST
    may_overcommit: bool = True


def remote_first_stage_cost(seconds_since_start):
    """Return the cost of a first stage in another failure domain.

    Examples
    --------
    >>> remote_first_stage_cost(0.1) > remote_first_stage_cost(10.0)
    True
    """
    if seconds_since_start < LOADS_KNOWN_SECONDS:
        return STARTING_REMOTE_FIRST_STAGE_COST
    return REMOTE_FIRST_STAGE_COST


def tokens_needed(prompt, max_response, hint=None):
    """Return the tokens of memory to reserve for a request.

    Parameters
    ----------
    prompt, max_response : int
    hint : int or None
        The caller's estimate of the response's length.
    """
    expected = max_response * EXPECTED_RESPONSE_SHARE
    if hint:
        expected = min(max_response, max(hint, 0.25 * max_response))
    return prompt + RESERVED_RESPONSE_SHARE * expected


def jitter_slot_use(holders, draw):
    """Vary the slot use of engines a little at random, in place.

    Hundreds of routers that received the same state would otherwise all send
    to the same first stage until the next update, and fill it.

    Parameters
    ----------
    holders : list of Holder
    draw : callable
        Returns random numbers from 0 up to but excluding 1.
    """
    for holder in holders:
        holder.slot_use *= 1.0 + SLOT_USE_JITTER * (2.0 * draw() - 1.0)


def choose(holders, demand, layers, noise, first_stages=None):
    """Return the cheapest chain, or None if no chain has room.

    A chain stays within one failure domain if any domain has one with room.
    A prompt that crosses domains takes some 30 ms of a link that all chains
    share; at the usual load half of the prompts would saturate it, and all
    crossing requests would wait, including those of unaffected stages.

    Parameters
    ----------
    holders : list of Holder
    demand : Demand
        `first` and `end` delimit the layers to run.
    layers : int
        Number of layers of the model.
    noise : callable
        Returns a factor around 1.0 for each holder, so that routers with
        the same state do not all choose the same chain.
    first_stages : collection of str or None
        Endpoints that may run the first stage; None allows all.

    Returns
    -------
    list of Stage or None

    Notes
    -----
    Finds a shortest path over layer boundaries and failure domains.  The
    time grows with the number of holders times the square of the boundaries
    within one range: 0.4 ms for 13 engines, 3 ms for 98.
    """
    costs = {}
    for holder in holders:
        cost = _cost_per_layer(holder)
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
    """Return cost and stages of the cheapest chain, or None.

    When engines are nearly full, a shortest path may pass through one of
    them twice, since each of the two stages fits by itself.  The engine is
    then restricted to the longer stage and the search repeated: giving up
    would refuse requests for which there is room.
    """
    for _ in range(MAX_PATHS):
        found = _shortest_path(holders, demand, costs, first_stages)
        if found is None:
            return None
        repeated = _repeated_stage(found[1])
        if repeated is None:
            return found
        holders = _restrict_to(holders, repeated)
    return None


def _repeated_stage(stages):
    """Return the longest stage of an engine that has several, or None."""
    names = [stage.endpoint for stage in stages]
    repeated = [stage for stage in stages if names.count(stage.endpoint) > 1]
    return max(repeated, key=lambda s: s.end - s.first, default=None)


def _restrict_to(holders, stage):
    """Restrict the engine of a stage to the range of that stage."""
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
        _extend_paths(
            holders, demand, costs, points, point, best, first_stages
        )
    return _build_chain(best, demand, holders)


def _boundaries(holders, demand):
    points = {demand.first, demand.end}
    for holder in holders:
        points.add(holder.first)
        points.add(holder.end)
    return sorted(p for p in points if demand.first <= p <= demand.end)


def _cost_per_layer(holder):
    """Return the cost of running a layer, or None if the engine is full."""
    used = holder.used / holder.capacity if holder.capacity > 0 else 1.0
    if used >= FULL_SHARE:
        return None
    scarcity = max(1.0, (1.0 - COST_FREE_SHARE) / (1.0 - used)) ** 2
    return holder.step_factor * scarcity


def _extend_paths(holders, demand, costs, points, point, best, first_stages):
    """Extend each partial chain that ends at a boundary by one stage."""
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
            total += _slot_cost(holder) if point == 0 else 0.0
            state = (end, holder.domain)
            if state not in best or total < best[state][0]:
                best[state] = (total, origin, holder.id)


def _may_be_first(holder, first_stages):
    """Return whether an engine may run a first stage, which needs a slot."""
    return holder.slot_use < 1.0 and (
        first_stages is None or holder.id in first_stages
    )


def _slot_cost(holder):
    excess = max(0.0, holder.slot_use - COST_FREE_SHARE)
    return SLOT_COST * excess / max(MIN_FREE_SLOT_SHARE, 1.0 - holder.slot_use)


def _entry_cost(holder, previous, demand):
    if previous is None:
        is_local = holder.domain == demand.domain
        return 0.0 if is_local else demand.remote_first_stage_cost
    return 0.0 if holder.domain == previous else CROSSING_COST


def _build_chain(best, demand, holders):
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
