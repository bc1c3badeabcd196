"""Tests of the judgement of silent engines over time."""

import hypothesis
from hypothesis import strategies
from ibisring_policy.gateway import localhealth
from ibisring_policy.gateway import losses
import pytest

TICK_SECONDS = 0.05
USUAL_SECONDS = 0.035
# Seconds in which the process ran until a dark engine is found: the longest
# limit, and the tick that has begun.
MAX_RUN_SECONDS = losses.MAX_LIMIT_SECONDS + TICK_SECONDS


class _Observer:
    """A process that stands still at times and judges one dark engine.

    Attributes
    ----------
    ran : float
        Seconds that it really ran.
    lost_after : float or None
        `ran` when the engine was found lost.
    """

    def __init__(self, hears_others=True, judge=losses.judge):
        self.now = 100.0
        self.asked_at = self.now
        self.health = localhealth.make_local_health()
        self.limit = losses.make_silence_limit()
        self.hears_others = hears_others
        self.judge = judge
        self.ran = 0.0
        self.lost_after = None

    def tick(self, stall):
        """Run for a tick, stand still, and judge."""
        due = self.now + TICK_SECONDS
        self.health.begin_wait(due)
        self.now = due + stall
        self.health.end_wait(self.now)
        self.ran += TICK_SECONDS
        evidence = self.evidence()
        if self.lost_after is None:
            if self.judge(evidence) is losses.Verdict.LOST:
                self.lost_after = self.ran

    def evidence(self):
        """Return what is known of the engine now."""
        since = self.now - losses.STALL_SECONDS
        lateness = self.health.lateness(since, self.now)
        return losses.Evidence(
            self.health.running_seconds(self.asked_at, self.now),
            self.limit.seconds(USUAL_SECONDS, lateness, self.now),
            self.hears_others,
        )


STALLS = strategies.lists(
    strategies.sampled_from([0.0, 0.0, 0.004, 0.02, 0.15, 1.0]),
    min_size=1,
    max_size=30,
)


@hypothesis.given(STALLS)
def test_dark_engine_is_found_in_bounded_running_time(stalls):
    """Guards against a router that is always late and finds nothing."""
    observer = _Observer()
    while observer.ran < MAX_RUN_SECONDS:
        for stall in stalls:
            observer.tick(stall)
    assert observer.lost_after <= MAX_RUN_SECONDS


@hypothesis.given(STALLS)
def test_no_engine_is_lost_unless_another_is_heard(stalls):
    """Guards against a router without links that finds all engines lost."""
    observer = _Observer(hears_others=False)
    for stall in stalls * 4:
        observer.tick(stall)
    assert observer.lost_after is None


@hypothesis.given(STALLS, strategies.floats(0.1, 5.0))
def test_no_engine_is_lost_as_the_process_wakes_up(stalls, last):
    """Guards against a silence that is this process's own."""
    observer = _Observer()
    for stall in stalls:
        observer.tick(stall)
        observer.asked_at = observer.now
        observer.lost_after = None
    observer.tick(last)
    assert observer.lost_after is None


def test_limit_without_a_stall_is_the_usual_one():
    """Guards against lost engines that a quiet router finds later."""
    observer = _Observer()
    observer.tick(0.0)
    assert observer.evidence().limit_seconds == USUAL_SECONDS
    assert observer.lost_after == observer.ran


@pytest.mark.parametrize('silence', [0.1, 0.4, 0.9])
def test_limit_falls_back_within_seconds(silence):
    """Guards against one late answer that slows all later judgements."""
    limit = losses.make_silence_limit()
    limit.note_refuted(silence, 10.0)
    raised = limit.seconds(USUAL_SECONDS, 0.0, 10.0)
    assert silence < raised <= losses.MAX_LIMIT_SECONDS
    assert limit.seconds(USUAL_SECONDS, 0.0, 15.0) == USUAL_SECONDS


def test_engine_that_comes_back_raises_no_limit():
    """Guards against an engine that was really lost and has restarted."""
    limit = losses.make_silence_limit()
    limit.note_refuted(2.0 * losses.MAX_LIMIT_SECONDS, 10.0)
    assert limit.seconds(USUAL_SECONDS, 0.0, 10.0) == USUAL_SECONDS


def test_answer_that_took_long_raises_the_limit():
    """Guards against engines that are lost at each answer of a busy site."""
    limit = losses.make_silence_limit()
    limit.note_answer(0.3, 10.0)
    assert limit.seconds(USUAL_SECONDS, 0.0, 10.0) == 0.3
    limit.note_answer(0.2, 10.0)
    assert limit.seconds(USUAL_SECONDS, 0.0, 10.0) == 0.3


@pytest.mark.parametrize('many', [False, True])
def test_missing_seconds_complete_the_proof(many):
    """Guards against an engine that is asked again too briefly, for ever."""
    evidence = losses.Evidence(0.02, 0.1, True, is_one_of_many=many)
    assert losses.judge(evidence) is losses.Verdict.UNDECIDED
    evidence.ran_seconds += losses.missing_seconds(evidence) + 1e-9
    assert losses.judge(evidence) is losses.Verdict.LOST
    assert losses.missing_seconds(evidence) == 0.0


LIMITS = strategies.floats(0.035, losses.MAX_LIMIT_SECONDS)
RUNS = strategies.floats(0.0, 2.0 * losses.MAX_LIMIT_SECONDS)


@hypothesis.given(LIMITS, RUNS, strategies.booleans())
def test_silence_without_an_acknowledgement_is_lost_at_its_limit(
    limit, ran, many
):
    """Guards against a dark or cut engine that is found later."""
    evidence = losses.Evidence(ran, limit, True, is_one_of_many=many)
    factor = losses.MANY_FACTOR if many else 1.0
    enough = min(losses.MAX_LIMIT_SECONDS, factor * limit)
    is_lost = losses.judge(evidence) is losses.Verdict.LOST
    assert is_lost == (ran >= losses.ENOUGH_SHARE * enough)


@hypothesis.given(LIMITS, RUNS, strategies.booleans())
def test_acknowledged_silence_is_lost_after_the_longer_limit(limit, ran, many):
    """Guards against a hung process that is never found."""
    evidence = losses.Evidence(
        ran, limit, True, is_one_of_many=many, is_acknowledged=True
    )
    shortest = losses.ENOUGH_SHARE * losses.ACKNOWLEDGED_LIMIT_SECONDS
    is_lost = losses.judge(evidence) is losses.Verdict.LOST
    assert not (is_lost and ran < shortest)
    assert is_lost or ran < losses.MAX_LIMIT_SECONDS
    evidence.ran_seconds += losses.missing_seconds(evidence) + 1e-9
    assert losses.judge(evidence) is losses.Verdict.LOST


@pytest.mark.parametrize(
    'sign', [{'is_refused': True}, {'has_failed': True}], ids=str
)
def test_failed_query_is_a_loss_though_its_bytes_were_acknowledged(sign):
    """Guards against a process that ended and is found later."""
    evidence = losses.Evidence(0.0, 0.1, True, is_acknowledged=True, **sign)
    assert losses.judge(evidence) is losses.Verdict.LOST
