"""Simulates routers before two engines, in virtual time without a network."""

__all__ = ['Site', 'Simulation']

import heapq
import itertools
import random
import types

from ibisring_gateway import attemptwatching
from ibisring_gateway import gossipmessages
from ibisring_gateway import gossipreceiving
from ibisring_gateway import selecting
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import domainlinks
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing
import msgspec

PROMPT, ANSWER = 772, 142
STREAM_SECONDS = 3.5
# Callers leave without a first event for this long, and come back twice.
PATIENCE_SECONDS = 2.0
MAX_RETURNS = 2
GOSSIP_SECONDS = 0.5


class Site(msgspec.Struct, frozen=True):
    """`arrivals` is requests per second; an engine takes `fits` of them.

    The engines are in one domain, or in two whose link has `mbps`; the table
    names `known_mbps` if it is given.  Routers below `older` are of an older
    release.  The second engine is lost at the times given in `lost`.
    """

    arrivals: float
    fits: float = 20.0
    mbps: float = 0.0
    known_mbps: float | None = None
    routers: int = 4
    older: int = 0
    budgets: bool = True
    silent: bool = False
    lost: tuple[float, float] = (1e9, 1e9)
    seconds: float = 60.0

    def table(self):
        """Make the routing table."""
        tokens = self.fits * (PROMPT + ANSWER / 2) * 1.03
        memory = 40 * build.LAYER_MB + tokens * 0.72 / 2
        model = build.model(
            token_mb=0.72,
            activation_mb=0.036,
            mean_answer=float(ANSWER),
            cards=(routing.Card('half', memory, 1.0, 1.0),),
            domain_link_mbps=(
                self.mbps if self.known_mbps is None else self.known_mbps
            ),
        )
        return routing.RoutingTable(
            version=1,
            routes=(build.route(),),
            services=(routing.Service('model', 1000, model),),
        )


