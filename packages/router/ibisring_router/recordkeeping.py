"""Records on one router: submissions, and changes from the table service.

Records are stored only in the table service.  The actor here owns this
router's copy and publishes it as an immutable configuration.
"""

__all__ = [
    'Snapshot',
    'ChangeList',
    'RecordsActor',
    'RecordKeeper',
    'start_records',
]

import logging

from ibisring_policy import revisions
from ibisring_records import exceptions
from ibisring_records import records
from ibisring_records import submitting
from ibisring_router import actors
from ibisring_router import logs
import msgspec

LOG = logging.getLogger(__name__)
MAX_TRIES = 4


class Snapshot(msgspec.Struct):
    """All records at a revision."""

    revision: int
    records: list[records.Stored]


class ChangeList(msgspec.Struct):
    """Changes in order of revision."""

    changes: list[records.Change]


class ApplyChanges(msgspec.Struct):
    changes: list[records.Change]


class ApplySnapshot(msgspec.Struct):
    snapshot: Snapshot


class GetChanges(msgspec.Struct):
    revision: int


class GetSnapshot(msgspec.Struct):
    pass


class RecordsActor(actors.MessageActor):
    """Owns the records that this router applies.

    Parameters
    ----------
    on_configuration : callable
        Called with each new `configuration.Configuration`.
    """

    def __init__(self, on_configuration):
        super().__init__()
        self.on_configuration = on_configuration
        self.active_records = revisions.make_records()

    def handlers(self):
        return {
            ApplyChanges: self.on_apply_changes,
            ApplySnapshot: self.on_apply_snapshot,
            GetChanges: self.on_get_changes,
            GetSnapshot: self.on_get_snapshot,
        }

    def on_apply_changes(self, message):
        """Apply changes that follow on; return the active revision."""
        before = self.active_records.revision
        for change in message.changes:
            self.active_records.apply_change(change)
        self._publish(before)
        return self.active_records.revision

    def on_apply_snapshot(self, message):
        before = self.active_records.revision
        snapshot = message.snapshot
        self.active_records.apply_snapshot(snapshot.revision, snapshot.records)
        self._publish(before)
        return self.active_records.revision

    def on_get_changes(self, message):
        return self.active_records.changes_since(message.revision)

    def on_get_snapshot(self, message):
        stored = list(self.active_records.stored.values())
        return Snapshot(self.active_records.revision, stored)

    def _publish(self, before):
        if self.active_records.revision == before:
            return
        configuration = self.active_records.build()
        logs.event(
            LOG,
            'configuration_in_force',
            revision=configuration.revision,
            unreadable=sorted(configuration.unreadable),
        )
        self.on_configuration(configuration)


