"""Which routers read the store for the others of their failure domain.

A change that every router reads by itself costs as many calls as there are
routers.  A few in each failure domain follow the store and tell the others
what has changed; the others call it only where nobody does that for them.
Nothing is agreed on: each router goes by what it has heard, and where views
differ there is a reader more, or for a moment one less.
"""

__all__ = [
    'StoreAccess',
    'Role',
    'Neighbour',
    'choose_role',
    'preferred_readers',
    'fleet_position',
]

import enum

from ibisring_policy.gateway import polling
import msgspec

# Two, so that the loss of one leaves nobody without a reader.
READERS_PER_DOMAIN = 2
# Seconds after which a router that was not heard reads for nobody; it tells
# each router of its domain something once a second.
PEER_TIMEOUT_SECONDS = 2.5
# Seconds for which a router that has just started, and has read everything
# once, listens for readers.
STARTUP_LISTEN_SECONDS = 1.2


class StoreAccess(enum.IntEnum):
    """How a router stands with the store, as it tells the others.

    One that has just started, or has seen a sign of trouble since the store
    last answered it, is unsure.
    """

    UNSURE = 0
    LOST = 1
    SERVED = 2


class Role(enum.IntEnum):
    """What a router does about the store."""

    TOLD = 0
    READS = 1
    # The readers have lost the store: each router asks by itself.
    ASKS = 2


class Neighbour(msgspec.Struct, frozen=True):
    """A router of one's own domain; `link` is its VM's, in Mbit/s.

    Those with the fastest links read: they get whole tables and send what
    has changed to all others.  `reads_store` says that the router calls the
    store, so that its status is what it has seen itself.
    """

    name: str
    store_access: StoreAccess
    link: float = 0.0
    reads_store: bool = False

    @property
    def order(self):
        """Sorts those that read before the others."""
        return -self.link, self.name


def choose_role(own, others):
    """Give a router's role.

    Parameters
    ----------
    own : Neighbour
        The router itself.
    others : list of Neighbour
        Those of its domain that were heard lately.

    Returns
    -------
    Role

    Examples
    --------
    >>> a, b, c = (Neighbour(name, StoreAccess.SERVED) for name in 'abc')
    >>> choose_role(c, [a, b]).name
    'TOLD'
    >>> choose_role(c, [a, Neighbour('b', StoreAccess.LOST)]).name
    'READS'
    >>> choose_role(Neighbour('c', StoreAccess.SERVED, 100.0), [a, b]).name
    'READS'
    """
    standings = [each.store_access for each in others]
    if standings.count(StoreAccess.LOST) >= READERS_PER_DOMAIN:
        # A store that turns some routers away still serves the others, who
        # then need not all ask it.
        served = [e for e in (own, *others) if e.reads_store and _is_served(e)]
        if len(served) < READERS_PER_DOMAIN:
            return Role.ASKS
    if len(preferred_readers(own, others)) < READERS_PER_DOMAIN:
        return Role.READS
    return Role.TOLD


def preferred_readers(own, others):
    """Give the routers that read before this one does."""
    before = [e for e in others if _is_served(e) and e.order < own.order]
    return sorted(before, key=lambda each: each.order)[:READERS_PER_DOMAIN]


def _is_served(neighbour):
    return neighbour.store_access is StoreAccess.SERVED


def fleet_position(own_domain, rank, counts):
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
    >>> fleet_position('b', 1, {'a': 39, 'b': 39, 'c': 1})
    Fleet(callers=5, rank=3, running=79)
    """
    by_domain = {
        domain: min(READERS_PER_DOMAIN, count)
        for domain, count in counts.items()
    }
    before = sum(
        count for domain, count in by_domain.items() if domain < own_domain
    )
    callers = max(1, sum(by_domain.values()))
    running = max(callers, sum(counts.values()))
    return polling.Fleet(callers, min(before + rank, callers - 1), running)
