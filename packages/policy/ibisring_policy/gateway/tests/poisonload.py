"""Simulates a load with one request that crashes its endpoints.

Each router decides by its own `suspects.Suspects` and receives the updates of
the others with a delay.  A request that fails is retried once, at another
endpoint, and submitted once more by its caller.
"""

__all__ = ['Site', 'Outcome', 'simulate']

import heapq
import itertools
import random

from ibisring_policy.gateway import suspects
import msgspec

POISON = b'bad-one!'
# Seconds from the start of a request to its first answer, and from the start
# of the poison request to the crash of its endpoint.
ANSWER_SECONDS = 0.15
CRASH_SECONDS = 0.06
RESTART_SECONDS = 3.0
CALLER_RETRY_SECONDS = 0.5
# An update to another router arrives within this many seconds, or is lost.
MAX_DELAY_SECONDS = 0.3
UPDATE_INTERVAL_SECONDS = 0.25
MAX_ATTEMPTS = 2


class Site(msgspec.Struct, frozen=True):
    """`rate` is ordinary requests a second; times are in seconds.

    `mass_crashes` are times at which a third of the endpoints crashes for
    another reason.  With `open_ports`, connections to a crashed endpoint are
    accepted and closed, and only its later start shows that it crashed.
    """

    routers: int = 6
    endpoints: int = 3
    rate: float = 30.0
    poison_interval: float = 0.4
    seconds: float = 15.0
    loss: float = 0.3
    has_poison: bool = True
    mass_crashes: tuple[float, ...] = ()
    open_ports: bool = False


class Outcome(msgspec.Struct):
    """Times of crashes and poison runs; counts are of ordinary requests."""

    crashes: list[float]
    poison_runs: list[float]
    refused: int = 0
    waited: list[float] = []
    answered: int = 0
    sent: int = 0

    def late_runs(self, propagation):
        """Return the poison runs that long after the last allowed crash."""
        if len(self.crashes) < suspects.MAX_CRASHES:
            return []
        since = self.crashes[suspects.MAX_CRASHES - 1] + propagation
        return [at for at in self.poison_runs if at > since]


class _Request(msgspec.Struct):
    digest: bytes
    router: int
    submissions: int = 0
    attempts: int = 0
    submitted_at: float = 0.0
    sent_at: float = 0.0
    endpoint: int | None = None
    excluded: set = set()


