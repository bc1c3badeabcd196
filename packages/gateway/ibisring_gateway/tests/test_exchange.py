"""Tests of reading a caller's request and of answering it."""

import http.client
import io
import socket
import threading

from ibisring_gateway import bodies
from ibisring_gateway import exchange
from ibisring_gateway.tests import builders
from ibisring_gateway.tests import callers
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_web import sockets
import pytest

HALF_BODY = callers.HEAD + b'Content-Length: 8\r\n\r\nhalf'
CHUNKS = b'4\r\nwhol\r\n1;a=b\r\ne\r\n0\r\n'
TRAILERS = b'Checksum: 7\r\nOther: 8\r\n'


class _Connection:
    """The caller's side of a connection that has ended."""

    def __init__(self, data):
        self.rfile = io.BufferedReader(io.BytesIO(data))
        self.socket = socket.socket()


def _read(data, length=None, max_bytes=0):
    body = bodies.Body(_Connection(data), length, max_bytes)
    return exchange.Exchange(None, body).read_body()


def _answer_error(call):
    """Answer as the router does, with the error that occurs."""
    try:
        callers.echo(call)
    except exceptions.IbisringError as error:
        call.answer(error.status, [], error.code.encode())


@pytest.mark.parametrize(
    ('data', 'length'),
    [(b'half', 8), (b'8\r\nhalf', None), (b'4\r\nhalf\r\n', None)],
)
def test_body_that_ends_before_its_length_is_not_a_request(data, length):
    """Guards against a request that runs with half of its body."""
    with pytest.raises(exchange.CallerDisconnected):
        _read(data, length)


def test_whole_body_is_read():
    assert _read(b'whole', 5) == b'whole'
    assert _read(CHUNKS + b'\r\n') == b'whole'
    assert _read(CHUNKS + TRAILERS + b'\r\n') == b'whole'


@pytest.mark.parametrize(
    'data',
    [
        b'zz\r\n',
        b'-4\r\nhalf\r\n',
        b'0x4\r\nhalf\r\n',
        b'\r\n',
        b'4\r\nlonger\r\n',
        b'1' * 5000,
    ],
)
def test_malformed_chunks_are_refused_with_a_reason(data):
    """Guards against a bare close for what the caller can correct."""
    with pytest.raises(exceptions.InvalidRequest):
        _read(data)


@pytest.mark.parametrize(
    ('data', 'length'), [(b'12345', 5), (b'3\r\n123\r\n2\r\n45\r\n', None)]
)
def test_large_body_is_refused_with_a_reason(data, length):
    """Guards against a bare close for a chunk beyond the limit."""
    with pytest.raises(exceptions.RequestTooLarge):
        _read(data, length, max_bytes=4)


class _TricklingSource:
    """Yields a byte a second, by a clock of the test."""

    def __init__(self, clock):
        self.clock = clock
        self.rfile = self
        self.socket = socket.socket()

    def peek(self, size):
        self.clock.now += 1.0
        return b'x'

    def read1(self, size):
        return b'x'


def test_body_that_trickles_is_ended_by_the_limit_for_the_whole():
    """Guards against a thread that a slow caller holds without a limit."""
    clock = builders.Clock()
    started = clock()
    body = bodies.Body(_TricklingSource(clock), 10**6, 0, clock)
    with pytest.raises(exceptions.RequestTooSlow):
        body.read()
    assert clock() - started == pytest.approx(bodies.BODY_SECONDS, abs=1.0)


def test_body_that_pauses_too_long_is_answered(monkeypatch):
    """Guards against a bare close for a body that comes too slowly."""
    monkeypatch.setattr(bodies, 'PAUSE_SECONDS', 0.1)
    with callers.running(_answer_error) as server:
        with callers.connected(server) as sock:
            sock.sendall(HALF_BODY)
            answer = callers.receive_answer(sock)
            assert answer.startswith(b'HTTP/1.1 408 ')
            assert b'Connection: close' in answer
            assert answer.endswith(b'request_too_slow')
            assert sock.recv(1) == b''


def test_answer_before_the_end_of_a_slow_body_arrives():
    """Guards against an answer that waits for its request's body."""
    with callers.running(lambda call: call.answer(404, [], b'')) as server:
        with callers.connected(server) as sock:
            sock.sendall(HALF_BODY)
            answer = callers.receive_answer(sock)
            assert answer.startswith(b'HTTP/1.1 404 ')
            assert b'Connection: close' in answer
            # The close must not reset the connection.
            sock.sendall(b'rest')
            assert sock.recv(1) == b''


@pytest.mark.parametrize('is_chunked', [False, True])
def test_unread_body_is_not_taken_for_a_request(is_chunked):
    """Guards against a request hidden in the body of a refused one."""
    hidden = b'GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n'
    targets = []

    def serve(call):
        targets.append(call.target)
        call.answer(404, [], b'')

    with callers.running(serve) as server:
        caller = http.client.HTTPConnection(*server.bind_addr, timeout=10.0)
        for _ in range(2):
            body = iter([hidden]) if is_chunked else hidden
            caller.request('POST', '/', body, encode_chunked=is_chunked)
            assert caller.getresponse().read() == b''
        caller.close()
    assert targets == ['/', '/']


def test_large_chunked_body_is_answered():
    """Guards against a bare close for a chunk beyond the limit."""
    limits = routing.CallerLimits(body_bytes=1024)
    with callers.running(_answer_error, limits=limits) as server:
        with callers.connected(server) as sock:
            sock.sendall(callers.CHUNKED + b'100000\r\n' + bytes(1024 * 1024))
            answer = callers.receive_answer(sock)
    assert answer.startswith(b'HTTP/1.1 413 ')


@pytest.mark.parametrize('handler', [lambda call: None, lambda c: c.abort()])
def test_request_that_ends_unanswered_gets_an_answer(handler):
    """Guards against a bare close where the caller waits."""
    with callers.running(handler) as server:
        with callers.connected(server) as sock:
            sock.sendall(callers.HEAD + b'Content-Length: 4\r\n\r\nbody')
            answer = callers.receive_answer(sock)
            assert answer.startswith(b'HTTP/1.1 504 ')
            assert b'Connection: close' in answer
            assert sock.recv(1) == b''


def test_caller_that_left_is_no_error(caplog):
    """Guards against an error in the log for each caller that leaves."""
    left = threading.Event()
    ended = threading.Event()

    def serve(call):
        left.wait(callers.WAIT_SECONDS)
        callers.wait_until(lambda: sockets.is_gone(call.socket))
        call.abort()
        ended.set()

    with callers.running(serve) as server:
        with callers.connected(server) as sock:
            sock.sendall(callers.HEAD + b'Content-Length: 0\r\n\r\n')
        left.set()
        assert ended.wait(callers.WAIT_SECONDS)
        callers.wait_until(lambda: server.requests.load == 0)
    assert [r for r in caplog.records if r.levelname == 'ERROR'] == []
