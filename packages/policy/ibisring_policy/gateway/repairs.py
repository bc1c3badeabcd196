"""Order of changed ranges, and how many engines load at once.

All engines load from one weight store.  Beyond a number of concurrent loads,
each further one slows down the others, so a pool that lacks little waits for
those that lack much unless its loads come first.
"""

__all__ = [
    'Change',
    'ordered',
    'limited',
    'gives_up',
    'has_all_loaded',
    'layers_to_load',
    'without_last_holders',
]

from ibisring_policy.gateway import windows
from ibisring_records import routing
import msgspec


class Change(msgspec.Struct, frozen=True):
    """A new range of layers for an engine."""

    id: str
    holding: routing.Holding


def layers_to_load(held, holding):
    """Return the number of layers of a range that are not held yet.

    Examples
    --------
    >>> layers_to_load(routing.Holding(0, 8), routing.Holding(4, 10))
    2
    """
    if held is None:
        return holding.count
    kept = min(held.end, holding.end) - max(held.first, holding.first)
    return holding.count - max(0, kept)


def has_all_loaded(engines, layers):
    """Return whether each layer is loaded by one of the engines."""
    return 0 not in _loaded_counts(engines, layers)


def _loaded_counts(engines, layers):
    counts = [0] * layers
    for engine in engines:
        if engine.loaded is not None:
            for layer in range(engine.loaded.first, engine.loaded.end):
                counts[layer] += 1
    return counts


def ordered(planned, layers):
    """Return the changes of all pools in the order in which to send them.

    First come those that load layers which no engine of any pool has, as no
    request can be served without them.  Then pools follow by the number of
    layers that they have to load until they are complete, and last the
    changes that no pool needs to be complete.  In a pool, small extensions of
    engines that keep their layers come first, then engines without layers, in
    the order of the plan: the plan for the rest is then the same while the
    first ones load.  Engines that give up layers are last.

    Parameters
    ----------
    planned : list of (list of windows.Engine, list of Change)
        The engines of each pool, and their changes.
    layers : int

    Returns
    -------
    list of Change
    """
    entries = []
    for engines, changes in planned:
        if changes:
            entries.extend(_with_sort_keys(engines, changes, layers))
    entries.sort(key=lambda entry: entry[0])
    changes = [change for _, change in entries]
    if not changes or any(has_all_loaded(e, layers) for e, _ in planned):
        return changes
    everywhere = [engine for engines, _ in planned for engine in engines]
    return _unheld_first(changes, windows.coverage(everywhere, layers))


def _with_sort_keys(engines, changes, layers):
    """Return changes of a pool with the keys that order those of all pools."""
    held = {engine.id: engine.holding for engine in engines}
    is_repair = _repairs(engines, changes, layers)
    loads = [layers_to_load(held[c.id], c.holding) for c in changes]
    missing = sum(load for load, needed in zip(loads, is_repair) if needed)
    entries = []
    for index, change in enumerate(changes):
        is_empty = held[change.id] is None
        sort_key = (
            not is_repair[index],
            missing,
            engines[0].id,
            gives_up(held[change.id], change.holding),
            is_empty,
            index if is_empty else loads[index],
            change.id,
        )
        entries.append((sort_key, change))
    return entries


def _repairs(engines, changes, layers):
    """Return for each change whether the pool needs it to be complete.

    If some gap stays open, the other changes prepare to close it.
    """
    counts = windows.coverage(engines, layers)
    found = []
    for change in changes:
        span = slice(change.holding.first, change.holding.end)
        found.append(0 in counts[span])
        counts[span] = [count + 1 for count in counts[span]]
    return [True] * len(found) if 0 in counts else found


def gives_up(held, holding):
    """Return whether an engine gives up layers, once its requests end."""
    if held is None:
        return False
    return held.first < holding.first or holding.end < held.end


