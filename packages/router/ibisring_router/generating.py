"""Running model requests: attempts, resumption and retries."""

__all__ = ['GenerationRequest', 'Completed', 'GenerationRunner', 'make_runner']

import math
import random
import time

from ibisring_backing import engines
from ibisring_policy import admission
from ibisring_policy import dispatch
from ibisring_policy import plans
from ibisring_policy import retries
from ibisring_policy import streams
from ibisring_records import exceptions
from ibisring_router import attempterrors
import msgspec

PROMPT_WORD_COST = 0.1


class GenerationRequest(msgspec.Struct):
    """A model request.

    `deadline` and `wanted_by`, the time that its objective asks for, are in
    seconds of the router's monotonic clock.
    """

    id: str
    account: str
    target: admission.Target
    layers: int
    rank: int
    weight: float
    deadline: float
    idempotent: bool
    prompt: str
    max_tokens: int
    wanted_by: float = math.inf


class Completed(msgspec.Struct, tag='completed'):
    """The end of a complete answer."""

    reason: str
    prompt_tokens: int
    tokens: int
    attempts: int


class _Progress:
    """State of a request over its attempts."""

    def __init__(self, request):
        self.request = request
        self.assembler = streams.make_assembler(request.id)
        self.attempts = 0
        self.resumes = 0
        self.delivered_at_start = 0
        self.may_have_run = False
        self.avoid = set()
        self.order = None
        self.previous_stages = []
        self.expected_token_seconds = math.inf

    def is_delivering(self):
        """Return whether the current attempt has delivered a token."""
        return len(self.assembler.tokens) > self.delivered_at_start


