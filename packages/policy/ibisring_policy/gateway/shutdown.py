"""When a process that was told to end may do so."""

__all__ = ['may_exit', 'ACCEPT_SECONDS']

# A balancer that asks each second and believes two bad answers sends new
# connections for up to this many seconds more; they are served as usual.
ACCEPT_SECONDS = 2.5
# Before the forced end of the process, in seconds: time to close down.
MARGIN = 0.6


def may_exit(elapsed, active, grace):
    """Say whether to end now.

    Parameters
    ----------
    elapsed : float
        Seconds since the request to end.
    active : int
        Requests under way.
    grace : float
        Seconds between that request and the forced end.

    Examples
    --------
    >>> may_exit(1.0, 0, 8.0), may_exit(3.0, 0, 8.0), may_exit(3.0, 2, 8.0)
    (False, True, False)
    """
    if elapsed >= grace - MARGIN:
        return True
    return elapsed >= min(ACCEPT_SECONDS, grace / 2.0) and active == 0
