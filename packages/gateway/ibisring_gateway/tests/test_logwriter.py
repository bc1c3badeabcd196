"""Tests of bounded, non-blocking log lines."""

import io
import json
import logging

from ibisring_gateway import logwriter
from ibisring_gateway.tests import builders


class _Stuck(io.StringIO):
    """A stream that nobody reads: writing to it would never end."""

    def write(self, text):
        raise AssertionError('written in the thread of a request')


def _record(number):
    record = logging.LogRecord('m', 20, '', 0, 'event', (), None)
    record.facts = {'n': number}
    return record


def test_a_stuck_reader_holds_nobody_up():
    """Symptom: all requests stop when the log collector does.

    Sequence: the reader of standard output stops; its pipe is full.
    Cause: the thread that serves a request writes the line itself.
    """
    clock = builders.Clock()
    writer = logwriter.Writer(_Stuck(), clock)
    for number in range(10_000):
        clock.now += 0.02
        writer.handle(_record(number))
    assert writer.waiting.qsize() == logwriter.MOST_WAITING
    assert writer.dropped == 10_000 - logwriter.MOST_WAITING


def test_a_burst_of_lines_is_bounded_and_counted():
    clock = builders.Clock()
    writer = logwriter.Writer(io.StringIO(), clock)
    for number in range(5_000):
        writer.handle(_record(number))
    assert writer.waiting.qsize() == logwriter.BURST
    clock.now += 1.0
    writer.handle(_record(5_000))
    line = None
    while not writer.waiting.empty():
        line = json.loads(writer.waiting.get().getMessage())
    assert line['lines_dropped_before'] == 5_000 - logwriter.BURST
    assert writer.dropped == 5_000 - logwriter.BURST
