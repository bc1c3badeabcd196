"""Many kept connections at one router, a burst of them in use at a time."""

__all__ = ['Channel', 'ChannelKeeper', 'LIMITS', 'SETTINGS']

import concurrent.futures
import http.client
import random
import select
import threading
import time

from ibisring_soak import callers
from ibisring_soak import disruptions
from ibisring_soak import records

# So long that no channel is closed for being idle.
LIMITS = {'IdleTimeoutMs': 120000}
# Streams wait for room in order of their ranks, as the bursts want.
SETTINGS = {'queueing': 'on'}
# Longer than a request may stay unanswered.
READ_TIMEOUT_SECONDS = 6.5
WORKERS = 160
OPENED_AT_ONCE = 40
# Requests of a burst: more than the engines have room for at once.
BURST = (40, 160)
INTERVAL_SECONDS = (0.3, 1.5)
SHARES = {'stream': 0.6, 'once': 0.2, 'safe': 0.2}
EVENTS = (3, 12)


class Channel:
    """A kept connection; one request at a time."""

    __slots__ = ('conn',)

    def __init__(self, port):
        self.conn = http.client.HTTPConnection(
            '127.0.0.1', port, timeout=READ_TIMEOUT_SECONDS
        )

    def was_closed(self):
        """Return whether the router closed it while it was idle."""
        sock = self.conn.sock
        if sock is None:
            return False
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))


class ChannelKeeper(disruptions.Disruption):
    """Holds channels at the first router, and uses many of them at once.

    Bodies come in chunks, and channels stay idle after them.

    Parameters
    ----------
    world : world.World
    seed, count : int

    Attributes
    ----------
    opened : threading.Event
        Set once each channel has carried a request.
    """

    def __init__(self, world, seed, count):
        super().__init__(world, f'kept channels {seed}')
        self.router = world.routers[0]
        port = self.router.process.caller_port
        self.channels = [Channel(port) for _ in range(count)]
        self.calls = 0
        self.pool = concurrent.futures.ThreadPoolExecutor(WORKERS)
        self.opened = threading.Event()

    def start(self):
        """Start, and wait until all channels are open."""
        super().start()
        self.opened.wait()

    def _loop(self):
        self._open()
        self.opened.set()
        while not self.stopped.wait(self.rng.uniform(*INTERVAL_SECONDS)):
            count = min(self.rng.randint(*BURST), len(self.channels))
            burst = [
                self._submit(channel, self._draw_kind())
                for channel in self.rng.sample(self.channels, count)
            ]
            concurrent.futures.wait(burst)
        closed = sum(channel.was_closed() for channel in self.channels)
        self.world.history.closed_channels += closed
        self.pool.shutdown()
        for channel in self.channels:
            channel.conn.close()

    def _open(self):
        """Open a few channels at a time, every other one with a body."""
        for first in range(0, len(self.channels), OPENED_AT_ONCE):
            opening = [
                self._submit(channel, 'once' if number % 2 else 'safe')
                for number, channel in enumerate(
                    self.channels[first : first + OPENED_AT_ONCE]
                )
            ]
            concurrent.futures.wait(opening)

    def _draw_kind(self):
        return self.rng.choices(list(SHARES), list(SHARES.values()))[0]

    def _submit(self, channel, kind):
        self.calls += 1
        name = f'k{self.calls}'
        events = self.rng.randint(*EVENTS)
        return self.pool.submit(self._call, channel, name, kind, events)

    def _call(self, channel, name, kind, events):
        call = records.Call(
            id=name,
            kind=kind,
            router=self.router.name,
            key=self.rng.choice(self.world.keys()),
            sent_at=time.monotonic(),
            expected_events=events,
        )
        if channel.was_closed():
            self.world.history.closed_channels += 1
        self.world.history.calls.append(call)
        rng = random.Random(name)
        body = None if kind == 'safe' else iter([b'bo', b'dy'])
        if not callers.send(channel.conn, call, rng, body):
            channel.conn.close()
        call.ended_at = time.monotonic()
