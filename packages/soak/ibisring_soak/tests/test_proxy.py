"""Tests of the proxy that cuts connections."""

import socket

from ibisring_soak import proxy
import pytest


@pytest.fixture
def link():
    with socket.create_server(('127.0.0.1', 0)) as target:
        made = proxy.make_proxy('127.0.0.1:%d' % target.getsockname()[1])
        yield made
        made.stop()


@pytest.mark.parametrize('cut', [proxy.Proxy.crash, proxy.Proxy.close_port])
def test_a_closed_port_refuses_and_is_kept(link, cut):
    """Guards against a link that can't return, its port being in use."""
    address = '127.0.0.1', link.port
    cut(link)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, 1.0)
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(address)
    link.reopen()
    socket.create_connection(address, 1.0).close()


def test_a_hanging_port_answers_nothing_until_it_is_back(link):
    address = '127.0.0.1', link.port
    link.hang()
    with pytest.raises(TimeoutError):
        socket.create_connection(address, 0.2)
    link.reopen()
    socket.create_connection(address, 1.0).close()
