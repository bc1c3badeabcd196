"""Requests of a service that wait at a router for a chain of engines.

A state machine; the clock and randomness are passed in.
"""

__all__ = ['CONTINUING', 'Refusal', 'RequestQueue', 'make_request_queue']

import itertools

from ibisring_policy import admission
from ibisring_policy.gateway import grantrate
from ibisring_policy.gateway import returntimes
from ibisring_policy.gateway import servedshares
import msgspec

# Rank of streams that continue after a loss: the empty tuple is less than
# the rank of any new request.
CONTINUING = ()
# Grants of which one may go to a request that is not the next in order, of the
# lowest waiting rank that is served too rarely: a number, not a fraction.
FLOOR_SHARE = 4
# The same for large requests that are refused too often: at 1, every grant may
# go to one.  Fewer don't keep their refusals below twice those of all.
LARGE_SHARE = 1
# For at most this many seconds, a stream that continues keeps new requests
# from asking for a chain.  One whose route allows few endpoints may wait for
# room that no other request could use.
CONTINUING_FIRST_SECONDS = 0.25
# Number of new requests that may ask for a chain between two wake-ups: each
# choice takes milliseconds.
MAX_ASKERS = 4
# For at most this many seconds after its first denial, a new request keeps
# those behind it from asking: smaller ones would take the room it waits for.
BLOCKING_SECONDS = 0.25
# A request may wait for its turn for at least this many seconds after it has
# joined; one that comes late, as retries do, could not ask even once.
MIN_TURN_SECONDS = 0.05
# The same for a retry: what its first attempt has cost would be lost.
RETRY_TURN_SECONDS = 0.25
# Requests of a rank and more urgent ones that may wait; each has a thread.
MAX_WAITING = 128
# All requests of a service that may wait, except streams that continue; a
# router has 1,200 threads for callers.
MAX_WAITING_IN_ALL = 256


class Refusal(msgspec.Struct):
    """Why a request may not wait; `retry_after` is None if unknown."""

    reason: str
    retry_after: float | None


