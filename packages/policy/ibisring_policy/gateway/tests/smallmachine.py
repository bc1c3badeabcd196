"""A small machine of a router, three endpoints and a caller of one request.

It runs the decision functions through all interleavings of a few steps, and
checks the promises on what the caller and the endpoints have seen.  Where
requests go, and what the router notes of each attempt, is modelled after
`forwarding` and `sending`.
"""

__all__ = [
    'Kind',
    'Decisions',
    'Finding',
    'Search',
    'STEPS_LIMIT',
    'make_decisions',
    'search',
]

import collections
import enum
import itertools

from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import shutdown
from ibisring_policy.gateway.tests import promises
import msgspec

Result = attempts.Result
NextStep = attempts.NextStep

STEPS_LIMIT = 6
ENDPOINTS = (0, 1, 2)
MAX_ENDPOINTS = (1, 2)
# Events of a whole stream.
EVENTS = 2
# Seconds from SIGTERM until the process is killed; each step takes one.
GRACE_SECONDS = 4.0


class Kind(enum.Enum):
    """What a request is, and whether it may repeat."""

    ONCE = 'request that runs once'
    REPEATABLE = 'repeatable request'
    STREAM = 'stream that may be resumed'
    FIXED_STREAM = 'stream that may not be resumed'

    @property
    def is_repeatable(self):
        """Whether it may run more than once."""
        return self in (Kind.REPEATABLE, Kind.STREAM)

    @property
    def is_stream(self):
        """Whether its answer is relayed event by event."""
        return self in (Kind.STREAM, Kind.FIXED_STREAM)


class Health(enum.Enum):
    """State of an endpoint."""

    UP = 'up'
    LEAVING = 'leaving'
    DOWN = 'down'


class Outcome(enum.Enum):
    """How the request ended for its caller."""

    COMPLETE = 'a complete answer'
    REFUSED = 'an error: not run'
    UNKNOWN = 'an error: may have run'
    TRUNCATED = 'a truncated answer'
    CLOSED = 'a closed connection without an answer'
    DROPPED = 'the caller has left'


class Run(msgspec.Struct, frozen=True):
    """An attempt that an endpoint runs.

    `position` is the last event that it has made, `is_stalled` whether a later
    stage of its chain is lost, so that it makes no more.  The router may have
    given it up, with a retry taken for its successor or not, while the thread
    that reads its answer doesn't know yet.
    """

    endpoint: int
    position: int = 0
    has_head: bool = False
    is_paused: bool = False
    is_stalled: bool = False
    is_given_up: bool = False
    has_retry: bool = False

    @property
    def is_silent(self):
        """Whether nothing more of its answer reaches the router."""
        return self.is_stalled or self.is_given_up


class State(msgspec.Struct, frozen=True, kw_only=True):
    """State of the whole machine.

    `runs` counts how often an endpoint began to run the request, `position` is
    the last event that the caller has, `stopping` the seconds since SIGTERM.
    """

    kind: Kind
    budget: int
    time_left: float
    max_endpoints: int
    tries: int = 0
    refusals: int = 0
    sent_to: frozenset = frozenset()
    avoid: frozenset = frozenset()
    may_have_run: bool = False
    delivering: bool = False
    endpoints: tuple = (Health.UP, Health.UP, Health.UP)
    run: Run | None = None
    runs: int = 0
    position: int = 0
    is_caller_gone: bool = False
    stopping: int | None = None
    has_exited: bool = False
    outcome: Outcome | None = None


class Decisions:
    """The decisions of a router.

    Attributes
    ----------
    decide : callable
        As `attempts.decide`.
    may_give_up : callable
        Whether to give up an attempt that its endpoint might still finish;
        takes an `attempts.Progress` and whether a stage is known to be lost.
    has_alternative : callable
        Whether a running attempt has a successor; takes its endpoint, those
        that the request was sent to, the number that its route allows and
        those that are up.
    may_replace : callable
        Whether to send a request elsewhere in place of passing on the error
        that an endpoint answered; takes an `attempts.Progress`.
    may_exit : callable
        As `shutdown.may_exit`.
    takes_retry_first : bool
        Whether the retry for the successor is taken from the budget before
        the attempt is given up, and not once it has ended.
    """

    __slots__ = (
        'decide',
        'may_give_up',
        'has_alternative',
        'may_replace',
        'may_exit',
        'takes_retry_first',
    )

    def __init__(
        self,
        decide,
        may_give_up,
        has_alternative,
        may_replace,
        may_exit,
        takes_retry_first,
    ):
        self.decide = decide
        self.may_give_up = may_give_up
        self.has_alternative = has_alternative
        self.may_replace = may_replace
        self.may_exit = may_exit
        self.takes_retry_first = takes_retry_first


