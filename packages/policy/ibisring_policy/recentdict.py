"""A mapping of bounded size."""

__all__ = ['RecentDict', 'MAX_ROUTERS']

import itertools
import operator

# Routers, or their failure domains, of which one router keeps something: more
# than any fleet has.
MAX_ROUTERS = 2000


class RecentDict(dict):
    """Keeps the items that were set last.

    Keys that others choose, such as names of routers in datagrams, would
    otherwise fill the memory.  Other threads may read it meanwhile: setting a
    known key changes neither size nor order.

    Parameters
    ----------
    max_items : int

    Examples
    --------
    >>> found = RecentDict(2)
    >>> for name in ('r1', 'r2', 'r1', 'r3'):
    ...     found[name] = 0
    >>> list(found)
    ['r1', 'r3']
    """

    def __init__(self, max_items=MAX_ROUTERS):
        super().__init__()
        self.max_items = max_items
        self.numbers = itertools.count()
        self.set_by_key = {}

    def __setitem__(self, key, value):
        self.set_by_key[key] = next(self.numbers)
        super().__setitem__(key, value)
        if len(self) > self.max_items:
            items = list(self.set_by_key.items())
            oldest = min(items, key=operator.itemgetter(1))[0]
            self.pop(oldest, None)
            self.set_by_key.pop(oldest, None)
