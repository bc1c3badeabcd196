"""Scheduler that runs the product's loops in virtual time.

Each loop runs as a greenlet, one at a time, and the clock jumps to the next
event only while all of them wait.  Runs are therefore deterministic and cost
only the time of the code executed.
"""

__all__ = ['Scheduler', 'Event', 'Killed']

import heapq
import itertools

import greenlet

START = 1000.0


class Killed(BaseException):
    """Raised in a task to end it when its process is killed."""


class _Task(greenlet.greenlet):
    """Greenlet of an owner; runs only while it is resumed."""

    def __init__(self, owner, function, parent):
        super().__init__(function, parent)
        self.owner = owner


class Scheduler:
    """Runs tasks and actions in the order of their times.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    frozen : dict of str to float
        Time until which the tasks of an owner are suspended.
    """

    def __init__(self):
        self.now = START
        self.frozen = {}
        self.tasks = []
        self._main = greenlet.getcurrent()
        self._queue = []
        self._numbers = itertools.count()

    def clock(self):
        """Return the virtual time."""
        return self.now

    def call_at(self, when, action):
        """Call an action at a time."""
        entry = max(when, self.now), next(self._numbers), action
        heapq.heappush(self._queue, entry)

    def spawn(self, owner, function):
        """Run a function as a new task."""
        task = _Task(owner, function, self._main)
        self.tasks.append(task)
        self.call_at(self.now, lambda: self.resume(task))

    def resume(self, task):
        """Run a task until it waits again, or later if it is suspended."""
        if task.dead:
            return
        until = self.frozen.get(task.owner, 0.0)
        if self.now < until:
            self.call_at(until, lambda: self.resume(task))
            return
        task.switch()

    def wait(self):
        """Yield to other tasks until this one is resumed."""
        self._main.switch()

    def sleep(self, seconds):
        """Suspend the current task for some seconds."""
        task = greenlet.getcurrent()
        self.call_at(self.now + seconds, lambda: self.resume(task))
        self.wait()

    def kill(self, owner=None):
        """Kill the tasks of an owner, or all tasks."""
        for task in self.tasks:
            if owner in (None, task.owner) and not task.dead:
                self._end(task)
        self.tasks = [task for task in self.tasks if not task.dead]

    def _end(self, task):
        try:
            task.throw(Killed)
        except Killed:
            return

    def run(self, until):
        """Run all events up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until


class Event:
    """Replacement of `threading.Event` under a `Scheduler`."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.is_flag_set = False
        self.waiters = []

    def is_set(self):
        """Return whether the flag is set."""
        return self.is_flag_set

    def set(self):
        """Set the flag and wake all waiting tasks."""
        self.is_flag_set = True
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            self.scheduler.call_at(self.scheduler.now, waiter)

    def clear(self):
        """Reset the flag."""
        self.is_flag_set = False

    def wait(self, seconds):
        """Wait until the flag is set, for at most some seconds."""
        if self.is_flag_set:
            return True
        scheduler = self.scheduler
        task = greenlet.getcurrent()
        fired = []

        def fire():
            if not fired:
                fired.append(True)
                scheduler.resume(task)

        self.waiters.append(fire)
        scheduler.call_at(scheduler.now + seconds, fire)
        scheduler.wait()
        return self.is_flag_set
