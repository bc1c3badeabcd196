"""Planner of the layers that each engine holds.

Engines of one failure domain form a pool, since a prompt's activations are
too large to be sent between domains for every request.  Using the same share
of each card for weights gives each held layer the same memory for prompts.
An engine without layers is assigned the window of its size that most needs
another holder.  Engines that hold a window keep it; only where a layer has no
holder left are others moved or their ranges extended.
"""

__all__ = ['Change', 'plan', 'missing', 'pools']

from ibisring_policy.gateway import poolplan
from ibisring_policy.gateway import windows
from ibisring_records import routing
import msgspec

# Share of a card's memory used for weights.  More shortens chains and leaves
# less room for prompts, which binds first on the fast cards.
WEIGHT_SHARE = 0.68
# If a pool can't hold this many copies of the model, all pools are merged.
MIN_COPIES = 1.05
# Upper bound of the share used for weights, for small pools.
MAX_WEIGHT_SHARE = 0.88


class Change(msgspec.Struct, frozen=True):
    """A new range of layers for an engine."""

    id: str
    holding: routing.Holding


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


def pools(engines, model):
    """Group engines so that each group can hold the whole model.

    Returns
    -------
    list of list of windows.Engine
        One group for each failure domain, or a single one if some domain
        is too small to hold the model with room for prompts.
    """
    by_domain = {}
    for engine in engines:
        by_domain.setdefault(engine.domain, []).append(engine)
    needed_layers = model.layers * MIN_COPIES
    for group in by_domain.values():
        available_layers = sum(
            e.max_layers(model.layer_mb, MAX_WEIGHT_SHARE) for e in group
        )
        if available_layers < needed_layers:
            return [sorted(engines, key=_engine_id)]
    return [
        sorted(by_domain[name], key=_engine_id) for name in sorted(by_domain)
    ]


def _engine_id(engine):
    return engine.id


def plan(engines, model):
    """Return the changes of ranges that the engines need.

    Parameters
    ----------
    engines : list of windows.Engine
        Engines that stay, without those that are draining or lost.
    model : routing.Model

    Returns
    -------
    list of Change
        No range exceeds the memory of its engine.
    """
    changes = []
    for group in pools(engines, model):
        changes.extend(_plan_pool(group, model))
    return changes


def _weight_share(group, model):
    """Return the share of memory to use for weights in a pool."""
    memory = sum(engine.memory_mb for engine in group)
    if not memory:
        return WEIGHT_SHARE
    needed = MIN_COPIES * model.layers * model.layer_mb / memory
    return min(MAX_WEIGHT_SHARE, max(WEIGHT_SHARE, needed))


def _plan_pool(group, model):
    pool = poolplan.make_pool_plan(group, model, _weight_share(group, model))
    pool.assign_empty()
    pool.close_gaps()
    pool.extend_one()
    return [Change(name, held) for name, held in pool.changes.items()]
