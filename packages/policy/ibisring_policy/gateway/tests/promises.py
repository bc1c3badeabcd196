"""What each decision about a request promises, whatever its inputs.

Each function returns the names of the promises that a decision breaks, so that
a check can be made with the decisions in use and with changed ones.
"""

__all__ = [
    'CONTINUING',
    'of_next_step',
    'of_giving_up',
    'of_exit',
    'may_continue',
    'may_continue_elsewhere',
]

from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import shutdown
import msgspec

Result = attempts.Result
NextStep = attempts.NextStep

CONTINUING = (NextStep.RETRY, NextStep.RESUME)
# Ends of an answer of which the caller has had a part.
_AFTER_HEAD = (NextStep.RESUME, NextStep.ABORT, NextStep.DROP)
# Results after which nothing may be sent: nobody waits, there is no time, or
# the request must not run.
_FINAL = (
    Result.CALLER_GONE,
    Result.DEADLINE,
    Result.SUSPECTED,
    Result.TURNED_AWAY,
)


def of_next_step(result, progress, step):
    """Return the promises that a next step after a failed attempt breaks.

    Parameters
    ----------
    result : attempts.Result
    progress : attempts.Progress
    step : attempts.NextStep

    Returns
    -------
    list of str
    """
    continues = step in CONTINUING
    allowed = may_continue(result, progress)
    is_stream = progress.stream
    kept = {
        'never run twice': not (continues and _must_not_repeat(progress)),
        'never "not run" after it may have run': not (
            step is NextStep.REFUSE and progress.may_have_run
        ),
        'never "may have run" if it has not': not (
            step is NextStep.UNKNOWN and not progress.may_have_run
        ),
        'nothing broken looks complete': (
            step in _AFTER_HEAD or not progress.delivering
        ),
        'only what has begun is broken off or resumed': (
            progress.delivering
            or step not in (NextStep.RESUME, NextStep.ABORT)
        ),
        'only streams are resumed': is_stream or step is not NextStep.RESUME,
        'within the limits on attempts': allowed or not continues,
        'nothing is given up that may go on': continues or not allowed,
        'a caller that waits gets an answer': (
            (step is NextStep.DROP) == (result is Result.CALLER_GONE)
        ),
    }
    return [name for name, is_kept in kept.items() if not is_kept]


def _must_not_repeat(progress):
    return progress.may_have_run and not progress.repeatable


def may_continue(result, progress):
    """Return whether a request may be sent once more, by its limits."""
    if result in _FINAL or _must_not_repeat(progress):
        return False
    if progress.delivering and not progress.stream:
        return False
    if progress.time_left < attempts.MIN_TIME_LEFT_SECONDS:
        return False
    if _has_used_tries(progress):
        return False
    if progress.sent_to and not progress.has_retry_budget:
        return False
    return progress.stream or progress.sent_to < progress.max_endpoints


def _has_used_tries(progress):
    if not progress.delivering:
        return progress.tries >= attempts.MAX_TRIES
    others = progress.tries - progress.refusals
    is_refused_too_often = progress.refusals >= attempts.MAX_REFUSALS
    return is_refused_too_often or others >= attempts.MAX_TRIES


def of_giving_up(progress, may_give_up):
    """Return the promises that giving up a running attempt breaks.

    Parameters
    ----------
    progress : attempts.Progress
    may_give_up : bool
        The decision for an attempt that its endpoint might still finish.

    Returns
    -------
    list of str
    """
    if may_give_up and not may_continue_elsewhere(progress):
        return ['nothing sound is given up before its successor is allowed']
    return []


def may_continue_elsewhere(progress):
    """Return whether a request whose running attempt is given up may go on.

    Its endpoint may have begun to run it, whether or not that is known yet.
    """
    after = msgspec.structs.replace(progress, may_have_run=True)
    return may_continue(Result.SILENT, after)


def of_exit(elapsed, active, grace, exits):
    """Return the promises that a draining process breaks.

    Parameters
    ----------
    elapsed : float
        Seconds since the shutdown request.
    active : int
        Running requests.
    grace : float
        Seconds from the shutdown request until the process is killed.
    exits : bool
        The decision.

    Returns
    -------
    list of str
    """
    is_last_moment = elapsed >= grace - shutdown.MARGIN_SECONDS
    is_accepting = elapsed < min(shutdown.ACCEPT_SECONDS, grace / 2.0)
    kept = {
        'no running request is cut before the last moment': (
            not (exits and active and not is_last_moment)
        ),
        'new connections are served until balancers know': (
            not (exits and is_accepting and not is_last_moment)
        ),
        'the process ends before it is killed': exits or not is_last_moment,
        'an idle process ends': bool(active) or is_accepting or exits,
    }
    return [name for name, is_kept in kept.items() if not is_kept]
