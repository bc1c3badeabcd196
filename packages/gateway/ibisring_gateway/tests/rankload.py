"""Simulation of routers with requests of several ranks, in virtual time.

The choice of chains, the shares, and when and to whom gossip is sent are the
product's; engines accept every request and callers do not come again.
"""

__all__ = ['Fleet', 'RANKS_BY_COUNT', 'CAPACITY_REQUESTS']

import collections
import heapq
import math
import random
import types

from ibisring_gateway import attemptwatching
from ibisring_gateway import selecting
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import gossipschedule
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing

SERVICE = 'model'
DOMAINS = 'abc'
REQUEST_TOKENS = 824.0
# Two engines of 40 layers in each domain: requests that fill all engines.
CAPACITY_REQUESTS = 3 * int(2000.0 / 0.1 * 80 / 40 / REQUEST_TOKENS)
MIN_SECONDS, MAX_SECONDS = 2.0, 5.0
MEAN_SECONDS = 3.5
# Requests of each rank as a share of all.
RANKS_BY_COUNT = {
    1: {(0, 1): 1.0},
    2: {(0, 0): 0.3, (0, 1): 0.7},
    3: {(0, 0): 0.2, (0, 1): 0.3, (0, 2): 0.5},
}
# The most urgent rank comes by this factor more and less often in turn.
BURST = 0.3
BURST_SECONDS = 2.0
# Every third router gets this many times the requests of the others.
UNEVEN = 8.0
STEP_SECONDS = 0.05


def _table():
    routes = [
        build.route(
            name=f'r{n}',
            prefix=f'/{n}/',
            priority=n,
            targets=(routing.Target(SERVICE, 1.0),),
        )
        for n in range(3)
    ]
    model = build.model(token_mb=0.1, slots=96)
    return routing.RoutingTable(
        version=1,
        routes=tuple(routes),
        services=(routing.Service(SERVICE, 1000, model),),
    )


class _Router:
    """The parts of a router that choose chains and tell of their use."""

    def __init__(self, fleet, number, is_older):
        self.name = f'r{number}'
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.is_older = is_older
        self.view = builders.make_view(fleet.engines, fleet.table)
        self.view.domain = self.domain
        self.view.clock = fleet.clock
        shares = self.view.rank_shares
        shares.is_enabled = not is_older
        shares.set_ranked(self.view.snapshot.index.ranked_services)
        self.selector = selecting.make_selector(self.view)
        self.selector.rng = random.Random(fleet.rng.random())
        self.schedule = gossipschedule.make_send_schedule()
        self.rotation = gossipschedule.make_peer_rotation(fleet.rng)

    def receive(self, sender, tokens, rank_use, now):
        """Apply what another router sent, as `gossipreceiving` does."""
        self.view.estimates.merge_gossip(sender, tokens, [], now)
        unranked = {} if rank_use else {SERVICE: sum(tokens.values())}
        self.view.rank_shares.receive(sender, rank_use, unranked, now)


