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


@pytest.mark.parametrize('status', [204, 304])
def test_answer_that_has_no_body_ends_with_its_headers(status):
    """Guards against a look at the port for an answer without a body."""
    assert framing.find({}, status) is framing.Framing.LENGTH