class Finding:
    """A sequence of steps that breaks promises.

    Attributes
    ----------
    start : State
    steps : tuple of str
    broken : list of str
        Promises broken by the last step.
    """

    __slots__ = ('start', 'steps', 'broken')

    def __init__(self, start, steps, broken):
        self.start = start
        self.steps = steps
        self.broken = broken

    def __str__(self):
        start = self.start
        return (
            f'{start.kind.value}, budget {start.budget}, '
            f'{start.time_left} s left, {start.tries} tries, '
            f'{start.refusals} refusals, {len(start.sent_to)} of '
            f'{start.max_endpoints} endpoints: '
            f'{", ".join(self.steps)} -> {"; ".join(self.broken)}'
        )


class Search:
    """Outcome of a search.

    Attributes
    ----------
    finding : Finding or None
        The shortest sequence that breaks a promise.
    states : int
        States that were reached.
    transitions : int
        Steps that were taken, each from another state or of another kind.
    taken : frozenset of str
        Names of the steps that were taken.
    """

    __slots__ = ('finding', 'states', 'transitions', 'taken')

    def __init__(self, finding, states, transitions, taken):
        self.finding = finding
        self.states = states
        self.transitions = transitions
        self.taken = taken


def _change(state, **values):
    return msgspec.structs.replace(state, **values)


def _change_run(state, **values):
    return _change(state, run=msgspec.structs.replace(state.run, **values))


def _progress(state):
    """Return what the decisions know of a request."""
    return attempts.Progress(
        repeatable=state.kind.is_repeatable,
        stream=state.kind.is_stream,
        max_endpoints=state.max_endpoints,
        tries=state.tries,
        refusals=state.refusals,
        sent_to=len(state.sent_to),
        may_have_run=state.may_have_run,
        delivering=state.delivering,
        time_left=state.time_left,
        has_retry_budget=state.budget > 0,
    )


