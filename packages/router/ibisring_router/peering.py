"""Speaking with peers: probes, pushed changes, snapshots and demands."""

__all__ = [
    'PeerState',
    'Pushed',
    'MembershipActor',
    'Peering',
    'make_peering',
]

import concurrent.futures
import logging
import time
import uuid

from ibisring_policy import membership
from ibisring_records import exceptions
from ibisring_records import records
from ibisring_router import actors
from ibisring_router import logs
from ibisring_router import recordkeeping
from ibisring_web import calls
import msgspec

LOG = logging.getLogger(__name__)
PUSH_THREADS = 8
VMS_A_ROUND = 12


class PeerState(msgspec.Struct):
    """The answer to a probe: all that a peer tells of itself.

    `demands` are tokens a second asked for there, by limited account;
    `in_hand` is the mean number of requests that run or wait there, by
    service or model version.
    """

    router: str
    instance: str
    uptime: float
    revision: int
    leaving: bool
    failure_domain: str = ''
    demands: dict[str, float] = {}
    in_hand: dict[str, float] = {}


class Pushed(msgspec.Struct):
    """Changes on their way to every router."""

    changes: list[records.Change]


class Listed(msgspec.Struct):
    vms: list


class Answered(msgspec.Struct):
    peer: str
    state: PeerState


class Missed(msgspec.Struct):
    peer: str


class Read(msgspec.Struct):
    """Calls a function with the membership and gives its result."""

    function: object


class MembershipActor(actors.MessageActor):
    """Owns the membership."""

    def __init__(self, own_id, most_peers, clock):
        super().__init__()
        self.membership = membership.make_membership(own_id, most_peers)
        self.clock = clock

    def handlers(self):
        return {
            Listed: self.on_listed,
            Answered: self.on_answered,
            Missed: self.on_missed,
            Read: self.on_read,
        }

    def on_listed(self, message):
        self.membership.apply_vm_list(message.vms)

    def on_answered(self, message):
        changed = self.membership.record_answer(
            message.peer, message.state, self.clock()
        )
        if changed:
            self._log_health(message.peer)

    def on_missed(self, message):
        if self.membership.record_miss(message.peer):
            self._log_health(message.peer)

    def on_read(self, message):
        return message.function(self.membership)

    def _log_health(self, name):
        peer = self.membership.peers[name]
        logs.event(LOG, 'peer_health', peer=name, health=peer.health.value)