class _Simulation:
    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.suspects = [suspects.make_suspects() for _ in range(site.routers)]
        self.changes = [0] * site.routers
        self.starts = [0] * site.endpoints
        self.known_starts = [[0] * site.endpoints for _ in self.suspects]
        self.up = [True] * site.endpoints
        self.queue = []
        self.numbers = itertools.count()
        self.running = [[] for _ in range(site.endpoints)]
        self.outcome = Outcome([], [])

    def schedule(self, when, action, *args):
        heapq.heappush(self.queue, (when, next(self.numbers), action, args))

    def run(self):
        site = self.site
        if site.has_poison:
            for number in range(int(site.seconds / site.poison_interval)):
                self.schedule(
                    number * site.poison_interval, self.submit, POISON
                )
        now = 0.0
        while now < site.seconds:
            now += self.rng.expovariate(site.rate)
            digest = self.rng.randbytes(8)
            self.schedule(now, self.submit, digest)
        for time in site.mass_crashes:
            for endpoint in range(0, site.endpoints, 3):
                self.schedule(time, self.crash, endpoint)
        for router in range(site.routers):
            self.schedule(
                self.rng.random() * UPDATE_INTERVAL_SECONDS,
                self.send_updates,
                router,
            )
        while self.queue and self.queue[0][0] < site.seconds:
            when, _, action, args = heapq.heappop(self.queue)
            action(when, *args)
        return self.outcome

    def submit(self, now, digest):
        router = self.rng.randrange(self.site.routers)
        request = _Request(digest, router, submissions=1, submitted_at=now)
        self.outcome.sent += digest != POISON
        self.send(now, request)

    def send(self, now, request):
        own = self.suspects[request.router]
        verdict = own.verdict(request.digest, now)
        if verdict.refused_until:
            self.outcome.refused += request.digest != POISON
            return
        if now < verdict.not_before or verdict.is_running:
            self.schedule(now + 0.02, self.send, request)
            return
        if verdict.crashes and request.digest != POISON:
            self.outcome.waited.append(now - request.submitted_at)
        endpoint = self.choose_endpoint(own, request)
        if endpoint is None:
            self.fail(now, request)
            return
        if verdict.crashes:
            own.mark_running(request.digest, f'e{endpoint}')
        request.endpoint = endpoint
        request.sent_at = now
        request.attempts += 1
        self.running[endpoint].append(request)
        if request.digest == POISON:
            self.outcome.poison_runs.append(now)
            self.schedule(now + CRASH_SECONDS, self.crash, endpoint)
        else:
            self.schedule(now + ANSWER_SECONDS, self.answer, request)

    def choose_endpoint(self, own, request):
        at_risk = own.endpoints_at_risk(request.digest)
        up = [
            number
            for number, is_up in enumerate(self.up)
            if is_up and number not in request.excluded
        ]
        safe = [n for n in up if f'e{n}' not in at_risk]
        if not up:
            return None
        return self.rng.choice(safe or up)

    def answer(self, now, request):
        if request not in self.running[request.endpoint]:
            return
        self.running[request.endpoint].remove(request)
        own = self.suspects[request.router]
        own.mark_finished(request.digest)
        name, started = f'e{request.endpoint}', self.starts[request.endpoint]
        own.answered(request.digest, now)
        own.process_answered(name, started, request.sent_at, now)
        self.outcome.answered += 1

    def crash(self, now, endpoint):
        if not self.up[endpoint]:
            return
        self.outcome.crashes.append(now)
        self.up[endpoint] = False
        lost, self.running[endpoint] = self.running[endpoint], []
        for request in lost:
            own = self.suspects[request.router]
            own.mark_finished(request.digest)
            name, started = f'e{endpoint}', self.starts[endpoint]
            if self.site.open_ports:
                own.answer_lost(request.digest, name, started, now)
            else:
                own.crashed(request.digest, name, started, now)
            request.excluded = request.excluded | {endpoint}
            self.schedule(now, self.fail, request)
        self.schedule(now + RESTART_SECONDS, self.restart, endpoint)

    def restart(self, now, endpoint):
        self.up[endpoint] = True
        self.starts[endpoint] += 1
        for router in range(self.site.routers):
            delay = self.rng.random() * MAX_DELAY_SECONDS
            self.schedule(now + delay, self.learn_start, router, endpoint)

    def learn_start(self, now, router, endpoint):
        self.known_starts[router][endpoint] = self.starts[endpoint]
        processes = {
            f'e{number}': started
            for number, started in enumerate(self.known_starts[router])
        }
        self.suspects[router].processes_known(processes, now)

    def fail(self, now, request):
        if (
            request.attempts < MAX_ATTEMPTS
            and request.attempts
            and any(self.up)
        ):
            self.send(now, request)
        elif request.submissions < 2 and request.digest != POISON:
            again = _Request(
                request.digest,
                self.rng.randrange(self.site.routers),
                submissions=2,
                submitted_at=now + CALLER_RETRY_SECONDS,
            )
            self.schedule(now + CALLER_RETRY_SECONDS, self.send, again)

    def send_updates(self, now, router):
        own = self.suspects[router]
        updates = own.updates_to_send(now, self.rng)
        if updates:
            for other in range(self.site.routers):
                if other != router and self.rng.random() > self.site.loss:
                    delay = self.rng.random() * MAX_DELAY_SECONDS
                    self.schedule(
                        now + delay, self.receive_updates, other, updates
                    )
        self.schedule(now + UPDATE_INTERVAL_SECONDS, self.send_updates, router)

    def receive_updates(self, now, router, updates):
        self.suspects[router].receive_updates(updates, now)


def simulate(site, seed):
    """Simulate the load of a site.

    Returns
    -------
    Outcome
    """
    return _Simulation(site, seed).run()
