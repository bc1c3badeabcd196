"""Keeping burn tallies in the object store, where a VM's end can't reach.

Each process rewrites one object for the present period; objects of
processes that are gone stay and are added up with the rest (`burnperiods`).
"""

__all__ = ['BurnReport', 'BurnKeeper', 'make_keeper']

import math
import threading
import time
import uuid

from ibisring_backing import objects
from ibisring_policy import burn
from ibisring_records import exceptions
from ibisring_router import burnperiods
import msgspec

QUIET_SECONDS = 120.0
MOST_FAILED = 3


class BurnReport(msgspec.Struct):
    """Rows, minutes for plots, and what could not be read."""

    rows: list[burn.Row]
    minutes: burnperiods.Minutes
    unreached: list[str]


class BurnKeeper:
    """Counts requests, and keeps and reads tallies.

    Parameters
    ----------
    keeper : recordkeeping.RecordKeeper
    periods : burnperiods.PeriodStore
    metrics : metrics.Metrics
    wall_clock : callable
        Unix seconds.
    """

    def __init__(self, keeper, periods, metrics, wall_clock):
        self.keeper = keeper
        self.periods = periods
        self.metrics = metrics
        self.wall_clock = wall_clock
        self.instance = uuid.uuid4().hex
        self.lock = threading.Lock()
        self.book = burn.BurnCounter()
        self.failed_at = -math.inf

    def count(self, service, terms, seconds, error):
        """Count a request that ended.

        Parameters
        ----------
        service : str
            Name of the model or plain service.
        terms : requests.Terms
        seconds : float
        error : Exception or None
        """
        configuration = self.keeper.current
        if error is not None and not burn.counts_as_bad(error):
            return
        members = burn.group_members(service, terms.priority, terms.account)
        with self.lock:
            self.book.count(
                configuration,
                members,
                seconds,
                error is None,
                self.wall_clock(),
            )

    def keep(self):
        """Write this process's tallies of periods that were counted in.

        What can't be written is tried again next time: the store's outage
        must not take the tallies of its time with it.
        """
        with self.lock:
            encoded = {
                period: msgspec.to_builtins(
                    self.book.minutes_of_period(period)
                )
                for period in sorted(self.book.unsaved_periods)
            }
            self.book.unsaved_periods.clear()
        for period, minutes in encoded.items():
            self._keep_period(period, minutes)

    def _keep_period(self, period, minutes):
        try:
            self.periods.put(period, self.instance, minutes)
        except exceptions.IbisringError:
            self.failed_at = self.wall_clock()
            self.metrics.count('burn.keep_failed')
            if minutes:
                with self.lock:
                    self.book.unsaved_periods.add(period)
            return
        if burnperiods.is_settled(period, self.wall_clock()):
            self.metrics.count('burn.kept_late')

    def report(self):
        """Add up what all processes kept, and say what was not reached.

        Returns
        -------
        BurnReport
        """
        now = self.wall_clock()
        present = int(now // burnperiods.PERIOD_SECONDS)
        unreached = []
        parts = []
        failed = 0
        for period in range(present, present - burnperiods.PERIOD_COUNT, -1):
            found = self._read_period(period, now)
            parts.extend(found.parts)
            unreached.extend(found.unreached)
            failed += bool(found.unreached)
            if failed == MOST_FAILED:
                # A store that does not answer would hold the report up
                # for a timeout with each of the others.
                before = burnperiods.time_of(period)
                unreached.append(f'everything before {before}')
                break
        minutes = burn.merge(parts)
        rows = burn.burn_rows(self.keeper.require(), minutes, now)
        return BurnReport(rows, burn.plotted_tallies(minutes, now), unreached)

    def _read_period(self, period, now):
        """Read a period; what this process counted needs no reading."""
        if burnperiods.is_settled(period, now):
            return self.periods.read(period, now)
        found = self.periods.read(period, now, but=self.instance)
        with self.lock:
            own = msgspec.to_builtins(self.book.minutes_of_period(period))
        found.parts.append(msgspec.convert(own, burnperiods.Minutes))
        return found

    def merge(self, is_ours):
        """Merge a settled period, if one is left; see `burnperiods`.

        Parameters
        ----------
        is_ours : callable
            Says whether a period is this router's to merge.

        Notes
        -----
        Not soon after an outage of the store: a process that could not
        write meanwhile writes then, and must come before the merging.
        """
        now = self.wall_clock()
        if now - self.failed_at < QUIET_SECONDS:
            return
        try:
            self.periods.merge_next(now, is_ours)
        except exceptions.IbisringError:
            # Tried again at a later round.
            self.failed_at = now
            self.metrics.count('burn.merge_failed')


def make_keeper(settings, keeper, metrics, wall_clock=time.time):
    """Make the burn keeper of a router."""
    store = objects.http_objects(settings.platform)
    periods = burnperiods.PeriodStore(store)
    return BurnKeeper(keeper, periods, metrics, wall_clock)
