"""Tests of the state of a request while it is served."""

import pytest

from ibisring_gateway import jobs
from ibisring_gateway import ports
from ibisring_policy.gateway import routetable
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing


def _job(**changes):
    route = build.route(
        kind=routing.RequestKind.STREAM,
        objective=0.5,
        longest_pause=0.2,
        **changes,
    )
    request = ports.CallerRequest(
        id='a1', method='POST', host='h.example', target='/a/x', headers={}
    )
    match = routetable.Match(route, 'acme', 0)
    return jobs.Job(None, request, match, None, 10.0, 30.0)


@pytest.mark.parametrize(
    ('times', 'reason'),
    [
        ((), None),
        ((10.1, 10.2, 10.3), None),
        ((10.6, 10.7), jobs.LateReason.FIRST),
        ((10.1, 10.4, 10.5), jobs.LateReason.PAUSE),
        ((10.6, 10.9), jobs.LateReason.FIRST),
    ],
)
def test_late_reason_of_a_stream(times, reason):
    job = _job()
    for now in times:
        job.record_chunk(now)
    assert job.late is reason


def test_pause_between_attempts_counts():
    """Guards against streams that were late but count as on time.

    When an endpoint is lost and another resumes 0.4 s later, the pause lies
    between two attempts; measuring within each attempt would miss it.
    """
    job = _job()
    job.record_chunk(10.1)
    job.splitter.restart()
    job.record_chunk(10.5)
    assert job.longest_pause == pytest.approx(0.4)
    assert job.late is jobs.LateReason.PAUSE
