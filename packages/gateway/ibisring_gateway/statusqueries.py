"""Status queries to engines: what each is for, and what it showed."""

__all__ = ['Purpose', 'Query', 'Reply']

import concurrent.futures
import enum

# Share of its timeout at which a query has ended by the timeout, and not by
# another failure.
TIMED_OUT_SHARE = 0.8


class Reply(enum.Enum):
    """What status queries showed; `NOT_SENT` if none was sent in time.

    Where engines are judged, `NONE` is a proven loss, and `UNDECIDED` a
    silence that proves nothing.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    NONE = 'none'
    UNDECIDED = 'undecided'
    NOT_SENT = 'not_sent'


class Purpose(enum.StrEnum):
    """Why an engine is asked.

    `FIRST` and `SECOND` queries are about the stages of silent streams,
    `CONTROL` ones about engines that nobody doubts, `AGAIN` ones about silent
    engines that are not judged yet, `REPORTED` ones about losses that others
    reported, `RECOVERY` and `PROBE` ones about lost engines, and `PACE` ones
    about slow engines.
    """

    FIRST = 'first'
    SECOND = 'second'
    CONTROL = 'control'
    AGAIN = 'again'
    REPORTED = 'reported'
    RECOVERY = 'recovery'
    PROBE = 'probe'
    PACE = 'pace'


class Query:
    """A status query, which may still be waiting for a thread.

    Attributes
    ----------
    future : concurrent.futures.Future
        Its result is a `Reply`.
    timeout : float
    purpose : Purpose
    sent_at, ended_at : float or None
        None before.
    reply : Reply or None
        None until it has ended.
    is_acknowledged : bool
        Whether it timed out although the engine's host has acknowledged it.
    """

    __slots__ = (
        'future',
        'timeout',
        'purpose',
        'sent_at',
        'ended_at',
        'reply',
        'is_acknowledged',
    )

    def __init__(self, timeout, purpose):
        self.future = None
        self.timeout = timeout
        self.purpose = purpose
        self.sent_at = None
        self.ended_at = None
        self.reply = None
        self.is_acknowledged = False

    def reject(self):
        """End it without sending it."""
        self.future = concurrent.futures.Future()
        self.future.set_result(Reply.NOT_SENT)

    @property
    def is_answered(self):
        """Whether it has been answered."""
        return self.reply is Reply.ANSWERED

    @property
    def is_refused(self):
        """Whether its connection was refused."""
        return self.reply is Reply.REFUSED

    @property
    def has_failed(self):
        """Whether it ended before its timeout without an answer."""
        if self.ended_at is None:
            return False
        took = self.ended_at - self.sent_at
        return took < TIMED_OUT_SHARE * self.timeout
