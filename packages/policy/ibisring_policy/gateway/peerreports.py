"""Which routers run, judged by the gossip messages received from them.

Each router of a failure domain sends to all others there.  From the other
domains it receives messages of some routers, and the number that run in each.
"""

__all__ = ['PeerReport', 'PeerReports', 'make_peer_reports']

import math

from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import localhealth
from ibisring_policy.gateway import relays
from ibisring_policy.gateway import storereaders
from ibisring_policy import recentdict
import msgspec

# How long a router counts as running after its last message, and how long the
# number reported for another domain is used.  A router sends to those of its
# own domain five times in this period, so that at least one datagram arrives
# where a third of them is lost.
ROUTER_TIMEOUT_SECONDS = 4.4
# Time after its start in which a router has not received messages from all
# routers of its domain.
COUNT_WARMUP_SECONDS = 2.0
# How long a router's report of the store is used.
STORE_STATUS_SECONDS = 2.5
# How long a router of any domain is told what others read, after its last
# message: in a large fleet a pair of far routers meets three times in this.
TOLD_SECONDS = 60.0
MS_PER_SECOND = 1000.0
# Default for a domain without a reported number: report time and number.
_NO_REPORT = (-math.inf, 0)


class PeerReport(msgspec.Struct, kw_only=True):
    """What another router last sent; `received_at` is in seconds.

    `neighbour` and `relay_state` are None for a release that does not send
    them; `is_told` says whether it relies on others to read the store.
    """

    name: str
    domain: str
    received_at: float
    store_status: layerorders.StoreStatus
    neighbour: storereaders.Neighbour | None = None
    relay_state: relays.PeerState | None = None
    is_told: bool = False

    @property
    def is_cut_off(self):
        """Whether it reaches no endpoint of some service."""
        return self.relay_state is not None and bool(self.relay_state.cut_from)

    @property
    def has_seen_store(self):
        """Whether its store status is based on calls of its own."""
        known = self.neighbour
        if (
            known is None
            or known.store_access is not storereaders.StoreAccess.SERVED
        ):
            return True
        return known.reads_store


class PeerReports:
    """The last reports that one router received from the others.

    Parameters
    ----------
    name, domain : str
        The router itself.
    started_at : float
    health : localhealth.LocalHealth
        The time does not count for which this router stood still: what the
        others sent since then has not been received yet.

    Examples
    --------
    >>> reports = make_peer_reports('r1', 'a', 0.0)
    >>> lost = layerorders.StoreStatus.LOST
    >>> for name, domain in (('r2', 'a'), ('r3', 'b')):
    ...     report = PeerReport(
    ...         name=name, domain=domain, received_at=9.0, store_status=lost
    ...     )
    ...     reports.receive(report)
    >>> reports.receive_counts({'b': (39, 500)}, 'b', 9.0)
    >>> reports.router_counts(10.0)
    {'a': 2, 'b': 39}
    >>> reports.router_counts(15.0)
    {'a': 1}
    """

    def __init__(self, name, domain, started_at, health):
        self.name = name
        self.domain = domain
        self.started_at = started_at
        self.health = health
        self.by_name = recentdict.RecentDict()
        self.reported_counts = recentdict.RecentDict()
        self.first_hand_counts = recentdict.RecentDict()

    def receive(self, report):
        """Record a report; return the previous one of that router or None."""
        before = self.by_name.get(report.name)
        self.by_name[report.name] = report
        return before

    def receive_counts(self, counts, sender_domain, now):
        """Record the latest numbers of running routers by failure domain.

        Only what a router reports of its own domain is forwarded.  Each hop
        makes a number look younger by its delay, so that a number forwarded
        at second hand would circulate for as long as there are routers.

        Parameters
        ----------
        counts : dict of str to (int, int)
            By failure domain, how many run and how many milliseconds ago one
            of them reported so.
        sender_domain : str
            Domain of the router that sent the numbers.
        now : float
        """
        for domain, (count, age_ms) in counts.items():
            reported_at = now - age_ms / MS_PER_SECOND
            if reported_at > self.reported_counts.get(domain, _NO_REPORT)[0]:
                self.reported_counts[domain] = reported_at, count
            if domain == sender_domain:
                self.first_hand_counts[domain] = reported_at, count

    def recent(self, now, within=ROUTER_TIMEOUT_SECONDS):
        """Return the reports received within some seconds.

        Returns
        -------
        list of PeerReport
        """
        reports = list(self.by_name.values())
        since = self.health.span_start(within, now)
        return [each for each in reports if each.received_at > since]

    def recent_in_domain(self, now, within=ROUTER_TIMEOUT_SECONDS):
        """Return the recent reports of routers of the own domain."""
        recent = self.recent(now, within)
        return [each for each in recent if each.domain == self.domain]

    def told_routers(self, now):
        """Return the routers that wait for what others read of the store.

        Those of other failure domains are among them.

        Returns
        -------
        list of PeerReport
        """
        recent = self.recent(now, TOLD_SECONDS)
        return [each for each in recent if each.is_told]

    def neighbours(self, now):
        """Return the routers of the own domain that may read the store.

        Returns
        -------
        list of storereaders.Neighbour
        """
        recent = self.recent_in_domain(now, storereaders.PEER_TIMEOUT_SECONDS)
        return [each.neighbour for each in recent if each.neighbour]

    def store_statuses(self, now):
        """Return what other routers recently saw of the store, by name.

        A router that relies on readers and has seen no outage is left out,
        since it does not call the store itself; so is one that reaches no
        endpoint of some service, since its orders may reach none.

        Returns
        -------
        dict of str to layerorders.StoreStatus
        """
        recent = self.recent(now, STORE_STATUS_SECONDS)
        return {
            report.name: report.store_status
            for report in recent
            if report.has_seen_store and not report.is_cut_off
        }

    def router_counts(self, now):
        """Return the running routers by failure domain, this one included.

        For another domain that is the number reported by a router, or else
        the number of its routers with a recent report.
        """
        counts = {self.domain: 1}
        for report in self.recent(now):
            counts[report.domain] = counts.get(report.domain, 0) + 1
        for domain, count in self._unexpired(
            self.reported_counts, now
        ).items():
            counts[domain] = count[1]
        return counts

    def counts_to_send(self, now):
        """Return the counts of routers that `receive_counts` takes."""
        counts = {
            domain: (count, int((now - at) * MS_PER_SECOND))
            for domain, (at, count) in self._unexpired(
                self.first_hand_counts, now
            ).items()
        }
        if now - self.started_at >= COUNT_WARMUP_SECONDS:
            counts[self.domain] = 1 + len(self.recent_in_domain(now)), 0
        return counts

    def _unexpired(self, reported, now):
        """Leave out the own domain and expired numbers."""
        since = self.health.span_start(ROUTER_TIMEOUT_SECONDS, now)
        return {
            domain: (at, count)
            for domain, (at, count) in list(reported.items())
            if domain != self.domain and at > since
        }

    def rank(self, now):
        """Return how many running routers precede this one by name."""
        return sum(1 for r in self.recent(now) if r.name < self.name)


def make_peer_reports(name, domain, started_at, health=None):
    """Make an empty `PeerReports`.

    Without `health`, the router counts as never late.
    """
    health = health or localhealth.make_local_health()
    return PeerReports(name, domain, started_at, health)
