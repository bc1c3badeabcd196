"""Builders of requests under way, for tests."""

import time

from ibisring_gateway import jobs
from ibisring_gateway import ports
from ibisring_gateway import successors
from ibisring_policy.gateway import retrybudget
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
    now=None,
    request=None,
    **changes,
):
    """Make the job of a request that has just arrived.

    `request` has changes to its request, `changes` those to its route.
    """
    route = build.route(
        kind=kind, resumable=resumable, objective=0.5, **changes
    )
    fields = dict(
        id='a1', method='POST', host='h.example', target='/a/x', headers={}
    )
    fields.update(request or {})
    match = routetable.Match(route, 'acme', 0)
    now = time.monotonic() if now is None else now
    return jobs.Job(
        exchange or Exchange(),
        ports.CallerRequest(**fields),
        match,
        service or build.service(),
        now,
        now + seconds,
    )


class Screen:
    """A screen that refuses no request."""

    def may_move(self, job):
        """Allow everything."""
        return True

    def is_refused(self, job):
        """Refuse nothing."""
        return False


def make_successors(view, selector, budget=None, relay_sender=None):
    """Make what sets successors aside, by default with many retries."""
    return successors.make_successors(
        view,
        selector,
        Screen(),
        relay_sender,
        budget or retrybudget.make_retry_budget(10.0, 0.2, 1000.0),
        lambda: 1,
    )
