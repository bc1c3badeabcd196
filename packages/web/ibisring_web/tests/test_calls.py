"""Tests of calls whose answers never end."""

from ibisring_web import calls
from ibisring_web.tests import endlessbytes
import pytest

READ_SECONDS = 0.15
MARGIN_SECONDS = 1.0


@pytest.mark.parametrize('pace', endlessbytes.PACES)
@pytest.mark.parametrize('kind', endlessbytes.KINDS)
def test_answer_without_end_is_lost_in_time(kind, pace):
    """Guards against a thread that reads, or memory that grows, for ever."""
    caller = calls.make_caller(
        READ_SECONDS, READ_SECONDS, answer_seconds=2 * READ_SECONDS
    )
    seconds = 3 * READ_SECONDS + MARGIN_SECONDS
    with (
        endlessbytes.running(kind, endlessbytes.PACES[pace]) as server,
        endlessbytes.bounded(server, seconds, calls.MAX_ANSWER_BYTES),
        pytest.raises(calls.AnswerLost),
    ):
        caller.call('GET', server.address, '/state')
