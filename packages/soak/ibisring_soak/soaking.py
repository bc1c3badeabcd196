"""One run: start, faults while callers call, calm, then the checks."""

__all__ = ['Outcome', 'soak']

import collections
import time

from ibisring_soak import callers as callers_module
from ibisring_soak import injecting
from ibisring_soak import limited
from ibisring_soak import poison as poison_module
from ibisring_soak import promises
from ibisring_soak import schedule
from ibisring_soak import world as world_module
import msgspec

# Seconds of calls to judge by, after the time that recovery may take.
JUDGED = 3.0


class Outcome(msgspec.Struct):
    """What came of a run."""

    seed: int
    faults: list
    violations: list
    calls: int
    statuses: dict
    runs: int


def soak(
    seed,
    seconds,
    folder,
    routers=3,
    engines=8,
    callers=10,
    poison='',
    limits=False,
):
    """Run once.

    Parameters
    ----------
    seed : int
        Gives the same faults at the same times.
    seconds : float
        How long faults come; calls go on for 15 s more.
    folder : pathlib.Path
        For settings and logs.
    routers, engines, callers : int
    poison : str
        Kind of a route on which a request comes that ends its endpoints, ''
        for none.
    limits : bool
        Whether endpoints name limits from time to time.

    Returns
    -------
    Outcome
    """
    faults = schedule.make_schedule(seed, seconds)
    world = world_module.make_world(folder, routers, engines)
    try:
        world.start()
        threads = callers_module.make_callers(world, seed, callers)
        threads.start()
        troubles = []
        if poison:
            troubles.append(poison_module.Attack(world, poison))
        if limits:
            troubles.append(limited.Namer(world, seed))
        for trouble in troubles:
            trouble.start()
        injecting.make_injector(world).run(faults)
        for trouble in troubles:
            trouble.stop()
        time.sleep(promises.RECOVERS_WITHIN + JUDGED)
        threads.stop()
        history = world.collect()
    finally:
        world.stop()
    statuses = collections.Counter(
        f'{call.kind} {call.status}{"" if call.whole else " cut"}'
        for call in history.calls
    )
    return Outcome(
        seed=seed,
        faults=faults,
        violations=promises.check(history),
        calls=len(history.calls),
        statuses=dict(sorted(statuses.items())),
        runs=len(history.runs),
    )
