"""Running calls of plain services, at most once unless idempotent."""

__all__ = ['ServiceCall', 'ServiceAnswer', 'ServiceRunner', 'make_runner']

import random
import time

from ibisring_backing import engines
from ibisring_backing import services
from ibisring_policy import admission
from ibisring_policy import dispatch
from ibisring_policy import retries
from ibisring_records import exceptions
from ibisring_router import attempterrors
from ibisring_router import engineclient
from ibisring_web import calls
import msgspec

CALL_COST = 1.0
CALL_PATH = '/call'


class ServiceCall(msgspec.Struct):
    """A call; `deadline` is in seconds of the router's monotonic clock."""

    id: str
    account: str
    target: admission.Target
    rank: int
    weight: float
    deadline: float
    idempotent: bool
    body: msgspec.Raw


class ServiceAnswer(msgspec.Struct, tag='service'):
    """The complete answer of the service."""

    body: msgspec.Raw
    attempts: int


class ServiceRunner:
    """Runs service calls.

    Parameters
    ----------
    placement : dispatching.Placement
    caller : calls.Caller
    metrics : metrics.Metrics
    timeout : float
        Seconds to wait for the answer of one attempt.
    clock, sleep : callable
    rng : random.Random
    """

    def __init__(self, placement, caller, metrics, timeout, clock, sleep, rng):
        self.placement = placement
        self.caller = caller
        self.metrics = metrics
        self.timeout = timeout
        self.clock = clock
        self.sleep = sleep
        self.rng = rng
        self.budget = retries.make_budget()

    def run(self, request, is_gone):
        """Run a call and return its answer.

        Parameters
        ----------
        request : ServiceCall
        is_gone : callable

        Returns
        -------
        ServiceAnswer

        Raises
        ------
        IbisringError
            Its outcome states whether the call ran, or that this is unknown.
        """
        self.budget.earn()
        avoid = set()
        may_have_run = False
        attempt = 0
        while True:
            attempt += 1
            endpoint = self._place(
                request, attempt, avoid, may_have_run, is_gone
            )
            try:
                body = self._attempt(request, attempt, endpoint)
                return ServiceAnswer(body, attempt)
            except attempterrors.AttemptFailed as failed:
                may_have_run = (
                    may_have_run
                    or failed.failure not in retries.NOT_RUN_FAILURES
                )
                avoid.add(endpoint.name)
                self._handle_failure(request, attempt, may_have_run, failed)

    def _place(self, request, attempt, avoid, may_have_run, is_gone):
        ticket = admission.Ticket(
            id=f'{request.id}/{attempt}',
            account=request.account,
            rank=request.rank,
            target=request.target,
            cost=CALL_COST,
            deadline=request.deadline,
            arrived=self.clock(),
            weight=request.weight,
            avoid=frozenset(avoid),
        )
        try:
            return self.placement.place(ticket, is_gone).endpoints[0]
        except exceptions.IbisringError as error:
            if may_have_run:
                raise attempterrors.uncertain_error(
                    request.idempotent, error.detail
                ) from error
            raise

    def _attempt(self, request, attempt, endpoint):
        started = self.clock()
        report = dispatch.AttemptReport(f'{request.id}/{attempt}', tokens=1)
        report.failed_endpoint = endpoint.name
        report.failure = retries.Failure.CUT
        try:
            body = self._send(request, attempt, endpoint)
            report.failure = None
            return body
        except attempterrors.AttemptFailed as failed:
            report.failure = failed.failure
            failed.failed_endpoint = endpoint.name
            raise
        finally:
            report.seconds = self.clock() - started
            self.placement.finish(report)

    def _send(self, request, attempt, endpoint):
        seconds_left = max(0.001, request.deadline - self.clock())
        address = endpoint.spec.address
        try:
            # A new connection: if a kept-alive one is closed on reuse, it is
            # unknown whether the call ran.
            response = self.caller.open(
                'POST',
                address,
                CALL_PATH,
                request.body,
                headers={
                    services.REQUEST_HEADER: request.id,
                    services.ATTEMPT_HEADER: str(attempt),
                },
                fresh=True,
                read_timeout=min(seconds_left, self.timeout),
                answer_seconds=seconds_left,
            )
            data = calls.read_all(response, address)
        except calls.NotSent as error:
            raise attempterrors.AttemptFailed(
                retries.Failure.NOT_SENT, str(error)
            ) from error
        except calls.AnswerLost as error:
            raise attempterrors.from_answer_lost(error) from error
        self._observe(endpoint, response)
        if response.status >= 300:
            raise _failure_of_response(data, response.status)
        return msgspec.Raw(data)

    def _observe(self, endpoint, response):
        load = engineclient.parse_load(
            response.headers.get(engines.LOAD_HEADER)
        )
        if load is not None:
            self.placement.observe(endpoint.name, load)

    def _handle_failure(self, request, attempt, may_have_run, failed):
        """Wait before another attempt, or raise the final error."""
        self.metrics.count(f'attempts.failed.{failed.failure}')
        situation = retries.Situation(
            failed.failure,
            request.idempotent,
            may_have_run,
            False,
            attempt,
            0,
            self.clock(),
            request.deadline,
        )
        action = retries.decide(situation, self.budget)
        if action is retries.Action.NEW_ATTEMPT:
            seconds_left = max(0.0, request.deadline - self.clock())
            self.sleep(min(seconds_left, retries.backoff(attempt, self.rng)))
            return
        raise attempterrors.final_error(
            request.idempotent, may_have_run, failed
        )


def _failure_of_response(data, status):
    error = calls.decode_error(data, status)
    if error.outcome is exceptions.Outcome.NOT_RUN:
        failure = retries.Failure.REFUSED
    else:
        failure = retries.Failure.FAILED
    return attempterrors.AttemptFailed(failure, error.detail)


def make_runner(
    placement,
    caller,
    metrics,
    timeout,
    clock=time.monotonic,
    sleep=time.sleep,
):
    """Make a runner of service calls."""
    return ServiceRunner(
        placement, caller, metrics, timeout, clock, sleep, random.Random()
    )
