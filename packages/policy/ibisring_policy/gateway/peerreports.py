"""Which routers run, from what they tell.

Each router of a failure domain tells all others there; of the other domains
it hears some routers, and how many run in each.
"""

__all__ = ['PeerReport', 'PeerReports', 'make_peer_reports']

import math

from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import storereaders
import msgspec

# Seconds for which a router counts as running after it was heard, and for
# which the number that another domain tells counts.  A router tells those of
# its own domain something five times in this, so that of datagrams of which a
# third is lost at least one comes.
ROUTER_TIMEOUT_SECONDS = 4.4
# Seconds after its start in which a router has not heard all of its domain.
COUNT_WARMUP_SECONDS = 2.0
# Seconds for which what a router knows of the store counts.
STORE_STATUS_SECONDS = 2.5
SECOND_MS = 1000.0
# Of a domain of which nothing was told: when that was, and how many run.
_NEVER = (-math.inf, 0)


class PeerReport(msgspec.Struct, kw_only=True):
    """What another router told last; `received_at` is when, in seconds.

    `neighbour` is None for a release that does not tell it.
    """

    name: str
    domain: str
    received_at: float
    store_status: layerorders.StoreStatus
    neighbour: storereaders.Neighbour | None = None

    @property
    def has_seen_store(self):
        """Whether what it says of the store is what it has seen itself."""
        known = self.neighbour
        if (
            known is None
            or known.store_access is not storereaders.StoreAccess.SERVED
        ):
            return True
        return known.reads_store


class PeerReports:
    """What one router has heard of the others.

    Parameters
    ----------
    name, domain : str
        The router itself.
    started_at : float

    Examples
    --------
    >>> hearing = make_peer_reports('r1', 'a', 0.0)
    >>> lost = layerorders.StoreStatus.LOST
    >>> for name, domain in (('r2', 'a'), ('r3', 'b')):
    ...     report = PeerReport(
    ...         name=name, domain=domain, received_at=9.0, store_status=lost
    ...     )
    ...     hearing.receive(report)
    >>> hearing.receive_counts({'b': (39, 500)}, 'b', 9.0)
    >>> hearing.router_counts(10.0)
    {'a': 2, 'b': 39}
    >>> hearing.router_counts(15.0)
    {'a': 1}
    """

    def __init__(self, name, domain, started_at):
        self.name = name
        self.domain = domain
        self.started_at = started_at
        self.by_name = {}
        self.told_counts = {}
        self.first_hand = {}

    def receive(self, heard):
        """Note what a router told; give what it told before, or None."""
        before = self.by_name.get(heard.name)
        self.by_name[heard.name] = heard
        return before

    def receive_counts(self, counts, teller, now):
        """Take the newest word of how many routers run in each domain.

        Only what a router says of its own domain is passed on: each hop
        makes word look younger by its delay, so that it would go round for
        as long as there are routers.

        Parameters
        ----------
        counts : dict of str to (int, int)
            By failure domain, how many run and how many milliseconds ago one
            of them said so.
        teller : str
            Domain of the router that tells it.
        now : float
        """
        for domain, (count, age_ms) in counts.items():
            said_at = now - age_ms / SECOND_MS
            if said_at > self.told_counts.get(domain, _NEVER)[0]:
                self.told_counts[domain] = said_at, count
            if domain == teller:
                self.first_hand[domain] = said_at, count

    def lately(self, now, within=ROUTER_TIMEOUT_SECONDS):
        """Give what was heard within some seconds.

        Returns
        -------
        list of PeerReport
        """
        everyone = list(self.by_name.values())
        return [
            heard for heard in everyone if now - heard.received_at < within
        ]

    def near(self, now, within=ROUTER_TIMEOUT_SECONDS):
        """Give what was heard of the own domain within some seconds."""
        lately = self.lately(now, within)
        return [heard for heard in lately if heard.domain == self.domain]

    def neighbours(self, now):
        """Give the routers of the own domain that may read the store.

        Returns
        -------
        list of storereaders.Neighbour
        """
        near = self.near(now, storereaders.PEER_TIMEOUT_SECONDS)
        return [heard.neighbour for heard in near if heard.neighbour]

    def store_statuses(self, now):
        """Give what the routers heard lately know of the store.

        One that leaves reading to others and has noticed nothing knows
        nothing.

        Returns
        -------
        dict of str to layerorders.StoreStatus
        """
        lately = self.lately(now, STORE_STATUS_SECONDS)
        return {h.name: h.store_status for h in lately if h.has_seen_store}

    def router_counts(self, now):
        """Give the running routers by failure domain, this one included.

        Of the other domains either some router has told the number, or only
        those that were heard are known.
        """
        counts = {self.domain: 1}
        for heard in self.lately(now):
            counts[heard.domain] = counts.get(heard.domain, 0) + 1
        for domain, count in self._young(self.told_counts, now).items():
            counts[domain] = count[1]
        return counts

    def counts_to_send(self, now):
        """Give the counts of routers that `receive_counts` takes."""
        found = {
            domain: (count, int((now - at) * SECOND_MS))
            for domain, (at, count) in self._young(
                self.first_hand, now
            ).items()
        }
        if now - self.started_at >= COUNT_WARMUP_SECONDS:
            found[self.domain] = 1 + len(self.near(now)), 0
        return found

    def _young(self, told, now):
        """Leave out the own domain, and what is too old."""
        return {
            domain: (at, count)
            for domain, (at, count) in list(told.items())
            if domain != self.domain and now - at < ROUTER_TIMEOUT_SECONDS
        }

    def rank(self, now):
        """Give how many running routers come before this one by name."""
        return sum(1 for h in self.lately(now) if h.name < self.name)


def make_peer_reports(name, domain, started_at):
    """Make a `PeerReports` that has heard nobody yet."""
    return PeerReports(name, domain, started_at)
