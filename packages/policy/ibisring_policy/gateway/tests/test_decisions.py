"""Checks the decisions about a request over all their inputs."""

import itertools
import math

import hypothesis
from hypothesis import strategies
from ibisring_policy.gateway import answerends
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import idlelimits
from ibisring_policy.gateway import losses
from ibisring_policy.gateway import shutdown
from ibisring_policy.gateway.tests import mutations
from ibisring_policy.gateway.tests import promises
import msgspec
import pytest

NEXT_STEP = ['decide', '_may_retry', 'tries_left', '_give_up', 'is_held']
GIVING_UP = ['may_give_up']
FLAGS = (False, True)
ENDPOINTS = (1, 2)
SENT_TO = (0, 1, 2)
TIMES_LEFT = (
    2.0 * attempts.MIN_TIME_LEFT_SECONDS,
    -1.0,
    attempts.MIN_TIME_LEFT_SECONDS - 0.001,
    attempts.MIN_TIME_LEFT_SECONDS,
)
# One more than the limits tell apart.
TRIES = range(attempts.MAX_TRIES + attempts.MAX_REFUSALS + 2)
REFUSALS = range(attempts.MAX_REFUSALS + 2)
MOVES = tuple(
    itertools.product((0, attempts.MAX_MOVES - 1, attempts.MAX_MOVES), FLAGS)
)
SECONDS = strategies.floats(0.0, 100.0)


def _all_progress(all_moves=((0, False), (1, False), (1, True))):
    """Yield all states of a request that the decisions tell apart.

    Parameters
    ----------
    all_moves : iterable of (int, bool)
        Moves off slow endpoints, and whether there was one in this silence;
        it was given up then.
    """
    flags = itertools.product(FLAGS, repeat=5)
    counts = [
        (tries, refusals)
        for tries, refusals in itertools.product(TRIES, REFUSALS)
        if refusals <= tries
    ]
    for (
        flag,
        limits,
        (tries, refusals),
        (moves, is_moved),
    ) in itertools.product(
        flags,
        itertools.product(ENDPOINTS, SENT_TO, TIMES_LEFT),
        counts,
        all_moves,
    ):
        repeatable, stream, may_have_run, delivering, has_budget = flag
        max_endpoints, sent_to, time_left = limits
        yield attempts.Progress(
            repeatable=repeatable,
            stream=stream,
            max_endpoints=max_endpoints,
            tries=tries,
            refusals=refusals,
            moves=moves,
            is_moved=is_moved,
            is_given_up=is_moved,
            sent_to=sent_to,
            may_have_run=may_have_run,
            delivering=delivering,
            time_left=time_left,
            has_retry_budget=has_budget,
        )


def test_next_step_keeps_its_promises_in_all_states():
    """Guards against requests that run twice, or are given up too early."""
    for progress in _all_progress():
        for result in attempts.Result:
            step = attempts.decide(result, progress)
            broken = promises.of_next_step(result, progress, step)
            assert not broken, (broken, result, progress, step)


def test_giving_up_keeps_its_promises_in_all_states():
    """Guards against sound answers that are ended, and lost ones that stay."""
    for progress in _all_progress(MOVES):
        for cause in attempts.Cause:
            may_give_up = attempts.may_give_up(cause, progress)
            broken = promises.of_giving_up(cause, progress, may_give_up)
            assert not broken, (broken, cause, progress)


def test_what_is_given_up_is_followed_by_what_was_promised():
    """Guards against a request that ends though it was to go on elsewhere.

    The decision after the end has other inputs than the one before.
    """
    for progress in _all_progress(MOVES):
        for cause in attempts.Cause:
            if attempts.may_give_up(cause, progress):
                after = msgspec.structs.replace(progress, may_have_run=True)
                attempts.count_given_up(cause, after)
                step = attempts.decide(attempts.Result.SILENT, after)
                assert step in promises.CONTINUING, (cause, progress)


def _attempt_counts(result, progress):
    """Count an attempt as the forwarder does."""
    before = msgspec.structs.replace(progress)
    progress.tries += 1
    progress.refusals += result is attempts.Result.REFUSED
    if attempts.is_in_vain(result, progress):
        attempts.uncount(before, progress)


