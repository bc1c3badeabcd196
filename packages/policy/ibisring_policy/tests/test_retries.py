"""Retry policy: what may be retried, and what the budget is charged."""

from hypothesis import given
from hypothesis import strategies

from ibisring_policy import retries

RESUME = retries.Action.RESUME
NEW_ATTEMPT = retries.Action.NEW_ATTEMPT
GIVE_UP = retries.Action.GIVE_UP

situations = strategies.builds(
    retries.Situation,
    failure=strategies.sampled_from(retries.Failure),
    idempotent=strategies.booleans(),
    may_have_run=strategies.booleans(),
    resumable=strategies.booleans(),
    attempts=strategies.integers(1, 5),
    resumes=strategies.integers(0, 3),
    now=strategies.floats(0.0, 10.0),
    deadline=strategies.floats(0.0, 10.0),
    has_delivered=strategies.booleans(),
)


def situation(failure, **changes):
    given_ = {
        'idempotent': True,
        'may_have_run': True,
        'resumable': True,
        'attempts': 1,
        'resumes': 0,
        'now': 0.0,
        'deadline': 9.0,
        **changes,
    }
    return retries.Situation(failure, **given_)


def spent_budget():
    return retries.make_budget(share=0.0, reserve=0.0)


@given(situations, strategies.booleans())
def test_request_that_is_not_idempotent_never_runs_twice(drawn, is_spent):
    budget = spent_budget() if is_spent else retries.make_budget()
    action = retries.decide(drawn, budget)
    if drawn.now >= drawn.deadline:
        assert action is GIVE_UP
    surely_not_run = (
        drawn.failure in retries.NOT_RUN_FAILURES and not drawn.may_have_run
    )
    if action is NEW_ATTEMPT:
        assert drawn.idempotent or surely_not_run
        assert drawn.attempts < retries.MAX_ATTEMPTS
        assert drawn.has_delivered or not is_spent
    if action is RESUME:
        assert drawn.resumable
        assert drawn.resumes < retries.MAX_RESUMES


def test_spent_budget_stops_only_retries_that_add_load():
    """Guards against broken answers when a failure domain fails.

    Many running answers then lose a stage at once; their new attempts only
    replace the old ones and must not be charged to the retry budget.
    """
    lost = situation(retries.Failure.STAGE_LOST, has_delivered=True)
    refused = situation(retries.Failure.REFUSED, may_have_run=False)
    assert retries.decide(lost, spent_budget()) is NEW_ATTEMPT
    assert retries.decide(refused, spent_budget()) is GIVE_UP


def test_attempt_at_a_silent_engine_is_replaced_if_idempotent():
    silent = retries.Failure.SILENT
    budget = retries.make_budget()
    assert retries.decide(situation(silent), budget) is NEW_ATTEMPT
    once = situation(silent, idempotent=False)
    assert retries.decide(once, budget) is RESUME
    streaming = situation(silent, has_delivered=True)
    assert retries.decide(streaming, budget) is RESUME
