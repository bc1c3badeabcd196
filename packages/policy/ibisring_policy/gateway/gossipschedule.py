"""When a router tells the others what it knows.

Bytes between failure domains are dear, and most datagrams of a calm day say
nothing that matters: while engines have room, nobody's choice depends on the
last second's load.  A router tells at once what others act upon, often while
engines are nearly full, and seldom otherwise.
"""

__all__ = [
    'SendSchedule',
    'PeerRotation',
    'make_send_schedule',
    'make_peer_rotation',
]

import math

# Seconds between looks whether there is something to tell.
CHECK_SECONDS = 0.25
# Seconds between tellings with nothing new, where all others are told at once;
# they take a router that they have not heard for 2.5 s for gone.  Where only
# some are told each time, it tells as much more often: with 88 routers and
# one telling a second, each knew another's load of fifteen seconds ago; the
# engines preempted 152 requests of a calm day, and 0.95 of its worth was left.
QUIET_INTERVAL_SECONDS = 1.0
# Seconds for which news is told at each look: of three datagrams one may be
# lost, and of many routers only some are told each time.
FRESH = 1.0
# Share of an engine's memory from which its load is told at each look.  Below
# it, the requests that begin within a second fit in any case: some 15 of the
# 110 that a domain's engines hold.
NEARLY_FULL = 0.7
# As many others are all told at each look.  In a larger fleet each router of
# the own failure domain is told once in so many seconds: load, and that this
# router runs, matter there.  Of the other domains some are told at each look,
# so that each domain hears of the others several times a second.
MAX_BROADCAST_PEERS = 6
ROUND_SECONDS = 0.8
FAR_AT_ONCE = 2
# Routers of a failure domain that tell it, in each round, what is known for
# long: bytes, where all of forty did.
OLD_UPDATE_SENDERS = 3.0


class SendSchedule:
    """Decides at each look whether to tell.

    Examples
    --------
    >>> pace = make_send_schedule()
    >>> [pace.is_due(t * 0.25, 'news', 0.2, 1.0) for t in range(8)]
    [True, True, True, True, False, False, False, True]
    """

    __slots__ = ('news', 'news_at', 'told_at')

    def __init__(self):
        self.news = None
        self.news_at = 0.0
        self.told_at = -QUIET_INTERVAL_SECONDS

    def is_due(self, now, news, fullest, reach):
        """Say whether to tell now.

        Parameters
        ----------
        now : float
        news : object
            What others act upon; compared with the last one.
        fullest : float
            Largest share taken of an engine's memory for prompts.
        reach : float
            Share of the other routers that are told each time.
        """
        is_fresh = self.has_recent_change(now, news)
        if not is_fresh and fullest < NEARLY_FULL:
            if now - self.told_at < QUIET_INTERVAL_SECONDS * reach:
                return False
        self.told_at = now
        return True

    def has_recent_change(self, now, news):
        """Say whether something to tell is new since a moment ago."""
        if news != self.news:
            self.news = news
            self.news_at = now
        return now - self.news_at < FRESH


class PeerRotation:
    """Chooses whom to tell at each look.

    Parameters
    ----------
    rng : random.Random

    Examples
    --------
    >>> import random
    >>> rounds = make_peer_rotation(random.Random(1))
    >>> near = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6', 'a7', 'a8']
    >>> told = [rounds.choose(near, ['b1', 'b2']) for _ in range(3)]
    >>> sorted({name for names in told for name in names if name in near})
    ['a1', 'a2', 'a3', 'a4', 'a5', 'a6', 'a7', 'a8']
    """

    __slots__ = ('rng', 'order')

    def __init__(self, rng):
        self.rng = rng
        self.order = []

    def choose(self, near, far, all_near=False, busy=()):
        """Give the names to tell at this look.

        Parameters
        ----------
        near : list of str
            Routers of the own failure domain.
        far : list of str
            Routers of the others.
        all_near : bool
            Whether there is news that the whole domain acts upon.
        busy : list of str
            Routers of domains whose engines this router uses.

        Returns
        -------
        list of str
        """
        if len(near) + len(far) <= MAX_BROADCAST_PEERS:
            return near + far
        few = min(FAR_AT_ONCE, len(far))
        told = set(self.rng.sample(far, few))
        told.update(self.rng.sample(busy, min(MAX_BROADCAST_PEERS, len(busy))))
        told.update(near if all_near else self._next(near))
        return sorted(told)

    def _next(self, near):
        """Give the next part of a round through the own domain.

        The order stays, so that each is told at even times.
        """
        fresh = sorted(set(near) - set(self.order))
        self.rng.shuffle(fresh)
        order = [name for name in self.order + fresh if name in near]
        part = math.ceil(len(near) * CHECK_SECONDS / ROUND_SECONDS)
        self.order = order[part:] + order[:part]
        return order[:part]


def make_peer_rotation(rng):
    """Make `PeerRotation` that has told nobody yet."""
    return PeerRotation(rng)


def make_send_schedule():
    """Make a `SendSchedule` that has told nothing yet."""
    return SendSchedule()
