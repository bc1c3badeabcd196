"""Tests of changes that one router tells another."""

import pytest

from ibisring_gateway import changes
from ibisring_gateway import ports
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions


def test_changes_of_endpoints_arrive_as_they_were_read():
    x, y = build.endpoint('x'), build.endpoint('y')
    page = ports.Page(9, [x, ports.Gone('x'), y, ports.Gone('z')], 8)
    packed = changes.pack(changes.changes_of(page, 5, False))
    found = changes.unpack(packed)
    assert (found.before, found.position, found.changed) == (5, 9, 8)
    assert found.items == [y, ports.Gone('x'), ports.Gone('z')]


def test_changes_of_the_table_arrive_as_they_were_read():
    page = ports.Page(9, [build.table(3)], 9)
    found = changes.unpack(changes.pack(changes.changes_of(page, 5, True)))
    assert found.is_table and found.items == page.items


def test_a_long_page_is_not_told():
    """Load: 221 endpoints that come at once, told to 38 routers."""
    page = ports.Page(9, [build.endpoint(f'{n * 7919}') for n in range(3000)])
    assert changes.pack(changes.changes_of(page, 5, False)) == b''


@pytest.mark.parametrize('data', (b'', b'x', b'x' * 100))
def test_what_is_no_message_is_an_error_with_a_remedy(data):
    with pytest.raises(exceptions.MalformedMessage, match='releases'):
        changes.unpack(data)
