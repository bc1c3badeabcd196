"""Server-sent events: encoding, and decoding by sseclient."""

__all__ = ['encode', 'decode', 'DONE']

import msgspec
import sseclient

DONE = '[DONE]'
_TERMINATORS = (b'\n\n', b'\r\n\r\n', b'\r\r')


def encode(value):
    """Encode one event.

    Parameters
    ----------
    value : str or struct or builtins
        A string stands for itself, all else becomes JSON.

    Examples
    --------
    >>> encode({'a': 1})
    b'data: {"a":1}\\n\\n'
    """
    if isinstance(value, str):
        return b'data: ' + value.encode() + b'\n\n'
    return b'data: ' + msgspec.json.encode(value) + b'\n\n'


class _WholeEvents(sseclient.SSEClient):
    """Drops an event that the stream's end cuts short.

    sseclient hands out what it holds when the stream ends.  Half a JSON
    event would then be read as damage, or, cut at an unlucky place, as a
    shorter token.  A whole event ends in a blank line.
    """

    def _read(self):
        for block in super()._read():
            if block.endswith(_TERMINATORS):
                yield block


def decode(chunks):
    """Yield the data of each whole event.

    Parameters
    ----------
    chunks : iterable of bytes

    Examples
    --------
    >>> list(decode([b'data: 1\\n', b'\\ndata: 2\\n\\ndata: 3']))
    ['1', '2']
    """
    for event in _WholeEvents(chunks).events():
        yield event.data
