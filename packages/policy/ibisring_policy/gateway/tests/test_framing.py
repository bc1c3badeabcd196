"""Tests of what marks the end of a body."""

import pytest

from ibisring_policy.gateway import framing


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [
        ({'Transfer-Encoding': 'Chunked'}, framing.Framing.CHUNKS),
        (
            {'Transfer-Encoding': 'chunked', 'Content-Length': '3'},
            framing.Framing.CHUNKS,
        ),
        ({'Content-Length': ' 0 '}, framing.Framing.LENGTH),
        ({'Content-Length': 'none'}, framing.Framing.CLOSE),
        ({}, framing.Framing.CLOSE),
    ],
)
def test_framing_of_a_body(headers, expected):
    assert framing.find(headers) is expected
