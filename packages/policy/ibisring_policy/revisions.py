"""The active records of a router; revisions only increase, without gaps."""

__all__ = ['ActiveRecords', 'ApplyResult', 'make_records']

import enum

from ibisring_records import configuration

RECENT_CHANGES = 500


class ApplyResult(enum.StrEnum):
    """Result of applying a change or a snapshot."""

    APPLIED = 'applied'
    OLD = 'old'
    GAP = 'gap'


class ActiveRecords:
    """Applies changes and snapshots in order of increasing revisions.

    Attributes
    ----------
    revision : int
        -1 while there are no active records.

    Notes
    -----
    A peer that was paused, or a table service restored from a backup, may
    send records that are older than the active ones, and applying them
    would revert an operator's change.  Records that are not newer are
    therefore ignored.  A change that does not directly follow the active
    revision is not applied; the caller has to fetch the changes between.
    """

    def __init__(self):
        self.revision = -1
        self.stored = {}
        self.recent = {}

    def apply_change(self, change):
        """Apply a change if its revision is the next one.

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
        """Replace all records by a snapshot if it is newer.

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
        """Return the changes after a revision; None if some are missing."""
        revisions = range(revision + 1, self.revision + 1)
        if all(number in self.recent for number in revisions):
            return [self.recent[number] for number in revisions]
        return None

    def build(self):
        """Return the active configuration."""
        return configuration.build(self.revision, self.stored.values())


def make_records():
    """Make the records of a router that has none yet."""
    return ActiveRecords()
