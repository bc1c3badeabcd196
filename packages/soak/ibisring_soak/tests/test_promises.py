"""Each promise that is broken is found, and nothing else is."""

from ibisring_soak import promises
from ibisring_soak import records
from ibisring_soak.tests import builders
import pytest

call = builders.call
run = builders.run


def _broken(calls=(), runs=(), **changes):
    return _found(builders.history(calls, runs, **changes))


def _found(history):
    return [each.promise for each in promises.check(history)]


def test_a_good_run_has_none():
    assert _broken([call()], [run()]) == []


@pytest.mark.parametrize(
    ('changes', 'promise'),
    [
        ({'signed': False}, 'a success is signed'),
        ({'answered_id': 'c2'}, 'an answer is the own one'),
        ({'body': b'p1 ran c2'}, 'a body is the own one'),
        (
            {'kind': 'stream', 'words': ['word-1']},
            'a stream is whole and in order',
        ),
        (
            {'kind': 'stream', 'words': ['word-1', 'word-1', 'word-2']},
            'a stream is whole and in order',
        ),
        ({'status': 503}, 'refused means not run'),
        ({'status': 401}, 'denied means not run'),
    ],
)
def test_a_bad_answer_is_found(changes, promise):
    assert _broken([call(**changes)], [run()]) == [promise]


def test_an_answer_that_is_seen_to_be_cut_is_allowed():
    cut = call(kind='stream', whole=False, words=['word-1'])
    assert _broken([cut], [run()]) == []


def test_two_runs_of_what_may_not_repeat():
    assert _broken([call()], [run(), run()]) == ['runs at most once']
    assert _broken([call(kind='safe')], [run(), run()]) == []


def test_a_run_that_nobody_asked_for():
    assert _broken([], [run('c9')]) == ['runs only what was asked']


def test_a_run_for_another_account():
    other = run(account='account-2')
    assert _broken([call()], [other]) == ['account of the key']


@pytest.mark.parametrize(
    'chain',
    [((0, 8),), ((0, 8), (9, 16)), ((0, 9), (8, 16)), ((8, 16), (0, 8))],
)
def test_chains_that_miss_or_repeat_layers(chain):
    assert _broken([call()], [run(chain=chain)]) == [
        'layers once and in order'
    ]


def test_a_leaving_endpoint_that_gets_requests():
    notices = [records.Notice('draining', 'p1', 97.0)]
    assert _broken([call()], [run()], notices=notices) == [
        'draining is followed'
    ]
    store = [('store', 98.0, 99.0)]
    assert not _broken([call()], [run()], notices=notices, disturbed=store)


def test_a_revoked_key_that_passes():
    notices = [records.Notice('revoked', 'key-1', 97.0)]
    broken = _broken([call()], [run()], notices=notices)
    assert broken == ['revoked is followed']


def test_a_shutdown_that_cuts_or_lasts():
    cut = call(whole=False)
    assert _broken([cut], [run()], ended=[('r1', 99.0, 3.0)]) == [
        'a shutdown cuts nothing'
    ]
    assert _broken(ended=[('r1', 99.0, 5.5)]) == ['ends in time']
    killed = [('router r1', 100.0, 101.0)]
    assert not _broken(ended=[('r1', 99.0, 5.5)], disturbed=killed)


def test_requests_that_are_not_served_again():
    lost = [call(f'l{n}', sent_at=170.0, status=503) for n in range(5)]
    assert _broken(lost) == ['serves again']


@pytest.mark.parametrize(
    ('sent_at', 'disturbed', 'broken'),
    [
        (12.5, (), ['an added route is followed']),
        (11.5, (), []),
        (12.5, (('store', 5.0, 9.8),), []),
        (13.0, (('store', 5.0, 9.8),), ['an added route is followed']),
        (12.5, (('router r1', 11.0, 12.0),), []),
        (12.5, (('router r2', 11.0, 12.0),), ['an added route is followed']),
    ],
)
def test_an_added_route_is_not_refused(sent_at, disturbed, broken):
    refused = call(
        kind='safe',
        status=404,
        route='added-1',
        sent_at=sent_at,
        ended_at=13.1,
    )
    notices = [records.Notice('added', 'added-1', 10.0)]
    found = _broken([refused], notices=notices, disturbed=list(disturbed))
    assert found == broken


def _bad_runs(count, **changes):
    calls = [
        builders.call(f'b{n}', kind='bad', status=503) for n in range(count)
    ]
    runs = [
        builders.run(f'b{n}', at=114.0 + n, endpoint='p2')
        for n in range(count)
    ]
    return builders.history(calls, runs, **changes)


def test_what_ends_endpoints_again_and_again_is_noticed():
    history = _bad_runs(4, ends=[108.0, 109.0, 110.0])
    assert _found(history) == ['what ends endpoints runs no more']
    assert _found(_bad_runs(3, ends=[108.0, 109.0, 110.0])) == []
    assert _found(_bad_runs(4, ends=[108.0, 109.0])) == []


def test_a_router_that_just_started_may_not_know_what_ends_endpoints():
    ended = [('r1', 112.0, 3.0)]
    history = _bad_runs(4, ends=[108.0, 109.0, 110.0], ended=ended)
    assert _found(history) == []


def _limited_runs(count, **changes):
    calls = [builders.call(f'l{n}') for n in range(count)]
    runs = [
        builders.run(f'l{n}', at=110.0 + n / 10, endpoint='p5')
        for n in range(count)
    ]
    first = builders.run('first', at=105.0, endpoint='p5')
    calls.append(builders.call('first'))
    for call in calls:
        call.body = f'p5 ran {call.id}'.encode()
    span = records.LimitSpan('p5', 1.0, 104.0, 120.0)
    return builders.history(calls, [*runs, first], limits=[span], **changes)


def test_a_limit_that_is_not_kept_is_noticed():
    assert _found(_limited_runs(12)) == ['a limit is kept']
    assert _found(_limited_runs(11)) == []
    struck = [('router r1', 109.0, 112.0)]
    assert _found(_limited_runs(12, disturbed=struck)) == []
