"""Records as submitted by operators and as stored in the table service."""

__all__ = [
    'Submitted',
    'Submission',
    'Stored',
    'Change',
    'Head',
    'Accepted',
    'record_key',
    'change_key',
    'submission_key',
    'HEAD_KEY',
    'RECORD_PREFIX',
    'CHANGE_PREFIX',
    'NAME_PATTERN',
    'hash_key',
]

import hashlib
from typing import Annotated

import msgspec

HEAD_KEY = 'head'
RECORD_PREFIX = 'records/'
CHANGE_PREFIX = 'changes/'
SUBMISSION_PREFIX = 'submissions/'
NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9@._-]{0,119}$'

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]


class Submitted(msgspec.Struct, forbid_unknown_fields=True):
    """One record in a submission.

    `revision` is that of the record the operator edited (0 for a new one),
    or None to overwrite any revision.  `deleted` removes the record.
    """

    kind: str
    name: Name
    schema: str = 'v2'
    spec: dict = {}
    revision: int | None = None
    deleted: bool = False


class Submission(msgspec.Struct, forbid_unknown_fields=True):
    """Records that are accepted together or not at all."""

    id: Name
    records: list[Submitted]


class Stored(msgspec.Struct):
    """A stored record, with the configuration revision that wrote it."""

    kind: str
    name: str
    schema: str
    spec: dict
    revision: int
    submission: str
    deleted: bool = False


class Change(msgspec.Struct):
    """All records written by one revision."""

    revision: int
    submission: str
    records: list[Stored]


class Head(msgspec.Struct):
    """The latest revision; routers poll only this small row."""

    revision: int


class Accepted(msgspec.Struct):
    """The response to a stored submission."""

    submission: str
    revision: int


def record_key(kind, name):
    """Return the table key of a record."""
    return f'{RECORD_PREFIX}{kind}/{name}'


def change_key(revision):
    """Return the table key of a change; keys sort by revision."""
    return f'{CHANGE_PREFIX}{revision:012d}'


def submission_key(submission):
    """Return the key of the row that shows a submission was committed."""
    return f'{SUBMISSION_PREFIX}{submission}'


def hash_key(key):
    """Hash an account's API key for storage and comparison.

    Examples
    --------
    >>> len(hash_key('clave'))
    64
    """
    return hashlib.sha256(key.encode()).hexdigest()
