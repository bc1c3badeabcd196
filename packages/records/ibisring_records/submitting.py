"""Turns a submission into one transaction; pure, without I/O.

The accepting router reads the rows named by `rows_to_read`, calls
`make_change` with what it read, and commits the result with the table
service's compare-and-set.  Every write carries the submission's id, so a
commit whose answer was lost is settled by reading ``submissions/ID``.
"""

__all__ = ['rows_to_read', 'check_submission', 'make_change', 'rows_to_write']

import msgspec

from ibisring_records import conversion
from ibisring_records import exceptions
from ibisring_records import records
from ibisring_records import schemas


def rows_to_read(submission):
    """Return the keys that `make_change` needs, the head row first."""
    keys = [records.HEAD_KEY, records.submission_key(submission.id)]
    for record in submission.records:
        keys.append(records.record_key(record.kind, record.name))
    return keys


def check_submission(submission):
    """Reject a submission that is invalid regardless of stored records.

    Raises
    ------
    InvalidRecord
    """
    if not submission.records:
        raise exceptions.InvalidRecord('the submission holds no record')
    seen = set()
    for record in submission.records:
        key = (record.kind, record.name)
        if key in seen:
            raise exceptions.InvalidRecord(f'{key} stands twice')
        seen.add(key)
        if record.kind not in schemas.KINDS:
            raise exceptions.InvalidRecord(f'unknown kind {record.kind!r}')
        if not record.deleted:
            conversion.read_spec(record.kind, record.schema, record.spec)


def _merge(record, current, revision, submission_id):
    current_revision = current.revision if current is not None else 0
    if record.revision is not None and record.revision != current_revision:
        raise exceptions.Conflict(
            f'{record.kind}/{record.name} is at revision {current_revision},'
            f' the submission was made on revision {record.revision}',
            in_force=current_revision,
            submitted_on=record.revision,
        )
    schema, spec = record.schema, record.spec
    if current is not None and not current.deleted and not record.deleted:
        schema, spec = conversion.merge_spec(
            record.kind, schema, spec, current.schema, current.spec
        )
        conversion.read_spec(record.kind, schema, spec)
    return records.Stored(
        record.kind,
        record.name,
        schema,
        spec,
        revision,
        submission_id,
        record.deleted,
    )


def make_change(submission, rows):
    """Make the change that applies a submission.

    Parameters
    ----------
    submission : records.Submission
    rows : dict of str to dict
        Current values of the keys of `rows_to_read`; absent if none.

    Returns
    -------
    records.Change
        Its revision is the head's plus one.

    Raises
    ------
    InvalidRecord, Conflict
    """
    check_submission(submission)
    head = rows.get(records.HEAD_KEY)
    revision = msgspec.convert(head, records.Head).revision if head else 0
    revision += 1
    changed = []
    for record in submission.records:
        row = rows.get(records.record_key(record.kind, record.name))
        current = msgspec.convert(row, records.Stored) if row else None
        changed.append(_merge(record, current, revision, submission.id))
    return records.Change(revision, submission.id, changed)


def rows_to_write(change):
    """Return the rows that store a change, by table key.

    Parameters
    ----------
    change : records.Change

    Returns
    -------
    dict of str to dict
    """
    rows = {
        records.HEAD_KEY: records.Head(change.revision),
        records.change_key(change.revision): change,
        records.submission_key(change.submission): records.Accepted(
            change.submission, change.revision
        ),
    }
    for record in change.records:
        rows[records.record_key(record.kind, record.name)] = record
    return {key: msgspec.to_builtins(row) for key, row in rows.items()}
