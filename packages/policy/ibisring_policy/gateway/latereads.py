"""Whether a passed time limit shows that an endpoint was silent.

In a process that gets no processor time, a limit passes while what the
endpoint has sent waits to be read.  Who reads late must read that first.
"""

__all__ = ['is_over', 'is_shown']

# Running time in which a thread reads what has arrived.  Input that is never
# read up, such as a line without an end, must not hold off a limit for longer.
READ_SECONDS = 0.1
# Running time in which a thread that has read something notes it, and the
# span before in which the process must have run without a stall to do so at
# once.
NOTE_SECONDS = 0.02
RECENT_SECONDS = 0.2
# Bound on the time for which a limit is held off.
MAX_SECONDS = 1.0
# Bound on the time after the deadline of a request: callers count one that
# ends 0.5 s after it as overdue.
MAX_OVERTIME_SECONDS = 0.4
# Span before a deadline whose longest stall may come again, and the time by
# which a stall may exceed its measured length: the stall clock's tick, and the
# pause before the next look at the attempt.
STALL_SPAN_SECONDS = 3.0
STALL_MARGIN_SECONDS = 0.06


def is_shown(limit_at, now, has_input, health):
    """Return whether an endpoint was silent up to a time limit.

    Parameters
    ----------
    limit_at, now : float
        When the limit passed, and the present time.
    has_input : bool
        Whether something of the endpoint waits to be read.
    health : localhealth.LocalHealth

    Returns
    -------
    bool

    Examples
    --------
    >>> from ibisring_policy.gateway import localhealth
    >>> health = localhealth.make_local_health()
    >>> is_shown(10.0, 10.0, False, health)
    True
    >>> is_shown(10.0, 10.0, True, health)
    False
    """
    if now - limit_at >= MAX_SECONDS:
        return True
    ran = health.running_seconds(limit_at, now)
    if has_input:
        return ran >= READ_SECONDS
    if health.lateness(min(limit_at, now) - RECENT_SECONDS, now):
        return ran >= NOTE_SECONDS
    return True


def is_over(deadline, now, has_input, health):
    """Return whether an attempt ends, after its deadline.

    Input is read first, but not at the price of `MAX_OVERTIME_SECONDS`.  In a
    process that stalled before the deadline, another stall as long must still
    fit in.  After a first stall, threads get a moment to read all the same.
    What has arrived by then stays readable after a shutdown of the connection.

    Parameters
    ----------
    deadline, now : float
    has_input : bool
        Whether something of the endpoint waits to be read.
    health : localhealth.LocalHealth

    Returns
    -------
    bool

    Examples
    --------
    >>> from ibisring_policy.gateway import localhealth
    >>> health = localhealth.make_local_health()
    >>> is_over(10.0, 10.0, True, health)
    False
    >>> is_over(10.0, 10.0, False, health)
    True
    """
    left = deadline + MAX_OVERTIME_SECONDS - now
    begin = deadline - STALL_SPAN_SECONDS
    if left <= _next_stall(health, begin, deadline):
        return True
    if left <= _next_stall(health, begin, now):
        return health.running_seconds(deadline, now) >= NOTE_SECONDS
    return is_shown(deadline, now, has_input, health)


def _next_stall(health, begin, end):
    """Return for how long a process may stall that has stalled before."""
    stall = health.longest_stall(begin, end)
    return stall + STALL_MARGIN_SECONDS if stall else 0.0
