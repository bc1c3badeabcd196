"""Tests of detecting lost stages and rerouting around them."""

import itertools
import time
import types

import pytest

from ibisring_gateway import attemptwatching
from ibisring_gateway import ports
from ibisring_gateway import selecting
from ibisring_gateway import stalls
from ibisring_gateway.tests import builders
from ibisring_gateway.tests import jobbuilders
from ibisring_gateway.tests import threadrefusals
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import chains
from ibisring_policy.gateway import retrybudget
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing


class _Watcher:
    def __init__(self):
        self.watched = []

    def attempts(self):
        return self.watched


def _engine(name, first, end, domain='a', **changes):
    return build.held_endpoint(
        name, first, end, domain, address=f'{name}:1', **changes
    )


class Scenario:
    """A stall handler with an attempt over engines `h`, `m` and `t`."""

    def __init__(self, *spares):
        self.engines = builders.Engines()
        self.engines.result = ports.OrderResult.DONE
        table = build.table()
        self.chain = [
            _engine('h', 0, 8),
            _engine('m', 8, 16, card='small'),
            _engine('t', 16, 24),
        ]
        self.endpoints = [*self.chain, *spares]
        self.view = builders.make_view(self.endpoints, table)
        self.watcher = _Watcher()
        self.selector = selecting.make_selector(self.view)
        self.handler = stalls.make_stall_handler(
            self.view,
            self.engines,
            self.selector,
            self.watcher,
            builders.Metrics(),
        )
        self.handler.successors = jobbuilders.make_successors(
            self.view, self.selector
        )
        self.attempt = self.new_attempt('r1')

    def new_attempt(self, name):
        """Return an attempt that has delivered events."""
        stages = tuple(
            chains.Stage(e.id, e.address, e.holding.first, e.holding.end)
            for e in self.chain
        )
        attempt = attemptwatching.Attempt(name, self.chain[0], stages, 1e12)
        attempt.job = jobbuilders.make_job(
            jobbuilders.Exchange(headers_sent=True),
            service=self.view.snapshot.index.services['model'],
            most_endpoints=4,
        )
        attempt.job.progress.tries = attempt.job.progress.sent_to = 1
        attempt.events = 5
        attempt.tokens = 10.0
        attempt.last_event_at = time.monotonic() - 0.1
        self.watcher.watched.append(attempt)
        self.selector.reserve(attempt)
        return attempt

    def replace(self, name, **changes):
        """Change an endpoint as an update of its entry would."""
        fields = {
            f: getattr(self.view.snapshot.endpoints[name], f)
            for f in routing.Endpoint.__struct_fields__
        }
        fields.update(changes)
        found = dict(self.view.snapshot.endpoints)
        found[name] = routing.Endpoint(**fields)
        self.view.snapshot = builders.make_view(list(found.values())).snapshot

    def settle(self):
        """Wait for the handler's threads."""
        self.handler.pool.shutdown(wait=True)


@pytest.fixture
def scenario():
    scenario = Scenario(_engine('m2', 8, 16, card='small'))
    yield scenario
    scenario.handler.stop()


def _names(stages):
    return [stage.endpoint for stage in stages]


def test_lost_stage_is_replaced_behind_the_same_first_stage(scenario):
    scenario.engines.unreachable.add('m:1')
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert scenario.attempt.result is None
    assert _names(scenario.attempt.stages) == ['h', 'm2', 't']
    assert scenario.engines.rerouted[0][:2] == ('h', 'r1')
    assert scenario.view.estimates.is_dead('m')


def _other_chain():
    return [
        _engine('h2', 0, 40, card='big'),
        _engine('t2', 40, 80, card='big'),
    ]


def test_attempt_with_a_lost_first_stage_goes_on_elsewhere():
    scenario = Scenario(*_other_chain())
    scenario.engines.unreachable.add('h:1')
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert scenario.attempt.result is attempts.Result.SILENT
    successor = scenario.attempt.successor
    assert successor.cause is attempts.Cause.LOST
    assert successor.choice.endpoint.id == 'h2'
    assert scenario.engines.rerouted == []
    scenario.handler.stop()


def test_lost_first_stage_without_another_chain_ends_nothing(scenario):
    """Failure: a stream is cut off since an engine is silent for a second."""
    scenario.engines.unreachable.add('h:1')
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert scenario.attempt.result is None
    assert scenario.attempt.check_at > time.monotonic()


