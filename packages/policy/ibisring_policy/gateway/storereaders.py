"""Which routers read the store for the others of their failure domain.

A change that every router reads by itself costs as many calls as there are
routers.  Instead, a few readers in each failure domain follow the store and
send what has changed to the others, which call it only if there are too few
readers.  There is no agreement protocol: each router decides by the messages
it has received, and while views differ there may be a reader too many, or for
a moment one too few.
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

# Two, so that the loss of one leaves no router without a reader.
READERS_PER_DOMAIN = 2
# Time without a message after which a router does not count as a reader; each
# router sends to the others of its domain once a second.
PEER_TIMEOUT_SECONDS = 2.5
# How long a router that has just started, and has read all tables once, waits
# for messages from readers.
STARTUP_LISTEN_SECONDS = 1.2


class StoreAccess(enum.IntEnum):
    """Whether the store answers a router, as it reports to the others.

    A router that has just started, or has seen a sign of an outage since the
    last answer, is unsure.
    """

    UNSURE = 0
    LOST = 1
    SERVED = 2


class Role(enum.IntEnum):
    """How a router learns of changes in the store."""

    # It relies on the readers.
    TOLD = 0
    # It is a reader.
    READS = 1
    # The readers have lost the store: each router calls it by itself.
    ASKS = 2


class Neighbour(msgspec.Struct, frozen=True):
    """A router of the own domain; `link` is the bandwidth of its VM in Mbit/s.

    Those with the fastest links become readers: they receive whole tables and
    send what has changed to all others.  `reads_store` says that the router
    calls the store, so that `store_access` is based on calls of its own.
    """

    name: str
    store_access: StoreAccess
    link: float = 0.0
    reads_store: bool = False

    @property
    def order(self):
        """Sort key of routers: preferred readers come first."""
        return -self.link, self.name


def choose_role(own, others):
    """Return a router's role.

    Parameters
    ----------
    own : Neighbour
        The router itself.
    others : list of Neighbour
        Those of its domain with recent messages.

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
    accesses = [each.store_access for each in others]
    if accesses.count(StoreAccess.LOST) >= READERS_PER_DOMAIN:
        # A store that rejects some routers may still serve others.  With
        # enough readers among these, not all need to call it.
        served = [e for e in (own, *others) if e.reads_store and _is_served(e)]
        if len(served) < READERS_PER_DOMAIN:
            return Role.ASKS
    if len(preferred_readers(own, others)) < READERS_PER_DOMAIN:
        return Role.READS
    return Role.TOLD


def preferred_readers(own, others):
    """Return the routers that are readers in preference to this one."""
    before = [e for e in others if _is_served(e) and e.order < own.order]
    return sorted(before, key=lambda each: each.order)[:READERS_PER_DOMAIN]


def _is_served(neighbour):
    return neighbour.store_access is StoreAccess.SERVED


def fleet_position(own_domain, rank, counts):
    """Return a reader's position among the readers of all failure domains.

    Parameters
    ----------
    own_domain : str
    rank : int
        Its position among the readers of its domain, from 0.
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
