"""Tests of choosing endpoints near suspects and under rate limits."""

import types

from ibisring_gateway import selecting
from ibisring_gateway.tests import builders
from ibisring_policy.gateway.tests import builders as build
import pytest

SUSPECT = b'suspect!'
OTHER = b'another!'


def _plain_view(*names):
    endpoints = [
        build.endpoint(name, address=f'{name}:1', slots=6) for name in names
    ]
    return builders.make_view(endpoints)


def _chain_view(*first_stages):
    engines = [
        build.held_endpoint(name, 0, 40, address=f'{name}:1', card='big')
        for name in first_stages
    ]
    engines.append(
        build.held_endpoint('tail', 40, 80, address='tail:1', card='big')
    )
    return builders.make_view(engines)


def _job(view, service, digest=OTHER, **changes):
    values = dict(
        digest=digest,
        deadline=view.clock() + 10.0,
        is_suspect=False,
        avoid=set(),
        limited=set(),
        sent_to=[],
        service=view.snapshot.index.services[service],
        route=build.route(),
        match=types.SimpleNamespace(priority=1, account='acme'),
        progress=types.SimpleNamespace(
            sent_to=0, max_endpoints=2, delivering=False
        ),
        transfer=None,
        blocked_by=None,
        request=types.SimpleNamespace(
            prompt_tokens=10,
            answer_tokens=10,
            answer_hint=None,
            after_event=None,
        ),
    )
    values.update(changes)
    return types.SimpleNamespace(**values)


def _chosen(view, job, tries=20):
    """Return the ids of the endpoints chosen, None for no choice."""
    selector = selecting.make_selector(view)
    found = set()
    for _ in range(tries):
        choice = selector.choose(job, view.clock())
        found.add(choice.endpoint.id if choice else None)
    return found


@pytest.mark.parametrize(
    ('service', 'make'), [('lookup', _plain_view), ('model', _chain_view)]
)
def test_endpoint_with_a_suspect_is_avoided(service, make):
    """Guards against losing requests beside one that crashes an endpoint."""
    view = make('h1', 'h2')
    view.suspects.mark_running(SUSPECT, 'h1')
    assert _chosen(view, _job(view, service)) == {'h2'}


@pytest.mark.parametrize(
    ('service', 'make'), [('lookup', _plain_view), ('model', _chain_view)]
)
def test_endpoint_with_a_suspect_is_better_than_none(service, make):
    view = make('h1')
    view.suspects.mark_running(SUSPECT, 'h1')
    assert _chosen(view, _job(view, service)) == {'h1'}


def test_suspect_is_sent_where_few_streams_run():
    """Guards against a suspect crashing the engine with the most streams."""
    view = _chain_view('h1', 'h2', 'h3')
    view.estimates.get('h1').first_stage_requests = 60
    job = _job(view, 'model', SUSPECT, is_suspect=True)
    assert 'h1' not in _chosen(view, job)


@pytest.mark.parametrize(
    ('service', 'make'), [('lookup', _plain_view), ('model', _chain_view)]
)
def test_requests_beyond_a_limit_go_to_other_endpoints(service, make):
    view = make('h1', 'h2')
    now = view.clock()
    view.limits.record_rate('h1', 0, 0.5, now, now)
    job = _job(view, service)
    selector = selecting.make_selector(view)
    chosen = [selector.choose(job, now).endpoint.id for _ in range(30)]
    assert chosen.count('h1') <= 1


@pytest.mark.parametrize(
    ('service', 'make'), [('lookup', _plain_view), ('model', _chain_view)]
)
def test_exhausted_limit_leaves_no_choice(service, make):
    view = make('h1')
    now = view.clock()
    view.limits.record_rate('h1', 0, 0.5, now, now)
    view.limits.acquire('h1', now + 10.0, 0.0)
    job = _job(view, service)
    selector = selecting.make_selector(view)
    assert selector.choose(job, now + 10.0) is None
    assert job.limited == {'h1'}
    assert selector.throttle.refuse(job, now + 10.0) > 0.0


def test_outranked_request_is_not_admitted():
    view = _plain_view('h1')
    now = view.clock()
    view.limits.record_rate('h1', 0, 0.5, now, now)
    view.limits.wait('h1', now)
    view.fairness.refused(0, 'other', now + 10.0)
    selector = selecting.make_selector(view)
    assert selector.choose(_job(view, 'lookup'), now + 10.0) is None


SERVICES = [('lookup', _plain_view), ('model', _chain_view)]


def _ask_for_backoff(view, names, seconds=3.0):
    """Have endpoints ask for a backoff, at a time that stands still."""
    view.clock = builders.Clock()
    for name in names:
        view.limits.backoffs.record(name, 0, seconds, view.clock())


