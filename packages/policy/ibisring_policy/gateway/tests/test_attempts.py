"""Tests of what follows an attempt that ended badly."""

import itertools

from ibisring_policy.gateway import attempts
import pytest

Result = attempts.Result
NextStep = attempts.NextStep


def _progress(**changes):
    values = dict(
        repeatable=True,
        stream=False,
        max_endpoints=2,
        tries=1,
        sent_to=1,
        may_have_run=True,
        time_left=0.5,
    )
    values.update(changes)
    return attempts.Progress(**values)


def test_a_repeatable_request_goes_elsewhere():
    assert attempts.decide(Result.LOST, _progress()) is NextStep.RETRY


def test_an_alert_that_may_have_run_is_never_sent_again():
    """Symptom: a foreman gets the same alert twice.

    Sequence: the endpoint ran it, its answer was lost, it was sent again.
    Cause: the loss of an answer was taken for a request that did not run.
    """
    for end in (
        Result.LOST,
        Result.SILENT,
        Result.DAMAGED,
        Result.DEADLINE,
        Result.CUT,
    ):
        step = attempts.decide(end, _progress(repeatable=False))
        assert step is NextStep.UNKNOWN


def test_an_alert_that_was_refused_may_go_elsewhere():
    progress = _progress(repeatable=False, may_have_run=False)
    assert attempts.decide(Result.REFUSED, progress) is NextStep.RETRY
    progress.sent_to = progress.max_endpoints
    assert attempts.decide(Result.REFUSED, progress) is NextStep.REFUSE


def test_no_more_endpoints_than_the_route_allows():
    progress = _progress(sent_to=2)
    assert attempts.decide(Result.LOST, progress) is NextStep.UNKNOWN


def test_a_stream_under_way_outlasts_some_refusals():
    """Failure: a stream is cut, as those that could go on with it are full."""
    progress = _progress(stream=True, delivering=True, tries=5, refusals=3)
    assert attempts.decide(Result.REFUSED, progress) is NextStep.RESUME
    progress.refusals = attempts.MAX_REFUSALS
    assert attempts.decide(Result.REFUSED, progress) is NextStep.ABORT
    progress = _progress(stream=True, delivering=True, tries=5, refusals=1)
    assert attempts.decide(Result.REFUSED, progress) is NextStep.ABORT


def test_a_stream_that_has_not_begun_counts_refusals():
    progress = _progress(stream=True, tries=4, refusals=3)
    assert attempts.decide(Result.REFUSED, progress) is NextStep.UNKNOWN


def test_a_spent_budget_ends_the_repeats():
    progress = _progress(has_retry_budget=False)
    assert attempts.decide(Result.LOST, progress) is NextStep.UNKNOWN
    progress.may_have_run = False
    assert attempts.decide(Result.REFUSED, progress) is NextStep.REFUSE


@pytest.mark.parametrize('end', list(Result))
def test_nothing_that_was_sent_goes_on_without_the_budget(end):
    """Symptom: a stream that was cut is framed as complete.

    Sequence: its engine falls silent in the middle; the next one can't be
    connected to; the budget for repeats is spent.
    Cause: a connection that failed was taken for a first try, which needs
    no budget, so the decision was to go on, and nothing broke it off.
    """
    for delivering in (False, True):
        progress = _progress(
            stream=True,
            delivering=delivering,
            has_retry_budget=False,
            sent_to=1,
        )
        step = attempts.decide(end, progress)
        assert step not in (NextStep.RETRY, NextStep.RESUME)
        if delivering and end is not Result.CALLER_GONE:
            assert step is NextStep.ABORT


def test_a_first_try_needs_no_budget():
    progress = _progress(has_retry_budget=False, sent_to=0, may_have_run=False)
    assert attempts.decide(Result.NOT_SENT, progress) is NextStep.RETRY


def test_a_stream_under_way_is_resumed_or_broken_off():
    progress = _progress(stream=True, delivering=True)
    assert attempts.decide(Result.CUT, progress) is NextStep.RESUME
    progress.sent_to = 2
    assert attempts.decide(Result.CUT, progress) is NextStep.RESUME
    progress.tries = attempts.MAX_TRIES
    assert attempts.decide(Result.CUT, progress) is NextStep.ABORT


def test_a_caller_that_left_gets_nothing():
    assert attempts.decide(Result.CALLER_GONE, _progress()) is NextStep.DROP


def test_the_promise_of_not_run_is_never_false():
    """A refusal is only given where no attempt may have begun."""
    flags = (False, True)
    for end, repeatable, stream, delivering, budget in itertools.product(
        Result, flags, flags, flags, flags
    ):
        for sent_to in (0, 1, 2):
            progress = _progress(
                repeatable=repeatable,
                stream=stream,
                delivering=delivering,
                has_retry_budget=budget,
                sent_to=sent_to,
            )
            assert attempts.decide(end, progress) is not NextStep.REFUSE


def test_repeats_stay_within_their_share():
    window = attempts.make_retry_budget(10.0, 0.2, 2.0)
    for n in range(100):
        window.count_request(n * 0.01)
    taken = sum(window.take_retry(1.0, 1) for _ in range(100))
    assert taken == 22
    assert not window.take_retry(5.0, 1)
    assert window.take_retry(30.0, 1) and window.take_retry(30.0, 1)
    assert not window.take_retry(30.0, 1)


@pytest.mark.parametrize('routers', [1, 6, 83, 380])
def test_a_fleet_stays_within_the_bound(routers):
    """Symptom: endpoints get more repeats than their owner allows.

    Sequence: engines that all of 83 routers use fail at once; each request
    is tried as often as it may be.
    Cause: each router allowed itself a tenth of the slack, made for six.
    """
    ratio, slack, requests = 0.2, 350.0, 10.0
    windows = [
        attempts.make_retry_budget(
            10.0,
            ratio * attempts.RATIO_SHARE,
            slack * attempts.SLACK_SHARE,
        )
        for _ in range(routers)
    ]
    repeats = 0
    for window in windows:
        for number in range(int(requests)):
            window.count_request(number * 0.1)
            tries = (window.take_retry(1.0, routers) for _ in range(40))
            repeats += sum(tries)
    assert repeats <= ratio * requests * routers + slack
