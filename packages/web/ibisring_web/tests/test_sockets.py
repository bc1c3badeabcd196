"""Tests of what is known of a connected socket."""

import itertools
import select
import socket
import struct

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
