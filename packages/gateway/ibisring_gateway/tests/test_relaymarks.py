"""Tests of the headers between routers."""

from ibisring_gateway import relaymarks
from ibisring_records import exceptions
import pytest

MARK = relaymarks.Mark('r1', 12, ('e1', 'e2'))


def test_a_mark_survives_the_way():
    headers = {'Host': 'h', **relaymarks.encode(MARK)}
    assert relaymarks.decode(headers, 'r2') == MARK


def test_an_endpoint_gets_no_mark():
    headers = {'Host': 'h', **relaymarks.encode(MARK)}
    assert relaymarks.strip(headers.items()) == [('Host', 'h')]


@pytest.mark.parametrize(
    'changes',
    [
        {relaymarks.SENDER: ''},
        {relaymarks.SENDER: 'r1\r\nHost: x'},
        {relaymarks.SENDER: 'r2'},
        {relaymarks.TABLE_VERSION: ''},
        {relaymarks.TABLE_VERSION: '-1'},
        {relaymarks.TABLE_VERSION: '9' * 40},
        {relaymarks.SENT_TO: 'e 1'},
        {relaymarks.SENT_TO: ','.join(['e'] * 33)},
    ],
    ids=lambda changes: str(changes)[:40],
)
def test_a_forged_or_looping_mark_is_a_typed_error(changes):
    headers = {**relaymarks.encode(MARK), **changes}
    with pytest.raises(exceptions.InvalidRelay):
        relaymarks.decode(headers, 'r2')
