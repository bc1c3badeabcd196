"""When a router calls the store that it follows, and how long a call waits.

A long poll is the cheapest way to follow a table, but one that is open when
the store stops responding is never answered.  It ends by its own timeout, for
a fleet of six after 5.4 s, however soon the store is back; meanwhile the
router acts on old routes, keys and endpoints.  So a call waits for changes
only while there is no sign of an outage.  A sign of an outage ends the open
long polls, and short calls follow until one is answered.
"""

__all__ = ['Fleet', 'Polling', 'change_pause', 'make_polling']

import math

import msgspec

# Time between the ends of the calls of a whole fleet that follow one table,
# and the longest that one may wait: the store keeps some 20 s of history.
CALL_INTERVAL_SECONDS = 0.9
MAX_WAIT_SECONDS = 15.0
# A call that would end sooner than this share of the time between two ends
# waits for its next turn.
MIN_WAIT_SHARE = 0.5
# Pause after a change: at least, for each router, and at most.  During a pause
# a router receives what has changed from another one of its failure domain,
# 0.25 s after it was notified of the change; the upper bound is for the case
# that it does not, and leaves half of the two seconds in which a leaving
# endpoint still serves.
MIN_PAUSE_SECONDS = 0.1
PAUSE_SECONDS_PER_ROUTER = 0.016
MAX_PAUSE_SECONDS = 1.2
# Pause between tries while the store does not answer.  The first tries follow
# quickly, since a single answer may have been lost.  Later ones are as far
# apart as a recovery may stay unnoticed, further in a large fleet, so that a
# store that comes back is not overloaded; a router that is answered notifies
# the others.
FIRST_RETRY_SECONDS = 0.1
RETRY_GROWTH = 4.0
MIN_RETRY_BOUND_SECONDS = 1.2
RETRY_SECONDS_PER_ROUTER = 0.05
MAX_RETRY_BOUND_SECONDS = 5.4
# A pause is drawn between this share of it and the whole: routers that lost
# the store together would otherwise all wait while it is back.
MIN_PAUSE_SHARE = 0.2
# A router that has read nothing yet serves no requests, so it retries sooner.
MAX_INITIAL_RETRY_SECONDS = 0.3
# Duration of a try, and the delay by which the table that was tried last lets
# the other one go first.
TRY_SECONDS = 0.6
ALTERNATION_SECONDS = 0.02
# A try after another router reported a recovery comes within this time, at
# random, so that routers notified together do not call at once.
RECOVERY_JITTER_SECONDS = 0.2
# Time after an outage for which a router still polls the store itself: entries
# that expired in the outage are back within two seconds.
STABLE_AFTER_SECONDS = 3.0


class Fleet(msgspec.Struct, frozen=True):
    """How many routers call the store, and this one's position among them.

    `rank` counts from 0; `running` is the number of all routers, which all
    call the store while it does not answer.
    """

    callers: int = 1
    rank: int = 0
    running: int = 1


class _Table:
    """State of one table: its open call, its last answer and failure."""

    __slots__ = (
        'failing_at',
        'answered_at',
        'has_read',
        'has_failed',
        'is_waiting',
        'needs_spread',
        'next_try_at',
        'try_started_at',
        'spread_at',
    )

    def __init__(self):
        self.try_started_at = -math.inf
        self.failing_at = -math.inf
        self.answered_at = -math.inf
        self.has_read = False
        self.has_failed = False
        self.is_waiting = False
        self.needs_spread = True
        self.next_try_at = -math.inf
        self.spread_at = 0.0

    def wait_for_turn(self, now, fleet, interval):
        """Return the seconds until a call that begins now should end.

        Calls end by turns counted from `spread_at`, which is about the same
        for all routers.  A router learns its rank and the number of callers
        by and by; counted from its own last call instead, the ends of several
        routers' calls would coincide for good, with gaps between them.
        """
        step = min(interval, MAX_WAIT_SECONDS / fleet.callers)
        cycle = step * fleet.callers
        turn = self.spread_at + step * (fleet.rank + 1)
        wait = round((turn - now) % cycle, 6)
        return wait if wait >= MIN_WAIT_SHARE * step else wait + cycle

    @property
    def is_failing(self):
        """Whether the last sign of an outage is newer than the last answer."""
        return self.failing_at >= self.answered_at


