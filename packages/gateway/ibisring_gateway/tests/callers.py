"""Servers of callers, and callers on plain sockets, for tests."""

import contextlib
import socket
import threading
import time

from ibisring_gateway import callerserver
from ibisring_records import routing

WAIT_SECONDS = 10.0
POLL_SECONDS = 0.005
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


def echo(call):
    """Answer with the request's body."""
    call.answer(200, [], call.read_body())


@contextlib.contextmanager
def running(handler=echo, threads=(2, 4), limits=None, slots=None):
    """Run a server of callers."""
    limits = limits or routing.CallerLimits()
    server = callerserver.make_server(
        '127.0.0.1:0', threads, handler, limits, slots=slots
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        yield server
    finally:
        server.stop()


@contextlib.contextmanager
def connected(server):
    """Open a connection to a server."""
    with socket.create_connection(server.bind_addr, WAIT_SECONDS) as sock:
        yield sock


def receive_answer(sock):
    """Return an answer with a length, or what came of it before an end."""
    data = b''
    while b'\r\n\r\n' not in data:
        part = sock.recv(65536)
        if not part:
            return data
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    while len(body) < length:
        part = sock.recv(65536)
        if not part:
            break
        body += part
    return head + b'\r\n\r\n' + body


def wait_until(condition):
    """Wait until a condition holds."""
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, 'the condition never held'
        time.sleep(POLL_SECONDS)