class Peering:
    """This router's dealings with its peers.

    Parameters
    ----------
    settings : settings.Settings
    keeper : recordkeeping.RecordKeeper
    placement : dispatching.Placement
    vm_list : vms.VmList
    readiness : readiness.Readiness
    metrics : metrics.Metrics
    caller : calls.Caller
    clock : callable
    """

    def __init__(
        self,
        settings,
        keeper,
        placement,
        vm_list,
        readiness,
        metrics,
        caller,
        clock,
    ):
        self.settings = settings
        self.keeper = keeper
        self.placement = placement
        self.vm_list = vm_list
        self.readiness = readiness
        self.metrics = metrics
        self.caller = caller
        self.clock = clock
        self.instance = uuid.uuid4().hex
        self.started_at = clock()
        self.rounds = 0
        self.listed_router_count = 0
        self.actor = MembershipActor.start(
            settings.router_id, settings.most_peers, clock
        )
        self.pool = concurrent.futures.ThreadPoolExecutor(PUSH_THREADS)

    def read(self, function):
        """Give a function's result on the membership."""
        return self.actor.ask(Read(function))

    def alive(self):
        """Give the peers that answer."""
        return self.read(lambda members: members.alive_peers())

    def state(self):
        """Give what this router tells of itself."""
        now = self.clock()
        demands, in_hand = self.placement.inspect(
            lambda dispatcher: (
                dispatcher.limits.all_demands(now),
                dispatcher.shares.demands(),
            )
        )
        return PeerState(
            self.settings.router_id,
            self.instance,
            now - self.started_at,
            self.keeper.revision,
            self.readiness.draining,
            self.settings.failure_domain,
            demands,
            in_hand,
        )

    # Probing

    def refresh_vm_list_when_due(self):
        """Read the VM list, the less often the longer it is.

        At 380 VMs a read is some 40 KB; read every 2 s by each router it
        would be more than all other control traffic together.
        """
        size = self.read(lambda members: len(members.members))
        self.rounds += 1
        if self.rounds % max(1, size // VMS_A_ROUND) == 0:
            self.refresh_vm_list()

    def refresh_vm_list(self):
        """Read the VM list; keep the last one while it is unavailable."""
        try:
            listed = self.vm_list.read()
        except exceptions.IbisringError:
            self.metrics.count('vms.unavailable')
            return
        self.listed_router_count = len(listed) or self.listed_router_count
        self.actor.tell(Listed(listed))

    def probe(self):
        """Probe every chosen peer once, and catch up with those ahead."""
        peers = self.read(lambda members: list(members.peers.values()))
        list(self.pool.map(self._probe_one, peers))
        alive = {peer.id for peer in self.alive()}
        takers = self.read(lambda members: members.serving_routers())
        self.placement.inspect(
            lambda dispatcher: dispatcher.set_routers(alive, takers)
        )

    def _probe_one(self, peer):
        try:
            state = self.caller.call(
                'GET', peer.address, '/peer/state', cls=PeerState
            )
        except (calls.CallError, exceptions.IbisringError):
            self.actor.tell(Missed(peer.id))
            return
        self.actor.tell(Answered(peer.id, state))
        self.placement.inspect(
            lambda dispatcher: _hear(dispatcher, peer.id, state)
        )
        if state.revision > self.keeper.revision:
            self.catch_up(peer.address)

    # Records

    def push(self, changes, skip=''):
        """Tell the chosen peers of changes, without waiting.

        Parameters
        ----------
        changes : list of records.Change
        skip : str
            Address of the peer they came from.
        """
        for peer in self.read(lambda members: members.peers_not_dead()):
            if peer.address != skip:
                self.pool.submit(self._push_one, peer.address, changes)

    def _push_one(self, address, changes):
        try:
            self.caller.call(
                'POST',
                address,
                '/peer/changes',
                Pushed(changes),
            )
        except (calls.CallError, exceptions.IbisringError):
            # The peer's own poll of the head row will find the change.
            self.metrics.count('peers.push_failed')

    def receive(self, pushed):
        """Take in pushed changes, and pass on what was news."""
        before = self.keeper.revision
        after = self.keeper.apply_changes(pushed.changes)
        if after > before:
            news = [c for c in pushed.changes if c.revision > before]
            self.push(news)
        last = max((c.revision for c in pushed.changes), default=-1)
        if last > after:
            self.pool.submit(self._follow)

    def _follow(self):
        try:
            self.keeper.follow()
        except exceptions.IbisringError:
            self.metrics.count('records.follow_failed')

    def catch_up(self, address):
        """Fetch from a peer what this router lacks.

        This is how a router that starts during an outage of the table
        service gets its configuration.
        """
        path = f'/peer/changes?since={self.keeper.revision}'
        try:
            found = self.caller.call(
                'GET', address, path, cls=recordkeeping.ChangeList
            )
            self.keeper.apply_changes(found.changes)
        except exceptions.NotFound:
            self._catch_up_whole(address)
        except (calls.CallError, exceptions.IbisringError):
            self.metrics.count('peers.catch_up_failed')

    def _catch_up_whole(self, address):
        try:
            snapshot = self.caller.call(
                'GET',
                address,
                '/peer/snapshot',
                cls=recordkeeping.Snapshot,
            )
        except (calls.CallError, exceptions.IbisringError):
            self.metrics.count('peers.catch_up_failed')
            return
        self.keeper.apply_snapshot(snapshot)

    def stop(self):
        self.pool.shutdown(wait=False, cancel_futures=True)
        self.actor.stop()


def _hear(dispatcher, peer, state):
    dispatcher.limits.receive_demands(peer, state.demands)
    dispatcher.shares.receive_demands(peer, state.in_hand)


def make_peering(
    settings,
    keeper,
    placement,
    vm_list,
    readiness,
    metrics,
    caller,
    clock=time.monotonic,
):
    """Make the peering of a router."""
    return Peering(
        settings,
        keeper,
        placement,
        vm_list,
        readiness,
        metrics,
        caller,
        clock,
    )
