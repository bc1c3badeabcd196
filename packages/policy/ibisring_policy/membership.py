"""Which routers there are: the VM list proposes, direct probes decide."""

__all__ = ['Health', 'Peer', 'Membership', 'make_membership', 'fingers']

import enum
import math

import msgspec
import xxhash

DEAD_AFTER = 3


class Health(enum.StrEnum):
    """What probes say of a peer."""

    UNTRIED = 'untried'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class Peer(msgspec.Struct):
    """A peer as this router knows it.

    `instance` changes with each start of its process; `memory_since` is
    how many seconds its memory reaches back, as of `seen_at`.
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


def _point(name):
    return xxhash.xxh64_intdigest(name.encode())


def fingers(own_id, ids, most):
    """Choose a bounded set of peers that still reaches everybody.

    Parameters
    ----------
    own_id : str
    ids : iterable of str
        All members; the own id may be among them.
    most : int

    Returns
    -------
    list of str
        All others if they are few; else those at distances 1, 2, 4, ... on
        a ring of hashed ids, so that what each tells its own peers has
        reached all after about log2(n) hops [1]_.

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
    if len(others) <= most:
        return others
    ring = sorted([*others, own_id], key=_point)
    start = ring.index(own_id)
    chosen = []
    distance = 1
    while distance < len(ring) and len(chosen) < most:
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
        self.known = False

    def apply_vm_list(self, vms):
        """Take in a VM list.

        Parameters
        ----------
        vms : iterable of vms.Vm

        Notes
        -----
        The list lags: a new VM may have the address of an old one, and a
        paused one may come back.  A member whose address changed starts
        untried.  An empty list is taken for a fault of the list, since
        this router itself would have to be on it.
        """
        listed = {vm.id: vm for vm in vms if vm.id != self.own_id}
        if not vms:
            return
        self.known = True
        self.members = listed
        chosen = fingers(self.own_id, listed, self.most_peers)
        peers = {}
        for name in chosen:
            vm = listed[name]
            known = self.peers.get(name)
            if known is None or known.address != vm.address:
                known = Peer(name, vm.address, vm.failure_domain)
            known.leaving = known.leaving or vm.state == 'leaving'
            peers[name] = known
        self.peers = peers

    def record_answer(self, name, answer, now):
        """Take in a probe's answer.

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
            # Another VM took the address over: the one listed is gone.
            return self._set_health(peer, Health.DEAD)
        peer.misses = 0
        peer.seen_at = now
        peer.instance = answer.instance
        peer.uptime = answer.uptime
        peer.revision = answer.revision
        peer.leaving = answer.leaving
        return self._set_health(peer, Health.ALIVE)

    def record_miss(self, name):
        """Take in that a probe went unanswered; True if health changed."""
        peer = self.peers.get(name)
        if peer is None:
            return False
        peer.misses += 1
        if peer.misses >= DEAD_AFTER:
            return self._set_health(peer, Health.DEAD)
        return self._set_health(peer, Health.SUSPECT)

    def _set_health(self, peer, health):
        changed = peer.health is not health
        peer.health = health
        return changed

    def addresses(self):
        """Return the other members' addresses by id; None if never listed.

        A router that never read the list must not take itself for the
        only one: it would be a majority of itself.
        """
        if not self.known:
            return None
        return {vm.id: vm.address for vm in self.members.values()}

    def alive_peers(self):
        """Return the peers that answer."""
        return [p for p in self.peers.values() if p.health is Health.ALIVE]

    def peers_not_dead(self):
        """Return the peers that are worth telling something."""
        return [p for p in self.peers.values() if p.health is not Health.DEAD]

    def serving_routers(self):
        """Return the ids of the routers that take callers, this one included.

        Members that aren't probed from here count as alive.
        """
        unprobed = set(self.members) - set(self.peers)
        taking = [p.id for p in self.alive_peers() if not p.leaving]
        return [self.own_id, *sorted(unprobed), *taking]


def make_membership(own_id, most_peers):
    """Make the membership of a router that knows nobody yet."""
    return Membership(own_id, most_peers)
