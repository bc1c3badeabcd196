"""What follows when an attempt to forward a request ends badly."""

__all__ = [
    'Result',
    'NextStep',
    'Progress',
    'decide',
    'RetryBudget',
    'make_retry_budget',
]

import collections
import enum

import msgspec


class Result(enum.StrEnum):
    """How an attempt ended, by what it says about the request.

    `SUSPECTED` is one that was not made: the request ends its endpoints.
    """

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    LOST = 'lost'
    DAMAGED = 'damaged'
    CUT = 'cut'
    SILENT = 'silent'
    DEADLINE = 'deadline'
    CALLER_GONE = 'caller_gone'
    SUSPECTED = 'suspected'


class NextStep(enum.StrEnum):
    """The next step of a request.

    `REFUSE` promises the caller that nothing ran; `UNKNOWN` does not.
    `ABORT` ends an answer under way so that it can't look complete.
    """

    RETRY = 'elsewhere'
    RESUME = 'resume'
    REFUSE = 'refuse'
    UNKNOWN = 'unknown'
    ABORT = 'break'
    DROP = 'drop'


class Progress(msgspec.Struct, kw_only=True):
    """All that the decision depends on.

    `tries` counts connections tried, `refusals` those of them that ended in a
    refusal, `sent_to` endpoints that were sent the
    request, `may_have_run` whether one of them may have begun; `delivering`
    that the caller has got the head of an answer.  Times are in seconds.
    """

    repeatable: bool
    stream: bool
    max_endpoints: int
    tries: int = 0
    refusals: int = 0
    sent_to: int = 0
    may_have_run: bool = False
    delivering: bool = False
    time_left: float = 0.0
    has_retry_budget: bool = True


# The bound on repeats holds for all routers together and counts those of
# endpoints' own calls too.  Routers use this share of the ratio, each to its
# own requests, and this share of the slack, in equal parts.
RATIO_SHARE = 0.8
SLACK_SHARE = 0.6
# Connections tried for one request: each costs up to the connect timeout.
MAX_TRIES = 4
# Refusals beside them that a stream under way may meet, and the seconds
# between two tries then: engines that are full have room again soon.
MAX_REFUSALS = 6
REFUSAL_PAUSE_SECONDS = 0.1
# A repeat with less time than this left would only be cut again, in seconds.
MIN_TIME_LEFT_SECONDS = 0.03


def decide(end, progress):
    """Say what to do next.

    Parameters
    ----------
    end : Result
    progress : Progress

    Returns
    -------
    NextStep

    Notes
    -----
    A request that must run once at most and may have begun is never sent
    again, and its caller is never told that it did not run: a second alert
    teaches people to ignore the first.
    """
    if end is Result.CALLER_GONE:
        return NextStep.DROP
    if end in (Result.DEADLINE, Result.SUSPECTED):
        return _give_up(progress)
    if progress.may_have_run and not progress.repeatable:
        return _give_up(progress)
    if not _may_go_on(end, progress):
        return _give_up(progress)
    if progress.delivering:
        return NextStep.RESUME if progress.stream else NextStep.ABORT
    return NextStep.RETRY


def _may_go_on(end, progress):
    if _tries_spent(progress) or progress.time_left < MIN_TIME_LEFT_SECONDS:
        return False
    # A stream may go to an endpoint that has had it before, over a chain
    # with other stages: that is no further endpoint.
    is_open = progress.stream or progress.sent_to < progress.max_endpoints
    # A request that no endpoint was sent is no repeat yet.
    return is_open and (progress.has_retry_budget or not progress.sent_to)


def _tries_spent(progress):
    """Say whether a request has had all its tries.

    A stream under way loses all of its answer with the last of them, and a
    refusal costs it a moment only.
    """
    if not progress.delivering:
        return progress.tries >= MAX_TRIES
    if progress.refusals >= MAX_REFUSALS:
        return True
    return progress.tries - progress.refusals >= MAX_TRIES


def _give_up(progress):
    if progress.delivering:
        return NextStep.ABORT
    return NextStep.UNKNOWN if progress.may_have_run else NextStep.REFUSE


class RetryBudget:
    """Bounds repeats to a share of the requests of some seconds.

    When endpoints fail, each repeat is more load on those left; without a
    bound the repeats are what keeps them down.

    Parameters
    ----------
    seconds, ratio : float
    slack : float
        Repeats allowed beside the ratio, to all routers together.
    """

    __slots__ = ('seconds', 'ratio', 'slack', 'request_times', 'retry_times')

    def __init__(self, seconds, ratio, slack):
        self.seconds = seconds
        self.ratio = ratio
        self.slack = slack
        self.request_times = collections.deque()
        self.retry_times = collections.deque()

    def _expire(self, now):
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= now - self.seconds:
                times.popleft()

    def count_request(self, now):
        """Count a request."""
        self.request_times.append(now)
        self._expire(now)

    def take_retry(self, now, routers):
        """Take one repeat if the bound allows it.

        Parameters
        ----------
        now : float
        routers : int
            How many share the slack.  A part of it that does not shrink
            with their number would let a large fleet pass the bound many
            times over when engines that all of them use fail.

        Returns
        -------
        bool
        """
        self._expire(now)
        own_slack = self.slack / max(1, routers)
        allowed = len(self.request_times) * self.ratio + own_slack
        if len(self.retry_times) + 1 > allowed:
            return False
        self.retry_times.append(now)
        return True


def make_retry_budget(seconds, ratio, slack):
    """Make a `RetryBudget`."""
    return RetryBudget(seconds, ratio, slack)
