"""How long the answers of each route took lately.

A process that exits soon takes no request that can't be answered by then.
"""

__all__ = ['Durations', 'make_durations']

import collections

# Answers of a route that are kept, the least that show how long one takes, and
# how long each counts.
MAX_ANSWERS = 16
MIN_ANSWERS = 3
ANSWER_AGE_SECONDS = 60.0


class Durations:
    """The latest answers by route.

    Examples
    --------
    >>> durations = make_durations()
    >>> for seconds in (3.0, 2.5, 4.0):
    ...     durations.note('r', seconds, 10.0)
    >>> durations.fits('r', 2.0, 11.0), durations.fits('r', 2.6, 11.0)
    (False, True)
    """

    def __init__(self):
        self.by_route = {}

    def note(self, route, seconds, now):
        """Note how long an answer took, from the request to its last byte."""
        answers = self.by_route.get(route)
        if answers is None:
            answers = collections.deque(maxlen=MAX_ANSWERS)
            self.by_route[route] = answers
        answers.append((now, seconds))

    def retain(self, routes):
        """Forget the other routes."""
        for name in set(self.by_route) - set(routes):
            del self.by_route[name]

    def fits(self, route, seconds, now):
        """Return whether an answer may come within some seconds.

        As the shortest of the latest answers tells: a refusal is wrong where
        the request could have been served.
        """
        recent = [
            taken
            for at, taken in list(self.by_route.get(route, ()))
            if now - at < ANSWER_AGE_SECONDS
        ]
        if len(recent) < MIN_ANSWERS:
            return True
        return min(recent) <= seconds


def make_durations():
    """Make `Durations` without any answer."""
    return Durations()
