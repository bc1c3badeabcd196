"""Records on one router: accepting submissions and following the head.

The table service alone keeps records.  The actor here owns this router's
copy and publishes it as an immutable configuration.
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
COMMIT_TRIES = 4


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


class ChangesSince(msgspec.Struct):
    revision: int


class TakeSnapshot(msgspec.Struct):
    pass


class RecordsActor(actors.MessageActor):
    """Owns the records in force.

    Parameters
    ----------
    published : callable
        Given each new `configuration.Configuration`.
    """

    def __init__(self, published):
        super().__init__()
        self.published = published
        self.active_records = revisions.make_records()

    def handlers(self):
        return {
            ApplyChanges: self.on_apply_changes,
            ApplySnapshot: self.on_apply_snapshot,
            ChangesSince: self.on_changes_since,
            TakeSnapshot: self.on_take_snapshot,
        }

    def on_apply_changes(self, message):
        """Apply what follows; the answer is the revision in force."""
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

    def on_changes_since(self, message):
        return self.active_records.changes_since(message.revision)

    def on_take_snapshot(self, message):
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
        self.published(configuration)


class RecordKeeper:
    """How the rest of the router reads, submits and follows records.

    Parameters
    ----------
    actor : pykka.ActorRef
    table : tables.TableService
    metrics : metrics.Metrics

    Attributes
    ----------
    current : configuration.Configuration or None
    """

    def __init__(self, table, metrics):
        self.table = table
        self.metrics = metrics
        self.current = None
        self.listeners = []
        self.doubted = set()
        self.actor = RecordsActor.start(self._published)

    def _published(self, configuration):
        self.current = configuration
        for listener in self.listeners:
            listener(configuration)

    @property
    def revision(self):
        """The revision in force here, -1 for none."""
        current = self.current
        return -1 if current is None else current.revision

    def require(self):
        """Give the configuration in force.

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
        """Apply changes that follow on; give the revision in force."""
        return self.actor.ask(ApplyChanges(changes))

    def apply_snapshot(self, snapshot):
        """Take a newer snapshot; give the revision in force."""
        return self.actor.ask(ApplySnapshot(snapshot))

    def changes_since(self, revision):
        """Give the changes after a revision, or None."""
        return self.actor.ask(ChangesSince(revision))

    def snapshot(self):
        """Give all records in force."""
        return self.actor.ask(TakeSnapshot())

    def stop(self):
        self.actor.stop()

    # Following the table service

    def follow(self):
        """Read the head row, and fetch what this router lacks.

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
            # A restored table service: keep what is in force, and tell.
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
        """Read every record, at a head that did not move meanwhile.

        Pages are read one by one, so a change may come between them; the
        head is read before and after, and a moved head starts over.
        """
        for _ in range(COMMIT_TRIES):
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
        """Have the table service keep a submission.

        Parameters
        ----------
        submission : records.Submission

        Returns
        -------
        tuple of (records.Accepted, records.Change or None)
            The change is None if an earlier try had been accepted.

        Raises
        ------
        InvalidRecord, Conflict
        NotAccepted
            The table service certainly does not hold it.
        SubmissionUnknown
            It may; `find_accepted` will tell.
        """
        submitting.check_submission(submission)
        try:
            return self._try_to_submit(submission)
        except exceptions.NotAccepted as error:
            if submission.id not in self.doubted:
                raise
            # An earlier commit lost its answer and may yet take effect.
            raise exceptions.SubmissionUnknown(
                error.detail, submission=submission.id
            ) from error
        finally:
            self.doubted.discard(submission.id)

    def _try_to_submit(self, submission):
        seen = None
        for _ in range(COMMIT_TRIES):
            rows = self._read_for(submission)
            accepted = self._accepted_before(submission, rows)
            if accepted is not None:
                return accepted, None
            values = {key: row.value for key, row in rows.items()}
            seen = self._check_unmoved(submission, values, seen)
            change = submitting.make_change(submission, values)
            if self._commit(submission, change, rows):
                self.apply_changes([change])
                accepted = records.Accepted(submission.id, change.revision)
                return accepted, change
        raise exceptions.NotAccepted(
            'other submissions kept coming first', submission=submission.id
        )

    def _read_for(self, submission):
        try:
            return self.table.read(submitting.rows_to_read(submission))
        except exceptions.PlatformUnavailable as error:
            raise exceptions.NotAccepted(
                error.detail, submission=submission.id
            ) from error

    def _accepted_before(self, submission, rows):
        row = rows.get(records.submission_key(submission.id))
        if row is None:
            return None
        return msgspec.convert(row.value, records.Accepted)

    def _check_unmoved(self, submission, values, seen):
        """Refuse if another operator's change came in between.

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
            if seen is not None and seen[key] != revision:
                raise exceptions.Conflict(
                    f'{key} moved to revision {revision} while this was'
                    f' submitted on revision {seen[key]}',
                    in_force=revision,
                    submitted_on=seen[key],
                )
        return found

    def _commit(self, submission, change, rows):
        """Commit; False if some row moved and all has to be read anew."""
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
            return self._settle_commit(submission, error)

    def _settle_commit(self, submission, cause):
        """Find out whether a commit whose answer was lost took effect."""
        self.doubted.add(submission.id)
        try:
            accepted = self.find_accepted(submission.id)
        except exceptions.PlatformUnavailable as error:
            raise exceptions.SubmissionUnknown(
                cause.detail, submission=submission.id
            ) from error
        return accepted is not None

    def find_accepted(self, submission_id):
        """Give the `records.Accepted` of a submission, or None.

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
    """Start the records actor and give its `RecordKeeper`."""
    return RecordKeeper(table, metrics)
