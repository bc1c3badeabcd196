"""Threads that follow the store's tables."""

__all__ = ['Follower', 'Followers', 'make_followers']

import logging
import random
import threading
import time

from ibisring_gateway import directory as directory_module
from ibisring_gateway import ports
from ibisring_policy.gateway import polling as polling_module
from ibisring_records import exceptions

LOG = logging.getLogger(__name__)
# Seconds to pause after an error that nobody thought of.
AFTER_ERROR = 1.0


class Follower:
    """Reads a source once, then its changes, for ever.

    Parameters
    ----------
    name : str
    source : ports.Source
    is_table : bool
    followers : Followers
        Decides when to call and how long to wait.
    tell : callable
        Takes `directory.Read` and `directory.Failed` messages.
    """

    def __init__(self, name, source, is_table, followers, tell):
        self.name = name
        self.source = source
        self.is_table = is_table
        self.followers = followers
        self.tell = tell
        self.clock = followers.clock
        self.position = None
        self.begun_at = 0.0
        self.is_stopped = False
        self.wake = threading.Event()

    def run(self):
        """Follow the source until stopped."""
        while not self.is_stopped:
            delay = self.followers.delay(self.name)
            if delay > 0.0:
                self.pause(delay)
                continue
            try:
                self._follow()
            except Exception:
                LOG.exception('following_failed')
                self.pause(AFTER_ERROR)

    def pause(self, seconds):
        """Wait for some seconds, or until woken."""
        self.wake.wait(seconds)
        self.wake.clear()

    def _follow(self):
        try:
            if self.step():
                self.pause(self.followers.change_pause())
        except ports.CallEnded:
            LOG.debug('call_ended %s', self.name)
        except ports.HistoryGone as error:
            LOG.info('history_gone', extra={'facts': {'why': error.detail}})
            self.position = None
            self.followers.answered(self.name, True)
        except exceptions.IbisringError as error:
            waited = self.clock() - self.begun_at
            self.tell(
                directory_module.Failed(error.detail, self.is_table, waited)
            )
            self.followers.failed(self.name)

    def step(self):
        """Make one call and tell what it brought.

        Returns
        -------
        bool
            Whether there was anything.
        """
        self.begun_at = self.clock()
        wait = self.followers.wait(self.name)
        whole = self.position is None
        if whole:
            page = self.source.read_all()
        else:
            page = self.source.changes(self.position, wait)
        self.position = page.position
        self.followers.answered(self.name, bool(page.items))
        self.tell(
            directory_module.Read(
                page.items,
                whole,
                is_table=self.is_table,
                position=page.position,
                waited=self.clock() - self.begun_at,
            )
        )
        return bool(page.items)


class Followers:
    """The followers of one router, which share what they see of the store.

    Parameters
    ----------
    fleet : callable
        Gives the `polling.Fleet`.
    clock : callable
    """

    def __init__(self, fleet, clock=time.monotonic):
        self.fleet = fleet
        self.clock = clock
        self.members = {}
        self.polling = polling_module.make_polling((), random.random)
        self.lock = threading.Lock()

    def add(self, name, source, is_table, tell):
        """Add a follower of a source."""
        self.members[name] = Follower(name, source, is_table, self, tell)
        self.polling = polling_module.make_polling(
            list(self.members), self.polling.draw
        )

    def start(self):
        """Start a thread for each."""
        for each in self.members.values():
            threading.Thread(target=each.run, daemon=True).start()
        return self

    def stop(self):
        """Let the threads end after their present calls."""
        for each in self.members.values():
            each.is_stopped = True
            each.wake.set()

    @property
    def lost_at(self):
        """When the store was last lost to this router."""
        return self.polling.lost_at

    def delay(self, name):
        """Give the seconds until a follower's next call may begin."""
        with self.lock:
            return self.polling.delay(name, self.clock())

    def wait(self, name):
        """Begin a call and give the seconds that it waits."""
        with self.lock:
            return self.polling.wait(name, self.clock(), self.fleet())

    def change_pause(self):
        """Give the seconds to pause after a change."""
        return polling_module.change_pause(self.fleet())

    def answered(self, name, changed):
        """Note an answer, and let the others ask that are in trouble."""
        with self.lock:
            woken = self.polling.answered(name, self.clock(), changed)
        self._wake(woken)

    def failed(self, name):
        """Note a call without an answer, and end what may hang as well."""
        with self.lock:
            ended = self.polling.failed(name, self.clock(), self.fleet())
        self._end(ended)

    def trouble(self):
        """Note a sign that the store may not answer, and ask anew."""
        with self.lock:
            ended = self.polling.trouble(self.clock())
        self._end(ended)

    def told_of_loss(self, lost_at):
        """Note when another router lost the store, and ask anew."""
        with self.lock:
            ended = self.polling.told_of_loss(lost_at)
        self._end(ended)

    def returned(self):
        """Note that another router is answered again."""
        with self.lock:
            woken = self.polling.returned(self.clock())
        self._wake(woken)

    def _wake(self, names):
        for name in names:
            self.members[name].wake.set()

    def _end(self, names):
        for name in names:
            self.members[name].source.end_call()


def make_followers(fleet, clock=time.monotonic):
    """Make `Followers` without any; start them with ``start()``."""
    return Followers(fleet, clock)
