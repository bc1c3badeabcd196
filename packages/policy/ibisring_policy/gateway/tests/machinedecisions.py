"""The decisions of a router, as parameters of the small machine."""

__all__ = ['Decisions', 'make_decisions']

from ibisring_policy.gateway import answerends
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import shutdown


class Decisions:
    """The decisions of a router.

    Attributes
    ----------
    decide : callable
        As `attempts.decide`.
    may_give_up, count_given_up, is_held, is_in_vain : callable
        As in `attempts`.
    note_result, uncount, use_up : callable
        As in `attempts`.
    has_alternative : callable
        Whether a running attempt has a successor; takes its endpoint, those
        that the request was sent to, the number that its route allows and
        those that are up.
    judge : callable
        As `answerends.judge`.
    may_exit : callable
        As `shutdown.may_exit`.
    takes_retry_first : bool
        Whether the retry for the successor is taken from the budget before
        the attempt is given up, and not once it has ended.
    """

    __slots__ = (
        'decide',
        'may_give_up',
        'count_given_up',
        'is_held',
        'is_in_vain',
        'note_result',
        'uncount',
        'use_up',
        'has_alternative',
        'judge',
        'may_exit',
        'takes_retry_first',
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


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
        'may_give_up': module.may_give_up,
        'count_given_up': module.count_given_up,
        'is_held': module.is_held,
        'is_in_vain': module.is_in_vain,
        'note_result': module.note_result,
        'uncount': module.uncount,
        'use_up': module.use_up,
        'has_alternative': _has_alternative,
        'judge': answerends.judge,
        'may_exit': shutdown.may_exit,
        'takes_retry_first': True,
    }
    return Decisions(**{**values, **changes})


def _has_alternative(endpoint, sent_to, max_endpoints, up):
    allowed = up if len(sent_to) < max_endpoints else up & sent_to
    return bool(allowed - {endpoint})
