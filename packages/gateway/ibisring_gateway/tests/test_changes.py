"""Tests of encoding changes that one router sends to another."""

import pytest

from ibisring_gateway import changes
from ibisring_gateway import ports
from ibisring_policy.gateway import positions
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions


def _round_trip(change):
    return changes.unpack(changes.pack(change, 38, 10.0))


def test_endpoint_changes_round_trip():
    x, y = build.endpoint('x'), build.endpoint('y')
    page = ports.Page(9, [x, ports.Removed('x'), y, ports.Removed('z')], 8)
    received = _round_trip(changes.endpoint_changes(page, 5))
    assert (received.before, received.position, received.newest_version) == (
        5,
        9,
        8,
    )
    assert received.items(None) == [y, ports.Removed('x'), ports.Removed('z')]


def test_table_changes_round_trip():
    before, after = build.table(2), build.table(4)
    page = ports.Page(9, [build.table(3), after], 9)
    received = _round_trip(changes.table_changes(page, 5, before))
    assert received.is_table and received.items(before) == [after]


def test_change_of_another_base_table_is_rejected():
    """Failure: a change is applied to a version other than its base."""
    page = ports.Page(9, [build.table(4)], 9)
    received = _round_trip(changes.table_changes(page, 5, build.table(3)))
    assert received.items(build.table(2)) is None
    assert received.items(None) is None


@pytest.mark.parametrize('link, is_sent', ((10.0, False), (1000.0, True)))
def test_page_that_would_saturate_the_link_is_not_sent(link, is_sent):
    """Failure: many endpoints that start at once saturate the link.

    Seen with 221 endpoints sent to 38 routers.
    """
    endpoints = [build.endpoint(f'{n * 7919 ** 3}') for n in range(1000)]
    change = changes.endpoint_changes(ports.Page(9, endpoints), 5)
    assert bool(changes.pack(change, 38, link)) is is_sent


@pytest.mark.parametrize('data', (b'', b'x', b'x' * 100))
def test_invalid_message_raises_an_error_with_a_remedy(data):
    with pytest.raises(exceptions.MalformedMessage, match='releases'):
        changes.unpack(data)


def test_changes_are_sent_with_their_era():
    at = [positions.make(2, version) for version in (141, 144, 143)]
    page = ports.Page(at[1], [build.endpoint('x')], at[2])
    received = _round_trip(changes.endpoint_changes(page, at[0]))
    assert (received.before, received.position) == (141, 144)
    assert received.positions == (at[0], at[1], at[2])


def test_change_after_an_earlier_era_follows_all_of_its_own():
    """Guards against comparing a version with one of another era."""
    page = ports.Page(positions.make(2, 9), [build.endpoint('x')], 0)
    sent = changes.endpoint_changes(page, positions.make(1, 147))
    assert sent.positions[0] == positions.make(2, 0)
