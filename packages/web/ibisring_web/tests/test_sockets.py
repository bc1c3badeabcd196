"""Tests of what is known of a connected socket."""

import itertools
import select
import socket
import struct
import time

from ibisring_web import serving
from ibisring_web import sockets
from ibisring_web.tests import descriptors
import pytest

ENDS = {select.POLLRDHUP, select.POLLHUP, select.POLLERR}
BITS = (*ENDS, select.POLLIN, select.POLLPRI, select.POLLOUT, select.POLLNVAL)
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@pytest.fixture(params=[0, descriptors.FD_SETSIZE])
def connection(request):
    """Both ends of a TCP connection; the first has a low or high number."""
    with descriptors.allowed():
        with socket.create_server(('127.0.0.1', 0)) as listener:
            far = socket.create_connection(listener.getsockname())
            near, _ = listener.accept()
        near = descriptors.move_above(near, request.param)
        assert near.fileno() >= request.param
        with near, far:
            yield near, far


def test_waiting_caller_is_not_gone(connection):
    """Guards against callers with high descriptors taken for gone."""
    near, far = connection
    assert not sockets.is_gone(near)
    assert not sockets.has_input(near)
    assert not serving.caller_is_gone({serving.SOCKET_KEY: near})


def test_caller_that_sends_more_is_not_gone(connection):
    near, far = connection
    far.send(b'x')
    assert not sockets.is_gone(near)
    assert sockets.has_input(near)


def test_closed_connection_is_gone(connection):
    near, far = connection
    far.close()
    assert sockets.is_gone(near)
    assert sockets.has_input(near)


def test_close_behind_unread_data_is_gone(connection):
    """Guards against work for a caller that left the rest of a body unread."""
    near, far = connection
    far.send(b'x')
    far.close()
    assert sockets.is_gone(near)


def test_reset_connection_is_gone(connection):
    near, far = connection
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    far.close()
    assert sockets.is_gone(near)
    assert sockets.has_input(near)


def test_unknown_state_is_not_gone():
    """Guards against a check that fails and costs a caller its answer."""
    closed = socket.socket()
    closed.close()
    assert not sockets.is_gone(closed)
    assert sockets.has_input(closed)
    assert not sockets.is_gone(None)
    assert sockets.has_input(None)


def test_a_caller_is_gone_only_by_an_end_that_was_read():
    """Guards against answers lost to a state that isn't known, all masks."""
    for count in range(len(BITS) + 1):
        for bits in itertools.combinations(BITS, count):
            events = sum(bits)
            is_unknown = select.POLLNVAL in bits
            expected = not is_unknown and not ENDS.isdisjoint(bits)
            assert sockets.shows_end(events) == expected
            assert sockets.shows_input(events) == bool(bits)


def _is_acknowledged_soon(sock):
    """Return whether all bytes are acknowledged within a second."""
    end = time.monotonic() + 1.0
    while time.monotonic() < end:
        if sockets.are_all_bytes_acknowledged(sock):
            return True
        time.sleep(0.005)
    return False


def test_listener_whose_process_never_reads_acknowledges():
    """Guards against a process without time taken for a dark host."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        with socket.create_connection(listener.getsockname()) as near:
            near.sendall(b'GET /report HTTP/1.1\r\n\r\n')
            assert _is_acknowledged_soon(near)


def test_connection_that_hangs_is_not_acknowledged():
    """Guards against a dark host taken for a process without time."""
    with socket.create_server(('127.0.0.1', 0), backlog=0) as listener:
        waiting = [socket.socket() for _ in range(4)]
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        time.sleep(0.05)
        assert not sockets.are_all_bytes_acknowledged(waiting[-1])
        for sock in waiting:
            sock.close()


def test_bytes_that_are_not_sent_are_not_acknowledged():
    """Guards against a part of a request taken for the whole."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        with socket.create_connection(listener.getsockname()) as near:
            near.setblocking(False)
            with pytest.raises(BlockingIOError):
                while True:
                    near.send(bytes(1 << 16))
            assert not sockets.are_all_bytes_acknowledged(near)


def test_closed_connection_is_not_acknowledged(connection):
    """Guards against a process that ended taken for one that waits."""
    near, far = connection
    near.sendall(b'x')
    far.close()
    assert not sockets.are_all_bytes_acknowledged(near)


@pytest.mark.parametrize('error', [OSError, AttributeError])
def test_system_without_tcp_info_acknowledges_nothing(error):
    """Guards against losses found later where nothing is known."""

    class _Socket:
        def getsockopt(self, *arguments):
            raise error('no such option')

    assert not sockets.are_all_bytes_acknowledged(_Socket())


@pytest.mark.parametrize(
    'offset, value', [(0, 1), (0, 2), (0, 8), (24, 1), (27, 1), (144, 1)]
)
def test_only_a_whole_tcp_info_without_a_rest_is_an_acknowledgement(
    offset, value
):
    """Guards against a field that is read at another one's place."""
    info = bytearray(148)
    info[0] = 1
    assert sockets.shows_acknowledgement(bytes(info))
    assert not sockets.shows_acknowledgement(bytes(info[:147]))
    info[offset] = value
    is_unchanged = (offset, value) == (0, 1)
    assert sockets.shows_acknowledgement(bytes(info)) == is_unchanged
