"""Error budget burn rate: counts requests against their objectives."""

__all__ = [
    'Group',
    'Tally',
    'Row',
    'BurnCounter',
    'WINDOWS',
    'PERIOD_MINUTES',
    'counts_as_bad',
    'objective_for',
    'group_members',
    'tightest_bound_seconds',
    'burn_rows',
    'merge',
    'plotted_tallies',
]

import collections
import enum

from ibisring_records import exceptions
from ibisring_records import schemas
import msgspec

MINUTE_SECONDS = 60
RETAINED_MINUTES = 130
# The tallies of a period are stored as one object per process.
PERIOD_MINUTES = 10
PLOT_MINUTES = 60
MAX_PLOTTED_ACCOUNTS = 10
WINDOWS = {'5m': 5, '1h': 60, '6h': 360, '24h': 1440}
DEFAULT_OBJECTIVE = schemas.Objective(target=0.99, bound_ms=60_000)

# Errors caused by the caller; they don't count against the service.
_CALLER_ERRORS = (
    exceptions.InvalidRequest,
    exceptions.Unauthorized,
    exceptions.Forbidden,
    exceptions.NotFound,
    exceptions.IdempotencyKeyReused,
    exceptions.AccountLimited,
    exceptions.CallerGone,
)


class Group(enum.StrEnum):
    """Dimension by which requests are counted."""

    SERVICE = 'service'
    CLASS = 'class'
    ACCOUNT = 'account'


# Minutes per tally.  Accounts are many and nearly every process serves
# requests of all of them, so tallies per minute would fill its control
# traffic.
RESOLUTION = {Group.SERVICE: 1, Group.CLASS: 1, Group.ACCOUNT: 5}


class Tally(msgspec.Struct, array_like=True):
    """Number of requests, and of those answered within the bound.

    Encoded as a JSON pair to save space: a fully loaded router stores a
    thousand tallies at a time.
    """

    total: int = 0
    good: int = 0


class Row(msgspec.Struct):
    """Burn rate of one group member over one window.

    A `burn` of 1 uses exactly the error budget; `burn` is None if there
    were no requests.
    """

    group: Group
    name: str
    window: str
    total: int
    good: int
    target: float
    bound_ms: int
    burn: float | None


def counts_as_bad(error):
    """Return whether a request with this error counts as bad."""
    return not isinstance(error, _CALLER_ERRORS)


def objective_for(configuration, group, name):
    """Return the objective set in the records, or the default one.

    Parameters
    ----------
    configuration : configuration.Configuration
    group : Group
    name : str

    Returns
    -------
    schemas.Objective
    """
    records = {
        Group.SERVICE: configuration.models,
        Group.CLASS: configuration.priorities,
        Group.ACCOUNT: configuration.accounts,
    }[group]
    record = records.get(name)
    if record is None or record.objective is None:
        return DEFAULT_OBJECTIVE
    return record.objective


def group_members(service, priority, account):
    """Return the name under which a request is counted in each group."""
    return {
        Group.SERVICE: service,
        Group.CLASS: priority or 'none',
        Group.ACCOUNT: account,
    }


def tightest_bound_seconds(configuration, members):
    """Return the tightest bound of a request's objectives, in seconds.

    Parameters
    ----------
    configuration : configuration.Configuration
    members : dict of Group to str
    """
    bounds = [
        objective_for(configuration, group, name).bound_ms
        for group, name in members.items()
    ]
    return min(bounds) / 1000.0


def _key(group, name):
    return f'{group.value}/{name}'


