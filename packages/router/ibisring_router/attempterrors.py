"""Errors of failed attempts, and the final error of their request."""

__all__ = [
    'AttemptFailed',
    'from_answer_lost',
    'uncertain_error',
    'final_error',
]

from ibisring_policy import retries
from ibisring_records import exceptions
from ibisring_web import calls

RETRY_AFTER_SECONDS = 1.0

_DESCRIPTIONS = {
    retries.Failure.NOT_SENT: 'could not be reached',
    retries.Failure.REFUSED: 'refused the request without running it',
    retries.Failure.FAILED: 'ran the request and failed',
    retries.Failure.STAGE_LOST: 'was lost while the request ran',
    retries.Failure.CUT: 'broke off before its answer was whole',
    retries.Failure.SILENT: 'fell silent',
    retries.Failure.SLOW: 'became too slow',
    retries.Failure.GONE: 'was left by the caller',
}


class AttemptFailed(Exception):
    """An attempt failed.

    Attributes
    ----------
    failure : retries.Failure
    detail : str
        For metrics and logs only, as it may contain addresses.
    failed_endpoint : str
        Name of the endpoint that failed, '' if unknown.
    action : retries.Action or None
        The action chosen after the failure.
    """

    def __init__(self, failure, detail, failed_endpoint=''):
        super().__init__(detail)
        self.failure = failure
        self.detail = detail
        self.failed_endpoint = failed_endpoint
        self.action = None

    def caller_detail(self):
        """Return the detail for the caller, without addresses."""
        name = self.failed_endpoint or 'the endpoint'
        return f'{name} {_DESCRIPTIONS[self.failure]}'


def from_answer_lost(error):
    """Make the failure of an attempt whose answer was lost.

    Parameters
    ----------
    error : calls.AnswerLost
    """
    timed_out = isinstance(error, calls.Silent)
    failure = retries.Failure.SILENT if timed_out else retries.Failure.CUT
    return AttemptFailed(failure, str(error))


def uncertain_error(idempotent, detail):
    """Make the error of a request that may have run."""
    if idempotent:
        return exceptions.Interrupted(detail)
    return exceptions.OutcomeUnknown(detail)


def final_error(idempotent, may_have_run, failed):
    """Make the error of a request after its last attempt.

    Parameters
    ----------
    idempotent : bool
    may_have_run : bool
        Whether any attempt may have run.
    failed : AttemptFailed

    Returns
    -------
    IbisringError
    """
    outcome = retries.outcome_of(failed.failure, may_have_run)
    detail = failed.caller_detail()
    if outcome is exceptions.Outcome.NOT_RUN:
        return exceptions.EndpointRefused(
            detail, retry_after=RETRY_AFTER_SECONDS
        )
    if outcome is exceptions.Outcome.FAILED:
        return exceptions.EndpointFailed(detail)
    return uncertain_error(idempotent, detail)
