"""Servers whose answers go on until the caller closes the connection."""

__all__ = ['KINDS', 'PACES', 'Server', 'running', 'parts', 'bounded']

import contextlib
import itertools
import socket
import threading
import time

PACES = {'fast': False, 'slow': True}
# What the kernel holds of an answer on its way.
BUFFER_BYTES = 1 << 23
# Bytes of a slow answer, 80 a second.
SLOW_BYTES = 8
SLOW_PAUSE_SECONDS = 0.1
PIECE_BYTES = 1 << 14
# Bounds of one connection, for callers that set none.
MAX_BYTES = 1 << 28
MAX_SECONDS = 8.0
LEAVE_SECONDS = 2.0
_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_FILL = b'x' * PIECE_BYTES
# What an answer begins with, and what follows until the connection is closed.
KINDS = {
    'no-line-end': (b'', _FILL),
    'header-line': (_HEAD + b'X-Line: ', _FILL),
    'headers': (_HEAD, b'X-Field: value\r\n' * 1000),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500),
    'length': (_HEAD + b'Content-Length: 1000000000000\r\n\r\n', _FILL),
    'chunk-length': (_CHUNKED + b'e8d4a51000\r\n', _FILL),
    'chunks': (_CHUNKED, b'4000\r\n' + _FILL + b'\r\n'),
    'small-chunks': (_CHUNKED, b'1\r\nx\r\n' * 1000),
    'chunk-line': (_CHUNKED, b'0' * PIECE_BYTES),
    'extension': (_CHUNKED + b'1;', _FILL),
    'trailers': (_CHUNKED + b'2\r\n{}\r\n0\r\n', b'X-Field: value\r\n' * 1000),
    'close': (_HEAD + b'\r\n', _FILL),
}


class Server:
    """Writes one kind of endless answer to each request.

    Parameters
    ----------
    kind : str
        One of `KINDS`.
    is_slow : bool
        Whether what follows the beginning comes at 80 bytes a second.
    status : int

    Attributes
    ----------
    address : str
    sent : int
        Bytes written, on all connections.
    open_count : int
        Connections that no caller has closed.
    """

    def __init__(self, kind, is_slow=False, status=200):
        self.kind = kind
        self.is_slow = is_slow
        self.status = status
        self.sent = 0
        self.open_count = 0
        self.lock = threading.Lock()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn):
        with self.lock:
            self.open_count += 1
        try:
            with conn:
                conn.settimeout(MAX_SECONDS)
                if conn.recv(1 << 16):
                    self._answer(conn)
        except OSError:
            return
        finally:
            with self.lock:
                self.open_count -= 1

    def _answer(self, conn):
        for part in parts(self.kind, self.is_slow, self.status):
            conn.sendall(part)
            with self.lock:
                self.sent += len(part)

    def is_left(self):
        """Return whether the callers close all connections in time."""
        end = time.monotonic() + LEAVE_SECONDS
        while self.open_count and time.monotonic() < end:
            time.sleep(0.01)
        return not self.open_count


def parts(kind, is_slow=False, status=200):
    """Yield the bytes of an endless answer, piece by piece.

    Parameters
    ----------
    kind : str
        One of `KINDS`.
    is_slow : bool
    status : int

    Yields
    ------
    bytes
    """
    start, rest = KINDS[kind]
    end = time.monotonic() + MAX_SECONDS
    yield start.replace(b' 200 OK', b' %d Status' % status)
    for at in itertools.count(0, SLOW_BYTES if is_slow else len(rest)):
        if at > MAX_BYTES or time.monotonic() > end:
            return
        if not is_slow:
            yield rest
            continue
        time.sleep(SLOW_PAUSE_SECONDS)
        at %= len(rest)
        yield rest[at : at + SLOW_BYTES]


@contextlib.contextmanager
def running(kind, is_slow=False, status=200):
    """Run a `Server`."""
    server = Server(kind, is_slow, status)
    try:
        yield server
    finally:
        server.listener.close()


@contextlib.contextmanager
def bounded(server, seconds, max_bytes):
    """Check that a call to a server is bounded in time and in bytes.

    Parameters
    ----------
    server : Server
    seconds : float
    max_bytes : int
    """
    started = time.monotonic()
    yield
    assert time.monotonic() - started < seconds
    assert server.sent < max_bytes + BUFFER_BYTES
    assert server.is_left()
