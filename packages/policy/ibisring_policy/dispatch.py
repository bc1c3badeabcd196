"""Admission and placement of all requests of one router.

`Dispatcher` is a state machine: its methods take the current time and
return the resulting grants and refusals.  It is driven by the router's
actor, and by fuzz tests and benchmarks.
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

RETRY_AFTER_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.1
AVERAGE_WEIGHT = 0.1
TOKEN_SECONDS_WEIGHT = 0.2
SLOW_TOKEN_SECONDS_WEIGHT = 0.6
MIN_TOKEN_SECONDS = 1e-6
MAX_SKIPPED_TICKETS = 4


class Grant(msgspec.Struct):
    """A ticket is to be sent to these endpoints, in the order of the chain.

    `token_seconds` is their expected time per token.
    """

    ticket: admission.Ticket
    endpoints: list[configuration_module.Endpoint]
    token_seconds: float = math.inf


class Refusal(msgspec.Struct):
    """A waiting ticket is rejected; it did not run."""

    ticket: admission.Ticket
    error: exceptions.IbisringError


class AttemptReport(msgspec.Struct):
    """Result of an attempt.

    `failure` is None if it succeeded; `failed_endpoint` names the endpoint
    that failed.
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
        Determines the subset of endpoints used where there are many.
    """

    def __init__(self, rng, router_id):
        self.router_id = router_id
        self.placer = placing.make_placer(rng, router_id, self._outstanding)
        self.states = self.placer.states
        self.queues = {}
        self.running = {}
        self.limits = limits.AccountLimits()
        self.seconds_per_cost = {}
        self.token_seconds = {}
        self.shares = self.placer.shares

    # Configuration and reports

    def configure(self, configuration, now):
        """Apply a configuration; see `placing.Placer`."""
        self.placer.configure(configuration, now)
        return self._grant_all_waiting(now)

    def set_routers(self, peers, serving):
        """Set the routers that share endpoints and limits.

        Parameters
        ----------
        peers : iterable of str
            Peers that report their demands to this router.
        serving : list of str
            All routers known to accept callers.
        """
        self.limits.set_peers(peers)
        self.limits.routers = len(serving)
        self.shares.set_routers(serving)

    def observe(self, name, load, now):
        """Record the load that an endpoint reports."""
        state = self.states.get(name)
        if state is not None:
            state.record_load(load, now)

    def observe_status(self, endpoint, ready, draining):
        """Record whether an endpoint accepts requests."""
        self.placer.observe_status(endpoint, ready, draining)

    @property
    def configuration(self):
        """The active configuration, or None."""
        return self.placer.configuration

    # Tickets

    def offer(self, ticket, now):
        """Queue a ticket, and grant what can be sent now.

        Returns
        -------
        list of Grant or Refusal

        Raises
        ------
        IbisringError
            The ticket is rejected; nothing ran.
        """
        self._check_target(ticket, now)
        queue = self.queues.get(ticket.target)
        if queue is None:
            queue = self.queues[ticket.target] = admission.make_queue()
        if queue.is_full():
            raise exceptions.Overloaded(
                f'{len(queue)} requests wait already',
                retry_after=RETRY_AFTER_SECONDS,
            )
        self._check_deadline(ticket, queue, now)
        self._charge_account(ticket, now)
        queue.add(ticket)
        return self._grant_waiting(ticket.target, now)

    def _charge_account(self, ticket, now):
        account = self.configuration.accounts.get(ticket.account)
        limit = account.tokens_per_second if account is not None else 0.0
        self.limits.charge(ticket.account, limit, ticket.cost, now)

    def _check_target(self, ticket, now):
        if self.placer.capacity(ticket.target, now) <= 0.0:
            target = ticket.target
            name = target.service or f'{target.model}@{target.version}'
            raise exceptions.NoEndpoint(
                f'no complete set of endpoints serves {name}',
                retry_after=RETRY_AFTER_SECONDS,
            )

    def _check_deadline(self, ticket, queue, now):
        """Reject a ticket that would miss its deadline, with a retry time.

        If it waited in the queue until its deadline instead, the caller
        would lose that time, and any work done for it would be wasted.
        """
        seconds_per_cost = self.seconds_per_cost.get(ticket.target)
        if not seconds_per_cost:
            return
        if ticket.deadline <= now:
            raise exceptions.DeadlineUnreachable(
                'the deadline has passed', retry_after=None
            )
        rate = self.placer.capacity(ticket.target, now) / seconds_per_cost
        wait = queue.predicted_wait(ticket, rate)
        delay = now + wait + ticket.cost * seconds_per_cost - ticket.deadline
        if delay > 0.0 and wait > 0.0:
            raise exceptions.DeadlineUnreachable(
                f'the wait of {wait:.2f} s would miss the deadline',
                retry_after=max(MIN_RETRY_AFTER_SECONDS, min(delay, wait)),
            )

    def finish(self, report, now):
        """Record the result of a granted attempt and free its slots."""
        running = self.running.pop(report.ticket_id, None)
        if running is None:
            return []
        for name in running.names:
            state = self.states.get(name)
            if state is not None:
                state.own = max(0, state.own - 1)
        if report.failure is None:
            self._record_success(running, report, now)
        elif report.failure is retries.Failure.SLOW:
            self._update_token_seconds(
                running, report, SLOW_TOKEN_SECONDS_WEIGHT
            )
        else:
            self._record_failure(report, now)
        return self._grant_waiting(running.ticket.target, now)

    def _record_success(self, running, report, now):
        self._update_token_seconds(running, report, TOKEN_SECONDS_WEIGHT)
        for name in running.names:
            if name in self.states:
                self.states[name].record_success(now)
        target = running.ticket.target
        per_cost = report.seconds / max(1.0, running.ticket.cost)
        _update_average(self.seconds_per_cost, target, per_cost)
        per_token = report.seconds / max(1, report.tokens)
        _update_average(self.token_seconds, target, per_token)

    def _update_token_seconds(self, running, report, weight):
        """Update the estimated seconds per token of a chain's endpoints.

        Only the time of the whole chain is measured.  The error is spread
        evenly over its stages; because chains combine stages at random, the
        estimates converge to the time of each stage (least mean squares
        [1]_).

        References
        ----------
        .. [1] B. Widrow, M. Hoff, "Adaptive switching circuits", IRE
           WESCON Convention Record 4, 1960.
        """
        states = [self.states[n] for n in running.names if n in self.states]
        if not states:
            return
        per_token = report.seconds / max(1, report.tokens)
        estimated = sum(state.token_seconds for state in states)
        change = weight * (per_token - estimated) / len(states)
        for state in states:
            if state.measured:
                token_seconds = state.token_seconds + change
            else:
                token_seconds = per_token / len(states)
            state.token_seconds = max(MIN_TOKEN_SECONDS, token_seconds)
            state.measured = True

    def _record_failure(self, report, now):
        state = self.states.get(report.failed_endpoint)
        if state is None or report.failure is retries.Failure.GONE:
            return
        if report.failure is retries.Failure.REFUSED:
            state.record_refusal(now)
            return
        severe = report.failure in (
            retries.Failure.NOT_SENT,
            retries.Failure.STAGE_LOST,
        )
        state.record_failure(now, severe)

    def cancel(self, ticket_id, now):
        """Remove the waiting ticket of a caller that disconnected."""
        for target, queue in self.queues.items():
            ticket = queue.remove(ticket_id)
            if ticket is not None:
                self.limits.refund(ticket.account, ticket.cost)
                return self._grant_waiting(target, now)
        return []

    def tick(self, now):
        """Reject tickets that can't meet their deadline; grant others."""
        for target in self.queues:
            # Without arrivals too, so that the demand sent to peers decays.
            self.placer.quotas_of_target(target, now)
        results = []
        for target, queue in self.queues.items():
            per_cost = 0.0
            if len(queue) > 1:
                per_cost = self.seconds_per_cost.get(target, 0.0)
            for ticket in queue.in_order():
                if now + ticket.cost * per_cost < ticket.deadline:
                    continue
                queue.remove(ticket.id)
                self.limits.refund(ticket.account, ticket.cost)
                error = exceptions.DeadlineUnreachable(
                    'the queue did not move fast enough',
                    retry_after=RETRY_AFTER_SECONDS,
                )
                results.append(Refusal(ticket, error))
        results.extend(self._grant_all_waiting(now))
        return results

    def waiting(self):
        """Return the number of waiting tickets."""
        return sum(len(queue) for queue in self.queues.values())

    # Placement

    def _grant_all_waiting(self, now):
        results = []
        for target in list(self.queues):
            results.extend(self._grant_waiting(target, now))
        return results

    def _grant_waiting(self, target, now):
        queue = self.queues.get(target)
        if not queue:
            return []
        grants = []
        skipped = 0
        while skipped < min(len(queue), MAX_SKIPPED_TICKETS):
            ticket = queue.peek(skipped)
            contended = len(queue) > 1
            endpoints = self.placer.place(ticket, now, contended)
            if endpoints is None and not ticket.avoid:
                # Later tickets are not more urgent and need the same slots.
                break
            if endpoints is None or (
                contended and self._would_miss_deadline(ticket, endpoints, now)
            ):
                skipped += 1
                continue
            queue.grant(ticket.id)
            grants.append(self._start(ticket, endpoints))
        return grants

    def _would_miss_deadline(self, ticket, endpoints, now):
        """Return whether these endpoints would finish a ticket too late.

        A request that finishes late uses slots that others would use in
        time.  Accelerators differ in speed, so the deadline is checked again
        once the endpoints are known; the ticket then waits for faster ones,
        and a later ticket may use these.  This is checked only while others
        wait: the cost is based on the maximum number of tokens that the
        caller allows, and a request that may end early must not be kept from
        an idle engine.
        """
        per_cost = self.seconds_per_cost.get(ticket.target, 0.0)
        average = self.token_seconds.get(ticket.target, 0.0)
        expected = self._expected_token_seconds([e.name for e in endpoints])
        if average and expected < math.inf:
            per_cost *= expected / average
        return now + ticket.cost * per_cost > ticket.deadline

    def _start(self, ticket, endpoints):
        names = [endpoint.name for endpoint in endpoints]
        for name in names:
            self.states[name].own += 1
        self.running[ticket.id] = _Running(ticket, names)
        return Grant(ticket, endpoints, self._expected_token_seconds(names))

    def _expected_token_seconds(self, names):
        """Return the expected seconds per token, infinite if unmeasured."""
        states = [self.states[name] for name in names]
        if not all(state.measured for state in states):
            return math.inf
        return sum(state.token_seconds for state in states)

    def _outstanding(self, pool):
        """Return how many requests of a pool run or wait at this router."""
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


def _update_average(averages, key, value):
    """Update an exponential moving average with a value."""
    old = averages.get(key, value)
    averages[key] = old + AVERAGE_WEIGHT * (value - old)


def make_dispatcher(rng, router_id=''):
    """Make the dispatcher of a router."""
    return Dispatcher(rng, router_id)
