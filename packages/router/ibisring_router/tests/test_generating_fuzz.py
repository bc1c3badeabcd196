"""Stateful fuzzing of model requests against a simple oracle.

Runner, dispatcher and stage engines are real.  The channel between them is
a fake that drops, repeats, misdirects, delays and swaps events, and loses
connections.  A long run: ``IBISRING_FUZZ_EXAMPLES=5000 pytest -k fuzz``.
"""

import collections
import os

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from ibisring_policy import retries
from ibisring_policy import streams
from ibisring_records import exceptions
from ibisring_router import generating
from ibisring_router.tests import builders
from ibisring_router.tests import fakes
from ibisring_standins import engine

EXAMPLES = int(os.environ.get('IBISRING_FUZZ_EXAMPLES', '150'))
# A run with a broken guard ends with the first example that detects it.
GUARD_EXAMPLES = 8 * EXAMPLES
DERANDOMIZE = 'IBISRING_FUZZ_EXAMPLES' not in os.environ
STEPS = 40
TOTALS = collections.Counter()


class Live:
    """A running request, and the tokens that its caller received."""

    def __init__(self, request, source):
        self.request = request
        self.source = source
        self.seen = []


class GenerationMachine(stateful.RuleBasedStateMachine):
    """Starts, advances and abandons requests while faults come."""

    def __init__(self):
        super().__init__()
        self.bench = fakes.Bench(builders.many_endpoints(6))
        self.clock = self.bench.clock
        self.dispatcher = self.bench.dispatcher
        self.engines = self.bench.engines
        self.channel = self.bench.channel
        self.runner = self.bench.runner
        self.live = {}
        self.once_only = set()
        self.started = 0

    @stateful.rule(
        tokens=strategies.integers(1, 12), idempotent=strategies.booleans()
    )
    def start(self, tokens, idempotent):
        self.started += 1
        request = builders.generation(
            f'r{self.started}',
            prompt=f'receta {self.started}',
            max_tokens=tokens,
            idempotent=idempotent,
            deadline=self.clock() + 60.0,
        )
        source = self.runner.run(request, lambda: False)
        self.live[request.id] = Live(request, source)
        if not idempotent:
            self.once_only.add(request.id)
        TOTALS['requests'] += 1

    def pick(self, data):
        return data.draw(strategies.sampled_from(sorted(self.live)))

    @stateful.precondition(lambda self: self.live)
    @stateful.rule(data=strategies.data(), parts=strategies.integers(1, 12))
    def advance(self, data, parts):
        live = self.live[self.pick(data)]
        for _ in range(parts):
            if self.advance_once(live):
                return

    def advance_once(self, live):
        """Take one part; True if the request is over."""
        TOTALS['parts'] += 1
        try:
            part = next(live.source, None)
        except exceptions.IbisringError as error:
            self.check_error(live, error)
            del self.live[live.request.id]
            return True
        assert part is not None, 'ended without a word'
        if isinstance(part, generating.Completed):
            assert live.seen == self.expected(live)
            del self.live[live.request.id]
            TOTALS['completed'] += 1
            return True
        live.seen.append(part)
        return False

    @stateful.precondition(lambda self: self.live)
    @stateful.rule(data=strategies.data())
    def caller_leaves(self, data):
        live = self.live.pop(self.pick(data))
        live.source.close()
        TOTALS['abandoned'] += 1
        if live.seen:
            own = [k for k in self.channel.attempts if k[0] == live.request.id]
            assert max(own) in self.channel.cancelled

    @stateful.rule(
        faults=strategies.lists(
            strategies.none() | strategies.sampled_from(fakes.Fault),
            max_size=10,
        )
    )
    def channel_misbehaves(self, faults):
        self.channel.faults.extend(faults)

    @stateful.precondition(lambda self: len(self.live) > 1)
    @stateful.rule(data=strategies.data())
    def another_requests_events_cross_over(self, data):
        live = self.live[self.pick(data)]
        for _ in range(2):
            self.channel.faults.appendleft(fakes.Fault.CROSS)
            if self.advance_once(live):
                return

    @stateful.precondition(lambda self: len(self.channel.dead) < 2)
    @stateful.rule(data=strategies.data())
    def stage_dies(self, data):
        alive = sorted(set(self.engines) - self.channel.dead)
        self.channel.dead.add(data.draw(strategies.sampled_from(alive)))
        TOTALS['deaths'] += 1

    @stateful.precondition(lambda self: self.live and not self.channel.dead)
    @stateful.rule(data=strategies.data(), stage=strategies.integers(0, 2))
    def stage_dies_under_a_request(self, data, stage):
        """One of the engines that are working on an answer dies."""
        live = self.live[self.pick(data)]
        if self.advance_once(live):
            return
        self.channel.dead.add(self.chain_of(live.request)[stage])
        TOTALS['deaths'] += 1
        self.advance_once(live)

    def chain_of(self, request):
        """Give the names of the endpoints that work on a request."""
        (names,) = (
            running.names
            for running in self.dispatcher.running.values()
            if running.ticket.id.startswith(f'{request.id}/')
        )
        return names

    @stateful.rule()
    def stages_return(self):
        self.channel.dead.clear()

    @stateful.rule(seconds=strategies.floats(0.0, 5.0))
    def time_passes(self, seconds):
        self.clock.sleep(seconds)

    # The oracle

    def expected(self, live):
        request = live.request
        return engine.expected_tokens(
            request.prompt, request.layers, request.max_tokens
        )

    def runs(self, request_id=None):
        for stage in self.engines.values():
            for run in stage.ledger:
                if request_id in (None, run.request):
                    yield run

    def check_error(self, live, error):
        TOTALS[f'error.{error.outcome}'] += 1
        if error.outcome is exceptions.Outcome.NOT_RUN:
            assert not list(self.runs(live.request.id))
            assert not live.seen

    @stateful.invariant()
    def callers_see_a_prefix_of_the_right_answer(self):
        for live in self.live.values():
            assert live.seen == self.expected(live)[: len(live.seen)]

    @stateful.invariant()
    def every_layer_runs_at_most_once_for_each_token_of_an_attempt(self):
        seen = collections.Counter(
            (run.request, run.attempt, run.position, layer)
            for run in self.runs()
            for layer in range(run.first_layer, run.last_layer + 1)
        )
        assert not [key for key, times in seen.items() if times > 1]

    @stateful.invariant()
    def requests_that_are_not_idempotent_have_one_attempt_that_ran(self):
        attempts = collections.defaultdict(set)
        for run in self.runs():
            if run.request in self.once_only:
                attempts[run.request].add(run.attempt)
        assert all(len(numbers) == 1 for numbers in attempts.values())

    def teardown(self):
        """Let every request end: none may hang or hold its endpoints."""
        self.channel.faults.clear()
        for live in list(self.live.values()):
            while not self.advance_once(live):
                continue
        assert not self.dispatcher.running
        assert not self.dispatcher.waiting()
        TOTALS['faults'] += sum(self.channel.applied.values())


