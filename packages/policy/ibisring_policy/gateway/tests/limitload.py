"""Simulates routers that send to one endpoint with a rate limit.

Each router decides by its own `ratelimits.Limits` and sends updates to some of
the others: to those of its failure domain in turn, to a few of other domains.
"""

__all__ = ['Site', 'Outcome', 'simulate', 'max_in_window']

import heapq
import itertools
import random

from ibisring_policy.gateway import ratelimits
import msgspec

NAME = 'e1'
UPDATE_INTERVAL_SECONDS = 0.25
FAR_PEERS_PER_UPDATE = 2
# Updates in which each router of the own failure domain is reached once.
ROTATION_UPDATES = 3
# A router with fewer peers than this sends each update to all of them.
SMALL_FLEET = 7
# Average number of routers that send unchanged limits to another one.
OLD_UPDATE_SENDERS = 3.0


class Site(msgspec.Struct, frozen=True):
    """`demand` is requests a second of each router; times are in seconds.

    Only routers of the first `demanding` failure domains have demand for the
    endpoint.  `late` routers get no requests before `late_at`; `frozen` ones
    are suspended for two seconds from then on.
    """

    routers: int = 6
    domains: int = 3
    demanding: int = 3
    rate: float = 1.0
    demand: float = 5.0
    seconds: float = 25.0
    loss: float = 0.3
    late: int = 0
    late_at: float = 10.0
    frozen: int = 0


class Outcome(msgspec.Struct):
    """`sent` are the times of all requests, `by_router` those by router."""

    sent: list[float]
    by_router: dict[int, list[float]]


def max_in_window(times, seconds, since):
    """Return the largest number of times, from `since` on, in a window."""
    times = sorted(at for at in times if at >= since)
    largest, first = 0, 0
    for last, at in enumerate(times):
        while times[first] < at - seconds:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


class _Simulation:
    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.domain = [f'd{n % site.domains}' for n in range(site.routers)]
        self.limits = [
            ratelimits.make_limits(f'r{n}', self.domain[n])
            for n in range(site.routers)
        ]
        self.outcome = Outcome([], {})
        self.queue = []
        self.numbers = itertools.count()
        self.updates_sent = [0] * site.routers

    def schedule(self, when, action, *args):
        heapq.heappush(self.queue, (when, next(self.numbers), action, args))

    def run(self):
        site = self.site
        for router in range(site.routers):
            self.schedule(
                self.rng.random() * UPDATE_INTERVAL_SECONDS,
                self.send_updates,
                router,
            )
            if int(self.domain[router][1:]) < site.demanding:
                is_late = router < site.late
                start = site.late_at if is_late else 0.0
                self.schedule(start + self.draw_gap(), self.send, router)
        while self.queue and self.queue[0][0] < site.seconds:
            when, _, action, args = heapq.heappop(self.queue)
            action(when, *args)
        return self.outcome

    def draw_gap(self):
        return self.rng.expovariate(self.site.demand)

    def is_frozen(self, router, now):
        site = self.site
        elapsed = now - site.late_at
        return router < site.frozen and 0.0 <= elapsed < 2.0

    def send(self, now, router):
        self.schedule(now + self.draw_gap(), self.send, router)
        if self.is_frozen(router, now):
            return
        limits = self.limits[router]
        if limits.acquire(NAME, now, 0.0) is None:
            return
        self.outcome.sent.append(now)
        self.outcome.by_router.setdefault(router, []).append(now)
        self.schedule(now + 0.02, self.answer, router, now)

    def answer(self, now, router, sent_at):
        self.limits[router].record_rate(NAME, 1, self.site.rate, sent_at, now)

    def send_updates(self, now, router):
        self.schedule(now + UPDATE_INTERVAL_SECONDS, self.send_updates, router)
        if self.is_frozen(router, now):
            return
        self.updates_sent[router] += 1
        others = self.choose_peers(router)
        old_share = min(1.0, OLD_UPDATE_SENDERS / len(others))
        updates = self.limits[router].updates_to_send(now, self.rng, old_share)
        for other in others:
            if updates and self.rng.random() > self.site.loss:
                delay = 0.005 + 0.02 * self.rng.random()
                self.schedule(
                    now + delay, self.receive_updates, other, router, updates
                )

    def choose_peers(self, router):
        others = [n for n in range(self.site.routers) if n != router]
        if len(others) < SMALL_FLEET:
            return others
        own = self.domain[router]
        near = [n for n in others if self.domain[n] == own]
        far = [n for n in others if self.domain[n] != own]
        part = self.updates_sent[router] % ROTATION_UPDATES
        return near[part::ROTATION_UPDATES] + self.rng.sample(
            far, FAR_PEERS_PER_UPDATE
        )

    def receive_updates(self, now, router, sender, updates):
        if self.is_frozen(router, now):
            return
        self.limits[router].receive_updates(
            f'r{sender}', self.domain[sender], updates, now, {NAME: 1}
        )


def simulate(site, seed):
    """Simulate the load of a site.

    Returns
    -------
    Outcome
    """
    return _Simulation(site, seed).run()
