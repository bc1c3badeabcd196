"""Admission and placement: priority, fairness, rejection, ejection, drain."""

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
    """Occupy every slot of the model's chains."""
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


def test_urgent_request_is_granted_before_one_that_waited_longer():
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


def test_backlog_of_one_account_does_not_delay_another():
    """Guards against serving a class in order of arrival.

    A single request of one account would then wait behind a hundred
    requests that another account queued before it.
    """
    dispatcher = builders.dispatcher()
    fill(dispatcher)
    for number in range(100):
        dispatcher.offer(builders.ticket(f'large{number}'), 0.1)
    dispatcher.offer(builders.ticket('small', account='b'), 0.2)
    first = granted(finish(dispatcher, 'fill0'))
    second = granted(finish(dispatcher, 'fill1'))
    assert 'small' in first + second


def test_tokens_are_served_in_proportion_to_account_weights():
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


def test_request_that_would_miss_its_deadline_is_rejected_immediately():
    """Guards against queueing requests that can't finish in time.

    When requests arrive faster than they finish, callers would wait until
    their deadline and get no answer.
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


def test_high_token_limit_is_not_rejected_when_idle():
    """Guards against rejecting a short request on an idle site.

    The cost is based on the tokens that the caller allows; thousands
    allowed for an answer of ten seemed to miss the deadline.
    """
    dispatcher = builders.dispatcher()
    fill(dispatcher, 1)
    finish(dispatcher, 'fill0', seconds=1.0, tokens=10)
    expensive = builders.ticket('n', cost=5000.0, deadline=10.0)
    assert granted(dispatcher.offer(expensive, 1.0)) == ['n']


def test_ticket_whose_deadline_passes_in_the_queue_is_refused():
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


def test_leaving_endpoint_finishes_its_requests_and_gets_no_new_ones():
    dispatcher = builders.dispatcher()
    fill(dispatcher, 4)
    dispatcher.configure(builders.active_configuration(leaving=['e0-0']), 0.5)
    assert dispatcher.states['e0-0'].own == 2
    for number in range(4):
        finish(dispatcher, f'fill{number}')
    (grant,) = dispatcher.offer(builders.ticket('n'), 2.0)
    assert grant.endpoints[0].name == 'e0-1'


def test_joining_engine_gets_requests_only_once_it_is_ready():
    """Guards against corrupt answers when an engine joins.

    A record may name an engine that is still loading its layers, so being
    in the records does not mean that it is ready.
    """
    dispatcher = builders.dispatcher(replicas=1, slots=1)
    dispatcher.configure(
        builders.active_configuration(replicas=2, slots=1), 1.0
    )
    fill(dispatcher, 1)
    assert not dispatcher.offer(builders.ticket('n'), 1.0)
    for name in ('e0-1', 'e2-1'):
        endpoint = dispatcher.configuration.endpoints[name]
        dispatcher.observe_status(endpoint, ready=True, draining=False)
    assert granted(dispatcher.tick(1.1)) == ['n']


def test_engine_assigned_other_layers_is_not_ready_until_they_are_loaded():
    dispatcher = builders.dispatcher(replicas=2)
    changed = builders.active_configuration(replicas=2)
    moved = builders.endpoint(
        'e0-0', 0, 1, model=builders.MODEL, version='m@2'
    )
    changed.endpoints['e0-0'] = moved
    dispatcher.configure(changed, 1.0)
    old = builders.active_configuration(replicas=2).endpoints['e0-0']
    dispatcher.observe_status(old, ready=True, draining=False)
    assert not dispatcher.states['e0-0'].ready
    assert dispatcher.states['e0-1'].ready


def test_missing_stage_is_rejected_immediately():
    dispatcher = builders.dispatcher(leaving=['e0-0', 'e0-1'])
    with pytest.raises(exceptions.NoEndpoint):
        dispatcher.offer(builders.ticket('n'), 0.0)


def test_last_complete_chain_is_never_ejected():
    """Guards against ejecting every endpoint when all of them have failed.

    A short period of failures would then become an outage.
    """
    dispatcher = builders.dispatcher()
    for state in dispatcher.states.values():
        state.record_failure(0.0, severe=True)
    assert granted(dispatcher.offer(builders.ticket('n'), 0.1)) == ['n']


def test_ejected_endpoint_is_avoided_while_others_suffice():
    dispatcher = builders.dispatcher()
    dispatcher.states['e0-0'].record_failure(0.0, severe=True)
    for number in range(2):
        (grant,) = dispatcher.offer(builders.ticket(number), 0.1)
        assert grant.endpoints[0].name == 'e0-1'


def test_endpoint_that_refuses_everything_is_ejected():
    """Guards against spending the retry budget on one broken engine.

    An engine that lost its layers refuses every request.  If it were chosen
    again each time, the retry budget would run out and requests would fail
    although other engines are free.
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
    assert refused == loads.EJECT_AFTER_FAILURES


