"""Reads the body of a caller's request from its connection."""

__all__ = ['Body', 'BodyEnded', 'make_body']

import re
import time

from ibisring_records import exceptions

# Longest wait for the next data of a body, and for the whole of it.
PAUSE_SECONDS = 5.0
BODY_SECONDS = 60.0
READ_BYTES = 65536
# Bytes of a line that says how long a chunk is.
MAX_LINE_BYTES = 4096
# Bytes of the lines that may follow the last chunk.
MAX_TRAILER_BYTES = 65536
# Of a body whose length is not valid.
NO_LENGTH = -1
_LENGTH = re.compile(rb'[0-9]{1,18}')
_CHUNK_SIZE = re.compile(rb'[0-9A-Fa-f]{1,16}')


class BodyEnded(Exception):
    """The connection ended before the body did."""


class Body:
    """The body of one request, to its last byte.

    What is left unread of a body would be taken for the connection's next
    request, and as long as it is buffered, a thread would wait for the rest
    of that request.

    Parameters
    ----------
    connection : cheroot.server.HTTPConnection
    length : int or None
        None for a body in chunks, `NO_LENGTH` if the length is not valid.
    max_bytes : int
        0 for no limit.
    clock : callable

    Attributes
    ----------
    is_framed : bool
        Whether it is known where it ends.
    is_complete : bool
        Whether the next bytes of the connection belong to another request.
    """

    def __init__(self, connection, length, max_bytes, clock=time.monotonic):
        self.source = connection.rfile
        self.socket = connection.socket
        self.length = length
        self.max_bytes = max_bytes
        self.clock = clock
        self.deadline = 0.0
        self.size = 0
        self.is_started = False
        self.is_framed = length != NO_LENGTH
        self.is_complete = length == 0

    def read(self, seconds=BODY_SECONDS):
        """Read the whole body.

        Parameters
        ----------
        seconds : float
            Longest time that this takes.

        Returns
        -------
        bytes

        Raises
        ------
        RequestTooSlow
        RequestTooLarge
        InvalidRequest
        BodyEnded
        OSError
        """
        if self.is_complete:
            return b''
        self.is_started = True
        if not self.is_framed:
            raise exceptions.InvalidRequest('Content-Length is not a length')
        self.deadline = self.clock() + seconds
        before = self.socket.gettimeout()
        try:
            if self.length is None:
                data = self._read_chunks()
            else:
                data = self._read_exactly(self.length)
        except TimeoutError as error:
            raise exceptions.RequestTooSlow(
                f'{self.size} bytes of the body arrived in time'
            ) from error
        finally:
            self.socket.settimeout(before)
        self.is_complete = True
        return data

    def _read_chunks(self):
        parts = []
        while True:
            size = self._read_chunk_size()
            if size == 0:
                self._skip_trailers()
                return b''.join(parts)
            parts.append(self._read_exactly(size))
            if self._read_line() != b'\r\n':
                raise exceptions.InvalidRequest(
                    'a chunk of the body is not as long as it says'
                )

    def _read_chunk_size(self):
        digits = self._read_line().partition(b';')[0].strip()
        if not _CHUNK_SIZE.fullmatch(digits):
            raise exceptions.InvalidRequest(
                'a chunk of the body has no valid length'
            )
        return int(digits, 16)

    def _skip_trailers(self):
        size = 0
        while True:
            line = self._read_line()
            size += len(line)
            if line in (b'\r\n', b'\n'):
                return
            if size > MAX_TRAILER_BYTES:
                raise exceptions.RequestTooLarge(
                    'the trailers of the body are too large'
                )

    def _read_exactly(self, count):
        if self.max_bytes and self.size + count > self.max_bytes:
            raise exceptions.RequestTooLarge('the body is too large')
        parts = []
        while count:
            data = self._read_some(min(count, READ_BYTES))
            parts.append(data)
            self.size += len(data)
            count -= len(data)
        return b''.join(parts)

    def _read_line(self):
        line = b''
        while not line.endswith(b'\n'):
            buffered = self._peek()
            end = buffered.find(b'\n') + 1
            line += self.source.read1(end or len(buffered))
            if len(line) > MAX_LINE_BYTES:
                raise exceptions.InvalidRequest(
                    'a line between chunks of the body is too long'
                )
        return line

    def _read_some(self, count):
        self._peek()
        return self.source.read1(count)

    def _peek(self):
        """Return what is buffered, at least one byte."""
        left = self.deadline - self.clock()
        if left <= 0.0:
            raise TimeoutError
        self.socket.settimeout(min(left, PAUSE_SECONDS))
        buffered = self.source.peek(1)
        if not buffered:
            raise BodyEnded('the connection ended before the body did')
        return buffered


def make_body(request):
    """Make the `Body` of a request.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest
        Its headers were read.
    """
    length = None
    if not request.chunked_read:
        text = request.inheaders.get(b'Content-Length', b'0')
        length = int(text) if _LENGTH.fullmatch(text) else NO_LENGTH
    max_bytes = request.server.max_request_body_size
    return Body(request.conn, length, max_bytes)
