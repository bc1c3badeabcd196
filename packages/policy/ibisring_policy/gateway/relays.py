"""Which other router serves a request that this one can't send to endpoints.

Some routers may lose their links to endpoints while others keep theirs.  Of
those that can take requests the choice goes by the requests that they run, in
the own failure domain first.
"""

__all__ = ['PeerState', 'Candidate', 'Relays', 'make_relays']

import msgspec

# A router that was not heard from for this long may be gone.
HEARD_SECONDS = 2.5
# How long a router that did not take a request is not asked for others.
AVOID_SECONDS = 1.0
# The same for one that will take them shortly: it has just started, or has an
# older routing table.
UNREADY_SECONDS = 0.1
# Routers compared per choice, of the own domain and of the others.
COMPARED = 2
# Traffic between domains is expensive: a router of another one is chosen when
# the own domain's run this many times as many requests, and some more.
REMOTE_FACTOR = 2.0
REMOTE_REQUESTS = 8


class PeerState(msgspec.Struct, frozen=True):
    """What a router says of its service to other routers.

    `takes_requests` is whether it serves what others hand over, `active` the
    number of requests that it runs, `cut_from` the services that it can't
    reach.
    """

    takes_requests: bool = False
    active: int = 0
    cut_from: frozenset = frozenset()


class Candidate(msgspec.Struct, frozen=True):
    """A router that may take a request; `heard_at` is in seconds."""

    name: str
    address: str
    domain: str
    heard_at: float
    state: PeerState


class Relays:
    """Chooses routers, and keeps what this router has seen of them.

    Parameters
    ----------
    domain : str
        Failure domain of this router.
    """

    __slots__ = ('domain', 'outstanding', 'avoid_until')

    def __init__(self, domain):
        self.domain = domain
        self.outstanding = {}
        self.avoid_until = {}

    def started(self, name):
        """Count a request that was handed to a router."""
        self.outstanding[name] = self.outstanding.get(name, 0) + 1

    def ended(self, name):
        """Remove what `started` counted."""
        self.outstanding[name] -= 1
        if not self.outstanding[name]:
            del self.outstanding[name]

    def not_taken(self, name, service, now):
        """Record that a router did not take a request for a service."""
        self.avoid_until = {
            key: until
            for key, until in self.avoid_until.items()
            if until > now
        }
        self.avoid_until[name, service] = now + AVOID_SECONDS

    def not_ready(self, name, service, now):
        """Record that a router did not take a request yet."""
        before = self.avoid_until.get((name, service), 0.0)
        until = max(before, now + UNREADY_SECONDS)
        self.avoid_until[name, service] = until

    def usable(self, candidates, service, now, excluded=()):
        """Return the candidates that may serve a request for a service."""
        return [
            each
            for each in self.serving(candidates, service, now, excluded)
            if self.avoid_until.get((each.name, service), 0.0) <= now
        ]

    def serving(self, candidates, service, now, excluded=()):
        """Return those, also if one didn't take a request just now."""
        return [
            each
            for each in candidates
            if each.state.takes_requests
            and each.name not in excluded
            and service not in each.state.cut_from
            and now - each.heard_at < HEARD_SECONDS
        ]

    def choose(self, candidates, service, now, rng, excluded=()):
        """Choose a router for a request.

        Parameters
        ----------
        candidates : list of Candidate
        service : str
        now : float
        rng : random.Random
        excluded : collection of str
            Routers that have failed the request.

        Returns
        -------
        Candidate or None
        """
        usable = self.usable(candidates, service, now, excluded)
        local = [each for each in usable if each.domain == self.domain]
        remote = [each for each in usable if each.domain != self.domain]
        best_local = self._least_loaded(local, rng)
        best_remote = self._least_loaded(remote, rng)
        if best_local is None or best_remote is None:
            return best_local or best_remote
        remote_load = self._load(best_remote)
        if self._load(best_local) > (
            REMOTE_FACTOR * remote_load + REMOTE_REQUESTS
        ):
            return best_remote
        return best_local

    def _least_loaded(self, candidates, rng):
        """Return the less loaded of a few, so that not all choose the same."""
        few = rng.sample(candidates, min(COMPARED, len(candidates)))
        return min(few, key=self._load, default=None)

    def _load(self, candidate):
        own = self.outstanding.get(candidate.name, 0)
        return candidate.state.active + own


def make_relays(domain):
    """Make `Relays` of a router that has handed over nothing yet."""
    return Relays(domain)
