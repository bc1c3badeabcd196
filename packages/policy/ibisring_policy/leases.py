"""Leases on shares of the endpoints, kept as rows of the table service.

No clock is compared with another machine's.  A holder trusts its lease for
its length since just before it wrote the row, less a margin; a contender
takes it only after it has seen the row unchanged for longer than that.
"""

__all__ = ['LeaseRow', 'Intent', 'Lease', 'share_of', 'contenders']

import enum
import math

import msgspec
import xxhash

MARGIN = 0.2
RENEW_PART = 1.0 / 3.0
CONTENDERS = 2
NO_HOLDER = ''


class LeaseRow(msgspec.Struct):
    """A lease as kept; `count` grows with each renewal.

    `fencing` grows with each new holder and stands on all its orders.
    """

    holder: str
    fencing: int
    seconds: float
    count: int


class Intent(enum.StrEnum):
    """What a router should do about a lease now."""

    WAIT = 'wait'
    ACQUIRE = 'acquire'
    RENEW = 'renew'


def share_of(name, shares):
    """Return the number of the share that an endpoint belongs to."""
    return xxhash.xxh64_intdigest(name.encode()) % shares


def contenders(share, members):
    """Return the members that may take a share's lease, the first first.

    Only a few contend, so that the rows are read by few.
    """
    ranked = sorted(
        members,
        key=lambda name: xxhash.xxh64_intdigest(f'{share}\0{name}'.encode()),
    )
    return ranked[:CONTENDERS]


class Lease:
    """One lease as one router sees it.

    Parameters
    ----------
    own_id : str
    seconds : float
        Length of the lease.

    Notes
    -----
    What goes wrong without the margins: a holder is paused between two of
    its steps, the lease lapses, another router takes it, and both order the
    same engine about.  The holder checks `holds` right before each order;
    the fencing number stops what slips through at engines that check it.
    """

    __slots__ = (
        'own_id',
        'seconds',
        'row',
        'version',
        'seen_at',
        'held_until',
        'acquired_at',
        'term',
    )

    def __init__(self, own_id, seconds):
        self.own_id = own_id
        self.seconds = seconds
        self.row = None
        self.version = 0
        self.seen_at = -math.inf
        self.held_until = -math.inf
        self.acquired_at = -math.inf
        self.term = 0

    def observe(self, row, version, now):
        """Take in the row as just read (None if absent)."""
        if self.row is None or version != self.version:
            self.seen_at = now
        self.row = row
        self.version = version
        if row is None or row.holder != self.own_id:
            self.held_until = -math.inf

    def holds(self, now):
        """Return whether orders may be sent; ask right before each."""
        return now < self.held_until

    def intent(self, now, is_contender):
        """Decide what to do, after `observe`.

        Parameters
        ----------
        now : float
        is_contender : bool

        Returns
        -------
        Intent
        """
        if self.holds(now):
            since = now - (self.held_until - self._trusted())
            due = since >= self.seconds * RENEW_PART
            return Intent.RENEW if due else Intent.WAIT
        if not is_contender:
            return Intent.WAIT
        if self.row is None or self.row.holder == NO_HOLDER:
            return Intent.ACQUIRE
        # A row under the own id that is not held now is a former process's
        # or a lapsed one, and is waited out like another's.
        waited = now - self.seen_at
        if waited > self.row.seconds * (1.0 + MARGIN):
            return Intent.ACQUIRE
        return Intent.WAIT

    def _trusted(self):
        return self.seconds * (1.0 - MARGIN)

    def next_row(self, intent):
        """Return the row to write for an intent."""
        fencing = self.row.fencing if self.row is not None else 0
        count = self.row.count if self.row is not None else 0
        if intent is Intent.ACQUIRE:
            fencing += 1
        return LeaseRow(self.own_id, fencing, self.seconds, count + 1)

    def written(self, row, version, sent_at, intent):
        """Take in that a row was written.

        Parameters
        ----------
        row : LeaseRow
        version : int
        sent_at : float
            Time just before the write was sent.
        intent : Intent
        """
        self.row = row
        self.version = version
        self.seen_at = sent_at
        self.held_until = sent_at + self._trusted()
        if intent is Intent.ACQUIRE:
            self.acquired_at = sent_at
            self.term = row.fencing

    def is_own_term(self):
        """Return whether the row is still this process's, lapsed or not.

        The fencing number tells it from a row that a later process wrote
        under the same id.
        """
        if self.row is None or self.row.holder != self.own_id:
            return False
        return self.row.fencing == self.term

    def released_row(self):
        """Return the row that hands the lease over; trust it no longer.

        Notes
        -----
        What goes wrong if only leases still held are released: a process
        that leaves slowly (its last report goes to a store that is slow)
        has let them lapse, and their rows name it until others have waited
        them out.  Written over the version last seen, the row can't take
        the lease from whoever has it by then.
        """
        self.held_until = -math.inf
        return LeaseRow(
            NO_HOLDER, self.row.fencing, self.seconds, self.row.count + 1
        )
