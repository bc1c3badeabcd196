"""Structured lines on standard output: bounded, and never waited for."""

__all__ = ['Writer', 'configure']

import logging
import logging.handlers
import queue
import sys
import threading
import time

from ibisring_router import logs

# Lines that may wait to be written, and lines a second over time: about
# 25 KB/s at 250 bytes a line, five times the usual load of one router.
MOST_WAITING = 2000
LINES_A_SECOND = 100.0
BURST = 1000.0


class Writer(logging.handlers.QueueHandler):
    """Hands lines to a thread that writes them; drops what is too much.

    A reader of standard output that stops would block whoever writes, and
    a burst of lines costs the processor time that requests need.  Lines
    beyond the bound are dropped and counted, and the next line that passes
    says how many were lost.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start.
    """

    def __init__(self, stream, clock=time.monotonic):
        self.waiting = queue.Queue(MOST_WAITING)
        super().__init__(self.waiting)
        target = logging.StreamHandler(stream)
        self.listener = logging.handlers.QueueListener(self.waiting, target)
        self.setFormatter(logs.JsonLines())
        self.clock = clock
        self.lock_state = threading.Lock()
        self.tokens = BURST
        self.filled_at = clock()
        self.dropped = 0
        self.told = 0

    def emit(self, record):
        if not self._admit(record):
            return
        super().emit(record)

    def _admit(self, record):
        with self.lock_state:
            now = self.clock()
            gained = (now - self.filled_at) * LINES_A_SECOND
            self.tokens = min(BURST, self.tokens + gained)
            self.filled_at = now
            if self.tokens < 1.0:
                self.dropped += 1
                return False
            self.tokens -= 1.0
            if self.dropped > self.told:
                facts = dict(getattr(record, 'facts', {}))
                facts['lines_dropped_before'] = self.dropped - self.told
                record.facts = facts
                self.told = self.dropped
            return True

    def enqueue(self, record):
        try:
            self.waiting.put_nowait(record)
        except queue.Full:
            with self.lock_state:
                self.dropped += 1


def configure(level='INFO', stream=None):
    """Send all log lines of this process through a `Writer`."""
    writer = Writer(stream or sys.stdout)
    root = logging.getLogger()
    root.handlers[:] = [writer]
    root.setLevel(level)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
    writer.listener.start()
    return writer
