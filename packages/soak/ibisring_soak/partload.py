"""Requests with a part in their prompts that crashes what begins to answer.

No two of them are alike but for that part.  Others of the same caller share
the rest of their parts.  Runs on real gateway processes, and returns what
callers and endpoints observed.
"""

__all__ = ['PartCaller', 'PartLoad', 'Observations', 'run_load']


from ibisring_soak import asking
from ibisring_soak import poison
import msgspec

DEADLY_PART = 'dead01'
SHARED_PART = 'a11e01'
# Part that all other streams of a soak have.
SOAK_PART = '5c1e07a2'
CRASHES = 5
# Time that routers have to inform each other of the last of these crashes.
CONTACT_SECONDS = 3.0
PART_TOKENS = 4
OTHER_KEY = 'key-2'


class PartCaller(poison.PoisonCaller):
    """A caller of requests that share nothing but a deadly part.

    Parameters
    ----------
    world : world.World
    """

    def __init__(self, world):
        super().__init__(world, 'stream')
        world.site.poison = None
        world.site.poison_parts = {DEADLY_PART}
        world.history.crashes_until_known = CRASHES

    def _send(self, name, router):
        return asking.send(
            router,
            name,
            self.kind,
            name.encode(),
            **{'Prompt-Prefix': _prompt(SOAK_PART, DEADLY_PART, f'{name}0')},
        )


def _prompt(*parts):
    return ','.join(f'{part}:{PART_TOKENS}' for part in parts)


class PartLoad(msgspec.Struct, frozen=True):
    """Load on the route of streams; `*_every` are seconds between requests.

    `events` are sent of a deadly request before its endpoint crashes;
    `keeps_port` tells whether something else keeps the endpoint's port open.
    """

    events: int = 0
    keeps_port: bool = False
    deadly_every: float = 0.3
    sound_every: float = 1 / 13
    deadly_after: float = 3.0
    seconds: float = 17.0


class Observations(msgspec.Struct):
    """What was observed; times are monotonic seconds."""

    crashes: list[float]
    deadly_runs: list[float]
    deadly_calls: list[asking.Call]
    sound_calls: list[asking.Call]
    neighbour_calls: list[asking.Call]

    @property
    def fifth_crash(self):
        """Time of the fifth crash, or of the last if there are fewer."""
        return sorted(self.crashes)[:CRASHES][-1]

    def late_runs(self):
        """Return the deadly runs after all routers have been informed."""
        since = self.fifth_crash + CONTACT_SECONDS
        return [at for at in self.deadly_runs if at > since]

    def refusals(self):
        """Return the deadly calls after all routers have been informed."""
        since = self.fifth_crash + CONTACT_SECONDS
        return [call for call in self.deadly_calls if call.sent_at > since]

    def served(self, calls):
        """Return the calls of a kind that settled, and those served."""
        since = self.fifth_crash + 2 * CONTACT_SECONDS
        settled = [call for call in calls if call.sent_at > since]
        return settled, [call for call in settled if call.status == 200]


class _Run:
    """Sends deadly and sound requests to the routers in turn."""

    def __init__(self, world, load):
        self.world = world
        self.load = load
        self.crasher = poison.Crasher(world)
        self.crasher.keeps_port = load.keeps_port
        world.site.poison = None
        world.site.poison_parts = {DEADLY_PART}
        world.site.poison_events = load.events
        self.calls = {'deadly': [], 'sound': [], 'neighbour': []}

    def run(self):
        """Send for the load's duration, and return what was observed."""
        asking.send_steadily(
            self._call,
            {
                'deadly': self.load.deadly_every,
                'sound': self.load.sound_every,
            },
            self.load.seconds,
            {'deadly': self.load.deadly_after},
        )
        return Observations(
            self.crasher.crashes,
            self.world.site.poison_runs,
            self.calls['deadly'],
            self.calls['sound'],
            self.calls['neighbour'],
        )

    def _call(self, source, number):
        """Send a request; every other sound one only shares the key."""
        own_part = f'{number + 1:x}b0b'
        parts = [SHARED_PART, own_part]
        if source == 'deadly':
            parts = [SHARED_PART, DEADLY_PART, own_part]
        elif number % 2:
            source = 'neighbour'
            parts = [own_part]
        routers = self.world.routers
        call = asking.send(
            routers[number % len(routers)],
            f'q{number}',
            'stream',
            b'body %d' % number,
            **{'Prompt-Prefix': _prompt(*parts)},
        )
        self.calls[source].append(call)


def run_load(world, load):
    """Run a load on a world that has started.

    Parameters
    ----------
    world : world.World
    load : PartLoad

    Returns
    -------
    Observations
    """
    return _Run(world, load).run()
