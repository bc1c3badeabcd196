"""Tests of what this router concludes from engines that don't answer."""

import threading
import time
import types

from ibisring_gateway import enginestatus
from ibisring_gateway import gossipmessages
from ibisring_gateway import ports
from ibisring_gateway import selecting
from ibisring_gateway import statusqueries
from ibisring_gateway.tests import builders
from ibisring_gateway.tests import slowload
from ibisring_gateway.tests import test_selecting
from ibisring_gateway.tests import test_stalls
from ibisring_policy.gateway import losses
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions
import pytest

ANSWER_SECONDS = 0.01
# A check's queries run beside the clock, which stands still for them.
CHECK_SECONDS = 0.1


class _Engines(builders.Engines):
    """Engines in virtual time, with the stalls of their machine.

    Attributes
    ----------
    stalls : list of (float, float)
        Spans in which neither the engines nor the router run.
    dark : set of str
        Addresses that never answer.
    refusing : set of str
        Addresses that refuse connections.
    pauses : dict of str to float
        Addresses whose processes stand still, and until when; their hosts
        acknowledge queries.
    """

    def __init__(self, clock, health):
        super().__init__()
        self.clock = clock
        self.health = health
        self.stalls = []
        self.dark = set()
        self.refusing = set()
        self.pauses = {}

    def status(self, endpoint, timeout):
        self.queried.append(endpoint.address)
        if endpoint.address in self.refusing:
            raise ports.ConnectionRefused(endpoint.address)
        due = self.clock.now + timeout
        delay = self.delays.get(endpoint.address, ANSWER_SECONDS)
        answers_at = max(
            self.clock.now, self.pauses.get(endpoint.address, 0.0)
        )
        answers_at += delay
        for start, end in self.stalls:
            if self.clock.now <= start < answers_at:
                # The router wakes up first, and has not run for `end - start`.
                answers_at = end + delay
        is_late = answers_at > due or endpoint.address in self.dark
        wanted = due if is_late else answers_at
        self.clock.now = self._pass_stalls(wanted)
        if is_late and endpoint.address in self.pauses:
            raise ports.ProcessSilent(endpoint.address)
        if is_late:
            raise exceptions.PlatformUnavailable(endpoint.address)
        return ports.EngineStatus(orders=1, busy=False, holding=None)

    def _pass_stalls(self, until):
        for start, end in self.stalls:
            if self.clock.now <= start < until:
                self.health.begin_wait(start)
                self.health.end_wait(end)
                until = max(until, end)
        return until


class Scenario:
    """Engines `h`, `m` and `t` of a stream, spare `m2`, in virtual time."""

    def __init__(self):
        self.site = test_stalls.Scenario(
            build.held_endpoint('m2', 8, 16, 'a', address='m2:1', card='small')
        )
        self.view = self.site.view
        self.clock = self.view.clock = builders.Clock()
        self.view.lock = threading.RLock()
        self.engines = _Engines(self.clock, self.view.health)
        self.handler = self.site.handler
        self.handler.stop()
        self.handler.clock = self.clock
        self.handler.pool = slowload.InlinePool(self.clock)
        self.querier = enginestatus.make_status_querier(
            self.view, self.engines, builders.Metrics()
        )
        self.querier.stop()
        for name in ('pool', 'second_pool'):
            setattr(self.querier, name, slowload.InlinePool(self.clock))
        self.asked_again = []
        self.querier.reasker.pool = self
        self.querier.reasker.sleep = self._sleep
        self.querier.reasker.stopped.clear()
        self.querier.judge.engines_heard = self.handler.engines_heard
        self.handler.querier = self.querier
        self.attempt = self.site.attempt
        self.attempt.last_event_at = self.clock.now

    def submit(self, function, *arguments):
        """Keep what the reasker submits, see `ask_again`."""
        self.asked_again.append((function, arguments))

    def _sleep(self, seconds):
        self.clock.now += seconds

    def check(self):
        """Check the stream's stages."""
        self.clock.now += 0.1
        return self.handler._find_lost(self.attempt)

    def ask_again(self, times=1):
        """Run what the reasker has submitted, one after the other."""
        for _ in range(times):
            for function, arguments in self._taken():
                function(*arguments)

    def _taken(self):
        taken, self.asked_again = self.asked_again, []
        return taken

    def dead(self):
        """Return the engines that get no requests."""
        names = self.view.snapshot.endpoints
        return set(filter(self.view.estimates.is_dead, names))

    def told(self):
        """Return the engines that other routers are told to be lost."""
        now = self.clock.now
        return set(self.view.estimates.recently_dead(now, now + 1.0))


