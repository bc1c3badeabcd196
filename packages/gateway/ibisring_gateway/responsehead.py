"""Checks that the lines that frame an answer were received whole.

`http.client` takes the end of a connection for the blank line after the
headers.  An answer that is cut there would be one with fewer headers and no
body.  It also takes it for the end of a line, and a chunk size with leading
zeros that is cut would be that of the last chunk.
"""

__all__ = ['CheckedResponse', 'HeadTruncated', 'ChunkSizeTruncated']

import http.client

_BLANK_LINES = (b'\r\n', b'\n')


class HeadTruncated(http.client.HTTPException):
    """The connection ended before the end of the headers."""


class ChunkSizeTruncated(http.client.HTTPException):
    """The connection ended inside the size of a chunk."""


class CheckedResponse(http.client.HTTPResponse):
    """A response that raises an exception if a line of it is not whole.

    `HeadTruncated` concerns the headers, `ChunkSizeTruncated` the body.
    """

    def begin(self):
        """Read the status line and the headers."""
        head = _LineReader(self.fp)
        self.fp = head
        try:
            super().begin()
        finally:
            if self.fp is head:
                self.fp = head.reader
        if head.last_line not in _BLANK_LINES:
            raise HeadTruncated('the connection ended inside the headers')

    def _read_next_chunk_size(self):
        line = _LineReader(self.fp)
        self.fp = line
        try:
            size = super()._read_next_chunk_size()
        finally:
            if self.fp is line:
                self.fp = line.reader
        if not line.last_line.endswith(b'\n'):
            raise ChunkSizeTruncated('the connection ended in a chunk size')
        return size


class _LineReader:
    """Reads lines and remembers the last one."""

    def __init__(self, reader):
        self.reader = reader
        self.last_line = b''

    def readline(self, limit=-1):
        self.last_line = self.reader.readline(limit)
        return self.last_line

    def close(self):
        self.reader.close()