def _unheld_first(changes, counts):
    """Move changes with layers that no engine holds to the front."""
    first, rest = [], []
    counts = list(counts)
    for change in changes:
        span = range(change.holding.first, change.holding.end)
        if any(counts[layer] == 0 for layer in span):
            first.append(change)
        else:
            rest.append(change)
        for layer in span:
            counts[layer] += 1
    return first + rest


def limited(
    changes, engines, groups, model, unbounded=frozenset(), waiting=()
):
    """Return the changes to send now, so that few engines load at once.

    Engines that have to give up layers are not counted as loading: they wait
    for their requests for up to 15 s, in which others can load.  As many of
    them wait at a time in each incomplete pool as may load at once.

    Parameters
    ----------
    changes : list of Change
        In the order in which to send them, without those for engines that
        refuse them now.
    engines : list of windows.Engine
        All engines of the service, loading ones included.
    groups : list of list of windows.Engine
        The pools that are planned.  If all are complete, all changes are
        sent, and also if no engine has loaded anything: on an empty start
        loads one after the other would end later.
    model : routing.Model
        Its `loads_at_once` is no bound if it is 0.
    unbounded : collection of str
        Engines whose loads are not bounded.
    waiting : list of str
        Failure domains of engines that wait for their requests to end and are
        in no group.

    Returns
    -------
    list of Change
    """
    incomplete = [g for g in groups if not has_all_loaded(g, model.layers)]
    if len(incomplete) == len(groups):
        changes = without_last_holders(changes, engines, model.layers)
    is_empty = all(engine.loaded is None for engine in engines)
    if not incomplete or is_empty or not model.loads_at_once:
        return changes
    limits = [
        model.loads_at_once - _count_waiting(group, waiting)
        for group in incomplete
    ]
    changes = _limited_waits(changes, incomplete, limits)
    by_id = {engine.id: engine for engine in engines}
    free = model.loads_at_once - sum(map(_is_counted, engines))
    sent = []
    for change in changes:
        held = by_id[change.id].holding
        is_bounded = change.id not in unbounded
        if gives_up(held, change.holding) or not is_bounded:
            sent.append(change)
        elif free > 0:
            sent.append(change)
            free -= 1
    return sent


def without_last_holders(changes, engines, layers):
    """Leave out changes that give up the last loaded copy of a layer.

    While no pool is complete, requests are served over several domains, and
    need each layer that is still loaded somewhere.
    """
    counts = _loaded_counts(engines, layers)
    loaded = {engine.id: engine.loaded for engine in engines}
    kept = []
    for change in changes:
        given_up = _given_up(loaded[change.id], change.holding)
        if any(counts[layer] < 2 for layer in given_up):
            continue
        # Two changes that are sent together must not give up both copies.
        for layer in given_up:
            counts[layer] -= 1
        kept.append(change)
    return kept


def _given_up(held, holding):
    if held is None:
        return []
    new = range(holding.first, holding.end)
    return [n for n in range(held.first, held.end) if n not in new]


def _count_waiting(group, waiting):
    """Count the engines of a pool that wait for their requests to end."""
    domains = {engine.domain for engine in group}
    left_out = sum(domain in domains for domain in waiting)
    return left_out + sum(engine.is_unloading for engine in group)


def _limited_waits(changes, incomplete, limits):
    """Limit the engines of each incomplete pool that give up layers."""
    pool_of = {e.id: i for i, group in enumerate(incomplete) for e in group}
    holding = {e.id: e.holding for group in incomplete for e in group}
    free = list(limits)
    sent = []
    for change in changes:
        pool = pool_of.get(change.id)
        if pool is not None and gives_up(holding[change.id], change.holding):
            if free[pool] <= 0:
                continue
            free[pool] -= 1
        sent.append(change)
    return sent


def _is_counted(engine):
    """Return whether an engine loads, or soon will."""
    is_ordered = engine.holding is not None and engine.is_loading
    return is_ordered and not engine.is_unloading
