"""How the end of an HTTP/1.1 answer's body is marked.

References
----------
RFC 9112, "HTTP/1.1", section 6, on the transfer coding and the length of a
message's body; section 9.3, on persistent connections.
RFC 9110, "HTTP Semantics", section 8.6, on Content-Length.
"""

__all__ = ['Body', 'Framing', 'InvalidFraming', 'decide', 'may_have_body']

import enum
import re

import msgspec

# No content, not modified.
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
# More digits than any answer needs, and few enough for a 64-bit number.
_LENGTH_PATTERN = re.compile('[0-9]{1,18}')


class Framing(enum.StrEnum):
    """What marks the end of a body.

    With `CLOSE` the body ends with its connection.
    """

    CHUNKS = 'chunks'
    LENGTH = 'length'
    CLOSE = 'close'


class InvalidFraming(ValueError):
    """The fields of an answer don't tell where its body ends."""


class Body(msgspec.Struct, frozen=True):
    """How the body of an answer is framed.

    Attributes
    ----------
    framing : Framing
    length : int or None
        In bytes; None unless `framing` is `LENGTH`.
    keeps_open : bool
        Whether the connection may be used again after the body.
    """

    framing: Framing
    length: int | None = None
    keeps_open: bool = False


def may_have_body(status, method):
    """Return whether the answer to a request has a body, empty or not.

    Parameters
    ----------
    status : int
        Of a final answer.
    method : str
        Of the request.
    """
    return method != 'HEAD' and status not in _STATUSES_WITHOUT_BODY


def decide(status, fields, method='GET', minor=1):
    """Decide how the body of a final answer is framed.

    An answer that can't have a body ends with its head, as with a length of
    zero.

    Parameters
    ----------
    status : int
    fields : list of (str, str)
        Names in any case and values of the header fields.
    method : str
        Of the request.
    minor : int
        Of the version HTTP/1.0 or HTTP/1.1.

    Returns
    -------
    Body

    Raises
    ------
    InvalidFraming
        A field that frames the body is not valid, or two contradict each
        other.

    Examples
    --------
    >>> decide(200, [('Content-Length', '12')])
    Body(framing=<Framing.LENGTH: 'length'>, length=12, keeps_open=True)
    >>> decide(200, []).framing.value
    'close'
    >>> decide(200, [('Content-Length', '+12')])
    Traceback (most recent call last):
    ...
    ibisring_policy.framing.InvalidFraming: Content-Length '+12'
    """
    codings = _elements(fields, 'transfer-encoding')
    lengths = _values(fields, 'content-length')
    framing, length = _decide_end(codings, lengths, minor)
    if not may_have_body(status, method):
        framing, length = Framing.LENGTH, 0
    keeps_open = framing is not Framing.CLOSE and _persists(fields, minor)
    return Body(framing, length, keeps_open)


def _decide_end(codings, lengths, minor):
    """Return framing and length by all fields that concern them."""
    if codings is not None:
        if codings != ['chunked'] or minor == 0:
            raise InvalidFraming(f'Transfer-Encoding {codings!r:.80}')
        if lengths:
            raise InvalidFraming('Transfer-Encoding and Content-Length')
        return Framing.CHUNKS, None
    if not lengths:
        return Framing.CLOSE, None
    if len(lengths) > 1 or not _LENGTH_PATTERN.fullmatch(lengths[0]):
        raise InvalidFraming(f'Content-Length {", ".join(lengths)[:80]!r}')
    return Framing.LENGTH, int(lengths[0])


def _persists(fields, minor):
    """Return whether a connection persists after an answer."""
    options = _elements(fields, 'connection') or []
    if 'close' in options:
        return False
    return minor > 0 or 'keep-alive' in options


def _values(fields, wanted):
    return [value for name, value in fields if name.lower() == wanted]


def _elements(fields, wanted):
    """Return the elements of a list in lower case, None without the field."""
    values = _values(fields, wanted)
    if not values:
        return None
    elements = ','.join(values).lower().split(',')
    return [element.strip(' \t') for element in elements]
