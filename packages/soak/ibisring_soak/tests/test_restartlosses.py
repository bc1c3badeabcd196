"""What callers lose is told from what a restart may end."""

from ibisring_soak import keptcallers
from ibisring_soak import lateness
from ibisring_soak import restartlosses
import pytest

GRACE_SECONDS = 6.0
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
REFUSAL = b'HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\n{}'
TERMINATION = restartlosses.Termination('r1', 100.0)
Ending = restartlosses.Ending


def _stream(count):
    """Return the bytes of some events, in chunks."""
    events = [b'id: %d\ndata: word-%d\n\n' % (n, n) for n in range(1, count)]
    return HEAD + b''.join(b'%x\r\n%s\r\n' % (len(e), e) for e in events)


CUT = _stream(3)


def _call(received, sent_at=99.0, ended_at=101.0, **changes):
    return keptcallers.StreamCall(
        id='s1',
        router='r1',
        count=2,
        sent_at=sent_at,
        ended_at=ended_at,
        received=received,
        **changes,
    )


def _classify(call, runs=('s1',), finished=None, termination=TERMINATION):
    started = dict.fromkeys(runs, call.sent_at)
    return restartlosses.classify(
        call, started, finished or {}, termination, GRACE_SECONDS
    )


@pytest.mark.parametrize(
    ('received', 'ending'),
    [
        (CUT + LAST_CHUNK, Ending.WHOLE),
        (_stream(2) + LAST_CHUNK, Ending.SHORT),
        (REFUSAL, Ending.ANSWERED),
        (CUT, Ending.LOST),
        (b'', Ending.LOST),
    ],
)
def test_answers_are_whole_as_their_framing_says(received, ending):
    """Guards against a cut stream that counts as whole."""
    assert _classify(_call(received)) is ending


@pytest.mark.parametrize(
    ('sent_at', 'ended_at', 'finished', 'ending'),
    [
        (102.9, 104.9, {}, Ending.LOST),
        (102.9, 105.1, {}, Ending.EXCUSED),
        (102.9, 105.1, {'s1': 104.9}, Ending.LOST),
        (103.1, 105.1, {}, Ending.LOST),
        (106.0, 106.9, {}, Ending.LOST),
        (106.0, 107.1, {}, Ending.CUT),
    ],
)
def test_a_cut_is_excused_in_the_last_sixth_only(
    sent_at, ended_at, finished, ending
):
    """Guards against cuts that the grace time doesn't excuse."""
    call = _call(CUT, sent_at, ended_at)
    assert _classify(call, finished=finished) is ending


def test_a_cut_without_a_signal_is_told_apart():
    """Guards against cuts that no SIGTERM explains being passed over."""
    assert _classify(_call(CUT), termination=None) is Ending.CUT


@pytest.mark.parametrize(
    ('ended_at', 'ending'), [(99.1, Ending.CROSSED), (99.3, Ending.UNANSWERED)]
)
def test_a_request_that_never_ran_may_cross_a_close_only(ended_at, ending):
    """Guards against requests that a router reads and never answers."""
    assert _classify(_call(b'', ended_at=ended_at), runs=()) is ending


def test_losses_tell_the_callers_own_lateness():
    """Guards against blaming a router for a late event loop of the test."""
    ticker = lateness.Ticker()
    ticker.spans = [(98.0, 99.5), (100.5, 103.0)]
    earlier = restartlosses.Termination('r1', 50.0)
    other = restartlosses.Termination('r2', 100.5)
    (loss,) = restartlosses.find_losses(
        [(_call(CUT), Ending.LOST), (_call(REFUSAL), Ending.ANSWERED)],
        [TERMINATION, earlier, other],
        ticker,
    )
    assert (loss.own_lateness, loss.events) == (1.0, 2)
    assert (loss.sent_after, loss.ended_after) == (-1.0, 1.0)
