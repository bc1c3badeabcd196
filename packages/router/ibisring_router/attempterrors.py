"""The final error of a request whose attempts ended badly."""

__all__ = [
    'AttemptFailed',
    'from_answer_lost',
    'uncertain_error',
    'final_error',
]

from ibisring_policy import retries
from ibisring_records import exceptions
from ibisring_web import calls

RETRY_AFTER = 1.0

_PHRASES = {
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
    """An attempt ended badly.

    Attributes
    ----------
    failure : retries.Failure
    detail : str
        For counting and logs; it may hold addresses.
    failed_endpoint : str
        The endpoint at fault, or '' if it is not known.
    action : retries.Action or None
        What was decided about it.
    """

    def __init__(self, failure, detail, failed_endpoint=''):
        super().__init__(detail)
        self.failure = failure
        self.detail = detail
        self.failed_endpoint = failed_endpoint
        self.action = None

    def caller_detail(self):
        """Say what happened without addresses."""
        name = self.failed_endpoint or 'the endpoint'
        return f'{name} {_PHRASES[self.failure]}'


def from_answer_lost(error):
    """Give the failure of an attempt whose answer did not come whole.

    Parameters
    ----------
    error : calls.AnswerLost
    """
    silent = isinstance(error, calls.Silent)
    failure = retries.Failure.SILENT if silent else retries.Failure.CUT
    return AttemptFailed(failure, str(error))


def uncertain_error(idempotent, detail):
    """Give the error of a request that may have run."""
    if idempotent:
        return exceptions.Interrupted(detail)
    return exceptions.OutcomeUnknown(detail)


def final_error(idempotent, began, failed):
    """Give the truthful error after the last attempt.

    Parameters
    ----------
    idempotent : bool
    began : bool
        Whether any attempt may have run.
    failed : AttemptFailed

    Returns
    -------
    IbisringError
    """
    outcome = retries.outcome_of(failed.failure, began)
    detail = failed.caller_detail()
    if outcome is exceptions.Outcome.NOT_RUN:
        return exceptions.EndpointRefused(detail, retry_after=RETRY_AFTER)
    if outcome is exceptions.Outcome.FAILED:
        return exceptions.EndpointFailed(detail)
    return uncertain_error(idempotent, detail)
