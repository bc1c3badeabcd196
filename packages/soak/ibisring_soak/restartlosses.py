"""Finds what callers lost while routers were restarted in turn."""

__all__ = ['Ending', 'Loss', 'Termination', 'classify', 'find_losses']

import enum
import math

import msgspec

# Share of the grace time after which a stream that its engine has not ended
# may be cut, and how soon after the signal it must have been sent for that.
USED_GRACE_SHARE = 5 / 6
SENT_SECONDS = 3.0
# From the end of the grace time to the last cut that counts for the signal.
AFTER_GRACE_SECONDS = 1.0
# Within which a request may cross the close of its connection.
CROSSING_SECONDS = 0.2


class Ending(enum.StrEnum):
    """How a request ended for its caller.

    `WHOLE` is a whole stream; `SHORT` one that seems whole and isn't;
    `ANSWERED` another whole answer, such as a refusal.  The connections of
    all others ended without a whole answer: `LOST` and `EXCUSED` around the
    SIGTERM of their router, `CUT` at another time, `UNANSWERED` and
    `CROSSED` before any engine ran them, the latter at once.  `TIMED_OUT`
    are those at which the caller gave up.
    """

    WHOLE = 'whole'
    SHORT = 'short'
    ANSWERED = 'answered'
    LOST = 'lost'
    EXCUSED = 'excused'
    CUT = 'cut'
    UNANSWERED = 'unanswered'
    CROSSED = 'crossed'
    TIMED_OUT = 'timed out'


class Termination(msgspec.Struct):
    """A SIGTERM of a router, and its exit; times are monotonic seconds.

    `wall_time` is that of the signal as in the router's log, and `is_killed`
    whether the process still ran at the end of the grace time.
    """

    router: str
    at: float
    wall_time: float = 0.0
    exited_at: float = math.inf
    is_killed: bool = False

    @property
    def seconds(self):
        """Time from the signal to the exit."""
        return self.exited_at - self.at


class Loss(msgspec.Struct):
    """A request that ended without a whole answer and must not.

    `after_sent` is how long its connection stayed open; `sent_after` and
    `ended_after` are in seconds after its router's last SIGTERM, None if
    there was none; `own_lateness` is how long the caller's own event loop
    stood still meanwhile.
    """

    id: str
    ending: Ending
    events: int
    count: int
    after_sent: float
    sent_after: float | None
    ended_after: float | None
    own_lateness: float


# Endings that a router must not cause.
LOSSES = (
    Ending.SHORT,
    Ending.LOST,
    Ending.CUT,
    Ending.UNANSWERED,
    Ending.TIMED_OUT,
)


def classify(call, started, finished, termination, grace_seconds):
    """Return the `Ending` of a request.

    Parameters
    ----------
    call : keptcallers.StreamCall
    started, finished : dict of str to float
        When engines began and ended requests, by id.
    termination : Termination or None
        The last one of its router that came before its end.
    grace_seconds : float
    """
    if call.timed_out:
        return Ending.TIMED_OUT
    if call.is_answered():
        if call.status != 200:
            return Ending.ANSWERED
        expected = [f'word-{n}' for n in range(1, call.count + 1)]
        return Ending.WHOLE if call.events() == expected else Ending.SHORT
    if call.id not in started:
        is_crossing = call.ended_at - call.sent_at <= CROSSING_SECONDS
        return Ending.CROSSED if is_crossing else Ending.UNANSWERED
    last_cut = grace_seconds + AFTER_GRACE_SECONDS
    if termination is None or call.ended_at > termination.at + last_cut:
        return Ending.CUT
    at_work_until = min(call.ended_at, finished.get(call.id, math.inf))
    if (
        call.sent_at <= termination.at + SENT_SECONDS
        and at_work_until >= termination.at + USED_GRACE_SHARE * grace_seconds
    ):
        return Ending.EXCUSED
    return Ending.LOST


def last_termination(call, terminations):
    """Return the last termination of a request's router before its end."""
    own = [
        each
        for each in terminations
        if each.router == call.router and each.at <= call.ended_at
    ]
    return max(own, key=lambda each: each.at, default=None)


def find_losses(endings, terminations, ticker):
    """Return the requests that a router must not have ended so.

    Parameters
    ----------
    endings : list of (keptcallers.StreamCall, Ending)
    terminations : list of Termination
    ticker : lateness.Ticker
        Of the callers' event loop.
    """
    found = []
    for call, ending in endings:
        if ending not in LOSSES:
            continue
        last = last_termination(call, terminations)
        found.append(
            Loss(
                id=call.id,
                ending=ending,
                events=len(call.events()),
                count=call.count,
                after_sent=round(call.ended_at - call.sent_at, 3),
                sent_after=last and round(call.sent_at - last.at, 3),
                ended_after=last and round(call.ended_at - last.at, 3),
                own_lateness=round(
                    ticker.late_within(call.sent_at, call.ended_at), 3
                ),
            )
        )
    return found
