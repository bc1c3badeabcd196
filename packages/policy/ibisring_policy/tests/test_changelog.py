"""Tests of the changes kept for those who are behind."""

from ibisring_policy import changelog
from ibisring_policy.tests import fleetbuilders as build


def test_who_is_behind_gets_the_latest_of_each():
    log = changelog.make_changelog()
    log.restart(10)
    old, new = build.endpoint('x'), build.endpoint('x', slots=9)
    other = build.endpoint('y')
    log.note(11, [old])
    log.note(14, [new, other])
    log.note(20, [])
    assert log.since(10) == [new, other]
    assert log.since(14) == []
    assert log.position == 20


def test_what_is_no_longer_kept_is_told():
    log = changelog.make_changelog(most=2)
    log.restart(10)
    assert log.since(9) is None
    for position in (11, 12, 13):
        log.note(position, [build.endpoint(f'x{position}')])
    assert log.since(10) is None
    assert [each.id for each in log.since(11)] == ['x12', 'x13']
