"""Splits an event stream into complete events, tracked by position.

A line ends with CR LF, LF or CR, and an event with a blank line.

References
----------
WHATWG, "HTML Living Standard", section 9.2, "Server-sent events".
"""

__all__ = ['StreamBroken', 'StreamGap', 'EventSplitter', 'make_event_splitter']

import re

# Bound on the bytes of one event, which are kept until it is complete.
MAX_EVENT_BYTES = 1 << 20
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
# The groups are atomic: CR LF must not be taken for two line ends.
_END_OF_EVENT = re.compile(rb'(?>\r\n|\n|\r)(?>\r\n|\n|\r)')
# Bytes before new ones that may belong to the same end of an event.
_OVERLAP_BYTES = 3
# `int` raises ValueError for more than 4,300 digits.
_POSITION_PATTERN = re.compile(rb'[0-9]{1,18}')
_LINE_ENDS = (b'\n', b'\r')


class StreamBroken(Exception):
    """A stream can't be continued as it is being received."""


class StreamGap(StreamBroken):
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

    Attributes
    ----------
    rest : bytes
        What was received after the last complete event.
    count : int
        Events with a position that were passed on.
    has_unnumbered : bool
        Whether events without a position follow the last that has one.  The
        stream can't be resumed after them.
    """

    __slots__ = (
        'last_position',
        'rest',
        'count',
        'has_unnumbered',
        'has_passed',
        'is_at_start',
    )

    def __init__(self, last_position=None):
        self.last_position = last_position
        self.rest = b''
        self.count = 0
        self.has_unnumbered = False
        self.has_passed = False
        self.is_at_start = True

    def restart(self):
        """Begin with another stream; discard the rest of the previous one."""
        self.rest = b''
        self.is_at_start = True

    def feed(self, data):
        """Add received bytes and return those of the events now complete.

        Raises
        ------
        StreamGap
            A position was skipped.
        StreamBroken
            An event is longer than `MAX_EVENT_BYTES`.

        Examples
        --------
        >>> splitter = make_event_splitter()
        >>> splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
        b'id: 1\\ndata: a\\n\\n'
        >>> splitter.feed(b'ta: b\\n\\n'), splitter.last_position
        (b'id: 2\\ndata: b\\n\\n', 2)
        """
        search_from = max(0, len(self.rest) - _OVERLAP_BYTES)
        data = self.rest + data
        out = []
        start = 0
        while True:
            match = _END_OF_EVENT.search(data, max(start, search_from))
            if match is None:
                break
            event = data[start : match.end()]
            start = match.end()
            if self._is_next(event):
                out.append(self._without_inner_mark(event))
                self.has_passed = True
            self.is_at_start = False
        self.rest = data[start:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise StreamBroken(f'an event exceeds {MAX_EVENT_BYTES} bytes')
        return b''.join(out)

    @property
    def is_inside_event(self):
        """Whether the stream, if it ends here, ends inside an event.

        Whole comment lines and blank lines may follow the last event.
        """
        rest = self.rest
        if self.is_at_start:
            rest = rest.removeprefix(_BYTE_ORDER_MARK)
        if not rest:
            return False
        return not rest.endswith(_LINE_ENDS) or _has_field(rest)

    def take_rest(self):
        """Remove the bytes after the last event of a whole stream."""
        rest = self._without_inner_mark(self.rest)
        self.rest = b''
        return rest

    def _without_inner_mark(self, data):
        """Drop a byte order mark that would arrive inside a stream."""
        if self.is_at_start and self.has_passed:
            return data.removeprefix(_BYTE_ORDER_MARK)
        return data

    def _is_next(self, event):
        position = _position(event)
        if position is None:
            self.has_unnumbered |= _has_field(event)
            return True
        if self.last_position is not None:
            if position <= self.last_position:
                return False
            if position != self.last_position + 1:
                raise StreamGap(
                    f'event {position} follows event {self.last_position}'
                )
        self.last_position = position
        self.has_unnumbered = False
        self.count += 1
        return True


def _lines(event):
    return event.removeprefix(_BYTE_ORDER_MARK).splitlines()


def _has_field(event):
    """Return whether there are other lines than blank ones and comments."""
    return any(line and line[:1] != b':' for line in _lines(event))


def _position(event):
    for line in _lines(event):
        if line.startswith(b'id:'):
            text = line[3:].strip()
            return int(text) if _POSITION_PATTERN.fullmatch(text) else None
    return None


def make_event_splitter(last_position=None):
    """Make an `EventSplitter` for a stream."""
    return EventSplitter(last_position)
