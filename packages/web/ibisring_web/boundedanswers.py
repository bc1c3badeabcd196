"""Connections whose answers are bounded in size and time.

A socket's timeout bounds the wait for the next bytes only.  With a few bytes
at a time, an answer that never ends would hold its thread for ever, and with
many, its memory would grow.
"""

__all__ = [
    'AnswerTimeout',
    'AnswerTooLarge',
    'Bounds',
    'Connection',
    'StreamAnswer',
    'make_connection_class',
    'make_pools',
]

import http.client
import io
import math
import sys
import time

from ibisring_web import sockets
import urllib3
from urllib3 import connection as urllib3_connection

# Bytes that are read after an answer's time if they have arrived by then: a
# busy process may be late to read what came in time.
MAX_LATE_BYTES = 1 << 16
# Longest line, also in a stream: urllib3 reads that of a chunk's size whole.
MAX_LINE_BYTES = 1 << 16


class AnswerTooLarge(http.client.HTTPException):
    """An answer has more bytes than it may have."""


class AnswerTimeout(TimeoutError):
    """No byte of an answer came within the timeout of a connection.

    Attributes
    ----------
    is_acknowledged : bool
        Whether the peer's kernel had acknowledged the whole request by then.
    """

    def __init__(self, is_acknowledged):
        super().__init__('timed out')
        self.is_acknowledged = is_acknowledged


class Bounds:
    """Bounds of one answer, with its head and all that frames it.

    Attributes
    ----------
    max_bytes : int
    seconds : float or None
        Longest time from the first byte to the last one.  None stands for
        the connection's own timeout, which bounds the wait for each byte.
    """

    __slots__ = ('max_bytes', 'seconds')

    def __init__(self, max_bytes, seconds=None):
        self.max_bytes = max_bytes
        self.seconds = seconds


class Connection(urllib3_connection.HTTPConnection):
    """A connection whose answers fail with an exception at their bounds.

    Attributes
    ----------
    bounds : Bounds
    answer_class : type
        Subclass of `http.client.HTTPResponse`.
    """

    bounds = None
    answer_class = http.client.HTTPResponse

    def response_class(self, sock, *arguments, **options):
        """Make the response to a request, before any of it is read."""
        seconds = self.bounds.seconds
        if seconds is None:
            seconds = self.timeout
        source = _Source(sock, self.bounds.max_bytes, seconds)
        return self.answer_class(source, *arguments, **options)


class StreamAnswer(http.client.HTTPResponse):
    """An answer whose body has no bounds if its status is 200."""

    def begin(self):
        """Read the head."""
        super().begin()
        if self.status == http.HTTPStatus.OK and self.fp is not None:
            self.fp.raw.lift_bounds()


class _Source:
    """Stands for a socket where a response opens a file on it."""

    def __init__(self, sock, max_bytes, seconds):
        self.sock = sock
        self.max_bytes = max_bytes
        self.seconds = seconds

    def makefile(self, mode):
        """Return a bounded file to read from."""
        raw = self.sock.makefile(mode, buffering=0)
        reader = _Reader(self.sock, raw, self.max_bytes, self.seconds)
        return _File(reader)


class _File(io.BufferedReader):
    """Allots no memory for more bytes than an answer may have."""

    def read(self, size=-1):
        """Read some bytes, as an answer's length or a chunk's may ask for.

        Raises
        ------
        AnswerTooLarge
        """
        if size is not None and size > self.raw.max_bytes:
            raise AnswerTooLarge(f'the answer announces {size} bytes')
        return super().read(size)

    def readline(self, size=-1):
        """Read a line.

        Raises
        ------
        AnswerTooLarge
        """
        if size is not None and size >= 0:
            return super().readline(size)
        line = super().readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise AnswerTooLarge('a line of the answer is too long')
        return line


class _Reader(io.RawIOBase):
    """Reads an answer from a socket, within its bounds."""

    def __init__(self, sock, raw, max_bytes, seconds):
        super().__init__()
        self.sock = sock
        self.raw = raw
        self.max_bytes = max_bytes
        self.bytes_left = max_bytes
        self.is_late = False
        self.seconds = seconds
        self.timeout = sock.gettimeout()
        self.deadline = None

    def readable(self):
        """Return that this may be read from."""
        return True

    def readinto(self, buffer):
        """Read the next bytes.

        Raises
        ------
        AnswerTimeout
        TimeoutError
        AnswerTooLarge
        """
        if self.deadline is not None:
            self._limit_wait()
        if self.bytes_left <= 0:
            raise AnswerTooLarge('the answer is too large')
        count = self._read_bytes(memoryview(buffer)[: self.bytes_left])
        if self.deadline is None:
            self.deadline = time.monotonic() + self.seconds
        self.bytes_left -= count
        return count

    def lift_bounds(self):
        """Bound nothing from here on but the wait for the next bytes."""
        self.max_bytes = sys.maxsize
        self.bytes_left = sys.maxsize
        self.deadline = math.inf
        self.sock.settimeout(self.timeout)

    def _read_bytes(self, buffer):
        try:
            return self.raw.readinto(buffer)
        except TimeoutError as error:
            if self.deadline is not None:
                raise
            # The caller closes the socket before it handles the error.
            is_acknowledged = sockets.are_all_bytes_acknowledged(self.sock)
            raise AnswerTimeout(is_acknowledged) from error

    def _limit_wait(self):
        left = self.deadline - time.monotonic()
        if left > 0.0:
            if self.timeout is None or left < self.timeout:
                self.sock.settimeout(left)
            return
        if not sockets.has_input(self.sock):
            raise TimeoutError('the answer takes too long')
        if not self.is_late:
            self.is_late = True
            self.bytes_left = min(self.bytes_left, MAX_LATE_BYTES)

    def close(self):
        """Close the file, and give the socket its own timeout back."""
        if self.closed:
            return
        if self.sock.fileno() >= 0:
            self.sock.settimeout(self.timeout)
        self.raw.close()
        super().close()


def make_connection_class(bounds, answer_class=http.client.HTTPResponse):
    """Make a subclass of `Connection`.

    Parameters
    ----------
    bounds : Bounds
    answer_class : type
        Subclass of `http.client.HTTPResponse`.
    """
    members = {'bounds': bounds, 'answer_class': answer_class}
    return type('BoundedConnection', (Connection,), members)


def make_pools(bounds, answer_class=http.client.HTTPResponse, **options):
    """Make pools of bounded connections.

    Parameters
    ----------
    bounds : Bounds
    answer_class : type
        Subclass of `http.client.HTTPResponse`.
    options
        As for `urllib3.PoolManager`.

    Returns
    -------
    urllib3.PoolManager
    """
    pools = urllib3.PoolManager(**options)
    members = {'ConnectionCls': make_connection_class(bounds, answer_class)}
    pool_class = type('_Pool', (urllib3.HTTPConnectionPool,), members)
    pools.pool_classes_by_scheme = {'http': pool_class}
    return pools
