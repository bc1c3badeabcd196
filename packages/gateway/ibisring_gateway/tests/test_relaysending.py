"""Tests of handing a request to another router, over real sockets."""

import itertools
import random
import socket
import struct
import threading
import time

from ibisring_gateway import attemptwatching
from ibisring_gateway import jobs
from ibisring_gateway import ports
from ibisring_gateway import relaymarks
from ibisring_gateway import relaysending
from ibisring_gateway.tests import builders
from ibisring_gateway import upstream
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import relays
from ibisring_policy.gateway import routetable
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing
from ibisring_web.tests import answerkinds
from ibisring_web.tests import endlessbytes
import msgspec
import pytest

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class _Codec:
    def encode_relayed(self, request, time_left, after_event):
        return {'Host': request.host}

    def decode_answer(self, status, headers, body):
        return ports.Answer(
            status=status,
            headers=list(headers.items()),
            request_id=None,
            refused=False,
            wrong_endpoint=False,
            delimited=True,
            signed='Signed' in headers,
            length=body.length,
            framing=body.framing,
        )


class _Exchange:
    """A caller; records its answer."""

    def __init__(self):
        self.socket, self.caller = socket.socketpair()
        self.headers_sent = False
        self.answers = []

    def answer(self, status, headers, body):
        self.answers.append((status, body))

    def begin(self, status, headers):
        self.headers_sent = True

    def write(self, data):
        self.answers.append(data)


