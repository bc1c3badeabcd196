"""The threads of a service's requests that wait for a chain of engines."""

__all__ = ['Waiter', 'Line', 'make_line']

import random
import threading

from ibisring_policy.gateway import requestqueue

# Shortest time between two choices for the same request: gossip may bring
# reports of the load a hundred times a second, and a choice takes
# milliseconds.
MIN_ASK_INTERVAL_SECONDS = 0.005
# Stall of this process in which requests missed several turns to ask.
LONG_STALL_SECONDS = 0.1
# The reason of refusals by a router that shuts down.
ENDING = 'this router is ending'
# A refused caller may try another router at once.
ENDING_RETRY_SECONDS = 0.0


class Waiter:
    """A request in a line, and the event that wakes its thread.

    Attributes
    ----------
    refusal : requestqueue.Refusal or None
        Set when the request may wait no longer.
    asked_at : float
        When a chain was last chosen for it.
    has_waited : bool
        Whether it had to wait since no chain was found, for it or for a
        request before it.
    """

    __slots__ = (
        'job',
        'ticket',
        'event',
        'refusal',
        'asked_at',
        'has_waited',
    )

    def __init__(self, job, ticket):
        self.job = job
        self.ticket = ticket
        self.event = threading.Event()
        self.refusal = None
        self.asked_at = float('-inf')
        self.has_waited = False

    @property
    def is_restricted(self):
        """Whether it may use only some endpoints of its service."""
        job = self.job
        progress = job.progress
        return bool(job.limited) or (
            bool(job.sent_to) and progress.sent_to >= progress.max_endpoints
        )

    def may_ask(self, now, health):
        """Return whether it may ask for a chain, by its own times.

        It may until `wanted_by`, unless it has asked within the last
        `MIN_ASK_INTERVAL_SECONDS`; one that has never asked always may, and
        one whose time passed while this process stood still may once more.

        Parameters
        ----------
        now : float
        health : localhealth.LocalHealth
        """
        if self.asked_at == float('-inf'):
            return True
        if now >= self.ticket.wanted_by:
            if now >= self.ticket.deadline:
                return False
            return health.lateness(self.asked_at, now) >= LONG_STALL_SECONDS
        return now - self.asked_at >= MIN_ASK_INTERVAL_SECONDS

    @property
    def is_continuing(self):
        """Whether it is a stream that continues after a loss."""
        return self.ticket.rank == requestqueue.CONTINUING


class Line:
    """The waiting requests of a service, and who asks for a chain.

    One request asks at a time, so that chains are granted in order.

    Parameters
    ----------
    view : view.View
    service : str

    Attributes
    ----------
    asking : str or None
        Ticket of the request for which a chain is being chosen.
    index : routetable.Index or None
        Table by which the waiting requests are ranked.
    """

    def __init__(self, view, service):
        self.view = view
        self.service = service
        self.lock = threading.Lock()
        self.queue = requestqueue.make_request_queue(random.Random().random)
        self.waiters = {}
        self.asking = None
        self.index = None
        self.is_closed = False

    def join(self, waiter, now):
        """Add a request; it is refused if its `refusal` is set."""
        job = waiter.job
        with self.lock:
            self._refresh_ranks(now)
            job.rank = self._rank(job)
            if not waiter.is_continuing:
                waiter.ticket.rank = job.rank
            is_new = not job.progress.tries
            waiter.refusal = self.queue.offer(waiter.ticket, now, is_new)
            if waiter.refusal is None:
                self.waiters[waiter.ticket.id] = waiter

    def begin_ask(self, waiter, now):
        """Return whether to choose a chain for a request now.

        The caller calls `end_ask` afterwards if so.
        """
        name = waiter.ticket.id
        with self.lock:
            self._refresh_ranks(now)
            if self.asking is None and name in self.queue:
                if waiter.may_ask(now, self.view.health) and self._is_turn_of(
                    name, now
                ):
                    self.asking = name
                    waiter.asked_at = now
                    return True
                self._expire_in_turn(name, now)
                self._wake(now, name)
            self._check_time(waiter, now)
            if self.queue.rate.short_since is not None:
                waiter.has_waited = True
        return False

    def _is_turn_of(self, name, now):
        """Return whether a request is the next to ask.

        The first in order begins a round when it asks again.
        """
        askers = self.queue.askers(now)
        if askers[:1] == [name]:
            self.queue.begin_round()
            return True
        return name in askers and name not in self.queue.denied

    def check_time(self, waiter, now):
        """Refuse a request whose time is over, without looking at others."""
        with self.lock:
            self._check_time(waiter, now)

    def _check_time(self, waiter, now):
        name = waiter.ticket.id
        if name != self.asking:
            refusal = self.queue.expire_one(name, now)
            if refusal is not None:
                waiter.refusal = refusal
                self._wake(now, name)

    def end_ask(self, waiter, is_granted, now):
        """Record whether a chain was chosen for a request."""
        name = waiter.ticket.id
        with self.lock:
            self.asking = None
            if name in self.queue:
                if is_granted:
                    self.queue.grant(name, now)
                else:
                    self.queue.deny(name, now, waiter.is_restricted)
                    if self.is_closed:
                        self._turn_away(waiter, now)
                    waiter.has_waited = waiter.refusal is None
            self._wake(now, name)

    def leave(self, waiter, now):
        """Remove a request that is served, refused or no longer wanted."""
        with self.lock:
            self.queue.withdraw(waiter.ticket.id, now)
            self.waiters.pop(waiter.ticket.id, None)
            self._wake(now)

    def wake(self, now):
        """Let the next request ask, since there may be room now."""
        if self.waiters:
            with self.lock:
                self.queue.begin_round()
                self._wake(now)

    def _wake(self, now, but=None):
        for name in self.queue.askers(now):
            if name != but and name not in self.queue.denied:
                self.waiters[name].event.set()

    def close(self, now):
        """Refuse all waiting requests that have not begun.

        Later ones may ask for a chain, but don't wait.
        """
        with self.lock:
            self.is_closed = True
            for waiter in list(self.waiters.values()):
                if waiter.refusal is None:
                    self._turn_away(waiter, now)

    def _turn_away(self, waiter, now):
        if not waiter.is_continuing:
            self.queue.withdraw(waiter.ticket.id, now)
            waiter.refusal = requestqueue.Refusal(ENDING, ENDING_RETRY_SECONDS)
            waiter.event.set()

    def _expire_in_turn(self, name, now):
        """Refuse all whose time is over, if a request is first in order."""
        if self.queue.askers(now)[0] != name:
            return
        for due, refusal in self.queue.expire(now, self.asking).items():
            self.waiters[due].refusal = refusal
            self.waiters[due].event.set()

    def _rank(self, job):
        return self.index.rank(job.route, job.match.account, self.service)

    def _refresh_ranks(self, now):
        """Rank the waiting requests by the table in force."""
        index = self.view.snapshot.index
        if index is self.index:
            return
        self.index = index
        for name, waiter in self.waiters.items():
            waiter.job.rank = self._rank(waiter.job)
            self.queue.change_rank(name, waiter.job.rank)
        self._wake(now)

    def retry_after(self, rank, now):
        """Return when a refused caller may return; None if unknown."""
        with self.lock:
            return self.queue.retry_after(rank, now)


def make_line(view, service):
    """Make the empty `Line` of a service."""
    return Line(view, service)
