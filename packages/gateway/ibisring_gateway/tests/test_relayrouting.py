"""Tests of the way of a request."""

import types

from ibisring_gateway import relaymarks
from ibisring_gateway import relayrouting
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions
import pytest


class _Sender:
    def __init__(self, peer):
        self.peer = peer

    def choose(self, job):
        return self.peer


def make(peer='r2', cut=False):
    """Return the routing of a router, and a job."""
    view = builders.make_view([])
    service = build.service()
    now = view.clock()
    if cut:
        for number in range(3):
            view.links.failed(service.name, f'e{number}', now, now, 3)
    job = types.SimpleNamespace(
        service=service,
        relayed_by=None,
        unreached_at=None,
        deadline=now + 9.0,
        exchange=types.SimpleNamespace(headers_sent=False),
        progress=attempts.Progress(
            repeatable=True, stream=False, max_endpoints=2
        ),
    )
    return relayrouting.RelayRouting(view, _Sender(peer)), job


def test_a_request_goes_to_an_endpoint_while_links_work():
    routing, job = make()
    assert routing.choose(job) is None


def test_after_a_connection_that_was_not_made_another_router_is_tried():
    """Guards against refusals before a router knows that it is cut off."""
    routing, job = make()
    job.unreached_at = routing.clock()
    assert routing.choose(job) == 'r2'


def test_a_connection_made_since_shows_that_the_endpoint_is_the_cause():
    """Guards against a detour because one endpoint has crashed."""
    routing, job = make()
    job.unreached_at = routing.clock()
    routing.view.links.connected(job.service.name, job.unreached_at + 0.1)
    assert routing.choose(job) is None


def test_a_cut_router_hands_requests_over():
    routing, job = make(cut=True)
    assert routing.choose(job) == 'r2'


def test_without_anybody_in_reach_a_request_is_refused_at_once():
    """Guards against a refusal that is held until connections time out."""
    routing, job = make(peer=None, cut=True)
    with pytest.raises(relayrouting.NobodyInReach):
        routing.choose(job)


def test_links_that_may_be_back_are_used_if_nobody_else_is_in_reach():
    """Guards against refusals while the links are watched for a relapse."""
    routing, job = make(peer=None, cut=True)
    state = routing.view.links
    state._get(job.service.name).successes_required = 2
    state.connected(job.service.name, routing.clock())
    assert state.is_cut(job.service.name)
    assert routing.choose(job) is None


def test_a_request_is_never_handed_on():
    """Guards against a loop of routers that are all cut off."""
    routing, job = make(cut=True)
    job.relayed_by = 'r1'
    with pytest.raises(exceptions.Unreachable):
        routing.choose(job)


def test_a_request_that_may_have_run_is_not_given_back_as_not_run():
    """Guards against "not run" for a request that may have run."""
    routing, job = make(cut=True)
    job.relayed_by = 'r1'
    job.progress.may_have_run = True
    with pytest.raises(relayrouting.NobodyInReach):
        routing.choose(job)


def test_a_caller_can_not_send_the_mark_of_a_router():
    headers = relaymarks.encode(relaymarks.Mark('r1', 1))
    request = types.SimpleNamespace(headers=headers)
    exchange = types.SimpleNamespace(is_from_router=False)
    with pytest.raises(exceptions.InvalidRelay):
        relayrouting.accept_mark(exchange, request, 'r2')
