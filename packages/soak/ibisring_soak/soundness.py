"""Checks that streams of sound endpoints are not ended while they pause."""

__all__ = ['check_streams']

from ibisring_soak import records

# Statuses that a router puts in place of an answer.
FAILURE_STATUSES = (500, 502, 504)
# Share of a request's time, and of the grace time, after which what has not
# ended may be broken off.
USED_TIME_SHARE = 0.7
USED_GRACE_SHARE = 5 / 6
CALL_SECONDS = 8.0
# Time in which a request on a kept connection may cross the router's close.
CROSSING_SECONDS = 0.5


def check_streams(history, runs):
    """Find the streams that a router ended though their endpoints went on.

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
        if call.kind in records.STREAM_KINDS and not call.abandoned:
            yield from _check_stream(history, call, runs.get(call.id, []))


def _check_stream(history, call, runs):
    """A stream with time left is neither cut nor answered with a failure."""
    seconds = call.ended_at - call.sent_at
    if not call.ended_at or seconds > USED_TIME_SHARE * CALL_SECONDS:
        return
    if not runs and seconds <= CROSSING_SECONDS:
        return
    if _is_at_end_of_grace(history, call):
        return
    detail = (
        f'{call.kind}, {call.status} after {len(call.events)} of'
        f' {call.expected_events} events and {seconds:.2f} s, {call.router},'
        f' ran at {", ".join(run.endpoint for run in runs) or "no endpoint"}'
    )
    if not call.complete:
        yield records.Violation('a sound stream is not cut', call.id, detail)
    elif runs and call.status in FAILURE_STATUSES:
        yield records.Violation(
            'a sound stream is waited for', call.id, detail
        )


def _is_at_end_of_grace(history, call):
    return any(
        name == call.router
        and at + USED_GRACE_SHARE * history.grace_seconds
        <= call.ended_at
        <= at + seconds + records.EXIT_SLACK_SECONDS
        for name, at, seconds in history.terminations
    )
