"""Tests of endpoints whose answers to attempts never end, or end early."""

import socket
import threading
import time
import types

from ibisring_backing import engines
from ibisring_policy import admission
from ibisring_policy import retries
from ibisring_records import exceptions
from ibisring_router import attempterrors
from ibisring_router import engineclient
from ibisring_router import metrics
from ibisring_router import servicecalls
from ibisring_web import answerreading
from ibisring_web import calls
from ibisring_web.tests import answerkinds
from ibisring_web.tests import answerservers
from ibisring_web.tests import endlessbytes
import msgspec
import pytest

READ_SECONDS = 0.15
MARGIN_SECONDS = 1.0
SECONDS = 3 * READ_SECONDS + MARGIN_SECONDS
STREAM_SECONDS = 4 * READ_SECONDS
# An answer of which each byte comes in time, and all take three timeouts.
SLOW_ANSWER = b'"slowly"'
BYTE_SECONDS = 3 * READ_SECONDS / len(SLOW_ANSWER)
PACES = pytest.mark.parametrize('pace', endlessbytes.PACES)
KINDS = pytest.mark.parametrize('kind', endlessbytes.KINDS)
HEADS = ['no-line-end', 'header-line', 'headers', 'interim']


class _OneEndpoint:
    """A placement with a single endpoint."""

    def __init__(self, address):
        spec = types.SimpleNamespace(address=address)
        self.endpoints = [types.SimpleNamespace(name='s1', spec=spec)]

    def place(self, ticket, is_gone):
        return self

    def finish(self, report):
        """Ignore the end of an attempt."""

    def observe(self, endpoint, load):
        """Ignore an endpoint's load."""


def _call_service(address, seconds=READ_SECONDS):
    runner = servicecalls.make_runner(
        _OneEndpoint(address),
        calls.make_caller(READ_SECONDS),
        metrics.make_metrics(),
        READ_SECONDS,
    )
    request = servicecalls.ServiceCall(
        'r1',
        'a1',
        admission.Target(service='s'),
        rank=0,
        weight=1.0,
        deadline=time.monotonic() + seconds,
        idempotent=False,
        body=msgspec.Raw(b'{}'),
    )
    return runner.run(request, lambda: False)


@pytest.fixture
def slow_service():
    listener = socket.create_server(('127.0.0.1', 0))
    thread = threading.Thread(target=_answer_slowly, args=(listener,))
    thread.start()
    host, port = listener.getsockname()
    yield f'{host}:{port}'
    thread.join()
    listener.close()


def _answer_slowly(listener):
    conn, _ = listener.accept()
    with conn:
        data = b''
        while not data.endswith(b'{}'):
            data += conn.recv(4096)
        length = len(SLOW_ANSWER)
        conn.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length)
        for byte in SLOW_ANSWER:
            time.sleep(BYTE_SECONDS)
            conn.sendall(bytes([byte]))


def _generate(address):
    client = engineclient.make_engine_client(READ_SECONDS, READ_SECONDS)
    stages = [engines.Stage('e1', address, 0, 1)]
    order = engines.GenerateOrder('r1', 1, 'm', '1', '', 2, stages, 'p', 4)
    return client.generate(order, lambda endpoint, load: None)


@PACES
@KINDS
def test_service_answer_without_end_is_of_unknown_outcome(kind, pace):
    """Guards against an attempt that outlasts its time, or fills memory."""
    with (
        endlessbytes.running(kind, endlessbytes.PACES[pace]) as server,
        endlessbytes.bounded(server, SECONDS, calls.MAX_ANSWER_BYTES),
        pytest.raises(exceptions.OutcomeUnknown),
    ):
        _call_service(server.address)


def test_slow_service_answer_is_whole_before_the_deadline(slow_service):
    """Guards against an answer that is dropped while it still arrives."""
    answer = _call_service(slow_service, seconds=60.0)
    assert bytes(answer.body) == SLOW_ANSWER


@PACES
@KINDS
def test_error_of_an_engine_without_end_is_lost(kind, pace):
    """Guards against a thread that reads an error for ever."""
    is_slow = endlessbytes.PACES[pace]
    with (
        endlessbytes.running(kind, is_slow, status=500) as server,
        endlessbytes.bounded(server, SECONDS, calls.MAX_ANSWER_BYTES),
        pytest.raises(attempterrors.AttemptFailed) as raised,
    ):
        list(_generate(server.address))
    assert raised.value.failure in (
        retries.Failure.CUT,
        retries.Failure.SILENT,
    )


@PACES
@pytest.mark.parametrize('kind', HEADS)
def test_head_of_a_stream_without_end_is_lost(kind, pace):
    """Guards against a thread that waits for a stream to begin for ever."""
    with (
        endlessbytes.running(kind, endlessbytes.PACES[pace]) as server,
        endlessbytes.bounded(server, SECONDS, calls.MAX_ANSWER_BYTES),
        pytest.raises(attempterrors.AttemptFailed),
    ):
        list(_generate(server.address))


@pytest.mark.parametrize('kind', ['chunk-line', 'extension'])
def test_chunk_line_of_a_stream_without_end_is_lost(kind):
    """Guards against memory that grows with one line."""
    with (
        endlessbytes.running(kind) as server,
        endlessbytes.bounded(
            server, SECONDS, answerreading.MAX_CHUNK_LINE_BYTES
        ),
        pytest.raises(attempterrors.AttemptFailed),
    ):
        list(_generate(server.address))


def test_body_of_a_stream_is_not_bounded():
    """Guards against a sound stream that ends at the bounds of an answer."""
    caller = calls.make_caller(
        READ_SECONDS, READ_SECONDS, answer_seconds=READ_SECONDS
    )
    with endlessbytes.running('small-chunks', is_slow=True) as server:
        response = caller.open(
            'GET', server.address, '/stream', fresh=True, is_stream=True
        )
        chunks = calls.read_stream(response, server.address)
        end = time.monotonic() + STREAM_SECONDS
        while time.monotonic() < end:
            assert next(chunks)
        chunks.close()


@pytest.mark.parametrize('ending', answerservers.ENDINGS)
@pytest.mark.parametrize('name', answerkinds.CUT_HEADS)
def test_service_answer_whose_head_is_cut_is_of_unknown_outcome(name, ending):
    """Guards against a short head that callers get as a whole answer."""
    is_reset = answerservers.ENDINGS[ending]
    for data in answerkinds.CUT_HEADS[name]:
        with (
            answerservers.running(data, is_reset) as address,
            pytest.raises(exceptions.OutcomeUnknown),
        ):
            _call_service(address, seconds=SECONDS)


@pytest.mark.parametrize('ending', answerservers.ENDINGS)
@pytest.mark.parametrize('name', answerkinds.CUT_HEADS)
def test_stream_whose_head_is_cut_has_failed(name, ending):
    """Guards against a short head that callers get as an empty stream."""
    is_reset = answerservers.ENDINGS[ending]
    for data in answerkinds.CUT_HEADS[name]:
        with (
            answerservers.running(data, is_reset) as address,
            pytest.raises(attempterrors.AttemptFailed) as raised,
        ):
            list(_generate(address))
        assert raised.value.failure is retries.Failure.CUT
