"""Sound engines that fall silent for about a second, and go on."""

__all__ = ['EnginePauser', 'PausingEngine', 'PausingSite', 'event']

import time

from ibisring_adapter.tests import standin
from ibisring_soak import disruptions

PAUSE_SECONDS = (0.3, 1.5)
# Time without a pause before the next ones, in which all streams go on: two
# pauses in a row would be a longer silence.
INTERVAL_SECONDS = (0.2, 1.0)
# Share of an engine's streams that are preempted, the newest first, and of
# the engines that are silent at the same time.
PREEMPTED_SHARES = (0.25, 0.5, 0.75)
MAX_SILENT_SHARE = 0.5
EVENT_SECONDS = 0.03
# Each router may have several streams and status queries at an engine.
THREADS = 48
POLL_SECONDS = 0.01


def event(number):
    """Return the bytes of an event of a stream."""
    return f'id: {number}\ndata: word-{number}\n\n'.encode()


class PausingEngine(standin.Engine):
    """A model server that can preempt streams, or be silent as a whole.

    Attributes
    ----------
    silent_until : float
        Monotonic seconds until which it sends nothing.
    running : dict of str to float
        Monotonic seconds until which each stream pauses, by request id, in
        the order of their starts.
    """

    event_seconds_by_default = EVENT_SECONDS

    def __init__(self, *arguments):
        self.silent_until = 0.0
        self.running = {}
        super().__init__(*arguments)
        self.event_seconds = self.event_seconds_by_default

    def preempt(self, share, seconds):
        """Have the newest streams pause while others go on."""
        running = list(self.running)
        until = time.monotonic() + seconds
        for request_id in running[
            len(running) - round(share * len(running)) :
        ]:
            if request_id in self.running:
                self.running[request_id] = until

    def fall_silent(self, seconds):
        """Send nothing for a while: no events, no answers."""
        self.silent_until = time.monotonic() + seconds

    @property
    def is_silent(self):
        """Whether it sends nothing now."""
        return time.monotonic() < self.silent_until

    def app(self, environ, start_response):
        """Handle a request once the engine is not silent any more."""
        while self.is_silent:
            time.sleep(POLL_SECONDS)
        return super().app(environ, start_response)

    def _events(self, request_id, path, after, count, environ):
        self.running[request_id] = 0.0
        try:
            for number in range(after + 1, count + 1):
                time.sleep(self.event_seconds)
                while self._is_stalled(request_id, path):
                    time.sleep(POLL_SECONDS)
                yield event(number)
            self.site.finished[request_id] = time.monotonic()
        finally:
            self.running.pop(request_id, None)

    def _is_stalled(self, request_id, path):
        """Return whether a stream pauses, or a stage of it is silent.

        A stage that gave its layers up goes on with what passes through it.
        """
        if time.monotonic() < self.running.get(request_id, 0.0):
            return True
        parts = self.paths.get(request_id, path).split(',')
        stages = [self.site.engine_at(p.partition('=')[0]) for p in parts]
        return any(stage.is_silent for stage in stages if stage)


class PausingSite(standin.Site):
    """A site whose model servers are `PausingEngine`.

    Attributes
    ----------
    limits : dict of str to int
        Limits of callers in place of the usual ones.
    """

    engine_class = PausingEngine
    service_class = standin.Service

    def __init__(self, store=None):
        super().__init__(store)
        self.limits = {}

    def configure(self, **changes):
        """Write a configuration with the site's own limits."""
        config = standin.configuration(**changes)
        config['Limits'] |= self.limits
        self.last_configuration = config
        self.store.put('op', 'config', config)

    def add_engine(
        self, name, zone='a', layers=16, map_address=None, threads=THREADS
    ):
        """Start a model server, see `standin.Site`."""
        card = f'card-{layers + 1}'
        engine = self.engine_class(self, name, zone, card, threads)
        if map_address is not None:
            engine.address = map_address(engine.address)
        self.engines[name] = engine
        engine.register()
        return engine

    def add_service(self, name, map_address=None):
        """Start a server of the plain service."""
        service = self.service_class(self, name)
        if map_address is not None:
            service.address = map_address(service.address)
        self.services[name] = service
        self.store.put('servers', name, service.entry())
        return service


class EnginePauser(disruptions.Disruption):
    """Has engines preempt streams, or fall silent, one time after another.

    Parameters
    ----------
    world : world.World
        Its site is a `PausingSite`.
    seed : int
    """

    def __init__(self, world, seed):
        super().__init__(world, f'pauses {seed}')

    def _loop(self):
        while not self.stopped.wait(self.rng.uniform(*INTERVAL_SECONDS)):
            engines = sorted(
                self.world.site.engines.values(), key=lambda each: each.name
            )
            if self.rng.random() < 0.5:
                longest = self._preempt(engines)
            else:
                longest = self._silence(engines)
            self.stopped.wait(longest)

    def _preempt(self, engines):
        share = self.rng.choice(PREEMPTED_SHARES)
        chosen = self.rng.sample(engines, self.rng.randint(1, len(engines)))
        return self._pause(chosen, lambda e, s: e.preempt(share, s))

    def _silence(self, engines):
        most = max(1, round(MAX_SILENT_SHARE * len(engines)))
        chosen = self.rng.sample(engines, self.rng.randint(1, most))
        return self._pause(chosen, PausingEngine.fall_silent)

    def _pause(self, engines, pause):
        """Pause engines, each for its own time; return the longest one."""
        longest = 0.0
        for engine in engines:
            seconds = self.rng.uniform(*PAUSE_SECONDS)
            pause(engine, seconds)
            longest = max(longest, seconds)
        return longest
