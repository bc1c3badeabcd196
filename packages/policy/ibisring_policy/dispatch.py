"""Admission and placement of all requests of one router.

`Dispatcher` is a state machine: each method takes the time, and returns the
grants and refusals that follow.  The router's actor feeds it; so can a
fuzzer or a bench.
"""

__all__ = [
    'Grant',
    'Refusal',
    'AttemptReport',
    'Dispatcher',
    'make_dispatcher',
]

import math

from ibisring_policy import admission
from ibisring_policy import limits
from ibisring_policy import placing
from ibisring_policy import retries
from ibisring_records import configuration as configuration_module
from ibisring_records import exceptions
import msgspec

RETRY_AFTER = 1.0
LEAST_RETRY_AFTER = 0.1
COST_WEIGHT = 0.1
SPEED_WEIGHT = 0.2
SLOW_SPEED_WEIGHT = 0.6
LEAST_TOKEN_SECONDS = 1e-6
MOST_PASSED = 4


class Grant(msgspec.Struct):
    """A ticket may go to these endpoints, in the order of the chain.

    `token_seconds` is the pace expected of them.
    """

    ticket: admission.Ticket
    endpoints: list[configuration_module.Endpoint]
    token_seconds: float = math.inf


class Refusal(msgspec.Struct):
    """A waiting ticket is given up; it did not run."""

    ticket: admission.Ticket
    error: exceptions.IbisringError


class AttemptReport(msgspec.Struct):
    """How an attempt went.

    `failure` is None if it went well; `failed_endpoint` is the endpoint at
    fault.
    """

    ticket_id: str
    seconds: float = 0.0
    tokens: int = 0
    failure: retries.Failure | None = None
    failed_endpoint: str = ''


class _Running(msgspec.Struct):
    ticket: admission.Ticket
    names: list[str]


