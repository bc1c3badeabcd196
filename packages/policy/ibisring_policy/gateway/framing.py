"""How the end of an HTTP/1.1 body is marked.

References
----------
RFC 9112, "HTTP/1.1", section 6.3, on the length of a message's body.
"""

__all__ = ['Framing', 'find']

import enum

# No content, not modified.
_STATUSES_WITHOUT_BODY = frozenset((204, 304))


class Framing(enum.StrEnum):
    """What marks the end of a body.

    With `CLOSE` the body ends with its connection.
    """

    CHUNKS = 'chunks'
    LENGTH = 'length'
    CLOSE = 'close'


def find(headers, status=200):
    """Return how the body of an answer is framed.

    An answer whose status allows no body ends with its headers, as with a
    length of zero.

    Parameters
    ----------
    headers : mapping
        Of an answer; looked up by the names' usual spelling.
    status : int

    Returns
    -------
    Framing

    Examples
    --------
    >>> find({'Content-Length': '12'}).value
    'length'
    >>> find({}).value
    'close'
    """
    if status in _STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    if 'chunked' in headers.get('Transfer-Encoding', '').lower():
        return Framing.CHUNKS
    if headers.get('Content-Length', '').strip().isdigit():
        return Framing.LENGTH
    return Framing.CLOSE
