"""Tests of encoding changes that one router sends to another."""

import pytest

from ibisring_gateway import changes
from ibisring_gateway import ports
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions


def _sent(found):
    return changes.unpack(changes.pack(found, 38, 10.0))


def test_changes_of_endpoints_arrive_as_they_were_read():
    x, y = build.endpoint('x'), build.endpoint('y')
    page = ports.Page(9, [x, ports.Removed('x'), y, ports.Removed('z')], 8)
    found = _sent(changes.endpoint_changes(page, 5))
    assert (found.before, found.position, found.changed) == (5, 9, 8)
    assert found.items(None) == [y, ports.Removed('x'), ports.Removed('z')]


def test_changes_of_the_table_arrive_as_they_were_read():
    before, after = build.table(2), build.table(4)
    page = ports.Page(9, [build.table(3), after], 9)
    found = _sent(changes.table_changes(page, 5, before))
    assert found.is_table and found.items(before) == [after]


def test_a_change_of_another_table_is_not_taken():
    """Failure: a change is applied to a version other than its base."""
    page = ports.Page(9, [build.table(4)], 9)
    found = _sent(changes.table_changes(page, 5, build.table(3)))
    assert found.items(build.table(2)) is None
    assert found.items(None) is None


@pytest.mark.parametrize('link, is_told', ((10.0, False), (1000.0, True)))
def test_a_page_that_would_fill_the_link_is_not_told(link, is_told):
    """Failure: many endpoints that start at once saturate the link.

    Seen with 221 endpoints sent to 38 routers.
    """
    endpoints = [build.endpoint(f'{n * 7919 ** 3}') for n in range(1000)]
    found = changes.endpoint_changes(ports.Page(9, endpoints), 5)
    assert bool(changes.pack(found, 38, link)) is is_told


@pytest.mark.parametrize('data', (b'', b'x', b'x' * 100))
def test_what_is_no_message_is_an_error_with_a_remedy(data):
    with pytest.raises(exceptions.MalformedMessage, match='releases'):
        changes.unpack(data)
