"""Connections whose answers are bounded in size and time.

A socket's timeout bounds the wait for the next bytes only.  With a few bytes
at a time, an answer that never ends would hold its thread for ever, and with
many, its memory would grow.
"""

__all__ = [
    'AnswerTimeout',
    'Bounds',
    'Connection',
    'StreamAnswer',
    'make_connection_class',
    'make_pools',
]

import http
import io
import math
import sys
import time

from ibisring_web import answerreading
from ibisring_web import sockets
import urllib3

# Bytes that are read after an answer's time if they have arrived by then: a
# busy process may be late to read what came in time.
MAX_LATE_BYTES = 1 << 16


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


class Connection(answerreading.Connection):
    """A connection whose answers fail with an exception at their bounds.

    Attributes
    ----------
    bounds : Bounds
    """

    bounds = None

    def response_class(self, sock, *arguments, **options):
        """Make the response to a request, before any of it is read."""
        answer = super().response_class(sock, *arguments, **options)
        answer.on_end = self.close_after_surplus
        return answer

    def close_after_surplus(self):
        """Close the connection if the other side goes on after an answer."""
        if not self.is_reusable:
            self.close()

    def make_source(self, sock):
        """Return what an answer opens a file on to read from a socket."""
        seconds = self.bounds.seconds
        if seconds is None:
            seconds = self.timeout
        return _Source(sock, self.bounds.max_bytes, seconds)


class StreamAnswer(answerreading.Answer):
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
        return io.BufferedReader(reader)


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
            raise answerreading.AnswerTooLarge('the answer is too large')
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


def make_connection_class(bounds, answer_class=answerreading.Answer):
    """Make a subclass of `Connection`.

    Parameters
    ----------
    bounds : Bounds
    answer_class : type
        `answerreading.Answer` or a subclass.
    """
    members = {'bounds': bounds, 'answer_class': answer_class}
    return type('BoundedConnection', (Connection,), members)


def make_pools(bounds, answer_class=answerreading.Answer, **options):
    """Make pools of bounded connections.

    Parameters
    ----------
    bounds : Bounds
    answer_class : type
        `answerreading.Answer` or a subclass.
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
