"""Limits how often requests are sent again, as a share of all requests."""

__all__ = ['RetryBudget', 'make_retry_budget']

import collections
import math

from ibisring_policy.gateway import attempts

# The bound on retries holds for all routers together and includes the
# endpoints' own calls.  Routers use this share of the ratio, each on its own
# requests, and this share of the slack, divided equally among them.
RATIO_SHARE = 0.8
SLACK_SHARE = 0.6
# Retries per second that a router makes at least, however many are refused:
# without any it would not learn that endpoints have room again.
MIN_RETRY_RATE = 0.5
# Factor by which the rate of retries changes after an outcome, as in TCP's
# slow start: a burst of refusals must be answered within a second.
RATE_FACTOR = 2.0
# Retries that a lowered rate allows at once after a pause: one request may use
# all its tries.
BURST_RETRIES = float(attempts.MAX_TRIES)
# Seconds in which the lowered rate doubles without a counted refusal: the load
# that caused the refusals may have ended while nothing was retried.
LAPSE_SECONDS = 1.0
# Intervals between two retries of the lowered rate that must pass first; with
# fewer than one, the rate would rise between two refused retries.
LAPSE_RETRIES = 1.25
# Retries refused in a row before the rate is first lowered: that one engine
# is full says little of the others, and small routers retry rarely.
MIN_REFUSALS = 2


class _Damper:
    """Token bucket for the retries of one service's new requests.

    Attributes
    ----------
    rate : float or None
        Retries per second allowed after refusals; None if only the bound of
        `RetryBudget` holds.
    changed_at : float
        When an outcome last changed `rate`.
    lapse_at : float
        When `rate` doubles next unless another refusal is counted.
    refusals : int
        Retries refused since the last accepted one.
    credit : float
        Retries that may be made at once.
    refilled_at : float
    """

    __slots__ = (
        'rate',
        'changed_at',
        'lapse_at',
        'refusals',
        'credit',
        'refilled_at',
    )

    def __init__(self):
        self.rate = None
        self.changed_at = -math.inf
        self.lapse_at = 0.0
        self.refusals = 0
        self.credit = BURST_RETRIES
        self.refilled_at = 0.0

    def has_credit(self, now, max_rate):
        """Return whether the lowered rate allows a retry."""
        self._advance(now, max_rate)
        return self.rate is None or self.credit >= 1.0

    def take(self):
        """Count a retry."""
        if self.rate is not None:
            self.credit -= 1.0

    def _advance(self, now, max_rate):
        """Add the credit of the time passed, and let the rate lapse."""
        while self.rate is not None and self.lapse_at <= now:
            self._refill(self.lapse_at)
            self._raise_rate(max_rate)
            self.lapse_at += LAPSE_SECONDS
        if self.rate is not None:
            self._refill(now)

    def _refill(self, now):
        passed = max(0.0, now - self.refilled_at)
        self.credit = min(BURST_RETRIES, self.credit + passed * self.rate)
        self.refilled_at = max(now, self.refilled_at)

    def _raise_rate(self, max_rate):
        rate = self.rate * RATE_FACTOR
        self.rate = rate if rate < max_rate else None

    def note_accepted(self, now, max_rate):
        """Raise the rate after an accepted retry."""
        self.refusals = 0
        self._advance(now, max_rate)
        if self.rate is not None:
            self._raise_rate(max_rate)
            self.changed_at = now

    def note_refused(self, now, max_rate):
        """Lower the rate after a refused retry."""
        self.refusals += 1
        if self.refusals < MIN_REFUSALS:
            return
        self._advance(now, max_rate)
        if self.rate is None:
            self.credit = BURST_RETRIES
            self.refilled_at = now
        rate = max_rate if self.rate is None else self.rate
        self.rate = max(MIN_RETRY_RATE, rate / RATE_FACTOR)
        self.changed_at = now
        self.lapse_at = now + max(LAPSE_SECONDS, LAPSE_RETRIES / self.rate)


class RetryBudget:
    """Limits retries to a share of the requests within a sliding window.

    When endpoints fail, each retry adds load to the remaining ones; without
    a limit the retries keep them overloaded.  A router whose retries for a
    service are refused makes half as many for it, again and again, until some
    succeed or none has been refused for a while.

    Parameters
    ----------
    seconds : float
        Length of the window.
    ratio : float
        Retries allowed per request.
    slack : float
        Retries allowed in addition to the ratio, for all routers together.

    Attributes
    ----------
    is_damped : bool
        Whether refused retries lower the rate of retries.
    dampers : dict of str to _Damper
        By service.
    max_rate : float
        Retries per second that the bound allows, as last computed.
    """

    __slots__ = (
        'seconds',
        'ratio',
        'slack',
        'request_times',
        'retry_times',
        'is_damped',
        'dampers',
        'max_rate',
    )

    def __init__(self, seconds, ratio, slack):
        self.seconds = seconds
        self.ratio = ratio
        self.slack = slack
        self.request_times = collections.deque()
        self.retry_times = collections.deque()
        self.is_damped = True
        self.dampers = {}
        self.max_rate = math.inf

    def _expire(self, now):
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= now - self.seconds:
                times.popleft()

    def count_request(self, now):
        """Count a request that raises the number of allowed retries."""
        self.request_times.append(now)
        self._expire(now)

    def remaining(self, now, routers):
        """Return how many retries the ratio and the slack allow now."""
        self._expire(now)
        return max(0, int(self._allowed(routers)) - len(self.retry_times))

    def _allowed(self, routers):
        own_slack = self.slack / max(1, routers)
        return len(self.request_times) * self.ratio + own_slack

    def take_retry(self, now, routers, service=None):
        """Count a retry, if the budget allows one.

        Parameters
        ----------
        now : float
        routers : int
            Number of routers that share the slack.  If a router's part did
            not shrink with their number, a large fleet would exceed the
            bound many times over when engines that all of them use fail.
        service : str or None
            Service whose lowered rate holds as well; None if only the bound
            holds: for services without a model, and for streams under way,
            whose response so far would be lost.

        Returns
        -------
        bool
            Whether the request may be sent again.
        """
        self._expire(now)
        allowed = self._allowed(routers)
        self.max_rate = allowed / self.seconds
        if len(self.retry_times) + 1 > allowed:
            return False
        damper = self.dampers.get(service)
        if damper is not None:
            if not damper.has_credit(now, self.max_rate):
                return False
            damper.take()
        self.retry_times.append(now)
        return True

    def note_outcome(self, service, taken_at, refused, now):
        """Lower or raise a service's rate after the outcome of a retry.

        Outcomes of retries that were made before the rate last changed say
        nothing about the present rate, and change nothing.  Callers note at
        most one refusal of each request: one that meets several full engines
        doesn't show that all are full.

        Parameters
        ----------
        service : str
        taken_at : float
            When `take_retry` allowed the retry.
        refused : bool
            Whether an endpoint refused it; otherwise it was accepted.
        now : float
        """
        if not self.is_damped:
            return
        damper = self.dampers.setdefault(service, _Damper())
        if taken_at <= damper.changed_at:
            return
        if refused:
            damper.note_refused(now, self.max_rate)
        else:
            damper.note_accepted(now, self.max_rate)


def make_retry_budget(seconds, ratio, slack):
    """Make a `RetryBudget`."""
    return RetryBudget(seconds, ratio, slack)
