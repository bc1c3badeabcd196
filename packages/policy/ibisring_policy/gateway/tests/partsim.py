"""Simulates requests with a part in their prompts that crashes endpoints.

Each router decides by its own `promptparts.Parts` and receives the updates of
the others with a delay.  A request that fails is sent once more, at another
endpoint.
"""

__all__ = ['Site', 'Outcome', 'simulate']

import heapq
import itertools
import random

from ibisring_policy.gateway import promptfeatures
from ibisring_policy.gateway import promptparts
import msgspec

DEADLY = 'dead'
SECOND_DEADLY = 'dead2'
# Part that the deadly one always comes with, and few sound requests have.
COMPANION = 'companion'
SHARED = 'shared'
SESSIONS = 30
# Seconds from the start of a request to its first answer, from there to the
# crash of the endpoint, and to the end of a sound stream.
FIRST_EVENT_SECONDS = 0.1
CRASH_SECONDS = 0.02
STREAM_SECONDS = 2.5
BEGIN_SECONDS = 1.0
RESTART_SECONDS = 4.0
POLL_SECONDS = 0.02
MAX_WAIT_SECONDS = 1.2
# An update to another router arrives within this many seconds, or is lost.
MAX_DELAY_SECONDS = 0.05
UPDATE_INTERVAL_SECONDS = 0.25
PEERS_PER_UPDATE = 8
MAX_ATTEMPTS = 2
CRASHES = 5
CONTACT_SECONDS = 3.0


class Site(msgspec.Struct, frozen=True):
    """A fleet and its load; times are in seconds.

    `lethality` is the share of runs under which a deadly part crashes the
    endpoint.  `mass_crashes` are times at which a third of the endpoints
    crashes for another reason.
    """

    routers: int = 3
    endpoints: int = 12
    rate: float = 13.0
    deadly_interval: float = 0.3
    deadly_after: float = 3.0
    seconds: float = 20.0
    loss: float = 0.1
    lethality: float = 1.0
    has_companion: bool = False
    has_second_part: bool = False
    accounts: int = 1
    mass_crashes: tuple[float, ...] = ()
    runs_alone: bool = True


class Outcome(msgspec.Struct):
    """Times of crashes and deadly runs; counts are of sound requests."""

    crashes: list[float]
    deadly_runs: list[float]
    refused: int = 0
    served: int = 0
    ended: int = 0

    def late_runs(self):
        """Return the deadly runs after all routers have been informed."""
        if len(self.crashes) < CRASHES:
            return []
        since = sorted(self.crashes)[CRASHES - 1] + CONTACT_SECONDS
        return [at for at in self.deadly_runs if at > since]


class _Request:
    """A request, and the attempt that runs."""

    def __init__(self, number, parts, account, router, is_sound):
        self.features = promptfeatures.features_of(parts, b'%d' % number)
        self.account = promptfeatures.account_id(account)
        self.router = router
        self.is_sound = is_sound
        self.attempts = 0
        self.waits_until = None
        self.endpoint = None
        self.began_at = None
        self.is_counted = False
        self.doubtful = ()


