"""Engines whose answers end with their connection, some inside an event."""

__all__ = ['StreamBreaker']

import time

from ibisring_adapter.tests import rawanswers
from ibisring_soak import disruptions

# Shares of the streams.
BARE_SHARE = 0.3
BROKEN_SHARE = 0.1
CHECK_SECONDS = 0.1
# Framings and endings of a broken stream.
_BREAKS = (
    (rawanswers.CLOSE, rawanswers.Ending.CLOSED),
    (rawanswers.CLOSE, rawanswers.Ending.RESET),
    (rawanswers.CHUNKS, rawanswers.Ending.MARKED),
    (rawanswers.CHUNKS, rawanswers.Ending.CLOSED),
    (rawanswers.LENGTH, rawanswers.Ending.CLOSED),
)


class StreamBreaker(disruptions.Disruption):
    """Has engines answer some streams without a length or chunks.

    Parameters
    ----------
    world : world.World
    seed : int
    """

    def __init__(self, world, seed):
        super().__init__(world, f'broken streams {seed}')
        self.started_at = 0.0

    def _loop(self):
        self.started_at = time.monotonic()
        self.world.site.make_raw_stream = self._make
        while not self.stopped.wait(CHECK_SECONDS):
            pass
        self.world.site.make_raw_stream = lambda after, count: None
        now = time.monotonic()
        self.world.history.disruptions.append(
            ('endpoints', self.started_at, now)
        )

    def _make(self, after, count):
        """Return the raw answer of the events after one, or None."""
        draw = self.rng.random()
        if draw < BROKEN_SHARE and after < count:
            last = self.rng.randint(after, count - 1)
            cut = self.rng.randint(1, len(_event(last + 1)) - 1)
            body = _events(after, last) + _event(last + 1)[:cut]
            framing, ending = self.rng.choice(_BREAKS)
            return rawanswers.RawAnswer(body, framing, ending)
        if draw < BROKEN_SHARE + BARE_SHARE:
            return rawanswers.RawAnswer(_events(after, count))
        return None


def _event(number):
    return f'id: {number}\ndata: word-{number}\n\n'.encode()


def _events(after, last):
    return b''.join(_event(number) for number in range(after + 1, last + 1))
