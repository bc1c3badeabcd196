"""When a router queries another one for newer tables, and which.

The store may reject some routers and serve the others, and a call that follows
it may hang.  Without a query a router would keep a revoked key or a leaving
endpoint, while another router has a newer version.
"""

__all__ = ['Catchup', 'make_catchup']

import math

from ibisring_policy.gateway import polling

# Time beyond the usual wait for the store after which others are queried, and
# the interval of queries.
QUERY_DELAY_SECONDS = 0.5
QUERY_INTERVAL_SECONDS = 0.4
# How long another router may be ahead before it is queried: usually the same
# change is about to arrive.  A router that relies on readers gets a change
# some time after they have read it.
MAX_LAG_SECONDS = 0.25
MAX_FOLLOWER_LAG_SECONDS = 0.4
# Interval at which a reader confirms that nothing has changed, allowing for a
# lost datagram.
CONFIRM_INTERVAL_SECONDS = 2.5


class Catchup:
    """Decides on the queries of one router.

    Attributes
    ----------
    newest_peer : str or None
        A router that has a newer version.
    behind_since : float or None
        When such a router was first noticed.
    wanted_versions : dict of str to int
        Newest version that others have, by table.
    queried_store : bool
        Whether the last query was to the store.

    Examples
    --------
    >>> catchup = make_catchup()
    >>> catchup.peer_is_ahead('r2', 10.0, is_near=False)
    >>> catchup.is_due(10.1, 1.0, 6), catchup.is_due(10.3, 1.0, 6)
    (False, True)
    >>> catchup.is_due(10.3, 1.0, 6, is_follower=True)
    False
    >>> catchup.choose(['r1', 'r2'], lambda: 0.0)
    'r2'
    """

    __slots__ = (
        'newest_peer',
        'behind_since',
        'queried_at',
        'queried_store',
        'wanted_versions',
    )

    def __init__(self):
        self.wanted_versions = {}
        self.queried_store = False
        self.newest_peer = None
        self.behind_since = None
        self.queried_at = -math.inf

    def peer_is_ahead(self, name, now, is_near, versions=None):
        """Record that another router has a newer version.

        A router of the own failure domain is preferred, since traffic between
        failure domains is expensive.

        Parameters
        ----------
        name : str
        now : float
        is_near : bool
            Whether it is in this router's failure domain.
        versions : dict of str to int, optional
            Its versions by table.
        """
        for table, version in (versions or {}).items():
            self.wanted_versions[table] = max(
                version, self.wanted_versions.get(table, 0)
            )
        if self.newest_peer is None or is_near:
            self.newest_peer = name
        if self.behind_since is None:
            self.behind_since = now

    def caught_up(self, versions):
        """Drop the wanted versions if this router has them by now.

        Otherwise each change of endpoints would be queried a quarter of a
        second after it had arrived.

        Parameters
        ----------
        versions : dict of str to int
            The versions of this router by table.
        """
        if not self.wanted_versions:
            return
        for table, version in self.wanted_versions.items():
            if versions.get(table, 0) < version:
                return
        self.wanted_versions = {}
        self.queried_store = False
        self.behind_since = None
        self.newest_peer = None

    def tables_to_read(self, versions):
        """Return the tables of which others have a newer version, or all.

        Parameters
        ----------
        versions : dict of str to int
            The versions of this router by table.

        Returns
        -------
        list of str
            All tables if none is known to be behind: what is to be read then
            is whether anything has changed.
        """
        behind = [
            table
            for table, version in versions.items()
            if version < self.wanted_versions.get(table, 0)
        ]
        return behind or list(versions)

    def is_due(self, now, age, callers, is_follower=False):
        """Whether to query another router now.

        Parameters
        ----------
        now : float
        age : float
            Seconds since the older of both tables was read.
        callers : int
            Routers that follow the store.
        is_follower : bool
            Whether this router relies on readers.
        """
        if now - self.queried_at < QUERY_INTERVAL_SECONDS:
            return False
        usual = min(
            polling.MAX_WAIT_SECONDS, polling.CALL_INTERVAL_SECONDS * callers
        )
        if is_follower:
            usual += CONFIRM_INTERVAL_SECONDS
        if age > usual + QUERY_DELAY_SECONDS:
            return True
        since = self.behind_since
        return since is not None and now - since >= _max_lag_seconds(
            is_follower
        )

    def queried(self, now, store=False):
        """Record a query to another router, or to the store."""
        self.queried_at = now
        self.queried_store = store

    def choose(self, names, draw):
        """Return the router to query.

        Parameters
        ----------
        names : list of str
            Candidates; not empty.
        draw : callable
            Gives random numbers from the interval [0, 1).
        """
        if self.newest_peer in names:
            return self.newest_peer
        return names[int(draw() * len(names))]

    def expire(self, now, is_follower=False):
        """Drop the wanted versions after twice the accepted lag.

        The next message of a router that is still ahead records them again.
        """
        since = self.behind_since
        if since is not None and now - since > 2 * _max_lag_seconds(
            is_follower
        ):
            self.behind_since = None
            self.newest_peer = None
            self.wanted_versions = {}


def _max_lag_seconds(is_follower):
    """Return how long another router may be ahead before a query."""
    return MAX_FOLLOWER_LAG_SECONDS if is_follower else MAX_LAG_SECONDS


def make_catchup():
    """Make a `Catchup` that knows of no newer version."""
    return Catchup()
