"""Why no chain has room for a request.

A refusal that only says that nothing has room can't be acted on: an engine
that is full, one that is believed lost and layers that nobody holds ask for
different remedies.  This names the layers that stop a chain and why.
"""

__all__ = ['Shortage', 'ExcludedRange', 'find', 'describe']

import collections

import msgspec

MISSING = 'missing'
NO_MEMORY = 'no_memory'
NO_SLOT = 'no_slot'
# Runs of layers named in one log line.
MOST_RUNS = 4


class ExcludedRange(msgspec.Struct, frozen=True):
    """A range held by an engine that takes no requests, and why."""

    first: int
    end: int
    reason: str


class Shortage(msgspec.Struct, frozen=True):
    """Layers that no engine can run now, with the reasons counted."""

    first: int
    end: int
    reasons: tuple


def find(holders, left_out, demand, full):
    """Give the runs of layers that no engine can run for a request.

    Parameters
    ----------
    holders : list of chains.Holder
    left_out : list of ExcludedRange
        Ranges held by engines that are believed lost, failing or full.
    demand : chains.Demand
    full : float
        Share of an engine's memory from which it counts as full.

    Returns
    -------
    list of Shortage
        Empty if each layer has an engine with room; then no chain fits
        together, as engines have room for a part of their range only.

    Examples
    --------
    >>> from ibisring_policy.gateway import chains
    >>> held = [chains.Holder('a', 'a:1', 'x', 0, 2, 100.0)]
    >>> describe(find(held, [], chains.Demand(10.0, 'x', 0, 4), 0.95))
    ['2-4 missing']
    """
    found = []
    for layer in range(demand.first, demand.end):
        reasons = _reasons(layer, holders, left_out, demand, full)
        if reasons is None:
            continue
        last = found[-1] if found else None
        if last and last.end == layer and last.reasons == reasons:
            found[-1] = Shortage(last.first, layer + 1, reasons)
        else:
            found.append(Shortage(layer, layer + 1, reasons))
    return found


def _reasons(layer, holders, left_out, demand, full):
    """Give why nobody runs a layer, or None if somebody can."""
    counts = collections.Counter()
    for holder in holders:
        if not holder.first <= layer < holder.end:
            continue
        if layer == 0 and holder.slot_use >= 1.0:
            counts[NO_SLOT] += 1
        elif holder.used + demand.tokens > holder.capacity * full:
            counts[NO_MEMORY] += 1
        else:
            return None
    for each in left_out:
        if each.first <= layer < each.end:
            counts[each.reason] += 1
    if not counts:
        counts[MISSING] = 1
    return tuple(sorted(counts.items()))


def describe(shortages):
    """Write shortages for a log line."""
    rows = []
    for each in shortages[:MOST_RUNS]:
        reasons = ' '.join(
            name if name == MISSING else f'{name}={count}'
            for name, count in each.reasons
        )
        rows.append(f'{each.first}-{each.end} {reasons}')
    return rows
