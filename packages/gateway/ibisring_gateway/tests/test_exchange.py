"""Tests of reading a caller's request."""

import io

from cheroot import server as cheroot_server
from ibisring_gateway import exchange
import pytest


class _Request:
    """A request whose body has a declared length."""

    def __init__(self, data, length):
        self.rfile = cheroot_server.KnownLengthRFile(io.BytesIO(data), length)


def test_body_that_ends_before_its_length_is_not_a_request():
    """Guards against a request that runs with half of its body."""
    broken = exchange.Exchange(_Request(b'half', 8))
    with pytest.raises(exchange.CallerDisconnected):
        broken.read_body()


def test_whole_body_is_read():
    assert exchange.Exchange(_Request(b'whole', 5)).read_body() == b'whole'