@pytest.mark.parametrize(
    'result', [attempts.Result.REFUSED, attempts.Result.NOT_SENT]
)
def test_held_streams_are_cut_for_no_refusal_and_no_missing_room(result):
    """Guards against the cut of a stream whose endpoint only paused."""
    for progress in _all_progress():
        if not attempts.is_held(progress):
            continue
        if attempts.decide(result, progress) not in promises.CONTINUING:
            continue
        for _ in range(attempts.MAX_REFUSALS + attempts.MAX_TRIES):
            _attempt_counts(result, progress)
            attempts.use_up(progress)
            step = attempts.decide(result, progress)
            assert step in promises.CONTINUING, progress


@pytest.mark.parametrize('result', attempts.Result)
def test_streams_that_an_endpoint_has_lost_are_not_held(result):
    """Guards against a request that runs again and again on few retries."""
    progress = attempts.Progress(
        repeatable=True, stream=True, max_endpoints=2, is_given_up=True
    )
    attempts.note_result(result, progress)
    not_run = (attempts.Result.NOT_SENT, attempts.Result.REFUSED)
    assert progress.is_given_up is (result in not_run)


@pytest.mark.parametrize('result', attempts.Result)
def test_pauses_keep_their_promises(result):
    """Guards against tight loops, and against pauses before a first move."""
    for step, in_vain in itertools.product(attempts.NextStep, range(100)):
        pause = attempts.pause_seconds(result, step, in_vain)
        is_waiting = step is attempts.NextStep.WAIT
        must_pause = is_waiting or in_vain > attempts.MAX_TRIES
        assert pause or not must_pause
        assert pause <= attempts.MAX_PAUSE_SECONDS
        if result is not attempts.Result.REFUSED:
            assert not pause or must_pause


@pytest.mark.parametrize('cause', attempts.Cause)
@pytest.mark.parametrize(('moves', 'is_moved'), MOVES)
def test_counting_keeps_its_promises(cause, moves, is_moved):
    """Guards against a slow endpoint that uses up what a lost one needs."""
    values = {'repeatable': True, 'stream': True, 'max_endpoints': 2}
    before = attempts.Progress(**values, moves=moves, is_moved=is_moved)
    after = attempts.Progress(**values, moves=moves, is_moved=is_moved)
    attempts.count_given_up(cause, after)
    assert not promises.of_counting(cause, before, after)


@hypothesis.given(SECONDS, strategies.integers(0, 3), SECONDS)
def test_exit_keeps_its_promises(elapsed, active, grace):
    """Guards against answers that a draining process cuts."""
    exits = shutdown.may_exit(elapsed, active, grace)
    assert not promises.of_exit(elapsed, active, grace, exits)


@hypothesis.given(
    SECONDS,
    strategies.sampled_from([-0.001, 0.0, 0.001]),
    strategies.integers(0, 3),
)
def test_exit_keeps_its_promises_at_its_limits(grace, offset, active):
    """Guards against a limit that is missed by rounding."""
    for limit in (
        grace / 2.0,
        shutdown.ACCEPT_SECONDS,
        shutdown.last_moment(grace),
    ):
        elapsed = limit + offset
        exits = shutdown.may_exit(elapsed, active, grace)
        assert not promises.of_exit(elapsed, active, grace, exits)


@hypothesis.given(
    SECONDS, strategies.integers(0, 3), SECONDS, SECONDS, SECONDS
)
def test_late_exit_keeps_its_promises(
    elapsed, active, grace, handled, lateness
):
    """Guards against a kill, and early cuts, where a process runs late."""
    elapsed = max(elapsed, handled)
    exits = shutdown.may_exit(elapsed, active, grace, handled, lateness)
    assert not promises.of_exit(
        elapsed, active, grace, exits, handled, lateness
    )


@pytest.mark.parametrize('lateness', [0.1, 0.25, 0.5])
def test_process_that_runs_late_exits_earlier(lateness):
    """Guards against a kill while the last steps take their time."""
    last = shutdown.last_moment(8.0, lateness=lateness)
    assert last <= 8.0 - 0.25 - 2.0 * lateness


