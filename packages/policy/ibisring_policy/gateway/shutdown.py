"""When a process that received a shutdown request takes requests and exits.

All times count from a moment before which the request was surely not sent, so
that a process that handles it late takes requests for a shorter time, and
still exits before it is killed.
"""

__all__ = [
    'accept_seconds',
    'may_exit',
    'last_moment',
    'tell_moment',
    'share_of_rest',
    'ACCEPT_SECONDS',
]

# A load balancer that checks once a second and removes a router after two
# failed checks sends new connections for up to this time; they are served.
ACCEPT_SECONDS = 2.5
# Time reserved for closing down before the process is killed, and its largest
# share of the grace time: users count on the rest for answers under way.
MARGIN_SECONDS = 0.25
MARGIN_SHARE = 1 / 12
# Users count on this share of the grace time, however late the process runs.
SERVED_SHARE = 5 / 6
# A process that woke late once may do so at each of its last two waits.
LATE_WAKES = 2.0
# Time to tell the caller of an unanswered request that the process exits.
TELL_SECONDS = 0.005
# Longest time for a step after the decision to exit, its largest share of what
# is left until the process is killed, and its time in any case: the kill may
# come later than it is counted from the earliest moment of the request.
STEP_SECONDS = 1.0
STEP_SHARE = 0.4
MIN_STEP_SECONDS = 0.05


def accept_seconds(grace):
    """Return for how long requests are taken, in seconds from the request.

    Parameters
    ----------
    grace : float
        Seconds from the shutdown request until the process is killed.

    Examples
    --------
    >>> accept_seconds(8.0), accept_seconds(1.0)
    (2.5, 0.5)
    """
    return min(ACCEPT_SECONDS, grace / 2.0)


def last_moment(grace, handled=0.0, lateness=0.0):
    """Return when running requests are cut, in seconds from the request.

    Parameters
    ----------
    grace : float
        Seconds from the shutdown request until the process is killed.
    handled : float
        Longest time that may have passed until the request was handled.
    lateness : float
        Longest time by which the process woke too late meanwhile, in seconds.

    Examples
    --------
    >>> last_moment(8.0), last_moment(1.5), last_moment(8.0, lateness=0.25)
    (7.75, 1.375, 7.25)
    >>> last_moment(6.0, handled=0.5, lateness=2.0)
    5.5
    """
    latest = grace - min(MARGIN_SECONDS, MARGIN_SHARE * grace)
    earliest = handled + SERVED_SHARE * grace
    return min(latest, max(earliest, latest - LATE_WAKES * lateness))


def tell_moment(grace, unanswered, handled=0.0, lateness=0.0):
    """Return when callers are told of the exit, in seconds from the request.

    The more requests have no answer, the longer it takes to tell all callers.

    Parameters
    ----------
    grace : float
        Seconds from the shutdown request until the process is killed.
    unanswered : int
        Requests that were passed on and have no part of an answer.
    handled, lateness : float
        As for `last_moment`.

    Examples
    --------
    >>> tell_moment(8.0, 0), tell_moment(8.0, 40), tell_moment(6.0, 9000)
    (7.75, 7.55, 5.0)
    """
    last = last_moment(grace, handled, lateness)
    earliest = handled + SERVED_SHARE * grace
    return min(last, max(earliest, last - TELL_SECONDS * unanswered))


def may_exit(elapsed, under_way, grace, handled=0.0, lateness=0.0):
    """Whether to exit now.

    Parameters
    ----------
    elapsed : float
        Longest time that may have passed since the shutdown request.
    under_way : int
        Requests and connections taken from a socket and not done with.
    grace, handled, lateness : float
        As for `last_moment`.

    Examples
    --------
    >>> may_exit(1.0, 0, 8.0), may_exit(3.0, 0, 8.0), may_exit(3.0, 2, 8.0)
    (False, True, False)
    """
    if elapsed >= last_moment(grace, handled, lateness):
        return True
    # Load balancers can't know of it before it was handled.
    return elapsed >= handled + accept_seconds(grace) and under_way == 0


def share_of_rest(left):
    """Return the longest time for a step after the decision to exit.

    Parameters
    ----------
    left : float
        Seconds until the process is killed, at least.

    Examples
    --------
    >>> share_of_rest(5.0), share_of_rest(0.25), share_of_rest(-1.0)
    (1.0, 0.1, 0.05)
    """
    return max(MIN_STEP_SECONDS, min(STEP_SECONDS, STEP_SHARE * left))