class RecordKeeper:
    """Reads, submits and follows records; client of the records actor.

    Parameters
    ----------
    table : tables.TableService
    metrics : metrics.Metrics

    Attributes
    ----------
    current : configuration.Configuration or None
        The active configuration.
    listeners : list of callable
        Called with each new configuration.
    uncertain_ids : set of str
        Ids of submissions whose commit may have taken effect.
    """

    def __init__(self, table, metrics):
        self.table = table
        self.metrics = metrics
        self.current = None
        self.listeners = []
        self.uncertain_ids = set()
        self.actor = RecordsActor.start(self._set_current)

    def _set_current(self, configuration):
        self.current = configuration
        for listener in self.listeners:
            listener(configuration)

    @property
    def revision(self):
        """The active revision, -1 for none."""
        current = self.current
        return -1 if current is None else current.revision

    def require(self):
        """Return the active configuration.

        Raises
        ------
        NotReady
        """
        if self.current is None:
            raise exceptions.NotReady(
                'no configuration is in force here yet', retry_after=1.0
            )
        return self.current

    def apply_changes(self, changes):
        """Apply changes that follow on; return the active revision."""
        return self.actor.ask(ApplyChanges(changes))

    def apply_snapshot(self, snapshot):
        """Apply a snapshot if it is newer; return the active revision."""
        return self.actor.ask(ApplySnapshot(snapshot))

    def changes_since(self, revision):
        """Return the changes after a revision, None if not kept."""
        return self.actor.ask(GetChanges(revision))

    def snapshot(self):
        """Return a snapshot of the active records."""
        return self.actor.ask(GetSnapshot())

    def stop(self):
        self.actor.stop()

    # Following the table service

    def follow(self):
        """Read the head row, and fetch changes that are missing here.

        Returns
        -------
        int
            The head's revision.

        Raises
        ------
        PlatformUnavailable
        """
        rows = self.table.read([records.HEAD_KEY])
        row = rows.get(records.HEAD_KEY)
        head = msgspec.convert(row.value, records.Head) if row else None
        revision = head.revision if head is not None else 0
        if revision < self.revision:
            # The table service was restored from a backup; the newer records
            # stay active.
            self.metrics.count('records.head_behind')
        if revision > self.revision:
            self._fetch(revision)
        return revision

    def _fetch(self, revision):
        missing = revision - self.revision
        if self.revision >= 0 and missing <= revisions.RECENT_CHANGES:
            keys = [
                records.change_key(number)
                for number in range(self.revision + 1, revision + 1)
            ]
            rows = self.table.read(keys)
            found = [rows[key].value for key in keys if key in rows]
            changes = msgspec.convert(found, list[records.Change])
            if self.apply_changes(changes) >= revision:
                return
        self._fetch_all()

    def _fetch_all(self):
        """Read every record, all at the same head revision.

        A change may be committed between the pages of a scan, so the head is
        read before and after, and the scan is repeated if it changed.
        """
        for _ in range(MAX_TRIES):
            before = self._head_revision()
            rows = self.table.scan_all(records.RECORD_PREFIX)
            if self._head_revision() == before:
                stored = msgspec.convert(
                    [row.value for row in rows], list[records.Stored]
                )
                self.apply_snapshot(Snapshot(before, stored))
                return

    def _head_revision(self):
        rows = self.table.read([records.HEAD_KEY])
        row = rows.get(records.HEAD_KEY)
        return row.value['revision'] if row else 0

    # Submissions

    def submit(self, submission):
        """Commit a submission to the table service.

        Parameters
        ----------
        submission : records.Submission

        Returns
        -------
        tuple of (records.Accepted, records.Change or None)
            The change is None if the submission was accepted before.

        Raises
        ------
        InvalidRecord, Conflict
        NotAccepted
            The table service did not accept it.
        SubmissionUnknown
            It may have been accepted; query `find_accepted`.
        """
        submitting.check_submission(submission)
        try:
            return self._try_to_submit(submission)
        except exceptions.NotAccepted as error:
            if submission.id not in self.uncertain_ids:
                raise
            # An earlier commit whose answer was lost may still take effect.
            raise exceptions.SubmissionUnknown(
                error.detail, submission=submission.id
            ) from error
        finally:
            self.uncertain_ids.discard(submission.id)

    def _try_to_submit(self, submission):
        read_revisions = None
        for _ in range(MAX_TRIES):
            rows = self._read_rows(submission)
            accepted = self._find_accepted_row(submission, rows)
            if accepted is not None:
                return accepted, None
            values = {key: row.value for key, row in rows.items()}
            read_revisions = self._check_revisions(
                submission, values, read_revisions
            )
            change = submitting.make_change(submission, values)
            if self._commit(submission, change, rows):
                self.apply_changes([change])
                accepted = records.Accepted(submission.id, change.revision)
                return accepted, change
        raise exceptions.NotAccepted(
            'other submissions kept coming first',
            submission=submission.id,
        )

    def _read_rows(self, submission):
        try:
            return self.table.read(submitting.rows_to_read(submission))
        except exceptions.PlatformUnavailable as error:
            raise exceptions.NotAccepted(
                error.detail, submission=submission.id
            ) from error

    def _find_accepted_row(self, submission, rows):
        row = rows.get(records.submission_key(submission.id))
        if row is None:
            return None
        return msgspec.convert(row.value, records.Accepted)

    def _check_revisions(self, submission, values, read_revisions):
        """Refuse if another submission changed a record since the first try.

        Raises
        ------
        Conflict
        """
        found = {}
        for record in submission.records:
            key = records.record_key(record.kind, record.name)
            value = values.get(key)
            found[key] = value['revision'] if value else 0
        for key, revision in found.items():
            if read_revisions is not None and read_revisions[key] != revision:
                raise exceptions.Conflict(
                    f'{key} moved to revision {revision} while this was'
                    f' submitted on revision {read_revisions[key]}',
                    in_force=revision,
                    submitted_on=read_revisions[key],
                )
        return found

    def _commit(self, submission, change, rows):
        """Commit a change; return False if a row changed since it was read."""
        expected = {
            key: rows[key].version if key in rows else 0
            for key in submitting.rows_to_read(submission)
        }
        try:
            self.table.commit(expected, submitting.rows_to_write(change))
            return True
        except exceptions.Conflict:
            return False
        except exceptions.PlatformUnavailable as error:
            raise exceptions.NotAccepted(
                error.detail, submission=submission.id
            ) from error
        except exceptions.PlatformAnswerLost as error:
            return self._resolve_commit(submission, error)

    def _resolve_commit(self, submission, cause):
        """Return whether a commit whose answer was lost took effect."""
        self.uncertain_ids.add(submission.id)
        try:
            accepted = self.find_accepted(submission.id)
        except exceptions.PlatformUnavailable as error:
            raise exceptions.SubmissionUnknown(
                cause.detail, submission=submission.id
            ) from error
        return accepted is not None

    def find_accepted(self, submission_id):
        """Return the `records.Accepted` of a submission, or None.

        Raises
        ------
        PlatformUnavailable
        """
        key = records.submission_key(submission_id)
        row = self.table.read([key]).get(key)
        if row is None:
            return None
        return msgspec.convert(row.value, records.Accepted)


def start_records(table, metrics):
    """Start the records actor and return its `RecordKeeper`."""
    return RecordKeeper(table, metrics)
