"""Admission and placement: urgency, fairness, refusal, ejection, draining."""

import collections
import random

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from ibisring_policy import dispatch
from ibisring_policy import limits
from ibisring_policy import loads
from ibisring_policy import plans
from ibisring_policy import retries
from ibisring_policy.tests import builders
from ibisring_records import exceptions


def granted(results):
    return [r.ticket.id for r in results if isinstance(r, dispatch.Grant)]


def fill(dispatcher, count=4, **changes):
    """Take every slot of the model's chains."""
    for number in range(count):
        made = builders.ticket(f'fill{number}', **changes)
        assert granted(dispatcher.offer(made, 0.0))


def finish(dispatcher, name, now=1.0, **report):
    report = {'seconds': 1.0, 'tokens': 10, **report}
    return dispatcher.finish(dispatch.AttemptReport(name, **report), now)


def test_grant_is_a_complete_chain():
    dispatcher = builders.dispatcher()
    (grant,) = dispatcher.offer(builders.ticket(1), 0.0)
    stages = [endpoint.spec for endpoint in grant.endpoints]
    assert [(s.first_layer, s.last_layer) for s in stages] == [(0, 1), (2, 3)]


@pytest.mark.parametrize(
    'ranges', [[(0, 1)], [(0, 1), (3, 3)], [(0, 2), (2, 3)], [(2, 3), (0, 1)]]
)
def test_chain_with_gap_overlap_or_wrong_order_is_refused(ranges):
    stages = [
        builders.endpoint('e', first, last).spec for first, last in ranges
    ]
    named = [Stage(s.first_layer, s.last_layer) for s in stages]
    with pytest.raises(exceptions.PlanInvalid):
        plans.check_chain(named, 4)


class Stage:
    endpoint = 'e'

    def __init__(self, first_layer, last_layer):
        self.first_layer = first_layer
        self.last_layer = last_layer


def test_urgent_goes_before_what_waited_longer():
    dispatcher = builders.dispatcher()
    fill(dispatcher)
    assert not dispatcher.offer(builders.ticket('normal'), 0.0)
    assert not dispatcher.offer(builders.ticket('urgent', rank=0), 0.5)
    assert granted(finish(dispatcher, 'fill0')) == ['urgent']


def test_reserved_share_keeps_slots_for_urgent_requests():
    dispatcher = builders.dispatcher(slots=4, reserved=0.25)
    for number in range(6):
        dispatcher.offer(builders.ticket(number), 0.0)
    assert not granted(dispatcher.offer(builders.ticket('n'), 0.0))
    urgent = builders.ticket('u', rank=0)
    assert granted(dispatcher.offer(urgent, 0.0)) == ['u']


def test_a_large_accounts_backlog_does_not_hold_up_a_small_account():
    """Symptom: a small kitchen waits behind a plant's hundred drafts.

    Sequence: one account queues many requests, another queues one.
    Cause: first come, first served.
    """
    dispatcher = builders.dispatcher()
    fill(dispatcher)
    for number in range(100):
        dispatcher.offer(builders.ticket(f'large{number}'), 0.1)
    dispatcher.offer(builders.ticket('small', account='b'), 0.2)
    first = granted(finish(dispatcher, 'fill0'))
    second = granted(finish(dispatcher, 'fill1'))
    assert 'small' in first + second


def test_weights_share_out_the_tokens():
    dispatcher = builders.dispatcher(replicas=1, slots=1)
    fill(dispatcher, 1)
    for number in range(40):
        heavy = builders.ticket(f'h{number}', account='a', weight=3.0)
        light = builders.ticket(f'l{number}', account='b', weight=1.0)
        dispatcher.offer(heavy, 0.0)
        dispatcher.offer(light, 0.0)
    running, served = 'fill0', collections.Counter()
    for _ in range(20):
        (running,) = granted(finish(dispatcher, running))
        served[running[0]] += 1
    assert 14 <= served['h'] <= 16


def test_hopeless_wait_is_refused_at_once():
    """Symptom: callers wait out their deadline and get nothing.

    Sequence: more requests come than are finished.
    Cause: the queue took what it could not finish in time.
    """
    dispatcher = builders.dispatcher()
    fill(dispatcher)
    finish(dispatcher, 'fill0')
    fill(dispatcher, 1, rank=1)
    for number in range(20):
        dispatcher.offer(builders.ticket(f'w{number}'), 1.0)
    late = builders.ticket('late', deadline=2.5)
    with pytest.raises(exceptions.DeadlineUnreachable) as caught:
        dispatcher.offer(late, 1.0)
    assert caught.value.retry_after > 0.0
    patient = builders.ticket('patient', deadline=100.0)
    assert not dispatcher.offer(patient, 1.0)