class Dispatcher:
    """Queues, limits, endpoint states and running attempts of a router.

    Parameters
    ----------
    rng : random.Random
    router_id : str
        Chooses the subset of endpoints where there are many.
    """

    def __init__(self, rng, router_id):
        self.router_id = router_id
        self.placer = placing.make_placer(rng, router_id, self._in_hand)
        self.states = self.placer.states
        self.queues = {}
        self.running = {}
        self.limits = limits.AccountLimits()
        self.seconds_per_cost = {}
        self.token_seconds = {}
        self.shares = self.placer.shares

    # Configuration and reports

    def configure(self, configuration, now):
        """Take a configuration into force; see `placing.Placer`."""
        self.placer.configure(configuration, now)
        return self._pump_all(now)

    def set_routers(self, heard, takers):
        """Take in which routers there are.

        Parameters
        ----------
        heard : iterable of str
            Peers whose demands are heard.
        takers : list of str
            All that take callers, as far as is known.
        """
        self.limits.set_members(heard)
        self.limits.routers = len(takers)
        self.shares.set_routers(takers)

    def observe(self, name, load, now):
        """Take in an endpoint's own report of its load."""
        state = self.states.get(name)
        if state is not None:
            state.report(load, now)

    def observe_status(self, endpoint, ready, draining):
        """Take in whether an endpoint can take work at all."""
        self.placer.observe_status(endpoint, ready, draining)

    @property
    def configuration(self):
        """The configuration in force, or None."""
        return self.placer.configuration

    # Tickets

    def offer(self, ticket, now):
        """Take a ticket in: grant, queue or refuse it.

        Returns
        -------
        list of Grant or Refusal

        Raises
        ------
        IbisringError
            The ticket is refused; nothing ran.
        """
        self._check_target(ticket, now)
        queue = self.queues.get(ticket.target)
        if queue is None:
            queue = self.queues[ticket.target] = admission.make_queue()
        if queue.is_full():
            raise exceptions.Overloaded(
                f'{len(queue)} requests wait already',
                retry_after=RETRY_AFTER,
            )
        self._check_deadline(ticket, queue, now)
        self._charge(ticket, now)
        queue.add(ticket)
        return self._pump(ticket.target, now)

    def _charge(self, ticket, now):
        account = self.configuration.accounts.get(ticket.account)
        limit = account.tokens_per_second if account is not None else 0.0
        self.limits.take(ticket.account, limit, ticket.cost, now)

    def _check_target(self, ticket, now):
        if self.placer.capacity(ticket.target, now) <= 0.0:
            target = ticket.target
            name = target.service or f'{target.model}@{target.version}'
            raise exceptions.NoEndpoint(
                f'no complete set of endpoints serves {name}',
                retry_after=RETRY_AFTER,
            )

    def _check_deadline(self, ticket, queue, now):
        """Refuse at once what would come too late, and say when to return.

        A request that waits out its deadline in the queue has cost its
        caller that time, and the work done for it is thrown away.
        """
        pace = self.seconds_per_cost.get(ticket.target)
        if not pace:
            return
        if ticket.deadline <= now:
            raise exceptions.DeadlineUnreachable(
                'the deadline has passed', retry_after=None
            )
        rate = self.placer.capacity(ticket.target, now) / pace
        wait = queue.predicted_wait(ticket, rate)
        late = now + wait + ticket.cost * pace - ticket.deadline
        if late > 0.0 and wait > 0.0:
            raise exceptions.DeadlineUnreachable(
                f'the wait of {wait:.2f} s would miss the deadline',
                retry_after=max(LEAST_RETRY_AFTER, min(late, wait)),
            )

    def finish(self, report, now):
        """Take in how a granted attempt went; free its endpoints."""
        running = self.running.pop(report.ticket_id, None)
        if running is None:
            return []
        for name in running.names:
            state = self.states.get(name)
            if state is not None:
                state.own = max(0, state.own - 1)
        if report.failure is None:
            self._learn(running, report, now)
        elif report.failure is retries.Failure.SLOW:
            self._learn_pace(running, report, SLOW_SPEED_WEIGHT)
        else:
            self._blame(report, now)
        return self._pump(running.ticket.target, now)

    def _learn(self, running, report, now):
        self._learn_pace(running, report, SPEED_WEIGHT)
        for name in running.names:
            if name in self.states:
                self.states[name].succeeded(now)
        target = running.ticket.target
        pace = report.seconds / max(1.0, running.ticket.cost)
        _average(self.seconds_per_cost, target, pace)
        per_token = report.seconds / max(1, report.tokens)
        _average(self.token_seconds, target, per_token)

    def _learn_pace(self, running, report, weight):
        """Move the believed paces of a chain towards what was measured.

        Only the whole chain's pace is seen.  The error is spread over its
        stages evenly; since chains mix stages at random, the share that
        belongs to one stage settles on it (least mean squares [1]_).

        References
        ----------
        .. [1] B. Widrow, M. Hoff, "Adaptive switching circuits", IRE
           WESCON Convention Record 4, 1960.
        """
        states = [self.states[n] for n in running.names if n in self.states]
        if not states:
            return
        per_token = report.seconds / max(1, report.tokens)
        believed = sum(state.token_seconds for state in states)
        change = weight * (per_token - believed) / len(states)
        for state in states:
            if state.measured:
                pace = state.token_seconds + change
            else:
                pace = per_token / len(states)
            state.token_seconds = max(LEAST_TOKEN_SECONDS, pace)
            state.measured = True

    def _blame(self, report, now):
        state = self.states.get(report.failed_endpoint)
        if state is None or report.failure is retries.Failure.GONE:
            return
        if report.failure is retries.Failure.REFUSED:
            state.refused(now)
            return
        severe = report.failure in (
            retries.Failure.NOT_SENT,
            retries.Failure.STAGE_LOST,
        )
        state.failed(now, severe)

    def cancel(self, ticket_id, now):
        """Take out a ticket whose caller is gone."""
        for target, queue in self.queues.items():
            ticket = queue.remove(ticket_id)
            if ticket is not None:
                self.limits.give_back(ticket.account, ticket.cost)
                return self._pump(target, now)
        return []

    def tick(self, now):
        """Return up what can't meet its deadline any more; grant the rest."""
        for target in self.queues:
            # Also where nothing arrives: what peers are told must sink.
            self.placer.parts_of_all(target, now)
        results = []
        for target, queue in self.queues.items():
            pace = 0.0
            if len(queue) > 1:
                pace = self.seconds_per_cost.get(target, 0.0)
            for ticket in queue.in_order():
                if now + ticket.cost * pace < ticket.deadline:
                    continue
                queue.remove(ticket.id)
                self.limits.give_back(ticket.account, ticket.cost)
                error = exceptions.DeadlineUnreachable(
                    'the queue did not move fast enough',
                    retry_after=RETRY_AFTER,
                )
                results.append(Refusal(ticket, error))
        results.extend(self._pump_all(now))
        return results

    def waiting(self):
        """Return how many tickets wait."""
        return sum(len(queue) for queue in self.queues.values())

    # Placement

    def _pump_all(self, now):
        results = []
        for target in list(self.queues):
            results.extend(self._pump(target, now))
        return results

    def _pump(self, target, now):
        queue = self.queues.get(target)
        if not queue:
            return []
        grants = []
        passed = 0
        while passed < min(len(queue), MOST_PASSED):
            ticket = queue.peek(passed)
            contended = len(queue) > 1
            endpoints = self.placer.place(ticket, now, contended)
            if endpoints is None and not ticket.avoid:
                # Those behind are no more urgent and need the same slots.
                break
            if endpoints is None or (
                contended and self._too_late(ticket, endpoints, now)
            ):
                passed += 1
                continue
            queue.grant(ticket.id)
            grants.append(self._start(ticket, endpoints))
        return grants

    def _too_late(self, ticket, endpoints, now):
        """Return whether these endpoints would finish a ticket too late.

        Work that is late when it is done takes the place of work that
        would be in time.  Accelerators differ in speed, so this is looked
        at again once the endpoints are known; the ticket waits for faster
        ones, and one behind it may take these.  Asked only while others
        wait: a cost goes by the most tokens that the caller allows, and an
        idle engine must not be refused to a request that may end early.
        """
        pace = self.seconds_per_cost.get(ticket.target, 0.0)
        usual = self.token_seconds.get(ticket.target, 0.0)
        expected = self._expected_pace([e.name for e in endpoints])
        if usual and expected < math.inf:
            pace *= expected / usual
        return now + ticket.cost * pace > ticket.deadline

    def _start(self, ticket, endpoints):
        names = [endpoint.name for endpoint in endpoints]
        for name in names:
            self.states[name].own += 1
        self.running[ticket.id] = _Running(ticket, names)
        return Grant(ticket, endpoints, self._expected_pace(names))

    def _expected_pace(self, names):
        """Return the expected seconds a token, infinite if not measured."""
        states = [self.states[name] for name in names]
        if not all(state.measured for state in states):
            return math.inf
        return sum(state.token_seconds for state in states)

    def _in_hand(self, pool):
        """Return how many requests of a pool run or wait here."""
        waiting = sum(
            len(queue)
            for target, queue in self.queues.items()
            if target.pool() == pool
        )
        running = sum(
            running.ticket.target.pool() == pool
            for running in self.running.values()
        )
        return waiting + running


def _average(averages, key, value):
    """Move a running average towards a value."""
    old = averages.get(key, value)
    averages[key] = old + COST_WEIGHT * (value - old)


def make_dispatcher(rng, router_id=''):
    """Make the dispatcher of a router."""
    return Dispatcher(rng, router_id)
