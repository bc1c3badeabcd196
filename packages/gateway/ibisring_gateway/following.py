"""Threads that follow the store's tables, and peers while it is away."""

__all__ = ['Follower', 'make_follower']

import logging
import random
import threading
import time

from ibisring_gateway import directory as directory_module
from ibisring_gateway import ports
from ibisring_records import exceptions

LOG = logging.getLogger(__name__)
# Seconds between tries while the store fails: the first ones come quickly,
# since one answer may just have been lost, later ones spare a store that
# comes back to many routers at once.
FIRST_PAUSE = 0.1
MOST_PAUSE = 1.0
# A router that knows nothing yet serves nobody, so it asks sooner.
MOST_FIRST_PAUSE = 0.3
PAUSE_GROWTH = 1.6


class Follower:
    """Reads a source once, then its changes, for ever.

    Parameters
    ----------
    source : ports.Source
    is_table : bool
    pace : peers.Peers
        Gives the seconds that one call may wait for a change, and those to
        pause after one.
    tell : callable
        Takes `directory.Read` and `directory.Failed` messages.
    clock : callable
        Gives monotonic seconds.
    """

    def __init__(self, source, is_table, pace, tell, clock=time.monotonic):
        self.source = source
        self.is_table = is_table
        self.pace = pace
        self.tell = tell
        self.position = None
        self.pause = FIRST_PAUSE
        self.rng = random.Random()
        self.clock = clock
        self.begun_at = 0.0
        self.stopped = threading.Event()
        self.has_read = False
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()
        return self

    def stop(self):
        """Let the thread end after its present call."""
        self.stopped.set()

    def run(self):
        """Follow the source until stopped."""
        while not self.stopped.is_set():
            try:
                changed = self.step()
                self.pause = FIRST_PAUSE
                if changed:
                    self.stopped.wait(self.pace.pause())
            except ports.HistoryGone as error:
                LOG.info(
                    'history_gone', extra={'facts': {'why': error.detail}}
                )
                self.position = None
            except exceptions.IbisringError as error:
                self._failed(error)
            except Exception:
                LOG.exception('following_failed')
                self.stopped.wait(MOST_PAUSE)

    def _failed(self, error):
        waited = self.clock() - self.begun_at
        self.tell(directory_module.Failed(error.detail, self.is_table, waited))
        self.stopped.wait(self.pause * self.rng.uniform(0.7, 1.3))
        most = MOST_PAUSE if self.has_read else MOST_FIRST_PAUSE
        self.pause = min(most, self.pause * PAUSE_GROWTH)

    def step(self):
        """Make one call and tell what it brought.

        Returns
        -------
        bool
            Whether there was anything.
        """
        self.begun_at = self.clock()
        whole = self.position is None
        if whole:
            page = self.source.read_all()
        else:
            page = self.source.changes(self.position, self.pace.wait())
        self.position = page.position
        self.has_read = True
        self.tell(
            directory_module.Read(
                page.items,
                whole,
                is_table=self.is_table,
                position=page.position,
                waited=self.clock() - self.begun_at,
            )
        )
        return bool(page.items)


def make_follower(source, is_table, pace, tell):
    """Make and start a `Follower`."""
    return Follower(source, is_table, pace, tell).start()
