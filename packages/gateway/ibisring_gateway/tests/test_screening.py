"""Tests of keeping requests that end their endpoints from being sent on."""

import types

import pytest

from ibisring_gateway import screening
from ibisring_gateway.tests import builders
from ibisring_gateway import watching
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway.tests import builders as build

DIGEST = b'12345678'


class _Prober:
    """Says of each endpoint what it is told to."""

    def __init__(self, has_ended):
        self.answer = has_ended
        self.asked = 0

    def has_ended(self, endpoint):
        self.asked += 1
        return self.answer


def _screen(has_ended=True):
    view = builders.make_view([])
    return screening.make_screen(view, _Prober(has_ended), builders.Metrics())


def _job(screen, begun=False, after_event=None):
    return types.SimpleNamespace(
        digest=DIGEST,
        is_suspect=False,
        exchange=types.SimpleNamespace(begun=begun),
        request=types.SimpleNamespace(after_event=after_event),
        deadline=screen.clock() + 10.0,
    )


def _attempt(screen, name='e1', ran=0.1):
    endpoint = build.endpoint(name)
    attempt = watching.Attempt('a', endpoint, (), screen.clock() + 10.0)
    attempt.sent_at = screen.clock() - ran
    return attempt


def _ends(screen):
    return screen.verdict(_job(screen)).crashes


def test_an_end_before_any_answer_counts_and_is_told_at_once():
    screen = _screen()
    told = []
    screen.on_found = lambda: told.append(True)
    assert screen.lost(_job(screen), _attempt(screen)) is True
    assert _ends(screen) == 1 and told


@pytest.mark.parametrize('has_ended', [False, None])
def test_a_lost_answer_alone_speaks_against_nobody(has_ended):
    """Failure: a lossy link or a freeze makes a request a suspect."""
    screen = _screen(has_ended)
    assert screen.lost(_job(screen), _attempt(screen)) is has_ended
    assert _ends(screen) == 0


@pytest.mark.parametrize('changes', [{'begun': True}, {'after_event': 4}])
def test_a_stream_that_was_delivered_in_part_is_not_at_fault(changes):
    """Failure: a stream is refused since each engine that resumes it ends."""
    screen = _screen()
    screen.lost(_job(screen, **changes), _attempt(screen))
    assert _ends(screen) == 0


def test_an_end_long_after_the_sending_counts_for_nothing():
    screen = _screen()
    screen.lost(_job(screen), _attempt(screen, ran=5.0))
    assert _ends(screen) == 0


def test_nobody_is_asked_about_what_this_router_ended():
    screen = _screen()
    attempt = _attempt(screen)
    attempt.result = attempts.Result.CALLER_GONE
    assert screen.lost(_job(screen), attempt) is None
    assert screen.prober.asked == 0


def test_the_third_end_refuses_for_a_told_time():
    screen = _screen()
    for number in range(3):
        screen.lost(_job(screen), _attempt(screen, f'e{number}'))
    job = _job(screen)
    assert not screen.passes(job)
    assert screen.retry_after(job) > 500.0


def test_a_stream_under_way_is_not_broken_off():
    """Failure: a caller loses half an answer to a body that was refused."""
    screen = _screen()
    for number in range(3):
        screen.lost(_job(screen), _attempt(screen, f'e{number}'))
    assert screen.passes(_job(screen, begun=True))


def test_an_answer_clears_a_suspect():
    screen = _screen()
    for number in range(2):
        screen.lost(_job(screen), _attempt(screen, f'e{number}'))
    screen.answered(_job(screen))
    assert _ends(screen) == 0


def test_a_suspect_at_an_endpoint_keeps_others_away_from_it():
    screen = _screen()
    screen.lost(_job(screen), _attempt(screen, 'e1'))
    job = _job(screen)
    assert screen.passes(job) and job.is_suspect
    screen.begin(job, _attempt(screen, 'e2'))
    known = screen.view.suspects
    assert known.endpoints_at_risk(b'another!') == {'e2'}
    assert known.endpoints_at_risk(DIGEST) == set()
    screen.finish(job)
    assert known.endpoints_at_risk(b'another!') == set()