class _Router:
    """Takes the steps of a request, and notes the promises broken."""

    def __init__(self, decisions):
        self.decisions = decisions
        self.broken = []

    def check(self, name, is_kept):
        """Note that a promise is broken, unless it is kept."""
        if not is_kept:
            self.broken.append(name)

    def send(self, state):
        """Send an attempt to the next endpoint."""
        if state.run is not None:
            return None
        self.check(
            'nothing is sent for a caller that has left',
            not state.is_caller_gone,
        )
        endpoint = _next_endpoint(state)
        if endpoint is None:
            return self._use_up_tries(state)
        return self._send_to(_change(state, tries=state.tries + 1), endpoint)

    def _use_up_tries(self, state):
        state = _change(
            state, tries=attempts.MAX_TRIES, refusals=attempts.MAX_REFUSALS
        )
        return self._end_attempt(state, Result.NOT_SENT)

    def _send_to(self, state, endpoint):
        health = state.endpoints[endpoint]
        if health is Health.DOWN:
            avoid = state.avoid | {endpoint}
            return self._end_attempt(
                _change(state, avoid=avoid), Result.NOT_SENT
            )
        state = _change(state, sent_to=state.sent_to | {endpoint})
        self.check(
            'within the limits on attempts',
            state.kind.is_stream or len(state.sent_to) <= state.max_endpoints,
        )
        if health is Health.LEAVING:
            avoid = state.avoid | {endpoint}
            refusals = state.refusals + 1
            state = _change(state, avoid=avoid, refusals=refusals)
            return self._end_attempt(state, Result.REFUSED)
        self.check(
            'never run twice', state.kind.is_repeatable or not state.runs
        )
        run = Run(endpoint, state.position)
        return _change(state, run=run, runs=state.runs + 1)

    def head(self, state):
        """Have the endpoint send the head of its answer."""
        run = state.run
        if run is None or run.has_head or run.is_silent:
            return None
        state = _change_run(state, has_head=True, is_paused=False)
        delivering = state.delivering or state.kind.is_stream
        return _change(state, may_have_run=True, delivering=delivering)

    def event(self, state):
        """Have the endpoint send an event."""
        run = state.run
        if run is None or not run.has_head or run.is_silent:
            return None
        if not state.kind.is_stream or run.position == EVENTS:
            return None
        position = run.position + 1
        self.check(
            'each event comes once and in order',
            position == state.position + 1,
        )
        state = _change_run(state, position=position, is_paused=False)
        return _change(state, position=position)

    def end(self, state):
        """Have the endpoint end its answer."""
        run = state.run
        if run is None or not run.has_head or run.is_silent:
            return None
        if state.kind.is_stream and run.position < EVENTS:
            return None
        self.check(
            'nothing broken looks complete',
            not state.kind.is_stream or state.position == EVENTS,
        )
        return _change(state, run=None, outcome=Outcome.COMPLETE)

    def fail(self, state):
        """Have the endpoint answer with an error."""
        run = state.run
        if run is None or not run.has_head or state.kind.is_stream:
            return None
        if run.is_silent or run.is_paused:
            return None
        if not self.decisions.may_replace(_progress(state)):
            return _change(state, run=None, outcome=Outcome.COMPLETE)
        after = self._lose(state, Result.LOST)
        self.check(
            'no answer is given up before its successor is allowed',
            after.outcome is None,
        )
        return after

    def pause(self, state):
        """Have the endpoint pause; it may go on later."""
        run = state.run
        if run is None or run.is_paused or run.is_silent:
            return None
        state = _change_run(state, is_paused=True)
        return self._consider_giving_up(state, is_lost=False)

    def lose_stage(self, state):
        """Lose a later stage of the chain, so that the attempt stalls."""
        run = state.run
        if run is None or run.is_silent or not state.kind.is_stream:
            return None
        state = _change_run(state, is_stalled=True)
        return self._consider_giving_up(state, is_lost=True)

    def configure(self, state):
        """Order the endpoint to hold other layers once it has ended this."""
        run = state.run
        if run is None or run.is_silent or not state.kind.is_stream:
            return None
        return self._consider_giving_up(state, is_lost=False)

    def _consider_giving_up(self, state, is_lost):
        """Give up an attempt if that is decided and another may take it."""
        run = state.run
        progress = _progress(state)
        is_allowed = bool(_usable(state) - {run.endpoint})
        has_alternative = self.decisions.has_alternative(
            run.endpoint, state.sent_to, state.max_endpoints, _up(state)
        )
        if not (
            has_alternative and self.decisions.may_give_up(progress, is_lost)
        ):
            self.check(
                'what is lost is given up if its successor is allowed',
                not is_lost
                or not is_allowed
                or not promises.may_continue_elsewhere(progress),
            )
            return state
        self.check(
            'nothing sound is given up before its successor is allowed',
            is_allowed,
        )
        takes_retry = self.decisions.takes_retry_first
        state = _change(state, budget=state.budget - takes_retry)
        return _change_run(state, is_given_up=True, has_retry=takes_retry)

    def notice(self, state):
        """Have the thread that reads an answer notice that it is given up."""
        if state.run is None or not state.run.is_given_up:
            return None
        after = self._lose(state, Result.SILENT)
        self.check(
            'nothing sound is given up before its successor is allowed',
            after.outcome is None,
        )
        return after

    def take_retry(self, state):
        """Have another request take a retry from the budget."""
        if not state.budget:
            return None
        return _change(state, budget=state.budget - 1)

    def _lose(self, state, result):
        """End an attempt whose answer is lost."""
        run = state.run
        avoid = state.avoid | {run.endpoint}
        state = _change(state, run=None, avoid=avoid, may_have_run=True)
        return self._end_attempt(state, result, run.has_retry)

    def crash(self, state, endpoint):
        """Crash an endpoint."""
        if state.endpoints[endpoint] is Health.DOWN:
            return None
        state = _with_health(state, endpoint, Health.DOWN)
        if state.run is None or state.run.endpoint != endpoint:
            return state
        if state.run.is_given_up:
            return self.notice(state)
        return self._lose(state, Result.LOST)

    def leave(self, state, endpoint):
        """Have an endpoint leave: it refuses requests, and ends its own."""
        if state.endpoints[endpoint] is not Health.UP:
            return None
        return _with_health(state, endpoint, Health.LEAVING)

    def terminate(self, state):
        """Send SIGTERM to the router."""
        return (
            None if state.stopping is not None else _change(state, stopping=0)
        )

    def time_out(self, state):
        """Have the request's time run out."""
        if state.run is None:
            return None
        state = _change(state, run=None, may_have_run=True, time_left=0.0)
        return self._end_attempt(state, Result.DEADLINE)

    def caller_leaves(self, state):
        """Have the caller close its connection."""
        state = _change(state, run=None, is_caller_gone=True)
        return self._end_attempt(state, Result.CALLER_GONE)

    def _end_attempt(self, state, result, has_retry=False):
        """Decide what follows an attempt that has failed.

        The budget is asked only for what may go on, unless a retry was taken
        before.
        """
        progress = _progress(state)
        has_budget = has_retry or progress.has_retry_budget
        progress.has_retry_budget = True
        step = self.decisions.decide(result, progress)
        takes_budget = step in promises.CONTINUING and bool(state.sent_to)
        if takes_budget:
            progress.has_retry_budget = has_budget
            step = self.decisions.decide(result, progress)
        progress.has_retry_budget = has_budget
        allowed = promises.may_continue(result, progress)
        if step in promises.CONTINUING:
            if not state.is_caller_gone and not _must_not_repeat(state):
                self.check('within the limits on attempts', allowed)
            if takes_budget and not has_retry:
                state = _change(state, budget=max(0, state.budget - 1))
            return state
        self.check('nothing is given up that may go on', not allowed)
        return self._finish(state, step)

    def _finish(self, state, step):
        """Give the caller its final answer."""
        outcome = {
            NextStep.REFUSE: Outcome.REFUSED,
            NextStep.UNKNOWN: Outcome.UNKNOWN,
            NextStep.DROP: Outcome.DROPPED,
            NextStep.ABORT: (
                Outcome.TRUNCATED if state.delivering else Outcome.CLOSED
            ),
        }[step]
        if not state.is_caller_gone:
            self._check_answer(state, outcome)
        return _change(state, outcome=outcome)

    def _check_answer(self, state, outcome):
        self.check(
            'never "not run" after it may have run',
            outcome is not Outcome.REFUSED or not state.runs,
        )
        self.check(
            'never "may have run" if it has not',
            outcome is not Outcome.UNKNOWN or state.runs,
        )
        self.check(
            'nothing broken looks complete',
            not state.delivering
            or outcome in (Outcome.TRUNCATED, Outcome.DROPPED),
        )
        self.check(
            'a caller that waits gets an answer',
            outcome not in (Outcome.CLOSED, Outcome.DROPPED),
        )

    def pass_time(self, state):
        """Have a second pass since SIGTERM, and exit if that is decided."""
        stopping = state.stopping + 1
        active = int(state.outcome is None)
        exits = self.decisions.may_exit(stopping, active, GRACE_SECONDS)
        self.broken += promises.of_exit(stopping, active, GRACE_SECONDS, exits)
        return _change(state, stopping=stopping, has_exited=exits)


