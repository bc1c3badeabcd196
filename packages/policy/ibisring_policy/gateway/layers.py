"""Planner of the layers that each engine holds.

Engines of one failure domain form a pool, since a prompt's activations are
too large to be sent between domains for every request.  In a pool with memory
to spare, using the same share of each card for weights gives each held layer
the same memory for prompts; in a smaller one, ranges follow from the largest
room for which all layers fit, see `poolsize`.  An engine without layers is
assigned the window of its size that most needs another holder.  Engines that
hold a window keep it; only where a layer has no holder left are others moved
or their ranges extended.
"""

__all__ = [
    'Change',
    'Pool',
    'Sizing',
    'due',
    'plan',
    'plan_pools',
    'missing',
    'pools',
    'room_requests',
]

import enum
import math

from ibisring_policy.gateway import poolplan
from ibisring_policy.gateway import poolsize
from ibisring_policy.gateway import repairs
from ibisring_policy.gateway import windows
import msgspec

# Share of a card's memory used for weights.  More shortens chains and leaves
# less room for prompts, which binds first on the fast cards.
WEIGHT_SHARE = 0.68
# A pool that can hold this many copies of the model is sized by share.
MIN_COPIES = 1.05
# Upper bound of the share used for weights, for small pools.
MAX_WEIGHT_SHARE = 0.88
# Requests for which a failure domain must have room to be a pool of its own;
# the default of the setting `min_pool_requests`.
MIN_REQUESTS = 8
# A repair may leave a pool with this share of its largest room if it then
# loads fewer layers, by at least the second share of the model's layers.  At
# the largest room hardly any engine has memory for a further layer, so that
# the loss of one would move the ranges of all others.
REPAIR_ROOM_SHARE = 0.75
REPAIR_SAVING_SHARE = 0.1
# How long layers must lack a holder before other engines give up theirs: the
# process of a lost engine is often started again within this time.
RETILE_SECONDS = 4.0
# While no pool is complete, engines may give up layers before that time if
# fewer layers than this share of the model's are loaded in exchange.
EARLY_RETILE_SHARE = 0.1


Change = repairs.Change


class Sizing(enum.Enum):
    """How the ranges of a pool are sized."""

    BY_SHARE = 'share'
    BY_ROOM = 'room'
    # The engines can't hold the model, and keep the layers that they hold.
    KEPT = 'kept'


class Pool(msgspec.Struct, frozen=True):
    """Engines that are planned together."""

    engines: list[windows.Engine]
    sizing: Sizing

    @property
    def domains(self):
        """The failure domains of the engines, sorted."""
        return sorted({engine.domain for engine in self.engines})

    def is_complete(self, layers):
        """Return whether each layer is loaded by an engine."""
        return repairs.has_all_loaded(self.engines, layers)

    def has_gaps(self, layers):
        """Return whether a layer has no holder, loading ones included."""
        return 0 in windows.coverage(self.engines, layers)


def missing(engines, layers):
    """Return the layers that no engine of a failure domain holds.

    Returns
    -------
    dict of str to list of Holding
        By failure domain; only domains that lack some layers.
    """
    by_domain = {}
    for engine in engines:
        by_domain.setdefault(engine.domain, []).append(engine)
    found = {}
    for domain, group in by_domain.items():
        gaps = windows.gaps(windows.coverage(group, layers))
        if gaps:
            found[domain] = gaps
    return found


def pools(engines, model, min_requests=MIN_REQUESTS):
    """Group engines so that each group can hold the whole model.

    A failure domain that can hold the model, or does, is a pool of its own,
    whatever happens in the others.  The other domains are combined if they
    can hold the model together.  If no domain can hold it, all engines form
    one pool.

    Parameters
    ----------
    engines : list of windows.Engine
    model : routing.Model
    min_requests : int
        Typical requests for which a pool must have room, unless it is sized
        by share.

    Returns
    -------
    list of Pool
    """
    by_domain = {}
    for engine in sorted(engines, key=_engine_id):
        by_domain.setdefault(engine.domain, []).append(engine)
    found, small = [], []
    for _, group in sorted(by_domain.items()):
        if _has_spare_memory(group, model):
            found.append(Pool(group, Sizing.BY_SHARE))
        elif _has_room(group, model, min_requests):
            found.append(Pool(group, Sizing.BY_ROOM))
        else:
            small.append(group)
    if not found:
        return [_merged(engines)]
    if _stays_merged(found, engines, model):
        return [_merged(engines)]
    combined = [engine for group in small for engine in group]
    if len(small) > 1 and _has_room(combined, model, min_requests):
        return [*found, Pool(combined, Sizing.BY_ROOM)]
    return [*found, *(Pool(group, Sizing.KEPT) for group in small)]


def _merged(engines):
    return Pool(sorted(engines, key=_engine_id), Sizing.BY_SHARE)


