"""Tests of the digests that identify requests."""

from ibisring_policy.gateway import requestdigest
import pytest


def _digest(**changes):
    values = dict(
        account='acme', method='POST', host='h', target='/a/x', body=b'b'
    )
    values.update(changes)
    return requestdigest.compute(**values)


@pytest.mark.parametrize(
    'changes',
    [
        {'account': 'other'},
        {'account': ''},
        {'method': 'PUT'},
        {'host': 'g'},
        {'target': '/a/y'},
        {'body': b'c'},
        {'host': 'h/a', 'target': '/x'},
    ],
)
def test_different_requests_have_different_digests(changes):
    assert _digest(**changes) != _digest()


def test_the_query_is_part_of_a_request_without_a_body():
    digests = {_digest(target=f'/a/x?id={n}', body=b'') for n in range(3)}
    assert len(digests) == 3


def test_a_long_account_name_is_accepted():
    assert len(_digest(account='ñ' * 200)) == requestdigest.DIGEST_BYTES
