"""When a router sends gossip, and to which other routers.

Traffic between failure domains is expensive, and most datagrams in normal
operation contain nothing that matters: while engines have room, no routing
decision depends on the load of the last second.  A router sends changes that
affect decisions at once, sends often while engines are nearly full, and seldom
otherwise.
"""

__all__ = [
    'SendSchedule',
    'PeerRotation',
    'make_send_schedule',
    'make_peer_rotation',
]

import math

# Interval of the checks whether to send.
CHECK_SECONDS = 0.25
# Interval of sending without changes where each message goes to all others;
# they consider a router lost after 2.5 s without a message.  Where each
# message goes to some routers only, the interval is shorter in proportion:
# with 88 routers and one message a second, load information was fifteen
# seconds old; the engines preempted 152 requests of a normal day, and 0.95 of
# its value was left.
QUIET_INTERVAL_SECONDS = 1.0
# How long a change is sent at each check: one of three datagrams may be lost,
# and of many routers only some are reached each time.
NEW_SECONDS = 1.0
# Share of an engine's memory in use from which its load is sent at each check.
# Below it, the requests that begin within a second fit in any case: some 15 of
# the 110 that the engines of a domain hold.
NEARLY_FULL = 0.7
# Up to this many others are all reached at each check.  In a larger fleet each
# router of the own failure domain, which needs this router's load and that it
# runs, is reached once per rotation.  Of the other domains a few are reached
# at each check, so that each domain gets messages from the others several
# times a second.
MAX_BROADCAST_PEERS = 6
ROTATION_SECONDS = 0.8
FAR_PEERS_PER_CHECK = 2
# Average number of routers of a failure domain that send unchanged state to
# another one in each rotation; with all of forty it took too much bandwidth.
OLD_UPDATE_SENDERS = 3.0


class SendSchedule:
    """Decides at each check whether to send.

    Examples
    --------
    >>> schedule = make_send_schedule()
    >>> [schedule.is_due(t * 0.25, 'state', 0.2, 1.0) for t in range(8)]
    [True, True, True, True, False, False, False, True]
    """

    __slots__ = ('state', 'changed_at', 'sent_at')

    def __init__(self):
        self.state = None
        self.changed_at = 0.0
        self.sent_at = -QUIET_INTERVAL_SECONDS

    def is_due(self, now, state, max_used, reach):
        """Whether to send now.

        Parameters
        ----------
        now : float
        state : object
            What affects the decisions of others; compared with the last one.
        max_used : float
            Largest share in use of an engine's memory for prompts.
        reach : float
            Share of the other routers that each message goes to.
        """
        is_recent = self.has_recent_change(now, state)
        if not is_recent and max_used < NEARLY_FULL:
            if now - self.sent_at < QUIET_INTERVAL_SECONDS * reach:
                return False
        self.sent_at = now
        return True

    def has_recent_change(self, now, state):
        """Whether the state has changed recently."""
        if state != self.state:
            self.state = state
            self.changed_at = now
        return now - self.changed_at < NEW_SECONDS


class PeerRotation:
    """Chooses the routers to send to at each check.

    Parameters
    ----------
    rng : random.Random

    Examples
    --------
    >>> import random
    >>> rotation = make_peer_rotation(random.Random(1))
    >>> near = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6', 'a7', 'a8']
    >>> chosen = [rotation.choose(near, ['b1', 'b2']) for _ in range(3)]
    >>> sorted({name for names in chosen for name in names if name in near})
    ['a1', 'a2', 'a3', 'a4', 'a5', 'a6', 'a7', 'a8']
    """

    __slots__ = ('rng', 'order')

    def __init__(self, rng):
        self.rng = rng
        self.order = []

    def choose(self, near, far, all_near=False, busy=()):
        """Return the names of the routers to send to at this check.

        Parameters
        ----------
        near : list of str
            Routers of the own failure domain.
        far : list of str
            Routers of the others.
        all_near : bool
            Whether a change affects decisions in the whole domain.
        busy : list of str
            Routers of domains whose engines this router uses.

        Returns
        -------
        list of str
        """
        if len(near) + len(far) <= MAX_BROADCAST_PEERS:
            return near + far
        few = min(FAR_PEERS_PER_CHECK, len(far))
        chosen = set(self.rng.sample(far, few))
        chosen.update(
            self.rng.sample(busy, min(MAX_BROADCAST_PEERS, len(busy)))
        )
        chosen.update(near if all_near else self._next_part(near))
        return sorted(chosen)

    def _next_part(self, near):
        """Return the next part of a rotation through the own domain.

        The order is kept, so that each router is reached at even intervals.
        """
        added = sorted(set(near) - set(self.order))
        self.rng.shuffle(added)
        order = [name for name in self.order + added if name in near]
        part = math.ceil(len(near) * CHECK_SECONDS / ROTATION_SECONDS)
        self.order = order[part:] + order[:part]
        return order[:part]


def make_peer_rotation(rng):
    """Make a `PeerRotation` that has reached no router yet."""
    return PeerRotation(rng)


def make_send_schedule():
    """Make a `SendSchedule` that has sent nothing yet."""
    return SendSchedule()
