"""Which endpoints exist, also when store entries expired in an outage."""

__all__ = ['Presence', 'make_presence']

import msgspec

# Entries that expired in an outage of the store are registered again within
# this time after it, if the endpoint is alive; the platform guarantees two
# seconds.
REREGISTER_SECONDS = 2.2
# An entry has not expired while the store accepted heartbeats until less than
# this time ago: it expires after three missed heartbeats.
EXPIRY_SECONDS = 3.0
# Bound on the changes in one log line.
MAX_LOGGED_CHANGES = 20


class Presence:
    """Endpoints by id, with those that may be registered again.

    An entry that is removed while the store is available takes effect at once:
    its endpoint is leaving and must get no new requests.  An entry that
    expired since the store accepted no heartbeats in an outage says nothing
    about the endpoint; removing all of these would leave no endpoint at all
    when the store recovers.

    Attributes
    ----------
    entries : dict of str to routing.Endpoint
    unconfirmed : dict of str to routing.Endpoint
        Entries that expired in an outage; used until `unconfirmed_until`.
    """

    __slots__ = (
        'entries',
        'unconfirmed',
        'failing_since',
        'peer_served_at',
        'unconfirmed_until',
        'changes',
    )

    def __init__(self):
        self.entries = {}
        self.unconfirmed = {}
        self.failing_since = None
        self.peer_served_at = -EXPIRY_SECONDS
        self.unconfirmed_until = -1.0
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
        self.unconfirmed.pop(endpoint.id, None)
        if self.entries.get(endpoint.id) == endpoint:
            return False
        self.entries[endpoint.id] = endpoint
        self._add_change(f'{endpoint.id} {endpoint.state.value}')
        return True

    def remove(self, name, now, confirmed=False):
        """Remove an entry; return whether there was one.

        `confirmed` says that the endpoint is known to have left.
        """
        endpoint = self.entries.pop(name, None)
        if endpoint is None:
            return False
        if self._may_have_expired(now) and not confirmed:
            self.unconfirmed[name] = endpoint
            self._add_change(f'{name} missing')
        else:
            self._add_change(f'{name} gone')
        return True

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

    def replace(self, endpoints, now, confirmed=False):
        """Replace all entries; return whether anything changed."""
        changed = False
        names = {endpoint.id for endpoint in endpoints}
        for name in [n for n in self.entries if n not in names]:
            changed |= self.remove(name, now, confirmed)
        for endpoint in endpoints:
            changed |= self.put(endpoint, now)
        if confirmed and self.unconfirmed:
            self.unconfirmed.clear()
            changed = True
        return changed

    def expire(self, now):
        """Drop expired entries after the grace time; return if any were."""
        if not self.unconfirmed or self._may_have_expired(now):
            return False
        for name in self.unconfirmed:
            self._add_change(f'{name} gone')
        self.unconfirmed.clear()
        return True

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
