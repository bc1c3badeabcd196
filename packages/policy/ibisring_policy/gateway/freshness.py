"""How old what a router knows of the store may be, and who reads it when.

A router that relies on others can't tell a quiet store from a reader that is
lost, frozen, slow or cut off: in each case nothing arrives.  So it goes by
the age of what it knows, and reads the store itself once that is too old.
"""

__all__ = ['USUAL_BOUND_MS', 'Freshness', 'make_freshness']

MS_PER_SECOND = 1000.0
# Time within which changes must take effect unless the settings say it.
USUAL_BOUND_MS = 2000.0
# A shorter bound can't be kept where a call takes a quarter of a second.
MIN_BOUND_SECONDS = 0.4
# Share of the times in the settings within which each change is to be known;
# the rest is for requests that were received just before.
BOUND_SHARE = 0.75
# Shares of that bound.  Time between two reads of a table by all readers
# together, age at which a router reads it itself, and the time over which
# routers whose knowledge is equally old do so: the first ones tell the others.
# What is left is for the call, which takes up to 0.25 s at a slow store.
READ_SHARE = 0.42
MAX_AGE_SHARE = 0.66
SPREAD_SHARE = 0.12


class Freshness:
    """Times in seconds that follow from the bound on a change.

    Attributes
    ----------
    bound : float
        Time after the store has a change within which all routers know it.
    read_interval : float
        Time between two reads of a table by all readers together, where some
        routers rely on them.
    max_age : float
        Age at which the first of these reads the table itself.
    spread : float
        Time over which they begin to do so.

    Examples
    --------
    >>> limits = make_freshness(2000.0, 4000.0)
    >>> limits.bound, round(limits.max_age, 3), round(limits.spread, 3)
    (1.5, 0.99, 0.18)
    """

    __slots__ = ('bound', 'read_interval', 'max_age', 'spread')

    def __init__(self, bound):
        self.bound = bound
        self.read_interval = READ_SHARE * bound
        self.max_age = MAX_AGE_SHARE * bound
        self.spread = SPREAD_SHARE * bound

    def seconds_left(self, age, draw):
        """Return the time until a router must read a table itself.

        Parameters
        ----------
        age : float
            Of what it knows of the table, in seconds.
        draw : float
            Its place in the order of those that read, from 0 to 1.
        """
        return self.max_age + self.spread * draw - age


def make_freshness(*bounds_ms):
    """Make the `Freshness` that keeps the shortest of some bounds.

    Parameters
    ----------
    *bounds_ms : float
        Milliseconds within which changes must take effect.
    """
    bound = BOUND_SHARE * min(bounds_ms) / MS_PER_SECOND
    return Freshness(max(MIN_BOUND_SECONDS, bound))
