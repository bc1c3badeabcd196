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
        self.unready_polls = 0
        self.chosen = 0

    def choose(self, job):
        self.chosen += 1
        return self.peer

    def is_any_unready(self, job):
        self.unready_polls -= 1
        return self.unready_polls >= 0


class _Time:
    """A clock that only sleeping advances."""

    def __init__(self, clock):
        self.now = clock()

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


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
        unready_refusals=0,
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


@pytest.fixture
def waiting(monkeypatch):
    """Give a cut router's routing and job, whose waits take no time."""
    routing, job = make(peer=None, cut=True)
    routing.clock = clock = _Time(routing.clock)
    monkeypatch.setattr(relayrouting.time, 'sleep', clock.sleep)
    monkeypatch.setattr(relayrouting.sockets, 'is_gone', lambda sock: False)
    job.exchange.socket = None
    return routing, job


@pytest.mark.parametrize('is_begun', [False, True])
def test_request_waits_for_a_router_that_is_not_ready(waiting, is_begun):
    """Guards against a stream cut 1.3 s after a router was a table behind."""
    routing, job = waiting
    job.exchange.headers_sent = is_begun
    routing.sender.unready_polls = 100
    started = routing.clock()
    with pytest.raises(relayrouting.NobodyInReach):
        routing.choose(job)
    waited = routing.clock() - started
    longest = 100 * relayrouting.POLL_SECONDS if is_begun else 0.0
    assert waited == pytest.approx(
        longest + relayrouting.WAIT_SECONDS, abs=0.1
    )
    routing.sender.peer = 'r2'
    assert routing.choose(job) == 'r2'


def test_a_stall_does_not_count_as_a_wait_for_a_way(waiting):
    """Guards against a stream cut since its router stood still."""
    routing, job = waiting
    job.exchange.headers_sent = True
    started = routing.clock()
    routing.view.health.begin_wait(started)
    routing.view.health.end_wait(started + 3.0)
    with pytest.raises(relayrouting.NobodyInReach):
        routing.choose(job)
    assert routing.clock() - started == pytest.approx(
        3.0 + relayrouting.WAIT_SECONDS, abs=0.1
    )


def test_wait_for_a_router_ends_with_the_time_of_the_request(waiting):
    routing, job = waiting
    job.exchange.headers_sent = True
    routing.sender.unready_polls = 100000
    with pytest.raises(relayrouting.NobodyInReach):
        routing.choose(job)
    assert routing.clock() == pytest.approx(job.deadline, abs=0.1)


def test_many_routers_that_are_not_ready_are_not_asked_at_once(waiting):
    """Guards against a message to each router of a fleet for each request."""
    routing, job = waiting
    routing.sender.peer = 'r2'
    job.unready_refusals = relayrouting.MAX_UNREADY_AT_ONCE
    before = routing.clock()
    assert routing.choose(job) == 'r2'
    assert routing.clock() >= before + relayrouting.POLL_SECONDS
    assert routing.sender.chosen == 1
