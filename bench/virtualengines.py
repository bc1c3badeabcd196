"""Engines in virtual time: slots, paces, prefix caches and faults."""

import bisect
import collections
import itertools

from ibisring_backing import engines
import msgspec
import workloads

STEP_SECONDS = 0.004
PACE = {'a100': 1.0, 'l40': 1.4, 'mi250': 1.8, 't4': 2.6}
SLOW_FACTOR = 10.0
# A prompt that is not in the cache takes as long as so many tokens.
PREFILL_TOKENS = 8
CACHED_PREFIXES = 8
SHRUNK_SLOTS = 4
QUEUED_A_SLOT = 0.25


class Job(msgspec.Struct):
    """A request on its way through a chain of engines."""

    request: workloads.Request
    names: list[str]
    ticket_id: str
    token_seconds: float
    granted: float


class Fault(msgspec.Struct):
    """An endpoint dies, slows down or loses slots for a time."""

    kind: str
    at: float
    until: float
    endpoint: str


class Engines:
    """Engines in virtual time: slots, paces and faults."""

    def __init__(self, current, faults):
        self.current = current
        self.faults = faults
        self.running = dict.fromkeys(current.endpoints, 0)
        self.caches = {
            name: collections.OrderedDict() for name in current.endpoints
        }
        self.lookups = collections.Counter()
        self.queued = collections.Counter()
        self.waiting = []
        self.order = itertools.count()

    def prefill_steps(self, name, prefix):
        """Give how many tokens' time a prompt takes; cache its prefix."""
        cache = self.caches[name]
        found = prefix in cache
        self.lookups[found] += 1
        cache[prefix] = True
        cache.move_to_end(prefix)
        if len(cache) > CACHED_PREFIXES:
            cache.popitem(last=False)
        return 0 if found else PREFILL_TOKENS

    def suffers(self, kind, name, now):
        """Say whether a fault of a kind is on at an endpoint."""
        return any(
            fault.kind == kind
            and fault.endpoint == name
            and fault.at <= now < fault.until
            for fault in self.faults
        )

    def is_dead(self, name, now):
        return self.suffers('death', name, now)

    def pace(self, name, now):
        """Give the seconds that a token takes here."""
        spec = self.current.endpoints[name].spec
        seconds = STEP_SECONDS * PACE[spec.accelerator]
        slow = self.suffers('slow', name, now)
        return seconds * (SLOW_FACTOR if slow else 1.0)

    def queue(self, job):
        """Let a job wait for a slot at each engine of its chain."""
        rank = job.request.workload.rank
        bisect.insort(self.waiting, (rank, next(self.order), job))
        for name in job.names:
            self.queued[name] += 1

    def next_job(self, now):
        """Take out the most urgent job that has all its slots, or None."""
        for index, (_, _, job) in enumerate(self.waiting):
            if all(self.has_slot(name, now) for name in job.names):
                del self.waiting[index]
                for name in job.names:
                    self.queued[name] -= 1
                return job
        return None

    def slots(self, name, now):
        spec = self.current.endpoints[name].spec
        shrunk = self.suffers('shrunk', name, now)
        return SHRUNK_SLOTS if shrunk else spec.slots

    def has_slot(self, name, now):
        return self.running[name] < self.slots(name, now)

    def refuses(self, name, now):
        """Say whether too many wait at an engine already."""
        most = (1 + QUEUED_A_SLOT) * self.slots(name, now)
        return self.running[name] + self.queued[name] >= most

    def load(self, name):
        """Give an engine's report of its load."""
        slots = self.current.endpoints[name].spec.slots
        return engines.EngineLoad(self.running[name], self.queued[name], slots)

    def death_within(self, names, start, end):
        """Give the first death of a chain's endpoint in a time, or None."""
        deaths = [
            (f.at, f.endpoint)
            for f in self.faults
            if f.kind == 'death'
            and f.endpoint in names
            and start <= f.at < end
        ]
        return min(deaths, default=None)


def capacity(current, offered):
    """Give the requests a second that the engines can finish."""
    rate = {}
    for endpoint in current.endpoints.values():
        spec = endpoint.spec
        if spec.model:
            pace = STEP_SECONDS * PACE[spec.accelerator]
            rate.setdefault(spec.first_layer, []).append((spec.slots, pace))
    chain = sum(
        sum(s * p for s, p in group) / sum(s for s, _ in group)
        for group in rate.values()
    )
    slots = min(sum(s for s, _ in group) for group in rate.values())
    mean = sum(w.share * w.tokens for w in offered) + PREFILL_TOKENS
    return slots / (chain * mean)