def _stays_merged(found, engines, model):
    """Return whether all engines are to stay one pool.

    If they only hold the model together, they serve as one pool until one of
    the others can be completed with layers that are loaded elsewhere.
    """
    if any(pool.is_complete(model.layers) for pool in found):
        return False
    if not repairs.has_all_loaded(engines, model.layers):
        return False
    return not any(_can_complete(pool, engines, model) for pool in found)


def _can_complete(pool, engines, model):
    """Return whether a plan completes a pool without taking a last copy.

    Changes are followed in steps: a layer that one has loaded may be given up
    by another.
    """
    changes = _PLANNERS[pool.sizing](pool.engines, model, math.inf)
    new = {change.id: change.holding for change in changes}
    after = [
        msgspec.structs.replace(e, holding=new.get(e.id, e.holding))
        for e in pool.engines
    ]
    if windows.gaps(windows.coverage(after, model.layers)):
        return False
    while changes:
        sent = repairs.without_last_holders(changes, engines, model.layers)
        if not sent:
            return False
        done = {change.id: change.holding for change in sent}
        engines = [
            msgspec.structs.replace(e, loaded=done.get(e.id, e.loaded))
            for e in engines
        ]
        changes = [change for change in changes if change.id not in done]
    return True


def _has_spare_memory(group, model):
    available_layers = sum(
        e.max_layers(model.layer_mb, MAX_WEIGHT_SHARE) for e in group
    )
    return available_layers >= model.layers * MIN_COPIES


def _has_room(group, model, min_requests):
    """Return whether engines hold the model, or can with enough room.

    Engines that hold it are left as they are after a loss that reduces their
    room: loading other ranges would interrupt them.
    """
    if not windows.gaps(windows.coverage(group, model.layers)):
        return True
    needed = min_requests * poolsize.request_tokens(model)
    return poolsize.room(group, model) >= needed


def _engine_id(engine):
    return engine.id


def plan(engines, model, min_requests=MIN_REQUESTS):
    """Return the changes of ranges that the engines need.

    Parameters
    ----------
    engines : list of windows.Engine
        Engines that stay, without those that are draining or lost.
    model : routing.Model
    min_requests : int
        See `pools`.

    Returns
    -------
    list of Change
        In the order in which to send them, see `repairs.ordered`.  No range
        exceeds the memory of its engine.
    """
    return plan_pools(pools(engines, model, min_requests), model)


def plan_pools(found, model, gap_seconds=None):
    """Return the changes that engines grouped by `pools` need.

    Parameters
    ----------
    found : list of Pool
    model : routing.Model
    gap_seconds : dict of tuple of str to float, optional
        For how long layers have lacked a holder, by the domains of the pool.
        Without it, engines give up ranges at once where that closes a gap.
    """
    is_served = any(pool.is_complete(model.layers) for pool in found)
    planned = []
    for pool in found:
        most_loads = _retile_limit(pool, model, gap_seconds, is_served)
        planner = _PLANNERS[pool.sizing]
        changes = planner(pool.engines, model, most_loads)
        planned.append((pool.engines, changes))
    planned.extend(_plan_spares(found, planned, model))
    return repairs.ordered(planned, model.layers)


def _plan_spares(found, planned, model):
    """Plan for the engines without layers in domains that are too small.

    They are assigned the layers that no engine of an incomplete pool is going
    to hold.  If all pools are complete, they restore what their own domain
    held, or become further holders of the layers that need them most.

    Returns
    -------
    list of (list of windows.Engine, list of Change)
    """
    kept = [pool for pool in found if pool.sizing is Sizing.KEPT]
    small = [engine for pool in kept for engine in pool.engines]
    spares = [engine for engine in small if engine.holding is None]
    if not spares:
        return []
    others = [p for p in found if p.sizing is not Sizing.KEPT]
    if not all(pool.is_complete(model.layers) for pool in others):
        return _fill_gaps(spares, small, others, planned, model)
    everywhere = [engine for pool in found for engine in pool.engines]
    entries = []
    for pool in kept:
        empty = [e for e in pool.engines if e.holding is None]
        group = everywhere if len(empty) == len(pool.engines) else pool.engines
        plan_of_all = poolplan.make_pool_plan(group, model, WEIGHT_SHARE)
        plan_of_all.assign_spares(empty, only_gaps=False)
        entries.append((everywhere, _changes(plan_of_all)))
    return entries


def _fill_gaps(spares, small, others, planned, model):
    """Assign the gaps that plans of incomplete pools leave to spare engines.

    A gap that an engine of a small domain holds already is not filled again.
    """
    planned_changes = {c.id: c for _, changes in planned for c in changes}
    for pool in others:
        if pool.is_complete(model.layers):
            continue
        group = [*pool.engines, *small]
        filled = poolplan.make_pool_plan(group, model, WEIGHT_SHARE)
        for engine in pool.engines:
            if engine.id in planned_changes:
                filled.assign(engine, planned_changes[engine.id].holding)
        filled.assign_spares(spares, only_gaps=True)
        names = {engine.id for engine in spares}
        changes = [c for c in _changes(filled) if c.id in names]
        if changes:
            return [(group, changes)]
    return []