def test_stream_is_not_aborted_while_no_other_chain_has_room():
    """Failure: a stream is cut off although no other chain can take it over.

    A stage is lost and no other engine holds its layers.
    """
    scenario = Scenario()
    scenario.engines.unreachable.add('m:1')
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert scenario.attempt.result is None
    assert scenario.attempt.check_at > time.monotonic()
    scenario.handler.stop()


def test_stages_that_deliver_for_others_are_not_queried(scenario):
    other = scenario.new_attempt('r2')
    other.last_event_at = time.monotonic()
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert scenario.engines.queried == []


def test_event_in_transit_does_not_prove_a_stage_alive(scenario):
    """Failure: streams pause for 0.3 s though 0.1 s suffice to find the stage.

    A stage dies, and events that had already passed it still arrive for
    other requests.  They count as proof that all stages of their chains are
    alive, so the first check queries none, and the next is 0.1 s later.
    """
    scenario.engines.unreachable.add('m:1')
    scenario.attempt.mean_gap = 0.04
    scenario.attempt.last_event_at = time.monotonic() - 0.08
    other = scenario.new_attempt('r2')
    other.last_event_at = scenario.attempt.last_event_at + 0.035
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert 'm2' in _names(scenario.attempt.stages)


def test_many_silent_requests_share_status_queries(scenario):
    """Failure: every stage of a site seems lost at once.

    An engine dies and thirty requests fall silent together.  Their checks
    take all threads of a pool shared with the queries that they wait for.
    """
    scenario.engines.unreachable.add('m:1')
    others = [scenario.new_attempt(f'q{n}') for n in range(40)]
    for attempt in others:
        scenario.handler.handle(attempt)
    scenario.settle()
    assert not scenario.view.estimates.is_dead('t')
    assert scenario.engines.queried.count('t:1') <= 4
    moved = [a for a in others if _names(a.stages) == ['h', 'm2', 't']]
    assert len(moved) == len(others)


def test_no_stage_counts_as_lost_if_all_fail_to_answer(scenario):
    scenario.engines.unreachable.update(('h:1', 'm:1', 't:1'))
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert not scenario.view.estimates.is_dead('m')
    assert scenario.attempt.result is None


@pytest.mark.parametrize(
    'changes',
    [{'state': routing.EndpointState.DRAINING}, {'holding': None}],
)
def test_requests_are_moved_off_a_leaving_engine(scenario, changes):
    scenario.replace('m', **changes)
    scenario.handler.run_checks()
    scenario.settle()
    assert _names(scenario.attempt.stages) == ['h', 'm2', 't']


def test_unloaded_stage_is_replaced_along_with_the_lost_one():
    """Failure: 659 of 788 moves off lost stages are refused.

    An engine that was ordered to hold other layers waits for its requests,
    and another engine of their chains is lost.  If only the lost stage is
    replaced, the path still has the stage that was given up and is refused.
    """
    scenario = Scenario(
        _engine('m2', 8, 16, card='small'), _engine('t2', 16, 24, card='small')
    )
    scenario.replace('t', holding=None)
    scenario.engines.unreachable.add('m:1')
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert _names(scenario.attempt.stages) == ['h', 'm2', 't2']
    scenario.handler.stop()


@pytest.mark.parametrize('unloaded', ('h', 't'))
def test_request_that_blocks_loading_is_restarted_elsewhere(unloaded):
    """Failure: a failure domain lacks four layers for ten seconds.

    A spare engine is ordered to hold them, but loads nothing until a request
    has ended that passes through it.  The request can't be moved, as no other
    engine holds the layers given up, and isn't restarted elsewhere.
    """
    others = [
        _engine('h2', 0, 40, card='big'),
        _engine('t2', 40, 80, card='big'),
    ]
    for spares, may_change_endpoint, expected in (
        (others, True, attempts.Result.SILENT),
        (others, False, None),
        (others[1:], True, None),
    ):
        scenario = Scenario(*spares)
        # Makes the engine refuse a replacement of stages.
        scenario.engines.result = ports.OrderResult.CONFLICT
        scenario.replace(unloaded, holding=None)
        scenario.attempt.may_change_endpoint = may_change_endpoint
        scenario.handler.run_checks()
        scenario.settle()
        assert scenario.attempt.result is expected
        scenario.handler.stop()