class BurnCounter:
    """Tallies of one process, by minute and group member.

    Attributes
    ----------
    minutes : dict of int to dict of str to Tally
        By Unix minute; a tally of several minutes is under the first one.
    unsaved_periods : set of int
        Periods with counts that are not stored yet.
    """

    def __init__(self):
        self.minutes = {}
        self.unsaved_periods = set()

    def count(self, configuration, members, seconds, answered, wall_time):
        """Count one request in each of its groups.

        Parameters
        ----------
        configuration : configuration.Configuration
        members : dict of Group to str
        seconds : float
            From its arrival to its end.
        answered : bool
            Whether it got a complete answer.
        wall_time : float
            Unix seconds.
        """
        now = int(wall_time // MINUTE_SECONDS)
        self.unsaved_periods.add(now // PERIOD_MINUTES)
        for group, name in members.items():
            minute = now - now % RESOLUTION[group]
            tallies = self.minutes.setdefault(minute, {})
            bound = objective_for(configuration, group, name).bound_ms
            tally = tallies.setdefault(_key(group, name), Tally())
            tally.total += 1
            if answered and seconds * 1000.0 <= bound:
                tally.good += 1
        while len(self.minutes) > RETAINED_MINUTES:
            del self.minutes[min(self.minutes)]

    def minutes_of_period(self, period):
        """Return the tallies of a period, to be stored as one object."""
        return {
            str(minute): tallies
            for minute, tallies in self.minutes.items()
            if minute // PERIOD_MINUTES == period
        }


def merge(parts):
    """Sum the tallies of several processes by minute.

    Parameters
    ----------
    parts : iterable of dict of str to dict of str to Tally

    Returns
    -------
    dict of int to dict of str to Tally
    """
    merged = {}
    for part in parts:
        for minute, tallies in part.items():
            sums = merged.setdefault(int(minute), {})
            for key, tally in tallies.items():
                sum_ = sums.setdefault(key, Tally())
                sum_.total += tally.total
                sum_.good += tally.good
    return merged


def burn_rows(configuration, minutes, wall_time):
    """Compute the burn rate of every group member over every window.

    Parameters
    ----------
    configuration : configuration.Configuration
    minutes : dict of int to dict of str to Tally
    wall_time : float
        The windows end here.

    Returns
    -------
    list of Row

    References
    ----------
    .. [1] B. Beyer et al., "The Site Reliability Workbook", chapter 5,
       O'Reilly, 2018: burn over several windows.
    """
    now = int(wall_time // MINUTE_SECONDS)
    keys = sorted({key for tallies in minutes.values() for key in tallies})
    rows = []
    for key in keys:
        group, _, name = key.partition('/')
        objective = objective_for(configuration, Group(group), name)
        tallies = {
            m: found[key] for m, found in minutes.items() if key in found
        }
        for window, length in WINDOWS.items():
            # A tally that begins before the window counts in full.
            first = now - length - RESOLUTION[Group(group)] + 2
            chosen = [t for m, t in tallies.items() if first <= m <= now]
            rows.append(_row(Group(group), name, window, chosen, objective))
    return rows


def plotted_tallies(minutes, wall_time):
    """Return the last hour, limited to the accounts with most bad requests.

    Parameters
    ----------
    minutes : dict of int to dict of str to Tally
    wall_time : float

    Returns
    -------
    dict of str to dict of str to Tally
    """
    now = int(wall_time // MINUTE_SECONDS)
    recent = {
        m: t for m, t in minutes.items() if now - PLOT_MINUTES < m <= now
    }
    bad = collections.Counter()
    for tallies in recent.values():
        for key, tally in tallies.items():
            if key.startswith(Group.ACCOUNT.value):
                bad[key] += tally.total - tally.good
    hidden = bad.keys() - {
        key for key, _ in bad.most_common(MAX_PLOTTED_ACCOUNTS)
    }
    return {
        str(minute): {k: t for k, t in tallies.items() if k not in hidden}
        for minute, tallies in sorted(recent.items())
    }


def _row(group, name, window, tallies, objective):
    total = sum(tally.total for tally in tallies)
    good = sum(tally.good for tally in tallies)
    burn = None
    if total:
        allowed = max(1e-9, 1.0 - objective.target)
        burn = round((1.0 - good / total) / allowed, 3)
    return Row(
        group,
        name,
        window,
        total,
        good,
        objective.target,
        objective.bound_ms,
        burn,
    )