def test_refusals_reduce_the_limit_and_successes_restore_it():
    state = loads.make_state(8, 0.0)
    for _ in range(20):
        state.record_refusal(0.0)
    assert state.limit == 1.0
    state.own = 8
    for _ in range(100):
        state.record_success(0.0)
    assert state.limit == 8


def test_own_requests_are_subtracted_from_the_reported_load():
    state = loads.make_state(8, -100.0)
    state.own = 3
    state.record_load(Load(5, 0, 8), 10.0)
    assert state.outstanding(10.0) == 5
    state.own = 5
    assert state.outstanding(10.0) == 7
    assert state.outstanding(10.0 + loads.REPORT_HALF_LIFE_SECONDS) == 6


class Load:
    def __init__(self, running, waiting, slots):
        self.running = running
        self.waiting = waiting
        self.slots = slots


def test_account_over_its_limit_is_rejected_with_a_retry_time():
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


def test_standby_is_used_only_for_layers_that_have_no_active_engine():
    """Guards against ignoring standbys, and against always using them.

    When the only active engine of a layer range fails, a standby that
    holds these layers must take over.
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


def test_routers_together_send_an_engine_no_more_than_its_slots():
    """Guards against overfilled engines when several routers are loaded.

    Load reports lag, so six routers that each used all slots of an engine
    overfilled it, and urgent requests missed their latency bound.
    """
    names = [f'r{number}' for number in range(6)]
    given = collections.Counter()
    for name in names:
        router = dispatch.make_dispatcher(random.Random(name), name)
        router.configure(
            builders.active_configuration(replicas=4, slots=8), 0.0
        )
        router.set_routers([n for n in names if n != name], names)
        for number in range(40):
            for grant in router.offer(builders.ticket(number), 0.0):
                given.update(e.name for e in grant.endpoints)
    assert all(
        given[f'e{first}-{n}'] <= 8 for first in (0, 2) for n in range(4)
    )
    assert sum(given.values()) > 0.8 * 8 * 8


def with_token_seconds(token_seconds):
    """Return a dispatcher with measured seconds per token, by replica."""
    dispatcher = builders.dispatcher()
    for name, state in dispatcher.states.items():
        if name[-1] in token_seconds:
            state.token_seconds = token_seconds[name[-1]]
            state.measured = True
    return dispatcher


@pytest.mark.parametrize(
    'deadline, chain',
    [(10.0, ('e0-1', 'e2-1')), (1.0, ('e0-0', 'e2-0'))],
)
def test_request_with_spare_time_uses_idle_slow_engines(deadline, chain):
    """Guards against a late long request on a partly idle site.

    If every request takes the fastest engine with a free slot, short
    requests fill the fast engines before a long one arrives.
    """
    dispatcher = with_token_seconds({'0': 0.04, '1': 0.1})
    for name in ('e0-0', 'e2-0'):
        dispatcher.states[name].own = 1
    ticket = builders.ticket('n', cost=10.0, deadline=deadline)
    assert names_of(dispatcher.offer(ticket, 0.0)) == chain


def test_idle_engine_too_slow_for_the_deadline_is_not_used():
    dispatcher = with_token_seconds({'0': 0.01, '1': 5.0})
    for name in ('e0-0', 'e2-0'):
        dispatcher.states[name].own = 1
    ticket = builders.ticket('n', cost=10.0, deadline=50.0)
    assert names_of(dispatcher.offer(ticket, 0.0)) == ('e0-0', 'e2-0')


def test_idle_engines_are_chosen_at_random():
    """Guards against choosing the first by name among equal engines.

    On an idle site every request would then go to the same engine, also if
    that one never answers.
    """
    chains = {
        names_of(
            builders.dispatcher(seed=seed).offer(builders.ticket('n'), 0.0)
        )
        for seed in range(40)
    }
    assert len(chains) == 4


def test_idle_degraded_engine_is_not_used():
    """Guards against choosing a degraded engine because it is idle.

    After a link degrades, an engine that is a hundred times slower gets no
    requests; it can still meet a deadline of a minute although callers
    want the answer within a second.
    """
    dispatcher = with_token_seconds({'0': 0.01, '1': 1.0})
    for name in ('e0-0', 'e2-0'):
        dispatcher.states[name].own = 1
    ticket = builders.ticket('n', cost=10.0, deadline=60.0)
    assert names_of(dispatcher.offer(ticket, 0.0)) == ('e0-0', 'e2-0')


def test_request_with_a_tight_objective_uses_the_fast_engines():
    """Guards against missing the objective of a request with a late deadline.

    A class has an objective of 0.6 s and a deadline of a minute; spare time
    must be computed from the earlier of the two.
    """
    dispatcher = with_token_seconds({'0': 0.04, '1': 0.1})
    for name in ('e0-0', 'e2-0'):
        dispatcher.states[name].own = 1
    ticket = builders.ticket('n', cost=10.0, deadline=60.0, wanted_by=0.6)
    assert names_of(dispatcher.offer(ticket, 0.0)) == ('e0-0', 'e2-0')
