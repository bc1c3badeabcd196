"""Tests of answers as they are read from a connection."""

import http.client
import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest

from ibisring_web import answerheads
from ibisring_web import answerreading
from ibisring_web.tests import answerkinds
from ibisring_web.tests import codedanswers


class _Sent:
    """Stands for a socket on which an answer arrives in pieces.

    A read returns at most one piece, and nothing after the last one.
    """

    def __init__(self, *pieces):
        self.pieces = [piece for piece in pieces if piece]

    def makefile(self, mode):
        return self

    def read1(self, count):
        if not self.pieces:
            return b''
        piece = self.pieces.pop(0)
        if piece[count:]:
            self.pieces.insert(0, piece[count:])
        return piece[:count]

    def close(self):
        """Close nothing."""

    def flush(self):
        """Flush nothing."""


def _read(*pieces, method='POST'):
    """Return status and body of an answer."""
    answer = answerreading.Answer(_Sent(*pieces), method=method)
    answer.begin()
    return answer.status, answer.read()


def _bytes_of(data):
    return [data[at : at + 1] for at in range(len(data))]


@pytest.mark.parametrize('name', answerkinds.BROKEN)
def test_broken_answer_is_refused(name):
    """Guards against a broken answer that is read as another, complete one."""
    data = answerkinds.BROKEN[name]
    with pytest.raises(http.client.HTTPException):
        _read(data)
    with pytest.raises(http.client.HTTPException):
        _read(*_bytes_of(data))


class _Reset(_Sent):
    """Stands for a socket that is reset after the last piece."""

    def read1(self, count):
        if not self.pieces:
            raise ConnectionResetError
        return super().read1(count)


@pytest.mark.parametrize('sent', [_Sent, _Reset])
@pytest.mark.parametrize('name', answerkinds.CUT_HEADS)
def test_head_that_is_cut_is_no_answer(name, sent):
    """Guards against a short head that is read as an answer without a body."""
    for data in answerkinds.CUT_HEADS[name]:
        for pieces in ([data], _bytes_of(data)):
            answer = answerreading.Answer(sent(*pieces), method='POST')
            with pytest.raises((http.client.HTTPException, OSError)):
                answer.begin()


@pytest.mark.parametrize('name', answerkinds.SOUND)
def test_sound_answer_is_read_whole(name):
    """Guards against an unusual answer that is refused."""
    data = answerkinds.SOUND[name]
    assert _read(data) == (200, answerkinds.BODY)
    assert _read(*_bytes_of(data)) == (200, answerkinds.BODY)


@hypothesis.given(
    name=strategies.sampled_from(sorted(answerkinds.SOUND)),
    cuts=strategies.lists(strategies.integers(0, 400), max_size=6),
)
def test_arrival_in_pieces_changes_nothing(name, cuts):
    data = answerkinds.SOUND[name]
    ends = sorted(min(cut, len(data)) for cut in cuts) + [len(data)]
    starts = [0, *ends]
    pieces = [data[start:end] for start, end in zip(starts, ends)]
    assert _read(*pieces) == (200, answerkinds.BODY)


@hypothesis.given(
    name=strategies.sampled_from(
        ['plain', 'chunked', 'chunks', 'extension', 'close', 'repeated-field']
    ),
    at=strategies.integers(0, 400),
    byte=strategies.integers(0, 255),
)
@hypothesis.settings(max_examples=1000)
def test_changed_byte_never_makes_another_whole_body(name, at, byte):
    """Guards against an answer whose framing is spoilt and that still ends.

    A byte of the body may change, as well as a name or a value.
    """
    data = answerkinds.SOUND[name]
    at %= len(data)
    changed = data[:at] + bytes([byte]) + data[at + 1 :]
    try:
        status, body = _read(changed)
    except http.client.HTTPException:
        return
    assert 200 <= status < 600
    if len(body) != len(answerkinds.BODY):
        # Only a name that is no longer that of the framing, or another
        # number, tells of another end.
        assert _names_changed(data, changed)


def _names_changed(data, changed):
    """Return whether a well-formed head frames its body otherwise."""
    head = changed[: changed.index(answerheads.BLANK_LINE) + 4]
    before = data[: data.index(answerheads.BLANK_LINE) + 4]
    parsed = answerheads.parse(head, 'POST')
    return parsed.body != answerheads.parse(before, 'POST').body


