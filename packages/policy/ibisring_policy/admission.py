"""Queue of requests for one model version or service.

Priority classes are served strictly by rank, accounts within a class fairly.
"""

__all__ = ['Ticket', 'Target', 'TargetQueue', 'make_queue']

import math

import msgspec
import sortedcontainers

MAX_WAITING = 2000


class Target(msgspec.Struct, frozen=True):
    """Destination of a request: a plain service, or a model version."""

    service: str = ''
    model: str = ''
    version: str = ''
    adapter: str = ''

    def pool(self):
        """Return the pool's name: the service or 'model@version'."""
        return self.service or f'{self.model}@{self.version}'


class Ticket(msgspec.Struct):
    """A request to be sent to an endpoint or a chain of endpoints.

    `rank` is a number or a tuple, smaller first; all tickets of a queue have
    ranks of one kind.
    `cost` is in tokens (1 for a service call); `deadline`, `arrived` and
    `wanted_by` are in seconds of the router's clock; `avoid` names the
    endpoints where the request has failed.  `wanted_by` is the time that
    the service-level objectives set, often long before the deadline.
    """

    id: str
    account: str
    rank: int | tuple
    target: Target
    cost: float
    deadline: float
    arrived: float
    weight: float = 1.0
    avoid: frozenset[str] = frozenset()
    wanted_by: float = math.inf
    start_tag: float = 0.0


class TargetQueue:
    """Waiting tickets of one target.

    Notes
    -----
    Classes are served strictly by rank; the dispatcher's reserved share
    keeps slots free for the urgent ones.  Within a class the queue uses
    start-time fair queueing in tokens [1]_: the backlog of a large account
    advances only that account's tags, so the next request of a small
    account is served before it.

    References
    ----------
    .. [1] P. Goyal, H. Vin, H. Cheng, "Start-time fair queuing: a
       scheduling algorithm for integrated services packet switching
       networks", IEEE/ACM Transactions on Networking 5(5), 1997.
    """

    def __init__(self, max_waiting):
        self.max_waiting = max_waiting
        self.tickets = {}
        self.order = sortedcontainers.SortedDict()
        self.virtual_time = {}
        self.finish_tags = {}
        self.waiting_cost = sortedcontainers.SortedDict()

    def __len__(self):
        return len(self.tickets)

    def is_full(self):
        """Return whether the queue accepts no further ticket."""
        return len(self.tickets) >= self.max_waiting

    def add(self, ticket):
        """Add a ticket and set its start tag."""
        rank = ticket.rank
        account = (rank, ticket.account)
        clock = self.virtual_time.get(rank, 0.0)
        start = max(clock, self.finish_tags.get(account, 0.0))
        self.finish_tags[account] = start + ticket.cost / ticket.weight
        ticket.start_tag = start
        self.tickets[ticket.id] = ticket
        self.order[self._sort_key(ticket)] = ticket
        waiting = self.waiting_cost.get(rank, 0.0)
        self.waiting_cost[rank] = waiting + ticket.cost

    def _sort_key(self, ticket):
        return (ticket.rank, ticket.start_tag, ticket.arrived, ticket.id)

    def remove(self, ticket_id):
        """Remove and return a ticket; None if it is not queued."""
        ticket = self.tickets.pop(ticket_id, None)
        if ticket is None:
            return None
        del self.order[self._sort_key(ticket)]
        self.waiting_cost[ticket.rank] -= ticket.cost
        if not self.tickets:
            self._reset_tags()
        return ticket

    def withdraw(self, ticket_id):
        """Remove a ticket that is not served; None if it is not queued.

        Its account gets back what the ticket added to its tags.  An account
        whose requests often expire would otherwise fall behind accounts that
        were served.
        """
        ticket = self.remove(ticket_id)
        if ticket is None or not self.tickets:
            return ticket
        account = (ticket.rank, ticket.account)
        refund = ticket.cost / ticket.weight
        self.finish_tags[account] -= refund
        for other in self.in_order():
            if (
                other.rank,
                other.account,
            ) == account and other.start_tag > ticket.start_tag:
                del self.order[self._sort_key(other)]
                other.start_tag -= refund
                self.order[self._sort_key(other)] = other
        return ticket

    def change_rank(self, ticket_id, rank):
        """Move a waiting ticket to another class."""
        ticket = self.withdraw(ticket_id)
        ticket.rank = rank
        self.add(ticket)

    def _reset_tags(self):
        # Tags are relative to one another, so an empty queue can drop them.
        self.virtual_time.clear()
        self.finish_tags.clear()
        self.waiting_cost.clear()

    def grant(self, ticket_id):
        """Remove a ticket to serve it, advancing its class's virtual time."""
        ticket = self.tickets[ticket_id]
        clock = self.virtual_time.get(ticket.rank, 0.0)
        self.virtual_time[ticket.rank] = max(clock, ticket.start_tag)
        return self.remove(ticket_id)

    def peek(self, index):
        """Return the waiting ticket at a position, 0 being the next one."""
        return self.order.peekitem(index)[1]

    def in_order(self):
        """Return the waiting tickets in the order of service."""
        return list(self.order.values())

    def cost_before(self, rank):
        """Return the waiting cost of all classes more urgent than a rank."""
        return sum(
            cost for other, cost in self.waiting_cost.items() if other < rank
        )

    def predicted_wait(self, ticket, rate):
        """Predict the seconds until a new ticket would be served.

        Parameters
        ----------
        ticket : Ticket
            Not yet added.
        rate : float
            Tokens per second that the target processes.

        Returns
        -------
        float
        """
        if not self.tickets:
            return 0.0
        if rate <= 0.0:
            return math.inf
        urgent = self.cost_before(ticket.rank)
        start = self._next_start(ticket)
        same = sum(
            other.cost
            for other in self.order.values()
            if other.rank == ticket.rank and other.start_tag <= start
        )
        return (urgent + same) / rate

    def _next_start(self, ticket):
        clock = self.virtual_time.get(ticket.rank, 0.0)
        account = (ticket.rank, ticket.account)
        return max(clock, self.finish_tags.get(account, 0.0))


def make_queue(max_waiting=MAX_WAITING):
    """Make the queue of one target."""
    return TargetQueue(max_waiting)
