"""Tests of telling slow engines from lost ones."""

import threading
import time
import types

from ibisring_gateway import enginestatus
from ibisring_gateway import forwarding
from ibisring_gateway import ports
from ibisring_gateway import process
from ibisring_gateway import selecting
from ibisring_gateway import settings
from ibisring_gateway import stalls
from ibisring_gateway import statusqueries
from ibisring_gateway.tests import builders
from ibisring_gateway.tests import slowload
from ibisring_gateway.tests import test_stalls
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import retrybudget
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions
import pytest

# Longest time in seconds to find a dead engine: the longest silence before a
# first check at a gap of 0.1 s, and its noise.
MAX_FIND_SECONDS = 0.3


@pytest.mark.parametrize('factor', [2.0, 4.0, 8.0])
def test_slow_engines_are_not_asked_twice(factor):
    """Failure: load makes engines slow, and moves double the load.

    Streams of slow engines are ended as silent and their prompts read again
    elsewhere, where all are slow as well.
    """
    completed = []
    for load in (1.0, 2.0, 4.0):
        outcome = slowload.Fleet(factor).run(load, 12.0)
        assert outcome.moved <= 0.1 * outcome.sent
        completed.append(outcome.completed)
    assert min(completed) >= 0.8 * max(completed) > 0


def test_the_load_shows_the_failure_of_fixed_times():
    """Guards against a load too light to show what the test above guards."""
    outcome = slowload.Fleet(8.0, is_adaptive=False).run(2.0, 12.0)
    assert outcome.moved > 0.1 * outcome.sent
    assert len(outcome.slow_lost) > 2


@pytest.mark.parametrize('seed', range(4))
def test_dead_engine_is_found_while_all_are_slow(seed):
    """Failure: patience with slow engines hides the one that has died."""
    fleet = slowload.Fleet(8.0, seed)
    outcome = fleet.run(1.0, 12.0, 't0', 6.0)
    died_at = builders.Clock().now + 6.0
    assert outcome.found_at - died_at <= MAX_FIND_SECONDS
    assert not outcome.slow_lost
    assert outcome.moved and outcome.left <= 2


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('factor', [2.0, 8.0])
def test_dead_engine_is_found_as_soon_as_with_fixed_times(factor, seed):
    """Failure: the second query makes streams of a dead engine late."""
    found = []
    for is_adaptive in (True, False):
        fleet = slowload.Fleet(factor, seed, is_adaptive)
        # At this load streams always pass through the engine.
        found.append(fleet.run(1.0, 12.0, 't0', 6.0).found_at)
    assert found[0] - found[1] <= enginestatus.MAX_EXTRA_SECONDS


@pytest.mark.parametrize('load', [0.3, 0.7])
def test_streams_leave_a_chain_whose_engine_only_answers_queries(load):
    """Failure: streams wait for an engine that has lost its own links."""
    outcomes = []
    for is_adaptive in (True, False):
        fleet = slowload.Fleet(2.0, is_adaptive=is_adaptive)
        fleet.at(fleet.clock.now + 3.0, fleet.hung.add, 't0')
        outcomes.append(fleet.run(load, 12.0))
    adaptive, fixed = outcomes
    assert adaptive.moved >= fixed.moved > 0
    assert adaptive.left <= fixed.left


def test_hung_chain_is_left_at_the_fifth_check():
    """Failure: streams of an engine that hangs move after 1.5 s or never.

    It answers status queries.  Earlier streams waited for it as well, so that
    much silence counts as explained and other chains as slow.
    """
    scenario = test_stalls.Scenario()
    view, handler = scenario.view, scenario.handler
    clock = view.clock = handler.clock = handler.querier.clock = (
        builders.Clock()
    )
    event_times = scenario.selector.event_times
    attempt = scenario.attempt
    attempt.events = 0
    attempt.is_behind = True
    attempt.result = attempts.Result.CALLER_GONE
    attempt.expected_seconds = 0.3
    for _ in range(30):
        attempt.sent_at = clock.now - 2.0
        event_times.note_unfinished(attempt, clock.now)
    attempt.result = None
    attempt.sent_at = attempt.last_event_at = clock.now
    attempt.check_at = clock.now + selecting.FIRST_EVENT_TIMEOUT
    attempt.explained_seconds = selecting.FIRST_EVENT_TIMEOUT
    scenario.selector.find_alternative = lambda attempt, now: attempt.stages
    scenario.selector.choose_other = lambda job, attempt, now: (
        selecting.Choice(attempt.endpoint, attempt.stages)
    )
    event_times._first_seconds = lambda *chain: 0.3
    handler.querier.check = lambda endpoints, *options: {
        e.id: statusqueries.Reply.ANSWERED for e in endpoints
    }
    while attempt.result is None and clock.now < attempt.sent_at + 3.0:
        clock.now = attempt.check_at
        handler._check_stages(attempt)
    assert attempt.result is attempts.Result.SILENT
    assert clock.now - attempt.sent_at < 1.15
    scenario.handler.stop()


