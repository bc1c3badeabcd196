"""Tests of what makes two attempts the same request."""

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
def test_another_request_has_another_digest(changes):
    assert _digest(**changes) != _digest()


def test_a_query_counts_where_there_is_no_body():
    asked = {_digest(target=f'/a/x?id={n}', body=b'') for n in range(3)}
    assert len(asked) == 3


def test_a_long_account_name_is_taken():
    assert len(_digest(account='ñ' * 200)) == requestdigest.DIGEST_BYTES
