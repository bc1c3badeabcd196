"""Tests of which losses count against the parts of a prompt."""

import types

import pytest

from ibisring_gateway import attemptwatching
from ibisring_gateway import liveness
from ibisring_gateway import screening
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import promptfeatures
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing

Finding = liveness.Finding
ENDPOINTS = [f'e{number}' for number in range(1, 6)]


class _Prober:
    """Gives the same result for each endpoint."""

    def __init__(self, finding):
        self.finding = finding

    def check(self, endpoint):
        return self.finding


class _Router:
    """A screen, and requests that are lost at one endpoint after another."""

    def __init__(self, finding=Finding.CRASHED, leaving=()):
        endpoints = [
            build.endpoint(
                name,
                state=(
                    routing.EndpointState.DRAINING
                    if name in leaving
                    else routing.EndpointState.READY
                ),
            )
            for name in ENDPOINTS
        ]
        self.view = builders.make_view(endpoints)
        self.view.clock = builders.Clock()
        self.screen = screening.make_screen(
            self.view, _Prober(finding), builders.Metrics()
        )
        self.updates = 0
        self.screen.on_update = self._count_update
        self.jobs = 0

    def _count_update(self):
        self.updates += 1

    def job(self, *parts, headers_sent=False):
        """Return a request that no other equals."""
        self.jobs += 1
        digest = b'%08d' % self.jobs
        return types.SimpleNamespace(
            digest=digest,
            features=promptfeatures.features_of(parts, digest),
            features_running=(),
            account_id=promptfeatures.account_id('acme'),
            is_suspect=False,
            exchange=types.SimpleNamespace(headers_sent=headers_sent),
            match=types.SimpleNamespace(account='acme'),
            request=types.SimpleNamespace(
                id=f'q{self.jobs}', shared_parts=parts, after_event=None
            ),
            deadline=self.view.clock() + 10.0,
        )

    def attempt(self, name):
        """Return an attempt at an endpoint, just sent."""
        endpoint = self.view.snapshot.endpoints[name]
        now = self.view.clock()
        made = attemptwatching.Attempt('a', endpoint, (), now + 10.0)
        made.sent_at = now
        return made

    def lose(self, job, name, events=0, seconds=0.1, result=None):
        """Lose the answer of a request after some events."""
        attempt = self.attempt(name)
        for number in range(events):
            attempt.events = number + 1
            self.screen.record_event(job, attempt, self.view.clock())
        self.view.clock.now += seconds
        if events:
            attempt.events += 1
            self.screen.record_event(job, attempt, self.view.clock())
        attempt.result = result
        return self.screen.check_lost_answer(job, attempt)

    def lose_three(self, **changes):
        """Lose three requests with a part, each at another endpoint."""
        for name in ENDPOINTS[:3]:
            self.lose(self.job('dead'), name, **changes)
            self.view.clock.now += 0.5

    def is_refused(self, *parts, **changes):
        """Return whether a request with some parts is refused."""
        return not self.screen.wait_until_allowed(self.job(*parts, **changes))


@pytest.mark.parametrize('events', [0, 1, 3])
def test_loss_as_an_answer_begins_counts(events):
    """Guards against a first event that clears what crashes after it."""
    router = _Router()
    router.lose_three(events=events)
    assert router.is_refused('dead') and router.updates
    assert not router.is_refused('other')


def test_loss_long_after_the_first_event_does_not_count():
    router = _Router()
    router.lose_three(events=1, seconds=2.0)
    assert not router.is_refused('dead')


def test_loss_after_a_long_prefill_counts():
    """Guards against a part that crashes endpoints after a long prompt."""
    router = _Router()
    router.lose_three(seconds=8.0)
    assert router.is_refused('dead')


@pytest.mark.parametrize('finding', [Finding.RUNNING, Finding.CUT_OFF])
def test_loss_that_is_no_crash_does_not_count(finding):
    """Guards against parts that are refused for a router's own links."""
    router = _Router(finding)
    router.lose_three()
    assert not router.is_refused('dead')


def test_endpoint_that_leaves_has_not_crashed():
    router = _Router(leaving=ENDPOINTS[:3])
    router.lose_three()
    assert not router.is_refused('dead')


@pytest.mark.parametrize(
    'result', [attempts.Result.CALLER_GONE, attempts.Result.SILENT]
)
def test_attempt_ended_by_this_router_does_not_count(result):
    router = _Router()
    router.lose_three(result=result)
    assert not router.is_refused('dead')


def test_started_stream_is_not_sent_on_with_a_part_that_is_refused():
    """Guards against a stream that is resumed from crash to crash."""
    router = _Router()
    router.lose_three(events=1)
    assert router.is_refused('dead', headers_sent=True)
    assert not router.is_refused('other', headers_sent=True)


def test_no_crash_counts_for_part_and_request_both():
    router = _Router()
    job = router.job('dead')
    router.lose(job, 'e1')
    assert router.view.suspects.by_digest == {}


def test_requests_without_parts_go_by_their_digest():
    router = _Router()
    job = router.job()
    router.lose(job, 'e1')
    assert router.view.parts.by_feature == {}
    assert list(router.view.suspects.by_digest) == [job.digest]


def test_request_in_doubt_runs_alone_until_it_is_answered():
    router = _Router()
    router.lose(router.job('dead'), 'e1')
    first, second = router.job('dead'), router.job('dead')
    assert router.screen.wait_until_allowed(first) and first.is_suspect
    attempt = router.attempt('e2')
    router.screen.record_start(first, attempt)
    assert router.screen.restriction(second).must_wait
    assert router.view.suspects.endpoints_at_risk(second.digest) == {'e2'}
    router.screen.record_whole_answer(first, attempt)
    assert not router.screen.restriction(second).must_wait
    assert not router.view.suspects.endpoints_at_risk(second.digest)


def test_refusal_names_the_part_and_when_to_come_back():
    router = _Router()
    router.lose_three()
    refusal = router.screen.refusal(router.job('a11e', 'DEAD'))
    assert refusal.retry_after > 500.0
    assert refusal.facts['parts'] == ['dead'] and 'dead' in refusal.detail
