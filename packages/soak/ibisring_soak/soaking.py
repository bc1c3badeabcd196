"""Runs one soak: injects faults under load, lets it recover, checks it."""

__all__ = ['Outcome', 'soak']

import collections
import time

from ibisring_soak import announcements
from ibisring_soak import backoffs as backoffs_module
from ibisring_soak import brokenstreams
from ibisring_soak import callers as callers_module
from ibisring_soak import cuts as cuts_module
from ibisring_soak import guarantees
from ibisring_soak import injecting
from ibisring_soak import partload
from ibisring_soak import pausing
from ibisring_soak import poison as poison_module
from ibisring_soak import ratelimits
from ibisring_soak import schedule
from ibisring_soak import world as world_module
import msgspec

# Time after the recovery whose calls the recovery check is based on.
RECOVERY_SAMPLE_SECONDS = 3.0
# The same where only planned work came: a router that restarts is ready.
PLANNED_RECOVERY_SECONDS = 3.0
SCARCE_RETRIES = {'repeat_ratio': 0.02, 'repeat_slack': 1.0}


class Outcome(msgspec.Struct):
    """The result of a run."""

    seed: int
    faults: list
    violations: list
    calls: int
    statuses: dict
    runs: int


PART = 'part'


def _make_poison(world, kind):
    if kind == PART:
        return partload.PartCaller(world)
    return poison_module.PoisonCaller(world, kind)


def soak(
    seed,
    seconds,
    folder,
    routers=3,
    engines=8,
    callers=10,
    poison='',
    limits=False,
    backoffs=False,
    leaves=False,
    restores=False,
    cuts=False,
    breaks=False,
    pauses=False,
):
    """Run the soak once.

    Parameters
    ----------
    seed : int
        Determines the faults and their times.
    seconds : float
        Duration of the faults; calls go on for 15 s more.
    folder : pathlib.Path
        Settings and logs of the processes.
    routers, engines, callers : int
    poison : str
        Kind of the route of a request that crashes its endpoints, 'part' for
        requests that share nothing but a part that does so, '' for none.
    limits : bool
        Whether endpoints declare rate limits from time to time.
    backoffs : bool
        Whether endpoints ask for backoff from time to time.
    leaves : bool
        Whether endpoints leave that say so in their answers only.
    restores : bool
        Whether the store comes back from copies that lack writes.
    cuts : bool
        Whether routers lose their links to endpoints.
    breaks : bool
        Whether engines answer without a length, and break off some streams.
    pauses : bool
        Whether sound engines pause, beside planned work only.

    Returns
    -------
    Outcome
    """
    faults = schedule.make_schedule(seed, seconds)
    shares = callers_module.SHARES
    site, settings = None, None
    if pauses:
        faults = schedule.make_planned(seed, seconds)
        shares = callers_module.PAUSE_SHARES
        site = pausing.PausingSite()
        settings = SCARCE_RETRIES if seed & 1 else None
    world = world_module.make_world(
        folder, routers, engines, own_links=cuts, site=site, settings=settings
    )
    if pauses:
        world.history.is_sound = True
        world.history.recovery_seconds = PLANNED_RECOVERY_SECONDS
    try:
        world.start()
        caller_threads = callers_module.make_callers(
            world, seed, callers, shares
        )
        caller_threads.start()
        disruptions = []
        if poison:
            disruptions.append(_make_poison(world, poison))
        if limits:
            disruptions.append(ratelimits.LimitChanger(world, seed))
        if backoffs:
            disruptions.append(backoffs_module.BackoffChanger(world, seed))
        if leaves:
            disruptions.append(announcements.LeaveAnnouncer(world, seed))
        if restores:
            disruptions.append(announcements.StoreRestorer(world, seed))
        if cuts:
            disruptions.append(cuts_module.LinkCutter(world, seed))
        if breaks:
            disruptions.append(brokenstreams.StreamBreaker(world, seed))
        if pauses:
            disruptions.append(pausing.EnginePauser(world, seed))
        for disruption in disruptions:
            disruption.start()
        injecting.make_injector(world).run(faults, seconds)
        for disruption in disruptions:
            disruption.stop()
        time.sleep(world.history.recovery_seconds + RECOVERY_SAMPLE_SECONDS)
        caller_threads.stop()
        history = world.collect()
    finally:
        world.stop()
    statuses = collections.Counter(
        f'{call.kind} {call.status}{"" if call.complete else " incomplete"}'
        for call in history.calls
    )
    return Outcome(
        seed=seed,
        faults=faults,
        violations=guarantees.check(history),
        calls=len(history.calls),
        statuses=dict(sorted(statuses.items())),
        runs=len(history.runs),
    )
