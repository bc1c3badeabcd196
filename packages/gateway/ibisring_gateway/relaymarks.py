"""Headers between routers that hand requests over to each other."""

__all__ = [
    'Mark',
    'SENDER',
    'REFUSAL',
    'SENT_TO',
    'encode',
    'decode',
    'decode_endpoints',
    'is_marked',
    'strip',
]

import re

from ibisring_records import exceptions
from ibisring_records import received
import msgspec

SENDER = 'Ibisring-Relayed-By'
TABLE_VERSION = 'Ibisring-Table-Version'
# Endpoints that the request was sent to, in both directions.
SENT_TO = 'Ibisring-Sent-To'
# In an answer: code of the error of the router that was asked.
REFUSAL = 'Ibisring-Refusal'
MAX_ENDPOINTS = 32
_NAMES = frozenset(
    name.lower() for name in (SENDER, TABLE_VERSION, SENT_TO, REFUSAL)
)
_VERSION_PATTERN = re.compile(r'\d{1,18}', re.ASCII)


class Mark(msgspec.Struct, frozen=True):
    """Who hands a request over, and what has become of it there.

    `table_version` is that of the sender's routing table; `sent_to` has the
    ids of the endpoints that have had the request.
    """

    sender: str
    table_version: int
    sent_to: tuple[str, ...] = ()


def encode(mark):
    """Return the headers of a mark.

    Examples
    --------
    >>> encode(Mark('r1', 7, ('e1', 'e2')))[SENT_TO]
    'e1,e2'
    """
    return {
        SENDER: mark.sender,
        TABLE_VERSION: str(mark.table_version),
        SENT_TO: ','.join(mark.sent_to),
    }


def decode(headers, own_name):
    """Return the mark in a request's headers.

    Parameters
    ----------
    headers : dict of str to str
    own_name : str
        Name of this router, which never hands a request to itself.

    Raises
    ------
    InvalidRelay
    """
    values = {name.lower(): value for name, value in headers.items()}
    sender = values.get(SENDER.lower(), '')
    version = values.get(TABLE_VERSION.lower(), '')
    if not _is_name(sender):
        raise exceptions.InvalidRelay(f'{SENDER} is not the id of a router')
    if sender == own_name:
        raise exceptions.InvalidRelay('the request comes from this router')
    if not _VERSION_PATTERN.fullmatch(version):
        raise exceptions.InvalidRelay(f'{TABLE_VERSION} is not a number')
    sent_to = decode_endpoints(values.get(SENT_TO.lower(), ''))
    return Mark(sender, int(version), sent_to)


def decode_endpoints(text):
    """Return the endpoint ids in a header.

    Raises
    ------
    InvalidRelay
    """
    names = tuple(name for name in text.split(',') if name)
    if len(names) > MAX_ENDPOINTS:
        raise exceptions.InvalidRelay(f'{SENT_TO} has too many endpoints')
    if not all(_is_name(name) for name in names):
        raise exceptions.InvalidRelay(f'{SENT_TO} has an invalid endpoint id')
    return names


def _is_name(text):
    try:
        received.check(text, received.Identifier)
    except exceptions.MalformedMessage:
        return False
    return True


def is_marked(headers):
    """Return whether headers contain any of those between routers."""
    return any(name.lower() in _NAMES for name in headers)


def strip(headers):
    """Return (name, value) pairs without the headers between routers.

    Parameters
    ----------
    headers : iterable of (str, str)
    """
    return [pair for pair in headers if pair[0].lower() not in _NAMES]
