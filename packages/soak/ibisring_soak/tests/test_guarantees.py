"""Each violated guarantee is found, and nothing else."""

from ibisring_soak import guarantees
from ibisring_soak import records
from ibisring_soak.tests import builders
import pytest

call = builders.call
run = builders.run


def _check_calls(calls=(), runs=(), **changes):
    return _check(builders.history(calls, runs, **changes))


def _check(history):
    return [each.guarantee for each in guarantees.check(history)]


def test_a_correct_run_has_no_violations():
    assert _check_calls([call()], [run()]) == []


@pytest.mark.parametrize(
    ('changes', 'guarantee'),
    [
        ({'signed': False}, 'a success is signed'),
        ({'response_id': 'c2'}, 'a response has the id of its request'),
        ({'body': b'p1 ran c2'}, 'a body belongs to its request'),
        (
            {'kind': 'stream', 'events': ['word-1']},
            'a stream is complete and in order',
        ),
        (
            {'kind': 'stream', 'events': ['word-1', 'word-1', 'word-2']},
            'a stream is complete and in order',
        ),
        ({'status': 503}, 'refused means not run'),
        ({'status': 401}, 'denied means not run'),
    ],
)
def test_an_incorrect_response_is_found(changes, guarantee):
    assert _check_calls([call(**changes)], [run()]) == [guarantee]


def test_a_response_known_to_be_incomplete_is_allowed():
    cut = call(kind='stream', complete=False, events=['word-1'])
    assert _check_calls([cut], [run()]) == []


def test_two_runs_of_a_non_idempotent_request_are_found():
    assert _check_calls([call()], [run(), run()]) == ['runs at most once']
    assert _check_calls([call(kind='safe')], [run(), run()]) == []


def test_a_run_without_a_call_is_found():
    assert _check_calls([], [run('c9')]) == ['runs only requests of callers']


def test_a_run_for_another_account_is_found():
    other = run(account='account-2')
    assert _check_calls([call()], [other]) == [
        'runs for the account of the key'
    ]


@pytest.mark.parametrize(
    'chain',
    [((0, 8),), ((0, 8), (9, 16)), ((0, 9), (8, 16)), ((8, 16), (0, 8))],
)
def test_a_chain_that_omits_or_repeats_layers_is_found(chain):
    assert _check_calls([call()], [run(chain=chain)]) == [
        'layers once and in order'
    ]


def test_a_draining_endpoint_that_gets_requests_is_found():
    store_changes = [records.StoreChange('draining', 'p1', 97.0)]
    assert _check_calls([call()], [run()], store_changes=store_changes) == [
        'draining is applied'
    ]
    store = [('store', 98.0, 99.0)]
    assert not _check_calls(
        [call()], [run()], store_changes=store_changes, disruptions=store
    )


def test_a_revoked_key_that_is_accepted_is_found():
    store_changes = [records.StoreChange('revoked', 'key-1', 97.0)]
    violations = _check_calls([call()], [run()], store_changes=store_changes)
    assert violations == ['revoked is applied']


def test_a_shutdown_that_truncates_or_takes_too_long_is_found():
    cut = call(complete=False)
    assert _check_calls([cut], [run()], terminations=[('r1', 99.0, 3.0)]) == [
        'a shutdown truncates no response'
    ]
    assert _check_calls(terminations=[('r1', 99.0, 5.5)]) == [
        'a shutdown ends in time'
    ]
    disruptions = [('router r1', 100.0, 101.0)]
    assert not _check_calls(
        terminations=[('r1', 99.0, 5.5)], disruptions=disruptions
    )


@pytest.mark.parametrize(
    ('changes', 'finished_at', 'is_found'),
    [
        ({'ended_at': 102.32}, None, True),
        ({'ended_at': 102.35}, None, False),
        ({'ended_at': 102.8}, 102.32, True),
        ({'ended_at': 102.8}, 102.35, False),
        ({'ended_at': 102.8, 'sent_at': 101.9}, None, False),
        ({'ended_at': 102.8, 'sent_at': 102.1}, None, True),
        ({'ended_at': 102.8, 'kind': 'single'}, None, False),
        ({'ended_at': 102.8, 'kind': 'once'}, None, True),
    ],
)
def test_a_stream_cut_before_the_last_sixth_of_the_grace_time_is_found(
    changes, finished_at, is_found
):
    """Guards against an exit that cuts what it could have waited for.

    Later, a stream may be cut at which its endpoint is still at work.  The
    last sixth of 4 s begins 3.33 s after the signal.
    """
    cut = call(**{'kind': 'stream', 'complete': False, **changes})
    finished = {} if finished_at is None else {'c1': finished_at}
    ends = {'terminations': [('r1', 99.0, 3.9)], 'finished': finished}
    expected = ['a shutdown truncates no response'] * is_found
    assert _check_calls([cut], [run()], **ends) == expected


def test_a_stream_that_no_endpoint_runs_is_not_cut_by_a_shutdown():
    cut = call(kind='stream', complete=False, ended_at=102.8)
    assert _check_calls([cut], terminations=[('r1', 99.0, 3.9)]) == [
        'a shutdown truncates no response'
    ]


