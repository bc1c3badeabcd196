"""A server that answers each connection with the same bytes, then ends it."""

__all__ = ['ENDINGS', 'running']

import contextlib
import socket
import struct
import threading

READ_SECONDS = 2.0
# Ways in which a connection ends after the bytes: whether by a reset.
ENDINGS = {'close': False, 'reset': True}


@contextlib.contextmanager
def running(answer, is_reset=False):
    """Run a server; yield its address.

    Parameters
    ----------
    answer : bytes
    is_reset : bool
        Whether it resets each connection in place of closing it.
    """
    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(
            target=_serve, args=(listener, answer, is_reset), daemon=True
        )
        thread.start()
        yield '127.0.0.1:%d' % listener.getsockname()[1]
        listener.shutdown(socket.SHUT_RDWR)
        thread.join()


def _serve(listener, answer, is_reset):
    while True:
        try:
            conn, _ = listener.accept()
        except OSError:
            return
        with conn:
            conn.settimeout(READ_SECONDS)
            _read_request(conn)
            conn.sendall(answer)
            if is_reset:
                linger = struct.pack('ii', 1, 0)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _read_request(conn):
    with conn.makefile('rb') as file:
        length = 0
        while (line := file.readline()) not in (b'\r\n', b''):
            name, _, value = line.partition(b':')
            if name.lower() == b'content-length':
                length = int(value)
        file.read(length)
