"""Endpoints that turn requests away and ask for backoff."""

__all__ = ['BackoffChanger', 'parse']

import math

from ibisring_soak import disruptions

# What endpoints ask for, in seconds, and texts that are no valid time.
BACKOFFS = ('1', '2', '3', '2.5')
INVALID_BACKOFFS = ('x', '-1', '0', 'nan', 'Wed, 21 Oct 2026 07:28:00 GMT')
# Share of the spells in which the text is invalid, and of those in which all
# endpoints of the plain service ask together.
INVALID_SHARE = 0.2
TOGETHER_SHARE = 0.3
# How long an endpoint turns requests away, and the pause between two.
SPELL_SECONDS = (0.2, 1.0)
PAUSE_SECONDS = (0.3, 2.0)


def parse(text):
    """Return the seconds that an endpoint asked for, 0 for an invalid text.

    Examples
    --------
    >>> parse('2.5'), parse('-1'), parse('x')
    (2.5, 0.0, 0.0)
    """
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if math.isfinite(seconds) and seconds > 0.0 else 0.0


class BackoffChanger(disruptions.Disruption):
    """Has endpoints ask for backoff from time to time.

    Parameters
    ----------
    world : world.World
    seed : int
    """

    def __init__(self, world, seed):
        super().__init__(world, f'backoffs {seed}')

    def _loop(self):
        while not self.stopped.wait(self.rng.uniform(*PAUSE_SECONDS)):
            site = self.world.site
            site.backoffs = dict.fromkeys(self._names(site), self._text())
            self.stopped.wait(self.rng.uniform(*SPELL_SECONDS))
            site.backoffs = {}

    def _names(self, site):
        if self.rng.random() < TOGETHER_SHARE:
            return sorted(site.services)
        return [self.rng.choice(sorted([*site.engines, *site.services]))]

    def _text(self):
        is_invalid = self.rng.random() < INVALID_SHARE
        return self.rng.choice(INVALID_BACKOFFS if is_invalid else BACKOFFS)
