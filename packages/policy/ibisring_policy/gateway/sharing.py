"""Which routers read the store for the others of their failure domain.

A change that every router reads by itself costs as many calls as there are
routers.  A few in each failure domain follow the store and tell the others
what has changed; the others call it only where nobody does that for them.
Nothing is agreed on: each router goes by what it has heard, and where views
differ there is a reader more, or for a moment one less.
"""

__all__ = ['Standing', 'Role', 'role', 'readers', 'place']

import enum

from ibisring_policy.gateway import polling

# Two, so that the loss of one leaves nobody without a reader.
READERS = 2
# Seconds after which a router that was not heard reads for nobody; it tells
# each router of its domain something once a second.
SILENT_AFTER = 2.5
# Seconds for which a router that has just started listens for readers, where
# it knows of enough routers in its domain.
LISTEN_FIRST = 1.2


class Standing(enum.IntEnum):
    """How a router stands with the store, as it tells the others."""

    STARTING = 0
    LOST = 1
    SERVED = 2


class Role(enum.IntEnum):
    """What a router does about the store."""

    TOLD = 0
    READS = 1
    # The readers have lost the store: each router asks by itself.
    ASKS = 2


def role(own, standings):
    """Give a router's role.

    Parameters
    ----------
    own : str
        Its name.
    standings : dict of str to Standing
        Of the other routers of its domain that were heard lately.

    Returns
    -------
    Role

    Examples
    --------
    >>> served, lost = Standing.SERVED, Standing.LOST
    >>> role('c', {'a': served, 'b': served}).name
    'TOLD'
    >>> role('c', {'a': served, 'b': lost}).name
    'READS'
    >>> role('c', {'a': lost, 'b': lost}).name
    'ASKS'
    """
    values = list(standings.values())
    if values.count(Standing.LOST) >= READERS:
        return Role.ASKS
    if len(readers(own, standings)) < READERS:
        return Role.READS
    return Role.TOLD


def readers(own, standings):
    """Give the names of the routers that read before this one does."""
    served = [n for n, each in standings.items() if each is Standing.SERVED]
    return sorted(name for name in served if name < own)[:READERS]


def place(own_domain, rank, counts):
    """Give a reader's place among the readers of all failure domains.

    Parameters
    ----------
    own_domain : str
    rank : int
        Its place among the readers of its domain, from 0 on.
    counts : dict of str to int
        Running routers by failure domain.

    Returns
    -------
    polling.Fleet

    Examples
    --------
    >>> place('b', 1, {'a': 39, 'b': 39, 'c': 1})
    Fleet(callers=5, rank=3, running=79)
    """
    by_domain = {
        domain: min(READERS, count) for domain, count in counts.items()
    }
    before = sum(
        count for domain, count in by_domain.items() if domain < own_domain
    )
    callers = max(1, sum(by_domain.values()))
    running = max(callers, sum(counts.values()))
    return polling.Fleet(callers, min(before + rank, callers - 1), running)
