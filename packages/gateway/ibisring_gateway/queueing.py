"""Grants requests endpoints, and has them wait in order of rank."""

__all__ = ['Admitter', 'make_admitter']

import itertools
import logging
import threading
import time

from ibisring_gateway import exchange as exchange_module
from ibisring_gateway import waitingline
from ibisring_policy import admission
from ibisring_policy.gateway import chains
from ibisring_policy.gateway import requestqueue
from ibisring_records import exceptions
from ibisring_router import logs
from ibisring_web import sockets

LOG = logging.getLogger(__name__)
# Share of its route's objective for which a request may wait for a chain; the
# rest is for its prompt.
QUEUE_WAIT_SHARE = 0.5
# Longest time until the next request in order asks again for a chain.
ASK_INTERVAL_SECONDS = 0.02
# Interval at which the others check whether their callers are gone.
CHECK_INTERVAL_SECONDS = 0.04
# Longest time for which a started stream waits for an endpoint with room, and
# interval at which the choice is repeated where requests don't queue.
RESUME_WAIT_SECONDS = 1.3
RESUME_POLL_SECONDS = 0.05
MS_PER_SECOND = 1000.0


class Admitter:
    """Chooses where requests are sent; has them wait where ranks differ.

    Parameters
    ----------
    view : view.View
    selector : selecting.Selector
    metrics : metrics.Metrics

    Attributes
    ----------
    mode : str
        The setting `queueing`.
    lines : dict of str to waitingline.Line
        By service.
    """

    def __init__(self, view, selector, metrics):
        self.view = view
        self.selector = selector
        self.metrics = metrics
        self.clock = view.clock
        self.mode = 'auto'
        self.lock = threading.Lock()
        self.lines = {}
        self.numbers = itertools.count()
        self.is_closed = False

    def is_active(self, service):
        """Return whether requests to a service wait in order of rank.

        Parameters
        ----------
        service : routing.Service
        """
        if self.mode == 'off' or service.model is None:
            return False
        if self.mode == 'on':
            return True
        return self.view.snapshot.index.has_ranks(service.name)

    def choose(self, job):
        """Choose where a request is sent, when its turn comes.

        A request that another router has handed over doesn't wait.

        Returns
        -------
        selecting.Choice or None
            None if no endpoint was found for a request that doesn't queue,
            has been sent before, or continues a stream.  `Overloaded` would
            wrongly say of the latter two that they have not run.

        Raises
        ------
        Overloaded
        NotReady
            The router shuts down.
        CallerDisconnected
        """
        if job.relayed_by is not None or not self.is_active(job.service):
            return self._choose_without_queue(job)
        return self._choose_in_turn(job, self._make_ticket(job))

    def _choose_without_queue(self, job):
        choice = self.selector.choose(job, self.clock())
        if choice is None and job.exchange.headers_sent:
            return self._wait_for_choice(job)
        return choice

    def _wait_for_choice(self, job):
        """Wait for an endpoint with room for a started stream.

        Breaking the stream off would lose all of it.  Its caller waits two
        seconds for the next event, and capacity usually becomes free within
        one, as other streams end or layers are loaded.  The time does not
        count for which this process stands still, and so looks for none.
        """
        began = self.clock()
        while self._may_go_on(job, began):
            time.sleep(RESUME_POLL_SECONDS)
            _check_caller(job, 'while its stream waited for room')
            choice = self.selector.choose(job, self.clock())
            if choice is not None:
                return choice
        return None

    def _may_go_on(self, job, began):
        now = self.clock()
        waited = self.view.health.running_seconds(began, now)
        return now < job.deadline and waited < RESUME_WAIT_SECONDS

    def _make_ticket(self, job):
        now = self.clock()
        rank = job.rank
        wait_until = job.started + QUEUE_WAIT_SHARE * job.route.objective
        if job.exchange.headers_sent:
            rank = requestqueue.CONTINUING
            wait_until = now + RESUME_WAIT_SECONDS
        request = job.request
        cost = chains.tokens_needed(
            request.prompt_tokens, request.answer_tokens, request.answer_hint
        )
        # A retry is not charged to its account again.
        return admission.Ticket(
            id=str(next(self.numbers)),
            account=job.match.account,
            rank=rank,
            target=admission.Target(job.service.name),
            cost=0.0 if job.progress.tries else cost,
            deadline=job.deadline,
            arrived=now,
            wanted_by=min(job.deadline, wait_until),
        )

    def _line(self, service):
        line = self.lines.get(service)
        if line is None:
            with self.lock:
                line = self.lines.get(service)
                if line is None:
                    line = waitingline.make_line(self.view, service)
                    line.is_closed = self.is_closed
                    self.lines[service] = line
        return line

    def _choose_in_turn(self, job, ticket):
        line = self._line(job.service.name)
        waiter = waitingline.Waiter(job, ticket)
        line.join(waiter, ticket.arrived)
        if waiter.refusal is None:
            choice = self._wait_in(line, waiter)
            if choice is not None:
                return choice
        return self._refuse(job, waiter)

    def _wait_in(self, line, waiter):
        """Wait until a request is granted a chain, or refused."""
        end = 'caller_gone'
        try:
            choice = self._ask_in_turn(line, waiter)
            end = 'refused' if choice is None else 'granted'
            return choice
        finally:
            now = self.clock()
            line.leave(waiter, now)
            if waiter.has_waited:
                self._record_wait(waiter, now - waiter.ticket.arrived, end)

    def _ask_in_turn(self, line, waiter):
        is_woken = True
        while True:
            if not is_woken:
                line.check_time(waiter, self.clock())
            elif line.begin_ask(waiter, self.clock()):
                choice = self._ask(line, waiter)
                if choice is not None:
                    return choice
            if waiter.refusal is not None:
                return None
            _check_caller(waiter.job, 'while it waited for a chain')
            is_woken = self._pause(waiter)

    def _ask(self, line, waiter):
        choice = None
        try:
            choice = self.selector.choose(waiter.job, self.clock())
        finally:
            line.end_ask(waiter, choice is not None, self.clock())
        return choice

    def _pause(self, waiter):
        """Wait until there may be room, or the request's time is over.

        Returns
        -------
        bool
            Whether it may be its turn.
        """
        asks = waiter.asked_at > float('-inf')
        interval = ASK_INTERVAL_SECONDS if asks else CHECK_INTERVAL_SECONDS
        left = waiter.ticket.wanted_by - self.clock()
        if left > 0.0:
            interval = min(interval, left)
        is_woken = waiter.event.wait(interval)
        waiter.event.clear()
        return is_woken or asks

    def _record_wait(self, waiter, seconds, end):
        job = waiter.job
        job.waited += seconds
        self.metrics.time('queue_wait', seconds)
        logs.event(
            LOG,
            'queued',
            id=job.request.id,
            service=job.service.name,
            rank=job.rank_text,
            waited_ms=round(seconds * MS_PER_SECOND),
            continues=waiter.is_continuing,
            end=end,
        )

    def _refuse(self, job, waiter):
        """Raise the refusal of a request that has not been sent before.

        Return None for others: they may have run, which the refusal denies.
        """
        if waiter.is_continuing:
            return None
        self.metrics.count(f'queue_refused.{job.rank_text}')
        if waiter.refusal.retry_after is not None:
            job.return_at = self.clock() + waiter.refusal.retry_after
        if job.progress.tries or job.progress.may_have_run:
            return None
        refusal = waiter.refusal
        if refusal.reason == waitingline.ENDING:
            raise exceptions.NotReady(refusal.reason, refusal.retry_after)
        now = self.clock()
        facts = {}
        by_queue = self._time_until_return(job, now)
        if job.limited:
            facts['limited'] = sorted(job.limited)
        elif waiter.has_waited:
            facts['layers'] = self.selector.shortages(job, now)
        raise exceptions.Overloaded(
            refusal.reason,
            self._later_of(job, by_queue, now),
            **facts,
        )

    def retry_after(self, job, now):
        """Return the seconds after which a refused request may be served."""
        if not self.is_active(job.service):
            return self.selector.refuse(job, now)
        by_queue = self._time_until_return(job, now)
        if by_queue is None:
            line = self._line(job.service.name)
            by_queue = line.retry_after(job.rank, now)
            if by_queue is not None:
                job.return_at = now + by_queue
        return self._later_of(job, by_queue, now)

    def _time_until_return(self, job, now):
        """Return the time by the place a request has been given, or None."""
        if job.return_at is None:
            return None
        return max(0.0, job.return_at - now)

    def _later_of(self, job, by_queue, now):
        """Return the time by the queue, or by the endpoints' limits."""
        by_selector = self.selector.refuse(job, now)
        if by_queue is None:
            return by_selector
        if self.selector.are_all_limited(job):
            return max(by_queue, by_selector)
        return by_queue

    def wake(self, service):
        """Let the next request of a service ask for a chain.

        Parameters
        ----------
        service : str
        """
        line = self.lines.get(service)
        if line is not None:
            line.wake(self.clock())

    def wake_all(self):
        """Let the next request of each service ask for a chain."""
        for line in list(self.lines.values()):
            line.wake(self.clock())

    def close(self):
        """Refuse all waiting requests, since the router shuts down."""
        with self.lock:
            self.is_closed = True
            lines = list(self.lines.values())
        for line in lines:
            line.close(self.clock())


def _check_caller(job, when):
    if sockets.is_gone(job.exchange.socket):
        raise exchange_module.CallerDisconnected(when)


def make_admitter(view, selector, metrics):
    """Make an `Admitter`."""
    return Admitter(view, selector, metrics)
