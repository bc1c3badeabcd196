"""Tests of callers' connections at the limit on descriptors."""

import concurrent.futures
import contextlib
import errno
import resource
import socket
import threading
import time

from ibisring_gateway import descriptorlimit
from ibisring_gateway import idleconnections
from ibisring_gateway.tests import callers
from ibisring_policy.gateway import descriptors
from ibisring_router import metrics as metrics_module
import pytest

Kind = descriptors.Kind
LIMIT = 300
BEYOND = 200
REQUEST = callers.HEAD + b'Content-Length: 4\r\n\r\nbody'
CALLERS_AT_ONCE = 20


@pytest.fixture
def limit():
    return descriptorlimit.make_limit(LIMIT, metrics_module.make_metrics())


@pytest.fixture
def server(limit):
    slots = limit.slots[Kind.CALLERS]
    with callers.running(threads=(8, 100), slots=slots) as server:
        yield server


@pytest.fixture
def opened():
    with contextlib.ExitStack() as stack:
        yield stack


class _Gate:
    """Has requests wait until the test lets them end."""

    def __init__(self):
        self.is_open = threading.Event()
        self.count = 0
        self.lock = threading.Lock()

    def serve(self, call):
        body = call.read_body()
        with self.lock:
            self.count += 1
        self.is_open.wait(callers.WAIT_SECONDS)
        call.answer(200, [], body)


@pytest.fixture
def busy(limit):
    """A server with requests under way on each connection it may have."""
    gate = _Gate()
    slots = limit.slots[Kind.CALLERS]
    with callers.running(gate.serve, (8, 200), slots=slots) as server:
        with contextlib.ExitStack() as stack:
            socks = []
            while slots.may_open():
                sock = stack.enter_context(callers.connected(server))
                sock.sendall(REQUEST)
                socks.append(sock)
                callers.wait_until(lambda: gate.count == len(socks))
            yield server, gate, socks
            gate.is_open.set()
            callers.wait_until(lambda: server.requests.load == 0)


def _used(limit, kind=Kind.CALLERS):
    return limit.budget.used[kind]


def _open_idle(server, opened, slots):
    """Open idle connections until no more may be opened."""
    socks = []
    while slots.may_open():
        sock = opened.enter_context(callers.connected(server))
        sock.sendall(REQUEST)
        assert callers.receive_answer(sock).endswith(b'body')
        socks.append(sock)
    callers.wait_until(lambda: len(server.idle_connections.idle) == len(socks))
    time.sleep(idleconnections.RECENT_SECONDS)
    return socks


def _is_closed(sock):
    """Return whether the server has closed an idle connection."""
    sock.settimeout(0.0)
    try:
        return sock.recv(1) == b''
    except BlockingIOError:
        return False
    finally:
        sock.settimeout(callers.WAIT_SECONDS)


def _call(server):
    """Return what a new caller gets."""
    with callers.connected(server) as sock:
        sock.sendall(REQUEST)
        return callers.receive_answer(sock)


def _retry_after(answer):
    head = answer.partition(b'\r\n\r\n')[0].decode().lower()
    return float(head.partition('retry-after: ')[2].split()[0])


def test_longest_idle_connection_makes_room_for_a_new_one(
    server, limit, opened
):
    """Guards against a new caller refused while idle channels are kept."""
    socks = _open_idle(server, opened, limit.slots[Kind.CALLERS])
    highest = _used(limit)
    opened.enter_context(callers.connected(server))
    callers.wait_until(lambda: _is_closed(socks[0]))
    assert not any(_is_closed(sock) for sock in socks[1:])
    assert _used(limit) == highest


def test_callers_beyond_the_limit_are_served_in_place_of_idle_ones(
    server, limit, opened
):
    """Guards against a process that opens more than its limit."""
    slots = limit.slots[Kind.CALLERS]
    _open_idle(server, opened, slots)
    highest = _used(limit)
    for _ in range(BEYOND):
        sock = opened.enter_context(callers.connected(server))
        sock.sendall(REQUEST)
        answer = callers.receive_answer(sock)
        assert answer.startswith((b'HTTP/1.1 200 ', b'HTTP/1.1 503 '))
        assert _used(limit) <= highest
    assert limit.metrics.counters['descriptors_closed_idle.callers'] > 0


def test_idle_connection_on_which_a_request_arrives_is_kept(
    server, limit, opened
):
    """Guards against a close that crosses a request already received."""
    slots = limit.slots[Kind.CALLERS]
    socks = _open_idle(server, opened, slots)
    connections = server.idle_connections
    connections.stop()
    for sock in socks[:-1]:
        sock.sendall(REQUEST)
    assert connections.close_longest_idle()
    assert not connections.close_longest_idle()
    threading.Thread(target=connections.run, args=(0.5,), daemon=True).start()
    connections._stop_requested = False
    for sock in socks[:-1]:
        assert callers.receive_answer(sock).endswith(b'body')
    assert _is_closed(socks[-1])


def test_connection_that_was_just_used_is_kept(server, limit, opened):
    """Guards against a close that crosses a request under way."""
    slots = limit.slots[Kind.CALLERS]
    _open_idle(server, opened, slots)
    connections = server.idle_connections
    for conn in list(connections.idle):
        conn.last_used = time.monotonic() + 60.0
    assert not connections.close_longest_idle()