def _retile_limit(pool, model, gap_seconds, is_served):
    """Return how many layers may be loaded where engines give up ranges."""
    if gap_seconds is None:
        return math.inf
    if gap_seconds.get(tuple(pool.domains), 0.0) >= RETILE_SECONDS:
        return math.inf
    return 0.0 if is_served else EARLY_RETILE_SHARE * model.layers


def due(changes, found, model, broken=frozenset(), waiting=()):
    """Return the changes to send now, see `repairs.limited`.

    Loads of pools sized by share are bounded only while another pool is
    incomplete that was complete before.

    Parameters
    ----------
    changes : list of Change
    found : list of Pool
    model : routing.Model
    broken : collection of tuple of str
        Domains of the pools that are incomplete but were complete before.
    waiting : list of str
        Failure domains of engines that are left out of the pools because they
        gave up their layers and wait for their requests to end.
    """
    engines = [engine for pool in found for engine in pool.engines]
    groups = [p.engines for p in found if p.sizing is not Sizing.KEPT]
    unbounded = {
        engine.id
        for pool in found
        if pool.sizing is Sizing.BY_SHARE
        and not set(broken) - {tuple(pool.domains)}
        for engine in pool.engines
    }
    return repairs.limited(changes, engines, groups, model, unbounded, waiting)


def room_requests(pool, model):
    """Return the typical requests for which a pool's loaded layers suffice."""
    tokens = poolsize.held_room(pool.engines, model)
    if math.isinf(tokens):
        # Tokens take no memory: the slots of the engines are the bound.
        return model.slots * len(pool.engines)
    return tokens / max(1.0, poolsize.request_tokens(model))


def _weight_share(group, model):
    """Return the share of memory to use for weights in a pool."""
    memory = sum(engine.memory_mb for engine in group)
    if not memory:
        return WEIGHT_SHARE
    needed = MIN_COPIES * model.layers * model.layer_mb / memory
    return min(MAX_WEIGHT_SHARE, max(WEIGHT_SHARE, needed))


def _plan_by_share(group, model, most_loads):
    pool = poolplan.make_pool_plan(group, model, _weight_share(group, model))
    pool.assign_empty()
    pool.close_gaps()
    pool.extend_one()
    is_stuck = not pool.changes and pool.has_gaps()
    if is_stuck and not any(e.is_loading for e in group):
        limits = _limits_by_share(group, model)
        _retile(pool, lambda keeps: pool.tiling(limits, keeps), most_loads)
    return _changes(pool)


def _retile(pool, find, most_loads):
    """Apply a tiling; one in which engines give up layers only if small.

    Parameters
    ----------
    pool : poolplan.PoolPlan
    find : callable
        Takes whether engines may only extend their ranges, and returns a
        tiling or None.
    most_loads : float
        Engines may give up layers if fewer layers than this are loaded.
    """
    tiling = find(False) if most_loads > 0.0 else None
    if tiling is None or _gives_up_for(pool, tiling) >= most_loads:
        tiling = find(True)
    if tiling is not None:
        pool.apply(tiling)


def _gives_up_for(pool, tiling):
    """Return how many layers a tiling loads; -1 if no engine gives up any."""
    held = {engine.id: engine.holding for engine in pool.group}
    new = tiling.ranges.items()
    if not any(repairs.gives_up(held[name], span) for name, span in new):
        return -1
    return sum(repairs.layers_to_load(held[name], span) for name, span in new)


def _limits_by_share(group, model):
    return {
        e.id: e.max_layers(model.layer_mb, MAX_WEIGHT_SHARE) for e in group
    }


def _plan_by_room(group, model, most_loads):
    tokens = poolsize.room(group, model)
    pool = poolplan.make_room_plan(group, model, tokens)
    if any(engine.holding is not None for engine in group):
        pool.assign_empty()
    if pool.has_gaps():
        _retile(
            pool,
            lambda keeps: _cheapest_tiling(pool, tokens, keeps),
            most_loads,
        )
    pool.extend_one()
    return _changes(pool)


def _cheapest_tiling(pool, tokens, keeps_held):
    """Return a tiling with the largest room, or one with far fewer loads."""
    largest = pool.tiling(pool.sizes, keeps_held)
    limits = {
        e.id: poolsize.size(
            e.memory_mb, tokens * REPAIR_ROOM_SHARE, pool.model
        )
        for e in pool.group
    }
    smaller = pool.tiling(limits, keeps_held)
    if largest is None or smaller is None:
        return largest or smaller
    saving = largest.cost - smaller.cost
    if saving >= REPAIR_SAVING_SHARE * pool.model.layers:
        return smaller
    return largest


def _changes(pool):
    return [Change(name, held) for name, held in pool.changes.items()]


def _keep(group, model, most_loads):
    return []


_PLANNERS = {
    Sizing.BY_SHARE: _plan_by_share,
    Sizing.BY_ROOM: _plan_by_room,
    Sizing.KEPT: _keep,
}
