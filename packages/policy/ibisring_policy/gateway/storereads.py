"""What a router knows of a table of the store by reads, as told to others.

"The last change that I saw" and "from here on I saw every change" are two
facts.  A router that has read a whole table knows the first from the rows
that are left, but a removal leaves no row: before its own read it can't
vouch for anything.  Others rely on the second fact only.
"""

__all__ = ['StoreRead', 'make_read']

import msgspec

from ibisring_policy.gateway import positions
from ibisring_records import received


class StoreRead(msgspec.Struct, array_like=True, frozen=True):
    """Statement that a table did not change after `since`, up to `version`.

    Versions are the store's, in its era `era`.  Encoded as an array, so the
    order of the fields is the format.

    Attributes
    ----------
    since : int
        The sender has seen every change after this version.
    version : int
        Version up to which the sender knows the table.
    last_change : int
        Newest change known to the sender.
    read_ms : int
        What the store's clock showed when the table was known to be as of
        `version`, in milliseconds; 0 if the store did not say.

    Examples
    --------
    >>> started = make_read(since=9, position=11, last_change=3)
    >>> started.vouches_for(5), started.is_ahead_of(5)
    (False, False)
    >>> make_read(5, 12, 5).vouches_for(5)
    True
    """

    era: received.Era
    since: received.Version
    version: received.Version
    last_change: received.Version
    read_ms: received.Count = 0

    @property
    def start(self):
        """The position of `since`."""
        return positions.make(self.era, self.since)

    @property
    def position(self):
        """The position of `version`."""
        return positions.make(self.era, self.version)

    @property
    def change_position(self):
        """The position of `last_change`."""
        return positions.make(self.era, self.last_change)

    def vouches_for(self, position):
        """Whether a table known at a position is the one at `position`."""
        return self.start <= position

    def is_ahead_of(self, position):
        """Whether the sender knows of a change after a position."""
        return self.change_position > position


def make_read(since, position, last_change, read_ms=0):
    """Make the statement of a router that follows a table.

    Parameters
    ----------
    since, position, last_change : int
        Positions (see `positions`).  Nothing may have changed in the present
        era; the first and the last are then of the era before.
    read_ms : int
    """
    era = positions.era(position)
    era_start = positions.make(era, 0)
    return StoreRead(
        era,
        positions.version(max(since, era_start)),
        positions.version(position),
        positions.version(max(last_change, era_start)),
        read_ms,
    )