def _up(state):
    """Return the endpoints that take requests."""
    return {e for e in ENDPOINTS if state.endpoints[e] is Health.UP}


def _allowed(state):
    """Return the endpoints that the route allows for the next attempt."""
    if len(state.sent_to) < state.max_endpoints:
        return set(ENDPOINTS)
    return set(state.sent_to) if state.kind.is_stream else set()


def _usable(state):
    """Return the endpoints that would take the next attempt."""
    usable = _up(state) & _allowed(state)
    return usable if state.kind.is_stream else usable - state.avoid


def _next_endpoint(state):
    """Return where the next attempt goes, None if there is no endpoint.

    A stream may return to an endpoint that only lost an answer.
    """
    untried = _allowed(state) - state.avoid
    again = _usable(state) if state.kind.is_stream else ()
    return min(untried, default=min(again, default=None))


def _must_not_repeat(state):
    return state.runs and not state.kind.is_repeatable


def _with_health(state, endpoint, health):
    endpoints = list(state.endpoints)
    endpoints[endpoint] = health
    return _change(state, endpoints=tuple(endpoints))


def _steps(router):
    """Return the steps by name."""
    steps = {
        'send': router.send,
        'head': router.head,
        'event': router.event,
        'pause': router.pause,
        'end': router.end,
        'error': router.fail,
        'a later stage crashes': router.lose_stage,
        'the configuration changes': router.configure,
        'time runs out': router.time_out,
        'the caller leaves': router.caller_leaves,
        'the end is noticed': router.notice,
        'another request takes a retry': router.take_retry,
    }
    for endpoint in ENDPOINTS:
        name = 'abc'[endpoint]
        steps[f'{name} crashes'] = _at(router.crash, endpoint)
        steps[f'{name} leaves'] = _at(router.leave, endpoint)
    return steps


