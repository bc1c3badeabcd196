"""The real dispatchers of several routers on engines in virtual time.

Arrivals, engine speeds, prefix caches and faults are fakes; admission and
placement are the code that routers run.  A router hears of an endpoint's
load as it does in service: of the first of a chain with each answer, of the
others when it polls them by turns.
"""

import enum
import heapq
import itertools
import math
import random

from ibisring_policy import admission
from ibisring_policy import dispatch
from ibisring_policy import loads
from ibisring_policy import placing
from ibisring_policy import retries
from ibisring_records import exceptions
from ibisring_router import statuspolling
import virtualengines
import workloads

TICK = 0.05
LIMIT_DECREASE = loads.LIMIT_DECREASE
SPARE_TIME_FACTOR = placing.SPARE_TIME_FACTOR
# A deadline that no queue reaches.
FAR = 1e9
CONNECT_TIMEOUT = 0.5
MOST_TRIES = 4
ROUTERS = 6
PROBE_SECONDS = 2.0
PREFIXES = 40


class Policy(enum.StrEnum):
    """The router's policy, and what it is compared with."""

    OURS = 'ours'
    FIFO = 'fifo'
    UNFAIR = 'unfair'
    ROUND_ROBIN = 'round_robin'
    FIXED_LIMIT = 'fixed_limit'


RESUMING = (Policy.OURS, Policy.FIXED_LIMIT)


def set_policy(policy):
    """Take out of the dispatchers what a baseline does without."""
    kept = policy is Policy.FIXED_LIMIT
    loads.LIMIT_DECREASE = 1.0 if kept else LIMIT_DECREASE
    fastest = policy is Policy.FIFO
    placing.SPARE_TIME_FACTOR = math.inf if fastest else SPARE_TIME_FACTOR


def make_dispatchers(current, seed):
    """Make the dispatchers of routers that know each other."""
    made = [
        dispatch.make_dispatcher(random.Random(f'{seed}/{n}'), f'r{n}')
        for n in range(ROUTERS)
    ]
    names = [each.router_id for each in made]
    for each in made:
        each.configure(current, 0.0)
        peers = [name for name in names if name != each.router_id]
        each.set_routers(peers, names)
    return made


