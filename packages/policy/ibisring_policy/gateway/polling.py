"""When a router calls the store that it follows, and how long a call waits.

A call that waits for changes is the cheapest way to follow a table, but one
under way when the store falls silent is never answered.  It ends by its own
timeout, for a fleet of six 5.4 s later, however soon the store is back; the
router acts on old routes, keys and endpoints meanwhile.  So a call waits only
while nothing speaks against the store.  A sign of trouble ends the calls that
wait, and short ones ask until one is answered.
"""

__all__ = ['Fleet', 'Polling', 'change_pause', 'make_polling']

import math

import msgspec

# Seconds between the ends of calls of a whole fleet that follow one table,
# and the longest that one may wait: the store keeps some 20 s of history.
CALL_INTERVAL_SECONDS = 0.9
MAX_WAIT_SECONDS = 15.0
# Growth or shrinking of the fleet at which its calls are spread anew.
OTHER_FLEET = 1.5
# Seconds to pause after a change: at least, for each router, and at most.  In
# a pause a router learns from another of its failure domain what has changed,
# 0.25 s after it was told that something has; the bound is for the case that
# none tells, and leaves half of the two seconds in which a leaving endpoint
# still serves.
LEAST_PAUSE = 0.1
PAUSE_EACH = 0.016
MOST_PAUSE = 1.2
# Seconds from one try to the next while the store does not answer: the first
# ones come quickly, since one answer may just have been lost.  Later ones are
# as far apart as a return may stay unnoticed, further in a large fleet, so
# that a store which comes back to many routers at once is spared; one that is
# answered tells the others.
FIRST_RETRY = 0.1
RETRY_GROWTH = 4.0
LEAST_RETRY = 1.2
RETRY_EACH = 0.05
MOST_RETRY = 4.0
# A router that knows nothing yet serves nobody, so it asks sooner.
MOST_FIRST_RETRY = 0.3
# Seconds that a try may take, and those by which the table that was tried
# last lets the other go first.
TRY_SECONDS = 0.6
TURN_SECONDS = 0.02
# A try that follows another router's word of the return comes within so many
# seconds, at random: those who are told together don't ask together.
SPREAD_SECONDS = 0.2
# Seconds after the end of trouble for which a router goes on by itself: what
# lapsed meanwhile is back within two.
STEADY_AFTER = 3.0


class Fleet(msgspec.Struct, frozen=True):
    """How many routers call the store, and this one's place among them.

    `rank` counts from 0 on; `running` are all routers, which call it too
    while it does not answer.
    """

    callers: int = 1
    rank: int = 0
    running: int = 1


class _Followed:
    """One table: its call under way, and what speaks for or against it."""

    __slots__ = (
        'trouble_at',
        'answered_at',
        'has_read',
        'has_failed',
        'is_waiting',
        'is_fresh',
        'next_try_at',
        'begun_at',
        'spread_among',
    )

    def __init__(self):
        self.begun_at = -math.inf
        self.trouble_at = -math.inf
        self.answered_at = -math.inf
        self.has_read = False
        self.has_failed = False
        self.is_waiting = False
        self.is_fresh = True
        self.next_try_at = -math.inf
        self.spread_among = 0

    def is_other_fleet(self, fleet):
        """Say whether so many came or left that calls may end together."""
        few, many = sorted((self.spread_among, fleet.callers))
        return many >= few * OTHER_FLEET

    @property
    def is_failing(self):
        """Whether a sign of trouble is newer than the last answer."""
        return self.trouble_at >= self.answered_at