def test_failed_moves_do_not_count_against_the_limit():
    """Failure: a spare engine waits seconds for the requests in it.

    One stage leaves and no other engine holds its layers.  Each check tries
    to move the request, and three failed tries use up its moves, so that it
    can't be moved when another stage has to be unloaded.
    """
    scenario = Scenario()
    scenario.replace('m', state=routing.EndpointState.DRAINING)
    for _ in range(6):
        scenario.handler.run_checks()
        time.sleep(0.02)
    scenario.settle()
    assert scenario.attempt.reroutes == 0
    scenario.handler.stop()


def test_unreachable_engine_is_probed_again(scenario):
    scenario.view.estimates.note_unreachable('t', time.monotonic() - 10.0)
    scenario.handler.run_checks()
    scenario.settle()
    scenario.handler.querier.pool.shutdown(wait=True)
    assert not scenario.view.estimates.is_dead('t')


def test_engine_that_answers_late_recovers(scenario):
    """Failure: a fifth of the requests is refused though all engines run.

    An engine answers status queries after 50 ms for a while.  Streams are
    moved off it, and the probe that would bring it back has the same timeout
    of 35 ms.
    """
    scenario.engines.delays['t:1'] = 0.05
    scenario.view.estimates.note_unreachable('t', time.monotonic() - 10.0)
    scenario.handler.run_checks()
    scenario.settle()
    scenario.handler.querier.pool.shutdown(wait=True)
    assert not scenario.view.estimates.is_dead('t')


def test_engines_that_answer_late_are_not_lost_again(scenario):
    """Failure: on a busy machine engines are taken for lost again and again.

    They answer status queries after 50 ms.  One is taken for lost, comes
    back, is silent for a moment and is taken for lost again, if the timeout
    stays at 35 ms however long answers take.
    """
    for name in ('h:1', 'm:1', 't:1', 'm2:1'):
        scenario.engines.delays[name] = 0.05
    now = time.monotonic()
    for name in ('h', 'm', 't', 'm2'):
        scenario.view.estimates.note_unreachable(name, now - 10.0)
    scenario.handler.run_checks()
    time.sleep(0.3)
    assert scenario.handler.querier.timeout.seconds > 0.05
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert not any(map(scenario.view.estimates.is_dead, ('h', 'm', 't', 'm2')))


def _forbid(job, why):
    """Take something that a request needs to go on elsewhere."""
    progress = job.progress
    if why == 'route':
        progress.repeatable = False
    elif why == 'tries':
        progress.tries = attempts.MAX_TRIES
    elif why == 'moves':
        progress.moves = attempts.MAX_MOVES
    elif why == 'moved':
        progress.is_moved = True
    elif why == 'time':
        job.deadline = time.monotonic()
    elif why == 'numbers':
        job.splitter.has_unnumbered = True


def _silence(scenario, cause):
    """Make the attempt silent; return what gives it up."""
    handler, attempt = scenario.handler, scenario.attempt
    attempt.is_behind = True
    attempt.checks = stalls.MAX_CHECKS + 1
    if cause is attempts.Cause.LOST:
        scenario.engines.unreachable.add('h:1')
    elif cause is attempts.Cause.UNLOADED:
        scenario.engines.result = ports.OrderResult.CONFLICT
        scenario.replace('t', holding=None)
        return handler.run_checks
    scenario.selector.event_times.should_move = lambda *chain: True
    return lambda: handler.handle(attempt)


CAUSES = (
    attempts.Cause.SILENT,
    attempts.Cause.LOST,
    attempts.Cause.UNLOADED,
)
LIMITS = ('route', 'tries', 'time', 'numbers', 'budget')


@pytest.mark.parametrize(
    ('cause', 'why'),
    [
        *itertools.product(CAUSES, LIMITS),
        (attempts.Cause.SILENT, 'moves'),
        (attempts.Cause.UNLOADED, 'moves'),
        (attempts.Cause.SILENT, 'moved'),
    ],
)
def test_silent_attempt_is_not_ended_if_its_request_may_not_go_on(cause, why):
    """Failure: a stream of a sound engine that pauses is cut off."""
    scenario = Scenario(*_other_chain())
    if why == 'budget':
        scenario.handler.successors.retry_budget = (
            retrybudget.make_retry_budget(10.0, 0.2, 0.5)
        )
    _forbid(scenario.attempt.job, why)
    _silence(scenario, cause)()
    scenario.settle()
    assert scenario.attempt.result is None
    scenario.handler.stop()