class Run:
    """One run of one policy at one load.

    With a `flood`, one account offers that many times the capacity more.
    The balancer sends a request to any router; `skew` is the share that it
    sends to the first one besides.
    """

    def __init__(
        self,
        site,
        policy,
        load,
        seconds,
        seed,
        faults=(),
        flood=0.0,
        limits=None,
        skew=0.0,
    ):
        make, self.offered, self.model = workloads.SITES[site]
        self.current = workloads.build_configuration(make, limits or {})
        self.skew = skew
        self.policy = policy
        self.seconds = seconds
        self.rng = random.Random(seed)
        whole = virtualengines.capacity(self.current, self.offered)
        self.rate = (load + flood) * whole
        self.flood_share = flood / (load + flood)
        self.engines = virtualengines.Engines(self.current, list(faults))
        set_policy(policy)
        self.dispatchers = make_dispatchers(self.current, seed)
        self.turns_to_poll = statuspolling.poll_cycle_rounds(
            len(self.current.endpoints)
        )
        self.events = []
        self.order = itertools.count()
        self.turns = itertools.count()
        self.requests = {}
        self.done = []

    def at(self, when, function, *arguments):
        heapq.heappush(
            self.events, (when, next(self.order), function, arguments)
        )

    def execute(self):
        """Run to the end; give (request, finished or None) pairs."""
        self.at(0.0, self.arrive)
        self.at(TICK, self.tick)
        self.at(0.0, self.poll, 0)
        self.at(PROBE_SECONDS, self.probe)
        while self.events:
            now, _, function, arguments = heapq.heappop(self.events)
            function(now, *arguments)
        return self.done

    def arrive(self, now):
        if now > self.seconds:
            return
        request = self.new_request(now)
        self.offer(now, request)
        self.at(now + self.rng.expovariate(self.rate), self.arrive)

    def new_request(self, now):
        if self.rng.random() < self.flood_share:
            return self.flood_request(now)
        weights = [w.share for w in self.offered]
        (workload,) = self.rng.choices(self.offered, weights)
        (account,) = self.rng.choices(
            list(workload.accounts), list(workload.accounts.values())
        )
        return self.make_request(now, workload, account)

    def flood_request(self, now):
        """Give a request of the flooding account, in the second class."""
        workload = self.offered[1]
        return self.make_request(now, workload, next(iter(workload.accounts)))

    def make_request(self, now, workload, account):
        tokens = max(1, int(self.rng.expovariate(1 / workload.tokens)))
        number = str(next(self.order))
        made = workloads.Request(number, workload, account, tokens, now)
        if self.rng.random() >= self.skew:
            made.router = self.rng.randrange(ROUTERS)
        # Half of the requests share a tenth of the prefixes.
        most = PREFIXES if self.rng.random() < 0.5 else PREFIXES // 10
        made.prefix = self.rng.randrange(most)
        return made

    def tick(self, now):
        for dispatcher in self.dispatchers:
            self.settle(now, dispatcher.tick(now))
        if now < self.seconds or self.requests:
            self.at(now + TICK, self.tick)

    def poll(self, now, number):
        """Let every router poll the endpoints whose turn it is."""
        for name in self.current.endpoints:
            due = statuspolling.is_due(name, number, True, self.turns_to_poll)
            for dispatcher in self.dispatchers if due else ():
                self.tell_load(dispatcher, name, now)
        if now < self.seconds:
            self.at(now + 1.0, self.poll, number + 1)

    def tell_load(self, dispatcher, name, now):
        dispatcher.observe(name, self.engines.load(name), now)

    def probe(self, now):
        """Let routers tell each other what accounts ask for."""
        for teller, hearer in itertools.permutations(self.dispatchers, 2):
            demands = teller.limits.all_demands(now)
            hearer.limits.receive_demands(teller.router_id, demands)
            hearer.shares.receive_demands(
                teller.router_id, teller.shares.demands()
            )
        if now < self.seconds:
            self.at(now + PROBE_SECONDS, self.probe)

    def offer(self, now, request):
        request.tries += 1
        if self.policy is Policy.ROUND_ROBIN:
            self.start(now, request, self.by_turns())
            return
        ticket = self.ticket(request)
        self.requests[ticket.id] = request
        try:
            results = self.dispatchers[request.router].offer(ticket, now)
        except exceptions.IbisringError:
            del self.requests[ticket.id]
            self.end(request, None)
            return
        self.settle(now, results)

    def ticket(self, request):
        workload = request.workload
        account, rank = request.account, workload.rank
        deadline = request.arrived + workload.bound
        if self.policy is Policy.FIFO:
            account, rank, deadline = 'all', 0, FAR
        if self.policy is Policy.UNFAIR:
            account = 'all'
        return admission.Ticket(
            id=f'{request.id}/{request.tries}',
            account=account,
            rank=rank,
            target=admission.Target(
                model=self.model, version=f'{self.model}@1'
            ),
            cost=float(request.tokens),
            deadline=deadline,
            arrived=request.arrived,
            avoid=request.avoid,
        )

    def by_turns(self):
        turn = next(self.turns)
        ranges = {}
        for endpoint in self.current.endpoints.values():
            if endpoint.spec.model:
                first = endpoint.spec.first_layer
                ranges.setdefault(first, []).append(endpoint.name)
        return [
            group[turn % len(group)] for _, group in sorted(ranges.items())
        ]

    def settle(self, now, results):
        for result in results:
            request = self.requests.pop(result.ticket.id)
            if isinstance(result, dispatch.Refusal):
                self.end(request, None)
                continue
            names = [e.name for e in result.endpoints]
            pace = result.token_seconds
            self.start(now, request, names, result.ticket.id, pace)

    def start(self, now, request, names, ticket_id='', token_seconds=math.inf):
        dead = [n for n in names if self.engines.is_dead(n, now)]
        if dead:
            failure = retries.Failure.NOT_SENT
            self.at(
                now + CONNECT_TIMEOUT / 10,
                self.fail,
                request,
                names,
                ticket_id,
                dead[0],
                failure,
                False,
            )
            return
        if ticket_id:
            self.tell_load(self.dispatchers[request.router], names[0], now)
        full = [n for n in names if self.engines.refuses(n, now)]
        if full and self.policy is not Policy.ROUND_ROBIN:
            refused = retries.Failure.REFUSED
            self.fail(now, request, names, ticket_id, full[0], refused, False)
            return
        self.engines.queue(
            virtualengines.Job(request, names, ticket_id, token_seconds, now)
        )
        self.run_jobs(now)

    def run_jobs(self, now):
        """Let the engines begin what they have slots for."""
        while True:
            job = self.engines.next_job(now)
            if job is None:
                return
            self.begin(now, job)

    def begin(self, now, job):
        request, names, ticket_id = job.request, job.names, job.ticket_id
        dead = [n for n in names if self.engines.is_dead(n, now)]
        if dead:
            lost = retries.Failure.STAGE_LOST
            self.fail(now, request, names, ticket_id, dead[0], lost, False)
            return
        for name in names:
            self.engines.running[name] += 1
        pace = sum(self.engines.pace(n, now) for n in names)
        prefill = sum(
            self.engines.prefill_steps(n, request.prefix)
            * self.engines.pace(n, now)
            for n in names
        )
        end = now + prefill + pace * request.tokens
        if not self.will_fail(now, now + prefill, end, pace, job):
            taken = end - job.granted
            self.at(end, self.finish, request, names, ticket_id, taken)

    def will_fail(self, now, decoding, end, pace, job):
        """Say whether a job ends in a failure; arrange for it if so."""
        request = job.request
        death = self.engines.death_within(job.names, now, end)
        if death is not None:
            when, culprit = death
            failure = retries.Failure.STAGE_LOST
        else:
            when = self.slow_at(decoding, pace, request, job.token_seconds)
            if when is None or when >= end:
                return False
            culprit, failure = '', retries.Failure.SLOW
        self.at(
            when,
            self.fail,
            request,
            job.names,
            job.ticket_id,
            culprit,
            failure,
            True,
        )
        return True

    def slow_at(self, now, pace, request, expected):
        """Give when the router would leave a slow chain, or None."""
        if self.policy not in RESUMING or request.tries >= MOST_TRIES:
            return None
        tokens = max(
            retries.SLOW_TOKENS, math.ceil(retries.SLOW_SECONDS / pace)
        )
        if not retries.is_slow(pace * tokens, tokens, expected):
            return None
        request.done = tokens
        request.pace = pace
        return now + pace * (tokens + 1)

    def finish(self, now, request, names, ticket_id, seconds):
        self.free(names, now)
        self.end(request, now)
        if ticket_id:
            report = dispatch.AttemptReport(ticket_id, seconds, request.tokens)
            self.settle(
                now, self.dispatchers[request.router].finish(report, now)
            )

    def fail(self, now, request, names, ticket_id, culprit, failure, held):
        if held:
            self.free(names, now)
        if ticket_id:
            seconds = request.pace * request.done
            report = dispatch.AttemptReport(
                ticket_id, seconds, request.done, failure, culprit
            )
            request.tokens -= request.done
            request.done = 0
            self.settle(
                now, self.dispatchers[request.router].finish(report, now)
            )
        if request.tries >= MOST_TRIES:
            self.end(request, None)
            return
        if culprit:
            request.avoid = request.avoid | {culprit}
        self.offer(now, request)

    def free(self, names, now):
        for name in names:
            self.engines.running[name] -= 1
        self.run_jobs(now)

    def end(self, request, finished):
        self.done.append((request, finished))
