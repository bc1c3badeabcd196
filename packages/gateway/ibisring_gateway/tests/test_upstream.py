"""Tests of the connections to endpoints."""

import socket

from ibisring_gateway import upstream
from ibisring_policy.gateway.tests import builders
from ibisring_web.tests import descriptors
import pytest


@pytest.fixture
def idle():
    """An endpoint, a pool with an idle connection to it, and its far end."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        endpoint = builders.endpoint(address=f'{host}:{port}')
        pool = upstream.make_connection_pool()
        conn = pool.acquire(endpoint, fresh=True)
        far, _ = listener.accept()
        pool.release(endpoint, conn)
        with far:
            yield endpoint, pool, conn, far
        conn.close()


def test_idle_connection_with_a_high_descriptor_is_used_again(idle):
    """Guards against a new connection for each request of a busy router."""
    endpoint, pool, conn, far = idle
    with descriptors.allowed():
        conn.sock = descriptors.move_above(conn.sock)
        assert pool.acquire(endpoint, fresh=False) is conn
    assert conn.reused


def test_idle_connection_with_data_is_not_used_again(idle):
    """Guards against stray bytes taken for the next request's answer."""
    endpoint, pool, conn, far = idle
    far.send(b'x')
    assert pool.acquire(endpoint, fresh=False) is not conn


def test_idle_connection_that_was_closed_is_not_used_again(idle):
    endpoint, pool, conn, far = idle
    far.close()
    assert pool.acquire(endpoint, fresh=False) is not conn
