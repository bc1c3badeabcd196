"""One run: start, faults while callers call, calm, then the checks."""

__all__ = ['Outcome', 'soak']

import collections
import time

from ibisring_soak import callers as callers_module
from ibisring_soak import injecting
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


def soak(seed, seconds, folder, routers=3, engines=8, callers=10, poison=''):
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
        attack = None
        if poison:
            attack = poison_module.Attack(world, poison)
            attack.start()
        injecting.make_injector(world).run(faults)
        if attack is not None:
            attack.stop()
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