def run_machine(examples, phases=tuple(Phase)):
    stateful.run_state_machine_as_test(
        GenerationMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=DERANDOMIZE,
            phases=phases,
            database=None,
            report_multiple_bugs=False,
        ),
    )


def test_fuzz_model_requests():
    run_machine(EXAMPLES)
    assert TOTALS['faults'] > EXAMPLES
    assert TOTALS['completed'] > EXAMPLES
    print(dict(TOTALS))


# Each of these breaks one guard; the oracle must detect every one.


def accept_events_of_other_attempts(monkeypatch):
    monkeypatch.setattr(
        streams.Assembler,
        '_is_current',
        lambda self, event: not self.finished,
    )


def accept_tokens_at_any_position(monkeypatch):
    def token(self, event):
        if not self._is_current(event):
            return streams.Verdict.DROP
        self.tokens.append(event.text)
        return streams.Verdict.DELIVER

    monkeypatch.setattr(streams.Assembler, 'token', token)


def accept_early_finish_events(monkeypatch):
    def finish(self, event):
        self.finished = True
        return streams.Verdict.FINISH

    monkeypatch.setattr(streams.Assembler, 'finish', finish)


def retry_requests_that_are_not_idempotent(monkeypatch):
    decide = retries.decide

    def decide_as_if_idempotent(situation, budget):
        situation.idempotent = True
        return decide(situation, budget)

    monkeypatch.setattr(retries, 'decide', decide_as_if_idempotent)


def always_report_not_run(monkeypatch):
    monkeypatch.setattr(
        retries,
        'outcome_of',
        lambda failure, began: exceptions.Outcome.NOT_RUN,
    )


def omit_the_first_delivered_token(monkeypatch):
    begin = generating.GenerationRunner._begin

    def begin_without_first_token(self, progress, grant):
        begin(self, progress, grant)
        del progress.order.delivered[:1]

    monkeypatch.setattr(
        generating.GenerationRunner, '_begin', begin_without_first_token
    )


def never_free_endpoints(monkeypatch):
    monkeypatch.setattr(
        fakes.DirectPlacement, 'finish', lambda self, report: None
    )


def never_cancel(monkeypatch):
    monkeypatch.setattr(
        fakes.FaultyEngines, 'cancel', lambda self, order: None
    )


def stages_accept_any_position(monkeypatch):
    def step(self, step):
        self.ledger.append(self._entry(step))
        return engine.run_layers(step.state, step.first_layer, step.last_layer)

    def rerun(order, transport, is_cancelled):
        for event in real_run(order, transport, is_cancelled):
            if event.position == len(order.delivered):
                rerun_first_position(order, transport)
            yield event

    def rerun_first_position(order, transport):
        stage = order.stages[0]
        transport.step(
            stage,
            engine.Step(
                order.request,
                order.attempt,
                len(order.delivered),
                stage.first_layer,
                stage.last_layer,
                0,
            ),
        )

    real_run = fakes.firststage.generate
    monkeypatch.setattr(fakes.firststage, 'generate', rerun)
    monkeypatch.setattr(engine.StageEngine, 'step', step)


GUARDS = [
    accept_events_of_other_attempts,
    accept_tokens_at_any_position,
    accept_early_finish_events,
    retry_requests_that_are_not_idempotent,
    always_report_not_run,
    omit_the_first_delivered_token,
    never_free_endpoints,
    never_cancel,
    stages_accept_any_position,
]


@pytest.mark.parametrize('break_guard', GUARDS)
def test_oracle_detects_a_broken_guard(break_guard, monkeypatch):
    break_guard(monkeypatch)
    with pytest.raises(AssertionError):
        run_machine(GUARD_EXAMPLES, (Phase.generate,))
