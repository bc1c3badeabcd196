"""Cuts routers off from endpoints, in series and several at once."""

__all__ = ['LinkCutter']

import time

from ibisring_soak import disruptions
from ibisring_soak import endpointlinks

# Seconds until the next cut, and for which a cut lasts.
INTERVAL_SECONDS = (0.3, 2.0)
DURATION_SECONDS = (0.3, 4.0)
# Shares of a router's links that are cut; mostly all.
SHARES = (1.0, 1.0, 1.0, 0.5)


class LinkCutter(disruptions.Disruption):
    """Cuts the links of some routers, sometimes of all.

    Parameters
    ----------
    world : world.World
        Its routers have links of their own.
    seed : int
    """

    def __init__(self, world, seed):
        super().__init__(world, f'cuts-{seed}')

    def _loop(self):
        while not self.stopped.wait(self.rng.uniform(*INTERVAL_SECONDS)):
            routers = self.world.routers
            count = self.rng.randint(1, len(routers))
            chosen = self.rng.sample(routers, count)
            how = self.rng.choice(list(endpointlinks.Cut))
            share = self.rng.choice(SHARES)
            seconds = self.rng.uniform(*DURATION_SECONDS)
            started = time.monotonic()
            for router in chosen:
                router.endpoint_links.cut(how, share)
            self.stopped.wait(seconds)
            for router in chosen:
                router.endpoint_links.restore()
            # Requests handed over before may fail at any router.
            self.world.history.disruptions.append(
                ('endpoints', started, time.monotonic())
            )
