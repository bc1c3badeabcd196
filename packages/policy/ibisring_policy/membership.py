"""Membership of routers: taken from the VM list, health from direct probes."""

__all__ = ['Health', 'Peer', 'Membership', 'make_membership', 'fingers']

import enum
import math

import msgspec
import xxhash

DEAD_AFTER_MISSES = 3


class Health(enum.StrEnum):
    """Health of a peer according to probes."""

    UNTRIED = 'untried'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class Peer(msgspec.Struct):
    """A peer and its last reported state.

    `instance` changes with each start of its process; `uptime` is that
    of its process in seconds, as of `seen_at`.
    """

    id: str
    address: str
    failure_domain: str
    health: Health = Health.UNTRIED
    misses: int = 0
    seen_at: float = -math.inf
    instance: str = ''
    uptime: float = 0.0
    revision: int = -1
    leaving: bool = False


def _ring_position(name):
    return xxhash.xxh64_intdigest(name.encode())


def fingers(own_id, ids, limit):
    """Choose a bounded set of peers through which all can be reached.

    Parameters
    ----------
    own_id : str
    ids : iterable of str
        All members; the own id may be among them.
    limit : int

    Returns
    -------
    list of str
        All others if there are at most `limit`; else those at distances 1,
        2, 4, ... on a ring of hashed ids, so that a message that each
        router forwards to its own peers reaches all after about log2(n)
        hops [1]_.

    References
    ----------
    .. [1] I. Stoica et al., "Chord: a scalable peer-to-peer lookup service
       for internet applications", SIGCOMM 2001.

    Examples
    --------
    >>> fingers('a', ['a', 'b', 'c'], 8)
    ['b', 'c']
    """
    others = sorted(set(ids) - {own_id})
    if len(others) <= limit:
        return others
    ring = sorted([*others, own_id], key=_ring_position)
    start = ring.index(own_id)
    chosen = []
    distance = 1
    while distance < len(ring) and len(chosen) < limit:
        chosen.append(ring[(start + distance) % len(ring)])
        distance *= 2
    return chosen


class Membership:
    """Members and their health.

    Parameters
    ----------
    own_id : str
    most_peers : int
        Peers probed directly.
    """

    def __init__(self, own_id, most_peers):
        self.own_id = own_id
        self.most_peers = most_peers
        self.members = {}
        self.peers = {}
        self.list_was_read = False

    def apply_vm_list(self, vms):
        """Update the members and the probed peers from a VM list.

        Parameters
        ----------
        vms : iterable of vms.Vm

        Notes
        -----
        The list lags: a new VM may have the address of an old one, and a
        paused VM may resume.  A member whose address changed is untried
        again.  An empty list is considered invalid and ignored, because
        this router itself would have to be on it.
        """
        listed = {vm.id: vm for vm in vms if vm.id != self.own_id}
        if not vms:
            return
        self.list_was_read = True
        self.members = listed
        chosen = fingers(self.own_id, listed, self.most_peers)
        peers = {}
        for name in chosen:
            vm = listed[name]
            peer = self.peers.get(name)
            if peer is None or peer.address != vm.address:
                peer = Peer(name, vm.address, vm.failure_domain)
            peer.leaving = peer.leaving or vm.state == 'leaving'
            peers[name] = peer
        self.peers = peers

    def record_answer(self, name, answer, now):
        """Record the answer to a probe.

        Parameters
        ----------
        name : str
            The peer that was probed.
        answer : object
            With `router`, `instance`, `uptime`, `revision`, `leaving`.
        now : float

        Returns
        -------
        bool
            Whether its health changed.
        """
        peer = self.peers.get(name)
        if peer is None:
            return False
        if answer.router != name:
            # Another VM has this address now; the listed one is gone.
            return self._set_health(peer, Health.DEAD)
        peer.misses = 0
        peer.seen_at = now
        peer.instance = answer.instance
        peer.uptime = answer.uptime
        peer.revision = answer.revision
        peer.leaving = answer.leaving
        return self._set_health(peer, Health.ALIVE)

    def record_miss(self, name):
        """Record an unanswered probe; True if the peer's health changed."""
        peer = self.peers.get(name)
        if peer is None:
            return False
        peer.misses += 1
        if peer.misses >= DEAD_AFTER_MISSES:
            return self._set_health(peer, Health.DEAD)
        return self._set_health(peer, Health.SUSPECT)

    def _set_health(self, peer, health):
        changed = peer.health is not health
        peer.health = health
        return changed

    def addresses(self):
        """Return the other members' addresses by id; None if unknown.

        A router that never read the list must not assume that it is the
        only one, because it would be a majority on its own.
        """
        if not self.list_was_read:
            return None
        return {vm.id: vm.address for vm in self.members.values()}

    def alive_peers(self):
        """Return the peers that answered the last probe."""
        return [p for p in self.peers.values() if p.health is Health.ALIVE]

    def peers_not_dead(self):
        """Return the peers to which messages should be sent."""
        return [p for p in self.peers.values() if p.health is not Health.DEAD]

    def serving_routers(self):
        """Return the ids of routers that accept callers, including this one.

        Members that this router doesn't probe are assumed to be alive.
        """
        unprobed = set(self.members) - set(self.peers)
        accepting = [p.id for p in self.alive_peers() if not p.leaving]
        return [self.own_id, *sorted(unprobed), *accepting]


def make_membership(own_id, most_peers):
    """Make the membership of a router that has read no VM list yet."""
    return Membership(own_id, most_peers)
