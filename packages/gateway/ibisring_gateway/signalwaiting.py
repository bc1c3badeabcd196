"""Waits for signals, and tells since when each may have been sent."""

__all__ = ['Received', 'SignalWaiter', 'make_signal_waiter']

import logging
import os
import signal
import time

LOG = logging.getLogger(__name__)
# Interval at which the time since which none was sent is brought up to date.
LOOK_SECONDS = 0.1
# Of the start time in the process's statistics, counted after its name.
_START_FIELD = 19


class Received:
    """A signal, and when it was sent and received, on the monotonic clock.

    Attributes
    ----------
    number : int
    sent_after : float
        It was not sent before.
    at : float
    """

    __slots__ = ('number', 'sent_after', 'at')

    def __init__(self, number, sent_after, at):
        self.number = number
        self.sent_after = sent_after
        self.at = at


class SignalWaiter:
    """Waits for signals in the main thread.

    They are blocked in it and in all threads started later, so that the kernel
    keeps them until this asks for them.  A handler would run once the main
    thread gets the interpreter again, and nothing would tell when the signal
    was sent.

    Parameters
    ----------
    numbers : sequence of int
    clock : callable
    wait_for_signal : callable
        As `signal.sigtimedwait`.

    Attributes
    ----------
    arrived : list of int
        Not handled yet.
    sent_after : float
        The next signal was not sent before.
    """

    def __init__(self, numbers, clock, wait_for_signal):
        self.numbers = numbers
        self.clock = clock
        self.wait_for_signal = wait_for_signal
        self.arrived = []
        self.sent_after = clock()
        self.kept_mask = None

    def block(self):
        """Have the kernel keep the signals; called before threads start."""
        self.kept_mask = signal.pthread_sigmask(signal.SIG_BLOCK, self.numbers)
        for number in self.numbers:
            # Of a thread that was started before.
            signal.signal(number, self._on_signal)

    def restore(self):
        """Have the kernel deliver the signals again."""
        signal.pthread_sigmask(signal.SIG_SETMASK, self.kept_mask)

    def add_early(self, numbers):
        """Add the signals that arrived before `block` was called."""
        if numbers:
            self.arrived[:0] = numbers
            self.sent_after = min(self.sent_after, _process_started_at())

    def _on_signal(self, number, frame):
        self.arrived.append(number)

    def wait(self):
        """Return the next signal.

        Returns
        -------
        Received
        """
        while not self.arrived:
            begun = self.clock()
            found = self.wait_for_signal(self.numbers, LOOK_SECONDS)
            if found is not None:
                self.arrived.append(found.si_signo)
            elif not self.arrived:
                # The kernel had none when this time was over.
                self.sent_after = begun + LOOK_SECONDS
        number = self.arrived.pop(0)
        return Received(number, self.sent_after, self.clock())


def _process_started_at():
    """Return when the process was started, on the monotonic clock."""
    try:
        with open('/proc/self/stat', encoding='ascii', errors='replace') as f:
            fields = f.read().rpartition(')')[2].split()
    except OSError as error:
        LOG.warning('the start of the process is not known: %s', error)
        return time.monotonic()
    started = int(fields[_START_FIELD]) / os.sysconf('SC_CLK_TCK')
    age = time.clock_gettime(time.CLOCK_BOOTTIME) - started
    return time.monotonic() - age


def make_signal_waiter(
    numbers, clock=time.monotonic, wait_for_signal=signal.sigtimedwait
):
    """Make a `SignalWaiter`."""
    return SignalWaiter(numbers, clock, wait_for_signal)
