"""Simulates the requests of a service that wait at one router.

Time is virtual.  Requests occupy room for tokens until they end; refused ones
don't come back.
"""

__all__ = ['Kind', 'Outcome', 'simulate']

import collections
import heapq
import itertools
import random

from ibisring_policy import admission
from ibisring_policy.gateway import requestqueue
import msgspec

ROOM_TOKENS = 40.0
HOLD_SECONDS = 2.0
BOUND_SECONDS = 0.25


class Kind(msgspec.Struct, frozen=True):
    """Requests of a rank and account; `share` is that of all requests."""

    rank: tuple
    account: str
    share: float
    cost: float = 1.0


class Outcome(msgspec.Struct):
    """Requests by kind, and the longest wait of any of them."""

    came: collections.Counter
    served: collections.Counter
    returns: dict
    longest_wait: float = 0.0

    def share(self, select=lambda kind: True):
        """Return the served share of the requests of some kinds."""
        kinds = [kind for kind in self.came if select(kind)]
        came = sum(self.came[kind] for kind in kinds)
        return sum(self.served[kind] for kind in kinds) / came


class _Site:
    def __init__(self, rng, hold_seconds):
        self.rng = rng
        self.hold_seconds = hold_seconds
        self.queue = requestqueue.make_request_queue(rng.random)
        self.kinds = {}
        self.free = ROOM_TOKENS
        self.ends = []
        self.outcome = Outcome(
            collections.Counter(),
            collections.Counter(),
            collections.defaultdict(list),
        )

    def arrive(self, name, kind, now):
        ticket = admission.Ticket(
            name,
            kind.account,
            kind.rank,
            admission.Target('model'),
            kind.cost,
            now + 10.0,
            now,
            wanted_by=now + BOUND_SECONDS,
        )
        self.outcome.came[kind] += 1
        self.kinds[name] = kind
        refusal = self.queue.offer(ticket, now)
        if refusal is not None:
            self.refused(name, refusal)
        self.ask(now)

    def refused(self, name, refusal):
        if refusal.retry_after is not None:
            kind = self.kinds[name]
            self.outcome.returns[kind.rank].append(refusal.retry_after)

    def ask(self, now):
        while len(self.queue):
            names = self.queue.askers(now)
            asker = [each for each in names if each not in self.queue.denied]
            if not asker:
                return
            name = asker[0]
            cost = self.kinds[name].cost
            if cost > self.free:
                self.queue.deny(name, now)
                continue
            ticket = self.queue.grant(name, now)
            self.free -= cost
            hold = self.hold_seconds * self.rng.uniform(0.5, 1.5)
            heapq.heappush(self.ends, (now + hold, cost))
            self.outcome.served[self.kinds[name]] += 1
            waited = now - ticket.arrived
            self.outcome.longest_wait = max(self.outcome.longest_wait, waited)

    def run_until(self, now):
        """End requests, and refuse those that have waited for too long."""
        while self.ends and self.ends[0][0] <= now:
            at, cost = heapq.heappop(self.ends)
            self.expire(at)
            self.free += cost
            self.queue.begin_round()
            self.ask(at)
        self.expire(now)

    def expire(self, now):
        for name, refusal in self.queue.expire(now).items():
            self.refused(name, refusal)
        self.ask(now)


def simulate(kinds, load, seconds=60.0, seed=1, hold_seconds=HOLD_SECONDS):
    """Simulate a load as a multiple of what can be served.

    Returns
    -------
    Outcome
    """
    rng = random.Random(seed)
    site = _Site(rng, hold_seconds)
    mean_cost = sum(kind.share * kind.cost for kind in kinds)
    rate = load * ROOM_TOKENS / hold_seconds / mean_cost
    now = 0.0
    for number in itertools.count():
        now += rng.expovariate(rate)
        if now > seconds:
            return site.outcome
        site.run_until(now)
        kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
        site.arrive(str(number), kind, now)