class _Simulation:
    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.parts = [
            promptparts.make_parts(f'r{number}')
            for number in range(site.routers)
        ]
        self.local_changes = [0] * site.routers
        self.starts = [0] * site.endpoints
        self.up = [True] * site.endpoints
        self.running = [set() for _ in range(site.endpoints)]
        self.at_risk = [{} for _ in range(site.routers)]
        self.queue = []
        self.numbers = itertools.count()
        self.outcome = Outcome([], [])

    def schedule(self, when, action, *args):
        heapq.heappush(self.queue, (when, next(self.numbers), action, args))

    def run(self):
        site = self.site
        now = site.deadly_after
        while now < site.seconds:
            self.schedule(now, self.submit_deadly)
            now += site.deadly_interval
        now = 0.0
        while now < site.seconds:
            now += self.rng.expovariate(site.rate)
            self.schedule(now, self.submit_sound)
        for time in site.mass_crashes:
            for endpoint in range(0, site.endpoints, 3):
                self.schedule(time, self.crash, endpoint)
        for router in range(site.routers):
            offset = self.rng.random() * UPDATE_INTERVAL_SECONDS
            self.schedule(offset, self.send_regularly, router)
        while self.queue and self.queue[0][0] < site.seconds:
            when, _, action, args = heapq.heappop(self.queue)
            action(when, *args)
        return self.outcome

    def submit_deadly(self, now):
        parts = [SHARED, DEADLY]
        if self.site.has_second_part and self.rng.random() < 0.5:
            parts = [SHARED, SECOND_DEADLY]
        if self.site.has_companion:
            parts.insert(1, COMPANION)
        self.submit(now, parts, False)

    def submit_sound(self, now):
        session = f'session-{self.rng.randrange(SESSIONS)}'
        first = self.rng.choice((SHARED, 'another'))
        parts = [first, session]
        if self.site.has_companion and self.rng.random() < 0.02:
            parts = [first, COMPANION, session]
        self.submit(now, parts, True)

    def submit(self, now, parts, is_sound):
        account = f'account-{self.rng.randrange(self.site.accounts)}'
        router = self.rng.randrange(self.site.routers)
        number = next(self.numbers)
        self.send(now, _Request(number, parts, account, router, is_sound))

    def send(self, now, request):
        own = self.parts[request.router]
        verdict = own.verdict(request.features, request.account, now)
        if verdict.refused_until:
            self.end(request, is_refused=True)
            return
        if request.waits_until is None:
            request.waits_until = now + MAX_WAIT_SECONDS
        must_wait = verdict.must_wait and self.site.runs_alone
        must_wait |= verdict.is_settling
        if must_wait and now < request.waits_until:
            self.schedule(now + POLL_SECONDS, self.send, request)
            return
        endpoint = self.choose_endpoint(request, bool(verdict.doubtful))
        if endpoint is None:
            self.end(request)
            return
        if self.site.runs_alone and verdict.doubtful:
            own.mark_running(verdict.doubtful)
            request.doubtful = verdict.doubtful
            self.at_risk[request.router][request] = endpoint
        request.endpoint = endpoint
        request.began_at = None
        request.is_counted = False
        request.attempts += 1
        self.running[endpoint].add(request)
        if not request.is_sound:
            self.outcome.deadly_runs.append(now)
        began_at = now + FIRST_EVENT_SECONDS
        self.schedule(began_at, self.begin, request, request.attempts)

    def choose_endpoint(self, request, is_doubtful):
        at_risk = set(self.at_risk[request.router].values())
        up = [
            number
            for number, is_up in enumerate(self.up)
            if is_up and number != request.endpoint
        ]
        if not up:
            return None
        safe = [number for number in up if number not in at_risk] or up
        if self.site.runs_alone and is_doubtful:
            return min(safe, key=lambda each: len(self.running[each]))
        return self.rng.choice(safe)

    def begin(self, now, request, attempt):
        if not self.is_running(request, attempt):
            return
        request.began_at = now
        is_deadly = self.rng.random() < self.site.lethality
        if not request.is_sound and is_deadly:
            self.schedule(now + CRASH_SECONDS, self.crash, request.endpoint)
        self.schedule(now + BEGIN_SECONDS, self.count, request, attempt)
        self.schedule(now + STREAM_SECONDS, self.finish, request, attempt)

    def is_running(self, request, attempt):
        is_there = request in self.running[request.endpoint]
        return is_there and request.attempts == attempt

    def count(self, now, request, attempt):
        if self.is_running(request, attempt):
            request.is_counted = True
            own = self.parts[request.router]
            own.answered(request.features, request.account, now)
            self.leave_doubt(request)

    def finish(self, now, request, attempt):
        if self.is_running(request, attempt):
            self.running[request.endpoint].remove(request)
            self.outcome.served += request.is_sound
            self.outcome.ended += request.is_sound

    def leave_doubt(self, request):
        self.parts[request.router].mark_finished(request.doubtful)
        request.doubtful = ()
        self.at_risk[request.router].pop(request, None)

    def end(self, request, is_refused=False):
        self.outcome.refused += request.is_sound and is_refused
        self.outcome.ended += request.is_sound

    def crash(self, now, endpoint):
        if not self.up[endpoint]:
            return
        self.outcome.crashes.append(now)
        self.up[endpoint] = False
        lost, self.running[endpoint] = self.running[endpoint], set()
        for request in sorted(lost, key=lambda each: each.features):
            self.lose(now, request)
        self.schedule(now + RESTART_SECONDS, self.restart, endpoint)

    def lose(self, now, request):
        self.leave_doubt(request)
        name = f'e{request.endpoint}'
        if not request.is_counted:
            self.parts[request.router].lost(
                request.features,
                request.account,
                name,
                self.starts[request.endpoint],
                now,
            )
            self.send_changes(now, request.router)
        if request.attempts < MAX_ATTEMPTS:
            self.schedule(now + POLL_SECONDS, self.send, request)
        else:
            self.end(request)

    def restart(self, now, endpoint):
        self.up[endpoint] = True
        self.starts[endpoint] += 1

    def send_changes(self, now, router):
        changes = self.parts[router].local_changes
        if changes > self.local_changes[router]:
            self.local_changes[router] = changes
            self.send_updates(now, router, range(self.site.routers))

    def send_regularly(self, now, router):
        count = min(self.site.routers, PEERS_PER_UPDATE)
        peers = self.rng.sample(range(self.site.routers), count)
        self.send_updates(now, router, peers)
        self.schedule(
            now + UPDATE_INTERVAL_SECONDS, self.send_regularly, router
        )

    def send_updates(self, now, router, peers):
        updates = self.parts[router].updates_to_send(now, self.rng)
        if not updates:
            return
        for other in peers:
            if other != router and self.rng.random() > self.site.loss:
                delay = self.rng.random() * MAX_DELAY_SECONDS
                self.schedule(now + delay, self.receive, other, updates)

    def receive(self, now, router, updates):
        self.parts[router].receive_updates(updates, now)


def simulate(site, seed):
    """Simulate the load of a site.

    Returns
    -------
    Outcome
    """
    return _Simulation(site, seed).run()