@pytest.fixture
def scenario():
    return Scenario()


@pytest.mark.parametrize('seconds', [0.15, 0.5, 2.0])
@pytest.mark.parametrize('offset', [0.0, 0.005, 0.009])
def test_stall_of_the_machine_loses_no_engine(scenario, seconds, offset):
    """Guards against a router that takes its own lateness for a loss."""
    # One engine has answered before the others and the router stand still.
    scenario.engines.delays['h:1'] = 0.002
    start = scenario.clock.now + 0.1 + offset
    scenario.engines.stalls.append((start, start + seconds))
    scenario.check()
    scenario.ask_again(3)
    assert not scenario.dead() and not scenario.told()


def test_single_silent_engine_is_judged_by_a_control(scenario):
    """Guards against a loss by one query of one engine when all are late."""
    scenario.attempt.stages = scenario.attempt.stages[:1]
    scenario.engines.dark.update(('h:1', 'm:1', 't:1', 'm2:1'))
    assert scenario.check() is None
    scenario.ask_again(5)
    assert not scenario.dead()
    scenario.engines.dark -= {'m:1', 't:1', 'm2:1'}
    scenario.ask_again(2)
    assert scenario.dead() == {'h'}


def test_dark_engine_is_lost_at_the_first_check(scenario):
    """Guards against a proof that delays the way round a lost engine."""
    scenario.engines.dark.add('m:1')
    assert scenario.check() == {'m'}
    assert scenario.dead() == scenario.told() == {'m'}


def test_dark_domain_is_found_though_its_chain_is_all_silent(scenario):
    """Guards against streams that wait for a failure domain that is gone."""
    scenario.engines.dark.update(('h:1', 'm:1', 't:1'))
    started = scenario.clock.now
    assert scenario.check() is None
    scenario.ask_again(2)
    assert scenario.dead() == {'h', 'm', 't'}
    assert scenario.clock.now - started < 1.0


def test_late_router_finds_a_dark_engine_in_the_end(scenario):
    """Guards against a router under load that keeps a dead engine."""
    scenario.engines.dark.add('m:1')
    now = scenario.clock.now
    scenario.engines.stalls = [
        (now + 0.3 * n, now + 0.3 * n + 0.2) for n in range(100)
    ]
    scenario.check()
    for _ in range(30):
        scenario.ask_again()
    assert scenario.dead() == {'m'}
    assert scenario.clock.now - now < 10.0


def test_engine_that_pauses_is_used_as_it_answers(scenario):
    """Guards against an engine left out for longer than its pause."""
    scenario.engines.dark.add('m:1')
    scenario.check()
    assert scenario.dead() == {'m'}
    scenario.engines.dark.clear()
    scenario.ask_again()
    assert not scenario.dead()
    limit = scenario.querier.judge.limit_seconds(0.035)
    assert 0.035 < limit <= losses.MAX_LIMIT_SECONDS


@pytest.mark.parametrize('seconds', [0.05, 0.1, 0.16, 0.24])
def test_process_that_stands_still_alone_is_not_lost(scenario, seconds):
    """Guards against sound engines lost on a busy machine."""
    scenario.engines.pauses['m:1'] = scenario.clock.now + 0.1 + seconds
    assert not scenario.check()
    scenario.clock.now += CHECK_SECONDS
    scenario.ask_again(3)
    assert not scenario.asked_again
    assert not scenario.dead() and not scenario.told()