class Simulation:
    """Runs a site.

    Attributes
    ----------
    served : list of float
        When the streams that were served completely ended.
    by_release : dict of bool to int
        Streams served by routers of the older and of this release.
    reasons : list of chains or link facts of refused requests
    """

    def __init__(self, site, seed=1):
        self.site = site
        self.rng = random.Random(seed)
        self.clock = builders.Clock()
        self.start = self.clock.now
        second = 'b' if site.mbps else 'a'
        self.endpoints = [
            build.held_endpoint('e1', 0, 40, 'a', 'half'),
            build.held_endpoint('e2', 40, 80, second, 'half'),
        ]
        self.selectors = [self._router(n) for n in range(site.routers)]
        self.running = 0
        self.link_free_at = 0.0
        self.served = []
        self.by_release = {True: 0, False: 0}
        self.reasons = []
        self.queue = []
        self.numbers = itertools.count()

    def _router(self, number):
        view = builders.make_view(self.endpoints, self.site.table())
        view.name, view.clock = f'r{number}', self.clock
        is_older = number < self.site.older
        view.link_budgets = self.site.budgets and not is_older
        view.domain_links = domainlinks.make_domain_links(
            view.name, 'a', self.rng.random
        )
        selector = selecting.make_selector(view)
        selector.rng.seed(number)
        return selector

    def _at(self, when, action, *args):
        heapq.heappush(self.queue, (when, next(self.numbers), action, args))

    def run(self):
        """Run to the end; return the requests served per second."""
        site = self.site
        for number in range(site.routers):
            self._at(self.start + 0.1 * number, self._gossip, number)
        self._at(self.start, self._arrive)
        for at, is_lost in zip(site.lost, (True, False)):
            self._at(self.start + at, self._lose, is_lost)
        while self.queue and self.queue[0][0] < self.start + site.seconds:
            self.clock.now, _, action, args = heapq.heappop(self.queue)
            action(*args)
        return self.rate(10.0, site.seconds)

    def rate(self, first, last):
        """Return the streams served per second in a period."""
        times = [each - self.start for each in self.served]
        return sum(first <= at < last for at in times) / (last - first)

    def _lose(self, is_lost):
        for selector in self.selectors:
            table = selector.view.estimates
            if is_lost:
                table.note_unreachable('e2', self.clock.now)
            else:
                table.note_reachable('e2', self.clock.now)

    def _gossip(self, number):
        now = self.clock.now
        self._at(now + GOSSIP_SECONDS, self._gossip, number)
        view = self.selectors[number].view
        routers = self.site.routers
        view.domain_links.set_fleet({'a': routers}, routers, now)
        message = gossipmessages.Message(view.name, {}, [], domain='a')
        message.tokens = {
            name: int(each)
            for name, each in view.estimates.own_tokens().items()
        }
        if number >= self.site.older:
            message.link_use = view.domain_links.updates_to_send(now)
        if not self.site.silent:
            self._at(now + 0.02, self._receive, number, message)

    def _receive(self, number, message):
        for other, selector in enumerate(self.selectors):
            if other != number:
                receiver = gossipreceiving.Receiver(selector.view, None, None)
                data = gossipmessages.encode(message)
                decoded = gossipmessages.decode(data)
                receiver._apply_estimates(decoded, self.clock.now)
                receiver._apply_link_use(decoded, self.clock.now)

    def _arrive(self):
        gap = self.rng.expovariate(self.site.arrivals)
        self._at(self.clock.now + gap, self._arrive)
        self._ask(self.rng.randrange(self.site.routers), 0)

    def _ask(self, number, returns):
        now = self.clock.now
        selector = self.selectors[number]
        job = make_job(selector.view, now)
        choice = selector.choose(job, now)
        if choice is None or self.running >= self.site.fits:
            if choice is not None:
                selector.view.estimates.note_refusal('e1', now)
            self.reasons.append(selector.bottlenecks.facts(job))
            wait = selector.refuse(job, now)
            if returns < MAX_RETURNS:
                other = self.rng.randrange(self.site.routers)
                self._at(now + wait, self._ask, other, returns + 1)
            return
        self._send(number, choice)

    def _send(self, number, choice):
        """Pass the prompt over the link; slow down full engines."""
        now = self.clock.now
        first_at = now
        if self.site.mbps:
            seconds = PROMPT * 0.036 * 8.0 / self.site.mbps
            first_at = max(now, self.link_free_at) + seconds
            self.link_free_at = first_at
        attempt = attemptwatching.Attempt(
            'request', choice.endpoint, choice.stages, now + PATIENCE_SECONDS
        )
        attempt.tokens = choice.tokens
        attempt.sent_at = now
        self.selectors[number].reserve(attempt)
        self.running += 1
        is_late = first_at - now > PATIENCE_SECONDS
        end = now + PATIENCE_SECONDS if is_late else first_at + STREAM_SECONDS
        self._at(end, self._end, number, attempt, is_late)

    def _end(self, number, attempt, is_late):
        self.running -= 1
        self.selectors[number].release(attempt)
        if not is_late:
            self.served.append(self.clock.now)
            self.by_release[number < self.site.older] += 1


def make_job(view, now, **progress):
    """Make what `Selector.choose` needs of a `jobs.Job`."""
    values = {'sent_to': 0, 'max_endpoints': 2, 'delivering': False}
    values.update(progress)
    return types.SimpleNamespace(
        digest=b'digest00',
        deadline=now + 10.0,
        is_suspect=False,
        avoid=set(),
        limited=set(),
        sent_to=[],
        service=view.snapshot.index.services['model'],
        route=build.route(objective=0.5),
        match=types.SimpleNamespace(priority=1, account='acme'),
        rank=(1, 1),
        exchange=types.SimpleNamespace(headers_sent=False),
        progress=types.SimpleNamespace(**values),
        transfer=None,
        blocked_by=None,
        request=types.SimpleNamespace(
            prompt_tokens=PROMPT,
            answer_tokens=ANSWER,
            answer_hint=ANSWER,
            after_event=None,
        ),
    )
