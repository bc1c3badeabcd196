"""Tallies in the object store, and the merging of what is past.

Each process keeps one object for each period of ten minutes.  Once a period
is settled, one router adds its objects up into one, so that a report needs
one read for each past period, however many processes there were.
"""

__all__ = ['Minutes', 'PeriodTallies', 'PeriodStore', 'is_settled', 'time_of']

import concurrent.futures
import datetime

from ibisring_policy import burn
from ibisring_records import exceptions
import msgspec

PERIOD_SECONDS = burn.PERIOD_MINUTES * 60
PERIOD_COUNT = 24 * 3600 // PERIOD_SECONDS
READERS = 16
# Seconds after its end in which a period may still be written: for clocks
# that differ, and for a store that was away for some minutes.
GRACE = 600
_PARTS = 'burn'
_MERGED = 'burn-merged'

Minutes = dict[str, dict[str, burn.Tally]]


class PeriodTallies(msgspec.Struct):
    """What was kept for a period, and what of it could not be read."""

    parts: list[Minutes]
    unreached: list[str]


class PeriodStore:
    """The objects of each period.

    Parameters
    ----------
    store : objects.ObjectStore

    Attributes
    ----------
    merged : set of int
        Periods known to be merged.
    """

    def __init__(self, store):
        self.store = store
        self.merged = set()

    def put(self, period, instance, minutes):
        """Keep the tallies of a process; they replace its earlier ones.

        Raises
        ------
        PlatformUnavailable
        """
        self.store.put(_part_name(period, instance), minutes)

    def read(self, period, wall_time, but=''):
        """Read a period, in one object if it is merged.

        Parameters
        ----------
        period : int
            Since 1970.
        wall_time : float
            Unix seconds.
        but : str
            A process whose tallies are not wanted.

        Returns
        -------
        PeriodTallies
        """
        if is_settled(period, wall_time):
            try:
                whole = self.store.get(_merged_name(period))
            except exceptions.IbisringError as error:
                return PeriodTallies([], [_missing(period, error)])
            if whole is not None:
                return PeriodTallies([msgspec.convert(whole, Minutes)], [])
        return self._read_parts(period, but)

    def _read_parts(self, period, but):
        try:
            names = self.store.names(f'{_PARTS}/{period}/')
        except exceptions.IbisringError as error:
            return PeriodTallies([], [_missing(period, error)])
        wanted = [name for name in names if name != _part_name(period, but)]
        found = PeriodTallies([], [])
        with concurrent.futures.ThreadPoolExecutor(READERS) as pool:
            for name, read in zip(wanted, pool.map(self._try_get, wanted)):
                if isinstance(read, exceptions.IbisringError):
                    found.unreached.append(_missing(period, read))
                elif read is not None:
                    found.parts.append(msgspec.convert(read, Minutes))
        return found

    def _try_get(self, name):
        try:
            return self.store.get(name)
        except exceptions.IbisringError as error:
            return error

    def merge_next(self, wall_time, is_ours):
        """Merge the latest settled period that is not merged yet.

        Parameters
        ----------
        wall_time : float
        is_ours : callable
            Says whether a period is this router's to merge.

        Returns
        -------
        int or None
            The period that was merged.

        Raises
        ------
        PlatformUnavailable

        Notes
        -----
        A part that could not be read would be missing from every report
        for ever, so a period is merged whole or not at all.  Two routers
        that merge at once write the same.
        """
        present = int(wall_time // PERIOD_SECONDS)
        for period in range(present, present - PERIOD_COUNT, -1):
            if period in self.merged or not is_ours(period):
                continue
            if not is_settled(period, wall_time):
                continue
            if self.store.get(_merged_name(period)) is None:
                return self._merge(period)
            self._remember(period)
        return None

    def _merge(self, period):
        found = self._read_parts(period, '')
        if found.unreached:
            raise exceptions.PlatformUnavailable(found.unreached[0])
        minutes = burn.merge(found.parts)
        self.store.put(
            _merged_name(period), msgspec.to_builtins(minutes, str_keys=True)
        )
        self._remember(period)
        return period

    def _remember(self, period):
        self.merged = {p for p in self.merged if p > period - PERIOD_COUNT}
        self.merged.add(period)


def is_settled(period, wall_time):
    """Say whether a period is taken to be written by no process any more.

    What one writes later for all that, after an outage of its own, is
    missing from the merged object; it counts `burn.kept_late`.
    """
    return wall_time >= (period + 1) * PERIOD_SECONDS + GRACE


def _part_name(period, instance):
    return f'{_PARTS}/{period}/{instance}'


def _merged_name(period):
    return f'{_MERGED}/{period}'


def time_of(period):
    """Give when a period begins, as text."""
    began = datetime.datetime.fromtimestamp(
        period * PERIOD_SECONDS, datetime.timezone.utc
    )
    return began.strftime('%Y-%m-%dT%H:%MZ')


def _missing(period, error):
    return f'ten minutes from {time_of(period)}: {error.detail}'