@hypothesis.given(SECONDS, SECONDS)
def test_taking_keeps_its_promises(elapsed, grace):
    """Guards against a late request that the exit cuts."""
    takes = elapsed <= shutdown.accept_seconds(grace)
    assert not promises.of_taking(elapsed, grace, takes)


@pytest.mark.parametrize('grace', [0.5, 1.0, 3.0, 4.0, 8.0, 30.0])
def test_running_requests_may_use_most_of_the_grace_time(grace):
    """Guards against streams that are cut before the process has to exit."""
    assert not shutdown.may_exit(5.0 * grace / 6.0, 1, grace)
    assert not shutdown.may_exit(grace - 0.3, 1, grace)
    assert shutdown.may_exit(grace, 1, grace)


@hypothesis.given(SECONDS, SECONDS, strategies.integers(0, 3), SECONDS)
def test_exit_is_not_taken_back(elapsed, later, active, grace):
    """Guards against a process that ends only if it is asked in time."""
    if shutdown.may_exit(elapsed, active, grace):
        for fewer in range(active + 1):
            assert shutdown.may_exit(elapsed + later, fewer, grace)


class _History:
    """Limits on idle connections, and when each came into force."""

    def __init__(self, first):
        self.limits = idlelimits.make_idle_limits(first)
        self.changes = [(0.0, first)]

    def change(self, seconds, now):
        """Put another limit in force."""
        self.limits.change(seconds, now)
        self.changes.append((now, seconds))

    def known_at(self, now):
        """Return the limits by which a caller may go at some time."""
        since = now - idlelimits.OVERLAP_SECONDS
        ends = [at for at, _ in self.changes[1:]] + [math.inf]
        return [
            seconds
            for (at, seconds), end in zip(self.changes, ends)
            if at <= now and end > since
        ]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([0.5, 5.0, 20.0, 40.0]),
            strategies.sampled_from([1.0, 2.0, 15.0, 60.0]),
        ),
        min_size=1,
        max_size=6,
    ),
    strategies.integers(0, 5),
    strategies.sampled_from([0.4, 4.0, 14.0, 16.5, 59.0, 61.5]),
)
def test_closing_keeps_its_promises(steps, used_in, idle):
    """Guards against a close on which a caller's request arrives.

    The limit changes before the connection is used, and while it is idle.
    """
    history = _History(steps[0][1])
    now = 0.0
    times = []
    for pause, seconds in steps:
        now += pause
        times.append(now)
    used = times[min(used_in, len(times) - 1)] + 0.1
    at_use = None
    for at, (_, seconds) in zip(times, steps):
        if at > used + idle:
            break
        if at > used and at_use is None:
            at_use = history.limits.longest(used)
        history.change(seconds, at)
    if at_use is None:
        at_use = history.limits.longest(used)
    now = used + idle
    closes = history.limits.is_expired(used, at_use, now)
    limits = [*history.known_at(used), *history.known_at(now)]
    assert not promises.of_closing(idle, limits, closes)


def _breaks_a_next_step(module):
    for progress in _all_progress():
        for result in attempts.Result:
            step = module.decide(result, progress)
            if promises.of_next_step(result, progress, step):
                return True
    return False


def _breaks_a_promise_of_giving_up(module):
    for progress in _all_progress(MOVES):
        for cause in attempts.Cause:
            may_give_up = module.may_give_up(cause, progress)
            if promises.of_giving_up(cause, progress, may_give_up):
                return True
    return False


def _broken_waits(module):
    flags = itertools.product(answerends.Process, *[FLAGS] * 3)
    for process, has_entry, has_restarted, reaches_another in flags:
        signs = answerends.Signs(
            process=process,
            has_entry=has_entry,
            has_restarted=has_restarted,
            reaches_another=reaches_another,
        )
        yield from promises.of_waiting(signs, module.may_still_answer(signs))


def test_waiting_keeps_its_promises():
    """Guards against sound requests ended, and waits for lost endpoints."""
    assert not list(_broken_waits(answerends))


@pytest.mark.parametrize(
    'mutation',
    mutations.make_mutations(answerends, ['may_still_answer']),
    ids=str,
)
def test_promises_tell_a_changed_wait(mutation):
    """Guards against promises that a wrong decision keeps."""
    assert list(_broken_waits(mutation.module))


