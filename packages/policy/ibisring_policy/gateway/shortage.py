"""Explains why no chain has room for a request.

A refusal that only reports a lack of room gives operators nothing to act on:
full engines, dead engines and layers without a holder need different
remedies.  This module finds the layers that prevent a chain, and the reasons.
"""

__all__ = ['Shortage', 'ExcludedRange', 'find', 'describe']

import collections

import msgspec

MISSING = 'missing'
NO_MEMORY = 'no_memory'
NO_SLOT = 'no_slot'
# Layer ranges in one log line.
MAX_RANGES = 4


class ExcludedRange(msgspec.Struct, frozen=True):
    """A range held by an engine that takes no requests, and the reason."""

    first: int
    end: int
    reason: str


class Shortage(msgspec.Struct, frozen=True):
    """Layers that no engine can run now, with the count of each reason."""

    first: int
    end: int
    reasons: tuple


def find(holders, excluded, demand, full_share):
    """Return the ranges of layers that no engine can run for a request.

    Parameters
    ----------
    holders : list of chains.Holder
    excluded : list of ExcludedRange
        Ranges held by engines that are dead, failing or refusing.
    demand : chains.Demand
    full_share : float
        Share of an engine's memory at which it counts as full.

    Returns
    -------
    list of Shortage
        Empty if each layer has an engine with room; if there is no chain
        then, engines have room for only a part of their ranges.

    Examples
    --------
    >>> from ibisring_policy.gateway import chains
    >>> held = [chains.Holder('a', 'a:1', 'x', 0, 2, 100.0)]
    >>> describe(find(held, [], chains.Demand(10.0, 'x', 0, 4), 0.95))
    ['2-4 missing']
    """
    found = []
    for layer in range(demand.first, demand.end):
        reasons = _reasons(layer, holders, excluded, demand, full_share)
        if reasons is None:
            continue
        last = found[-1] if found else None
        if last and last.end == layer and last.reasons == reasons:
            found[-1] = Shortage(last.first, layer + 1, reasons)
        else:
            found.append(Shortage(layer, layer + 1, reasons))
    return found


def _reasons(layer, holders, excluded, demand, full_share):
    """Return why no engine can run a layer, or None if one can."""
    counts = collections.Counter()
    for holder in holders:
        if not holder.first <= layer < holder.end:
            continue
        if layer == 0 and holder.slot_use >= 1.0:
            counts[NO_SLOT] += 1
        elif holder.used + demand.tokens > holder.capacity * full_share:
            counts[NO_MEMORY] += 1
        else:
            return None
    for each in excluded:
        if each.first <= layer < each.end:
            counts[each.reason] += 1
    if not counts:
        counts[MISSING] = 1
    return tuple(sorted(counts.items()))


def describe(shortages):
    """Format shortages for a log line."""
    texts = []
    for each in shortages[:MAX_RANGES]:
        reasons = ' '.join(
            name if name == MISSING else f'{name}={count}'
            for name, count in each.reasons
        )
        texts.append(f'{each.first}-{each.end} {reasons}')
    return texts
