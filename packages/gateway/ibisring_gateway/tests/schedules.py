"""Schedules of changes and failures for runs in virtual time."""

__all__ = ['Failure', 'Change', 'Schedule', 'draw', 'draw_large']

import random

import msgspec

# Kinds of failures: of the store, for all routers or some; of routers.
STORE_KINDS = ('silent', 'reset', 'busy', 'old', 'lost')
ROUTER_KINDS = (
    'unreachable',
    'cut',
    'isolated',
    'frozen',
    'restart',
    'lossy',
)
KINDS = STORE_KINDS + ROUTER_KINDS
# At the end of this failure the store, which answered nobody, comes back from
# a copy.
RESTORE = 'restore'
# All that a router sends, and the store's answers to it, arrive late.
SLOW = 'slow'
TABLE = 'table'
ENDPOINTS = 'endpoints'
# A change that removes an endpoint, which all routers knew, from the table of
# endpoints.
REMOVAL = 'removal'
# Seconds that a run continues after the last change or failure.
SETTLE_SECONDS = 8.0


class Failure(msgspec.Struct, frozen=True):
    """A failure that starts at `at` and lasts `lasts` seconds.

    `who` are the numbers of the affected routers; empty means all.
    """

    kind: str
    at: float
    seconds: float
    affected: tuple[int, ...] = ()

    @property
    def ends_at(self):
        """When the failure is over."""
        return self.at + self.seconds

    def affects(self, number):
        """Return whether a router is affected."""
        return not self.affected or number in self.affected


class Change(msgspec.Struct, frozen=True):
    """A write to a table, by the operator or an endpoint."""

    at: float
    source: str


class Schedule(msgspec.Struct, frozen=True):
    """Events of a run; times are seconds from its start."""

    routers: int
    changes: tuple[Change, ...]
    failures: tuple[Failure, ...]
    seed: int = 0
    domains: int = 3

    @property
    def ends_at(self):
        """When the run ends."""
        times = [0.0]
        times += [change.at for change in self.changes]
        times += [failure.ends_at for failure in self.failures]
        return max(times) + SETTLE_SECONDS


def draw(seed):
    """Draw a schedule of many changes and failures that may overlap."""
    rng = random.Random(seed)
    routers = rng.randint(3, 7)
    failures = []
    for _ in range(rng.randint(1, 4)):
        kind = rng.choice(KINDS)
        seconds = rng.uniform(0.3, 7.0)
        affected = ()
        if kind in ROUTER_KINDS or rng.random() < 0.3:
            affected = tuple(rng.sample(range(routers), rng.randint(1, 2)))
        failures.append(
            Failure(kind, rng.uniform(3.0, 14.0), seconds, affected)
        )
    changes = [
        Change(rng.uniform(2.0, 20.0), rng.choice((TABLE, ENDPOINTS)))
        for _ in range(rng.randint(3, 14))
    ]
    changes.sort(key=lambda change: change.at)
    return Schedule(routers, tuple(changes), tuple(failures), seed)


def draw_large(seed, min_routers=9, max_routers=24, domains=3):
    """Draw a schedule with more routers than read the store.

    Failures of some routers affect one, two, a tenth or a third of them; half
    of the time the first names of one failure domain, which are its readers.
    """
    schedule = draw(seed)
    rng = random.Random(seed + 1)
    routers = rng.randint(min_routers, max_routers)
    failures = []
    for failure in schedule.failures:
        if failure.affected:
            affected = _draw_affected(rng, routers, domains)
            failure = msgspec.structs.replace(failure, affected=affected)
        failures.append(failure)
    return msgspec.structs.replace(
        schedule,
        routers=routers,
        failures=tuple(failures),
        domains=domains,
    )


def _draw_affected(rng, routers, domains):
    count = rng.choice((1, 2, max(2, routers // 10), max(2, routers // 3)))
    if rng.random() < 0.5:
        return tuple(rng.sample(range(routers), count))
    domain = rng.randrange(domains)
    names = sorted(range(domain, routers, domains), key=str)
    return tuple(names[:count])