class Polling:
    """Decides for the calls of one router, one at a time for each table.

    Parameters
    ----------
    names : list of str
        Of the tables that are followed.
    draw : callable
        Gives random numbers from 0 to 1.

    Attributes
    ----------
    lost_at : float
        When the store was last lost to this router.  Others are told, since
        a loss that is over before the next datagram may have struck their
        calls too.

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

    def __init__(self, names, draw):
        self.tables = {name: _Followed() for name in names}
        self.draw = draw
        self.next_try_at = -math.inf
        self.retry = FIRST_RETRY
        self.tried_last = None
        self.lost_at = -math.inf
        self.regained_at = -math.inf

    def has_read(self, name):
        """Say whether a table was read."""
        return self.tables[name].has_read

    def is_any_failing(self):
        """Say whether some table was not answered since a sign of trouble."""
        return bool(self._in_trouble())

    def is_stable(self, now):
        """Say whether the store has answered for a while."""
        if self.is_any_failing():
            return False
        return now - self.regained_at >= STEADY_AFTER

    def is_failing(self, name):
        """Say whether a table's next call must not wait for changes."""
        return self.tables[name].is_failing

    def delay(self, name, now):
        """Give the seconds until a table's next call may begin.

        While the store does not answer, the tables take turns: one try of
        either shows as much as two.
        """
        table = self.tables[name]
        if not table.is_failing:
            return 0.0
        if not table.has_read:
            return max(0.0, table.next_try_at - now)
        due = self.next_try_at
        if name == self.tried_last:
            due += TURN_SECONDS
        return max(0.0, due - now)

    def begin_call(self, name, now, fleet):
        """Begin a call and give the seconds that it waits for a change.

        Calls that began together, after a change or while the routers had
        not heard of each other, end one after the other, so that some call
        of the fleet begins every `CALL_INTERVAL_SECONDS` and shows a silence
        to all.  All would otherwise hang until the last.

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
            table.begun_at = now
            if table.has_read:
                self.next_try_at = now + TRY_SECONDS + FIRST_RETRY
            return 0.0
        step = min(CALL_INTERVAL_SECONDS, MAX_WAIT_SECONDS / fleet.callers)
        if table.is_fresh or table.is_other_fleet(fleet):
            table.spread_among = fleet.callers
            return step * (fleet.rank + 1)
        return step * fleet.callers

    def answered(self, name, now, changed):
        """Note an answer.

        Parameters
        ----------
        name : str
        now : float
        changed : bool
            Whether there was anything new.

        Returns
        -------
        list of str
            Tables in trouble, whose next call may begin now.
        """
        table = self.tables[name]
        if table.has_failed and table.has_read:
            self.regained_at = now
        table.has_failed = False
        table.is_fresh = changed or table.is_failing
        table.answered_at = now
        table.has_read = True
        table.is_waiting = False
        self.retry = FIRST_RETRY
        self.next_try_at = now
        return self._in_trouble()

    def failed(self, name, now, fleet):
        """Note a call without an answer.

        Returns
        -------
        list of str
            Tables whose calls are to be ended.
        """
        table = self.tables[name]
        table.is_waiting = False
        table.has_failed = True
        ended = self.outage_suspected(now)
        pause = self.retry * (0.9 + 0.2 * self.draw())
        table.next_try_at = now + min(pause, MOST_FIRST_RETRY)
        # A call that took its whole time has waited already.
        self.next_try_at = max(table.begun_at + pause, now + FIRST_RETRY)
        shared = RETRY_EACH * fleet.running
        longest = min(MOST_RETRY, max(LEAST_RETRY, shared))
        self.retry = min(longest, self.retry * RETRY_GROWTH)
        return ended

    def outage_suspected(self, now):
        """Note a sign of this router's own that the store may not answer.

        Returns
        -------
        list of str
            Tables whose calls are to be ended.
        """
        if not self._in_trouble():
            self.lost_at = now
        return self.outage_reported(now)

    def outage_reported(self, lost_at):
        """Note that the store was lost to some router at a time.

        A table that was answered since has nothing to do with that loss,
        of which the last router may hear seconds after the first.

        Returns
        -------
        list of str
            Tables whose calls are to be ended.
        """
        ended = []
        for name, table in self.tables.items():
            if table.answered_at > lost_at:
                continue
            table.trouble_at = max(table.trouble_at, lost_at)
            if table.is_waiting:
                table.is_waiting = False
                ended.append(name)
        return ended

    def recovery_reported(self, now):
        """Note that another router is answered again.

        Returns
        -------
        list of str
            Tables whose next call may begin sooner than planned.
        """
        soon = now + SPREAD_SECONDS * self.draw()
        self.next_try_at = min(self.next_try_at, soon)
        return self._in_trouble()

    def _in_trouble(self):
        return [
            name for name, table in self.tables.items() if table.is_failing
        ]


def change_pause(fleet):
    """Give the seconds from a change to the next call that waits.

    When many endpoints register at once, a call for each change by each
    router would be most of a day's calls.  A change that comes within the
    pause is known that much later, a fraction of the two seconds in which a
    leaving endpoint still serves.
    """
    return min(MOST_PAUSE, LEAST_PAUSE + PAUSE_EACH * fleet.callers)


def make_polling(names, draw):
    """Make a `Polling` that has read nothing yet."""
    return Polling(names, draw)
