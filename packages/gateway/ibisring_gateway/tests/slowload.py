"""A service whose engines become slower under load, in virtual time.

The selector, the stall handler, the status queries and the retry budget are
those of the gateway; engines, callers and thread pools are simulated.
"""

__all__ = ['Fleet', 'InlinePool', 'Outcome']

import concurrent.futures
import heapq
import itertools
import random
import threading
import types

from ibisring_gateway import enginestatus
from ibisring_gateway import reasking
from ibisring_gateway import selecting
from ibisring_gateway import stalls
from ibisring_gateway import successors
from ibisring_gateway.tests import builders
from ibisring_gateway.tests import jobbuilders
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import retrybudget
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions
from ibisring_records import routing

CHAINS = 4
SLOTS = 12
PROMPT_TOKENS = 1000
EVENTS = 20
# Seconds of an unloaded chain: to the first event, between events, and of an
# engine to answer a status query.
FIRST_SECONDS = 0.08
GAP_SECONDS = 0.025
STATUS_SECONDS = 0.01
# Deviation of the logarithm of each time.
NOISE = 0.25
LEAVE_SECONDS = 2.0
CHECKS_SECONDS = 0.25


class Outcome:
    """What became of the requests of a run.

    Attributes
    ----------
    requests, sent, completed : int
        Requests that came, that got a chain, and that ended whole.
    moved : int
        Attempts ended for another one, which reads the prompt again.
    left : int
        Callers that left for want of an event.
    found_at : float or None
        When the dead engine was found, with the time of the queries.
    slow_lost : set of str
        Running engines that were taken for lost.
    """

    def __init__(self):
        self.requests = 0
        self.sent = 0
        self.completed = 0
        self.moved = 0
        self.left = 0
        self.slow_lost = set()
        self.found_at = None


class InlinePool:
    """Runs what is submitted at once, beside the caller in virtual time."""

    def __init__(self, clock):
        self.clock = clock
        self.submitted = 0

    def submit(self, function, *arguments):
        self.submitted += 1
        future = concurrent.futures.Future()
        now = self.clock.now
        future.set_result(function(*arguments))
        self.clock.now = now
        return future

    def shutdown(self, **options):
        """Do nothing; there are no threads."""


class _EventPool:
    """Runs what is submitted as an event of its own."""

    def __init__(self, fleet):
        self.fleet = fleet

    def submit(self, function, *arguments):
        fleet = self.fleet
        fleet.at(fleet.clock.now, self._run, function, *arguments)

    def _run(self, function, *arguments):
        self.fleet.is_asking_again = True
        function(*arguments)


