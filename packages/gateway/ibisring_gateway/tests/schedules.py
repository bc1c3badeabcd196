"""What goes wrong in a run in virtual time, and when."""

__all__ = ['Trouble', 'Change', 'Schedule', 'draw', 'draw_large']

import random

import msgspec

# What may go wrong: the store for all routers or for some; one router.
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
# The tables of the store.
TABLE = 'table'
ENDPOINTS = 'endpoints'
# Seconds that are played after the last change or trouble.
AFTER = 8.0


class Trouble(msgspec.Struct, frozen=True):
    """Something that goes wrong, from `at` on, for `lasts` seconds.

    `who` are numbers of routers; none means all.
    """

    kind: str
    at: float
    lasts: float
    who: tuple[int, ...] = ()

    @property
    def ends(self):
        """When it is over."""
        return self.at + self.lasts

    def strikes(self, number):
        """Say whether it is about a router."""
        return not self.who or number in self.who


class Change(msgspec.Struct, frozen=True):
    """The operator, or an endpoint, writes at a time."""

    at: float
    source: str


class Schedule(msgspec.Struct, frozen=True):
    """What happens in a run; times are seconds from its start."""

    routers: int
    changes: tuple[Change, ...]
    troubles: tuple[Trouble, ...]
    seed: int = 0
    domains: int = 3

    @property
    def ends(self):
        """When the run ends."""
        times = [0.0]
        times += [change.at for change in self.changes]
        times += [trouble.ends for trouble in self.troubles]
        return max(times) + AFTER


def draw(seed):
    """Draw a schedule: troubles in series and overlapping, many changes."""
    rng = random.Random(seed)
    routers = rng.randint(3, 7)
    troubles = []
    for _ in range(rng.randint(1, 4)):
        kind = rng.choice(KINDS)
        lasts = rng.uniform(0.3, 7.0)
        who = ()
        if kind in ROUTER_KINDS or rng.random() < 0.3:
            who = tuple(rng.sample(range(routers), rng.randint(1, 2)))
        troubles.append(Trouble(kind, rng.uniform(3.0, 14.0), lasts, who))
    changes = [
        Change(rng.uniform(2.0, 20.0), rng.choice((TABLE, ENDPOINTS)))
        for _ in range(rng.randint(3, 14))
    ]
    changes.sort(key=lambda change: change.at)
    return Schedule(routers, tuple(changes), tuple(troubles), seed)


def draw_large(seed, least=9, most=24, domains=3):
    """Draw a schedule for more routers than read the store.

    Trouble of some routers strikes a few, a tenth or a third of them; half of
    the time those of one failure domain whose names come first, which read.
    """
    schedule = draw(seed)
    rng = random.Random(seed + 1)
    routers = rng.randint(least, most)
    troubles = []
    for trouble in schedule.troubles:
        if trouble.who:
            who = _some(rng, routers, domains)
            trouble = msgspec.structs.replace(trouble, who=who)
        troubles.append(trouble)
    return msgspec.structs.replace(
        schedule,
        routers=routers,
        troubles=tuple(troubles),
        domains=domains,
    )


def _some(rng, routers, domains):
    count = rng.choice((1, 2, max(2, routers // 10), max(2, routers // 3)))
    if rng.random() < 0.5:
        return tuple(rng.sample(range(routers), count))
    domain = rng.randrange(domains)
    names = sorted(range(domain, routers, domains), key=str)
    return tuple(names[:count])
