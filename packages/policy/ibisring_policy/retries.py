"""What to do when an attempt ends badly, and how often to try again."""

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
MOST_RESUMES = 2
BUDGET_SHARE = 0.2
BUDGET_RESERVE = 10.0
BACKOFF_BASE = 0.02
BACKOFF_CAP = 1.0
SLOW_FACTOR = 3.0
SLOW_TOKENS = 6
SLOW_SECONDS = 0.2


class Failure(enum.StrEnum):
    """How an attempt ended, by what it says about the endpoint."""

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    FAILED = 'failed'
    STAGE_LOST = 'stage_lost'
    CUT = 'cut'
    SILENT = 'silent'
    SLOW = 'slow'
    GONE = 'gone'


class Action(enum.StrEnum):
    """The next step of a request."""

    RESUME = 'resume'
    NEW_ATTEMPT = 'new_attempt'
    GIVE_UP = 'give_up'


class Situation(msgspec.Struct):
    """All that the decision depends on.

    `began` says that some earlier or present attempt may have run;
    `resumable` that the endpoint kind can go on with the same attempt;
    `delivering` that the present attempt had come to its first token.
    """

    failure: Failure
    idempotent: bool
    began: bool
    resumable: bool
    attempts: int
    resumes: int
    now: float
    deadline: float
    most_attempts: int = MAX_ATTEMPTS
    delivering: bool = False


# After these an attempt certainly ran nothing.
NOT_RUN_FAILURES = (Failure.NOT_SENT, Failure.REFUSED)
_CONNECTION = (Failure.CUT, Failure.SILENT)


def decide(situation, budget):
    """Choose the next step after a failure.

    Parameters
    ----------
    situation : Situation
    budget : RetryBudget
        Charged if a try is chosen that adds to the load.

    Returns
    -------
    Action

    Notes
    -----
    A second run of an alert reaches the foreman twice.  So a request that
    is not idempotent gets a new attempt only while nothing can have begun;
    after that it may only resume the same attempt, which runs nothing anew.

    Retries without a budget multiply the load just when endpoints fail.  Two
    kinds add nothing to it, and are not charged: a resumption, and an attempt
    in place of one that was delivering and whose slots are free now.  When a
    middlebox forgets all connections, or a failure domain goes, a router has
    many of these at once; charged, they would spend the budget, and the
    answers of most callers would break off.

    A silent engine is not asked again while it has delivered nothing, if the
    request may run elsewhere.

    Examples
    --------
    >>> s = Situation(Failure.CUT, False, True, False, 1, 0, 0.0, 9.0)
    >>> decide(s, make_budget()).value
    'give_up'
    """
    if situation.now >= situation.deadline or situation.most_attempts == 1:
        return Action.GIVE_UP
    if _may_resume(situation):
        return Action.RESUME
    if situation.attempts >= situation.most_attempts:
        return Action.GIVE_UP
    certain = situation.failure in NOT_RUN_FAILURES and not situation.began
    if not situation.idempotent and not certain:
        return Action.GIVE_UP
    if situation.delivering or budget.spend():
        return Action.NEW_ATTEMPT
    return Action.GIVE_UP


def _may_resume(situation):
    if not situation.resumable or situation.failure not in _CONNECTION:
        return False
    if situation.idempotent and not situation.delivering:
        return False
    return situation.resumes < MOST_RESUMES


def outcome_of(failure, began):
    """Return the truthful outcome when no further step is taken.

    Parameters
    ----------
    failure : Failure
        Of the last attempt.
    began : bool
        Whether any attempt may have run.

    Examples
    --------
    >>> outcome_of(Failure.REFUSED, began=False).value
    'not_run'
    >>> outcome_of(Failure.REFUSED, began=True).value
    'unknown'
    """
    if failure in NOT_RUN_FAILURES and not began:
        return exceptions.Outcome.NOT_RUN
    if failure is Failure.FAILED:
        return exceptions.Outcome.FAILED
    return exceptions.Outcome.UNKNOWN


class RetryBudget:
    """Allows retries up to a share of first tries.

    Parameters
    ----------
    share : float
        Retries earned by each first try.
    reserve : float
        Most that can be saved up; also what it starts with.
    """

    __slots__ = ('share', 'reserve', 'saved')

    def __init__(self, share, reserve):
        self.share = share
        self.reserve = reserve
        self.saved = reserve

    def earn(self):
        """Count a first try."""
        self.saved = min(self.reserve, self.saved + self.share)

    def spend(self):
        """Take one retry; False if none is left."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


def make_budget(share=BUDGET_SHARE, reserve=BUDGET_RESERVE):
    """Make a retry budget."""
    return RetryBudget(share, reserve)


def backoff(attempt, rng, base=BACKOFF_BASE, cap=BACKOFF_CAP):
    """Return a wait before another attempt, with full jitter.

    Parameters
    ----------
    attempt : int
        Attempts made so far, from 1.
    rng : random.Random

    Returns
    -------
    float
        Seconds.
    """
    return rng.uniform(0.0, min(cap, base * 2 ** (attempt - 1)))


def is_slow(seconds, tokens, expected):
    """Return whether an attempt is so slow that another chain is better.

    Parameters
    ----------
    seconds : float
        Since its first token.
    tokens : int
        That came after the first.
    expected : float
        Seconds a token that were expected of its chain.

    Returns
    -------
    bool

    Notes
    -----
    A stage that has become ten times slower answers every probe and breaks
    no connection; it shows only as answers that come too late.  An
    idempotent request leaves it and goes on elsewhere.

    Examples
    --------
    >>> is_slow(2.0, 10, 0.02), is_slow(0.3, 10, 0.02)
    (True, False)
    """
    if tokens < SLOW_TOKENS or seconds < SLOW_SECONDS:
        return False
    return seconds > SLOW_FACTOR * expected * tokens