class _Hanging(builders.Engines):
    """Engines that hang until the timeout of a status query ends."""

    def __init__(self, answers=0):
        super().__init__()
        self.answers = answers
        self.timeouts = []

    def status(self, endpoint, timeout):
        if endpoint.address in self.unreachable:
            self.timeouts.append(timeout)
            if len(self.timeouts) > 1 and self.answers:
                return super().status(build.endpoint(address='ok:1'), timeout)
            time.sleep(timeout)
        return super().status(endpoint, timeout)


def _querier(engines):
    endpoints = [build.endpoint(n, address=f'{n}:1') for n in ('x', 'y')]
    view = builders.make_view(endpoints)
    querier = enginestatus.make_status_querier(
        view, engines, builders.Metrics()
    )
    return querier, endpoints


@pytest.mark.parametrize('seconds', [0.035, 0.06, 0.12])
def test_two_queries_end_within_the_extra_time(seconds):
    """Failure: confirming a loss makes streams late that would be on time."""
    elapsed = []
    for _ in range(3):
        engines = _Hanging()
        engines.unreachable.add('x:1')
        querier, endpoints = _querier(engines)
        querier.timeout.seconds = seconds
        started = time.monotonic()
        replies = querier.check(endpoints)
        elapsed.append(time.monotonic() - started)
        querier.stop()
        assert replies['x'] is statusqueries.Reply.NONE
        assert replies['y'] is statusqueries.Reply.ANSWERED
        longest = seconds + enginestatus.MAX_EXTRA_SECONDS
        first, second = engines.timeouts
        assert first <= longest
        # The other engine has answered: both end about when one would have.
        start = seconds * enginestatus.SECOND_START_SHARE
        assert start + second <= seconds + 0.01
    # Threads of a busy machine start late; the best of three runs counts.
    assert min(elapsed) <= seconds + enginestatus.MAX_EXTRA_SECONDS + 0.02


def test_proven_alive_stages_count_as_answers():
    """Failure: a dead engine is found late beside stages proven alive.

    These are not asked, so that no engine answers the queries.
    """
    timeouts = {}
    for has_answers in (True, False):
        engines = _Hanging()
        engines.unreachable.add('x:1')
        querier, (endpoint, _) = _querier(engines)
        querier.check([endpoint], has_answers=has_answers)
        querier.stop()
        timeouts[has_answers] = engines.timeouts[1]
    assert timeouts[True] == enginestatus.MIN_SECOND_SECONDS
    assert timeouts[False] > enginestatus.MAX_EXTRA_SECONDS


def test_handler_tells_the_querier_of_stages_proven_alive():
    """Failure: proof by events shortens no check."""
    scenario = test_stalls.Scenario()
    told = []

    def check(endpoints, is_confirmed, has_answers):
        told.append(has_answers)
        return {e.id: statusqueries.Reply.ANSWERED for e in endpoints}

    scenario.handler.querier.check = check
    scenario.handler._find_lost(scenario.attempt)
    other = scenario.new_attempt('r2')
    other.stages = other.stages[:1]
    other.last_event_at = scenario.view.clock()
    scenario.handler._find_lost(scenario.attempt)
    assert told == [False, True]
    scenario.handler.stop()


def test_second_queries_leave_threads_to_first_ones():
    """Failure: first queries wait for threads that second ones occupy."""
    engines = _Hanging()
    engines.unreachable.add('x:1')
    querier, (silent, running) = _querier(engines)
    for _ in range(enginestatus.WORKERS):
        querier.recent_second_queries.clear()
        querier._share_query(silent, 0.5, 2)
    started = time.monotonic()
    replies = querier.check([running], is_confirmed=False)
    assert replies['y'] is statusqueries.Reply.ANSWERED
    assert time.monotonic() - started < 0.3
    querier.stop()


def test_query_that_was_not_sent_is_no_answer():
    """Failure: waits for this router's threads count as slow engines."""
    scenario = test_stalls.Scenario()
    attempt = scenario.attempt
    attempt.events = 0
    attempt.sent_at = attempt.last_event_at
    attempt.expected_seconds = 0.1
    attempt.is_behind = True
    scenario.handler.querier.check = lambda endpoints, *options: {
        e.id: statusqueries.Reply.NOT_SENT for e in endpoints
    }
    scenario.handler._check_stages(attempt)
    assert attempt.result is None and not attempt.is_behind
    attempt.result = attempts.Result.CALLER_GONE
    event_times = scenario.selector.event_times
    event_times.note_unfinished(attempt, scenario.view.clock())
    assert not event_times.first
    scenario.handler.stop()


