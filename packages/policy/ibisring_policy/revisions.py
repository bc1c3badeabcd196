"""The records in force on one router: forward only, without gaps."""

__all__ = ['ActiveRecords', 'ApplyResult', 'make_records']

import enum

from ibisring_records import configuration

RECENT_CHANGES = 500


class ApplyResult(enum.StrEnum):
    """What became of a change that was offered."""

    APPLIED = 'applied'
    OLD = 'old'
    GAP = 'gap'


class ActiveRecords:
    """Applies changes and snapshots, never to a lower revision.

    Attributes
    ----------
    revision : int
        -1 before anything is in force.

    Notes
    -----
    A peer that was paused, or a table service restored from a copy, may
    offer what is older than what is in force.  An operator would see a
    change revert by itself.  Whatever is not newer is therefore ignored,
    and a change that does not follow directly is not applied but fetched
    with those between.
    """

    def __init__(self):
        self.revision = -1
        self.stored = {}
        self.recent = {}

    def apply_change(self, change):
        """Apply a change if it is the next one.

        Parameters
        ----------
        change : records.Change

        Returns
        -------
        ApplyResult
        """
        if change.revision <= self.revision:
            return ApplyResult.OLD
        if change.revision != self.revision + 1:
            return ApplyResult.GAP
        for record in change.records:
            self.stored[record.kind, record.name] = record
        self.revision = change.revision
        self.recent[change.revision] = change
        self.recent.pop(change.revision - RECENT_CHANGES, None)
        return ApplyResult.APPLIED

    def apply_snapshot(self, revision, stored):
        """Take a whole snapshot if it is newer.

        Parameters
        ----------
        revision : int
        stored : iterable of records.Stored

        Returns
        -------
        ApplyResult
        """
        if revision <= self.revision:
            return ApplyResult.OLD
        self.stored = {(r.kind, r.name): r for r in stored}
        self.revision = revision
        self.recent.clear()
        return ApplyResult.APPLIED

    def changes_since(self, revision):
        """Return the changes after a revision, or None if not all are here."""
        wanted = range(revision + 1, self.revision + 1)
        if all(number in self.recent for number in wanted):
            return [self.recent[number] for number in wanted]
        return None

    def build(self):
        """Return the configuration in force."""
        return configuration.build(self.revision, self.stored.values())


def make_records():
    """Make records of a router that has none yet."""
    return ActiveRecords()
