"""Tests of bounded, non-blocking log lines."""

import io
import json
import logging
import threading

from ibisring_gateway import logwriter
from ibisring_gateway.tests import builders


class _UnreadStream(io.StringIO):
    """A stream that nobody reads; a real write to it would block."""

    def write(self, text):
        raise AssertionError('write in the thread that logs')


def _record(number):
    record = logging.LogRecord('m', 20, '', 0, 'event', (), None)
    record.facts = {'n': number}
    return record


def test_stalled_log_reader_does_not_block_callers():
    """Guards against requests that block when the log collector stops.

    Standard output is a full pipe then; a thread that serves a request and
    writes its log line directly would block on it.
    """
    clock = builders.Clock()
    writer = logwriter.LogWriter(_UnreadStream(), clock)
    for number in range(10_000):
        clock.now += 0.02
        writer.handle(_record(number))
    assert writer.line_queue.qsize() == logwriter.MAX_QUEUED_LINES
    assert writer.dropped == 10_000 - logwriter.MAX_QUEUED_LINES


def test_burst_beyond_the_limit_is_dropped_and_counted():
    clock = builders.Clock()
    writer = logwriter.LogWriter(io.StringIO(), clock)
    for number in range(5_000):
        writer.handle(_record(number))
    assert writer.line_queue.qsize() == logwriter.BURST_LINES
    clock.now += 1.0
    writer.handle(_record(5_000))
    line = None
    while not writer.line_queue.empty():
        line = json.loads(writer.line_queue.get().getMessage())
    assert line['lines_dropped_before'] == 5_000 - logwriter.BURST_LINES
    assert writer.dropped == 5_000 - logwriter.BURST_LINES


def test_exit_does_not_wait_for_a_reader_that_reads_nothing():
    """Guards against a process that stays as its log isn't read."""
    is_read = threading.Event()

    class Stream:
        def write(self, text):
            is_read.wait()

        def flush(self):
            pass

    writer = logwriter.LogWriter(Stream())
    writer.listener.start()
    writer.handle(logging.makeLogRecord({'msg': 'a'}))
    writer.drain(0.0)
    assert writer.line_queue.unfinished_tasks == 1
    is_read.set()
    writer.drain(10.0)
    assert writer.line_queue.unfinished_tasks == 0
    writer.listener.stop()
