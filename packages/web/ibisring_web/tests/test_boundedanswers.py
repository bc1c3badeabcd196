"""Tests that bounds of answers leave sound ones alone."""

import contextlib
import socket
import threading
import time

from ibisring_web import boundedanswers
import pytest
from urllib3 import exceptions as urllib3_exceptions

TIMEOUT_SECONDS = 5.0
ARRIVAL_SECONDS = 0.1


def _serve(listener, answer, count):
    conn, _ = listener.accept()
    with listener, conn, contextlib.suppress(ConnectionError):
        for _ in range(count):
            conn.recv(1 << 16)
            conn.sendall(answer)
        conn.recv(1)


def _connect(body, bounds, count=1):
    """Connect to a server that sends a body to each of some requests."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    listener = socket.create_server(('127.0.0.1', 0))
    threading.Thread(
        target=_serve, args=(listener, head + body, count), daemon=True
    ).start()
    connection_class = boundedanswers.make_connection_class(bounds)
    port = listener.getsockname()[1]
    conn = connection_class('127.0.0.1', port, timeout=TIMEOUT_SECONDS)
    conn.connect()
    return conn


def _read_late(conn):
    """Return the data of an answer that has arrived when its time is over."""
    conn.request('GET', '/', preload_content=False)
    time.sleep(ARRIVAL_SECONDS)
    return conn.getresponse().data


def test_answer_that_came_in_time_is_read_late():
    """Guards against a sound answer lost to a busy process."""
    body = bytes(boundedanswers.MAX_LATE_BYTES // 2)
    conn = _connect(body, boundedanswers.Bounds(1 << 20, 0.0))
    assert _read_late(conn) == body
    conn.close()


def test_large_answer_is_not_read_late():
    """Guards against a stream of bytes that is always there to be read."""
    body = bytes(boundedanswers.MAX_LATE_BYTES * 2)
    conn = _connect(body, boundedanswers.Bounds(1 << 20, 0.0))
    with pytest.raises(urllib3_exceptions.ProtocolError):
        _read_late(conn)
    conn.close()


def test_connection_keeps_its_own_timeout_after_an_answer():
    """Guards against a next request that fails for want of time to send."""
    body = bytes(1 << 16)
    bounds = boundedanswers.Bounds(1 << 20, TIMEOUT_SECONDS / 2)
    conn = _connect(body, bounds, count=2)
    for _ in range(2):
        assert _read_late(conn) == body
        assert conn.sock.gettimeout() == TIMEOUT_SECONDS
    conn.close()
