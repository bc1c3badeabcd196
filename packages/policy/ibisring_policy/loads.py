"""A router's estimate of each endpoint: load, speed and failures."""

__all__ = ['EndpointState', 'make_state']

import math

REPORT_HALF_LIFE_SECONDS = 4.0
DEFAULT_TOKEN_SECONDS = 0.02
LIMIT_DECREASE = 0.7
EJECT_AFTER_FAILURES = 3
BASE_EJECT_SECONDS = 2.0
MAX_EJECT_SECONDS = 30.0
RAMP_SECONDS = 5.0
MIN_RAMP = 0.25


class EndpointState:
    """The state of one endpoint as estimated by this router.

    Attributes
    ----------
    own : int
        Requests of this router that the endpoint is running.
    limit : float
        Adaptive concurrency limit, from 1 to the record's slots.
    token_seconds : float
        Mean seconds per token (per call, for a service).
    measured : bool
        Whether `token_seconds` comes from a measurement.
    ejected_until : float
        No new requests before this time unless the other endpoints don't
        suffice.
    """

    __slots__ = (
        'slots',
        'own',
        'limit',
        'token_seconds',
        'measured',
        'reported',
        'reported_at',
        'own_at_report',
        'failures',
        'ejections',
        'ejected_until',
        'joined_at',
        'ready',
        'draining',
    )

    def __init__(self, slots, joined_at, token_seconds):
        self.slots = slots
        self.own = 0
        self.limit = float(slots)
        self.token_seconds = token_seconds
        self.measured = False
        self.reported = 0
        self.reported_at = -math.inf
        self.own_at_report = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf
        self.joined_at = joined_at
        self.ready = True
        self.draining = False

    def record_load(self, load, now):
        """Record a load report.

        Parameters
        ----------
        load : engines.EngineLoad
        now : float
        """
        self.reported = load.running + load.waiting
        self.reported_at = now
        self.own_at_report = self.own

    def other_requests(self, now):
        """Estimate the endpoint's requests that other routers sent.

        Reports lag.  This router's requests at the time of the report are
        subtracted, and the rest decays with a half-life of
        `REPORT_HALF_LIFE_SECONDS`, so that an endpoint which stopped
        reporting is not avoided for ever.
        """
        reported_others = max(0, self.reported - self.own_at_report)
        age = now - self.reported_at
        if reported_others == 0:
            return 0.0
        return reported_others * 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)

    def outstanding(self, now):
        """Estimate all requests at the endpoint, including recent ones."""
        return self.own + self.other_requests(now)

    def free_slots(self, now, quota):
        """Return how many more requests may be sent.

        Parameters
        ----------
        now : float
        quota : int
            This router's quota of the slots.

        Notes
        -----
        The limit of a joining endpoint is ramped up: its caches are empty,
        and all routers see it idle at the same moment.
        """
        limit = max(1.0, self.limit * self._ramp_fraction(now))
        return min(quota, limit) - self.own

    def _ramp_fraction(self, now):
        fraction = (now - self.joined_at) / RAMP_SECONDS
        return min(1.0, max(MIN_RAMP, fraction))

    def record_success(self, now):
        """Record a successful attempt, which may raise the limit."""
        self.failures = 0
        self.ejections = 0
        if self.outstanding(now) >= self.limit - 1:
            self.limit = min(self.slots, self.limit + 1.0 / self.limit)

    def record_refusal(self, now):
        """Record a refusal: the limit is too high, or nothing is accepted.

        An engine that lost its layers refuses everything until its status
        is next read.  If it were chosen again each time, it would use up the
        retry budget, and requests would fail although other engines are
        free.  The limit is reduced from this router's number of requests,
        including the refused one, if that is lower: its quota may be
        far below the limit, so that many reductions would have no effect.
        """
        attempted = min(self.limit, self.own + 1)
        self.limit = max(1.0, attempted * LIMIT_DECREASE)
        self.record_failure(now, severe=False)

    def record_failure(self, now, severe):
        """Record a failure; eject after several, or after a severe one.

        Parameters
        ----------
        now : float
        severe : bool
            The endpoint was unreachable.
        """
        self.failures += 1
        if not severe and self.failures < EJECT_AFTER_FAILURES:
            return
        seconds = min(
            MAX_EJECT_SECONDS, BASE_EJECT_SECONDS * 2**self.ejections
        )
        self.ejections += 1
        self.failures = 0
        self.ejected_until = now + seconds

    def is_ejected(self, now):
        """Return whether the endpoint is ejected for its failures."""
        return now < self.ejected_until


def make_state(slots, joined_at, token_seconds=DEFAULT_TOKEN_SECONDS):
    """Make the state of an endpoint that just joined.

    Parameters
    ----------
    slots : int
    joined_at : float
        ``-math.inf`` for an endpoint that was already running.
    token_seconds : float
    """
    return EndpointState(slots, joined_at, token_seconds)
