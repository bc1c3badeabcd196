"""Times for which endpoints have asked this router to send nothing.

An endpoint that turns a request away may say for how long it wants no other
one from this router.  That is no rate and concerns no other router, which the
endpoint may still serve.  Once the time is over, requests are sent at
intervals until one of them is answered, as all that was kept back would
otherwise reach the endpoint at the same moment.
"""

__all__ = ['Backoffs', 'TRIAL_INTERVAL_SECONDS', 'make_backoffs']

import msgspec

# Longest time for which an endpoint is left alone: the answer may be damaged,
# and nothing but a request shows that the endpoint takes some again.
MAX_BACKOFF_SECONDS = 60.0
# Interval of requests after the time is over, until one is answered.
TRIAL_INTERVAL_SECONDS = 0.1
# How long after its end a backoff is kept without such an answer.
TRIAL_SECONDS = 5.0
# Bound on the backoffs that are kept.
MAX_BACKOFFS = 500


class _Backoff(msgspec.Struct):
    """Until when an endpoint wants nothing; times are monotonic seconds."""

    started: int
    until: float
    next_trial_at: float


class Backoffs:
    """Backoffs by endpoint id; the caller holds a lock around each call.

    Examples
    --------
    >>> backoffs = make_backoffs()
    >>> backoffs.record('e1', 0, 3.0, 10.0)
    True
    >>> backoffs.wait('e1', 11.0)
    2.0
    >>> backoffs.wait('e1', 13.0)
    0.0
    """

    def __init__(self):
        self.by_endpoint = {}

    def record(self, endpoint, started, seconds, now):
        """Record that an endpoint asked for a backoff.

        Each answer counts from its arrival, so that an answer that asks for
        less, or that comes late, doesn't end what another has asked for.

        Parameters
        ----------
        endpoint : str
        started : int
            Distinguishes processes that used the same endpoint id.
        seconds, now : float

        Returns
        -------
        bool
            False if too many are kept.
        """
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        backoff = self.by_endpoint.get(endpoint)
        if backoff is not None and backoff.started == started:
            backoff.until = max(backoff.until, until)
            return True
        if backoff is None and not self._has_room(now):
            return False
        self.by_endpoint[endpoint] = _Backoff(started, until, until)
        return True

    def _has_room(self, now):
        if len(self.by_endpoint) >= MAX_BACKOFFS:
            for name in [n for n in self.by_endpoint if not self.get(n, now)]:
                del self.by_endpoint[name]
        return len(self.by_endpoint) < MAX_BACKOFFS

    def get(self, endpoint, now):
        """Return an endpoint's backoff, None if it has none or it expired."""
        backoff = self.by_endpoint.get(endpoint)
        if backoff is None or now >= backoff.until + TRIAL_SECONDS:
            return None
        return backoff

    def record_answer(self, endpoint, started, sent_at):
        """Record an answer that asks for no backoff.

        It ends the trial after a backoff; the answer to a request that was
        sent before the end says nothing about the time after it.
        """
        backoff = self.by_endpoint.get(endpoint)
        if (
            backoff is not None
            and backoff.started == started
            and sent_at >= backoff.until
        ):
            del self.by_endpoint[endpoint]

    def record_start(self, endpoint, started):
        """Drop a backoff that was asked for before the last start."""
        backoff = self.by_endpoint.get(endpoint)
        if backoff is not None and backoff.started != started:
            del self.by_endpoint[endpoint]

    def remaining(self, endpoint, now):
        """Return the seconds until the time is over, 0 if it is."""
        backoff = self.get(endpoint, now)
        return 0.0 if backoff is None else max(0.0, backoff.until - now)

    def lasting(self, now, seconds):
        """Return the endpoints whose time is over in more than some seconds.

        Returns
        -------
        set of str
        """
        return {
            name
            for name, backoff in self.by_endpoint.items()
            if backoff.until - now > seconds
        }

    def wait(self, endpoint, now):
        """Return the seconds until a request may be sent to an endpoint."""
        backoff = self.get(endpoint, now)
        if backoff is None:
            return 0.0
        return max(0.0, max(backoff.until, backoff.next_trial_at) - now)

    def reserve(self, endpoint, now):
        """Count a request that is sent after `wait` seconds."""
        backoff = self.get(endpoint, now)
        if backoff is not None:
            sent_at = now + self.wait(endpoint, now)
            backoff.next_trial_at = sent_at + TRIAL_INTERVAL_SECONDS


def make_backoffs():
    """Make `Backoffs` without any."""
    return Backoffs()
