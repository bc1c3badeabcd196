"""Tests of finding a request's route, account and service."""

import pytest

from ibisring_policy.gateway import routetable
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions
from ibisring_records import routing


def _index(*routes, accounts=None):
    return routetable.make_index(build.table(1, routes, accounts))


def test_the_longest_matching_prefix_is_used():
    index = _index(
        build.route(name='short', prefix='/a/'),
        build.route(name='long', prefix='/a/b/'),
        build.route(name='other', host='o.example', prefix='/a/b/c/'),
    )
    assert index.find('H.example:80', '/a/b/c/d', None).route.name == 'long'
    assert index.find('h.example', '/a/x', None).route.name == 'short'


def test_a_request_without_a_route_is_not_found():
    with pytest.raises(exceptions.NotFound):
        _index(build.route()).find('h.example', '/b/', None)
    with pytest.raises(exceptions.NotFound):
        _index(build.route()).find('unknown', '/a/', None)


def test_a_key_gives_the_account_and_its_priority():
    accounts = (
        routing.Account('kitchen', ('k1', 'k2'), 0),
        routing.Account('office', ('k3',)),
    )
    index = _index(
        build.route(priority=3),
        build.route(name='open', prefix='/o/', public=True),
        accounts=accounts,
    )
    match = index.find('h.example', '/a/', 'k2')
    assert (match.account, match.priority) == ('kitchen', 0)
    assert index.find('h.example', '/a/', 'k3').priority == 3
    for key in (None, 'gone'):
        with pytest.raises(exceptions.Unauthorized):
            index.find('h.example', '/a/', key)
    assert index.find('h.example', '/o/', None).account == ''


def _rank(index, path, key):
    match = index.find('h.example', path, key)
    return index.rank(match.route, match.account, 'model')


def test_rank_is_of_account_and_route():
    """Guards against accounts without a priority that come last."""
    targets = (routing.Target('model', 1.0),)
    index = _index(
        build.route(priority=1, targets=targets),
        build.route(name='b', prefix='/b/', priority=4, targets=targets),
        build.route(name='c', prefix='/c/', priority=0),
        accounts=(
            routing.Account('kitchen', ('k1',), 2),
            routing.Account('office', ('k2',)),
        ),
    )
    assert index.ranked_services == {'model': ((1, 1), (2, 4))}
    assert _rank(index, '/b/', 'k1') == (2, 4)
    assert _rank(index, '/b/', 'k2') == (1, 4)
    assert _rank(index, '/c/', 'k2') == (1, 0)


def test_services_with_routes_of_one_priority_have_no_ranks():
    """Guards against a change for services that don't ask for it."""
    targets = (routing.Target('model', 1.0),)
    index = _index(
        build.route(priority=1, targets=targets),
        build.route(prefix='/b/', priority=1, targets=targets),
        build.route(prefix='/c/', priority=2),
    )
    assert index.ranked_services == {}


def test_an_account_without_keys_authorizes_no_request():
    index = _index(build.route(), accounts=(routing.Account('x', ()),))
    with pytest.raises(exceptions.Unauthorized):
        index.find('h.example', '/a/', None)


def test_requests_are_split_by_weight():
    targets = (routing.Target('lookup', 9), routing.Target('model', 1))
    route = build.route(targets=targets)
    index = _index(route)
    names = [index.pick_service(route, n / 100).name for n in range(100)]
    assert names.count('lookup') == 90


def test_a_service_missing_from_the_table_is_none():
    route = build.route(targets=(routing.Target('gone', 1.0),))
    assert _index(route).pick_service(route, 0.5) is None


def test_a_stream_may_be_retried_only_if_it_resumes():
    kind = routing.RequestKind.STREAM
    assert build.route(kind=kind, resumable=True).repeatable
    assert not build.route(kind=kind).repeatable
    assert not build.route(
        kind=routing.RequestKind.ONCE, resumable=True
    ).repeatable


def _ranked_index(*priorities, accounts=None):
    routes = [
        build.route(
            name=f'r{priority}',
            priority=priority,
            targets=(routing.Target('model', 1.0),),
        )
        for priority in priorities
    ]
    return _index(*routes, accounts=accounts)


def test_rank_is_that_of_the_account_then_of_the_route():
    accounts = (
        routing.Account('kitchen', ('k1',), 2),
        routing.Account('office', ('k3',)),
    )
    index = _ranked_index(1, 3, accounts=accounts)
    route = index.route_of['r3']
    assert index.rank(route, 'kitchen', 'model') == (2, 3)
    assert index.rank(route, 'office', 'model') == (1, 3)
    assert index.rank(route, '', 'model') == (1, 3)


def test_rank_of_a_route_that_has_changed_or_gone():
    old = build.route(name='r3', priority=0)
    assert _ranked_index(1, 3).rank(old, '', 'model') == (1, 3)
    assert _ranked_index(1).rank(old, '', 'model') == (1, 0)


def test_only_model_services_with_several_priorities_have_ranks():
    assert _ranked_index(0, 2).has_ranks('model')
    assert not _ranked_index(2).has_ranks('model')
    plain = _index(build.route(), build.route(name='r2', priority=3))
    assert not plain.has_ranks('lookup')
