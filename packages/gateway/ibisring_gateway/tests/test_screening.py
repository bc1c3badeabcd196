"""Tests of stopping requests that crash their endpoints."""

import types

import pytest

from ibisring_gateway import attemptwatching
from ibisring_gateway import liveness
from ibisring_gateway import screening
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import answerends
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing

Finding = liveness.Finding
Process = answerends.Process
DIGEST = b'12345678'


class _Prober:
    """Gives the same result for each endpoint."""

    def __init__(self, finding):
        self.finding = finding
        self.checked = 0

    def check(self, endpoint):
        self.checked += 1
        return self.finding

    def find_process(self, endpoint, is_exit_due):
        self.is_exit_due = is_exit_due
        return Process.EXITED


def _screen(finding=Finding.CRASHED):
    view = builders.make_view([])
    return screening.make_screen(view, _Prober(finding), builders.Metrics())


def _job(screen, headers_sent=False, after_event=None):
    return types.SimpleNamespace(
        digest=DIGEST,
        features=(),
        features_running=(),
        is_suspect=False,
        exchange=types.SimpleNamespace(headers_sent=headers_sent),
        request=types.SimpleNamespace(after_event=after_event),
        deadline=screen.clock() + 10.0,
    )


def _attempt(screen, name='e1', seconds_ago=0.1):
    endpoint = build.endpoint(name)
    attempt = attemptwatching.Attempt('a', endpoint, (), screen.clock() + 10.0)
    attempt.sent_at = screen.clock() - seconds_ago
    return attempt


def _crashes(screen):
    return screen.verdict(_job(screen)).crashes


def test_crash_before_an_answer_counts_and_is_reported():
    screen = _screen()
    updates = []
    screen.on_update = lambda: updates.append(True)
    finding = screen.check_lost_answer(_job(screen), _attempt(screen))
    assert finding is Finding.CRASHED
    assert _crashes(screen) == 1 and updates


@pytest.mark.parametrize('finding', list(Finding)[1:])
def test_lost_answer_without_a_crash_does_not_count(finding):
    """Guards against a lossy link or a stall making a request a suspect."""
    screen = _screen(finding)
    assert screen.check_lost_answer(_job(screen), _attempt(screen)) is finding
    assert _crashes(screen) == 0


@pytest.mark.parametrize(
    'changes', [{'headers_sent': True}, {'after_event': 4}]
)
def test_partly_delivered_stream_is_not_blamed(changes):
    """Guards against refusing a stream whose engines crash one by one."""
    screen = _screen()
    screen.check_lost_answer(_job(screen, **changes), _attempt(screen))
    assert _crashes(screen) == 0


def test_crash_long_after_sending_does_not_count():
    screen = _screen()
    screen.check_lost_answer(_job(screen), _attempt(screen, seconds_ago=5.0))
    assert _crashes(screen) == 0


def test_attempt_ended_by_this_router_is_not_checked():
    screen = _screen()
    attempt = _attempt(screen)
    attempt.result = attempts.Result.CALLER_GONE
    assert screen.check_lost_answer(_job(screen), attempt) is None
    assert screen.prober.checked == 0


def test_third_crash_refuses_with_retry_after():
    screen = _screen()
    for number in range(3):
        screen.check_lost_answer(_job(screen), _attempt(screen, f'e{number}'))
    job = _job(screen)
    assert not screen.wait_until_allowed(job)
    assert screen.retry_after(job) > 500.0


def test_running_stream_is_not_refused():
    """Guards against truncating an answer because its request is refused."""
    screen = _screen()
    for number in range(3):
        screen.check_lost_answer(_job(screen), _attempt(screen, f'e{number}'))
    assert screen.wait_until_allowed(_job(screen, headers_sent=True))


def test_answer_clears_a_suspect():
    screen = _screen()
    for number in range(2):
        screen.check_lost_answer(_job(screen), _attempt(screen, f'e{number}'))
    screen.record_answer(_job(screen), _attempt(screen))
    assert _crashes(screen) == 0


def test_losses_without_a_known_cause_refuse_for_a_moment():
    """Failure: a request crashes endpoints whose ports stay open."""
    screen = _screen(Finding.UNKNOWN)
    for number in range(3):
        screen.check_lost_answer(_job(screen), _attempt(screen, f'e{number}'))
    assert not screen.wait_until_allowed(_job(screen))
    assert 0.0 < screen.retry_after(_job(screen)) < 10.0


def test_losses_at_a_router_that_is_cut_off_refuse_nothing():
    """Guards against refusing an innocent body after three cuts."""
    screen = _screen(Finding.CUT_OFF)
    for number in range(3):
        screen.check_lost_answer(_job(screen), _attempt(screen, f'e{number}'))
    assert screen.retry_after(_job(screen)) == 0.0


def test_answer_to_another_request_shows_that_a_process_did_not_crash():
    screen = _screen(Finding.UNKNOWN)
    for number in range(3):
        attempt = _attempt(screen, f'e{number}')
        screen.check_lost_answer(_job(screen), attempt)
        other = _job(screen)
        other.digest = b'another!'
        screen.record_answer(
            other, _attempt(screen, f'e{number}', seconds_ago=-0.1)
        )
    assert _crashes(screen) == 0


def test_endpoint_with_a_suspect_is_at_risk_for_others():
    screen = _screen()
    screen.check_lost_answer(_job(screen), _attempt(screen, 'e1'))
    job = _job(screen)
    assert screen.wait_until_allowed(job) and job.is_suspect
    screen.record_start(job, _attempt(screen, 'e2'))
    tracked = screen.view.suspects
    assert tracked.endpoints_at_risk(b'another!') == {'e2'}
    assert tracked.endpoints_at_risk(DIGEST) == set()
    screen.record_end(job)
    assert tracked.endpoints_at_risk(b'another!') == set()


@pytest.mark.parametrize('state', [*routing.EndpointState, None])
def test_answer_of_an_endpoint_whose_port_is_closed(state):
    """Guards against an answer cut by an exit that is taken for whole."""
    endpoint = build.endpoint('e1')
    known = [build.endpoint('e1', state=state)] if state else []
    view = builders.make_view(known)
    prober = _Prober(Finding.CRASHED)
    screen = screening.make_screen(view, prober, builders.Metrics())
    assert screen.process_after_answer(endpoint) is Process.EXITED
    is_ready = state is routing.EndpointState.READY
    assert prober.is_exit_due is not is_ready


def test_exit_of_a_leaving_endpoint_is_no_crash():
    """Guards against refusing a body that planned exits have cut."""
    leaving = build.endpoint('e1', state=routing.EndpointState.DRAINING)
    view = builders.make_view([leaving])
    prober = _Prober(Finding.CRASHED)
    screen = screening.make_screen(view, prober, builders.Metrics())
    screen.check_lost_answer(_job(screen), _attempt(screen))
    assert _crashes(screen) == 0