def test_a_missing_recovery_is_found():
    lost = [call(f'l{n}', sent_at=170.0, status=503) for n in range(5)]
    assert _check_calls(lost) == ['requests are served after recovery']


@pytest.mark.parametrize(
    ('sent_at', 'disruptions', 'violations'),
    [
        (12.5, (), ['an added route is applied']),
        (11.5, (), []),
        (12.5, (('store', 5.0, 9.8),), []),
        (13.0, (('store', 5.0, 9.8),), ['an added route is applied']),
        (12.5, (('router r1', 11.0, 12.0),), []),
        (12.5, (('router r2', 11.0, 12.0),), ['an added route is applied']),
    ],
)
def test_an_added_route_that_is_refused_is_found(
    sent_at, disruptions, violations
):
    refused = call(
        kind='safe',
        status=404,
        route='added-1',
        sent_at=sent_at,
        ended_at=13.1,
    )
    store_changes = [records.StoreChange('added', 'added-1', 10.0)]
    found = _check_calls(
        [refused], store_changes=store_changes, disruptions=list(disruptions)
    )
    assert found == violations


def _poison_history(count, **changes):
    calls = [
        builders.call(f'b{n}', kind='bad', status=503) for n in range(count)
    ]
    runs = [
        builders.run(f'b{n}', at=114.0 + n, endpoint='p2')
        for n in range(count)
    ]
    return builders.history(calls, runs, **changes)


def test_a_poison_request_that_still_runs_is_found():
    history = _poison_history(4, endpoint_crashes=[108.0, 109.0, 110.0])
    assert _check(history) == ['a poison request is blocked']
    assert (
        _check(_poison_history(3, endpoint_crashes=[108.0, 109.0, 110.0]))
        == []
    )
    assert _check(_poison_history(4, endpoint_crashes=[108.0, 109.0])) == []


def test_a_restarted_router_need_not_know_a_poison_request():
    terminations = [('r1', 112.0, 3.0)]
    history = _poison_history(
        4, endpoint_crashes=[108.0, 109.0, 110.0], terminations=terminations
    )
    assert _check(history) == []


def _limited_history(count, **changes):
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


def test_a_limit_that_is_exceeded_is_found():
    assert _check(_limited_history(12)) == ['a limit is enforced']
    assert _check(_limited_history(11)) == []
    disruptions = [('router r1', 109.0, 112.0)]
    assert _check(_limited_history(12, disruptions=disruptions)) == []


def _arrivals(*times, router='r1'):
    """Return calls of a router, and their arrivals at p1 after a backoff."""
    names = [f'{router}-{n}' for n in range(len(times) + 1)]
    calls = [builders.call(name, router=router) for name in names]
    asked = records.Arrival(names[0], 'p1', 100.0, 3.0)
    late = [
        records.Arrival(name, 'p1', at) for name, at in zip(names[1:], times)
    ]
    return calls, [asked, *late]


@pytest.mark.parametrize(
    ('times', 'is_found'),
    [
        ((100.1, 100.2, 100.3, 100.4), False),
        ((101.0, 102.0, 103.5), False),
        ((101.0, 102.0, 102.9), True),
    ],
)
def test_a_backoff_that_is_not_kept_is_found(times, is_found):
    calls, arrivals = _arrivals(*times)
    history = builders.history(calls, [], arrivals=arrivals)
    found = [each.guarantee for each in guarantees.check(history)]
    assert ('a backoff is kept' in found) is is_found


@pytest.mark.parametrize('asked_carrier', [True, False])
def test_requests_count_for_the_router_that_sent_them(asked_carrier):
    """Guards against blaming a router for what its peers send for it."""
    calls, arrivals = _arrivals(101.0, 102.0, 102.9)
    relays = [records.Relay(call.id, 'r2', 99.0) for call in calls]
    if not asked_carrier:
        del relays[0]
    history = builders.history(calls, [], arrivals=arrivals, relays=relays)
    found = [each.guarantee for each in guarantees.check(history)]
    assert ('a backoff is kept' in found) is asked_carrier


def test_arrivals_of_a_router_that_was_frozen_are_excused():
    calls, arrivals = _arrivals(101.0, 102.0, 102.9)
    frozen = [('router r1', 100.5, 100.9)]
    history = builders.history(
        calls, [], arrivals=arrivals, disruptions=frozen
    )
    found = [each.guarantee for each in guarantees.check(history)]
    assert 'a backoff is kept' not in found


@pytest.mark.parametrize(('at', 'is_found'), [(101.9, False), (102.6, True)])
def test_request_after_a_leave_was_told_is_found(at, is_found):
    calls = [builders.call('told'), builders.call('late')]
    arrivals = [
        records.Arrival('told', 'p1', 100.5),
        records.Arrival('late', 'p1', at),
    ]
    leaves = [records.Leave('p1', 100.0)]
    history = builders.history(calls, [], arrivals=arrivals, leaves=leaves)
    found = [each.guarantee for each in guarantees.check(history)]
    assert ('a leave is applied' in found) is is_found
