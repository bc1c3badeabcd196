"""Runs decisions through all interleavings of a few steps.

The steps are those of a router, three endpoints and a caller of one request;
the promises are checked on what the caller and the endpoints have seen.
"""

__all__ = ['Finding', 'Search', 'STEPS_LIMIT', 'search']

import collections

from ibisring_policy.gateway.tests import machinestate
from ibisring_policy.gateway.tests import machinesteps

STEPS_LIMIT = 6


class Finding:
    """A sequence of steps that breaks promises.

    Attributes
    ----------
    start : machinestate.State
    steps : tuple of str
    broken : list of str
        Promises broken by the last step.
    """

    __slots__ = ('start', 'steps', 'broken')

    def __init__(self, start, steps, broken):
        self.start = start
        self.steps = steps
        self.broken = broken

    def __str__(self):
        start = self.start
        return (
            f'{start.kind.value}, budget {start.budget}, '
            f'{start.time_left} s left, {start.tries} tries, '
            f'{start.refusals} refusals, {start.moves} moves, '
            f'{len(start.sent_to)} of '
            f'{start.max_endpoints} endpoints, '
            f'framed by {start.framing.value}: '
            f'{", ".join(self.steps)} -> {"; ".join(self.broken)}'
        )


class Search:
    """Outcome of a search.

    Attributes
    ----------
    finding : Finding or None
        The shortest sequence that breaks a promise.
    states : int
        States that were reached.
    transitions : int
        Steps that were taken, each from another state or of another kind.
    taken : frozenset of str
        Names of the steps that were taken.
    """

    __slots__ = ('finding', 'states', 'transitions', 'taken')

    def __init__(self, finding, states, transitions, taken):
        self.finding = finding
        self.states = states
        self.transitions = transitions
        self.taken = taken


def search(decisions, limit=STEPS_LIMIT):
    """Run the machine through all interleavings of some steps.

    Parameters
    ----------
    decisions : machinedecisions.Decisions
    limit : int
        Steps of the longest sequence.

    Returns
    -------
    Search
    """
    queue = collections.deque(
        (start, start, ()) for start in machinestate.starts()
    )
    seen = {start for start, _, _ in queue}
    taken = collections.Counter()
    finding = None
    while queue and finding is None:
        start, state, steps = queue.popleft()
        if len(steps) == limit:
            continue
        for name, after, broken in machinesteps.successors(state, decisions):
            taken[name] += 1
            if broken:
                finding = Finding(start, (*steps, name), broken)
                break
            if after not in seen:
                seen.add(after)
                queue.append((start, after, (*steps, name)))
    return Search(finding, len(seen), taken.total(), frozenset(taken))
