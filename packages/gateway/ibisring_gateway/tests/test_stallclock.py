"""Tests of the thread that measures how late this process runs."""

import logging
import threading

from ibisring_gateway import stallclock
from ibisring_gateway.tests import builders
from ibisring_gateway import view as view_module
from ibisring_policy.gateway import localhealth


class Wait(threading.Event):
    """Ends each wait at the time that the test gives, then stops."""

    def __init__(self, clock, ends):
        super().__init__()
        self.clock = clock
        self.ends = ends

    def wait(self, timeout=None):
        self.clock.now = self.ends.pop(0)
        if not self.ends:
            self.set()
        return self.is_set()


def run(clock, health, ends):
    stall_clock = stallclock.StallClock(health, builders.Metrics(), clock)
    stall_clock.stopped = Wait(clock, list(ends))
    stall_clock._run()


def test_a_late_wake_up_is_measured_and_logged(caplog):
    clock = builders.Clock()
    health = localhealth.make_local_health()
    with caplog.at_level(logging.INFO):
        run(clock, health, [1000.05, 1000.4, 1000.45])
    assert round(health.lateness(1000.0, 1000.45), 2) == 0.3
    lines = [r for r in caplog.records if r.msg == 'process_stalled']
    assert [line.facts for line in lines] == [{'late_ms': 300}]


def test_the_view_tells_its_lateness_in_ms():
    clock = builders.Clock()
    view = view_module.make_view(clock=clock)
    run(clock, view.health, [1000.25])
    assert view.late_ms(1000.0) == 200
    assert view.late_ms(1000.25) == 0