def test_generous_token_limit_is_no_reason_to_refuse_when_idle():
    """Symptom: an idle site refuses a short question.

    Sequence: a caller allows thousands of tokens, for an answer of ten.
    Cause: the cost, which goes by what is allowed, looked too late.
    """
    dispatcher = builders.dispatcher()
    fill(dispatcher, 1)
    finish(dispatcher, 'fill0', seconds=1.0, tokens=10)
    generous = builders.ticket('n', cost=5000.0, deadline=10.0)
    assert granted(dispatcher.offer(generous, 1.0)) == ['n']


def test_passed_deadline_in_the_queue_is_a_refusal():
    dispatcher = builders.dispatcher()
    fill(dispatcher)
    dispatcher.offer(builders.ticket('w', deadline=3.0), 0.0)
    (refusal,) = dispatcher.tick(3.5)
    assert refusal.ticket.id == 'w'
    assert refusal.error.outcome is exceptions.Outcome.NOT_RUN


def test_cancelled_ticket_leaves_the_queue():
    dispatcher = builders.dispatcher()
    fill(dispatcher)
    dispatcher.offer(builders.ticket('w'), 0.0)
    dispatcher.cancel('w', 0.1)
    assert dispatcher.waiting() == 0
    assert not granted(finish(dispatcher, 'fill0'))


def test_leaving_endpoint_gets_nothing_and_finishes_what_runs():
    dispatcher = builders.dispatcher()
    fill(dispatcher, 4)
    dispatcher.configure(builders.in_force(leaving=['e0-0']), 0.5)
    assert dispatcher.states['e0-0'].own == 2
    for number in range(4):
        finish(dispatcher, f'fill{number}')
    (grant,) = dispatcher.offer(builders.ticket('n'), 2.0)
    assert grant.endpoints[0].name == 'e0-1'


def test_joining_engine_gets_work_only_once_it_is_ready():
    """Symptom: nonsense words when engines join.

    Sequence: a record names a new engine that still loads its layers.
    Cause: whatever stood in the records was taken for ready.
    """
    dispatcher = builders.dispatcher(replicas=1, slots=1)
    dispatcher.configure(builders.in_force(replicas=2, slots=1), 1.0)
    fill(dispatcher, 1)
    assert not dispatcher.offer(builders.ticket('n'), 1.0)
    for name in ('e0-1', 'e2-1'):
        endpoint = dispatcher.configuration.endpoints[name]
        dispatcher.observe_status(endpoint, ready=True, draining=False)
    assert granted(dispatcher.tick(1.1)) == ['n']


def test_engine_whose_record_names_other_layers_waits_for_them():
    dispatcher = builders.dispatcher(replicas=2)
    changed = builders.in_force(replicas=2)
    moved = builders.endpoint(
        'e0-0', 0, 1, model=builders.MODEL, version='m@2'
    )
    changed.endpoints['e0-0'] = moved
    dispatcher.configure(changed, 1.0)
    old = builders.in_force(replicas=2).endpoints['e0-0']
    dispatcher.observe_status(old, ready=True, draining=False)
    assert not dispatcher.states['e0-0'].ready
    assert dispatcher.states['e0-1'].ready


def test_missing_stage_is_said_at_once():
    dispatcher = builders.dispatcher(leaving=['e0-0', 'e0-1'])
    with pytest.raises(exceptions.NoEndpoint):
        dispatcher.offer(builders.ticket('n'), 0.0)


def test_last_complete_chain_is_never_ejected():
    """Symptom: a bad minute became an outage.

    Sequence: every endpoint fails a few times.
    Cause: each was left out, until none was left.
    """
    dispatcher = builders.dispatcher()
    for state in dispatcher.states.values():
        state.failed(0.0, severe=True)
    assert granted(dispatcher.offer(builders.ticket('n'), 0.1)) == ['n']


def test_ejected_endpoint_is_avoided_while_others_suffice():
    dispatcher = builders.dispatcher()
    dispatcher.states['e0-0'].failed(0.0, severe=True)
    for number in range(2):
        (grant,) = dispatcher.offer(builders.ticket(number), 0.1)
        assert grant.endpoints[0].name == 'e0-1'


