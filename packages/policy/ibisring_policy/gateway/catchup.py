"""When a router asks another one for what it knows, and which.

The store may turn some routers away and serve the others, and a call that
follows it may hang.  A router then goes on with a revoked key or a leaving
endpoint, while another one knows better.
"""

__all__ = ['Catchup', 'make_catchup']

import math

from ibisring_policy.gateway import polling

# Seconds beyond the usual wait for the store after which others are asked,
# and between two questions.
QUERY_DELAY_SECONDS = 0.5
QUERY_INTERVAL_SECONDS = 0.4
# Seconds that another router may be ahead before it is asked: usually the
# same change is on its way here.  A router that leaves reading to others is
# told a change some time after they have read it.
MAX_LAG_SECONDS = 0.25
MAX_FOLLOWER_LAG_SECONDS = 0.4
# Seconds between two words of a reader that all is as before, with the time
# that one may be lost.
CONFIRMED_EVERY = 2.5


class Catchup:
    """Decides for one router.

    Attributes
    ----------
    newest_peer : str or None
        A router that knows something newer.
    behind_since : float or None
        Since when some router does.
    wanted_versions : dict of str to int
        Newest version that others know, by table.
    queried_store : bool
        Whether the store was asked last, and no router since.

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
        """Note that another router knows something newer.

        One nearby is preferred: what it tells crosses no link between
        failure domains, which are dear.

        Parameters
        ----------
        name : str
        now : float
        is_near : bool
            Whether it is in this router's failure domain.
        versions : dict of str to int, optional
            What it knows, by table.
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
        """Forget who was ahead if this router knows as much by now.

        Without this each change of endpoints was asked for a second time,
        a quarter of a second after it had come by itself.

        Parameters
        ----------
        versions : dict of str to int
            What this router knows, by table.
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

    def is_due(self, now, age, callers, is_follower=False):
        """Say whether to ask another router now.

        Parameters
        ----------
        now : float
        age : float
            Seconds since the older of both tables was read.
        callers : int
            Routers that follow the store.
        is_follower : bool
            Whether this router leaves that to others.
        """
        if now - self.queried_at < QUERY_INTERVAL_SECONDS:
            return False
        usual = min(
            polling.MAX_WAIT_SECONDS, polling.CALL_INTERVAL_SECONDS * callers
        )
        if is_follower:
            usual += CONFIRMED_EVERY
        if age > usual + QUERY_DELAY_SECONDS:
            return True
        since = self.behind_since
        return since is not None and now - since >= _patience(is_follower)

    def queried(self, now, store=False):
        """Note that another router is asked, or the store."""
        self.queried_at = now
        self.queried_store = store

    def choose(self, names, draw):
        """Give the router to ask, of some that are known.

        Parameters
        ----------
        names : list of str
            Not empty.
        draw : callable
            Gives random numbers from 0 up to, without, 1.
        """
        if self.newest_peer in names:
            return self.newest_peer
        return names[int(draw() * len(names))]

    def expire(self, now, is_follower=False):
        """Forget who was ahead once this router was told the same."""
        since = self.behind_since
        if since is not None and now - since > 2 * _patience(is_follower):
            self.behind_since = None
            self.newest_peer = None
            self.wanted_versions = {}


def _patience(is_follower):
    """Give the seconds that another router may be ahead."""
    return MAX_FOLLOWER_LAG_SECONDS if is_follower else MAX_LAG_SECONDS


def make_catchup():
    """Make a `Catchup` that has heard nothing yet."""
    return Catchup()
