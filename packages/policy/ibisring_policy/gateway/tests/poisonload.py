"""A load with one request that ends its endpoints, played without a network.

Routers decide by their own `suspects.Suspects` and hear of each other's after
a moment.  Requests that fail are sent on once, to another endpoint, and asked
for once more by their callers.
"""

__all__ = ['Site', 'Outcome', 'play']

import heapq
import itertools
import random

from ibisring_policy.gateway import suspects
import msgspec

BAD = b'bad-one!'
# Seconds from a request's begin to its first answer, and to the end of the
# endpoint that the bad one has begun to run on.
ANSWERED_AFTER = 0.15
ENDS_AFTER = 0.06
BACK_AFTER = 3.0
CALLER_RETRIES_AFTER = 0.5
# What a router tells the others comes within so many seconds, or is lost.
TOLD_WITHIN = 0.3
TOLD_EVERY = 0.25
MOST_SENT = 2


class Site(msgspec.Struct, frozen=True):
    """`rate` is ordinary requests a second; times are in seconds.

    `storms` are times at which a third of the endpoints ends by itself.
    """

    routers: int = 6
    endpoints: int = 3
    rate: float = 30.0
    bad_every: float = 0.4
    seconds: float = 15.0
    loss: float = 0.3
    has_bad: bool = True
    storms: tuple[float, ...] = ()


class Outcome(msgspec.Struct):
    """What callers and endpoints got."""

    ends: list[float]
    bad_runs: list[float]
    refused: int = 0
    waited: list[float] = []
    answered: int = 0
    sent: int = 0

    def late_runs(self, contact):
        """Give the bad runs that came so long after the third end."""
        if len(self.ends) < suspects.MAX_CRASHES:
            return []
        since = self.ends[suspects.MAX_CRASHES - 1] + contact
        return [at for at in self.bad_runs if at > since]


class _Request(msgspec.Struct):
    digest: bytes
    router: int
    calls: int = 0
    sent: int = 0
    asked_at: float = 0.0
    endpoint: int | None = None
    avoid: set = set()


class _Play:
    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.known = [suspects.make_suspects() for _ in range(site.routers)]
        self.changes = [0] * site.routers
        self.born = [0] * site.endpoints
        self.up = [True] * site.endpoints
        self.queue = []
        self.numbers = itertools.count()
        self.running = [[] for _ in range(site.endpoints)]
        self.outcome = Outcome([], [])

    def at(self, when, action, *args):
        heapq.heappush(self.queue, (when, next(self.numbers), action, args))

    def run(self):
        site = self.site
        if site.has_bad:
            for number in range(int(site.seconds / site.bad_every)):
                self.at(number * site.bad_every, self.ask, BAD)
        now = 0.0
        while now < site.seconds:
            now += self.rng.expovariate(site.rate)
            digest = self.rng.randbytes(8)
            self.at(now, self.ask, digest)
        for storm in site.storms:
            for endpoint in range(0, site.endpoints, 3):
                self.at(storm, self.end, endpoint)
        for router in range(site.routers):
            self.at(self.rng.random() * TOLD_EVERY, self.tell, router)
        while self.queue and self.queue[0][0] < site.seconds:
            when, _, action, args = heapq.heappop(self.queue)
            action(when, *args)
        return self.outcome

    def ask(self, now, digest):
        router = self.rng.randrange(self.site.routers)
        request = _Request(digest, router, calls=1, asked_at=now)
        self.outcome.sent += digest != BAD
        self.send(now, request)

    def send(self, now, request):
        known = self.known[request.router]
        verdict = known.verdict(request.digest, now)
        if verdict.refused_until:
            self.outcome.refused += request.digest != BAD
            return
        if now < verdict.not_before or verdict.is_running:
            self.at(now + 0.02, self.send, request)
            return
        if verdict.crashes and request.digest != BAD:
            self.outcome.waited.append(now - request.asked_at)
        endpoint = self.choose(known, request)
        if endpoint is None:
            self.fail(now, request)
            return
        if verdict.crashes:
            known.mark_running(request.digest, f'e{endpoint}')
        request.endpoint = endpoint
        request.sent += 1
        self.running[endpoint].append(request)
        if request.digest == BAD:
            self.outcome.bad_runs.append(now)
            self.at(now + ENDS_AFTER, self.end, endpoint)
        else:
            self.at(now + ANSWERED_AFTER, self.answer, request)

    def choose(self, known, request):
        at_risk = known.endpoints_at_risk(request.digest)
        up = [
            number
            for number, is_up in enumerate(self.up)
            if is_up and number not in request.avoid
        ]
        apart = [n for n in up if f'e{n}' not in at_risk]
        if not up:
            return None
        return self.rng.choice(apart or up)

    def answer(self, now, request):
        if request not in self.running[request.endpoint]:
            return
        self.running[request.endpoint].remove(request)
        known = self.known[request.router]
        known.mark_finished(request.digest)
        known.answered(request.digest, now)
        self.outcome.answered += 1

    def end(self, now, endpoint):
        if not self.up[endpoint]:
            return
        self.outcome.ends.append(now)
        self.up[endpoint] = False
        lost, self.running[endpoint] = self.running[endpoint], []
        for request in lost:
            known = self.known[request.router]
            known.mark_finished(request.digest)
            name, born = f'e{endpoint}', self.born[endpoint]
            known.crashed(request.digest, name, born, now)
            request.avoid = request.avoid | {endpoint}
            self.at(now, self.fail, request)
        self.at(now + BACK_AFTER, self.begin_again, endpoint)

    def begin_again(self, now, endpoint):
        self.up[endpoint] = True
        self.born[endpoint] += 1

    def fail(self, now, request):
        if request.sent < MOST_SENT and request.sent and any(self.up):
            self.send(now, request)
        elif request.calls < 2 and request.digest != BAD:
            again = _Request(
                request.digest,
                self.rng.randrange(self.site.routers),
                calls=2,
                asked_at=now + CALLER_RETRIES_AFTER,
            )
            self.at(now + CALLER_RETRIES_AFTER, self.send, again)

    def tell(self, now, router):
        known = self.known[router]
        words = known.updates_to_send(now, self.rng)
        if words:
            for other in range(self.site.routers):
                if other != router and self.rng.random() > self.site.loss:
                    after = self.rng.random() * TOLD_WITHIN
                    self.at(now + after, self.hear, other, words)
        self.at(now + TOLD_EVERY, self.tell, router)

    def hear(self, now, router, words):
        self.known[router].receive_updates(words, now)


def play(site, seed):
    """Play a site.

    Returns
    -------
    Outcome
    """
    return _Play(site, seed).run()