@pytest.mark.parametrize(('service', 'make'), SERVICES)
def test_endpoint_that_wants_no_requests_is_not_chosen(service, make):
    """Guards against an endpoint being asked although it wants nothing."""
    view = make('h1', 'h2')
    _ask_for_backoff(view, ['h1'])
    assert _chosen(view, _job(view, service)) == {'h2'}


@pytest.mark.parametrize(('service', 'make'), SERVICES)
def test_callers_are_told_when_the_first_endpoint_takes_requests(
    service, make
):
    """Guards against callers that return while every endpoint backs off."""
    view = make('h1', 'h2')
    _ask_for_backoff(view, ['h1'], 6.0)
    _ask_for_backoff(view, ['h2'], 3.0)
    job = _job(view, service)
    assert _chosen(view, job) == {None}
    assert job.limited == {'h1', 'h2'}
    selector = selecting.make_selector(view)
    assert 3.0 <= selector.refuse(job, view.clock()) < 4.2


def test_caller_may_return_at_once_if_another_endpoint_takes_requests():
    """Guards against a long wait for one endpoint where others are free."""
    view = _plain_view('h1', 'h2')
    _ask_for_backoff(view, ['h1'])
    selector = selecting.make_selector(view)
    assert selector.refuse(_job(view, 'lookup'), view.clock()) < 0.5


def test_engine_that_backs_off_still_serves_later_layers():
    """Guards against missing layers, and a return before streams can begin."""
    view = _chain_view('h1')
    _ask_for_backoff(view, ['tail'], 1.0)
    job = _job(view, 'model')
    assert _chosen(view, job) == {'h1'}
    view.limits.backoffs.record('h1', 0, 8.0, view.clock())
    assert _chosen(view, job) == {None}
    selector = selecting.make_selector(view)
    assert selector.refuse(job, view.clock()) >= 8.0


def test_endpoints_of_other_services_are_not_limited():
    view = _plain_view('h1')
    _ask_for_backoff(view, ['elsewhere'])
    job = _job(view, 'lookup')
    assert _chosen(view, job) == {'h1'}
    assert job.limited == set()


def test_no_wait_for_a_backoff_that_ends_after_the_deadline():
    """Guards against a request held although it can't be served in time."""
    view = _plain_view('h1')
    _ask_for_backoff(view, ['h1'], 0.04)
    job = _job(view, 'lookup', deadline=view.clock() + 0.01)
    selector = selecting.make_selector(view)
    assert selector.choose(job, view.clock()) is None


def test_short_backoff_is_waited_for():
    view = _plain_view('h1')
    _ask_for_backoff(view, ['h1'], 0.04)
    selector = selecting.make_selector(view)
    choice = selector.choose(_job(view, 'lookup'), view.clock())
    assert 0.0 < choice.wait <= 0.04


def _refusal(backoff):
    return types.SimpleNamespace(
        wrong_endpoint=False, refusing_address=None, backoff=backoff
    )


@pytest.mark.parametrize(('backoff', 'is_estimated'), [(3.0, 0), (None, 1)])
def test_requested_backoff_replaces_the_estimated_one(backoff, is_estimated):
    """Guards against charging a refusal twice: by request and by estimate."""
    view = _chain_view('h1')
    attempt = types.SimpleNamespace(
        endpoint=view.snapshot.endpoints['h1'],
        stages=(),
        last_event_at=view.clock(),
    )
    selector = selecting.make_selector(view)
    now = view.clock()
    selector.record_refusal(attempt, 'h1', _refusal(backoff), now)
    is_backing_off = view.estimates.get('h1').backoff_until > now
    assert is_backing_off == bool(is_estimated)


def test_later_stage_that_refuses_is_still_estimated_to_be_full():
    view = _chain_view('h1')
    attempt = types.SimpleNamespace(
        endpoint=view.snapshot.endpoints['h1'],
        stages=(),
        last_event_at=view.clock(),
    )
    selector = selecting.make_selector(view)
    now = view.clock()
    selector.record_refusal(attempt, 'tail', _refusal(3.0), now)
    assert view.estimates.get('tail').backoff_until > now


@pytest.mark.parametrize('stalled', [0.0, 1.2])
def test_refusal_that_is_read_late_blames_no_engine(stalled):
    """Guards against engines lost since this router stood still."""
    view = _chain_view('h1')
    began = view.clock()
    view.health.begin_wait(began)
    view.health.end_wait(began + stalled)
    attempt = types.SimpleNamespace(
        endpoint=view.snapshot.endpoints['h1'],
        stages=(types.SimpleNamespace(address='tail:1', endpoint='tail'),),
        sent_at=began,
        last_event_at=began,
    )
    selector = selecting.make_selector(view)
    now = began + 1.3
    selector.record_refusal(attempt, 'tail', _refusal(3.0), now)
    assert view.estimates.get('tail').dead == (not stalled)