class _Engines(builders.Engines):
    """Engines whose answers to status queries take longer under load."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet = fleet

    def status(self, endpoint, timeout):
        seconds = STATUS_SECONDS * self.fleet.slowdown(endpoint.id)
        seconds *= self.fleet.noise()
        is_dead = endpoint.id in self.fleet.dead
        if is_dead and not self.fleet.is_asking_again:
            self.fleet.note_dead_query(timeout)
        self.fleet.clock.now += timeout if is_dead else min(seconds, timeout)
        if is_dead or seconds > timeout:
            raise exceptions.PlatformUnavailable(endpoint.id)
        return super().status(endpoint, timeout)


class _Stream:
    """A request of a caller."""

    def __init__(self, job):
        self.job = job
        self.attempt = None
        self.events = 0
        self.last_event_at = 0.0


class Fleet:
    """One router before chains of two engines each.

    Parameters
    ----------
    factor : float
        Slowdown of an engine whose slots are all taken.
    seed : int
    is_adaptive : bool

    Attributes
    ----------
    dead : set of str
        Engines that answer nothing.
    hung : set of str
        Engines that answer status queries and pass nothing on.
    """

    def __init__(self, factor, seed=1, is_adaptive=True):
        self.factor = factor
        self.rng = random.Random(seed)
        self.clock = builders.Clock()
        self.queue = []
        self.numbers = itertools.count()
        self.dead = set()
        self.hung = set()
        self.dead_timeouts = []
        self.is_asking_again = False
        self.is_new_check = False
        self.running = {f'h{n}': 0 for n in range(CHAINS)}
        self.waiting = {name: [] for name in self.running}
        self.outcome = Outcome()
        self.attempts = []
        self._make_gateway(is_adaptive)

    def _make_gateway(self, is_adaptive):
        endpoints = []
        for n in range(CHAINS):
            for name, first, end in ((f'h{n}', 0, 40), (f't{n}', 40, 80)):
                endpoints.append(
                    build.held_endpoint(
                        name, first, end, address=f'{name}:1', card='mid'
                    )
                )
        model = build.model(slots=SLOTS, layer_mb=300.0, prefill_rate=160000.0)
        table = routing.RoutingTable(
            version=1,
            routes=(build.route(),),
            services=(routing.Service('model', 1000, model),),
        )
        self.view = builders.make_view(endpoints, table)
        self.view.clock = self.clock
        # Queries are submitted under the lock, and run at once here.
        self.view.lock = threading.RLock()
        self.selector = selecting.make_selector(self.view)
        self.selector.rng.seed(self.rng.random())
        self.selector.event_times.is_adaptive = is_adaptive
        self.budget = retrybudget.make_retry_budget(10.0, 0.16, 10.0)
        self.budget.is_damped = is_adaptive
        self.handler = stalls.make_stall_handler(
            self.view,
            _Engines(self),
            self.selector,
            types.SimpleNamespace(attempts=lambda: list(self.attempts)),
            builders.Metrics(),
        )
        self.handler.successors = jobbuilders.make_successors(
            self.view, self.selector, self.budget
        )
        self.handler.stop()
        self.handler.pool = InlinePool(self.clock)
        self.handler.querier.pool = InlinePool(self.clock)
        self.handler.querier.second_pool = InlinePool(self.clock)
        self.handler.querier.reasker = reasking.make_reasker(
            self.view, self.handler.querier, self.handler.querier.judge
        )
        self.handler.querier.reasker.pool = _EventPool(self)
        self.handler.querier.reasker.sleep = self._sleep
        self.handler.querier.rng.seed(1)

    def noise(self):
        """Return a random factor of a time."""
        return self.rng.lognormvariate(0.0, NOISE)

    def slowdown(self, name):
        """Return the slowdown of an engine at its present load."""
        load = min(1.0, self.running['h' + name[1:]] / SLOTS)
        return 1.0 + (self.factor - 1.0) * load

    @property
    def capacity(self):
        """Streams per second that the slots allow at the slowest speed."""
        seconds = self.factor * (FIRST_SECONDS + GAP_SECONDS * EVENTS)
        return CHAINS * SLOTS / seconds

    def _sleep(self, seconds):
        self.clock.now += seconds

    def at(self, when, function, *arguments):
        """Call a function at a virtual time."""
        entry = when, next(self.numbers), function, arguments
        heapq.heappush(self.queue, entry)

    def run(self, load, seconds, dead=None, dead_at=0.0):
        """Run requests at a multiple of the capacity.

        Parameters
        ----------
        load : float
        seconds : float
        dead : str or None
            Engine that dies.
        dead_at : float
            Seconds after the start.

        Returns
        -------
        Outcome
        """
        start = now = self.clock.now
        while now < start + seconds:
            now += self.rng.expovariate(load * self.capacity)
            self.at(now, self._arrive)
        for n in range(int(seconds / CHECKS_SECONDS)):
            self.at(start + n * CHECKS_SECONDS, self.handler.run_checks)
        if dead:
            self.at(start + dead_at, self.dead.add, dead)
        while self.queue and self.clock.now < start + seconds:
            self.clock.now, _, function, arguments = heapq.heappop(self.queue)
            self.is_asking_again = False
            function(*arguments)
            self._note_dead(dead)
        return self.outcome

    def _note_dead(self, dead):
        is_dead = self.view.estimates.is_dead
        if dead in self.dead and self.outcome.found_at is None:
            if is_dead(dead):
                seconds = self._query_seconds()
                self.outcome.found_at = self.clock.now + seconds
        names = set(self.view.snapshot.endpoints) - {dead}
        self.outcome.slow_lost.update(filter(is_dead, names))

    def note_dead_query(self, timeout):
        """Note a query of the dead engine in the present check.

        Those of an earlier check stay if this one shares them.
        """
        if self.is_new_check:
            self.dead_timeouts.clear()
            self.is_new_check = False
        self.dead_timeouts.append(timeout)

    def _query_seconds(self):
        """Return how long the last queries of the dead engine took.

        The clock counts those itself that are asked again.
        """
        if self.is_asking_again:
            return 0.0
        if len(self.dead_timeouts) == 1:
            return self.dead_timeouts[0]
        first, second = self.dead_timeouts
        timeout = first - enginestatus.MAX_EXTRA_SECONDS
        return timeout * enginestatus.SECOND_START_SHARE + second

    def _arrive(self):
        now = self.clock.now
        job = jobbuilders.make_job(
            service=self.view.snapshot.index.services['model'],
            seconds=30.0,
            now=now,
            most_endpoints=4,
            request={
                'prompt_tokens': PROMPT_TOKENS,
                'answer_tokens': 100,
                'answer_hint': 20,
            },
        )
        self.outcome.requests += 1
        self.budget.count_request(now)
        stream = _Stream(job)
        stream.last_event_at = now
        if self._send(stream):
            self.outcome.sent += 1
            self.at(now + LEAVE_SECONDS, self._leave, stream)

    def _send(self, stream):
        now = self.clock.now
        choice = self.selector.choose(stream.job, now)
        if choice is None:
            stream.attempt = None
            return False
        attempt = successors.attempt_for(stream.job, choice)
        attempt.rank = None
        self.selector.reserve(attempt)
        self._begin(stream, attempt)
        return True

    def _begin(self, stream, attempt):
        """Send an attempt that is counted in the load of its endpoints."""
        now = self.clock.now
        progress = stream.job.progress
        progress.tries += 1
        progress.sent_to += 1
        attempt.sent_at = attempt.last_event_at = now
        stream.attempt = attempt
        self.attempts.append(attempt)
        attempt.check_at = now + self.selector.first_event_timeout(
            stream.job, attempt
        )
        self.at(attempt.check_at, self._check, stream, attempt)
        name = attempt.endpoint.id
        if self.running[name] < SLOTS:
            self._start(stream, attempt)
        else:
            self.waiting[name].append((stream, attempt))

    def _start(self, stream, attempt):
        name = attempt.endpoint.id
        self.running[name] += 1
        wait = FIRST_SECONDS * self.slowdown(name) * self.noise()
        self.at(self.clock.now + wait, self._event, stream, attempt)

    def _event(self, stream, attempt):
        if stream.attempt is not attempt:
            return
        if (self.dead | self.hung) & {
            stage.endpoint for stage in attempt.stages
        }:
            return
        now = self.clock.now
        self.selector.record_event(attempt, now)
        stream.events += 1
        stream.last_event_at = now
        if stream.events >= EVENTS:
            self.outcome.completed += 1
            self._end(stream)
            return
        self.at(attempt.check_at, self._check, stream, attempt)
        wait = GAP_SECONDS * self.slowdown(attempt.endpoint.id) * self.noise()
        self.at(now + wait, self._event, stream, attempt)
        self.at(now + LEAVE_SECONDS, self._leave, stream)

    def _end(self, stream):
        """Remove the present attempt of a stream and free its slot."""
        attempt, stream.attempt = stream.attempt, None
        self.attempts.remove(attempt)
        self.selector.release(attempt)
        name = attempt.endpoint.id
        if (stream, attempt) in self.waiting[name]:
            self.waiting[name].remove((stream, attempt))
            return
        self.running[name] -= 1
        if self.waiting[name]:
            self._start(*self.waiting[name].pop(0))

    def _leave(self, stream):
        waited = self.clock.now - stream.last_event_at
        if stream.attempt is None or waited < LEAVE_SECONDS - 1e-6:
            return
        stream.attempt.result = attempts.Result.CALLER_GONE
        self.outcome.left += 1
        self._end(stream)

    def _check(self, stream, attempt):
        now = self.clock.now
        if stream.attempt is not attempt or now < attempt.check_at:
            return
        attempt.is_checking = True
        self.is_new_check = self.outcome.found_at is None
        self.handler.handle(attempt)
        if attempt.result is None:
            self.at(attempt.check_at, self._check, stream, attempt)
            return
        self._end(stream)
        self.outcome.moved += 1
        attempts.count_given_up(attempt.successor.cause, stream.job.progress)
        self._begin(stream, attempt.successor.attempt)
