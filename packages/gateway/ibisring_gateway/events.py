"""Splits an event stream into complete events, tracked by position."""

__all__ = ['StreamGap', 'EventSplitter', 'make_event_splitter']

_TERMINATORS = (b'\n\n', b'\r\n\r\n')


class StreamGap(Exception):
    """A stream has a gap: it does not continue at the next position."""


class EventSplitter:
    """Passes on complete events, each position once and in order.

    An endpoint may fail in the middle of an event, and the one that resumes
    the stream starts with a complete event.  If the partial event were passed
    on, the caller would parse it together with the next one as corrupt text.

    Parameters
    ----------
    last_position : int or None
        Position of the last event that the caller has received.
    """

    __slots__ = ('last_position', 'partial', 'count')

    def __init__(self, last_position=None):
        self.last_position = last_position
        self.partial = b''
        self.count = 0

    def restart(self):
        """Discard the partial event of the previous attempt."""
        self.partial = b''

    def feed(self, data):
        """Add received bytes and return those of the events now complete.

        Raises
        ------
        StreamGap
            A position was skipped.

        Examples
        --------
        >>> splitter = make_event_splitter()
        >>> splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
        b'id: 1\\ndata: a\\n\\n'
        >>> splitter.feed(b'ta: b\\n\\n'), splitter.last_position
        (b'id: 2\\ndata: b\\n\\n', 2)
        """
        data = self.partial + data
        out = []
        while True:
            end_index = _end_of_event(data)
            if end_index is None:
                break
            event, data = data[:end_index], data[end_index:]
            if self._is_next(event):
                out.append(event)
        self.partial = data
        return b''.join(out)

    def _is_next(self, event):
        position = _position(event)
        if position is None:
            return True
        if self.last_position is not None:
            if position <= self.last_position:
                return False
            if position != self.last_position + 1:
                raise StreamGap(
                    f'event {position} follows event {self.last_position}'
                )
        self.last_position = position
        self.count += 1
        return True


def _end_of_event(data):
    ends = [data.find(end) + len(end) for end in _TERMINATORS if end in data]
    return min(ends) if ends else None


def _position(event):
    for line in event.split(b'\n'):
        if line.startswith(b'id:'):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None


def make_event_splitter(last_position=None):
    """Make an `EventSplitter` for a stream."""
    return EventSplitter(last_position)
