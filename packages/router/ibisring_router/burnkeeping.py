"""Storage of burn tallies in the object store, where they outlive a VM.

Each process rewrites one object for the current period; objects of
processes that have exited remain and are summed with the others
(`burnperiods`).
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

MERGE_DELAY_AFTER_FAILURE_SECONDS = 120.0
MAX_FAILED_PERIODS = 3


class BurnReport(msgspec.Struct):
    """Rows, tallies by minute for plots, and periods that weren't readable."""

    rows: list[burn.Row]
    minutes: burnperiods.Minutes
    unreached: list[str]


class BurnKeeper:
    """Counts requests; saves, reads and merges the tallies.

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
        self.counter = burn.BurnCounter()
        self.last_failure_at = -math.inf

    def count(self, service, terms, seconds, error):
        """Count a finished request.

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
            self.counter.count(
                configuration,
                members,
                seconds,
                error is None,
                self.wall_clock(),
            )

    def save(self):
        """Write this process's tallies of all periods with unsaved counts.

        A failed write is retried at the next call, so that the tallies of a
        store outage aren't lost.
        """
        with self.lock:
            encoded = {
                period: msgspec.to_builtins(
                    self.counter.minutes_of_period(period)
                )
                for period in sorted(self.counter.unsaved_periods)
            }
            self.counter.unsaved_periods.clear()
        for period, minutes in encoded.items():
            self._save_period(period, minutes)

    def _save_period(self, period, minutes):
        try:
            self.periods.put(period, self.instance, minutes)
        except exceptions.IbisringError:
            self.last_failure_at = self.wall_clock()
            self.metrics.count('burn.keep_failed')
            if minutes:
                with self.lock:
                    self.counter.unsaved_periods.add(period)
            return
        if burnperiods.is_settled(period, self.wall_clock()):
            self.metrics.count('burn.kept_late')

    def report(self):
        """Sum the tallies of all processes and list the unreachable periods.

        Returns
        -------
        BurnReport
        """
        now = self.wall_clock()
        current_period = int(now // burnperiods.PERIOD_SECONDS)
        unreached = []
        parts = []
        failed = 0
        for period in range(
            current_period, current_period - burnperiods.PERIOD_COUNT, -1
        ):
            tallies = self._read_period(period, now)
            parts.extend(tallies.parts)
            unreached.extend(tallies.unreached)
            failed += bool(tallies.unreached)
            if failed == MAX_FAILED_PERIODS:
                # If the store does not respond, each further period would
                # delay the report by a timeout.
                before = burnperiods.period_start(period)
                unreached.append(f'everything before {before}')
                break
        minutes = burn.merge(parts)
        rows = burn.burn_rows(self.keeper.require(), minutes, now)
        return BurnReport(rows, burn.plotted_tallies(minutes, now), unreached)

    def _read_period(self, period, now):
        """Return a period's tallies, with this process's own from memory."""
        if burnperiods.is_settled(period, now):
            return self.periods.read(period, now)
        tallies = self.periods.read(period, now, skip_instance=self.instance)
        with self.lock:
            own = msgspec.to_builtins(self.counter.minutes_of_period(period))
        tallies.parts.append(msgspec.convert(own, burnperiods.Minutes))
        return tallies

    def merge(self, is_assigned):
        """Merge one settled period that isn't merged yet; see `burnperiods`.

        Parameters
        ----------
        is_assigned : callable
            Returns whether this router has to merge a period.

        Notes
        -----
        Nothing is merged soon after a failure of the store: processes that
        could not write during an outage write then, and what they write
        after the merge would be lost.
        """
        now = self.wall_clock()
        if now - self.last_failure_at < MERGE_DELAY_AFTER_FAILURE_SECONDS:
            return
        try:
            self.periods.merge_next(now, is_assigned)
        except exceptions.IbisringError:
            # Retried in a later round.
            self.last_failure_at = now
            self.metrics.count('burn.merge_failed')


def make_keeper(settings, keeper, metrics, wall_clock=time.time):
    """Create the burn keeper of a router."""
    store = objects.http_objects(settings.platform)
    periods = burnperiods.PeriodStore(store)
    return BurnKeeper(keeper, periods, metrics, wall_clock)
