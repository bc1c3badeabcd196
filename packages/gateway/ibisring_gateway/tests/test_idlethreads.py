"""Tests that a connection without a request holds no thread."""

import contextlib

from ibisring_gateway.tests import callers
from ibisring_records import exceptions
from ibisring_records import routing
import pytest

THREADS = 2
CONNECTIONS = 2 * THREADS
LAST_CHUNK = callers.CHUNKED + b'4\r\nbody\r\n0\r\n'
SIZED = callers.HEAD + b'Content-Length: 4\r\n\r\nbody'
# What a connection has received when it is idle.
IDLE = {
    'nothing': b'',
    'no body': b'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
    'a body with a length': SIZED,
    'chunks': LAST_CHUNK + b'\r\n',
    'chunks and trailers': LAST_CHUNK + b'Checksum: 7\r\n\r\n',
    'a body and a blank line': SIZED + b'\r\n',
    'a chunk and an unread rest': LAST_CHUNK.replace(b'/', b'/early', 1)
    + b'\r\n',
    'an unread body with a length': SIZED.replace(b'/', b'/early', 1),
}
# What is left unread of these bodies is never sent, or no longer wanted.
UNFINISHED = {
    'half of a body with a length': SIZED[:-2].replace(b'/', b'/early', 1),
    'half of a chunk': (callers.CHUNKED + b'4\r\nbo').replace(
        b'/', b'/early', 1
    ),
    'a chunk and half of a length': callers.CHUNKED + b'4\r\nbody\r\nx\r\n',
}


def _serve(call):
    """Answer before the end of the body at one path, after it elsewhere."""
    if call.target != '/early':
        with contextlib.suppress(exceptions.InvalidRequest):
            call.read_body()
    call.answer(200, [], b'served')


@pytest.fixture
def server():
    with callers.running(_serve, (THREADS, THREADS)) as server:
        yield server


def _open_idle(server, opened, sent):
    """Open more idle connections than there are threads."""
    for _ in range(CONNECTIONS):
        sock = opened.enter_context(callers.connected(server))
        sock.sendall(sent)
        if sent:
            assert callers.receive_answer(sock).endswith(b'served')
        yield sock


@pytest.mark.parametrize('sent', IDLE.values(), ids=IDLE)
def test_idle_connections_leave_threads_for_a_request(server, sent):
    """Guards against idle connections that use up a router's threads."""
    with contextlib.ExitStack() as opened:
        list(_open_idle(server, opened, sent))
        with callers.connected(server) as sock:
            sock.sendall(SIZED)
            assert callers.receive_answer(sock).endswith(b'served')
            callers.wait_until(lambda: server.requests.load == 0)


@pytest.mark.parametrize('sent', UNFINISHED.values(), ids=UNFINISHED)
def test_unfinished_bodies_hold_no_thread(server, sent):
    """Guards against threads that wait for what callers never send."""
    with contextlib.ExitStack() as opened:
        list(_open_idle(server, opened, sent))
        callers.wait_until(lambda: server.requests.load == 0)


def test_blank_lines_on_idle_connections_hold_no_thread(server):
    """Guards against a thread that waits for a request after a line."""
    with contextlib.ExitStack() as opened:
        for sock in list(_open_idle(server, opened, SIZED)):
            sock.sendall(b'\r\n')
        with callers.connected(server) as sock:
            sock.sendall(SIZED)
            assert callers.receive_answer(sock).endswith(b'served')
            callers.wait_until(lambda: server.requests.load == 0)


def test_request_after_blank_lines_is_served(server):
    with callers.connected(server) as sock:
        sock.sendall(b'\r\n\r\n' + SIZED)
        assert callers.receive_answer(sock).endswith(b'served')


def test_request_that_arrives_with_the_last_one_is_served(server):
    with callers.connected(server) as sock:
        sock.sendall(SIZED)
        sock.sendall(SIZED)
        received = b''
        while received.count(b'served') < 2:
            part = sock.recv(65536)
            assert part, received
            received += part


def test_head_that_pauses_too_long_is_answered():
    """Guards against a thread that a caller holds with half of a head."""
    limits = routing.CallerLimits(header_timeout=0.1)
    with callers.running(limits=limits) as server:
        with callers.connected(server) as sock:
            sock.sendall(callers.HEAD)
            answer = callers.receive_answer(sock)
    assert answer.startswith(b'HTTP/1.1 408 ')