def test_endpoint_that_refuses_everything_is_left_alone():
    """Symptom: requests fail as not run while engines are free.

    Sequence: an engine loses its layers and refuses all it is sent.
    Cause: each refusal cost a retry, and the budget for them ran out.
    """
    dispatcher = builders.dispatcher()
    refused = 0
    for number in range(30):
        (grant,) = dispatcher.offer(builders.ticket(number), 0.1)
        failure = None
        if grant.endpoints[0].name == 'e0-0':
            failure = retries.Failure.REFUSED
            refused += 1
        finish(
            dispatcher,
            str(number),
            0.1,
            failure=failure,
            failed_endpoint='e0-0',
        )
    assert refused == loads.EJECT_AFTER


def test_refusals_shrink_the_limit_and_success_restores_it():
    state = loads.make_state(8, 0.0)
    for _ in range(20):
        state.refused(0.0)
    assert state.limit == 1.0
    state.own = 8
    for _ in range(100):
        state.succeeded(0.0)
    assert state.limit == 8


def test_reported_load_is_corrected_by_what_is_ours():
    state = loads.make_state(8, -100.0)
    state.own = 3
    state.report(Load(5, 0, 8), 10.0)
    assert state.outstanding(10.0) == 5
    state.own = 5
    assert state.outstanding(10.0) == 7
    assert state.outstanding(10.0 + loads.REPORT_HALF_LIFE) == 6


class Load:
    def __init__(self, running, waiting, slots):
        self.running = running
        self.waiting = waiting
        self.slots = slots


def test_account_limit_refuses_and_says_when_to_return():
    dispatcher = builders.dispatcher(slots=100, limit=10.0)
    dispatcher.offer(builders.ticket(1, cost=30.0), 0.0)
    with pytest.raises(exceptions.AccountLimited) as caught:
        dispatcher.offer(builders.ticket(2, cost=30.0), 0.0)
    later = caught.value.retry_after + 0.1
    assert granted(dispatcher.offer(builders.ticket(3), later)) == ['3']


@given(
    demands=strategies.lists(
        strategies.floats(0.0, 1e6), min_size=1, max_size=8
    ),
    limit=strategies.floats(1.0, 1e6),
)
@example(demands=[5e-324], limit=1.5)
def test_shares_of_a_limit_sum_to_at_most_the_limit(demands, limit):
    total = 0.0
    for index, own in enumerate(demands):
        others = demands[:index] + demands[index + 1 :]
        total += limits.share_of_limit(limit, own, others, len(demands))
    assert total <= limit * 1.0001


steps = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['offer', 'finish', 'fail', 'cancel', 'tick']),
        strategies.integers(0, 30),
        strategies.integers(0, 1),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(steps)
def test_slots_are_never_overfilled_nor_lost(taken):
    """Whatever comes, each endpoint's count is that of its attempts."""
    dispatcher = builders.dispatcher(reserved=0.25)
    waiting, running, now = set(), set(), 0.0
    for number, (kind, pick, rank) in enumerate(taken):
        now += 0.1
        results = []
        if kind == 'offer':
            name = str(number)
            waiting.add(name)
            made = builders.ticket(name, rank=rank, deadline=now + 3.0)
            try:
                results = dispatcher.offer(made, now)
            except exceptions.IbisringError:
                waiting.discard(name)
        elif kind == 'tick':
            results = dispatcher.tick(now)
        elif kind == 'cancel' and waiting:
            name = sorted(waiting)[pick % len(waiting)]
            waiting.discard(name)
            results = dispatcher.cancel(name, now)
        elif running:
            name = sorted(running)[pick % len(running)]
            running.discard(name)
            failure = retries.Failure.CUT if kind == 'fail' else None
            results = finish(
                dispatcher, name, now, failure=failure, failed_endpoint='e0-0'
            )
        for result in results:
            waiting.discard(result.ticket.id)
            if isinstance(result, dispatch.Grant):
                running.add(result.ticket.id)
        assert set(dispatcher.running) == running
        assert dispatcher.waiting() == len(waiting)
        for name, state in dispatcher.states.items():
            held = sum(
                name in each.names for each in dispatcher.running.values()
            )
            assert state.own == held <= state.slots


def test_standby_takes_work_only_for_layers_that_have_no_active_engine():
    """Symptom: layers have no engine though one stands by with them.

    Sequence: the only active engine of a range fails; a standby holds it.
    Cause: standbys were left out of every choice, or took part in all.
    """
    dispatcher = builders.dispatcher(standby=('e0-1', 'e2-1'), slots=4)
    before = [dispatcher.offer(builders.ticket(n), 0.0) for n in range(2)]
    assert {names_of(found) for found in before} == {('e0-0', 'e2-0')}
    dispatcher.finish(lost('0', 'e2-0'), 1.0)
    (after,) = dispatcher.offer(builders.ticket('after'), 1.0)
    assert names_of([after]) == ('e0-0', 'e2-1')