def test_other_streams_wait_for_a_process_that_stands_still(scenario):
    """Guards against a loss found by a stream that asks no query itself."""
    scenario.engines.pauses['m:1'] = scenario.clock.now + 0.26
    assert not scenario.check()
    assert not scenario.check()
    scenario.clock.now += CHECK_SECONDS
    scenario.ask_again(3)
    assert not scenario.dead() and not scenario.told()


def test_process_that_stands_still_for_good_is_lost(scenario):
    """Guards against streams that wait for a hung process."""
    started = scenario.clock.now + 0.1
    scenario.engines.pauses['m:1'] = float('inf')
    assert not scenario.check()
    scenario.clock.now += CHECK_SECONDS
    scenario.ask_again(1)
    assert scenario.dead() == scenario.told() == {'m'}
    assert scenario.clock.now - started < 0.35


def test_silence_without_an_acknowledgement_is_lost_in_time(scenario):
    """Guards against a dark host that is found later than before."""
    started = scenario.clock.now + 0.1
    scenario.engines.dark.add('m:1')
    assert scenario.check() == {'m'}
    assert scenario.clock.now - started < 0.12


def test_host_that_goes_dark_after_an_acknowledgement_is_lost(scenario):
    """Guards against an acknowledgement that outlives its host."""
    started = scenario.clock.now + 0.1
    scenario.engines.pauses['m:1'] = float('inf')
    assert not scenario.check()
    scenario.clock.now += CHECK_SECONDS
    del scenario.engines.pauses['m:1']
    scenario.engines.dark.add('m:1')
    scenario.ask_again(1)
    assert scenario.dead() == {'m'}
    assert scenario.clock.now - started < 0.35


def test_refused_connection_is_a_loss_at_once(scenario):
    """Guards against a control that delays the plainest sign of an end."""
    scenario.engines.refusing.add('h:1')
    scenario.engines.dark.update(('m2:1',))
    scenario.attempt.stages = scenario.attempt.stages[:1]
    assert scenario.check() == {'h'}


def _report(scenario, router, *names):
    message = gossipmessages.Message(router, {}, list(names))
    with scenario.view.lock:
        found = scenario.view.estimates.merge_gossip(
            router, {}, message.unreachable, scenario.clock.now
        )
    scenario.querier.reasker.check_reports(found)


def _is_lost_for_the_plan(scenario, name):
    now = scenario.clock.now
    return scenario.view.estimates.is_lost(name, now + 0.5, 0.4, now)


def test_reported_engine_that_answers_is_used_again_at_once(scenario):
    """Guards against sound engines left out for 4 s on another's word."""
    reported_at = scenario.clock.now
    _report(scenario, 'r2', 'm')
    assert scenario.dead() == {'m'}
    assert not _is_lost_for_the_plan(scenario, 'm')
    scenario.ask_again()
    assert not scenario.dead()
    assert scenario.clock.now - reported_at < 0.1
    assert scenario.view.estimates.recently_recovered(scenario.clock.now)


def test_report_that_is_proven_counts_for_the_plan(scenario):
    """Guards against layers that stay lost until a second router sees it."""
    scenario.engines.dark.add('m:1')
    _report(scenario, 'r2', 'm')
    scenario.ask_again(3)
    assert scenario.dead() == {'m'} and not scenario.told()
    assert _is_lost_for_the_plan(scenario, 'm')


def test_two_reports_count_for_the_plan(scenario):
    """Guards against a planner that can't reach anything itself."""
    _report(scenario, 'r2', 'm')
    _report(scenario, 'r2', 'm')
    assert not _is_lost_for_the_plan(scenario, 'm')
    _report(scenario, 'r3', 'm')
    assert _is_lost_for_the_plan(scenario, 'm')


def test_own_finding_is_undone_by_others_once_in_a_while(scenario):
    """Guards against streams sent over and over to a link only others have."""
    scenario.engines.dark.add('m:1')
    scenario.check()
    now = scenario.clock.now
    table = scenario.view.estimates
    table.merge_recovered(['m'], now)
    assert scenario.dead() == set()
    table.note_lost('m', now + 0.2, now + 0.1)
    table.merge_recovered(['m'], now + 0.3)
    assert scenario.dead() == {'m'}
    assert table.dead_to_probe(['m'], now + 0.4) == []
    assert not table.is_lost('m', now + 0.9, 0.4, now + 0.5)
    assert table.is_lost('m', now + 1.1, 0.4, now + 0.5)


