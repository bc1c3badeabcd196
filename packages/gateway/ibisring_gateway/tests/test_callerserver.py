"""Tests of callers' connections as the configuration changes."""

import time

from ibisring_gateway import callerserver
from ibisring_gateway.tests import callers
from ibisring_records import routing
import pytest

SHORT_SECONDS = 0.05
SHORT = routing.CallerLimits(idle_timeout=SHORT_SECONDS)
# The server closes idle connections twice a second.
CHECKS_SECONDS = 2.5
REQUEST = callers.HEAD + b'Content-Length: 4\r\n\r\nbody'


def _idle_count(server):
    return server.idle_connections._num_connections


def test_lowered_idle_limit_keeps_the_connections_of_before():
    """Guards against a close while the caller goes by the longer limit."""
    with callers.running() as server, callers.connected(server) as sock:
        sock.sendall(REQUEST)
        assert callers.receive_answer(sock).endswith(b'body')
        callerserver.apply_limits(server, SHORT)
        time.sleep(CHECKS_SECONDS)
        sock.sendall(REQUEST)
        assert callers.receive_answer(sock).endswith(b'body')


def test_lowered_idle_limit_does_not_bound_the_reading_of_a_body():
    """Guards against a slow body that gets a close in place of an answer."""
    with callers.running() as server:
        callerserver.apply_limits(server, SHORT)
        with callers.connected(server) as sock:
            sock.sendall(REQUEST[:-2])
            time.sleep(CHECKS_SECONDS)
            sock.sendall(REQUEST[-2:])
            assert callers.receive_answer(sock).endswith(b'body')


def test_lowered_idle_limit_does_not_bound_the_writing_of_an_answer():
    """Guards against an answer cut since its caller reads slowly."""
    size = 32 * 1024 * 1024

    def serve(call):
        call.answer(200, [], bytes(size))

    with callers.running(serve) as server:
        callerserver.apply_limits(server, SHORT)
        with callers.connected(server) as sock:
            sock.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            time.sleep(CHECKS_SECONDS)
            assert len(callers.receive_answer(sock)) > size


def test_idle_connection_is_closed_after_the_limit():
    with callers.running() as server, callers.connected(server) as sock:
        sock.sendall(REQUEST)
        callers.receive_answer(sock)
        callers.wait_until(lambda: _idle_count(server) == 1)
        server.idle_connections.close_expired(time.monotonic() + 20.0)
        assert _idle_count(server) == 0
        assert sock.recv(1) == b''


def test_expired_connection_on_which_a_request_arrives_is_kept():
    """Guards against a close that crosses a request already received."""
    with callers.running() as server, callers.connected(server) as sock:
        sock.sendall(REQUEST)
        callers.receive_answer(sock)
        callers.wait_until(lambda: _idle_count(server) == 1)
        server.idle_connections.stop()
        sock.sendall(REQUEST)
        server.idle_connections.close_expired(time.monotonic() + 20.0)
        assert _idle_count(server) == 1


@pytest.mark.parametrize('step', [-1e6, 1e6])
def test_step_of_the_system_clock_closes_no_connection(monkeypatch, step):
    """Guards against a clock that is set and costs all idle connections."""
    with callers.running() as server, callers.connected(server) as sock:
        sock.sendall(REQUEST)
        callers.receive_answer(sock)
        callers.wait_until(lambda: _idle_count(server) == 1)
        before = time.time
        monkeypatch.setattr(time, 'time', lambda: before() + step)
        time.sleep(CHECKS_SECONDS)
        monkeypatch.undo()
        sock.sendall(REQUEST)
        assert callers.receive_answer(sock).endswith(b'body')