def _at(step, endpoint):
    return lambda state: step(state, endpoint)


def _successors(state, decisions):
    """Yield (name, state after it, promises that it breaks) of each step."""
    if state.has_exited:
        return
    router = _Router(decisions)
    steps = _steps(router) if state.outcome is None else {}
    steps['SIGTERM'] = router.terminate
    if state.stopping is not None:
        steps['a second passes'] = lambda state: state
    for name, step in steps.items():
        router.broken = []
        after = step(state)
        if after is None:
            continue
        if state.stopping is not None:
            after = router.pass_time(after)
        yield name, after, router.broken


def _starts():
    """Return the states in which a request may begin.

    Some of its attempts have been used up before, so that the limits on them
    are within reach of a few steps.
    """
    counts = [
        (0, 0),
        (attempts.MAX_TRIES - 1, 0),
        (attempts.MAX_REFUSALS - 1, attempts.MAX_REFUSALS - 1),
    ]
    times = (attempts.MIN_TIME_LEFT_SECONDS / 2.0, 1.0)
    starts = [
        State(
            kind=kind,
            budget=budget,
            time_left=time_left,
            max_endpoints=most,
            tries=tries,
            refusals=refusals,
        )
        for kind, budget, time_left, most, (tries, refusals) in (
            itertools.product(Kind, (0, 1), times, MAX_ENDPOINTS, counts)
        )
    ]
    return starts + [_after_loss(each) for each in starts if _may_lose(each)]


def _may_lose(start):
    return start.kind.is_repeatable and start.max_endpoints > 1


def _after_loss(start):
    """Return the state after a first attempt whose endpoint has crashed."""
    return _change(
        start,
        tries=start.tries + 1,
        sent_to=frozenset(ENDPOINTS[:1]),
        avoid=frozenset(ENDPOINTS[:1]),
        endpoints=(Health.DOWN, Health.UP, Health.UP),
        may_have_run=True,
        runs=1,
    )


def search(decisions, limit=STEPS_LIMIT):
    """Run the machine through all interleavings of some steps.

    Parameters
    ----------
    decisions : Decisions
    limit : int
        Steps of the longest sequence.

    Returns
    -------
    Search
    """
    queue = collections.deque((start, start, ()) for start in _starts())
    seen = {start for start, _, _ in queue}
    taken = collections.Counter()
    finding = None
    while queue and finding is None:
        start, state, steps = queue.popleft()
        if len(steps) == limit:
            continue
        for name, after, broken in _successors(state, decisions):
            taken[name] += 1
            if broken:
                finding = Finding(start, (*steps, name), broken)
                break
            if after not in seen:
                seen.add(after)
                queue.append((start, after, (*steps, name)))
    return Search(finding, len(seen), taken.total(), frozenset(taken))


def make_decisions(module=attempts, **changes):
    """Make `Decisions`, by default those in use.

    Parameters
    ----------
    module : types.ModuleType
        `attempts`, or a changed copy of it.
    changes
        Attributes of `Decisions` that differ.
    """
    values = {
        'decide': module.decide,
        'may_give_up': _make_may_give_up(module),
        'has_alternative': _has_alternative,
        'may_replace': _make_may_replace(module),
        'may_exit': shutdown.may_exit,
        'takes_retry_first': True,
    }
    return Decisions(**{**values, **changes})


def _has_alternative(endpoint, sent_to, max_endpoints, up):
    allowed = up if len(sent_to) < max_endpoints else up & sent_to
    return bool(allowed - {endpoint})


def _make_may_give_up(module):
    def may_give_up(progress, is_lost):
        after = msgspec.structs.replace(progress, may_have_run=True)
        return module.decide(Result.SILENT, after) in promises.CONTINUING

    return may_give_up


def _make_may_replace(module):
    def may_replace(progress):
        return module.decide(Result.LOST, progress) in promises.CONTINUING

    return may_replace