def names_of(grants):
    return tuple(endpoint.name for endpoint in grants[0].endpoints)


def lost(ticket, failed_endpoint):
    return dispatch.AttemptReport(
        ticket,
        failure=retries.Failure.STAGE_LOST,
        failed_endpoint=failed_endpoint,
    )


def test_routers_together_give_an_engine_no_more_than_its_slots():
    """Symptom: at full load urgent requests miss their bound.

    Sequence: six routers, each with more requests than the site has slots.
    Cause: each filled every engine alone; reports came too late to stop it.
    """
    names = [f'r{number}' for number in range(6)]
    given = collections.Counter()
    for name in names:
        router = dispatch.make_dispatcher(random.Random(name), name)
        router.configure(builders.in_force(replicas=4, slots=8), 0.0)
        router.set_routers([n for n in names if n != name], names)
        for number in range(40):
            for grant in router.offer(builders.ticket(number), 0.0):
                given.update(e.name for e in grant.endpoints)
    assert all(
        given[f'e{first}-{n}'] <= 8 for first in (0, 2) for n in range(4)
    )
    assert sum(given.values()) > 0.8 * 8 * 8


def with_paces(paces):
    """Return a dispatcher whose engines e0-0, e2-0 ... have known paces."""
    dispatcher = builders.dispatcher()
    for name, state in dispatcher.states.items():
        if name[-1] in paces:
            state.token_seconds = paces[name[-1]]
            state.measured = True
    return dispatcher


@pytest.mark.parametrize(
    'deadline, chain',
    [(10.0, ('e0-1', 'e2-1')), (1.0, ('e0-0', 'e2-0'))],
)
def test_request_with_time_to_spare_leaves_the_fast_engines(deadline, chain):
    """Symptom: a long draft comes too late on a half idle site.

    Sequence: short requests fill the fast engines; a long one comes.
    Cause: every request took the fastest engine that had a slot.
    """
    dispatcher = with_paces({'0': 0.04, '1': 0.1})
    for name in ('e0-0', 'e2-0'):
        dispatcher.states[name].own = 1
    ticket = builders.ticket('n', cost=10.0, deadline=deadline)
    assert names_of(dispatcher.offer(ticket, 0.0)) == chain


def test_engine_too_slow_for_a_request_is_not_taken_for_being_empty():
    dispatcher = with_paces({'0': 0.01, '1': 5.0})
    for name in ('e0-0', 'e2-0'):
        dispatcher.states[name].own = 1
    ticket = builders.ticket('n', cost=10.0, deadline=50.0)
    assert names_of(dispatcher.offer(ticket, 0.0)) == ('e0-0', 'e2-0')


def test_idle_engines_are_taken_at_random():
    """Symptom: on an idle site one engine's silence meets every request.

    Sequence: all engines are empty; the first by name never answers.
    Cause: among equals the first by name was taken.
    """
    chains = {
        names_of(
            builders.dispatcher(seed=seed).offer(builders.ticket('n'), 0.0)
        )
        for seed in range(40)
    }
    assert len(chains) == 4


def test_degraded_engine_is_not_taken_for_being_empty():
    """Symptom: after a link degraded, requests go on coming late.

    Sequence: an engine becomes a hundred times slower and is left by all;
    callers allow a minute, though they want an answer in a second.
    Cause: the empty engine could still meet their deadline.
    """
    dispatcher = with_paces({'0': 0.01, '1': 1.0})
    for name in ('e0-0', 'e2-0'):
        dispatcher.states[name].own = 1
    ticket = builders.ticket('n', cost=10.0, deadline=60.0)
    assert names_of(dispatcher.offer(ticket, 0.0)) == ('e0-0', 'e2-0')


def test_request_wanted_soon_takes_the_fast_engines():
    """Symptom: label texts come within their deadline and over their bound.

    Sequence: a class has an objective of 0.6 s and a deadline of a minute.
    Cause: only the deadline said whether there was time to spare.
    """
    dispatcher = with_paces({'0': 0.04, '1': 0.1})
    for name in ('e0-0', 'e2-0'):
        dispatcher.states[name].own = 1
    ticket = builders.ticket('n', cost=10.0, deadline=60.0, wanted_by=0.6)
    assert names_of(dispatcher.offer(ticket, 0.0)) == ('e0-0', 'e2-0')
