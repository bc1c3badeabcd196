"""Tests of bounded, non-blocking log lines."""

import io
import json
import logging

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