def test_one_failed_query_is_no_loss():
    """Failure: engines are taken for lost after a single slow answer."""
    engines = _Hanging(answers=1)
    engines.unreachable.add('x:1')
    querier, endpoints = _querier(engines)
    assert querier.check(endpoints)['x'] is statusqueries.Reply.ANSWERED
    engines.timeouts.clear()
    querier.recent_queries.clear()
    reply = querier.check(endpoints, is_confirmed=False)['x']
    assert reply is statusqueries.Reply.NONE
    querier.stop()


def test_refused_connection_needs_no_second_query():
    class _Refusing(builders.Engines):
        def status(self, endpoint, timeout):
            self.queried.append(endpoint.address)
            raise ports.ConnectionRefused(endpoint.address)

    engines = _Refusing()
    querier, endpoints = _querier(engines)
    assert querier.check(endpoints)['x'] is statusqueries.Reply.REFUSED
    assert sorted(engines.queried) == ['x:1', 'y:1']
    querier.stop()


def _blocked_scenario():
    """Return a scenario with a lost stage and no way round, and its clock."""
    scenario = test_stalls.Scenario()
    clock = builders.Clock()
    scenario.view.clock = scenario.handler.clock = clock
    # Queries are submitted under the lock, and run at once here.
    scenario.view.lock = threading.RLock()
    scenario.handler.stop()
    scenario.handler.pool = slowload.InlinePool(clock)
    querier = scenario.handler.querier
    querier.clock = clock
    querier.pool = slowload.InlinePool(clock)
    querier.second_pool = slowload.InlinePool(clock)
    scenario.engines.unreachable.add('m:1')
    scenario.attempt.last_event_at = scenario.attempt.check_at = clock.now
    return scenario, clock


def _run_checks(scenario, clock, seconds):
    """Check the attempt whenever it is due; return how often it was."""
    checks = 0
    for _ in range(round(seconds * 100)):
        clock.now += 0.01
        if clock.now >= scenario.attempt.check_at:
            scenario.handler.handle(scenario.attempt)
            checks += 1
    return checks


def test_blocked_stream_is_queried_again_when_something_changes():
    """Failure: 16 checks a second with queries for each blocked stream.

    Each queries engines and writes two lines, with the result of the check
    before.
    """
    scenario, clock = _blocked_scenario()
    _run_checks(scenario, clock, 2.0)
    assert scenario.attempt.result is None
    queries = len(scenario.engines.queried)
    assert 12 <= queries <= 24
    scenario.view.estimates.note_refusal('t', clock.now)
    clock.now = scenario.attempt.check_at
    scenario.handler.handle(scenario.attempt)
    assert len(scenario.engines.queried) > queries


def test_blocked_stream_finds_room_as_soon_as_before():
    """Failure: a blocked stream doesn't notice that a stream has ended.

    Room that other streams free changes neither the endpoints nor the set of
    excluded engines.
    """
    scenario, clock = _blocked_scenario()
    _run_checks(scenario, clock, 1.0)
    searched_at = []

    def replace_stages(attempt, lost, now):
        searched_at.append(now)

    scenario.selector.replace_stages = replace_stages
    assert _run_checks(scenario, clock, 1.0) >= 14
    gaps = [b - a for a, b in zip(searched_at, searched_at[1:])]
    assert max(gaps) <= stalls.RECHECK_SECONDS + 0.011


def test_moved_stream_is_no_longer_blocked():
    """Failure: a stream that found a way round is moved off a stage again.

    What was found before the move says nothing of its new stages.
    """
    scenario, clock = _blocked_scenario()
    scenario.handler.handle(scenario.attempt)
    assert scenario.attempt.blocked is not None
    spare = build.held_endpoint('m2', 8, 16, 'a', address='m2:1', card='small')
    endpoints = [*scenario.endpoints, spare]
    scenario.view.snapshot = builders.make_view(endpoints).snapshot
    clock.now = scenario.attempt.check_at
    scenario.handler.handle(scenario.attempt)
    names = [stage.endpoint for stage in scenario.attempt.stages]
    assert names == ['h', 'm2', 't']
    assert scenario.attempt.blocked is None


def test_excluded_engines_are_computed_once_for_all_blocked_streams():
    """Failure: each blocked stream looks at all engines in each check.

    It did so under the lock of the view, on the thread that watches callers.
    """
    scenario, clock = _blocked_scenario()
    calls = []
    excluded = scenario.view.estimates.excluded

    def count(endpoints, now):
        calls.append(now)
        return excluded(endpoints, now)

    scenario.view.estimates.excluded = count
    streams = [scenario.new_attempt(f's{n}') for n in range(20)]
    for _ in range(10):
        for attempt in streams:
            scenario.handler.handle(attempt)
        clock.now += stalls.RECHECK_SECONDS
    assert len(calls) <= 10
    calls.clear()
    scenario.handler.pool = types.SimpleNamespace(submit=lambda *call: None)
    scenario.handler.handle(streams[0])
    assert not calls