class GenerationRunner:
    """Runs model requests; one runner serves all request threads.

    Parameters
    ----------
    placement : dispatching.Placement
    client : engineclient.EngineClient
    metrics : metrics.Metrics
    clock, sleep : callable
    rng : random.Random

    Attributes
    ----------
    max_attempts : int
        With 1, an attempt is neither resumed nor retried.
    """

    def __init__(self, placement, client, metrics, clock, sleep, rng):
        self.placement = placement
        self.client = client
        self.metrics = metrics
        self.clock = clock
        self.sleep = sleep
        self.rng = rng
        self.max_attempts = retries.MAX_ATTEMPTS
        self.budget = retries.make_budget()

    def run(self, request, is_gone):
        """Yield an answer's tokens, then a `Completed`.

        Parameters
        ----------
        request : GenerationRequest
        is_gone : callable

        Yields
        ------
        str or Completed

        Raises
        ------
        IbisringError
            Its outcome states whether the request ran, or that this is
            unknown.  If tokens were yielded before, the answer is incomplete
            and must be reported as such.
        """
        progress = _Progress(request)
        self.budget.earn()
        while True:
            grant = self._place(progress, is_gone)
            self._begin(progress, grant)
            try:
                finish = yield from self._attempt(progress)
            except attempterrors.AttemptFailed as failed:
                self._handle_failure(progress, failed)
                continue
            yield Completed(
                finish.reason,
                finish.prompt_tokens,
                len(progress.assembler.tokens),
                progress.attempts,
            )
            return

    def _place(self, progress, is_gone):
        request = progress.request
        remaining = request.max_tokens - len(progress.assembler.tokens)
        words = request.prompt.count(' ') + 1
        ticket = admission.Ticket(
            id=f'{request.id}/{progress.attempts + 1}',
            account=request.account,
            rank=request.rank,
            target=request.target,
            cost=remaining + PROMPT_WORD_COST * words,
            deadline=request.deadline,
            wanted_by=request.wanted_by,
            arrived=self.clock(),
            weight=request.weight,
            avoid=frozenset(progress.avoid),
        )
        try:
            return self.placement.place(ticket, is_gone)
        except exceptions.IbisringError as error:
            if progress.may_have_run:
                raise attempterrors.uncertain_error(
                    request.idempotent, error.detail
                ) from error
            raise

    def _begin(self, progress, grant):
        request = progress.request
        progress.attempts += 1
        progress.assembler.begin_attempt(progress.attempts)
        progress.resumes = 0
        progress.delivered_at_start = len(progress.assembler.tokens)
        stages = [
            engines.Stage(
                endpoint.name,
                endpoint.spec.address,
                endpoint.spec.first_layer,
                endpoint.spec.last_layer,
            )
            for endpoint in grant.endpoints
        ]
        plans.check_chain(stages, request.layers)
        progress.order = engines.GenerateOrder(
            request.id,
            progress.attempts,
            request.target.model,
            request.target.version,
            request.target.adapter,
            request.layers,
            stages,
            request.prompt,
            request.max_tokens,
            list(progress.assembler.tokens),
            request.rank,
            self._cache_sources(progress, stages),
        )
        progress.previous_stages = stages
        progress.expected_token_seconds = grant.token_seconds

    def _cache_sources(self, progress, stages):
        """Map new stages to addresses to copy a KV cache from.

        A stage that replaces another may copy its cache, if the replaced
        one is still reachable: its connection was lost or it was slow.
        """
        held = {
            (old.first_layer, old.last_layer): old
            for old in progress.previous_stages
        }
        sources = {}
        for stage in stages:
            old = held.get((stage.first_layer, stage.last_layer))
            if old is not None and old.endpoint != stage.endpoint:
                sources[stage.endpoint] = old.address
        return sources

    def _attempt(self, progress):
        """Yield the tokens of one attempt and report its result.

        The report frees its endpoints.  It is sent also if the caller
        disconnects, which closes this generator with `GeneratorExit`.
        """
        started = self.clock()
        before = len(progress.assembler.tokens)
        report = dispatch.AttemptReport(
            f'{progress.request.id}/{progress.attempts}'
        )
        report.failure = retries.Failure.GONE
        try:
            finish = yield from self._attempt_with_resumes(progress)
            report.failure = None
            return finish
        except attempterrors.AttemptFailed as failed:
            report.failure = failed.failure
            report.failed_endpoint = failed.failed_endpoint
            raise
        finally:
            report.seconds = self.clock() - started
            report.tokens = len(progress.assembler.tokens) - before
            self.placement.finish(report)
            if report.failure is not None:
                self._cancel(progress)

    def _cancel(self, progress):
        self.metrics.count('attempts.cancelled')
        self.client.cancel(progress.order)

    def _attempt_with_resumes(self, progress):
        source = self.client.generate(progress.order, self.placement.observe)
        while True:
            try:
                return (yield from self._read_events(progress, source))
            except attempterrors.AttemptFailed as failed:
                failed.failed_endpoint = self._failed_endpoint(
                    progress, failed
                )
                failed.action = self._choose_action(progress, failed.failure)
                if failed.action is not retries.Action.RESUME:
                    raise
            progress.resumes += 1
            self.metrics.count('attempts.resumed')
            source = self.client.resume(
                progress.order, len(progress.assembler.tokens)
            )

    def _failed_endpoint(self, progress, failed):
        return failed.failed_endpoint or progress.order.stages[0].endpoint

    def _read_events(self, progress, source):
        """Yield accepted tokens; return the finish event."""
        assembler = progress.assembler
        started, first = None, len(assembler.tokens)
        for event in source:
            progress.may_have_run = True
            if isinstance(event, engines.TokenEvent):
                verdict = assembler.token(event)
                if verdict is streams.Verdict.DELIVER:
                    yield event.text
                    if started is None:
                        started = self.clock()
                    self._check_token_seconds(progress, started, first)
            elif isinstance(event, engines.FinishEvent):
                verdict = assembler.finish(event)
                if verdict is streams.Verdict.FINISH:
                    self.metrics.count('events.dropped', assembler.dropped)
                    return event
            elif assembler.failure(event):
                raise self._failure_of_event(event)
            else:
                verdict = streams.Verdict.DROP
            if verdict is streams.Verdict.GAP:
                raise attempterrors.AttemptFailed(
                    retries.Failure.CUT, 'token positions are missing'
                )
        raise attempterrors.AttemptFailed(
            retries.Failure.CUT, 'the stream ended without a finish event'
        )

    def _check_token_seconds(self, progress, started, first):
        """Fail the attempt if its chain is far slower than expected.

        A stage that slows down without failing would otherwise delay the
        answer by minutes.

        Raises
        ------
        AttemptFailed
        """
        request = progress.request
        tokens = len(progress.assembler.tokens)
        if not request.idempotent or tokens >= request.max_tokens:
            return
        if progress.attempts >= self.max_attempts:
            return
        seconds = self.clock() - started
        if retries.is_slow(
            seconds, tokens - first - 1, progress.expected_token_seconds
        ):
            raise attempterrors.AttemptFailed(
                retries.Failure.SLOW, 'the chain is much slower than expected'
            )

    def _failure_of_event(self, event):
        failure = retries.Failure.FAILED
        if event.code == engines.STAGE_LOST:
            failure = retries.Failure.STAGE_LOST
        return attempterrors.AttemptFailed(
            failure, event.detail, event.endpoint
        )

    def _choose_action(self, progress, failure):
        if failure not in retries.NOT_RUN_FAILURES:
            progress.may_have_run = True
        elif progress.resumes and failure is retries.Failure.NOT_SENT:
            # Only the resumption was not sent; the attempt itself was.
            failure = retries.Failure.CUT
        situation = retries.Situation(
            failure,
            progress.request.idempotent,
            progress.may_have_run,
            True,
            progress.attempts,
            progress.resumes,
            self.clock(),
            progress.request.deadline,
            self.max_attempts,
            progress.is_delivering(),
        )
        return retries.decide(situation, self.budget)

    def _handle_failure(self, progress, failed):
        """Wait before a new attempt, or raise the request's final error."""
        self.metrics.count(f'attempts.failed.{failed.failure}')
        if failed.failure is not retries.Failure.SLOW:
            progress.avoid.add(failed.failed_endpoint)
        if failed.action is not retries.Action.NEW_ATTEMPT:
            raise attempterrors.final_error(
                progress.request.idempotent, progress.may_have_run, failed
            )
        delay = retries.backoff(progress.attempts, self.rng)
        self.sleep(min(delay, max(0.0, self._seconds_left(progress))))

    def _seconds_left(self, progress):
        return progress.request.deadline - self.clock()


def make_runner(
    placement, client, metrics, clock=time.monotonic, sleep=time.sleep
):
    """Make a runner of model requests."""
    return GenerationRunner(
        placement, client, metrics, clock, sleep, random.Random()
    )