def test_callers_beyond_the_limit_are_refused_and_none_is_cut(busy, limit):
    """Guards against a bare close, and against streams cut for new ones."""
    server, gate, socks = busy
    with concurrent.futures.ThreadPoolExecutor(CALLERS_AT_ONCE) as pool:
        answers = list(pool.map(_call, [server] * BEYOND))
    for answer in answers:
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert _retry_after(answer) > 0
    assert _used(limit) == len(socks)
    gate.is_open.set()
    for sock in socks:
        assert callers.receive_answer(sock).endswith(b'body')
    callers.wait_until(lambda: not server.idle_connections.excess)
    assert limit.budget.refusing == 0
    assert _call(server).startswith(b'HTTP/1.1 200 ')


def test_refused_caller_that_sends_on_reads_its_answer(busy):
    """Guards against a reset that costs the caller its refusal."""
    server, gate, socks = busy
    with callers.connected(server) as sock:
        sock.sendall(callers.HEAD + b'Content-Length: 400000\r\n\r\n')
        for _ in range(4):
            sock.sendall(bytes(100000))
            time.sleep(0.01)
        assert callers.receive_answer(sock).startswith(b'HTTP/1.1 503 ')


def test_caller_that_sends_late_is_served_once_there_is_room(busy):
    """Guards against a refusal for a limit that no longer binds."""
    server, gate, socks = busy
    with callers.connected(server) as sock:
        callers.wait_until(lambda: len(server.idle_connections.excess) == 1)
        gate.is_open.set()
        for each in socks:
            callers.receive_answer(each)
        sock.sendall(REQUEST)
        assert callers.receive_answer(sock).endswith(b'body')


def test_silent_callers_leave_room_for_refusals(busy, limit):
    """Guards against connections without a request that hold the reserve."""
    server, gate, socks = busy
    with contextlib.ExitStack() as opened:
        for _ in range(2 * limit.budget.shares.refusals):
            opened.enter_context(callers.connected(server))
        assert _call(server).startswith(b'HTTP/1.1 503 ')
        assert limit.budget.refusing <= limit.budget.shares.refusals


def test_refusals_are_told_to_return_one_after_another(limit):
    """Guards against refused callers that all come back at once."""
    slots = limit.slots[Kind.CALLERS]
    for _ in range(20):
        slots.record_free()
    times = [slots.record_refusal() for _ in range(10)]
    assert times[-1] > times[0] > 0.0


def test_endpoints_at_their_limit_leave_callers_their_share(
    server, limit, opened
):
    """Guards against endpoints' connections that keep callers out."""
    while limit.slots[Kind.ENDPOINTS].open():
        pass
    reserved = limit.budget.shares.reserved[Kind.CALLERS]
    socks = _open_idle(server, opened, limit.slots[Kind.CALLERS])
    assert len(socks) == reserved
    assert _call(server).startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('number', [errno.EMFILE, errno.ENFILE])
def test_accept_without_descriptors_ends_nothing(
    server, limit, monkeypatch, number
):
    """Guards against a thread that spins, and against connections cut."""
    connections = server.idle_connections
    accept = connections._from_server_socket
    calls = []

    def fail(listener):
        calls.append(number)
        raise OSError(number, 'no descriptors')

    with callers.connected(server) as kept:
        kept.sendall(REQUEST)
        callers.receive_answer(kept)
        monkeypatch.setattr(connections, '_from_server_socket', fail)
        with callers.connected(server) as sock:
            sock.sendall(REQUEST)
            callers.wait_until(lambda: len(calls) >= 2 and _used(limit) <= 1)
            monkeypatch.setattr(connections, '_from_server_socket', accept)
            assert callers.receive_answer(sock).endswith(b'body')
        assert len(calls) < 10


def test_limit_is_logged_when_it_begins_and_when_it_ends(caplog):
    """Guards against a line for each connection at the limit."""
    caplog.set_level('INFO')
    now = [100.0]
    limit = descriptorlimit.make_limit(
        LIMIT, metrics_module.make_metrics(), lambda: now[0]
    )
    slots = limit.slots[Kind.CALLERS]
    for _ in range(50):
        slots.record_refusal()
        limit.run_checks()
    now[0] += descriptorlimit.END_SECONDS
    limit.run_checks()
    limit.run_checks()
    lines = [r for r in caplog.records if r.msg.startswith('descriptors_')]
    assert [r.msg for r in lines] == [
        'descriptors_reached',
        'descriptors_left',
    ]
    assert lines[0].facts['kind'] == 'callers'
    assert lines[1].facts['refused'] == 50


def test_soft_limit_of_the_system_is_raised():
    """Guards against a system's limit below that of the settings."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft - 10, hard))
    try:
        raised = descriptorlimit.raise_soft_limit(soft)
        assert raised == resource.getrlimit(resource.RLIMIT_NOFILE)[0] == soft
        wanted = hard + 10
        assert descriptorlimit.raise_soft_limit(wanted) == hard
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_half_closed_caller_is_refused_as_well(busy):
    """Guards against a caller that closes its sending side early."""
    server, gate, socks = busy
    with callers.connected(server) as sock:
        sock.sendall(REQUEST)
        sock.shutdown(socket.SHUT_WR)
        assert callers.receive_answer(sock).startswith(b'HTTP/1.1 503 ')
