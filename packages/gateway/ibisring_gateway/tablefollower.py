"""Thread that follows changes of one of the store's tables."""

__all__ = ['Follower']

import logging
import math
import threading

from ibisring_gateway import directory as directory_module
from ibisring_gateway import ports
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import storereads
from ibisring_records import exceptions
from ibisring_router import guards

LOG = logging.getLogger(__name__)
# Seconds to pause after an unexpected exception.
ERROR_PAUSE_SECONDS = 1.0


class Follower:
    """Reads a source in full, then polls it for changes until stopped.

    Parameters
    ----------
    name : str
    source : ports.Source
    is_table : bool
    followers : storefollowing.Followers
        Decides when to call and how long to wait.
    tell_directory : callable
        Takes `directory.ReadResult` and `directory.ReadFailed` messages.

    Attributes
    ----------
    position : int or None
        Position in the store (see `positions`) up to which this router knows
        the table.
    since : int
        Position after which this router has seen every change.
    last_change : int
        Position of the newest change that it knows of.
    read_ms : int
        What the store's clock showed when the table was as of `position`.
    own_read_at : float
        When this router's last call that was answered began.
    draw : float
        Place from 0 to 1 in the order in which routers that are told read
        the table themselves once this is too long ago.
    has_gap : bool
        Whether changes after the last known position can't be read any more.
    """

    def __init__(self, name, source, is_table, followers, tell_directory):
        self.name = name
        self.source = source
        self.is_table = is_table
        self.followers = followers
        self.tell_directory = tell_directory
        self.clock = followers.clock
        self.position = None
        self.since = 0
        self.last_change = 0
        self.read_ms = 0
        self.own_read_at = -math.inf
        self.draw = 0.0
        self.has_gap = False
        self.call_started_at = 0.0
        self.is_stopped = False
        self.wake = threading.Event()

    def run(self):
        """Follow the source until stopped."""
        while not self.is_stopped:
            if not guards.run(f'follow_{self.name}', self._step):
                self.pause(ERROR_PAUSE_SECONDS)

    def _step(self):
        delay = self.followers.delay(self.name)
        if delay > 0.0:
            self.pause(delay)
        else:
            self._follow()

    def pause(self, seconds):
        """Wait for some seconds, or until `wake` is set."""
        self.wake.wait(seconds)
        self.wake.clear()

    def _follow(self):
        try:
            if self.read_once():
                self.pause(self.followers.change_pause())
        except ports.CallCancelled:
            LOG.debug('call_ended %s', self.name)
        except ports.HistoryExpired as error:
            LOG.info('history_gone', extra={'facts': {'why': error.detail}})
            self.position = None
            self.has_gap = True
            self.followers.answered(self.name, True)
            # Also if it relies on readers: what they send follows positions
            # that this router doesn't have.
            self.followers.read_now([self.name])
        except exceptions.IbisringError as error:
            waited = self.clock() - self.call_started_at
            self.tell_directory(
                directory_module.ReadFailed(
                    error.detail, self.is_table, waited
                )
            )
            self.followers.failed(self.name)

    def read_once(self):
        """Make one call and pass on its result.

        Returns
        -------
        bool
            Whether the table changed.
        """
        self.call_started_at = self.clock()
        wait = self.followers.start_call(self.name)
        position, before = self.position, self.since
        whole = position is None
        if whole:
            page = self.source.read_all()
        else:
            page = self.source.changes(position, wait)
        changed = bool(page.items)
        newest = page.newest_version
        if self.has_gap:
            # What was removed in the gap is in no item.  By the items alone,
            # routers that rely on this one would take a state that has it for
            # the present one.
            newest = page.position
            self.has_gap = False
        self.followers.note_era(positions.era(page.position))
        self.followers.note_time(page.read_ms, self.call_started_at)
        self.followers.answered(self.name, changed)
        if changed and not whole:
            # Before it is applied here, as the change is encoded as a
            # difference from the table in force.
            self.followers.publish_changes(page, before, self.is_table)
        self.tell_directory(
            directory_module.ReadResult(
                page.items,
                whole,
                is_table=self.is_table,
                position=page.position,
                waited=self.clock() - self.call_started_at,
                newest_version=newest,
            )
        )
        # Only now: changes that follow the page may reach the directory as
        # soon as its position is known, and the directory ignores a page that
        # comes after newer changes.
        last_change = page.position if changed and not whole else newest
        self.followers.record_read(
            self, page.position, whole or changed, last_change, page.read_ms
        )
        if not changed:
            self.followers.publish_reads()
        return changed

    def advance(self, position, changed, last_change=0, read_ms=0):
        """Record that this router knows the table up to a position."""
        known = self.position or 0
        if changed:
            self.since = max(self.since, position)
        self.last_change = max(self.last_change, last_change)
        self.position = max(known, position)
        if position >= known and read_ms:
            self._note_read_time(read_ms)

    def _note_read_time(self, read_ms):
        """Record a later time, or any once the store's clock began anew."""
        if self.followers.credible_time(self.read_ms) < read_ms:
            self.read_ms = read_ms
            self.draw = self.followers.polling.draw()

    def known_read(self):
        """Return the `storereads.StoreRead` to tell, None before a read."""
        if self.position is None:
            return None
        return storereads.make_read(
            self.since, self.position, self.last_change, self.read_ms
        )

    def accept(self, read):
        """Record what another router has read, if it vouches for this table.

        Returns
        -------
        bool
        """
        if self.position is None or not read.vouches_for(self.position):
            return False
        if read.position >= self.since:
            # The spans meet, so that together they are one.
            self.since = min(self.since, read.start)
        read_ms = self.followers.credible_time(read.read_ms)
        self.advance(read.position, False, read.change_position, read_ms)
        return True