class RequestQueue:
    """The waiting requests of one service; the caller holds a lock.

    The order is that of `admission.TargetQueue`: by rank, then by the
    accounts' fair share.  Only the requests that `askers` names ask for a
    chain, so that a large request that needs more room is not overtaken by
    smaller ones for a time.  A round lasts from one wake-up to the next;
    within it, a request asks after those before it were denied a chain.

    Parameters
    ----------
    draw : callable
        Returns random numbers from 0 up to but excluding 1.

    Attributes
    ----------
    arrivals : dict of str to servedshares.Arrival
        New requests by ticket id; retries are counted once only.
    floor_id : str or None
        Ticket that is served next for the sake of its rank or account.
    since_floor : int
        Grants since the last one out of order.
    denied : set of str
        Tickets that were denied a chain in this round.
    retries : set of str
        Tickets of requests that have been granted a chain before.
    blocks_until : dict of str to float
        By the ids of the tickets that were denied a chain: until when they
        keep those behind them from asking.
    """

    def __init__(self, draw):
        self.draw = draw
        self.queue = admission.make_queue()
        self.rate = grantrate.make_grant_rate()
        self.shares = servedshares.make_served_shares()
        self.returns = returntimes.make_return_times()
        self.arrivals = {}
        self.floor_id = None
        self.since_floor = 0
        self.denied = set()
        self.retries = set()
        self.blocks_until = {}

    def __len__(self):
        return len(self.queue)

    def __contains__(self, ticket_id):
        return ticket_id in self.queue.tickets

    def offer(self, ticket, now, is_new=True):
        """Add a request, or refuse it at once.

        Parameters
        ----------
        ticket : admission.Ticket
            `wanted_by` is the time until which it may wait.
        now : float
        is_new : bool
            Whether the request has not been granted a chain before.  A
            retry is not refused by prediction.

        Returns
        -------
        Refusal or None
            None if the request waits now.
        """
        if ticket.rank == CONTINUING:
            self.queue.add(ticket)
            return None
        arrival = None
        if is_new:
            arrival = self.shares.add(
                ticket.rank, ticket.account, ticket.cost, now
            )
        reason = self._find_full(ticket, is_new)
        if reason is None and is_new:
            reason = self._find_obstacle(ticket, arrival, now)
        if reason is not None:
            return self._refuse(ticket, arrival, reason, now)
        if arrival is not None:
            self.arrivals[ticket.id] = arrival
        if not is_new:
            self.retries.add(ticket.id)
        self.queue.add(ticket)
        return None

    def _find_full(self, ticket, is_new):
        is_full = len(self.queue) >= MAX_WAITING_IN_ALL
        if is_new and self._count_up_to(ticket.rank) >= MAX_WAITING:
            is_full = True
        return 'too many requests wait' if is_full else None

    def _find_obstacle(self, ticket, arrival, now):
        """Return why a request would not be served in time, or None."""
        # Without a shortage, the requests that wait are about to ask.
        if self.rate.short_since is None or self._has_floor(arrival, now):
            return None
        rate = self.rate.tokens(now)
        if rate is None:
            return None
        if now + self.queue.predicted_wait(ticket, rate) > ticket.wanted_by:
            return 'the wait would be too long'
        if self._is_late_before(ticket.rank, rate, now):
            return 'waiting requests would be served too late'
        return None

    def _count_up_to(self, rank):
        return sum(
            1 for each in self.queue.order.values() if each.rank <= rank
        )

    def _is_late_before(self, rank, rate, now):
        """Return whether a request up to a rank will not be served in time."""
        cost = 0.0
        for other in self.queue.order.values():
            if other.rank > rank:
                return False
            if now + cost / rate > other.wanted_by:
                return True
            cost += other.cost
        return False

    def _has_floor(self, arrival, now):
        """Return whether a request waits for the sake of its rank or account.

        One for each of them is enough.
        """
        if arrival is None:
            return False
        behind = self.shares.behind(arrival, now)
        waiting = set(
            itertools.chain.from_iterable(
                each.groups for each in self.arrivals.values()
            )
        )
        return any(group not in waiting for group in behind)

    def askers(self, now):
        """Return the ids of the requests that may ask for a chain, in order.

        Streams that continue are first.  The last one named has not asked
        in this round, or keeps those behind it from asking.
        """
        found = []
        new = 0
        for ticket in self._in_turn(now):
            found.append(ticket.id)
            new += ticket.rank != CONTINUING
            if new >= MAX_ASKERS or self._is_blocking(ticket, now):
                break
        return found

    def _in_turn(self, now):
        """Yield the waiting tickets in order, the floor's before new ones."""
        floor = None
        is_floor_due = True
        for ticket in self.queue.order.values():
            if ticket.rank != CONTINUING and is_floor_due:
                is_floor_due = False
                floor = self.queue.tickets.get(self._find_floor(now))
                if floor is not None:
                    yield floor
            if ticket is not floor:
                yield ticket

    def _is_blocking(self, ticket, now):
        if ticket.id not in self.denied:
            return True
        if ticket.rank == CONTINUING:
            return now - ticket.arrived < CONTINUING_FIRST_SECONDS
        return now < self.blocks_until[ticket.id]

    def begin_round(self):
        """Let the requests ask again in order, since there may be room."""
        self.denied.clear()

    def _find_floor(self, now):
        """Return the id of a request to be served out of order, or None.

        It stays the same until that request leaves the queue.
        """
        if self.floor_id is None and self.since_floor >= LARGE_SHARE - 1:
            behind = [
                each
                for each in self.queue.order.values()
                if each.id in self.arrivals
                and self._may_be_floor(self.arrivals[each.id], now)
            ]
            if behind:
                self.floor_id = max(behind, key=lambda each: each.rank).id
        return self.floor_id

    def _may_be_floor(self, arrival, now):
        behind = self.shares.behind(arrival, now)
        if self.since_floor >= FLOOR_SHARE - 1:
            return bool(behind)
        return servedshares.LARGE in behind

    def deny(self, ticket_id, now, is_restricted=False):
        """Record that a request that asked for a chain got none.

        Parameters
        ----------
        ticket_id : str
        now : float
        is_restricted : bool
            Whether it may use some endpoints only, so that others may have
            room for the requests behind it.
        """
        self.rate.begin_shortage(now)
        self.denied.add(ticket_id)
        if is_restricted:
            self.blocks_until[ticket_id] = now
        else:
            self.blocks_until.setdefault(ticket_id, now + BLOCKING_SECONDS)

    def grant(self, ticket_id, now):
        """Remove a request that has a chain, and return its ticket."""
        ticket = self.queue.grant(ticket_id)
        arrival = self.arrivals.pop(ticket_id, None)
        if arrival is not None:
            self.rate.note(ticket.cost, now)
            self.shares.serve(arrival)
        if ticket_id == self.floor_id:
            self.since_floor = 0
        elif ticket.rank != CONTINUING:
            self.since_floor += 1
        self._left(ticket_id, now)
        return ticket

    def withdraw(self, ticket_id, now):
        """Remove a request that no longer waits; None if it did not."""
        ticket = self.queue.withdraw(ticket_id)
        if ticket is not None:
            self.arrivals.pop(ticket_id, None)
            self._left(ticket_id, now)
        return ticket

    def _left(self, ticket_id, now):
        self.denied.discard(ticket_id)
        self.retries.discard(ticket_id)
        self.blocks_until.pop(ticket_id, None)
        if ticket_id == self.floor_id:
            self.floor_id = None
        if not self.queue.tickets:
            self.rate.end_shortage(now)

    def expire(self, now, but=None):
        """Remove the requests that may wait no longer.

        Parameters
        ----------
        now : float
        but : str or None
            Ticket that stays, since a chain is being chosen for it.

        Returns
        -------
        dict of str to Refusal
            By the ids of their tickets.
        """
        due = [
            each.id
            for each in self.queue.order.values()
            if each.id != but and self._is_due(each, now)
        ]
        return {name: self._expire_one(name, now) for name in due}

    def expire_one(self, ticket_id, now):
        """Remove a request if it may wait no longer.

        Returns
        -------
        Refusal or None
            None if it may still wait, or did not wait.
        """
        ticket = self.queue.tickets.get(ticket_id)
        if ticket is None or not self._is_due(ticket, now):
            return None
        return self._expire_one(ticket_id, now)

    def _is_due(self, ticket, now):
        """Return whether a request's time is over.

        One that has not asked yet has a short time to do so.
        """
        if now < ticket.wanted_by:
            return False
        if ticket.id in self.blocks_until:
            return True
        is_retry = ticket.id in self.retries
        turn = RETRY_TURN_SECONDS if is_retry else MIN_TURN_SECONDS
        return now >= ticket.arrived + turn

    def _expire_one(self, ticket_id, now):
        arrival = self.arrivals.get(ticket_id)
        ticket = self.withdraw(ticket_id, now)
        return self._refuse(ticket, arrival, 'no endpoint has room', now)

    def _refuse(self, ticket, arrival, reason, now):
        if arrival is not None:
            self.shares.refuse(arrival)
        return Refusal(reason, self.retry_after(ticket.rank, now))

    def retry_after(self, rank, now):
        """Return when a refused caller may return; None if unknown."""
        rate = self.rate.requests(now)
        if rate is None or rank == CONTINUING:
            return None
        ranks = self.shares.ranks()
        lower = sum(1 for each in ranks if each < rank)
        return self.returns.assign(
            rank,
            self._count_up_to(rank),
            rate,
            self.shares.urgent_rate(rank, now),
            lower / max(1, len(ranks) - 1),
            now,
            self.draw(),
        )

    def change_rank(self, ticket_id, rank):
        """Move a waiting request to another rank."""
        ticket = self.queue.tickets.get(ticket_id)
        if ticket is not None and ticket.rank not in (CONTINUING, rank):
            self.queue.change_rank(ticket_id, rank)


def make_request_queue(draw):
    """Make an empty `RequestQueue`."""
    return RequestQueue(draw)
