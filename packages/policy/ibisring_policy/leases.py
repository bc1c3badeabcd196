"""Leases on shares of the endpoints, stored as rows of the table service.

Clocks of different machines are never compared.  A holder considers its
lease valid for the lease's length, less a margin, from just before it sent
the write of the row; a contender acquires the lease only after it has seen
the row unchanged for longer than the full length.
"""

__all__ = ['LeaseRow', 'Intent', 'Lease', 'share_of', 'contenders']

import enum
import math

import msgspec
import xxhash

# Fraction of a lease's length.
MARGIN = 0.2
RENEW_FRACTION = 1.0 / 3.0
MAX_CONTENDERS = 2
NO_HOLDER = ''


class LeaseRow(msgspec.Struct):
    """A lease as stored; `count` increases with each renewal.

    `fencing` increases with each new holder and is sent with its orders.
    """

    holder: str
    fencing: int
    seconds: float
    count: int


class Intent(enum.StrEnum):
    """Next action of a router for a lease."""

    WAIT = 'wait'
    ACQUIRE = 'acquire'
    RENEW = 'renew'


def share_of(name, shares):
    """Return the number of the share to which an endpoint belongs."""
    return xxhash.xxh64_intdigest(name.encode()) % shares


def contenders(share, members):
    """Return the members that may acquire a share's lease, in rank order.

    Their number is limited so that only a few routers read each row.
    """
    ranked = sorted(
        members,
        key=lambda name: xxhash.xxh64_intdigest(f'{share}\0{name}'.encode()),
    )
    return ranked[:MAX_CONTENDERS]


class Lease:
    """A router's view of one lease.

    Parameters
    ----------
    own_id : str
    seconds : float
        Length of the lease.

    Notes
    -----
    The margins guard against two routers sending orders to one engine: a
    holder is paused, its lease expires, and another router acquires it.
    The holder checks `holds` right before each order; orders sent too late
    are rejected by engines that check the fencing number.
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
        """Record the row as just read (None if absent)."""
        if self.row is None or version != self.version:
            self.seen_at = now
        self.row = row
        self.version = version
        if row is None or row.holder != self.own_id:
            self.held_until = -math.inf

    def holds(self, now):
        """Return whether the lease is valid; check right before each order."""
        return now < self.held_until

    def intent(self, now, is_contender):
        """Return the next action, given the row passed to `observe`.

        Parameters
        ----------
        now : float
        is_contender : bool

        Returns
        -------
        Intent
        """
        if self.holds(now):
            elapsed = now - (self.held_until - self._trusted_seconds())
            due = elapsed >= self.seconds * RENEW_FRACTION
            return Intent.RENEW if due else Intent.WAIT
        if not is_contender:
            return Intent.WAIT
        if self.row is None or self.row.holder == NO_HOLDER:
            return Intent.ACQUIRE
        # A row under our own id that is not held belongs to a former process
        # or has expired; it must expire like that of any other holder.
        unchanged_seconds = now - self.seen_at
        if unchanged_seconds > self.row.seconds * (1.0 + MARGIN):
            return Intent.ACQUIRE
        return Intent.WAIT

    def _trusted_seconds(self):
        return self.seconds * (1.0 - MARGIN)

    def next_row(self, intent):
        """Return the row to write for an intent."""
        fencing = self.row.fencing if self.row is not None else 0
        count = self.row.count if self.row is not None else 0
        if intent is Intent.ACQUIRE:
            fencing += 1
        return LeaseRow(self.own_id, fencing, self.seconds, count + 1)

    def written(self, row, version, sent_at, intent):
        """Record that a row was written.

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
        self.held_until = sent_at + self._trusted_seconds()
        if intent is Intent.ACQUIRE:
            self.acquired_at = sent_at
            self.term = row.fencing

    def is_own_term(self):
        """Return whether this process wrote the row, expired or not.

        The fencing number distinguishes it from a row that a later process
        wrote under the same id.
        """
        if self.row is None or self.row.holder != self.own_id:
            return False
        return self.row.fencing == self.term

    def released_row(self):
        """Return the row that releases the lease, and stop holding it.

        Notes
        -----
        Expired leases are released too.  A process that shuts down slowly
        (its last report goes to a slow store) lets them expire, and their
        rows would name it until they time out for the other routers.  The
        row is written against the version last seen, so it can't overwrite
        that of a new holder.
        """
        self.held_until = -math.inf
        return LeaseRow(
            NO_HOLDER, self.row.fencing, self.seconds, self.row.count + 1
        )