def _retry(forwarder, model='a model', is_delivering=False, job=None):
    """Make a retry that is refused; return its job."""
    if job is None:
        job = types.SimpleNamespace(
            service=types.SimpleNamespace(name='chat', model=model),
            exchange=types.SimpleNamespace(headers_sent=is_delivering),
            has_refused_retry=False,
            successor=None,
            retry=None,
        )
    assert forwarder._take_retry(job, forwarder.clock())
    forwarder.sender.on_decided(job, True)
    forwarder.sender.on_decided(job, True)
    return job


def _forwarder():
    budget = retrybudget.make_retry_budget(10.0, 0.2, 200.0)
    view = builders.make_view([])
    return forwarding.make_forwarder(
        view,
        None,
        None,
        None,
        budget,
        lambda: 1,
        builders.Metrics(),
        None,
        None,
    )


def test_refused_retries_are_noted():
    """Failure: routers go on retrying while all engines refuse."""
    forwarder = _forwarder()
    for number in range(retrybudget.MIN_REFUSALS):
        _retry(forwarder)
        assert forwarder.retry_budget.dampers['chat'].refusals == number + 1
    assert forwarder.retry_budget.dampers['chat'].rate is not None


def test_one_request_that_meets_full_engines_counts_once():
    """Failure: one request lowers the rate for all of its service."""
    forwarder = _forwarder()
    job = _retry(forwarder)
    for _ in range(3):
        _retry(forwarder, job=job)
    assert forwarder.retry_budget.dampers['chat'].refusals == 1
    assert forwarder.retry_budget.dampers['chat'].rate is None


@pytest.mark.parametrize('changes', [{'model': None}, {'is_delivering': True}])
def test_refusals_of_others_lower_no_rate(changes):
    """Failure: plain services are damped, or streams lower the rate."""
    forwarder = _forwarder()
    for _ in range(20):
        _retry(forwarder, **changes)
    assert not forwarder.retry_budget.dampers


def _settings(slow_detection):
    return settings.Settings(
        router_id='a',
        failure_domain='x',
        host='1.2.3.4',
        caller_listen='1.2.3.4:1',
        ready_listen='1.2.3.4:2',
        store='1.2.3.4:3',
        peer_port=7000,
        slow_detection=slow_detection,
    )


def test_unknown_detection_is_rejected():
    with pytest.raises(exceptions.InvalidSetting, match='slow_detection'):
        settings.check(_settings('sometimes'))


@pytest.mark.parametrize('value', settings.CHOICES['slow_detection'])
def test_detection_is_set_at_all_parts(value):
    """Failure: the switch leaves a part of the new behavior on."""
    installation = types.SimpleNamespace(
        engines=builders.Engines(), codec=None, leases=None
    )
    gateway = process.make_gateway(
        settings.check(_settings(value)), installation
    )
    is_adaptive = value == 'adaptive'
    assert gateway.stall_handler.is_adaptive is is_adaptive
    assert gateway.retry_budget.is_damped is is_adaptive
    gateway.watcher.stop()
    gateway.stall_handler.stop()
    gateway.link_monitor.stop()


def test_times_without_load_are_those_of_before():
    """Failure: lost stages of an idle service are found later than before."""
    checks = []
    for is_adaptive in (True, False):
        scenario = test_stalls.Scenario()
        scenario.selector.event_times.is_adaptive = is_adaptive
        scenario.view.clock = clock = builders.Clock()
        job = types.SimpleNamespace(
            service=scenario.view.snapshot.index.services['model'],
            request=types.SimpleNamespace(prompt_tokens=772),
        )
        attempt = scenario.attempt
        attempt.events = 0
        attempt.sent_at = attempt.last_event_at = clock.now
        seconds = [scenario.selector.first_event_timeout(job, attempt)]
        for gap in (0.1, 0.02, 0.02, 0.3, 0.02):
            clock.now += gap
            scenario.selector.record_event(attempt, clock.now)
            seconds.append(round(attempt.check_at - clock.now, 9))
        checks.append(seconds)
        scenario.handler.stop()
    assert checks[0] == checks[1]


def test_stream_goes_on_though_its_service_has_left_the_table():
    """Failure: a new table breaks off the streams of a service it omits."""
    scenario = test_stalls.Scenario()
    scenario.attempt.events = 0
    scenario.view.snapshot.index.services.clear()
    scenario.selector.record_event(scenario.attempt, scenario.view.clock())
    assert scenario.attempt.expected_seconds == 0.0
    scenario.handler.stop()
