"""Who ended the answer to a request, and what the request was still allowed.

Examples
--------
>>> party(attempts.Result.DEADLINE).value
'deadline'
>>> party(None).value
'endpoint'
"""

__all__ = ['Party', 'Allowance', 'party', 'allowance']

import enum

from ibisring_policy.gateway import attempts
import msgspec


class Party(enum.StrEnum):
    """Who ended an answer."""

    ENDPOINT = 'endpoint'
    CALLER = 'caller'
    DEADLINE = 'deadline'
    ROUTER = 'router'


_PARTIES = {
    attempts.Result.CALLER_GONE: Party.CALLER,
    attempts.Result.DEADLINE: Party.DEADLINE,
    attempts.Result.SILENT: Party.ROUTER,
    attempts.Result.SUSPECTED: Party.ROUTER,
    attempts.Result.TURNED_AWAY: Party.ROUTER,
    attempts.Result.NOT_SENT: Party.ROUTER,
    attempts.Result.EXIT: Party.ROUTER,
}


class Allowance(msgspec.Struct, frozen=True):
    """What a request was still allowed when it ended.

    `tries` and `refusals` are those left, `endpoints` the further ones that
    its route allows; `may_repeat` says whether it may be sent again though it
    may have run.
    """

    tries: int
    refusals: int
    endpoints: int
    may_repeat: bool


def party(result):
    """Return who ended an answer.

    Parameters
    ----------
    result : attempts.Result or None
        Result of the last attempt, None if its answer is complete.

    Returns
    -------
    Party
    """
    return _PARTIES.get(result, Party.ENDPOINT)


def allowance(progress):
    """Return what a request is still allowed.

    Parameters
    ----------
    progress : attempts.Progress

    Returns
    -------
    Allowance
    """
    may_repeat = progress.repeatable or not progress.may_have_run
    return Allowance(
        tries=attempts.tries_left(progress),
        refusals=max(0, attempts.MAX_REFUSALS - progress.refusals),
        endpoints=max(0, progress.max_endpoints - progress.sent_to),
        may_repeat=may_repeat,
    )
