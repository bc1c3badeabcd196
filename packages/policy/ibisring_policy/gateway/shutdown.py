"""When a process that received a shutdown request may exit."""

__all__ = ['may_exit', 'last_moment', 'ACCEPT_SECONDS']

# A load balancer that checks once a second and removes a router after two
# failed checks sends new connections for up to this time; they are served.
ACCEPT_SECONDS = 2.5
# Time reserved for closing down before the process is killed, and its largest
# share of the grace time: users count on the rest for answers under way.
MARGIN_SECONDS = 0.25
MARGIN_SHARE = 1 / 12


def last_moment(grace):
    """Return when running requests are cut, in seconds from the request.

    Parameters
    ----------
    grace : float
        Seconds from the shutdown request until the process is killed.

    Examples
    --------
    >>> last_moment(8.0), last_moment(1.5)
    (7.75, 1.375)
    """
    return grace - min(MARGIN_SECONDS, MARGIN_SHARE * grace)


def may_exit(elapsed, active, grace):
    """Whether to exit now.

    Parameters
    ----------
    elapsed : float
        Seconds since the shutdown request.
    active : int
        Running requests.
    grace : float
        Seconds from the shutdown request until the process is killed.

    Examples
    --------
    >>> may_exit(1.0, 0, 8.0), may_exit(3.0, 0, 8.0), may_exit(3.0, 2, 8.0)
    (False, True, False)
    """
    if elapsed >= last_moment(grace):
        return True
    return elapsed >= min(ACCEPT_SECONDS, grace / 2.0) and active == 0
