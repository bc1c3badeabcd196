"""The followers of one router: when each calls the store, and for whom."""

__all__ = ['Followers', 'make_followers']

import logging
import math
import random
import threading
import time

from ibisring_gateway import tablefollower
from ibisring_policy.gateway import freshness
from ibisring_policy.gateway import polling as polling_module
from ibisring_policy.gateway import storeclock
from ibisring_policy.gateway import storereaders
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Bounds on the seconds between checks whether a router that relies on others
# must read the store itself.
RECHECK_SECONDS = 0.5
MIN_RECHECK_SECONDS = 0.01
MS_PER_SECOND = 1000.0


class Followers:
    """The followers of one router, with a shared view of the store's health.

    Parameters
    ----------
    fleet : callable
        Returns the `polling.Fleet`.
    role : callable
        Returns the `storereaders.Role`.
    clock : callable
    limits : freshness.Freshness

    Attributes
    ----------
    publish : callable
        Sends a page to the routers that rely on this one; takes the page,
        the version that it follows, and whether it is of routing tables.
    tell_reads : callable
        Sends what this router knows of the tables to the routers that rely
        on others.
    store_clock : storeclock.StoreClock
    on_restore : callable
        Called when the store has come back from a copy.
    era : int or None
        Latest era of the store known, None before the first.
    requested : set of str
        Tables to read once although others read them.
    """

    def __init__(self, fleet, role, clock, limits):
        self.fleet = fleet
        self.role = role
        self.clock = clock
        self.limits = limits
        self.store_clock = storeclock.make_store_clock()
        self.publish = _discard
        self.tell_reads = lambda: None
        self.on_restore = lambda: None
        self.era = None
        self.requested = set()
        self.members = {}
        self.polling = self._make_polling(random.random)
        self.lock = threading.Lock()

    def add(self, name, source, is_table, tell_directory):
        """Add a follower of a source."""
        self.members[name] = tablefollower.Follower(
            name, source, is_table, self, tell_directory
        )
        self.polling = self._make_polling(self.polling.draw)

    def _make_polling(self, draw):
        return polling_module.make_polling(
            list(self.members), draw, self.limits.read_interval
        )

    def start(self):
        """Start a thread for each follower."""
        for each in self.members.values():
            threading.Thread(target=each.run, daemon=True).start()
        return self

    def stop(self):
        """Ask the threads to exit after their current calls."""
        for each in self.members.values():
            each.is_stopped = True
            each.wake.set()

    @property
    def lost_at(self):
        """When this router last lost the store."""
        return self.polling.lost_at

    def delay(self, name):
        """Return the seconds until a follower's next call may start."""
        role = self.role()
        now = self.clock()
        with self.lock:
            if name in self.requested or not self._is_told(name, role, now):
                return self.polling.delay(name, now)
            left = self._seconds_left(name, now)
            if left <= 0.0:
                return 0.0
            return min(RECHECK_SECONDS, max(MIN_RECHECK_SECONDS, left))

    def _is_told(self, name, role, now):
        """Whether this router relies on others for a table."""
        if role is not storereaders.Role.TOLD:
            return False
        return self.polling.has_read(name) and self.polling.is_stable(now)

    def _seconds_left(self, name, now):
        """Return the time until what is known of a table is too old."""
        draw = self.members[name].draw
        return self.limits.seconds_left(self._age(name, now), draw)

    def _age(self, name, now):
        """Return the age of what is known of a table."""
        follower = self.members[name]
        told_age = self.store_clock.age(follower.read_ms, now)
        return min(told_age, now - follower.own_read_at)

    def start_call(self, name):
        """Register the start of a call and return its long-poll seconds."""
        fleet = self.fleet()
        role = self.role()
        now = self.clock()
        with self.lock:
            wait = self.polling.begin_call(name, now, fleet)
            if name in self.requested:
                self.requested.discard(name)
                return 0.0
            if not self._is_told(name, role, now):
                return wait
            age = self._age(name, now)
        # What is too old must be known now; others go on reading.
        logs.event(
            LOG, 'known_too_old', source=name, age_ms=_milliseconds(age)
        )
        return 0.0

    def record_read(self, follower, position, changed, last_change, read_ms):
        """Record up to which position a table was read."""
        with self.lock:
            follower.own_read_at = follower.call_started_at
            follower.advance(position, changed, last_change, read_ms)

    def note_time(self, store_ms, began_at):
        """Record the time of the store's clock in an answer."""
        with self.lock:
            self.store_clock.measured(store_ms, began_at, self.clock())

    def credible_time(self, store_ms):
        """Return a time of the store's clock, 0 if it is in the future."""
        age = self.store_clock.age(store_ms, self.clock())
        return 0 if math.isinf(age) else store_ms

    def age(self, store_ms):
        """Return the seconds since the store's clock showed a time."""
        with self.lock:
            return self.store_clock.age(store_ms, self.clock())

    def note_era(self, era):
        """Note an era of the store, as it or another router named it.

        A store that comes back from a copy lacks entries that were written
        since, until they are written again.  Each router judges by its own
        calls for a while, as after an outage.

        Parameters
        ----------
        era : int
        """
        with self.lock:
            if self.era is not None and era <= self.era:
                return
            before, self.era = self.era, era
            self.store_clock.reset()
            for each in self.members.values():
                each.read_ms = 0
                each.own_read_at = -math.inf
            if before is None:
                return
            to_cancel = self.polling.store_restored(self.clock())
        logs.event(LOG, 'store_restored', era=era, before=before)
        self._cancel(to_cancel)
        self._wake(self.members)
        self.on_restore()

    def role_changed(self, role):
        """Apply a new role of this router in reading the store.

        If the readers of its domain have lost the store, a call that this
        router started before may hang until its timeout, so it is cancelled.
        """
        if role is storereaders.Role.ASKS:
            with self.lock:
                to_cancel = self.polling.outage_reported(self.clock())
            self._cancel(to_cancel)
        if role is not storereaders.Role.TOLD:
            self._wake(self.members)

    def read_now(self, names):
        """Read tables once although others read them."""
        with self.lock:
            self.requested.update(names)
        self._wake(names)

    def publish_changes(self, page, before, is_table):
        """Send a change to the routers that rely on this one.

        Nothing is sent shortly after store errors: entries that are missing
        then may come back, and each router must judge that by its own calls.
        """
        with self.lock:
            is_stable = self.polling.is_stable(self.clock())
        if is_stable and self.role() is storereaders.Role.READS:
            self.publish(page, before, is_table)

    def publish_reads(self):
        """Tell others that nothing has changed, after a read.

        Also if this router relies on others and had to read the store: they
        are about to.
        """
        with self.lock:
            is_stable = self.polling.is_stable(self.clock())
        if is_stable and self.role() is not storereaders.Role.ASKS:
            self.tell_reads()

    def apply_changes(self, name, changes, tell):
        """Apply a reader's changes; False if earlier ones are missing.

        They are handed over before their position is recorded, with the lock
        held.  Otherwise the answer to a call from that position could reach
        the directory first, which would then ignore the changes.

        Parameters
        ----------
        name : str
        changes : changes.Changes
        tell : callable
            Hands the changes over to the directory without blocking.

        Returns
        -------
        bool
        """
        follower = self.members[name]
        with self.lock:
            before, position, _ = changes.positions
            if follower.position is None or before > follower.position:
                return False
            tell()
            if position > follower.position:
                follower.advance(position, True, position)
            return True

    def record_state(self, name, position):
        """Record that a table was fetched from another router."""
        follower = self.members[name]
        with self.lock:
            if follower.position is not None:
                follower.advance(position, True)

    def confirm(self, name, read):
        """Record that the table known here is the one that a read is of."""
        follower = self.members[name]
        with self.lock:
            if follower.position is not None:
                read_ms = self.credible_time(read.read_ms)
                follower.advance(read.position, False, read_ms=read_ms)

    def known_reads(self):
        """Return what to tell others of the tables.

        Returns
        -------
        dict of str to storereads.StoreRead
        """
        with self.lock:
            reads = {n: each.known_read() for n, each in self.members.items()}
        return {name: read for name, read in reads.items() if read}

    def accept(self, name, read):
        """Record what another router has read of a table.

        Returns
        -------
        bool
            Whether the read vouches for the table as it is known here.
        """
        with self.lock:
            return self.members[name].accept(read)

    def position(self, name):
        """Return the position up to which a table is known."""
        return self.members[name].position or 0

    def has_just_read(self):
        """Whether the store has lately answered a call of this router."""
        since = self.clock() - storereaders.PEER_TIMEOUT_SECONDS
        return any(e.own_read_at > since for e in self.members.values())

    def store_access(self, is_lost):
        """Return the `storereaders.StoreAccess` of this router.

        Parameters
        ----------
        is_lost : bool
            Whether the store has stopped answering it.
        """
        if is_lost:
            return storereaders.StoreAccess.LOST
        with self.lock:
            if self.polling.is_any_failing():
                return storereaders.StoreAccess.UNSURE
        return storereaders.StoreAccess.SERVED

    def change_pause(self):
        """Return the seconds to pause after a change."""
        return polling_module.change_pause(self.fleet())

    def answered(self, name, changed):
        """Record an answer, and let followers that are failing retry now."""
        with self.lock:
            to_wake = self.polling.answered(name, self.clock(), changed)
        self._wake(to_wake)

    def failed(self, name):
        """Record a failed call, and cancel other calls that may hang."""
        fleet = self.fleet()
        with self.lock:
            to_cancel = self.polling.failed(name, self.clock(), fleet)
        self._cancel(to_cancel)

    def suspect_outage(self):
        """Record a sign of a store outage, and restart waiting calls."""
        with self.lock:
            to_cancel = self.polling.outage_suspected(self.clock())
        self._cancel(to_cancel)

    def outage_reported(self, lost_at):
        """Record when another router lost the store; restart waiting calls.

        A router that relies on readers has no call that could hang.
        """
        if self.role() is storereaders.Role.TOLD:
            return
        with self.lock:
            to_cancel = self.polling.outage_reported(lost_at)
        self._cancel(to_cancel)

    def recovery_reported(self):
        """Record that the store answers another router again."""
        with self.lock:
            to_wake = self.polling.recovery_reported(self.clock())
        self._wake(to_wake)

    def _wake(self, names):
        for name in names:
            self.members[name].wake.set()

    def _cancel(self, names):
        for name in names:
            self.members[name].source.cancel_call()


def _milliseconds(seconds):
    """Return a time for a log line, None if it is not known."""
    return None if math.isinf(seconds) else round(seconds * MS_PER_SECOND)


def _discard(page, before, is_table):
    """Discard a page; the default of `Followers.publish`."""


def make_followers(fleet, role, clock=time.monotonic, limits=None):
    """Make `Followers` without any; start them with ``start()``."""
    limits = limits or freshness.make_freshness(freshness.USUAL_BOUND_MS)
    return Followers(fleet, role, clock, limits)
