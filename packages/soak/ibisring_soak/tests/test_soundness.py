"""Streams that end though their sound endpoint goes on are found."""

from ibisring_soak import guarantees
from ibisring_soak.tests import builders
import pytest

CUT = 'a sound stream is not cut'


def _stream(**changes):
    values = {'kind': 'stream', 'complete': False, 'events': ['word-1']}
    return builders.call(**{**values, **changes})


def _check(call, runs=1, **changes):
    own_runs = [builders.run() for _ in range(runs)]
    history = builders.history([call], own_runs, is_sound=True, **changes)
    return [each.guarantee for each in guarantees.check(history)]


@pytest.mark.parametrize('kind', ['stream', 'single'])
@pytest.mark.parametrize('status', [0, 200, 504])
def test_a_sound_stream_that_is_cut_is_found(kind, status):
    assert _check(_stream(kind=kind, status=status)) == [CUT]


def test_a_failure_in_place_of_a_sound_stream_is_found():
    failed = _stream(status=504, complete=True)
    assert _check(failed) == ['a sound stream is waited for']
    assert _check(_stream(status=503, complete=True)) == []


@pytest.mark.parametrize(
    'changes',
    [{'abandoned': True}, {'ended_at': 106.0}, {'status': 200, 'kind': 'bad'}],
)
def test_a_stream_that_its_caller_or_its_time_ended_is_allowed(changes):
    assert _check(_stream(**changes)) == []


def test_a_request_that_crosses_the_close_is_allowed():
    assert _check(_stream(status=0), runs=0) == []
    late = _stream(status=0, ended_at=101.0)
    assert _check(late, runs=0) == [CUT]


@pytest.mark.parametrize(('at', 'is_found'), [(98.0, True), (96.5, False)])
def test_a_stream_at_the_end_of_the_grace_time_is_allowed(at, is_found):
    found = _check(_stream(), terminations=[('r1', at, 4.0)])
    assert (CUT in found) is is_found


def test_endpoints_that_break_off_excuse_their_streams():
    history = builders.history([_stream()], [builders.run()])
    assert guarantees.check(history) == []
