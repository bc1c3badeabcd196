"""Checks the decisions together, over all interleavings of a few steps.

Run with ``-rP`` to see the shortest sequence that finds each mutation.
"""

from ibisring_policy.gateway import answerends
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import shutdown
from ibisring_policy.gateway.tests import machinedecisions
from ibisring_policy.gateway.tests import machinestate
from ibisring_policy.gateway.tests import mutations
from ibisring_policy.gateway.tests import promises
from ibisring_policy.gateway.tests import smallmachine
import msgspec
import pytest

DECISIONS = [
    'decide',
    '_may_retry',
    'tries_left',
    '_give_up',
    'may_give_up',
    'count_given_up',
    'is_held',
    'is_in_vain',
    'use_up',
]
STEPS = {
    'send',
    'head',
    'event',
    'pause',
    'end',
    'end inside an event',
    'error',
    'a crashes',
    'b crashes',
    'c crashes',
    'a later stage crashes',
    'a leaves',
    'b leaves',
    'c leaves',
    'SIGTERM',
    'a second passes',
    'the configuration changes',
    'time runs out',
    'the caller leaves',
    'the end is noticed',
    'another request takes a retry',
    'a retry is free again',
}


def _find(decisions):
    """Return the shortest sequence that breaks a promise, and print it."""
    finding = smallmachine.search(decisions).finding
    print(finding)
    return finding


def test_decisions_keep_their_promises_in_all_interleavings():
    """Guards against decisions that are sound each, but not together."""
    found = smallmachine.search(machinedecisions.make_decisions())
    print(found.states, 'states,', found.transitions, 'transitions')
    assert found.finding is None, str(found.finding)
    assert found.taken == STEPS


@pytest.mark.parametrize(
    'mutation', mutations.make_mutations(attempts, DECISIONS), ids=str
)
def test_machine_finds_a_changed_decision(mutation):
    """Guards against a machine that doesn't reach a branch."""
    assert _find(machinedecisions.make_decisions(mutation.module))


@pytest.mark.parametrize(
    'mutation', mutations.make_mutations(answerends, ['judge']), ids=str
)
def test_machine_finds_a_changed_judgement_of_an_end(mutation):
    """Guards against a machine that doesn't reach a branch."""
    judge = mutation.module.judge
    assert _find(machinedecisions.make_decisions(judge=judge))


def test_machine_finds_a_judgement_that_is_blind_inside_events():
    """Guards against a stream cut inside an event that looks whole."""

    def judge(evidence):
        blind = msgspec.structs.replace(evidence, is_inside_event=False)
        return answerends.judge(blind)

    finding = _find(machinedecisions.make_decisions(judge=judge))
    assert 'end inside an event' in finding.steps


@pytest.mark.parametrize('seconds', [1.5, 4.5])
def test_machine_finds_another_accept_time(monkeypatch, seconds):
    """Guards against promises that go by the constant that they check."""
    monkeypatch.setattr(shutdown, 'ACCEPT_SECONDS', seconds)
    assert _find(machinedecisions.make_decisions())


@pytest.mark.parametrize(
    'mutation', mutations.make_mutations(shutdown, ['may_exit']), ids=str
)
def test_machine_finds_a_changed_exit(mutation):
    """Guards against a machine that doesn't reach a branch."""
    may_exit = mutation.module.may_exit
    assert _find(machinedecisions.make_decisions(may_exit=may_exit))


def test_machine_finds_an_attempt_given_up_without_permission():
    """Guards against ending the answer of a sound, silent endpoint.

    It would have gone on within a second; nothing may follow it.
    """

    def always(cause, progress):
        return True

    finding = _find(machinedecisions.make_decisions(may_give_up=always))
    assert 'pause' in finding.steps


def test_machine_finds_an_attempt_given_up_as_if_it_had_not_run():
    """Guards against asking whether a request may go on before its loss.

    Until its head arrives, nothing is known of its execution; once it is
    given up, it may have run.
    """

    def as_known(cause, progress):
        step = attempts.decide(attempts.Result.SILENT, progress)
        return step is attempts.NextStep.RETRY

    finding = _find(machinedecisions.make_decisions(may_give_up=as_known))
    assert finding.start.kind is machinestate.Kind.ONCE


def test_machine_finds_a_retry_that_is_taken_too_late():
    """Guards against silent streams that share one retry.

    Each is given up since the budget has a retry, which another takes first.
    """
    finding = _find(machinedecisions.make_decisions(takes_retry_first=False))
    assert 'another request takes a retry' in finding.steps


def test_machine_finds_an_alternative_that_the_route_forbids():
    """Guards against giving up an attempt for an endpoint it can't go to.

    The route's number of endpoints is used up: the stream would go back to
    the endpoint that was sound, and use up its tries.
    """

    def any_other(endpoint, sent_to, max_endpoints, up):
        return bool(up - {endpoint})

    finding = _find(machinedecisions.make_decisions(has_alternative=any_other))
    assert finding.start.sent_to or finding.start.max_endpoints == 1


def test_machine_finds_an_error_answer_that_is_replaced_without_a_retry():
    """Guards against an endpoint's own answer that its caller doesn't get.

    It is given up since the route allows another endpoint, but the budget
    has no retry left.
    """

    def as_route_allows(cause, progress):
        if cause is not attempts.Cause.FAILED:
            return attempts.may_give_up(cause, progress)
        is_open = progress.sent_to < progress.max_endpoints
        return progress.repeatable and is_open

    finding = _find(
        machinedecisions.make_decisions(may_give_up=as_route_allows)
    )
    assert 'error' in finding.steps


def test_machine_finds_a_lost_attempt_that_is_kept():
    """Guards against waiting for an endpoint that is known to be lost."""

    def never(cause, progress):
        return False

    finding = _find(machinedecisions.make_decisions(may_give_up=never))
    assert finding.broken == [promises.MOVED]