@pytest.mark.parametrize('cause', CAUSES)
def test_silent_attempt_ends_for_a_successor_with_all_it_needs(cause):
    scenario = Scenario(*_other_chain())
    _silence(scenario, cause)()
    scenario.settle()
    successor = scenario.attempt.successor
    assert scenario.attempt.result is attempts.Result.SILENT
    assert successor.cause is cause
    assert successor.choice.endpoint.id == 'h2'
    scenario.handler.stop()


def test_streams_silent_together_share_the_room_and_the_retries():
    """Failure: all streams of an engine are ended for the same free place."""
    scenario = Scenario(*_other_chain())
    budget = retrybudget.make_retry_budget(10.0, 0.2, 3.0)
    scenario.handler.successors.retry_budget = budget
    scenario.engines.unreachable.add('h:1')
    streams = [scenario.new_attempt(f's{n}') for n in range(8)]
    for attempt in streams:
        scenario.handler.handle(attempt)
    scenario.settle()
    ended = [each for each in streams if each.result is not None]
    assert len(ended) == 3
    assert all(each.successor is not None for each in ended)
    scenario.handler.stop()


def test_retry_of_an_attempt_that_ends_by_itself_is_given_back():
    """Failure: attempts that end meanwhile use up the retries of others."""
    scenario = Scenario(*_other_chain())
    budget = scenario.handler.successors.retry_budget
    now = time.monotonic()
    before = budget.remaining(now, 1)
    successor = scenario.handler.successors.prepare(
        scenario.attempt, attempts.Cause.SILENT
    )
    assert budget.remaining(now, 1) == before - 1
    scenario.attempt.settle()
    assert not scenario.attempt.hand_over(successor)
    scenario.handler.successors.cancel(successor)
    assert budget.remaining(now, 1) == before
    loads = scenario.view.estimates.own_tokens()
    assert not loads.get('h2')
    scenario.handler.stop()


@pytest.mark.parametrize('why', ['ended', 'retry', 'wait'])
def test_rate_limit_booked_for_an_unused_successor_is_given_back(why):
    """Failure: an endpoint's limit stops requests for one never sent."""
    scenario = Scenario(*_other_chain())
    made = scenario.handler.successors
    now = time.monotonic()
    limits = scenario.view.limits
    for name in ('h', 'h2'):
        limits.record_rate(name, 0, 0.5, now - 9.0, now - 9.0)
        limits.wait(name, now - 9.0)
    if why == 'wait':
        limits.by_endpoint['h'].next_at = now + 9.0
        limits.by_endpoint['h2'].next_at = now + 0.2
    if why == 'retry':
        made.take_retry = lambda job, now: None
    before = limits.by_endpoint['h2'].next_at
    successor = made.prepare(scenario.attempt, attempts.Cause.SILENT)
    assert (successor is not None) is (why == 'ended')
    if successor is not None:
        assert limits.by_endpoint['h2'].next_at > before
        made.cancel(successor)
    assert limits.by_endpoint['h2'].next_at == before
    scenario.handler.stop()


def test_service_that_leaves_the_table_breaks_off_no_stream():
    """Failure: a refusal or a silence is an error once a table is applied."""
    scenario = Scenario(*_other_chain())
    scenario.view.snapshot.index.services.clear()
    answer = types.SimpleNamespace(wrong_endpoint=False, backoff=None)
    with scenario.view.lock:
        scenario.selector.record_refusal(
            scenario.attempt, 'm', answer, time.monotonic()
        )
    assert not scenario.selector.has_alternative(
        scenario.attempt, time.monotonic()
    )
    scenario.engines.unreachable.add('m:1')
    scenario.handler._check_stages(scenario.attempt)
    assert scenario.attempt.result is None
    scenario.handler.stop()


