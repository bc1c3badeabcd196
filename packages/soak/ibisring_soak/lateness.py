"""Measures how late a process of the tests itself gets processor time."""

__all__ = ['Lateness', 'Ticker', 'busy_share', 'processor_times']

import asyncio
import pathlib
import threading
import time

import msgspec

TICK_SECONDS = 0.01
# Ticks that are later than this are kept with their times.
LATE_SECONDS = 0.05
PERCENTILE = 0.99
MS_PER_SECOND = 1000.0
# Columns of /proc/stat in which a processor is idle: idle and iowait.
IDLE_COLUMNS = (3, 4)


class Lateness(msgspec.Struct):
    """How late the ticks of a process came.

    `late_seconds` is the time of its longer delays in all, `processors` the
    processor time that it used per second.
    """

    percentile_ms: float
    largest_ms: float
    late_seconds: float
    processors: float


class Ticker:
    """Ticks in a thread or in an event loop, and records how late it does.

    Attributes
    ----------
    lates : list of float
        Seconds by which each tick came late.
    spans : list of (float, float)
        Monotonic start and end of the longer delays.
    """

    def __init__(self):
        self.lates = []
        self.spans = []
        self.started_at = time.monotonic()
        self.used_before = time.process_time()

    def start_thread(self):
        """Tick in a thread from now on."""
        threading.Thread(target=self._loop, daemon=True).start()
        return self

    def _loop(self):
        while True:
            due_at = time.monotonic() + TICK_SECONDS
            time.sleep(TICK_SECONDS)
            self._record(due_at)

    async def run(self):
        """Tick in the running event loop until cancelled."""
        while True:
            due_at = time.monotonic() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            self._record(due_at)

    def _record(self, due_at):
        now = time.monotonic()
        self.lates.append(now - due_at)
        if now - due_at > LATE_SECONDS:
            self.spans.append((due_at, now))

    def late_within(self, start, end):
        """Return the seconds of the longer delays within a span of time."""
        return sum(
            max(0.0, min(end, until) - max(start, since))
            for since, until in self.spans
        )

    def report(self):
        """Return the `Lateness` since the ticker was made."""
        lates = sorted(self.lates) or [0.0]
        seconds = time.monotonic() - self.started_at
        used = time.process_time() - self.used_before
        return Lateness(
            percentile_ms=_ms(lates[int(PERCENTILE * (len(lates) - 1))]),
            largest_ms=_ms(lates[-1]),
            late_seconds=round(sum(end - due for due, end in self.spans), 2),
            processors=round(used / seconds, 3),
        )


def _ms(seconds):
    return round(MS_PER_SECOND * seconds, 1)


def processor_times():
    """Return the idle and the whole time of all processors, in ticks."""
    first_line = pathlib.Path('/proc/stat').read_text().partition('\n')[0]
    # The last two columns, of guests, are part of the first two.
    values = [int(value) for value in first_line.split()[1:9]]
    return sum(values[n] for n in IDLE_COLUMNS), sum(values)


def busy_share(before):
    """Return the busy share of all processors since `processor_times`."""
    now = processor_times()
    idle, whole = (after - first for after, first in zip(now, before))
    return round(1.0 - idle / whole, 3) if whole else 0.0
