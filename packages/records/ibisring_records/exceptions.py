"""Error classes of ibisring, with stable codes and remedies.

Every error that can reach a caller or an operator is a subclass of
`IbisringError`.  Its `code` never changes once released, its `outcome` states
whether the request ran, and its message ends with a remedy.
"""

__all__ = [
    'Outcome',
    'IbisringError',
    'InvalidRequest',
    'InvalidRecord',
    'InvalidSetting',
    'RequestTooLarge',
    'RequestTooSlow',
    'Unauthorized',
    'Forbidden',
    'NotFound',
    'IdempotencyKeyReused',
    'NotReady',
    'NoEndpoint',
    'Unreachable',
    'TableBehind',
    'InvalidRelay',
    'Overloaded',
    'AccountLimited',
    'DeadlineUnreachable',
    'ClaimUnavailable',
    'CallerGone',
    'EndpointRefused',
    'EndpointFailed',
    'CrashingRequest',
    'OutcomeUnknown',
    'Interrupted',
    'Conflict',
    'NotAccepted',
    'SubmissionUnknown',
    'PlatformUnavailable',
    'PlatformAnswerLost',
    'PlanInvalid',
    'StaleOrder',
    'MalformedMessage',
    'error_from_code',
]

import enum


class Outcome(enum.StrEnum):
    """What is known about whether a request ran."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class IbisringError(Exception):
    """Base class of all errors.

    Parameters
    ----------
    detail : str
        Description of the error: one sentence without a full stop.
    retry_after : float or None
        Seconds after which a retry may succeed.
    **facts
        Machine-readable details, such as revisions; they are part of the
        error's HTTP response.

    Examples
    --------
    >>> error = NoEndpoint('model tortilla has no complete chain')
    >>> error.code, error.outcome.value, error.status
    ('no_endpoint', 'not_run', 503)
    """

    code = 'internal'
    status = 500
    outcome = Outcome.UNKNOWN
    remedy = 'report this with the request id'
    # Sent as `error.type`, which the official OpenAI clients read.
    error_type = 'server_error'

    def __init__(self, detail, retry_after=None, **facts):
        super().__init__(f'{detail}; {self.remedy}')
        self.detail = detail
        self.retry_after = retry_after
        self.facts = facts


class InvalidRequest(IbisringError):
    code = 'invalid_request'
    status = 400
    outcome = Outcome.NOT_RUN
    error_type = 'invalid_request_error'
    remedy = 'correct the named field and send the request again'


class InvalidRecord(InvalidRequest):
    code = 'invalid_record'
    remedy = 'correct the record and submit it again'


class InvalidSetting(IbisringError):
    code = 'invalid_setting'
    outcome = Outcome.NOT_RUN
    remedy = 'start again with a corrected value'


class RequestTooLarge(InvalidRequest):
    code = 'request_too_large'
    status = 413
    remedy = 'send a smaller body'


class RequestTooSlow(InvalidRequest):
    """The request's body did not arrive in time, so it was not run."""

    code = 'request_too_slow'
    status = 408
    remedy = 'send the whole request again without pauses'


class Unauthorized(IbisringError):
    code = 'unauthorized'
    status = 401
    outcome = Outcome.NOT_RUN
    error_type = 'authentication_error'
    remedy = 'send a valid key as "Authorization: Bearer KEY"'


class Forbidden(IbisringError):
    code = 'forbidden'
    status = 403
    outcome = Outcome.NOT_RUN
    error_type = 'permission_error'
    remedy = 'ask an operator to widen the account'


class NotFound(IbisringError):
    code = 'not_found'
    status = 404
    outcome = Outcome.NOT_RUN
    error_type = 'invalid_request_error'
    remedy = 'list what exists with GET /v1/models or "ibisring get"'


class IdempotencyKeyReused(IbisringError):
    code = 'idempotency_key_reused'
    status = 422
    outcome = Outcome.NOT_RUN
    error_type = 'invalid_request_error'
    remedy = 'use a new Idempotency-Key for a different body'


class NotReady(IbisringError):
    code = 'not_ready'
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = 'try another router, or this one again shortly'


class NoEndpoint(IbisringError):
    code = 'no_endpoint'
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = 'retry after the time given'


class Unreachable(NoEndpoint):
    """The router that another one handed a request to reaches no endpoint."""

    code = 'unreachable'


class TableBehind(NotReady):
    """The router that was handed a request has an older routing table."""

    code = 'table_behind'


