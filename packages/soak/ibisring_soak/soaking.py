"""Runs one soak: injects faults under load, lets it recover, checks it."""

__all__ = ['Options', 'Outcome', 'soak']

import collections
import time

from ibisring_soak import announcements
from ibisring_soak import backoffs as backoffs_module
from ibisring_soak import brokenstreams
from ibisring_soak import callers as callers_module
from ibisring_soak import cuts as cuts_module
from ibisring_soak import exits
from ibisring_soak import guarantees
from ibisring_soak import halfbodies
from ibisring_soak import injecting
from ibisring_soak import keptchannels
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


class Options(msgspec.Struct, kw_only=True):
    """What disrupts a run beside its schedule; the command line explains it.

    `poison` is the kind of a route, 'part', or '' for none; `halves` and
    `kept` are numbers, 0 for none.  The last four run beside planned work
    only.
    """

    poison: str = ''
    limits: bool = False
    backoffs: bool = False
    leaves: bool = False
    restores: bool = False
    cuts: bool = False
    breaks: bool = False
    pauses: bool = False
    exits: bool = False
    halves: int = 0
    kept: int = 0

    @property
    def is_planned(self):
        """Whether no fault comes beside planned work."""
        return bool(self.pauses or self.exits or self.halves or self.kept)


PART = 'part'


def _make_poison(world, kind):
    if kind == PART:
        return partload.PartCaller(world)
    return poison_module.PoisonCaller(world, kind)


def _make_disruptions(world, seed, options):
    makers = {
        'limits': ratelimits.LimitChanger,
        'backoffs': backoffs_module.BackoffChanger,
        'leaves': announcements.LeaveAnnouncer,
        'restores': announcements.StoreRestorer,
        'cuts': cuts_module.LinkCutter,
        'breaks': brokenstreams.StreamBreaker,
        'pauses': pausing.EnginePauser,
        'exits': exits.EndpointLeaver,
    }
    made = [
        maker(world, seed)
        for name, maker in makers.items()
        if getattr(options, name)
    ]
    if options.poison:
        made.insert(0, _make_poison(world, options.poison))
    if options.halves:
        made.append(halfbodies.BodyStaller(world, seed, options.halves))
    if options.kept:
        made.insert(0, keptchannels.ChannelKeeper(world, seed, options.kept))
    return made


def _make_world(seed, folder, routers, engines, options):
    site = None
    if options.exits:
        site = exits.LeavingSite()
    elif options.is_planned:
        site = pausing.PausingSite()
    settings = {}
    if options.is_planned and seed & 1:
        settings |= SCARCE_RETRIES
    if options.kept:
        site.limits = keptchannels.LIMITS
        settings |= keptchannels.SETTINGS
    world = world_module.make_world(
        folder,
        routers,
        engines,
        own_links=options.cuts,
        site=site,
        settings=settings,
    )
    if options.is_planned and not options.exits:
        world.history.is_sound = True
        world.history.recovery_seconds = PLANNED_RECOVERY_SECONDS
    return world


def soak(
    seed, seconds, folder, routers=3, engines=8, callers=10, **option_values
):
    """Run the soak once.

    Parameters
    ----------
    seed : int
        Determines the faults and their times.
    seconds : float
        Duration of the faults; calls go on for some seconds more.
    folder : pathlib.Path
        Settings and logs of the processes.
    routers, engines, callers : int
    **option_values
        Values of `Options`.

    Returns
    -------
    Outcome
    """
    options = Options(**option_values)
    faults = schedule.make_schedule(seed, seconds)
    shares = callers_module.SHARES
    if options.is_planned:
        faults = schedule.make_planned(seed, seconds)
        shares = callers_module.PLANNED_SHARES
    world = _make_world(seed, folder, routers, engines, options)
    try:
        world.start()
        caller_threads = callers_module.make_callers(
            world, seed, callers, shares
        )
        caller_threads.start()
        disruptions = _make_disruptions(world, seed, options)
        for disruption in disruptions:
            disruption.start()
        injecting.make_injector(world).run(faults, seconds)
        for disruption in disruptions:
            disruption.stop()
        world.history.faults_ended_at = time.monotonic()
        time.sleep(world.history.recovery_seconds + RECOVERY_SAMPLE_SECONDS)
        caller_threads.stop()
        history = world.collect()
    finally:
        world.stop()
    statuses = collections.Counter(
        f'{call.kind} {call.status}{"" if call.complete else " incomplete"}'
        for call in history.calls
    )
    if options.exits:
        for framing, count in world.site.cuts.items():
            statuses[f'answers cut, {framing}'] = count
    return Outcome(
        seed=seed,
        faults=faults,
        violations=guarantees.check(history),
        calls=len(history.calls),
        statuses=dict(sorted(statuses.items())),
        runs=len(history.runs),
    )