class Polling:
    """Schedules the calls of one router, one at a time for each table.

    Parameters
    ----------
    names : list of str
        Of the tables that are followed.
    draw : callable
        Gives random numbers from 0 to 1.
    shared_interval : float
        Time between the ends of the calls of a whole fleet, in seconds, where
        some routers rely on those that call.

    Attributes
    ----------
    lost_at : float
        Start of the last outage that this router noticed itself.  It is sent
        to the others even if the outage is over before the next datagram,
        since their calls may be affected as well.

    Examples
    --------
    >>> polling = make_polling(['routes', 'endpoints'], lambda: 0.5)
    >>> for name in ('routes', 'endpoints'):
    ...     _ = polling.answered(name, 10.0, True)
    >>> polling.begin_call('routes', 10.0, Fleet(6, 2, 6))
    2.7
    >>> polling.outage_suspected(11.5)
    ['routes']
    >>> polling.begin_call('routes', 11.5, Fleet(6, 2, 6))
    0.0
    """

    def __init__(self, names, draw, shared_interval=CALL_INTERVAL_SECONDS):
        self.shared_interval = shared_interval
        self.tables = {name: _Table() for name in names}
        self.draw = draw
        self.next_try_at = -math.inf
        self.retry_seconds = FIRST_RETRY_SECONDS
        self.tried_last = None
        self.lost_at = -math.inf
        self.recovered_at = -math.inf

    def has_read(self, name):
        """Whether a table has been read."""
        return self.tables[name].has_read

    def is_any_failing(self):
        """Whether some table has no answer since a sign of an outage."""
        return bool(self._failing_tables())

    def is_stable(self, now):
        """Whether the store has answered for some time without an outage."""
        if self.is_any_failing():
            return False
        return now - self.recovered_at >= STABLE_AFTER_SECONDS

    def is_failing(self, name):
        """Whether a table's next call must not wait for changes."""
        return self.tables[name].is_failing

    def delay(self, name, now):
        """Return the seconds until a table's next call may begin.

        While the store does not answer, the tables alternate: one try of
        either shows as much as two.
        """
        table = self.tables[name]
        if not table.is_failing:
            return 0.0
        if not table.has_read:
            return max(0.0, table.next_try_at - now)
        due = self.next_try_at
        if name == self.tried_last:
            due += ALTERNATION_SECONDS
        return max(0.0, due - now)

    def begin_call(self, name, now, fleet):
        """Begin a call and return the seconds that it waits for a change.

        Calls that began together, after a change or before the routers knew
        of each other, get different waits, so that a call of the fleet begins
        every `CALL_INTERVAL_SECONDS` and an unresponsive store is noticed
        soon.  Otherwise all calls would hang until the same moment.

        Parameters
        ----------
        name : str
        now : float
        fleet : Fleet

        Returns
        -------
        float
        """
        table = self.tables[name]
        table.is_waiting = not table.is_failing
        if table.is_failing:
            self.tried_last = name
            table.try_started_at = now
            if table.has_read:
                self.next_try_at = now + TRY_SECONDS + FIRST_RETRY_SECONDS
            return 0.0
        if table.needs_spread:
            table.spread_at = now
            table.needs_spread = False
        interval = CALL_INTERVAL_SECONDS
        if fleet.callers < fleet.running:
            interval = min(interval, self.shared_interval)
        return table.wait_for_turn(now, fleet, interval)

    def answered(self, name, now, changed):
        """Record an answer to a call.

        Parameters
        ----------
        name : str
        now : float
        changed : bool
            Whether it contained a change.

        Returns
        -------
        list of str
            Failing tables, whose next call may begin now.
        """
        table = self.tables[name]
        if table.has_failed and table.has_read:
            self.recovered_at = now
        table.has_failed = False
        table.needs_spread = changed or table.is_failing
        table.answered_at = now
        table.has_read = True
        table.is_waiting = False
        self.retry_seconds = FIRST_RETRY_SECONDS
        self.next_try_at = now
        return self._failing_tables()

    def failed(self, name, now, fleet):
        """Record a call without an answer.

        Returns
        -------
        list of str
            Tables whose open calls should be ended.
        """
        table = self.tables[name]
        table.is_waiting = False
        table.has_failed = True
        ended = self.outage_suspected(now)
        pause = self.retry_seconds * (
            MIN_PAUSE_SHARE + (1.0 - MIN_PAUSE_SHARE) * self.draw()
        )
        table.next_try_at = now + min(pause, MAX_INITIAL_RETRY_SECONDS)
        # The duration of the call counts as part of the pause.
        self.next_try_at = max(
            table.try_started_at + pause, now + FIRST_RETRY_SECONDS
        )
        shared = RETRY_SECONDS_PER_ROUTER * fleet.running
        bound = min(
            MAX_RETRY_BOUND_SECONDS, max(MIN_RETRY_BOUND_SECONDS, shared)
        )
        self.retry_seconds = min(bound, self.retry_seconds * RETRY_GROWTH)
        return ended

    def outage_suspected(self, now):
        """Record a sign that the store may not answer this router.

        Returns
        -------
        list of str
            Tables whose open calls should be ended.
        """
        if not self._failing_tables():
            self.lost_at = now
        return self.outage_reported(now)

    def outage_reported(self, lost_at):
        """Record that some router lost contact with the store at a time.

        A table that has been answered since is not affected: reports of one
        outage may arrive over several seconds.

        Returns
        -------
        list of str
            Tables whose open calls should be ended.
        """
        ended = []
        for name, table in self.tables.items():
            if table.answered_at > lost_at:
                continue
            table.failing_at = max(table.failing_at, lost_at)
            if table.is_waiting:
                table.is_waiting = False
                ended.append(name)
        return ended

    def store_restored(self, now):
        """Record that the store has come back from a copy.

        Returns
        -------
        list of str
            Tables whose open calls should be ended.
        """
        self.recovered_at = now
        self.next_try_at = now + RECOVERY_JITTER_SECONDS * self.draw()
        return self.outage_reported(now)

    def recovery_reported(self, now):
        """Record that the store answers another router again.

        Returns
        -------
        list of str
            Failing tables, whose next call may begin sooner than planned.
        """
        soon = now + RECOVERY_JITTER_SECONDS * self.draw()
        self.next_try_at = min(self.next_try_at, soon)
        return self._failing_tables()

    def _failing_tables(self):
        return [
            name for name, table in self.tables.items() if table.is_failing
        ]


def change_pause(fleet):
    """Return the seconds from a change to the next long poll.

    When many endpoints register at once, a call by each router for each change
    would make up most of a day's calls.  A change within the pause is noticed
    later by that time, a fraction of the two seconds in which a leaving
    endpoint still serves.
    """
    return min(
        MAX_PAUSE_SECONDS,
        MIN_PAUSE_SECONDS + PAUSE_SECONDS_PER_ROUTER * fleet.callers,
    )


def make_polling(names, draw, shared_interval=CALL_INTERVAL_SECONDS):
    """Make a `Polling` of tables that have not been read."""
    return Polling(names, draw, shared_interval)
