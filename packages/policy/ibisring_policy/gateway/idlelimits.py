"""Time for which callers' idle connections are kept as the limit changes."""

__all__ = ['IdleLimits', 'make_idle_limits']

# Callers may go by a limit this long after another has replaced it: the
# configuration reaches them and the routers at different times.
OVERLAP_SECONDS = 30.0
# Closing a connection later than callers stop using it avoids closing one on
# which a request is about to arrive.
MARGIN_SECONDS = 1.0


class IdleLimits:
    """The limits by which callers may go; times in seconds.

    Parameters
    ----------
    seconds : float
        The first limit.

    Examples
    --------
    >>> limits = make_idle_limits(15.0)
    >>> limits.change(2.0, now=100.0)
    >>> limits.longest(now=120.0), limits.longest(now=140.0)
    (15.0, 2.0)
    """

    __slots__ = ('current', 'former')

    def __init__(self, seconds):
        self.current = seconds
        # Pairs of a replaced limit and the time until which it counts.
        self.former = ()

    def change(self, seconds, now):
        """Replace the limit.

        Parameters
        ----------
        seconds : float
        now : float
        """
        if seconds == self.current:
            return
        kept = tuple(pair for pair in self.former if pair[1] > now)
        self.former = (*kept, (self.current, now + OVERLAP_SECONDS))
        self.current = seconds

    def longest(self, now):
        """Return the longest limit by which a caller may go."""
        former = [seconds for seconds, end in self.former if end > now]
        return max([self.current, *former])

    def is_expired(self, last_used, limit, now):
        """Return whether an idle connection may be closed.

        Parameters
        ----------
        last_used : float
        limit : float
            The longest limit when the connection was last used.
        now : float
        """
        allowed = max(limit, self.longest(now)) + MARGIN_SECONDS
        return now - last_used > allowed


def make_idle_limits(seconds):
    """Make `IdleLimits` with a first limit."""
    return IdleLimits(seconds)
