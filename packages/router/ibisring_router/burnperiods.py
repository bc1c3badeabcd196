"""Tallies per period in the object store, and merging of past periods.

Each process writes one object per period of ten minutes.  Once a period is
settled, one router sums its objects into one, so that a report needs one read
per past period, however many processes there were.
"""

__all__ = [
    'Minutes',
    'PeriodTallies',
    'PeriodStore',
    'is_settled',
    'period_start',
]

import concurrent.futures
import datetime

from ibisring_policy import burn
from ibisring_records import exceptions
import msgspec

PERIOD_SECONDS = burn.PERIOD_MINUTES * 60
PERIOD_COUNT = 24 * 3600 // PERIOD_SECONDS
READER_THREADS = 16
# How long after its end a period may still be written.  Allows for clock skew
# and for a store outage of some minutes.
GRACE_SECONDS = 600
_PART_PREFIX = 'burn'
_MERGED_PREFIX = 'burn-merged'

Minutes = dict[str, dict[str, burn.Tally]]


class PeriodTallies(msgspec.Struct):
    """The stored tallies of a period, and which of them weren't readable."""

    parts: list[Minutes]
    unreached: list[str]


class PeriodStore:
    """Access to the objects of each period.

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
        """Store the tallies of a process, replacing its earlier ones.

        Raises
        ------
        PlatformUnavailable
        """
        self.store.put(_part_name(period, instance), minutes)

    def read(self, period, wall_time, skip_instance=''):
        """Read a period, from a single object if it is merged.

        Parameters
        ----------
        period : int
            Number of the period since the Unix epoch.
        wall_time : float
            Unix seconds.
        skip_instance : str
            A process whose tallies are left out.

        Returns
        -------
        PeriodTallies
        """
        if is_settled(period, wall_time):
            try:
                merged = self.store.get(_merged_name(period))
            except exceptions.IbisringError as error:
                return PeriodTallies([], [_describe_unreached(period, error)])
            if merged is not None:
                return PeriodTallies([msgspec.convert(merged, Minutes)], [])
        return self._read_parts(period, skip_instance)

    def _read_parts(self, period, skip_instance):
        try:
            names = self.store.names(f'{_PART_PREFIX}/{period}/')
        except exceptions.IbisringError as error:
            return PeriodTallies([], [_describe_unreached(period, error)])
        selected = [
            name for name in names if name != _part_name(period, skip_instance)
        ]
        tallies = PeriodTallies([], [])
        with concurrent.futures.ThreadPoolExecutor(READER_THREADS) as pool:
            for name, result in zip(
                selected, pool.map(self._get_or_error, selected)
            ):
                if isinstance(result, exceptions.IbisringError):
                    tallies.unreached.append(
                        _describe_unreached(period, result)
                    )
                elif result is not None:
                    tallies.parts.append(msgspec.convert(result, Minutes))
        return tallies

    def _get_or_error(self, name):
        try:
            return self.store.get(name)
        except exceptions.IbisringError as error:
            return error

    def merge_next(self, wall_time, is_assigned):
        """Merge the latest settled period that is not merged yet.

        Parameters
        ----------
        wall_time : float
        is_assigned : callable
            Returns whether this router has to merge a period.

        Returns
        -------
        int or None
            The period that was merged.

        Raises
        ------
        PlatformUnavailable

        Notes
        -----
        A part that could not be read would be missing from all later
        reports, so a period is merged completely or not at all.  Two routers
        that merge the same period at a time write the same object.
        """
        current_period = int(wall_time // PERIOD_SECONDS)
        for period in range(current_period, current_period - PERIOD_COUNT, -1):
            if period in self.merged or not is_assigned(period):
                continue
            if not is_settled(period, wall_time):
                continue
            if self.store.get(_merged_name(period)) is None:
                return self._merge(period)
            self._mark_merged(period)
        return None

    def _merge(self, period):
        tallies = self._read_parts(period, '')
        if tallies.unreached:
            raise exceptions.PlatformUnavailable(tallies.unreached[0])
        minutes = burn.merge(tallies.parts)
        self.store.put(
            _merged_name(period), msgspec.to_builtins(minutes, str_keys=True)
        )
        self._mark_merged(period)
        return period

    def _mark_merged(self, period):
        self.merged = {p for p in self.merged if p > period - PERIOD_COUNT}
        self.merged.add(period)


def is_settled(period, wall_time):
    """Return whether processes are assumed to have stopped writing a period.

    What a process writes even later, after an outage of its own, is missing
    from the merged object; such writes are counted as `burn.kept_late`.
    """
    return wall_time >= (period + 1) * PERIOD_SECONDS + GRACE_SECONDS


def _part_name(period, instance):
    return f'{_PART_PREFIX}/{period}/{instance}'


def _merged_name(period):
    return f'{_MERGED_PREFIX}/{period}'


def period_start(period):
    """Return the start of a period as ISO 8601 text."""
    start = datetime.datetime.fromtimestamp(
        period * PERIOD_SECONDS, datetime.timezone.utc
    )
    return start.strftime('%Y-%m-%dT%H:%MZ')


def _describe_unreached(period, error):
    return f'ten minutes from {period_start(period)}: {error.detail}'
