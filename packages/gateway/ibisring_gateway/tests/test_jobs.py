"""Tests of what a router says of a request that it served."""

import pytest

from ibisring_gateway import jobs
from ibisring_gateway import ports
from ibisring_policy.gateway import routetable
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing


def _job(**changes):
    route = build.route(
        kind=routing.Kind.STREAM, objective=0.5, longest_pause=0.2, **changes
    )
    request = ports.CallerRequest(
        id='a1', method='POST', host='h.example', target='/a/x', headers={}
    )
    match = routetable.Match(route, 'acme', 0)
    return jobs.Job(None, request, match, None, 10.0, 30.0)


@pytest.mark.parametrize(
    ('times', 'late'),
    [
        ((), None),
        ((10.1, 10.2, 10.3), None),
        ((10.6, 10.7), jobs.Late.FIRST),
        ((10.1, 10.4, 10.5), jobs.Late.PAUSE),
        ((10.6, 10.9), jobs.Late.FIRST),
    ],
)
def test_what_made_a_stream_late(times, late):
    job = _job()
    for now in times:
        job.piece_came(now)
    assert job.late is late


def test_a_pause_between_two_attempts_counts():
    """Symptom: streams that were late for their callers count as on time.

    Sequence: an endpoint is lost; another goes on 0.4 s later.
    Cause: pauses were measured within each attempt only.
    """
    job = _job()
    job.piece_came(10.1)
    job.splitter.restart()
    job.piece_came(10.5)
    assert job.longest_pause == pytest.approx(0.4)
    assert job.late is jobs.Late.PAUSE
