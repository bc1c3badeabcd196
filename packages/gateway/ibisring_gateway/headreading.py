"""Reads the head of a caller's request within a time limit."""

__all__ = ['HeadReader', 'make_head_reader']

import time

from ibisring_web import sockets


class HeadReader:
    """Reads lines from a connection until its time is over.

    A timeout of the socket alone bounds the wait for the next bytes: with a
    few at a time, a caller would hold a thread for as long as it likes.

    Parameters
    ----------
    reader : io.BufferedReader
        Reads from the socket.
    sock : socket.socket
        Its timeout changes.
    seconds : float
        Time for all lines.
    clock : callable
    """

    def __init__(self, reader, sock, seconds, clock=time.monotonic):
        self.reader = reader
        self.socket = sock
        self.clock = clock
        self.deadline = clock() + seconds

    def readline(self, size):
        """Read to the end of a line, but no more than some bytes.

        Parameters
        ----------
        size : int

        Returns
        -------
        bytes

        Raises
        ------
        TimeoutError
        """
        line = b''
        while len(line) < size and not line.endswith(b'\n'):
            buffered = self._peek()[: size - len(line)]
            if not buffered:
                break
            end = buffered.find(b'\n') + 1
            line += self.reader.read1(end or len(buffered))
        return line

    def _peek(self):
        """Return what is buffered, b'' at the end of the connection."""
        if not self.reader.has_data():
            self._limit_wait()
        return self.reader.peek(1)

    def _limit_wait(self):
        left = self.deadline - self.clock()
        if left > 0.0:
            self.socket.settimeout(left)
        elif not sockets.has_input(self.socket):
            # The text by which cheroot knows a timeout.
            raise TimeoutError('timed out')


def make_head_reader(reader, sock, seconds):
    """Make a `HeadReader`; its time begins now."""
    return HeadReader(reader, sock, seconds)
