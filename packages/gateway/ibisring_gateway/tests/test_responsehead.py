"""Tests of answers that end inside a line of their framing."""

import socket

import pytest

from ibisring_gateway import upstream
from ibisring_policy.gateway.tests import builders as build

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n'


class _Request:
    method = 'GET'
    target = '/'
    body = b''


def _receive(answer):
    """Return the body of an answer that ends with its connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = '127.0.0.1:%d' % listener.getsockname()[1]
        pool = upstream.make_connection_pool()
        conn = pool.acquire(build.endpoint('x', address=address), True)
        endpoint_socket, _ = listener.accept()
        with endpoint_socket:
            endpoint_socket.sendall(answer)
            endpoint_socket.shutdown(socket.SHUT_WR)
            response = pool.send(conn, _Request, {}, 2.0)
            body = b''
            while chunk := upstream.read_chunk(response):
                body += chunk
        conn.close()
    return body


@pytest.mark.parametrize(
    'rest', [b'', b'0', b'00', b'0\r', b'0;a', b'1', b'000a\r\n12345']
)
def test_body_cut_at_a_chunk_is_not_whole(rest):
    """Guards against half the size of a chunk that is read as the last."""
    with pytest.raises(upstream.ConnectionFailed):
        _receive(HEAD + rest)


@pytest.mark.parametrize(
    'rest', [b'0\r\n', b'0\r\n\r\n', b'00\r\n\r\n', b'0;a=b\r\nA: b\r\n\r\n']
)
def test_body_with_its_last_chunk_is_whole(rest):
    assert _receive(HEAD + rest) == b'hello'
