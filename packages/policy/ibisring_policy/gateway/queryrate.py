"""A bound on the status queries that all routers together send an engine.

Routers that find an engine silent ask it, and the more so the longer it is
silent.  What they ask takes processor time that it may lack already: sound
engines of a busy machine then stay silent because they are asked.  So each
router has a token bucket [1]_ for each engine, filled at its equal part of a
rate for all routers.  An answer gives its token back: only queries that stay
unanswered count, and an engine that answers slowly is asked as often as it
answers.

References
----------
.. [1] J. Turner, "New Directions in Communications (or Which Way to the
   Information Age?)", IEEE Communications Magazine 24(10), 1986.
"""

__all__ = ['QueryRate', 'make_query_rate']

# Unanswered queries to an engine per second, of all routers.
FLEET_QUERIES_PER_SECOND = 10.0
# Unanswered queries that a router may send without a pause: two that find an
# engine silent, one that proves its loss, and one that finds it recovered.
BURST = 4.0


class QueryRate:
    """Token buckets of one router, by engine; the caller holds a lock.

    Attributes
    ----------
    routers : int
        Running routers, this one included.
    buckets : dict of str to (float, float)
        Tokens left, and when that was computed; full ones may be missing.

    Examples
    --------
    >>> rate = make_query_rate()
    >>> rate.routers = 40
    >>> for _ in range(4):
    ...     rate.take('e1', now=1.0)
    >>> rate.wait_seconds('e1', now=1.0)
    4.0
    >>> rate.give_back('e1', now=1.0)
    >>> rate.wait_seconds('e1', now=1.0)
    0.0
    """

    __slots__ = ('routers', 'buckets')

    def __init__(self):
        self.routers = 1
        self.buckets = {}

    def wait_seconds(self, name, now):
        """Return the seconds until an engine may be asked, 0 for now."""
        missing = 1.0 - self._tokens(name, now)
        return max(0.0, missing / self._tokens_per_second())

    def take(self, name, now):
        """Record that an engine is asked; this may leave less than none."""
        self.buckets[name] = self._tokens(name, now) - 1.0, now

    def give_back(self, name, now):
        """Record that an engine has answered."""
        tokens = min(BURST, self._tokens(name, now) + 1.0)
        self.buckets[name] = tokens, now

    def retain(self, names):
        """Forget other engines."""
        self.buckets = {n: b for n, b in self.buckets.items() if n in names}

    def _tokens_per_second(self):
        return FLEET_QUERIES_PER_SECOND / max(1, self.routers)

    def _tokens(self, name, now):
        tokens, at = self.buckets.get(name, (BURST, now))
        gained = max(0.0, now - at) * self._tokens_per_second()
        return min(BURST, tokens + gained)


def make_query_rate():
    """Make a `QueryRate` of a router that knows of no other."""
    return QueryRate()