@hypothesis.given(strategies.binary(max_size=300))
def test_bytes_that_are_no_answer_are_refused(data):
    """Guards against exceptions of another class, which nobody expects."""
    with pytest.raises(http.client.HTTPException):
        _read(data)
    hypothesis.assume(data[:1] not in b'0123456789abcdefABCDEF')
    with pytest.raises(http.client.HTTPException):
        _read(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', data)


SMALL = b'2\r\nxx\r\n'


def _chunked(*pieces):
    """Return a chunked answer whose body arrives in pieces, its head read."""
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    answer = answerreading.Answer(_Sent(head, *pieces), method='GET')
    answer.begin()
    return answer


def test_small_chunks_are_returned_together():
    """Guards against small chunks that cost far more than their bytes."""
    answer = _chunked(SMALL * 100 + b'2\r\nx', b'x\r\n0\r\n\r\n')
    assert answer.read1(1000) == b'xx' * 100
    assert answer.read() == b'xx'


def test_no_more_is_returned_than_was_asked_for():
    """Guards against a reader that gets more than its bound."""
    answer = _chunked(SMALL * 100, b'0\r\n\r\n')
    assert answer.read1(5) == b'xxxx'
    assert answer.read1(1) == b'x'
    assert answer.read() == b'x' + b'xx' * 97


def test_chunks_before_a_broken_one_are_returned():
    """Guards against events that are lost with a broken chunk after them."""
    answer = _chunked(SMALL * 3 + b'2\r\nxxx\r\n')
    assert answer.read1(1000) == b'xxxxxx'
    with pytest.raises(http.client.HTTPException):
        answer.read()


def test_memory_of_small_chunks():
    """Guards against a body that takes many times its size in memory."""
    count = 200_000
    answer = _chunked(SMALL * count, b'0\r\n\r\n')
    with codedanswers.Peak() as peak:
        body = answer.read()
    assert body == b'xx' * count
    assert peak.size < 8 * len(body)


def test_data_of_a_chunk_is_returned_before_its_end():
    """Guards against an event that is late by the pause after it."""
    answer = _chunked(b'5\r\nhello')
    assert answer.read1(1000) == b'hello'
    with pytest.raises(http.client.HTTPException):
        answer.read1(1000)


@pytest.mark.parametrize('length', [b'', b'Content-Length: 400000\r\n'])
def test_few_reads_return_much_of_a_body(length):
    """Guards against an answer that is read too slowly to be in time."""
    body = b'x' * 400_000
    head = b'HTTP/1.1 200 OK\r\n' + length
    if not length:
        head += b'Transfer-Encoding: chunked\r\n'
        body = b'61a80\r\n' + body + b'\r\n0\r\n\r\n'
    answer = answerreading.Answer(_Sent(head + b'\r\n', body))
    answer.begin()
    sizes = [len(answer.read1(1 << 16)) for _ in range(7)]
    assert sum(sizes) == 400_000


def test_answer_that_was_read_keeps_no_bytes():
    """Guards against memory of idle connections that grows with answers."""
    answer = answerreading.Answer(_Sent(answerkinds.SOUND['plain']))
    answer.begin()
    answer.read()
    assert answer.input.data == b''


@pytest.mark.parametrize(
    'data', [b'Internal', b'HTTP/1.1 200 OK\n', b'HTTP/1.1 200 OK\nA: b']
)
def test_no_more_is_awaited_of_what_is_no_answer(data):
    """Guards against a thread that waits for the rest of no answer."""
    sent = _Sent(*_bytes_of(data), b'more')
    with pytest.raises(answerheads.InvalidAnswer):
        answerreading.Answer(sent).begin()
    assert sent.pieces


def test_failed_read_keeps_nothing():
    """Guards against failed answers that are kept until a collection."""
    size = 1 << 22
    pieces = [b'x' * 8192] * (size // 8192)
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n'
    answer = answerreading.Answer(_Sent(head, *pieces), method='GET')
    answer.begin()
    read1 = answer.read1
    answer.read1 = lambda count: bytes(bytearray(read1(count)))
    tracemalloc.start()
    try:
        with pytest.raises(answerreading.AnswerTruncated) as raised:
            answer.read()
        kept = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert raised.value is not None
    assert kept < size // 8
