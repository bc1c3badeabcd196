"""Whole events of a stream, by position, never joined from two answers."""

__all__ = ['Damaged', 'Splitter', 'make_splitter']

_ENDS = (b'\n\n', b'\r\n\r\n')


class Damaged(Exception):
    """A stream does not go on where the last one stopped."""


class Splitter:
    """Passes on whole events, each position once and in order.

    An endpoint may stop in the middle of an event, and one that goes on in
    its place begins with the next whole one.  Half an event followed by a
    whole one would be read as a different piece of text.

    Parameters
    ----------
    after : int or None
        Position of the last event that the caller has.
    """

    __slots__ = ('last', 'rest', 'count')

    def __init__(self, after=None):
        self.last = after
        self.rest = b''
        self.count = 0

    def restart(self):
        """Forget the part of an event that was not whole."""
        self.rest = b''

    def feed(self, data):
        """Give the bytes of the whole events that are complete now.

        Raises
        ------
        Damaged
            A position is missing.

        Examples
        --------
        >>> splitter = make_splitter()
        >>> splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
        b'id: 1\\ndata: a\\n\\n'
        >>> splitter.feed(b'ta: b\\n\\n'), splitter.last
        (b'id: 2\\ndata: b\\n\\n', 2)
        """
        data = self.rest + data
        out = []
        while True:
            cut = _end_of_event(data)
            if cut is None:
                break
            event, data = data[:cut], data[cut:]
            if self._is_next(event):
                out.append(event)
        self.rest = data
        return b''.join(out)

    def _is_next(self, event):
        position = _position(event)
        if position is None:
            return True
        if self.last is not None:
            if position <= self.last:
                return False
            if position != self.last + 1:
                raise Damaged(f'event {position} came after {self.last}')
        self.last = position
        self.count += 1
        return True


def _end_of_event(data):
    cuts = [data.find(end) + len(end) for end in _ENDS if end in data]
    return min(cuts) if cuts else None


def _position(event):
    for line in event.split(b'\n'):
        if line.startswith(b'id:'):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None


def make_splitter(after=None):
    """Make a `Splitter` for a stream."""
    return Splitter(after)
