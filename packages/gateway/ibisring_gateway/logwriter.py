"""Bounded, non-blocking output of structured log lines."""

__all__ = ['LogWriter', 'configure']

import logging
import logging.handlers
import queue
import sys
import threading
import time

from ibisring_router import logs

# Length of the queue of lines to be written, and sustained lines per second:
# about 25 KB/s at 250 bytes a line, five times the usual load of one router.
MAX_QUEUED_LINES = 2000
LINES_PER_SECOND = 100.0
BURST_LINES = 1000.0
DRAIN_POLL_SECONDS = 0.005


class LogWriter(logging.handlers.QueueHandler):
    """Queues lines for a writer thread; drops those beyond a rate limit.

    If the reader of standard output stops reading, a direct write would
    block the thread that logs, and a burst of lines costs CPU time that
    requests need.  Lines beyond the limit are dropped and counted, and the
    next line written states how many were dropped before it.

    Attributes
    ----------
    dropped : int
        Lines dropped since the process started.
    """

    def __init__(self, stream, clock=time.monotonic):
        self.line_queue = queue.Queue(MAX_QUEUED_LINES)
        super().__init__(self.line_queue)
        target = logging.StreamHandler(stream)
        self.listener = logging.handlers.QueueListener(self.line_queue, target)
        self.setFormatter(logs.JsonFormatter())
        self.clock = clock
        self.state_lock = threading.Lock()
        self.tokens = BURST_LINES
        self.refilled_at = clock()
        self.dropped = 0
        self.reported_dropped = 0

    def emit(self, record):
        if not self._admit(record):
            return
        super().emit(record)

    def _admit(self, record):
        with self.state_lock:
            now = self.clock()
            refill = (now - self.refilled_at) * LINES_PER_SECOND
            self.tokens = min(BURST_LINES, self.tokens + refill)
            self.refilled_at = now
            if self.tokens < 1.0:
                self.dropped += 1
                return False
            self.tokens -= 1.0
            if self.dropped > self.reported_dropped:
                facts = dict(getattr(record, 'facts', {}))
                facts['lines_dropped_before'] = (
                    self.dropped - self.reported_dropped
                )
                record.facts = facts
                self.reported_dropped = self.dropped
            return True

    def drain(self, seconds):
        """Wait until the queued lines are written, for a limited time.

        Nobody may read them any more, and the process must still exit.
        """
        end = time.monotonic() + seconds
        while self.line_queue.unfinished_tasks and time.monotonic() < end:
            time.sleep(DRAIN_POLL_SECONDS)

    def enqueue(self, record):
        try:
            self.line_queue.put_nowait(record)
        except queue.Full:
            with self.state_lock:
                self.dropped += 1


def configure(level='INFO', stream=None):
    """Send all log lines of this process through a `LogWriter`."""
    writer = LogWriter(stream or sys.stdout)
    root = logging.getLogger()
    root.handlers[:] = [writer]
    root.setLevel(level)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
    writer.listener.start()
    return writer
