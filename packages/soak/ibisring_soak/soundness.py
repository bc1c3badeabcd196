"""Checks that what sound endpoints and callers go on with is not ended."""

__all__ = ['check']

from ibisring_soak import records

# Statuses that a router puts in place of an answer.
FAILURE_STATUSES = (500, 502, 504)
# Share of a request's time, and of the grace time, after which what has not
# ended may be broken off.
USED_TIME_SHARE = 0.7
USED_GRACE_SHARE = 5 / 6
CALL_SECONDS = 8.0
# Time in which a request on a kept connection may cross the close of a router
# that shuts down, and in which such a router is back.
CROSSING_SECONDS = 0.5
RESTART_SECONDS = 5.0
# Plain requests have a route's timeout of less than a second; one that got no
# answer for so long got none because of no slow machine.
UNANSWERED_SECONDS = 6.0


def check(history, runs):
    """Find the requests that a router ended though their endpoints went on.

    Parameters
    ----------
    history : records.History
    runs : dict of str to list of records.Run
        By request id.

    Yields
    ------
    records.Violation
    """
    if not history.is_sound:
        return
    for call in history.calls:
        own_runs = runs.get(call.id, [])
        if call.abandoned:
            yield from _check_unanswered(call, own_runs)
        elif not _may_end(history, call, own_runs):
            yield from _check_answered(call, own_runs)
    yield from _check_channels(history)
    yield from _check_half_requests(history)


def _may_end(history, call, runs):
    """Return whether a request may end without an answer."""
    seconds = call.ended_at - call.sent_at
    if not call.ended_at or seconds > USED_TIME_SHARE * CALL_SECONDS:
        return True
    if not runs and seconds <= CROSSING_SECONDS:
        if _ends_with_router(history, call, 0.0, RESTART_SECONDS):
            return True
    since = USED_GRACE_SHARE * history.grace_seconds
    return _ends_with_router(history, call, since, records.EXIT_SLACK_SECONDS)


def _check_unanswered(call, runs):
    """A plain request is answered in time, if only with a failure."""
    seconds = call.ended_at - call.sent_at
    if call.kind in records.PLAIN_KINDS and seconds > UNANSWERED_SECONDS:
        yield records.Violation(
            'a request is answered in time', call.id, _describe(call, runs)
        )


def _check_answered(call, runs):
    """A request with time left is answered; a stream also by its endpoint."""
    detail = _describe(call, runs)
    if call.kind in records.PLAIN_KINDS and not call.complete:
        yield records.Violation('a request is answered', call.id, detail)
    if call.kind not in records.STREAM_KINDS:
        return
    if not call.complete:
        yield records.Violation('a sound stream is not cut', call.id, detail)
    elif runs and call.status in FAILURE_STATUSES:
        yield records.Violation(
            'a sound stream is waited for', call.id, detail
        )


def _describe(call, runs):
    events = ''
    if call.kind in records.STREAM_KINDS:
        events = f' after {len(call.events)} of {call.expected_events} events'
    endpoints = ', '.join(run.endpoint for run in runs) or 'no endpoint'
    return (
        f'{call.kind}, {call.status}{events} and'
        f' {call.ended_at - call.sent_at:.2f} s, {call.router},'
        f' ran at {endpoints}'
    )


def _check_channels(history):
    """Kept connections stay open within their idle limit."""
    if history.closed_channels and not history.terminations:
        yield records.Violation(
            'a kept connection stays open', '', str(history.closed_channels)
        )


def _check_half_requests(history):
    """A body that never arrives ends its request, with a typed error if any.

    None of them may run; that holds for all requests that are no calls.
    """
    for request in history.half_requests:
        if not request.is_ended:
            yield records.Violation(
                'a silent body ends its request', request.id, request.router
            )
        if not request.is_typed:
            yield records.Violation(
                'a silent body gets a typed error', request.id, request.router
            )


def _ends_with_router(history, call, since, until):
    """Return whether a request ended as its router shut down.

    `since` is in seconds from the signal, `until` from the router's exit.
    """
    return any(
        name == call.router
        and at + since <= call.ended_at <= at + seconds + until
        for name, at, seconds in history.terminations
    )
