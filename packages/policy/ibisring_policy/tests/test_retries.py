"""What may be tried again, and what it is charged."""

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
    began=strategies.booleans(),
    resumable=strategies.booleans(),
    attempts=strategies.integers(1, 5),
    resumes=strategies.integers(0, 3),
    now=strategies.floats(0.0, 10.0),
    deadline=strategies.floats(0.0, 10.0),
    delivering=strategies.booleans(),
)


def situation(failure, **changes):
    given_ = {
        'idempotent': True,
        'began': True,
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
def test_what_began_and_may_not_repeat_never_runs_anew(drawn, is_spent):
    budget = spent_budget() if is_spent else retries.make_budget()
    action = retries.decide(drawn, budget)
    if drawn.now >= drawn.deadline:
        assert action is GIVE_UP
    certain = drawn.failure in retries.NOT_RUN_FAILURES and not drawn.began
    if action is NEW_ATTEMPT:
        assert drawn.idempotent or certain
        assert drawn.attempts < retries.MAX_ATTEMPTS
        assert drawn.delivering or not is_spent
    if action is RESUME:
        assert drawn.resumable
        assert drawn.resumes < retries.MOST_RESUMES


def test_spent_budget_stops_what_would_add_load_only():
    """Symptom: when a failure domain goes, most callers' answers break off.

    Sequence: many running answers lose a stage at the same moment.
    Cause: their second attempts, which take the place of the first, were
    charged like tries on top of the load.
    """
    lost = situation(retries.Failure.STAGE_LOST, delivering=True)
    refused = situation(retries.Failure.REFUSED, began=False)
    assert retries.decide(lost, spent_budget()) is NEW_ATTEMPT
    assert retries.decide(refused, spent_budget()) is GIVE_UP


def test_silent_engine_is_left_if_the_request_may_run_elsewhere():
    silent = retries.Failure.SILENT
    budget = retries.make_budget()
    assert retries.decide(situation(silent), budget) is NEW_ATTEMPT
    once = situation(silent, idempotent=False)
    assert retries.decide(once, budget) is RESUME
    streaming = situation(silent, delivering=True)
    assert retries.decide(streaming, budget) is RESUME
