"""Whether a router's own links reach the endpoints of a service.

Only the opening of a new connection tells: an endpoint that is silent may be
busy, and a connection that is open may outlive the path.
"""

__all__ = ['Change', 'Links', 'make_links']

import enum
import math

import msgspec

# Endpoints to which connections must fail, all of a service that has fewer.
MIN_FAILED_ENDPOINTS = 3
# How long a failed connection counts.
FAILURE_SECONDS = 4.0
# Where links fail again this soon after they were back, more connections in a
# row must succeed before they count as back, up to the maximum.
RELAPSE_SECONDS = 5.0
MAX_SUCCESSES_REQUIRED = 4


class Change(enum.StrEnum):
    """What a connection changed in the state of a service's links."""

    CUT = 'cut'
    BACK = 'back'


class _ServiceLinks(msgspec.Struct):
    """Links to the endpoints of one service; times are monotonic seconds.

    `failed_at` has the endpoints to which connections failed since the last
    one that succeeded.
    """

    failed_at: dict = {}
    connected_at: float = -math.inf
    cut_at: float | None = None
    back_at: float = -math.inf
    successes: int = 0
    successes_required: int = 1


class Links:
    """State of the links to the endpoints of each service.

    A connection that succeeds outweighs any number of failures before it.

    Examples
    --------
    >>> links = make_links()
    >>> for number in range(3):
    ...     change = links.failed('s', f'e{number}', number, number, 9)
    >>> change is Change.CUT, links.is_cut('s')
    (True, True)
    >>> links.connected('s', 4.0) is Change.BACK
    True
    """

    __slots__ = ('by_service',)

    def __init__(self):
        self.by_service = {}

    def _get(self, service):
        known = self.by_service.get(service)
        if known is None:
            known = self.by_service[service] = _ServiceLinks()
        return known

    def connected(self, service, now):
        """Record a new connection to an endpoint.

        Returns
        -------
        Change or None
        """
        known = self._get(service)
        known.connected_at = now
        if known.cut_at is None:
            known.failed_at.clear()
            return None
        known.successes += 1
        if known.successes < known.successes_required:
            return None
        known.failed_at.clear()
        known.cut_at = None
        known.back_at = now
        return Change.BACK

    def failed(self, service, endpoint, started, now, endpoint_count):
        """Record that a connection could not be opened.

        Parameters
        ----------
        service, endpoint : str
        started, now : float
            When it was tried, and when it had failed.
        endpoint_count : int
            Endpoints of the service.

        Returns
        -------
        Change or None
        """
        known = self._get(service)
        if known.cut_at is not None:
            known.successes = 0
            return None
        if known.connected_at > started:
            return None
        known.failed_at[endpoint] = now
        recent = {
            name: at
            for name, at in known.failed_at.items()
            if now - at < FAILURE_SECONDS
        }
        known.failed_at = recent
        if len(recent) < min(MIN_FAILED_ENDPOINTS, endpoint_count):
            return None
        known.cut_at = now
        known.successes = 0
        known.successes_required = 1
        if now - known.back_at < RELAPSE_SECONDS:
            known.successes_required = MAX_SUCCESSES_REQUIRED
        return Change.CUT

    def is_cut(self, service):
        """Return whether no endpoint of a service can be reached."""
        known = self.by_service.get(service)
        return known is not None and known.cut_at is not None

    def may_be_back(self, service):
        """Return whether the last connection to a service succeeded."""
        known = self.by_service.get(service)
        if known is None:
            return True
        return known.cut_at is None or known.successes > 0

    def cut_services(self):
        """Return the services that can't be reached, sorted."""
        return sorted(
            name
            for name, known in self.by_service.items()
            if known.cut_at is not None
        )

    def cut_seconds(self, service, now):
        """Return for how long a service has been out of reach."""
        known = self._get(service)
        return 0.0 if known.cut_at is None else now - known.cut_at

    def connected_since(self, service, since):
        """Return whether a connection to a service was opened since then."""
        known = self.by_service.get(service)
        return known is not None and known.connected_at > since

    def connected_at(self):
        """Return when a connection to any endpoint was last opened."""
        times = [known.connected_at for known in self.by_service.values()]
        return max(times, default=-math.inf)

    def retain(self, services):
        """Forget the services that no longer exist."""
        for name in [n for n in self.by_service if n not in services]:
            del self.by_service[name]


def make_links():
    """Make `Links` that know of no connection yet."""
    return Links()