def _all_evidence():
    """Yield the evidence against an engine that the judgement tells apart."""
    limits = (0.035, 0.12, 0.3, 1.0)
    shares = (0.0, 0.5, 0.89, 0.9, 1.0, 2.9, 3.1, 3.5, 3.7, 4.0)
    flags = itertools.product(FLAGS, repeat=5)
    for flag, limit, share in itertools.product(flags, limits, shares):
        hears_others, is_refused, has_failed, is_one_of_many = flag[:4]
        is_acknowledged = flag[4]
        usual = limit
        if is_acknowledged:
            usual = max(limit, promises.ACKNOWLEDGED_SECONDS)
        yield losses.Evidence(
            share * usual,
            limit,
            hears_others,
            is_refused=is_refused,
            has_failed=has_failed,
            is_one_of_many=is_one_of_many,
            is_acknowledged=is_acknowledged,
        )


def _broken_judgements(module):
    for evidence in _all_evidence():
        yield from promises.of_losses(evidence, module.judge(evidence))


def test_judgements_of_silence_keep_their_promises():
    """Guards against sound engines taken out, and dead ones kept."""
    assert not list(_broken_judgements(losses))


@pytest.mark.parametrize(
    'mutation',
    mutations.make_mutations(losses, ['judge', 'required_seconds']),
    ids=str,
)
def test_promises_tell_a_changed_judgement(mutation):
    """Guards against promises that a wrong decision keeps."""
    assert list(_broken_judgements(mutation.module))


@pytest.mark.parametrize(
    'constant, value',
    [
        ('ENOUGH_SHARE', 0.5),
        ('ENOUGH_SHARE', 0.98),
        ('MANY_FACTOR', 1.0),
        ('MANY_FACTOR', 8.0),
        ('MAX_LIMIT_SECONDS', 0.5),
        ('MAX_LIMIT_SECONDS', 2.0),
    ],
)
def test_promises_tell_a_changed_limit_of_silence(
    monkeypatch, constant, value
):
    """Guards against promises that follow the constants of the judgement."""
    monkeypatch.setattr(losses, constant, value)
    assert list(_broken_judgements(losses))


def _breaks_an_exit(module):
    seconds = (0.0, 1.0, 2.0, 3.0, 7.0, 8.0)
    for elapsed, active in itertools.product(seconds, (0, 1)):
        exits = module.may_exit(elapsed, active, 8.0)
        if promises.of_exit(elapsed, active, 8.0, exits):
            return True
    return False


def _breaks_a_taking(module):
    for elapsed in (0.0, 1.0, 2.0, 3.0, 3.1, 4.0, 5.0):
        takes = elapsed <= module.accept_seconds(8.0)
        if promises.of_taking(elapsed, 8.0, takes):
            return True
    return False


@pytest.mark.parametrize('seconds', [1.5, 3.5, 4.5])
def test_promises_tell_another_accept_time(monkeypatch, seconds):
    """Guards against promises that go by the constant that they check."""
    monkeypatch.setattr(shutdown, 'ACCEPT_SECONDS', seconds)
    assert _breaks_a_taking(shutdown)
    assert _breaks_an_exit(shutdown)


@pytest.mark.parametrize(
    'mutation', mutations.make_mutations(attempts, NEXT_STEP), ids=str
)
def test_promises_tell_a_changed_next_step(mutation):
    """Guards against promises that a wrong decision keeps."""
    assert _breaks_a_next_step(mutation.module)


@pytest.mark.parametrize(
    'mutation', mutations.make_mutations(attempts, GIVING_UP), ids=str
)
def test_promises_tell_a_changed_giving_up(mutation):
    """Guards against promises that a wrong decision keeps."""
    assert _breaks_a_promise_of_giving_up(mutation.module)


@pytest.mark.parametrize(
    'mutation', mutations.make_mutations(shutdown, ['may_exit']), ids=str
)
def test_promises_tell_a_changed_exit(mutation):
    """Guards against promises that a wrong decision keeps."""
    assert _breaks_an_exit(mutation.module)
