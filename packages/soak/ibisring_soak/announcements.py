"""Leaves that only answers name, and a store that loses writes.

Both run beside the faults of a schedule, in series, and overlap with them.
"""

__all__ = ['LeaveAnnouncer', 'StoreRestorer']

import time

from ibisring_soak import disruptions
from ibisring_soak import records

# Pause between two leaves, and how long an endpoint serves after it.
LEAVE_PAUSE_SECONDS = (0.5, 3.0)
LEAVE_SECONDS = 4.0
# Pause between two restores of the store, age of the copy, and how long the
# store is away.
RESTORE_PAUSE_SECONDS = (2.0, 5.0)
COPY_SECONDS = (0.3, 3.0)
AWAY_SECONDS = (0.05, 1.0)
# Time after a restore until what was lost is written again, and until entries
# of endpoints that have left expire.
REWRITE_SECONDS = 0.5
EXPIRY_SECONDS = 3.0


class LeaveAnnouncer(disruptions.Disruption):
    """Has endpoints say in their answers only that they leave.

    Parameters
    ----------
    world : world.World
    seed : int
    """

    def __init__(self, world, seed):
        super().__init__(world, f'leaves {seed}')

    def _loop(self):
        while not self.stopped.wait(self.rng.uniform(*LEAVE_PAUSE_SECONDS)):
            site = self.world.site
            if self.rng.random() < 0.5:
                self.world.add_engine()
                servers = site.engines
            else:
                self.world.add_service()
                servers = site.services
            name = self.rng.choice(sorted(servers))
            self._announce(name)
            time.sleep(LEAVE_SECONDS)
            server = servers.get(name)
            # One that also drains is removed by the injector.
            if server is not None and server.state != 'draining':
                server.state = 'draining'
                site.remove(name)

    def _announce(self, name):
        site = self.world.site
        site.leaving = {*site.leaving, name}
        leave = records.Leave(name, time.monotonic())
        self.world.history.leaves.append(leave)


class StoreRestorer(disruptions.Disruption):
    """Has the store come back from a copy that lacks the last writes.

    Parameters
    ----------
    world : world.World
    seed : int
    """

    def __init__(self, world, seed):
        super().__init__(world, f'restores {seed}')

    def _loop(self):
        while not self.stopped.wait(self.rng.uniform(*RESTORE_PAUSE_SECONDS)):
            store = self.world.site.store
            copy = store.copy()
            time.sleep(self.rng.uniform(*COPY_SECONDS))
            away_seconds = self.rng.uniform(*AWAY_SECONDS)
            begin = time.monotonic()
            end = begin + away_seconds + REWRITE_SECONDS
            self.world.history.disruptions.append(('store', begin, end))
            store.mode = 'down'
            time.sleep(away_seconds)
            store.restore(copy)
            store.mode = 'up'
            time.sleep(REWRITE_SECONDS)
            self.world.site.write_again()
            time.sleep(EXPIRY_SECONDS - REWRITE_SECONDS)
            self.world.site.drop_revived()
