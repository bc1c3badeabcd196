"""Which endpoints exist, also when store entries expired or were lost."""

__all__ = ['Presence', 'make_presence']

from ibisring_records import routing
import msgspec

# Entries that expired in an outage of the store are registered again within
# this time after it, if the endpoint is alive; the platform guarantees two
# seconds.
REREGISTER_SECONDS = 2.2
# An entry has not expired while the store accepted heartbeats until less than
# this time ago: it expires after three missed heartbeats.
EXPIRY_SECONDS = 3.0
# After this time a store that came back from a copy has dropped the entries of
# endpoints that had left before.
REVIVED_SECONDS = EXPIRY_SECONDS + 1.0
# How long it is known that an endpoint left, and of how many.
LEFT_SECONDS = 300.0
MAX_LEFT = 1000
# Bound on the changes in one log line.
MAX_LOGGED_CHANGES = 20


class _Left(msgspec.Struct):
    """An endpoint that left, or only its entry if `is_draining` is not set.

    `started` tells the processes apart that used the same endpoint id, `at`
    is when it was first noted.
    """

    started: int
    at: float
    is_draining: bool


class Presence:
    """Endpoints by id, with those that may be registered again.

    An entry that is removed while the store is available takes effect at once:
    its endpoint is leaving and must get no new requests.  An entry that
    expired since the store accepted no heartbeats in an outage says nothing
    about the endpoint; removing all of these would leave no endpoint at all
    when the store recovers.

    A store that comes back from a copy lacks entries of endpoints that run,
    until they are written again, and has entries of some that have left.  The
    former are treated as expired in an outage.  Of the latter, those that have
    said that they are leaving never return; an entry that had been removed is
    used only if the store still has it once it would have expired.

    Attributes
    ----------
    entries : dict of str to routing.Endpoint
    unconfirmed : dict of str to routing.Endpoint
        Entries that expired in an outage; used until `unconfirmed_until`.
    left : dict of str to _Left
        Endpoints that left.
    revived : dict of str to routing.Endpoint
        Entries that were removed before the store came back from a copy;
        not used until `revived_until`.
    """

    __slots__ = (
        'entries',
        'unconfirmed',
        'failing_since',
        'peer_served_at',
        'unconfirmed_until',
        'left',
        'revived',
        'revived_until',
        'rewritten_by',
        'changes',
    )

    def __init__(self):
        self.entries = {}
        self.unconfirmed = {}
        self.failing_since = None
        self.peer_served_at = -EXPIRY_SECONDS
        self.unconfirmed_until = -1.0
        self.left = {}
        self.revived = {}
        self.revived_until = -1.0
        self.rewritten_by = -1.0
        self.changes = []

    def read_failed(self, now):
        """Record a failed read; return whether the one before succeeded."""
        first = self.failing_since is None
        if first:
            self.failing_since = now
        return first

    def read_succeeded(self, now):
        """Record a successful read; return whether it ended an outage."""
        if self.failing_since is None:
            return False
        since = self.failing_since
        self.failing_since = None
        if self.peer_served_at <= max(since, now - EXPIRY_SECONDS):
            self.unconfirmed_until = now + REREGISTER_SECONDS
        return True

    def store_restored(self, now):
        """Record that the store has come back from a copy."""
        self.rewritten_by = now + REREGISTER_SECONDS
        self.unconfirmed_until = self.rewritten_by
        self.revived_until = now + REVIVED_SECONDS

    def awaits_rewrites(self, now):
        """Return whether a restored store may lack entries of endpoints."""
        return now < self.rewritten_by

    def store_served_peer(self, at):
        """Record when the store is known to have answered another router.

        If the store rejected only this router it still accepted heartbeats, so
        that an endpoint without an entry has left and gets no new requests.
        """
        self.peer_served_at = max(self.peer_served_at, at)

    def _may_have_expired(self, now):
        return self.failing_since is not None or now < self.unconfirmed_until

    def put(self, endpoint, now):
        """Add or replace an entry; return whether it changed."""
        endpoint = self._without_revival(endpoint, now)
        if endpoint is None:
            return False
        if endpoint.state is routing.EndpointState.DRAINING:
            self._note_left(
                endpoint.id, endpoint.started, now, is_draining=True
            )
        self.unconfirmed.pop(endpoint.id, None)
        self.revived.pop(endpoint.id, None)
        if self.entries.get(endpoint.id) == endpoint:
            return False
        self.entries[endpoint.id] = endpoint
        self._add_change(f'{endpoint.id} {endpoint.state.value}')
        return True

    def _without_revival(self, endpoint, now):
        """Return an entry as it may be used, None if it may not be.

        Entries written before an endpoint left, or by an earlier process, may
        be read later: from a copy, or as told by another router.
        """
        name = endpoint.id
        known = self.entries.get(name) or self.unconfirmed.get(name)
        if known is not None and endpoint.started < known.started:
            return None
        left = self.left.get(name)
        if left is None or endpoint.started > left.started:
            return endpoint
        if left.is_draining:
            draining = routing.EndpointState.DRAINING
            return msgspec.structs.replace(endpoint, state=draining)
        if now < self.revived_until:
            self.revived[name] = endpoint
            return None
        del self.left[name]
        return endpoint

    def _note_left(self, name, started, now, is_draining):
        """Record that an endpoint, or its entry, has left."""
        before = self.left.pop(name, None)
        if before is not None and before.started == started:
            if before.is_draining:
                is_draining, now = True, before.at
        # In the order in which they left.
        self.left[name] = _Left(started, now, is_draining)
        oldest = next(iter(self.left))
        is_old = now - self.left[oldest].at > LEFT_SECONDS
        if is_old or len(self.left) > MAX_LEFT:
            del self.left[oldest]

    def remove(self, name, now, confirmed=False):
        """Remove an entry; return whether there was one.

        `confirmed` says that the endpoint is known to have left.
        """
        self.revived.pop(name, None)
        endpoint = self.entries.pop(name, None)
        if endpoint is None:
            return False
        if self._may_have_expired(now) and not confirmed:
            self.unconfirmed[name] = endpoint
            self._add_change(f'{name} missing')
        else:
            self._note_left(name, endpoint.started, now, is_draining=False)
            self._add_change(f'{name} gone')
        return True

    def report_leaving(self, name, started, now):
        """Note that an endpoint itself says that it leaves.

        Parameters
        ----------
        name : str
        started : int
            Distinguishes processes that used the same endpoint id.
        now : float

        Returns
        -------
        bool
            Whether an entry changed.
        """
        table = self.entries if name in self.entries else self.unconfirmed
        endpoint = table.get(name)
        if endpoint is not None and started < endpoint.started:
            return False
        known = self.left.get(name)
        if known is None or not known.is_draining or known.started < started:
            self._note_left(name, started, now, is_draining=True)
        draining = routing.EndpointState.DRAINING
        if (
            endpoint is None
            or endpoint.started != started
            or endpoint.state is draining
        ):
            return False
        table[name] = msgspec.structs.replace(endpoint, state=draining)
        self._add_change(f'{name} says it leaves')
        return True

    def leaving(self):
        """Return the endpoints that said that they leave.

        Returns
        -------
        dict of str to (int, float)
            When each started, and when it was first noted here.
        """
        return {
            name: (left.started, left.at)
            for name, left in self.left.items()
            if left.is_draining
        }

    def update_holding(self, name, started, holding):
        """Set the layers that an engine itself reports; return if changed.

        It is used in an outage, while the engine can't update its entry.  The
        entry in the store replaces the report afterwards.
        """
        table = self.entries if name in self.entries else self.unconfirmed
        before = table.get(name)
        if before is None or before.holding == holding:
            return False
        if started and before.started and started != before.started:
            return False
        table[name] = msgspec.structs.replace(before, holding=holding)
        self._add_change(f'{name} holds {_format_holding(holding)}')
        return True

    def replace(self, endpoints, now, confirmed=False, unconfirmed=()):
        """Replace all entries; return whether anything changed.

        Parameters
        ----------
        endpoints : list of routing.Endpoint
        now : float
        confirmed : bool
            Whether endpoints that are missing are known to have left.
        unconfirmed : collection of str
            Endpoints of the list without an entry, which may be written
            again.
        """
        changed = False
        names = {endpoint.id for endpoint in endpoints}
        for name in [n for n in self.revived if n not in names]:
            del self.revived[name]
        for name in [n for n in self.entries if n not in names]:
            changed |= self.remove(name, now, confirmed)
        for endpoint in endpoints:
            changed |= self.put(endpoint, now)
        if confirmed and self.unconfirmed:
            self.unconfirmed.clear()
            changed = True
        for name in unconfirmed:
            self._unconfirm(name, now)
        return changed

    def _unconfirm(self, name, now):
        """Treat an entry as one that expired in an outage."""
        endpoint = self.entries.pop(name, None)
        if endpoint is not None:
            self.unconfirmed[name] = endpoint
            until = now + REREGISTER_SECONDS
            self.unconfirmed_until = max(self.unconfirmed_until, until)

    def expire(self, now):
        """Drop or use entries after the grace times; return if any were."""
        changed = self._use_revived(now)
        if not self.unconfirmed or self._may_have_expired(now):
            return changed
        for name, endpoint in self.unconfirmed.items():
            self._note_left(name, endpoint.started, now, is_draining=False)
            self._add_change(f'{name} gone')
        self.unconfirmed.clear()
        return True

    def _use_revived(self, now):
        """Use the entries that the store still has; return if any were."""
        if now < self.revived_until or not self.revived:
            return False
        entries = list(self.revived.values())
        return any([self.put(each, now) for each in entries])

    def usable(self):
        """Return the endpoints by id, unconfirmed ones included."""
        return {**self.unconfirmed, **self.entries}

    def _add_change(self, text):
        self.changes.append(text)

    def drain_changes(self):
        """Return the latest changes as texts for the log, and clear them."""
        latest = self.changes[-MAX_LOGGED_CHANGES:]
        self.changes = []
        return latest


def _format_holding(holding):
    return f'{holding.first}-{holding.end}' if holding else 'nothing'


def make_presence():
    """Make an empty `Presence`."""
    return Presence()