class _Router:
    """Another router, that writes given bytes before and after the body."""

    def __init__(self, interim, answer, endless=(), is_reset=False):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.interim = interim
        self.answer = answer
        self.endless = endless
        self.is_reset = is_reset
        self.received = b''
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def _serve(self):
        conn, _ = self.listener.accept()
        conn.settimeout(5.0)
        while b'\r\n\r\n' not in self.received:
            self.received += conn.recv(4096)
        if self.interim:
            conn.sendall(self.interim)
            while not self.received.endswith(b'0\r\n\r\n'):
                self.received += conn.recv(4096)
            conn.sendall(self.answer)
        elif not self.endless:
            self.received += conn.recv(4096)
        self._write_endless(conn)
        if self.is_reset:
            linger = struct.pack('ii', 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        conn.close()

    def _write_endless(self, conn):
        try:
            for part in self.endless:
                conn.sendall(part)
        except OSError:
            return

    @property
    def candidate(self):
        """The router as a choice."""
        return relays.Candidate(
            'r2',
            '127.0.0.1:%d' % self.listener.getsockname()[1],
            'a',
            0.0,
            relays.PeerState(True),
        )


@pytest.fixture
def watcher():
    made = attemptwatching.make_watcher(lambda attempt: None)
    yield made
    made.stop()


def send(watcher, router, kind=routing.RequestKind.ONCE, view=None, **fields):
    """Hand a request to a router; return the job and the result.

    `fields` are set at the job.
    """
    view = view or builders.make_view([])
    sender = relaysending.make_relay_sender(
        view, _Codec(), watcher, upstream.make_connection_pool(), list, 'r1'
    )
    sender.rng = random.Random(1)
    request = ports.CallerRequest(
        id='a1',
        method='POST',
        host='h.example',
        target='/a/x',
        headers={},
        body=b'the body',
    )
    match = routetable.Match(build.route(kind=kind), 'acme', 0)
    now = view.clock()
    job = jobs.Job(
        _Exchange(), request, match, build.service(), now, now + 5.0
    )
    for name, value in fields.items():
        setattr(job, name, value)
    result = sender.send(job, router.candidate)
    if not router.endless:
        router.thread.join(5.0)
    return job, result


def answer(status, headers=(), body=b''):
    """Return an answer's bytes."""
    lines = [f'HTTP/1.1 {status} x', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join([*lines, '', '']).encode() + body


def test_an_answer_is_relayed(watcher):
    router = _Router(CONTINUE, answer(200, [('Signed', '1')], b'done'))
    job, result = send(watcher, router)
    assert result is None and job.exchange.answers == [(200, b'done')]
    assert b'the body' in router.received
    assert b'Ibisring-Relayed-By: r1' in router.received


@pytest.mark.parametrize(
    'kind', [routing.RequestKind.ONCE, routing.RequestKind.STREAM]
)
def test_a_relayed_answer_without_an_end_is_lost(watcher, kind):
    """Guards against an answer cut between routers that looks whole."""
    cut = b'HTTP/1.1 200 x\r\nSigned: 1\r\n\r\n: half\n'
    router = _Router(CONTINUE, cut)
    job, result = send(watcher, router, kind)
    assert result is attempts.Result.LOST
    assert job.exchange.answers == []


def test_a_frozen_router_has_not_been_handed_the_request(watcher):
    """Guards against a request that runs when a frozen router wakes up."""
    router = _Router(b'', b'')
    job, result = send(watcher, router)
    assert result is attempts.Result.NOT_SENT
    assert not job.progress.may_have_run
    assert b'the body' not in router.received
    assert b'0\r\n\r\n' not in router.received


def test_a_router_that_dies_with_a_request_leaves_it_unknown(watcher):
    """Guards against a second run after the first was lost on the way."""
    job, result = send(watcher, _Router(CONTINUE, b''))
    assert result is attempts.Result.LOST and job.progress.may_have_run


def _refusal(code):
    return answer(503, [(relaymarks.REFUSAL, code)], b'{}')


def test_another_router_is_asked_after_an_error_of_the_first(watcher):
    job, result = send(watcher, _Router(CONTINUE, _refusal('unreachable')))
    assert result is attempts.Result.NOT_SENT
    assert job.relays_failed == {'r2'} and not job.progress.may_have_run
    assert job.progress.tries == 1


@pytest.mark.parametrize('code', ['not_ready', 'table_behind'])
def test_router_that_is_not_ready_is_asked_again_shortly(watcher, code):
    """Guards against a stream cut as its only router is a table behind."""
    view = builders.make_view([])
    router = _Router(CONTINUE, _refusal(code))
    job, result = send(watcher, router, view=view)
    assert result is attempts.Result.NOT_SENT
    assert not job.progress.may_have_run and job.progress.tries == 0
    assert job.relays_failed == set() and job.relays_unready == {'r2'}
    now = view.clock()
    heard = msgspec.structs.replace(router.candidate, heard_at=now)
    service = job.service.name
    assert view.relays.usable([heard], service, job.unready_since) == []
    later = now + relays.UNREADY_SECONDS
    assert view.relays.usable([heard], service, later) == [heard]


@pytest.mark.parametrize('is_begun', [False, True])
def test_request_that_has_not_begun_waits_for_no_router_for_long(
    watcher, is_begun
):
    """Guards against a refusal that is held until the request's deadline."""
    view = builders.make_view([])
    since = view.clock() - relaysending.MAX_UNREADY_SECONDS - 0.1
    router = _Router(CONTINUE, _refusal('table_behind'))
    exchange = _Exchange()
    exchange.headers_sent = is_begun
    job, result = send(
        watcher, router, view=view, unready_since=since, exchange=exchange
    )
    assert result is attempts.Result.NOT_SENT
    assert job.relays_failed == (set() if is_begun else {'r2'})
    assert job.progress.tries == (0 if is_begun else 1)


@pytest.mark.parametrize('status', [401, 404, 429, 503])
def test_a_refusal_that_holds_for_all_routers_is_final(watcher, status):
    refusal = answer(status, [(relaymarks.REFUSAL, 'overloaded')], b'{}')
    job, result = send(watcher, _Router(CONTINUE, refusal))
    assert result is attempts.Result.TURNED_AWAY
    assert not job.progress.may_have_run
    assert attempts.decide(result, job.progress) is attempts.NextStep.REFUSE


def test_an_unknown_outcome_stays_unknown_over_two_routers(watcher):
    """Guards against "not run" for a request that may have run."""
    lost = answer(504, [(relaymarks.REFUSAL, 'outcome_unknown')], b'{}')
    job, result = send(watcher, _Router(CONTINUE, lost))
    assert result is attempts.Result.LOST
    assert attempts.decide(result, job.progress) is attempts.NextStep.UNKNOWN


def test_endpoints_used_by_the_other_router_count(watcher):
    """Guards against more endpoints per request than its route allows."""
    headers = [('Signed', '1'), (relaymarks.SENT_TO, 'e1,e2')]
    job, _ = send(watcher, _Router(CONTINUE, answer(200, headers, b'x')))
    assert job.sent_to == ['e1', 'e2'] and job.progress.sent_to == 2


PACES = pytest.mark.parametrize('pace', endlessbytes.PACES)
ENDLESS = pytest.mark.parametrize('kind', endlessbytes.KINDS)
MARGIN_SECONDS = 0.7


def test_final_answer_right_after_the_interim_one_is_read(watcher):
    """Guards against a refusal that is lost with the answer before it."""
    router = _Router(CONTINUE + _refusal('unreachable'), b'')
    job, result = send(watcher, router)
    assert result is attempts.Result.NOT_SENT
    assert job.relays_failed == {'r2'} and not job.progress.may_have_run


@pytest.mark.parametrize(
    'interim',
    [
        b'HTTP/1.1 1009 Continue\r\n\r\n',
        b'HTTP/1.1 100Continue\r\n\r\n',
        b'HTTP/1.1 100 C\x00\r\n\r\n',
        b'HTTP/1.1 100 Continue\r\nno field\r\n\r\n',
        b'HTTP/1.1 100 Continue\r\nA : b\r\n\r\n',
        b'HTTP/1.1 100 Continue\r\nA\x01: b\r\n\r\n',
        b'HTTP/1.1 100 Continue\nA: b\r\n\r\n',
        b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    ],
)
def test_request_is_not_handed_over_after_a_broken_interim_answer(
    watcher, interim
):
    """Guards against a body that is sent to a router in trouble."""
    router = _Router(b'', b'', endless=[interim])
    job, result = send(watcher, router)
    assert result is attempts.Result.NOT_SENT
    assert job.relays_failed == {'r2'} and not job.progress.may_have_run
    assert b'the body' not in router.received


class _StallingClock:
    """Stalls after the first part of an answer, as the rest arrives.

    Each reading of the clock before that takes no time.
    """

    def __init__(self, sock, first, rest):
        self.sock = sock
        self.parts = [b'', first, rest]
        self.now = 10.0

    def __call__(self):
        if self.parts:
            if len(self.parts) == 1:
                self.now += 2 * relaysending.CONTINUE_TIMEOUT_SECONDS
            self.sock.sendall(self.parts.pop(0))
        return self.now


@pytest.mark.parametrize('size', [1, 12, len(CONTINUE) - 1])
def test_interim_answer_with_a_stall_in_it_counts(size):
    """Guards against a router passed over for this one's own lateness."""
    ours, theirs = socket.socketpair()
    clock = _StallingClock(theirs, CONTINUE[:size], CONTINUE[size:])
    assert relaysending._read_interim(ours, clock) == CONTINUE


def test_half_an_interim_answer_after_a_stall_is_none():
    """Guards against a wait for a router that goes on past the limit."""
    ours, theirs = socket.socketpair()
    clock = _StallingClock(theirs, CONTINUE[:12], CONTINUE[12:-1])
    with pytest.raises(TimeoutError):
        relaysending._read_interim(ours, clock)


def test_bytes_without_end_after_a_stall_are_no_interim_answer():
    """Guards against input that keeps a thread past the limit."""
    ours, theirs = socket.socketpair()
    endless = b'x' * 4 * relaysending.MAX_INTERIM_BYTES
    clock = _StallingClock(theirs, CONTINUE[:12], endless)
    with pytest.raises(ConnectionResetError):
        relaysending._read_interim(ours, clock)


@PACES
@pytest.mark.parametrize(
    'start', [b'', b'HTTP/1.1 100 ', b'HTTP/1.1 100 Continue\r\nX: y\r\n']
)
def test_interim_answer_without_end_hands_nothing_over(watcher, start, pace):
    """Guards against a thread that waits for a router until the deadline."""
    parts = itertools.chain(
        [start], endlessbytes.parts('no-line-end', endlessbytes.PACES[pace])
    )
    router = _Router(b'', b'', endless=parts)
    started = time.monotonic()
    job, result = send(watcher, router)
    seconds = time.monotonic() - started
    assert seconds < relaysending.CONTINUE_TIMEOUT_SECONDS + MARGIN_SECONDS
    assert result is attempts.Result.NOT_SENT
    assert not job.progress.may_have_run
    assert b'the body' not in router.received


@PACES
@ENDLESS
def test_answer_of_a_router_without_end_is_lost(watcher, kind, pace):
    """Guards against "not run" or a success for what may run elsewhere."""
    parts = endlessbytes.parts(kind, endlessbytes.PACES[pace])
    router = _Router(CONTINUE, b'', endless=parts)
    view = builders.make_view([])
    deadline = view.clock() + 0.5
    job, result = send(watcher, router, view=view, deadline=deadline)
    assert view.clock() < deadline + MARGIN_SECONDS
    assert result in (attempts.Result.LOST, attempts.Result.DEADLINE)
    assert job.progress.may_have_run and job.exchange.answers == []


def _sign(data):
    """Add what a success needs, so that it is the parse that decides."""
    if b' OK\r\n' in data:
        return data.replace(b' OK\r\n', b' OK\r\nSigned: x\r\n', 1)
    if data.startswith(b'HTTP/'):
        return data.replace(b'\r\n', b'\r\nSigned: x\r\n', 1)
    return data


@pytest.mark.parametrize('name', answerkinds.BROKEN)
def test_spoilt_answer_of_a_router_is_lost(watcher, name):
    """Guards against an answer that the other router has not sent."""
    router = _Router(CONTINUE, _sign(answerkinds.BROKEN[name]))
    job, result = send(watcher, router)
    assert result is attempts.Result.LOST and not job.exchange.answers
    assert job.progress.may_have_run and job.relays_failed == {'r2'}


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('name', answerkinds.CUT_HEADS)
@pytest.mark.parametrize(
    'kind', [routing.RequestKind.ONCE, routing.RequestKind.STREAM]
)
def test_answer_of_a_router_whose_head_is_cut_is_lost(
    watcher, kind, name, is_reset
):
    """Guards against a short head that callers get as a whole answer."""
    for data in answerkinds.CUT_HEADS[name]:
        router = _Router(CONTINUE, _sign(data), is_reset=is_reset)
        job, result = send(watcher, router, kind)
        router.listener.close()
        assert result is attempts.Result.LOST
        assert not job.exchange.answers and not job.exchange.headers_sent
        assert job.progress.may_have_run


@pytest.mark.parametrize('name', answerkinds.SOUND)
def test_unusual_answer_of_a_router_is_relayed(watcher, name):
    """Guards against a sound answer that is taken for a lost one.

    One that ends with its connection has no mark that it is whole.
    """
    router = _Router(CONTINUE, _sign(answerkinds.SOUND[name]))
    job, result = send(watcher, router)
    if name.startswith('to-the-end'):
        assert result is attempts.Result.LOST and not job.exchange.answers
        return
    assert result is None
    assert job.exchange.answers == [(200, answerkinds.BODY)]
