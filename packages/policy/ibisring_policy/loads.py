"""What this router believes of each endpoint: load, speed and health."""

__all__ = ['EndpointState', 'make_state']

import math

REPORT_HALF_LIFE = 4.0
DEFAULT_TOKEN_SECONDS = 0.02
LIMIT_DECREASE = 0.7
EJECT_AFTER = 3
EJECT_SECONDS = 2.0
EJECT_CAP = 30.0
RAMP_SECONDS = 5.0
RAMP_FLOOR = 0.25


class EndpointState:
    """The state of one endpoint as seen from this router.

    Attributes
    ----------
    own : int
        Requests of this router that it works on now.
    limit : float
        Adaptive concurrency, from 1 to the record's slots.
    token_seconds : float
        Mean seconds a token (or a call, for a service) takes.
    ejected_until : float
        No new work before this time, unless it is the last resort.
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

    def report(self, load, now):
        """Take in a load report.

        Parameters
        ----------
        load : engines.EngineLoad
        now : float
        """
        self.reported = load.running + load.waiting
        self.reported_at = now
        self.own_at_report = self.own

    def others(self, now):
        """Estimate the requests there that came from other routers.

        A report lags.  What was ours when it came is taken off, and the
        rest loses half its weight every `REPORT_HALF_LIFE`, so an endpoint
        that stopped reporting is not shunned for ever.
        """
        seen = max(0, self.reported - self.own_at_report)
        age = now - self.reported_at
        if seen == 0:
            return 0.0
        return seen * 0.5 ** (age / REPORT_HALF_LIFE)

    def outstanding(self, now):
        """Estimate all requests there, with what was sent since."""
        return self.own + self.others(now)

    def usable(self, now, part):
        """Return how many more requests may be sent.

        Parameters
        ----------
        now : float
        part : int
            This router's part of the slots.

        Notes
        -----
        A joining endpoint gets work in growing measure: its caches are
        empty, and all routers see it idle at the same moment.
        """
        limit = max(1.0, self.limit * self._ramp(now))
        return min(part, limit) - self.own

    def _ramp(self, now):
        grown = (now - self.joined_at) / RAMP_SECONDS
        return min(1.0, max(RAMP_FLOOR, grown))

    def succeeded(self, now):
        """Learn from an attempt that went well."""
        self.failures = 0
        self.ejections = 0
        if self.outstanding(now) >= self.limit - 1:
            self.limit = min(self.slots, self.limit + 1.0 / self.limit)

    def refused(self, now):
        """Learn that it is fuller than believed, or takes nothing at all.

        An engine that lost its layers refuses everything until its status
        is next read.  Chosen again and again, it would use up the retry
        budget, and requests would fail beside engines that are free.  The
        limit is cut from what it held with the one refused: this router's
        part may be far below the limit, which would hide many cuts.
        """
        held = min(self.limit, self.own + 1)
        self.limit = max(1.0, held * LIMIT_DECREASE)
        self.failed(now, severe=False)

    def failed(self, now, severe):
        """Learn from a failure; eject after several, or one severe one.

        Parameters
        ----------
        now : float
        severe : bool
            It could not be reached at all.
        """
        self.failures += 1
        if not severe and self.failures < EJECT_AFTER:
            return
        seconds = min(EJECT_CAP, EJECT_SECONDS * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.ejected_until = now + seconds

    def is_ejected(self, now):
        """Return whether it is left out for its failures."""
        return now < self.ejected_until


def make_state(slots, joined_at, token_seconds=DEFAULT_TOKEN_SECONDS):
    """Make the state of an endpoint that just came into view.

    Parameters
    ----------
    slots : int
    joined_at : float
        Use ``-math.inf`` for one that is known to have been there.
    token_seconds : float
    """
    return EndpointState(slots, joined_at, token_seconds)