def test_engine_in_doubt_is_not_asked_by_each_stream(scenario):
    """Guards against queries that multiply where load is the cause."""
    scenario.attempt.stages = scenario.attempt.stages[:1]
    scenario.engines.dark.update(('h:1', 'm:1', 't:1', 'm2:1'))
    scenario.check()
    count = len(scenario.engines.queried)
    for _ in range(20):
        scenario.check()
    assert len(scenario.engines.queried) == count


def test_stream_is_not_moved_on_a_report_alone(scenario):
    """Guards against streams moved off an engine that answers here."""
    _report(scenario, 'r2', 'm')
    assert scenario.check() == set()
    assert not scenario.dead()


def test_stream_is_moved_off_a_reported_engine_that_is_silent(scenario):
    """Guards against a report that delays what this router finds itself."""
    scenario.engines.dark.add('m:1')
    _report(scenario, 'r2', 'm')
    assert scenario.check() == {'m'}


class _PausingEngines(builders.Engines):
    """Engines that are silent until they are in `back`."""

    def __init__(self):
        super().__init__()
        self.back = set()

    def status(self, endpoint, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if endpoint.id in self.back:
                return ports.EngineStatus(orders=1, busy=False, holding=None)
            time.sleep(0.005)
        raise exceptions.PlatformUnavailable(endpoint.id)


def test_a_check_after_a_pause_of_all_engines_takes_no_longer():
    """Guards against controls that take up the threads of second queries."""
    ends = [
        build.held_endpoint(f'x{n}', 0, 8, 'a', address=f'a{n}:1')
        for n in range(24)
    ]
    view = builders.make_view(ends)
    view.clock = time.monotonic
    engines = _PausingEngines()
    querier = enginestatus.make_status_querier(
        view, engines, builders.Metrics()
    )
    try:
        end = time.monotonic() + 2.0
        while time.monotonic() < end:
            for first in range(0, 24, 3):
                querier.check(ends[first : first + 3])
        engines.back.update(each.id for each in ends[:12])
        started = time.monotonic()
        replies = querier.check([ends[0], ends[1], ends[12]])
        assert time.monotonic() - started < 0.5
        assert replies['x12'] is not statusqueries.Reply.NOT_SENT
    finally:
        querier.stop()


def test_loss_behind_a_refusal_is_told_and_probed():
    """Guards against a loss that this router alone knows, for 4 s."""
    scenario = Scenario()
    view = scenario.view
    selector = selecting.make_selector(view)
    selector.on_reported = scenario.querier.reasker.check_reports
    scenario.engines.dark.add('m:1')
    now = scenario.clock.now
    attempt = types.SimpleNamespace(
        endpoint=view.snapshot.endpoints['h'],
        stages=(types.SimpleNamespace(address='m:1', endpoint='m'),),
        sent_at=now - 2.0,
        last_event_at=now - 2.0,
    )
    refusal = test_selecting._refusal(None)
    selector.record_refusal(attempt, 'm', refusal, now)
    for _ in range(3):
        if not view.estimates.get('m').proven:
            scenario.ask_again()
    assert view.estimates.get('m').proven
    assert scenario.told() == {'m'}
    later = scenario.clock.now + 1.0
    due = view.estimates.dead_to_probe(view.snapshot.endpoints, later)
    assert due == ['m']


@pytest.mark.parametrize('stall, is_many', [(0.0, False), (0.2, True)])
def test_many_engines_in_doubt_are_one_cause_while_answers_are_late(
    stall, is_many
):
    """Guards against losses told by a router whose machine is full."""
    scenario = Scenario()
    judge, now = scenario.querier.judge, scenario.clock.now
    scenario.view.health.begin_wait(now - stall)
    scenario.view.health.end_wait(now)
    for name in ('h', 'm', 't'):
        judge.note_silent(name, now)
    evidence = judge.evidence('m', now, usual=0.05)
    assert evidence.is_one_of_many == is_many
