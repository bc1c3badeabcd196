"""Decides what follows a failed attempt, and whether one may be given up."""

__all__ = [
    'Result',
    'NextStep',
    'Cause',
    'Progress',
    'decide',
    'may_give_up',
    'may_begin_anew',
    'count_given_up',
    'note_event',
    'note_result',
    'is_held',
    'is_in_vain',
    'uncount',
    'use_up',
    'pause_seconds',
    'tries_left',
]

import enum

import msgspec


class Result(enum.StrEnum):
    """How an attempt failed, by what is known about the request's execution.

    `SUSPECTED` stands for an attempt that was not made, since the request is
    suspected of crashing endpoints.  `TURNED_AWAY` means that another router
    refused the request, for a reason that holds for this one too.  `EXIT`
    means that this router exits before the answer has come.
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
    TURNED_AWAY = 'turned_away'
    EXIT = 'exit'


class NextStep(enum.StrEnum):
    """The next step of a request.

    `REFUSE` guarantees to the caller that nothing was executed; `UNKNOWN`
    does not.  `ABORT` breaks off a response that has begun, so that it can't
    be taken for a complete one.  `WAIT` is to decide again after a pause.
    """

    RETRY = 'elsewhere'
    RESUME = 'resume'
    REFUSE = 'refuse'
    UNKNOWN = 'unknown'
    ABORT = 'break'
    WAIT = 'wait'
    DROP = 'drop'


class Cause(enum.StrEnum):
    """Why this router would end an attempt that may still be answered.

    With `LOST` a stage of it doesn't answer status queries either; with
    `UNLOADED` it keeps an engine from loading the layers that it was ordered
    to hold; with `FAILED` its answer is an error of the endpoint.
    """

    SILENT = 'silent'
    LOST = 'lost'
    UNLOADED = 'unloaded'
    FAILED = 'failed'


class Progress(msgspec.Struct, kw_only=True):
    """State of a request on which the decision depends.

    `tries` counts connection attempts, `refusals` those of them that the
    endpoint refused, `moves` those that this router gave up though nothing
    showed that the endpoint was lost, `sent_to` the endpoints that the
    request was sent to; `is_moved` says that no event has come since the last
    of these moves, `is_given_up` that none has since this router gave up an
    attempt, for whatever cause, and no endpoint has lost one since;
    `may_have_run` is set once one of them may have begun to execute it, and
    `delivering` once the caller has received the head of a response.
    `time_left` is in seconds; `is_shortened` says that the router exits before
    the request's own deadline, so that a further run has less time than the
    request was given.
    """

    repeatable: bool
    stream: bool
    max_endpoints: int
    tries: int = 0
    refusals: int = 0
    moves: int = 0
    is_moved: bool = False
    is_given_up: bool = False
    sent_to: int = 0
    may_have_run: bool = False
    delivering: bool = False
    time_left: float = 0.0
    has_retry_budget: bool = True
    is_shortened: bool = False


# Causes that show nothing against the endpoint.
_MOVES = (Cause.SILENT, Cause.UNLOADED)
CONTINUING = (NextStep.RETRY, NextStep.RESUME)
# Connection attempts for one request: each may take the connect timeout.
MAX_TRIES = 4
# Refusals that a stream under way may meet in addition, and the pause between
# two attempts then: engines that are full have room again soon.
MAX_REFUSALS = 6
REFUSAL_PAUSE_SECONDS = 0.1
# Longest pause between two attempts of a held stream: its caller waits about
# two seconds for the next event.
MAX_PAUSE_SECONDS = 0.4
# Attempts of a request that may be given up for a silence alone.  They don't
# count as tries: a slow endpoint must not use up what a lost one needs.
MAX_MOVES = 3
# A retry with less time left than this would miss the deadline as well.
MIN_TIME_LEFT_SECONDS = 0.03


def decide(result, progress):
    """Choose the next step after a failed attempt.

    Parameters
    ----------
    result : Result
    progress : Progress

    Returns
    -------
    NextStep

    Notes
    -----
    A request that must run at most once and may have begun is never sent
    again, and its caller is never told that it did not run: a duplicated
    alert teaches people to ignore alerts.
    """
    if result is Result.CALLER_GONE:
        return NextStep.DROP
    if result in _FINAL_RESULTS:
        return _give_up(progress)
    if progress.may_have_run and not progress.repeatable:
        return _give_up(progress)
    if not _may_retry(progress):
        return _give_up(progress)
    # Sending a request that no endpoint has received yet is not a retry.
    if progress.sent_to and not progress.has_retry_budget:
        return NextStep.WAIT if is_held(progress) else _give_up(progress)
    if progress.delivering:
        return NextStep.RESUME if progress.stream else NextStep.ABORT
    return NextStep.RETRY


def may_give_up(cause, progress):
    """Return whether this router may end an attempt that is under way.

    Parameters
    ----------
    cause : Cause
    progress : Progress
        With `has_retry_budget` if a retry is set aside for the request.

    Returns
    -------
    bool

    Notes
    -----
    Ending an attempt can't be taken back, and a silent endpoint may go on
    within a second.  So an attempt is ended only if `decide` then sends the
    request elsewhere; otherwise the endpoint, the caller or the deadline ends
    it.  The move itself is no try, but one must be left in case the next
    endpoint can't be reached.  A request is moved once in a silence: a second
    move would begin so late that the caller has left.
    """
    if cause in _MOVES and progress.moves >= MAX_MOVES:
        return False
    if cause is Cause.SILENT and progress.is_moved:
        return False
    # What follows is decided again a moment later.
    after = msgspec.structs.replace(
        progress,
        may_have_run=True,
        time_left=progress.time_left - MIN_TIME_LEFT_SECONDS,
    )
    return decide(Result.SILENT, after) in CONTINUING


def may_begin_anew(cause, progress):
    """Return whether a run may take the place of one that is under way.

    While the router drains, the answer of a slow endpoint may still come
    before the exit, but a second run begins anew and is cut by it.  So an
    attempt without any part of an answer isn't given up for a silence alone.

    Parameters
    ----------
    cause : Cause
    progress : Progress

    Returns
    -------
    bool
    """
    is_silent_only = cause is Cause.SILENT and not progress.delivering
    return not (progress.is_shortened and is_silent_only)


def use_up(progress):
    """Leave a request no further connection attempt, unless it is held."""
    if is_held(progress):
        return
    progress.refusals = MAX_REFUSALS
    progress.tries = MAX_TRIES + progress.moves


def count_given_up(cause, progress):
    """Count an attempt that this router has given up."""
    progress.is_given_up = True
    if cause in _MOVES:
        progress.moves += 1
        progress.is_moved = True


def note_event(progress):
    """Note that an event of the answer has come."""
    progress.is_moved = False
    progress.is_given_up = False


def note_result(result, progress):
    """Note how an attempt has failed, before it is counted as given up."""
    if result not in _NOT_RUN:
        progress.is_given_up = False


def is_held(progress):
    """Return whether a request isn't ended for want of an endpoint.

    Its attempt might have gone on, had this router not given it up, and the
    caller would lose what it has received.  So refusals, missing room and a
    used up retry budget end it no more than they end an attempt that runs:
    its deadline, its caller, or an endpoint that loses it does.
    """
    return progress.is_given_up and progress.delivering and progress.stream


def is_in_vain(result, progress):
    """Return whether no endpoint has run an attempt of a held request."""
    return is_held(progress) and result in _NOT_RUN


def uncount(before, progress):
    """Take back what an attempt that was in vain has counted.

    Otherwise refusals would use up the tries that the stream needs when its
    next endpoint is lost.

    Parameters
    ----------
    before : Progress
        State before the attempt.
    progress : Progress
    """
    progress.tries = before.tries
    progress.refusals = before.refusals


def pause_seconds(result, step, in_vain):
    """Return the seconds to wait before a request's next step.

    Parameters
    ----------
    result : Result
    step : NextStep
    in_vain : int
        Attempts of a held request since one last ran, and waits for a retry.
    """
    is_full = result is Result.REFUSED and step is NextStep.RESUME
    if step is not NextStep.WAIT and not is_full and in_vain <= MAX_TRIES:
        return 0.0
    pause = REFUSAL_PAUSE_SECONDS * max(1, in_vain - MAX_REFUSALS)
    return min(MAX_PAUSE_SECONDS, pause)


_FINAL_RESULTS = (
    Result.DEADLINE,
    Result.SUSPECTED,
    Result.TURNED_AWAY,
    Result.EXIT,
)
# Results of attempts that no endpoint has run.
_NOT_RUN = (Result.NOT_SENT, Result.REFUSED)


def _may_retry(progress):
    if not tries_left(progress):
        return False
    if progress.time_left < MIN_TIME_LEFT_SECONDS:
        return False
    # A stream may return to an endpoint that it was sent to before, with a
    # chain of other stages: that does not count as a further endpoint.
    return progress.stream or progress.sent_to < progress.max_endpoints


def tries_left(progress):
    """Return how many more connection attempts a request may make.

    A stream under way may be refused more often: giving up would lose its
    whole response, while a refusal only costs a short delay.
    """
    tries = progress.tries - progress.moves
    if not progress.delivering:
        return max(0, MAX_TRIES - tries)
    if progress.refusals >= MAX_REFUSALS:
        return 0
    return max(0, MAX_TRIES - tries + progress.refusals)


def _give_up(progress):
    if progress.delivering:
        return NextStep.ABORT
    return NextStep.UNKNOWN if progress.may_have_run else NextStep.REFUSE