class InvalidRelay(InvalidRequest):
    """Headers between routers are malformed, or not from a router."""

    code = 'invalid_relay'
    remedy = 'send the request without headers that begin with Ibisring-'


class Overloaded(IbisringError):
    code = 'overloaded'
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = 'retry after the time given'


class AccountLimited(IbisringError):
    code = 'account_limited'
    status = 429
    outcome = Outcome.NOT_RUN
    error_type = 'rate_limit_error'
    remedy = 'retry after the time given, or have the limit raised'


class DeadlineUnreachable(IbisringError):
    code = 'deadline_unreachable'
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = 'retry after the time given, or allow a later deadline'


class ClaimUnavailable(IbisringError):
    code = 'claim_unavailable'
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = 'retry with the same Idempotency-Key after the time given'


class CallerGone(IbisringError):
    code = 'caller_gone'
    status = 499
    outcome = Outcome.NOT_RUN
    remedy = 'send the request again if it is still wanted'


class EndpointRefused(IbisringError):
    """The endpoint reported that it did not start the request."""

    code = 'endpoint_refused'
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = 'retry after the time given'


class EndpointFailed(IbisringError):
    """The endpoint ran the request and reported that it failed."""

    code = 'endpoint_failed'
    status = 502
    outcome = Outcome.FAILED
    remedy = 'look at the endpoint error; a repeat is a new run'


class CrashingRequest(IbisringError):
    """Endpoints crashed on this request, so it is not sent to others."""

    code = 'ends_endpoints'
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = (
        'change the request, or send it again after the time given, once what '
        'the endpoints run has been mended'
    )


class OutcomeUnknown(IbisringError):
    """The request may have run, and its outcome can't be determined."""

    code = 'outcome_unknown'
    status = 504
    outcome = Outcome.UNKNOWN
    remedy = 'check at the receiving side before sending it anew'


class Interrupted(IbisringError):
    """An idempotent request broke off and was not resumed in time."""

    code = 'interrupted'
    status = 504
    outcome = Outcome.UNKNOWN
    remedy = 'the request is idempotent, so send it again'


class Conflict(IbisringError):
    code = 'conflict'
    status = 409
    outcome = Outcome.NOT_RUN
    error_type = 'conflict_error'
    remedy = 'read the record in force, merge, and submit with its revision'


class NotAccepted(IbisringError):
    """A submission was definitely not written."""

    code = 'not_accepted'
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = 'submit the same file again once the table service answers'


class SubmissionUnknown(IbisringError):
    """A submission may have been written."""

    code = 'submission_unknown'
    status = 504
    remedy = 'run "ibisring settle SUBMISSION" with the id given'


class PlatformUnavailable(IbisringError):
    """A platform service definitely did not execute the call."""

    code = 'platform_unavailable'
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = 'wait for the platform service to come back'


class StoreBudgetSpent(PlatformUnavailable):
    """The table service was not called: the call budget is used up."""

    code = 'store_budget_spent'
    remedy = 'try again in a second, or raise --table-reads or --table-writes'


class PlatformAnswerLost(IbisringError):
    """A platform service may have executed the call; no response came."""

    code = 'platform_answer_lost'
    status = 504
    remedy = 'read back what was written before writing again'


class PlanInvalid(IbisringError):
    code = 'plan_invalid'
    status = 409
    outcome = Outcome.NOT_RUN
    remedy = 'make a new plan from the records in force'


class StaleOrder(IbisringError):
    code = 'stale_order'
    status = 409
    outcome = Outcome.NOT_RUN
    remedy = 'take the lease again and use its fencing number'


class MalformedMessage(IbisringError):
    """Another ibisring process sent a message that can't be decoded."""

    code = 'malformed_message'
    remedy = 'run releases that are at most one apart'


def _all_subclasses(cls):
    for subclass in cls.__subclasses__():
        yield subclass
        yield from _all_subclasses(subclass)


def error_from_code(code, detail, retry_after=None, facts=None):
    """Recreate the typed error that another process sent.

    Parameters
    ----------
    code : str
        A stable error code.
    detail : str
        The detail that came with the code.
    retry_after : float or None
    facts : dict or None

    Returns
    -------
    IbisringError
        Of the class with that code, or of the base class if there is none.

    Examples
    --------
    >>> type(error_from_code('conflict', 'lost a race')).__name__
    'Conflict'
    >>> error_from_code('no such code', 'odd').code
    'internal'
    """
    for cls in _all_subclasses(IbisringError):
        if cls.code == code:
            return cls(detail, retry_after, **(facts or {}))
    return IbisringError(detail, retry_after, **(facts or {}))
