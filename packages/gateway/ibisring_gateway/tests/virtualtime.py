"""The real code's loops under a clock that jumps from event to event.

Each loop runs as a greenlet, one at a time, and the clock moves only while
all of them wait, so that a run repeats exactly and takes as long as what
happens in it.
"""

__all__ = ['Scheduler', 'Event', 'Killed']

import heapq
import itertools

import greenlet

START = 1000.0


class Killed(BaseException):
    """Ends a task whose process was killed."""


class _Task(greenlet.greenlet):
    """A loop of an owner, which runs only when it is resumed."""

    def __init__(self, owner, function, parent):
        super().__init__(function, parent)
        self.owner = owner


class Scheduler:
    """Runs tasks and actions in the order of their times.

    Attributes
    ----------
    now : float
        Seconds.
    frozen : dict of str to float
        Until when the tasks of an owner do not run.
    """

    def __init__(self):
        self.now = START
        self.frozen = {}
        self.tasks = []
        self._main = greenlet.getcurrent()
        self._queue = []
        self._numbers = itertools.count()

    def clock(self):
        """Give the time."""
        return self.now

    def at(self, when, action):
        """Call an action at a time."""
        entry = max(when, self.now), next(self._numbers), action
        heapq.heappush(self._queue, entry)

    def spawn(self, owner, function):
        """Run a function as a task from now on."""
        task = _Task(owner, function, self._main)
        self.tasks.append(task)
        self.at(self.now, lambda: self.resume(task))

    def resume(self, task):
        """Let a task run until it waits again; later if it is frozen."""
        if task.dead:
            return
        until = self.frozen.get(task.owner, 0.0)
        if self.now < until:
            self.at(until, lambda: self.resume(task))
            return
        task.switch()

    def wait(self):
        """Let others run until this task is resumed."""
        self._main.switch()

    def sleep(self, seconds):
        """Let a task wait for some seconds."""
        task = greenlet.getcurrent()
        self.at(self.now + seconds, lambda: self.resume(task))
        self.wait()

    def kill(self, owner=None):
        """End the tasks of an owner, or all."""
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
        """Let everything happen up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until


class Event:
    """What `threading.Event` is, under a `Scheduler`."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.flag = False
        self.waiters = []

    def is_set(self):
        """Say whether it is set."""
        return self.flag

    def set(self):
        """Wake all that wait."""
        self.flag = True
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            self.scheduler.at(self.scheduler.now, waiter)

    def clear(self):
        """Set it back."""
        self.flag = False

    def wait(self, seconds):
        """Wait until it is set, for some seconds at most."""
        if self.flag:
            return True
        scheduler = self.scheduler
        task = greenlet.getcurrent()
        fired = []

        def fire():
            if not fired:
                fired.append(True)
                scheduler.resume(task)

        self.waiters.append(fire)
        scheduler.at(scheduler.now + seconds, fire)
        scheduler.wait()
        return self.flag
