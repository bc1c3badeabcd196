"""Strict parse of the head of an answer.

`http.client` reads heads with a parser for mail, which goes on after a line
that is no field and takes a length that is no number for none.  The caller
would get a body that the server has not sent.

References
----------
RFC 9112, "HTTP/1.1", sections 4 and 5, on the status line and field lines.
"""

__all__ = ['Head', 'InvalidAnswer', 'parse', 'BLANK_LINE', 'PREFIX']

import http.client
import re

import httptools

from ibisring_policy import framing

BLANK_LINE = b'\r\n\r\n'
# Of every answer.
PREFIX = b'HTTP/1.'
# 101 isn't among the interim statuses: no request asks for another protocol.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ((?!101)[1-5][0-9][0-9])(?: ([\t -~\x80-\xff]*))?\r\n'
)
_OWS = b' \t'
INTERIM_STATUSES = range(100, 200)


class InvalidAnswer(http.client.HTTPException):
    """The bytes of an answer are not an answer of HTTP/1.1."""


class Head:
    """The head of an answer.

    Attributes
    ----------
    status : int
    reason : str
    minor : int
        Minor number of its version, HTTP/1.0 or HTTP/1.1.
    fields : list of (str, str)
    body : framing.Body or None
        How its body is framed; None if it is an interim answer.
    """

    __slots__ = ('status', 'reason', 'minor', 'fields', 'body')

    def __init__(self, status, reason, minor, fields, body):
        self.status = status
        self.reason = reason
        self.minor = minor
        self.fields = fields
        self.body = body


class _Fields:
    """Collects the fields of a head, as the parser's callbacks."""

    __slots__ = ('fields',)

    def __init__(self):
        self.fields = []

    def on_header(self, name, value):
        """Add a field."""
        value = value.strip(_OWS).decode('latin-1')
        self.fields.append((name.decode('latin-1'), value))


def parse(data, method='GET'):
    """Parse a head.

    Parameters
    ----------
    data : bytes
        From the status line to the blank line.
    method : str
        Of the request.

    Returns
    -------
    Head

    Raises
    ------
    InvalidAnswer

    Examples
    --------
    >>> head = parse(b'HTTP/1.1 200 OK\\r\\nContent-Length: 3\\r\\n\\r\\n')
    >>> head.status, head.body.length
    (200, 3)
    """
    match = _STATUS_LINE.match(data)
    if match is None:
        raise InvalidAnswer(f'status line {data[:40]!r}')
    collected = _Fields()
    try:
        httptools.HttpResponseParser(collected).feed_data(data)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
        raise InvalidAnswer(f'fields: {error}') from error
    status = int(match[2])
    # An interim answer has no body; fields that frame one must be valid in it
    # all the same.
    body = _decide_body(status, collected.fields, method, int(match[1]))
    if status in INTERIM_STATUSES:
        body = None
    reason = (match[3] or b'').decode('latin-1')
    return Head(status, reason, int(match[1]), collected.fields, body)


def _decide_body(status, fields, method, minor):
    try:
        return framing.decide(status, fields, method, minor)
    except framing.InvalidFraming as error:
        raise InvalidAnswer(str(error)) from error
