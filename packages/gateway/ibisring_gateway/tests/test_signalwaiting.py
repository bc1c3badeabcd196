"""Tests of the time since which a signal may have been sent."""

import os
import signal
import threading
import time
import types

from ibisring_gateway import signalwaiting
import pytest

LOOK = signalwaiting.LOOK_SECONDS
NUMBERS = (signal.SIGUSR1,)


class _Kernel:
    """Signals sent at some times, for a main thread that runs late."""

    def __init__(self, sent_at, lateness):
        self.now = 0.0
        self.sent_at = sent_at
        self.lateness = lateness

    def clock(self):
        """Return the time, which goes on between any two steps."""
        self.now += 0.001
        return self.now

    def wait(self, numbers, seconds):
        """Wait as `signal.sigtimedwait`, then come to run late."""
        end = max(self.now, min(self.now + seconds, self.sent_at))
        found = end >= self.sent_at
        self.now = end + self.lateness
        if found:
            return types.SimpleNamespace(si_signo=signal.SIGTERM)
        return None


@pytest.mark.parametrize('lateness', [0.0, 0.01, 0.3, 2.0])
@pytest.mark.parametrize('sent_at', [0.05, 0.1, 0.3, 0.47, 1.0, 3.05])
def test_signal_was_not_sent_before_the_bound(sent_at, lateness):
    """Guards against a grace time that is taken for longer than it is."""
    kernel = _Kernel(sent_at, lateness)
    waiter = signalwaiting.make_signal_waiter((), kernel.clock, kernel.wait)
    received = waiter.wait()
    assert received.sent_after <= sent_at
    assert received.at >= sent_at
    assert received.at - received.sent_after <= LOOK + 2 * lateness + 0.01


@pytest.fixture
def waiter():
    kept = signal.getsignal(signal.SIGUSR1)
    made = signalwaiting.make_signal_waiter(NUMBERS)
    made.block()
    yield made
    made.restore()
    signal.signal(signal.SIGUSR1, kept)


def test_signal_to_a_process_with_busy_threads_is_received_at_once(waiter):
    """Guards against a signal that waits until the main thread looks."""
    is_over = threading.Event()

    def spin():
        while not is_over.is_set():
            sum(range(1000))

    threads = [threading.Thread(target=spin) for _ in range(4)]
    for thread in threads:
        thread.start()
    sent = []

    def send():
        time.sleep(0.35)
        sent.append(time.monotonic())
        os.kill(os.getpid(), signal.SIGUSR1)

    threading.Thread(target=send).start()
    received = waiter.wait()
    is_over.set()
    for thread in threads:
        thread.join()
    assert received.number == signal.SIGUSR1
    assert received.sent_after <= sent[0] <= received.at


def test_early_signal_was_sent_after_the_start_of_the_process(waiter):
    """Guards against a start whose time is missing from the grace time."""
    before = waiter.sent_after
    waiter.add_early([signal.SIGTERM])
    received = waiter.wait()
    assert received.number == signal.SIGTERM
    assert 0.0 < received.sent_after < before