class Fleet:
    """Routers, engines and requests.

    Parameters
    ----------
    routers, ranks : int
    load : float
        Offered load as a multiple of the capacity.
    silent : (float, float)
        When gossip is silent.
    older : float
        Share of the routers that are of an older release.

    Attributes
    ----------
    offered, served : collections.Counter
        Requests by rank since the last `clear`.
    highest_use : float
        Highest share of the capacity in use since then.
    """

    def __init__(self, routers, ranks, load, silent=(0.0, 0.0), older=0.0):
        self.rng = random.Random(7 * routers + ranks)
        self.clock = builders.Clock()
        self.started_at = self.clock.now
        self.mix = RANKS_BY_COUNT[ranks]
        self.load = load
        self.silent = silent
        self.table = _table()
        self.engines = [
            build.held_endpoint(f'{d}{n}', 40 * n, 40 * n + 40, d, 'big')
            for d in DOMAINS
            for n in range(2)
        ]
        self.older = older
        self.size = routers
        self.restart()
        self.weights = [1.0 if n % 3 else UNEVEN for n in range(routers)]
        self.capacity = self._capacity()
        self.next_gossip = 0.0
        self.clear()

    def restart(self):
        """Start all routers anew; running requests are lost."""
        count = round(self.size * self.older)
        self.routers = [_Router(self, n, n < count) for n in range(self.size)]
        self.running = []

    def clear(self):
        """Start counting anew."""
        self.offered = collections.Counter()
        self.served = collections.Counter()
        self.highest_use = 0.0

    def _capacity(self):
        model = self.table.services[0].model
        holders = self.routers[0].view.estimates.holders(
            self.engines, model, self.clock.now
        )
        return sum(each.capacity for each in holders)

    @property
    def elapsed(self):
        """Seconds since the start."""
        return self.clock.now - self.started_at

    def run(self, until):
        """Run until some seconds after the start."""
        while self.elapsed < until:
            self.clock.now += STEP_SECONDS
            self._end_requests()
            if self.elapsed >= self.next_gossip:
                self.next_gossip = self.elapsed + gossipschedule.CHECK_SECONDS
                self._send_gossip()
            self._begin_requests()
            self.highest_use = max(self.highest_use, self.use())

    def use(self):
        """Return the share of the capacity in use."""
        used = sum(
            sum(router.view.estimates.own_tokens().values())
            for router in self.routers
        )
        return used / self.capacity

    def served_share(self, rank):
        """Return the share of the requests of a rank that were served."""
        return self.served[rank] / max(1, self.offered[rank])

    def served_use(self, rank, seconds):
        """Return the capacity that the served requests of a rank used."""
        requests = self.served[rank] * MEAN_SECONDS / seconds
        return requests / CAPACITY_REQUESTS

    def _end_requests(self):
        while self.running and self.running[0][0] <= self.clock.now:
            _, _, router, attempt = heapq.heappop(self.running)
            router.selector.release(attempt)

    def _begin_requests(self):
        rate = self.load * CAPACITY_REQUESTS / MEAN_SECONDS
        is_burst = self.elapsed % (2 * BURST_SECONDS) < BURST_SECONDS
        for rank, part in self.mix.items():
            mean = rate * part * STEP_SECONDS
            if rank == (0, 0):
                mean *= 1.0 + (BURST if is_burst else -BURST)
            count = int(mean) + (self.rng.random() < mean % 1.0)
            for _ in range(count):
                self._begin(rank)

    def _begin(self, rank):
        router = self.rng.choices(self.routers, self.weights)[0]
        self.offered[rank] += 1
        choice = router.selector.choose(
            self._job(router, rank), self.clock.now
        )
        if choice is None:
            return
        self.served[rank] += 1
        attempt = attemptwatching.Attempt(
            'request', choice.endpoint, choice.stages, math.inf
        )
        attempt.tokens = choice.tokens
        attempt.rank = rank
        attempt.sent_at = self.clock.now
        router.selector.reserve(attempt)
        ends_at = self.clock.now + self.rng.uniform(MIN_SECONDS, MAX_SECONDS)
        heapq.heappush(
            self.running, (ends_at, self.rng.random(), router, attempt)
        )

    def _job(self, router, rank):
        route = self.table.routes[rank[1]]
        return types.SimpleNamespace(
            digest=b'12345678',
            deadline=self.clock.now + 10.0,
            is_suspect=False,
            avoid=set(),
            limited=set(),
            sent_to=[],
            service=self.table.services[0],
            route=route,
            rank=rank,
            exchange=types.SimpleNamespace(headers_sent=False),
            match=types.SimpleNamespace(priority=rank[1], account='acme'),
            progress=types.SimpleNamespace(
                sent_to=0, max_endpoints=2, delivering=False
            ),
            transfer=None,
            blocked_by=None,
            request=types.SimpleNamespace(
                prompt_tokens=772,
                answer_tokens=174,
                answer_hint=None,
                after_event=None,
            ),
        )

    def _send_gossip(self):
        now = self.clock.now
        reach = min(1.0, gossipschedule.MAX_BROADCAST_PEERS / self.size)
        by_name = {router.name: router for router in self.routers}
        for router in self.routers:
            shares = router.view.rank_shares
            shares.note_routers(self.size, now)
            max_used = router.view.estimates.max_memory_use
            is_due = router.schedule.is_due(now, None, max_used, reach)
            if not is_due or self.silent[0] <= self.elapsed < self.silent[1]:
                continue
            tokens = router.view.estimates.own_tokens()
            tokens = {name: int(each) for name, each in tokens.items()}
            rank_use = shares.use_to_send()
            for name in self._receivers(router, tokens):
                by_name[name].receive(router.name, tokens, rank_use, now)

    def _receivers(self, router, tokens):
        others = [each for each in self.routers if each is not router]
        near = [e.name for e in others if e.domain == router.domain]
        far = [e.name for e in others if e.domain != router.domain]
        used = {name[0] for name in tokens}
        busy = [e.name for e in others if e.domain in used - {router.domain}]
        return router.rotation.choose(near, far, busy=busy)
