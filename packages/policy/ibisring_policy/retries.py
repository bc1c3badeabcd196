"""Retry policy: what follows a failed attempt, and how often to retry."""

__all__ = [
    'Failure',
    'NOT_RUN_FAILURES',
    'Action',
    'Situation',
    'decide',
    'outcome_of',
    'RetryBudget',
    'make_budget',
    'backoff',
    'is_slow',
]

import enum

from ibisring_records import exceptions
import msgspec

MAX_ATTEMPTS = 4
MAX_RESUMES = 2
RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 10.0
BASE_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0
SLOW_FACTOR = 3.0
SLOW_TOKENS = 6
SLOW_SECONDS = 0.2


class Failure(enum.StrEnum):
    """How an attempt failed.

    - NOT_SENT: the endpoint could not be reached.
    - REFUSED: it refused the request without running it.
    - FAILED: it ran the request and reported a failure.
    - STAGE_LOST: it was lost while the request ran.
    - CUT: the connection broke before the answer was complete.
    - SILENT: nothing was received for too long.
    - SLOW: the chain became too slow.
    - GONE: the caller disconnected.
    """

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    FAILED = 'failed'
    STAGE_LOST = 'stage_lost'
    CUT = 'cut'
    SILENT = 'silent'
    SLOW = 'slow'
    GONE = 'gone'


class Action(enum.StrEnum):
    """The next action for a request."""

    RESUME = 'resume'
    NEW_ATTEMPT = 'new_attempt'
    GIVE_UP = 'give_up'


class Situation(msgspec.Struct):
    """Input of the decision.

    `may_have_run` is whether this or an earlier attempt may have run;
    `resumable`, whether this kind of endpoint can resume an attempt;
    `has_delivered`, whether the current attempt delivered a token.
    """

    failure: Failure
    idempotent: bool
    may_have_run: bool
    resumable: bool
    attempts: int
    resumes: int
    now: float
    deadline: float
    max_attempts: int = MAX_ATTEMPTS
    has_delivered: bool = False


# Failures after which an attempt certainly did not run.
NOT_RUN_FAILURES = (Failure.NOT_SENT, Failure.REFUSED)
_CONNECTION_FAILURES = (Failure.CUT, Failure.SILENT)


def decide(situation, budget):
    """Choose the next action after a failure.

    Parameters
    ----------
    situation : Situation
    budget : RetryBudget
        Charged if the chosen action adds to the load.

    Returns
    -------
    Action

    Notes
    -----
    A second run of an alert would notify its recipient twice.  A request
    that is not idempotent therefore gets a new attempt only if no attempt
    can have run; otherwise it may only resume the same attempt, which does
    not run it again.

    Retries without a budget multiply the load when endpoints fail.  Two
    kinds add no load and are not charged: a resumption, and an attempt that
    replaces one which had delivered a token and whose slots are free now.
    When a middlebox drops all connections, or a failure domain fails, a
    router has many of these at once; if they were charged, they would use
    up the budget, and most callers' answers would break off.

    An attempt at a silent engine that has delivered no token is not resumed
    if the request may run elsewhere.

    Examples
    --------
    >>> s = Situation(Failure.CUT, False, True, False, 1, 0, 0.0, 9.0)
    >>> decide(s, make_budget()).value
    'give_up'
    """
    if situation.now >= situation.deadline or situation.max_attempts == 1:
        return Action.GIVE_UP
    if _may_resume(situation):
        return Action.RESUME
    if situation.attempts >= situation.max_attempts:
        return Action.GIVE_UP
    surely_not_run = (
        situation.failure in NOT_RUN_FAILURES and not situation.may_have_run
    )
    if not situation.idempotent and not surely_not_run:
        return Action.GIVE_UP
    if situation.has_delivered or budget.spend():
        return Action.NEW_ATTEMPT
    return Action.GIVE_UP


def _may_resume(situation):
    if (
        not situation.resumable
        or situation.failure not in _CONNECTION_FAILURES
    ):
        return False
    if situation.idempotent and not situation.has_delivered:
        return False
    return situation.resumes < MAX_RESUMES


def outcome_of(failure, may_have_run):
    """Return the outcome to report when the request is not retried.

    Parameters
    ----------
    failure : Failure
        Failure of the last attempt.
    may_have_run : bool
        Whether any attempt may have run.

    Examples
    --------
    >>> outcome_of(Failure.REFUSED, may_have_run=False).value
    'not_run'
    >>> outcome_of(Failure.REFUSED, may_have_run=True).value
    'unknown'
    """
    if failure in NOT_RUN_FAILURES and not may_have_run:
        return exceptions.Outcome.NOT_RUN
    if failure is Failure.FAILED:
        return exceptions.Outcome.FAILED
    return exceptions.Outcome.UNKNOWN


class RetryBudget:
    """Limits retries to a share of first attempts.

    Parameters
    ----------
    share : float
        Retries earned by each first attempt.
    reserve : float
        Maximum number of saved retries; also the initial number.
    """

    __slots__ = ('share', 'reserve', 'saved')

    def __init__(self, share, reserve):
        self.share = share
        self.reserve = reserve
        self.saved = reserve

    def earn(self):
        """Count a first attempt."""
        self.saved = min(self.reserve, self.saved + self.share)

    def spend(self):
        """Charge a retry; False if none is available."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


def make_budget(share=RETRIES_PER_REQUEST, reserve=MAX_SAVED_RETRIES):
    """Make a retry budget."""
    return RetryBudget(share, reserve)


def backoff(attempt, rng, base=BASE_BACKOFF_SECONDS, cap=MAX_BACKOFF_SECONDS):
    """Return the wait before the next attempt, with full jitter.

    Parameters
    ----------
    attempt : int
        Number of attempts made, at least 1.
    rng : random.Random

    Returns
    -------
    float
        Seconds.
    """
    return rng.uniform(0.0, min(cap, base * 2 ** (attempt - 1)))


def is_slow(seconds, tokens, expected):
    """Return whether an attempt is so slow that it should be replaced.

    Parameters
    ----------
    seconds : float
        Since its first token.
    tokens : int
        Number of tokens received after the first.
    expected : float
        Expected seconds per token of its chain.

    Returns
    -------
    bool

    Notes
    -----
    A stage that has become ten times slower still answers probes and keeps
    its connections; only the answers are late.  An idempotent request is
    then continued on another chain.

    Examples
    --------
    >>> is_slow(2.0, 10, 0.02), is_slow(0.3, 10, 0.02)
    (True, False)
    """
    if tokens < SLOW_TOKENS or seconds < SLOW_SECONDS:
        return False
    return seconds > SLOW_FACTOR * expected * tokens
