"""Builders of requests under way, for tests."""

import time

from ibisring_gateway import jobs
from ibisring_gateway import ports
from ibisring_policy.gateway import routetable
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing


class Exchange:
    """A caller's exchange that records what is written."""

    socket = None
    is_from_router = False

    def __init__(self, headers_sent=False):
        self.headers_sent = headers_sent
        self.written = []
        self.is_aborted = False
        self.job = None

    def answer(self, status, headers, body):
        """Record the status of an answer."""
        self.written.append(status)

    def abort(self):
        """Record that the answer was broken off."""
        self.is_aborted = True


def make_job(
    exchange=None,
    kind=routing.RequestKind.STREAM,
    resumable=True,
    service=None,
    seconds=20.0,
    **changes,
):
    """Make the job of a request that has just arrived."""
    route = build.route(
        kind=kind, resumable=resumable, objective=0.5, **changes
    )
    request = ports.CallerRequest(
        id='a1', method='POST', host='h.example', target='/a/x', headers={}
    )
    match = routetable.Match(route, 'acme', 0)
    now = time.monotonic()
    return jobs.Job(
        exchange or Exchange(),
        request,
        match,
        service or build.service(),
        now,
        now + seconds,
    )
