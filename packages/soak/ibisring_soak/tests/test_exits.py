"""Answers of each framing can be told from ones that are cut."""

import http.client
import io

from ibisring_soak import exits
import pytest

PARTS = (b'id: 1\n\n', b'id: 2\n\n')
LENGTH = sum(map(len, PARTS))


class _Socket:
    def __init__(self, data):
        self.data = data

    def makefile(self, mode):
        return io.BytesIO(self.data)


def _framed(framing):
    framer = exits.Framer(framing, [('Content-Length', '1')], LENGTH)
    return framer.head + b''.join(map(framer.frame, PARTS)) + framer.end


def _read(data):
    response = http.client.HTTPResponse(_Socket(data))
    response.begin()
    return response.read()


@pytest.mark.parametrize('framing', exits.FRAMINGS)
def test_each_framing_can_be_read(framing):
    assert _read(_framed(framing)) == b''.join(PARTS)


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_a_cut_shows_at_any_byte_but_where_only_the_close_ends(framing):
    """Guards against a soak whose cuts nobody could find."""
    whole = _framed(framing)
    # The line after the last chunk may be missing.
    for cut in range(whole.index(b'id: 1'), len(whole) - 4):
        with pytest.raises(http.client.IncompleteRead):
            _read(whole[:cut])
