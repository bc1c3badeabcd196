"""The decisions of a router, as parameters of the small machine."""

__all__ = ['Decisions', 'make_decisions']

from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import shutdown
from ibisring_policy.gateway.tests import promises
import msgspec

Result = attempts.Result


class Decisions:
    """The decisions of a router.

    Attributes
    ----------
    decide : callable
        As `attempts.decide`.
    may_give_up : callable
        Whether to give up an attempt that its endpoint might still finish;
        takes an `attempts.Progress` and whether a stage is known to be lost.
    has_alternative : callable
        Whether a running attempt has a successor; takes its endpoint, those
        that the request was sent to, the number that its route allows and
        those that are up.
    may_replace : callable
        Whether to send a request elsewhere in place of passing on the error
        that an endpoint answered; takes an `attempts.Progress`.
    may_exit : callable
        As `shutdown.may_exit`.
    takes_retry_first : bool
        Whether the retry for the successor is taken from the budget before
        the attempt is given up, and not once it has ended.
    """

    __slots__ = (
        'decide',
        'may_give_up',
        'has_alternative',
        'may_replace',
        'may_exit',
        'takes_retry_first',
    )

    def __init__(
        self,
        decide,
        may_give_up,
        has_alternative,
        may_replace,
        may_exit,
        takes_retry_first,
    ):
        self.decide = decide
        self.may_give_up = may_give_up
        self.has_alternative = has_alternative
        self.may_replace = may_replace
        self.may_exit = may_exit
        self.takes_retry_first = takes_retry_first


def make_decisions(module=attempts, **changes):
    """Make `Decisions`, by default those in use.

    Parameters
    ----------
    module : types.ModuleType
        `attempts`, or a changed copy of it.
    changes
        Attributes of `Decisions` that differ.
    """
    values = {
        'decide': module.decide,
        'may_give_up': _make_may_give_up(module),
        'has_alternative': _has_alternative,
        'may_replace': _make_may_replace(module),
        'may_exit': shutdown.may_exit,
        'takes_retry_first': True,
    }
    return Decisions(**{**values, **changes})


def _has_alternative(endpoint, sent_to, max_endpoints, up):
    allowed = up if len(sent_to) < max_endpoints else up & sent_to
    return bool(allowed - {endpoint})


def _make_may_give_up(module):
    def may_give_up(progress, is_lost):
        after = msgspec.structs.replace(progress, may_have_run=True)
        return module.decide(Result.SILENT, after) in promises.CONTINUING

    return may_give_up


def _make_may_replace(module):
    def may_replace(progress):
        return module.decide(Result.LOST, progress) in promises.CONTINUING

    return may_replace
