"""What is seen of kept connections and of bodies that don't arrive."""

import socket

from ibisring_soak import halfbodies
from ibisring_soak import keptchannels
import pytest

TYPED = b'{"error": {"code": "body_timeout", "message": "late"}}'


@pytest.mark.parametrize(
    ('status', 'body', 'is_typed'),
    [
        (b'408 Request Timeout', TYPED, True),
        (b'408 Request Timeout', b'late', False),
        (b'408 Request Timeout', b'{"error": "late"}', False),
        (b'200 OK', TYPED, False),
    ],
)
def test_typed_errors_are_told_from_other_answers(status, body, is_typed):
    answer = b'HTTP/1.1 ' + status + b'\r\nA: b\r\n\r\n' + body
    assert halfbodies.is_typed_error(answer) is is_typed


def test_bytes_that_are_no_answer_are_no_typed_error():
    assert not halfbodies.is_typed_error(b'\r\n\r\n')


def test_a_kept_connection_that_is_closed_while_idle_is_noticed():
    """Guards against a soak that takes the router's close for its own."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        channel = keptchannels.Channel(listener.getsockname()[1])
        assert not channel.was_closed()
        channel.conn.connect()
        other, _ = listener.accept()
        assert not channel.was_closed()
        other.close()
        assert channel.was_closed()
        channel.conn.close()
