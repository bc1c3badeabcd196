"""Draws the faults of a run, their targets and times from a seed."""

__all__ = ['Fault', 'KINDS', 'make_planned', 'make_schedule']

import random

import msgspec

# Seconds between the starts of two faults, drawn uniformly.  Most faults last
# longer, so that they overlap and occur in series.
INTERVAL_SECONDS = (0.2, 1.6)
DURATION_SECONDS = (0.4, 3.5)
# Weight of each kind, by the group of its targets.
KINDS = {
    'router': {
        'kill': 2.0,
        'terminate': 3.0,
        'pause': 2.0,
        'reload': 1.0,
    },
    'store_link': {
        'reset': 1.0,
        'silence': 2.0,
        'one_way': 1.0,
        'delay': 1.0,
        'refuse': 1.0,
    },
    'endpoint_link': {
        'reset': 2.0,
        'silence': 1.0,
        'one_way': 1.0,
        'delay': 1.0,
        'refuse': 1.0,
    },
    'caller_link': {'reset': 1.0, 'one_way': 0.5, 'delay': 1.0},
    'store': {
        'down': 1.0,
        'silent': 1.0,
        'lose_answers': 1.0,
        'forget_history': 1.0,
    },
    'engine': {'dark': 2.0, 'leave': 1.0, 'restart': 1.0, 'come': 1.0},
    'service': {
        'lost': 1.0,
        'full': 1.0,
        'error': 1.0,
        'hang': 1.0,
        'short': 1.0,
        'unsigned': 1.0,
        'leave': 1.0,
    },
    'configuration': {'revoke': 1.0, 'grow': 0.5, 'storm': 0.5},
}
GROUP_WEIGHTS = {
    'router': 3.0,
    'store_link': 2.0,
    'endpoint_link': 2.0,
    'caller_link': 1.0,
    'store': 1.5,
    'engine': 2.0,
    'service': 2.0,
    'configuration': 1.5,
}


class Fault(msgspec.Struct, frozen=True):
    """A fault to inject.

    `start` is in seconds from the start of the run, `duration` in seconds;
    `draw` in [0, 1) selects the target within the group.
    """

    start: float
    group: str
    kind: str
    draw: float
    duration: float

    @property
    def end(self):
        """End of the fault, in seconds from the start of the run."""
        return self.start + self.duration


def make_schedule(seed, seconds, kinds=KINDS):
    """Draw the faults of a run.

    Parameters
    ----------
    seed : int
    seconds : float
        All faults end by then.
    kinds : dict of str to dict
        Weight of each kind to draw, by group.

    Returns
    -------
    list of Fault
        Ordered by start.

    Examples
    --------
    >>> make_schedule(1, 20.0) == make_schedule(1, 20.0)
    True
    >>> all(f.end <= 20.0 for f in make_schedule(2, 20.0))
    True
    """
    rng = random.Random(seed)
    faults = []
    groups = {group: GROUP_WEIGHTS[group] for group in kinds}
    start = rng.uniform(*INTERVAL_SECONDS)
    while start + DURATION_SECONDS[0] < seconds:
        group = _draw_weighted(rng, groups)
        kind = _draw_weighted(rng, kinds[group])
        duration = min(rng.uniform(*DURATION_SECONDS), seconds - start)
        faults.append(Fault(start, group, kind, rng.random(), duration))
        start += rng.uniform(*INTERVAL_SECONDS)
    return faults


def make_planned(seed, seconds):
    """Draw planned work only; eight seeds in a row have each mixture.

    Bit 1 of the seed tells whether routers get signals, bit 2 whether the
    configuration changes.
    """
    kinds = {}
    if seed & 2:
        kinds['router'] = {'terminate': 3.0, 'reload': 1.0}
    if seed & 4:
        kinds['configuration'] = KINDS['configuration']
    return make_schedule(seed, seconds, kinds) if kinds else []


def _draw_weighted(rng, weights):
    return rng.choices(list(weights), list(weights.values()))[0]
