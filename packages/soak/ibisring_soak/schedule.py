"""Which fault strikes what, and when: drawn from a seed alone."""

__all__ = ['Fault', 'KINDS', 'make_schedule']

import random

import msgspec

# Seconds between the beginnings of two faults; most last longer, so that
# they overlap and come in series.
GAP = (0.2, 1.6)
LASTS = (0.4, 3.5)
# Kinds by what they strike, with weights.
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
WEIGHTS = {
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
    """Something that goes wrong.

    `at` is in seconds from the start, `lasts` in seconds; `draw` in [0, 1)
    picks the thing that is struck.
    """

    at: float
    group: str
    kind: str
    draw: float
    lasts: float

    @property
    def ends(self):
        """When it is over, in seconds from the start."""
        return self.at + self.lasts


def make_schedule(seed, seconds):
    """Draw the faults of a run.

    Parameters
    ----------
    seed : int
    seconds : float
        All faults are over by then.

    Returns
    -------
    list of Fault
        By their beginning.

    Examples
    --------
    >>> make_schedule(1, 20.0) == make_schedule(1, 20.0)
    True
    >>> all(f.ends <= 20.0 for f in make_schedule(2, 20.0))
    True
    """
    rng = random.Random(seed)
    faults = []
    at = rng.uniform(*GAP)
    while at + LASTS[0] < seconds:
        group = _weighted(rng, WEIGHTS)
        kind = _weighted(rng, KINDS[group])
        lasts = min(rng.uniform(*LASTS), seconds - at)
        faults.append(Fault(at, group, kind, rng.random(), lasts))
        at += rng.uniform(*GAP)
    return faults


def _weighted(rng, weights):
    return rng.choices(list(weights), list(weights.values()))[0]
