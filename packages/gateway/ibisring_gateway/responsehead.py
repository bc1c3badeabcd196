"""Checks that the headers of an answer were received whole.

`http.client` takes the end of a connection for the blank line after the
headers.  An answer that is cut there would be one with fewer headers and no
body.
"""

__all__ = ['CheckedResponse', 'HeadTruncated']

import http.client

_BLANK_LINES = (b'\r\n', b'\n')


class HeadTruncated(http.client.HTTPException):
    """The connection ended before the end of the headers."""


class CheckedResponse(http.client.HTTPResponse):
    """A response that raises `HeadTruncated` if its headers are not whole."""

    def begin(self):
        """Read the status line and the headers."""
        head = _HeadReader(self.fp)
        self.fp = head
        try:
            super().begin()
        finally:
            if self.fp is head:
                self.fp = head.reader
        if head.last_line not in _BLANK_LINES:
            raise HeadTruncated('the connection ended inside the headers')


class _HeadReader:
    """Reads lines and remembers the last one."""

    def __init__(self, reader):
        self.reader = reader
        self.last_line = b''

    def readline(self, limit=-1):
        self.last_line = self.reader.readline(limit)
        return self.last_line

    def close(self):
        self.reader.close()
