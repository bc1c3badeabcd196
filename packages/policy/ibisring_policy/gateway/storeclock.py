"""How old an answer of the store is, by the store's own clock.

The store puts the time of its steady clock into each answer.  Routers pass
that time on with what they read, so that the age of what a router was told
counts all delays on the way: of a slow reader, of its links, of a message
that waited in a queue.  No clocks of two machines are compared.
"""

__all__ = ['StoreClock', 'make_store_clock']

import math

MS_PER_SECOND = 1000.0
# Largest difference between the rates of two steady clocks.
MAX_DRIFT = 2e-4
# The store gives whole milliseconds.
ROUNDING_SECONDS = 0.002


class StoreClock:
    """Latest time that the store's clock may show, seen from one router.

    An answer was made after its call began.  The store's clock is therefore
    ahead of the answer's time by at most the time since the call began; the
    shortest call gives the closest bound, which drift then widens.

    Attributes
    ----------
    offset : float
        Seconds by which the store's clock is ahead of this router's at most,
        at `measured_at`.

    Examples
    --------
    >>> clock = make_store_clock()
    >>> clock.age(5000, 10.0)
    inf
    >>> clock.measured(5000, 10.0, 10.1)
    >>> clock.measured(6100, 11.0, 11.2)
    >>> [round(clock.age(5000, now), 2) for now in (10.2, 12.0)]
    [0.2, 2.0]
    >>> clock.age(9000, 12.0)
    inf
    """

    __slots__ = ('offset', 'measured_at')

    def __init__(self):
        self.offset = math.inf
        self.measured_at = 0.0

    def reset(self):
        """Forget all answers: another store continues from a copy."""
        self.offset = math.inf

    def measured(self, store_ms, began_at, answered_at):
        """Record the store's time in an answer to a call.

        Parameters
        ----------
        store_ms : int
        began_at, answered_at : float
            When the call began and ended, by this router's clock in seconds.
        """
        offset = store_ms / MS_PER_SECOND - began_at
        has_jumped = math.isinf(self.age(store_ms, answered_at))
        if has_jumped or offset < self._offset_at(began_at):
            self.offset = offset
            self.measured_at = began_at

    def age(self, store_ms, now):
        """Return how many seconds ago the store's clock showed a time.

        The age is never less than the true one.  It is infinite before an
        answer, and for a time that the clock can't have shown yet.
        """
        age = now + self._offset_at(now) - store_ms / MS_PER_SECOND
        return max(0.0, age) if age >= -ROUNDING_SECONDS else math.inf

    def _offset_at(self, now):
        return self.offset + MAX_DRIFT * abs(now - self.measured_at)


def make_store_clock():
    """Make a `StoreClock` that has seen no answer."""
    return StoreClock()
