"""Threads that follow the store's tables."""

__all__ = ['Follower', 'Followers', 'make_followers']

import logging
import random
import threading
import time

from ibisring_gateway import directory as directory_module
from ibisring_gateway import ports
from ibisring_policy.gateway import polling as polling_module
from ibisring_policy.gateway import sharing
from ibisring_records import exceptions

LOG = logging.getLogger(__name__)
# Seconds to pause after an error that nobody thought of.
AFTER_ERROR = 1.0
# Seconds between looks whether a router that leaves reading to others must
# read by itself.
LOOK_AGAIN = 0.5


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

    Attributes
    ----------
    position : int or None
        The store's version up to which this router knows the table.
    changed_by : int
        A version from which on nothing changed up to `position`.
    """

    def __init__(self, name, source, is_table, followers, tell):
        self.name = name
        self.source = source
        self.is_table = is_table
        self.followers = followers
        self.tell = tell
        self.clock = followers.clock
        self.position = None
        self.changed_by = 0
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
        position, before = self.position, self.changed_by
        whole = position is None
        if whole:
            page = self.source.read_all()
        else:
            page = self.source.changes(position, wait)
        changed = bool(page.items)
        self.followers.read(self, page.position, whole or changed)
        self.followers.answered(self.name, changed)
        if changed and not whole:
            # Before it is in force here: what changed is told as a
            # difference from the table that is.
            self.followers.share(page, before, self.is_table)
        self.tell(
            directory_module.Read(
                page.items,
                whole,
                is_table=self.is_table,
                position=page.position,
                waited=self.clock() - self.begun_at,
                changed=page.changed,
            )
        )
        return changed

    def advance(self, position, changed):
        """Note that this router knows the table up to a version."""
        if changed:
            self.changed_by = max(self.changed_by, position)
        self.position = max(self.position or 0, position)


class Followers:
    """The followers of one router, which share what they see of the store.

    Parameters
    ----------
    fleet : callable
        Gives the `polling.Fleet`.
    role : callable
        Gives the `sharing.Role`.
    clock : callable

    Attributes
    ----------
    publish : callable
        Takes a page, the version that it follows, and whether it is of
        routing tables, to tell the routers that leave reading to this one.
    wanted : set of str
        Tables to be read once although others read them.
    """

    def __init__(self, fleet, role, clock=time.monotonic):
        self.fleet = fleet
        self.role = role
        self.clock = clock
        self.publish = _to_nobody
        self.wanted = set()
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
        role = self.role()
        now = self.clock()
        with self.lock:
            if self._is_left_to_others(name, role, now):
                return LOOK_AGAIN
            return self.polling.delay(name, now)

    def _is_left_to_others(self, name, role, now):
        if role is not sharing.Role.TOLD or name in self.wanted:
            return False
        return self.polling.has_read(name) and self.polling.is_steady(now)

    def wait(self, name):
        """Begin a call and give the seconds that it waits."""
        fleet = self.fleet()
        with self.lock:
            wait = self.polling.wait(name, self.clock(), fleet)
            if name in self.wanted:
                self.wanted.discard(name)
                return 0.0
            return wait

    def read(self, follower, position, changed):
        """Note how far a table was read."""
        with self.lock:
            follower.advance(position, changed)

    def role_changed(self, role):
        """Note what this router does about the store from now on.

        Where its readers have lost the store, a call that this router still
        has under way from before may hang for as long as it may wait.
        """
        if role is sharing.Role.ASKS:
            with self.lock:
                ended = self.polling.told_of_loss(self.clock())
            self._end(ended)
        if role is not sharing.Role.TOLD:
            self._wake(self.members)

    def read_now(self, names):
        """Have tables read once although others read them."""
        with self.lock:
            self.wanted.update(names)
        self._wake(names)

    def share(self, page, before, is_table):
        """Tell the routers that leave reading to this one what changed.

        Not just after trouble: what seems gone then may come back, and each
        router must judge that by what it has seen of the store itself.
        """
        with self.lock:
            is_steady = self.polling.is_steady(self.clock())
        if is_steady and self.role() is sharing.Role.READS:
            self.publish(page, before, is_table)

    def take(self, name, changes):
        """Take in what a reader told; False if something before is missing.

        Parameters
        ----------
        name : str
        changes : changes.Changes

        Returns
        -------
        bool
        """
        follower = self.members[name]
        with self.lock:
            if follower.position is None or changes.before > follower.position:
                return False
            if changes.position > follower.position:
                follower.advance(changes.position, True)
            return True

    def confirm(self, name, position, changed=False):
        """Note that this router knows a table up to a version.

        Parameters
        ----------
        name : str
        position : int
        changed : bool
            Whether something may have changed since the last version.
        """
        follower = self.members[name]
        with self.lock:
            if follower.position is not None:
                follower.advance(position, changed)

    def position(self, name):
        """Give the store's version up to which a table is known."""
        return self.members[name].position or 0

    def standing(self, is_lost):
        """Give the `sharing.Standing` of this router.

        Parameters
        ----------
        is_lost : bool
            Whether the store has stopped answering it.
        """
        if is_lost:
            return sharing.Standing.LOST
        with self.lock:
            if self.polling.is_any_in_trouble():
                return sharing.Standing.UNSURE
        return sharing.Standing.SERVED

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
        fleet = self.fleet()
        with self.lock:
            ended = self.polling.failed(name, self.clock(), fleet)
        self._end(ended)

    def suspect_outage(self):
        """Note a sign that the store may not answer, and ask anew."""
        with self.lock:
            ended = self.polling.trouble(self.clock())
        self._end(ended)

    def told_of_loss(self, lost_at):
        """Note when another router lost the store, and ask anew.

        A router that leaves reading to others has no call that could hang.
        """
        if self.role() is sharing.Role.TOLD:
            return
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


def _to_nobody(page, before, is_table):
    """Tell nobody of a page."""


def make_followers(fleet, role, clock=time.monotonic):
    """Make `Followers` without any; start them with ``start()``."""
    return Followers(fleet, role, clock)
