"""Calls between routers: probes, pushed changes, snapshots and demands."""

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
VMS_PER_ROUND = 12


class PeerState(msgspec.Struct):
    """A peer's answer to a probe.

    `demands` are the tokens per second requested there, by limited account;
    `in_hand` is the mean number of outstanding requests there (running or
    waiting), by service or model version.
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
    """Changes that routers pass on until every router has them."""

    changes: list[records.Change]


class ApplyVmList(msgspec.Struct):
    vms: list


class RecordAnswer(msgspec.Struct):
    peer: str
    state: PeerState


class RecordMiss(msgspec.Struct):
    peer: str


class Inspect(msgspec.Struct):
    """Asks to call a function with the membership."""

    function: object


class MembershipActor(actors.MessageActor):
    """Owns the membership."""

    def __init__(self, own_id, most_peers, clock):
        super().__init__()
        self.membership = membership.make_membership(own_id, most_peers)
        self.clock = clock

    def handlers(self):
        return {
            ApplyVmList: self.on_apply_vm_list,
            RecordAnswer: self.on_record_answer,
            RecordMiss: self.on_record_miss,
            Inspect: self.on_inspect,
        }

    def on_apply_vm_list(self, message):
        self.membership.apply_vm_list(message.vms)

    def on_record_answer(self, message):
        changed = self.membership.record_answer(
            message.peer, message.state, self.clock()
        )
        if changed:
            self._log_health(message.peer)

    def on_record_miss(self, message):
        if self.membership.record_miss(message.peer):
            self._log_health(message.peer)

    def on_inspect(self, message):
        return message.function(self.membership)

    def _log_health(self, name):
        peer = self.membership.peers[name]
        logs.event(LOG, 'peer_health', peer=name, health=peer.health.value)


class Peering:
    """This router's client of its peers.

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
        """Return `function(membership)`, called in the actor's thread."""
        return self.actor.ask(Inspect(function))

    def alive(self):
        """Return the peers that answer probes."""
        return self.read(lambda members: members.alive_peers())

    def state(self):
        """Return this router's answer to a probe."""
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
        """Read the VM list if it is due; a longer list is read less often.

        With 380 VMs a read is about 40 KB; if each router read it every 2 s,
        this would exceed all other control traffic together.
        """
        size = self.read(lambda members: len(members.members))
        self.rounds += 1
        if self.rounds % max(1, size // VMS_PER_ROUND) == 0:
            self.refresh_vm_list()

    def refresh_vm_list(self):
        """Read the VM list; if that fails, the last one stays in use."""
        try:
            listed = self.vm_list.read()
        except exceptions.IbisringError:
            self.metrics.count('vms.unavailable')
            return
        self.listed_router_count = len(listed) or self.listed_router_count
        self.actor.tell(ApplyVmList(listed))

    def probe(self):
        """Probe each chosen peer once, and fetch changes from those ahead."""
        peers = self.read(lambda members: list(members.peers.values()))
        list(self.pool.map(self._probe_peer, peers))
        alive = {peer.id for peer in self.alive()}
        serving = self.read(lambda members: members.serving_routers())
        self.placement.inspect(
            lambda dispatcher: dispatcher.set_routers(alive, serving)
        )

    def _probe_peer(self, peer):
        try:
            state = self.caller.call(
                'GET', peer.address, '/peer/state', cls=PeerState
            )
        except (calls.CallError, exceptions.IbisringError):
            self.actor.tell(RecordMiss(peer.id))
            return
        self.actor.tell(RecordAnswer(peer.id, state))
        self.placement.inspect(
            lambda dispatcher: _receive_demands(dispatcher, peer.id, state)
        )
        if state.revision > self.keeper.revision:
            self.catch_up(peer.address)

    # Records

    def push(self, changes, skip=''):
        """Push changes to the chosen peers, without waiting.

        Parameters
        ----------
        changes : list of records.Change
        skip : str
            Address of a peer that has them already.
        """
        for peer in self.read(lambda members: members.peers_not_dead()):
            if peer.address != skip:
                self.pool.submit(self._push_to_peer, peer.address, changes)

    def _push_to_peer(self, address, changes):
        try:
            self.caller.call(
                'POST',
                address,
                '/peer/changes',
                Pushed(changes),
            )
        except (calls.CallError, exceptions.IbisringError):
            # The peer finds the change when it next polls the head row.
            self.metrics.count('peers.push_failed')

    def receive(self, pushed):
        """Apply pushed changes, and push on those that were new here."""
        before = self.keeper.revision
        after = self.keeper.apply_changes(pushed.changes)
        if after > before:
            new = [c for c in pushed.changes if c.revision > before]
            self.push(new)
        last = max((c.revision for c in pushed.changes), default=-1)
        if last > after:
            self.pool.submit(self._follow)

    def _follow(self):
        try:
            self.keeper.follow()
        except exceptions.IbisringError:
            self.metrics.count('records.follow_failed')

    def catch_up(self, address):
        """Fetch the changes that are missing here from a peer.

        A router that starts during an outage of the table service gets its
        configuration this way.
        """
        path = f'/peer/changes?since={self.keeper.revision}'
        try:
            found = self.caller.call(
                'GET', address, path, cls=recordkeeping.ChangeList
            )
            self.keeper.apply_changes(found.changes)
        except exceptions.NotFound:
            self._fetch_snapshot(address)
        except (calls.CallError, exceptions.IbisringError):
            self.metrics.count('peers.catch_up_failed')

    def _fetch_snapshot(self, address):
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


def _receive_demands(dispatcher, peer, state):
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
    """Make the client of a router's peers."""
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