def test_event_after_the_check_keeps_the_attempt():
    """Failure: a stream that goes on is moved, and its prompt read again."""
    scenario = Scenario(*_other_chain())
    successor = scenario.handler.successors.prepare(
        scenario.attempt, attempts.Cause.SILENT
    )
    scenario.attempt.events += 1
    assert not scenario.attempt.hand_over(successor)
    scenario.handler.successors.cancel(successor)
    assert scenario.attempt.result is None
    scenario.handler.stop()


def test_retry_stays_with_others_while_a_way_is_searched():
    """Failure: streams are cut for want of a retry that nobody uses."""
    scenario = Scenario(*_other_chain())
    budget = retrybudget.make_retry_budget(10.0, 0.2, 1.0)
    scenario.handler.successors.retry_budget = budget
    left = []

    def choose_other(job, attempt, now):
        left.append(budget.remaining(now, 1))
        return None

    scenario.selector.choose_other = choose_other
    scenario.handler.successors.prepare(
        scenario.attempt, attempts.Cause.SILENT
    )
    assert left == [1]
    scenario.handler.stop()


def test_stages_of_an_attempt_that_has_ended_are_not_replaced():
    """Failure: engines count load for ever of a stream that has ended."""
    scenario = Scenario(_engine('m2', 8, 16, card='small'))
    repath = scenario.engines.repath

    def end_meanwhile(endpoint, request_id, stages):
        scenario.attempt.settle()
        return repath(endpoint, request_id, stages)

    scenario.engines.repath = end_meanwhile
    scenario.engines.unreachable.add('m:1')
    scenario.handler.handle(scenario.attempt)
    scenario.settle()
    assert _names(scenario.attempt.stages) == ['h', 'm', 't']
    scenario.handler.stop()


@pytest.mark.parametrize('is_lost', [False, True])
def test_plain_request_stays_while_its_endpoint_may_answer(is_lost):
    """Failure: a caller waits until its deadline for a lost endpoint."""
    scenario = Scenario()
    scenario.attempt.stages = ()
    scenario.attempt.job.progress.repeatable = False
    looked_at = []

    def may_still_answer(endpoint):
        looked_at.append(endpoint.id)
        return not is_lost

    scenario.handler.may_still_answer = may_still_answer
    for _ in range(3):
        scenario.handler._check(scenario.attempt)
    expected = attempts.Result.LOST if is_lost else None
    assert scenario.attempt.result is expected
    assert looked_at == ['h']
    scenario.handler.stop()


def test_silent_plain_endpoint_is_avoided_by_others():
    """Failure: an endpoint that answers nothing gets requests as before."""
    scenario = Scenario()
    plain = build.endpoint('p1')
    scenario.view = builders.make_view([plain])
    scenario.handler.view = scenario.view
    scenario.attempt.endpoint = plain
    scenario.attempt.stages = ()
    scenario.attempt.job.progress.repeatable = False
    for _ in range(3):
        scenario.handler._check(scenario.attempt)
    estimate = scenario.view.estimates.get('p1')
    assert estimate.consecutive_failures == 1
    assert scenario.attempt.result is None
    scenario.handler.stop()


def test_check_without_a_thread_is_made_later_and_once(scenario):
    """Guards against a lost stage that is replaced twice, or never."""
    scenario.engines.unreachable.add('m:1')
    attempt = scenario.attempt
    with threadrefusals.no_new_threads(), pytest.raises(RuntimeError):
        scenario.handler.handle(attempt)
    scenario.handler.handle(attempt)
    scenario.settle()
    assert _names(attempt.stages) == ['h', 'm2', 't']
    assert len(scenario.engines.rerouted) == 1


def test_check_that_fails_is_due_again(scenario):
    """Guards against checks that follow one another without a pause."""
    attempt = scenario.attempt
    attempt.is_checking = True
    with threadrefusals.no_new_threads():
        scenario.handler._check(attempt)
    assert not attempt.is_checking and attempt.result is None
    assert attempt.check_at > scenario.view.clock()


def test_move_without_a_thread_is_made_at_the_next_check(scenario):
    """Guards against a stream that stays with an engine until it exits."""
    scenario.replace('m', state=routing.EndpointState.DRAINING)
    with threadrefusals.no_new_threads():
        scenario.handler.run_checks()
    assert not scenario.attempt.is_checking
    scenario.handler.run_checks()
    scenario.settle()
    assert _names(scenario.attempt.stages) == ['h', 'm2', 't']
