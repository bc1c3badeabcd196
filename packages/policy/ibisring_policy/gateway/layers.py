"""Which layers each engine holds.

Engines of one failure domain form a pool, since a prompt's activations are
too large to cross between domains for every request.  The same fill of every
card gives each held layer the same memory for prompts, and the planner gives
an engine without layers the window of its size where the fewest others stand.
Engines that hold a window keep it; only where a layer has no holder left are
others moved, or their ranges lengthened.
"""

__all__ = ['Change', 'plan', 'missing', 'pools']

from ibisring_policy.gateway import repairs
from ibisring_policy.gateway import windows
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


class Change(msgspec.Struct, frozen=True):
    """A new range for an engine."""

    id: str
    holding: routing.Holding


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
        is too small to hold the model beside any prompts.
    """
    by_domain = {}
    for engine in engines:
        by_domain.setdefault(engine.domain, []).append(engine)
    need = model.layers * LEAST_COPIES
    for group in by_domain.values():
        fits = sum(e.max_layers(model.layer_mb, MOST_FILL) for e in group)
        if fits < need:
            return [sorted(engines, key=_name)]
    return [sorted(by_domain[name], key=_name) for name in sorted(by_domain)]


def _name(engine):
    return engine.id


def plan(engines, model):
    """Give the changes that bring all engines to good ranges.

    Parameters
    ----------
    engines : list of windows.Engine
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


def _plan_pool(group, model):
    pool = repairs.make_pool(group, model, _fill(group, model))
    pool.place_empty()
    pool.close_gaps()
    pool.extend_one()
    return [Change(name, held) for name, held in pool.changes.items()]
