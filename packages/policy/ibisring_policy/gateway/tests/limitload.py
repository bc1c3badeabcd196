"""Routers that send to one endpoint with a limit, without a network.

Each decides by its own `ratelimits.Limits` and tells some of the others what
it knows, as routers do: those of its failure domain in turn, a few beyond.
"""

__all__ = ['Site', 'Outcome', 'play', 'max_in_window']

import heapq
import itertools
import random

from ibisring_policy.gateway import ratelimits
import msgspec

NAME = 'e1'
TICK = 0.25
FAR_AT_ONCE = 2
# Ticks in which each router of the own failure domain is told once.
ROUND = 3
SMALL = 7
# Routers that tell another one what is old, each time.
TELLERS = 3.0


class Site(msgspec.Struct, frozen=True):
    """`demand` is requests a second of each router; times are in seconds.

    Only routers of the first `wanting` failure domains want the endpoint.
    `late` routers get no requests before `late_at`; `frozen` ones stand still
    from then for two seconds.
    """

    routers: int = 6
    domains: int = 3
    wanting: int = 3
    rate: float = 1.0
    demand: float = 5.0
    seconds: float = 25.0
    loss: float = 0.3
    late: int = 0
    late_at: float = 10.0
    frozen: int = 0


class Outcome(msgspec.Struct):
    """`sent` are the times of all sendings, by router in `by_router`."""

    sent: list[float]
    by_router: dict[int, list[float]]


def max_in_window(times, seconds, since):
    """Give the most of some times that lie within a window."""
    times = sorted(at for at in times if at >= since)
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] < at - seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


class _Play:
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
        self.ticks = [0] * site.routers

    def at(self, when, action, *args):
        heapq.heappush(self.queue, (when, next(self.numbers), action, args))

    def run(self):
        site = self.site
        for router in range(site.routers):
            self.at(self.rng.random() * TICK, self.tell, router)
            if int(self.domain[router][1:]) < site.wanting:
                is_late = router < site.late
                begins = site.late_at if is_late else 0.0
                self.at(begins + self.gap(), self.ask, router)
        while self.queue and self.queue[0][0] < site.seconds:
            when, _, action, args = heapq.heappop(self.queue)
            action(when, *args)
        return self.outcome

    def gap(self):
        return self.rng.expovariate(self.site.demand)

    def is_frozen(self, router, now):
        site = self.site
        passed = now - site.late_at
        return router < site.frozen and 0.0 <= passed < 2.0

    def ask(self, now, router):
        self.at(now + self.gap(), self.ask, router)
        if self.is_frozen(router, now):
            return
        limits = self.limits[router]
        if limits.acquire(NAME, now, 0.0) is None:
            return
        self.outcome.sent.append(now)
        self.outcome.by_router.setdefault(router, []).append(now)
        self.at(now + 0.02, self.answer, router, now)

    def answer(self, now, router, sent_at):
        self.limits[router].record_rate(NAME, 1, self.site.rate, sent_at, now)

    def tell(self, now, router):
        self.at(now + TICK, self.tell, router)
        if self.is_frozen(router, now):
            return
        self.ticks[router] += 1
        others = self.whom(router)
        share = min(1.0, TELLERS / len(others))
        words = self.limits[router].updates_to_send(now, self.rng, share)
        for other in others:
            if words and self.rng.random() > self.site.loss:
                after = 0.005 + 0.02 * self.rng.random()
                self.at(now + after, self.hear, other, router, words)

    def whom(self, router):
        others = [n for n in range(self.site.routers) if n != router]
        if len(others) < SMALL:
            return others
        own = self.domain[router]
        near = [n for n in others if self.domain[n] == own]
        far = [n for n in others if self.domain[n] != own]
        turn = self.ticks[router] % ROUND
        return near[turn::ROUND] + self.rng.sample(far, FAR_AT_ONCE)

    def hear(self, now, router, teller, words):
        if self.is_frozen(router, now):
            return
        self.limits[router].receive_updates(
            f'r{teller}', self.domain[teller], words, now, {NAME: 1}
        )


def play(site, seed):
    """Play a site.

    Returns
    -------
    Outcome
    """
    return _Play(site, seed).run()
