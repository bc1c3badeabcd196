"""Simulated store in virtual time that fails as a schedule says."""

__all__ = ['Store', 'Source']

from ibisring_gateway import ports
from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualtime
from ibisring_policy.gateway import positions
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions

ENDPOINTS = schedules.ENDPOINTS
REMOVAL = schedules.REMOVAL
TABLE = schedules.TABLE
# The endpoint that is removed, and that whose entry is written again.
REMOVED_NAME = 'y'
WRITTEN_NAME = 'x'
# By how much the store's clock is ahead of the routers'.
CLOCK_OFFSET_SECONDS = 5000.0
MS_PER_SECOND = 1000.0
# Seconds that an answer takes.
ANSWER_SECONDS = 0.004
# Seconds that answers to a slow router take, and its datagrams.
SLOW_SECONDS = 0.5
# Seconds beyond its wait after which a call times out.
TIMEOUT_MARGIN_SECONDS = 0.6
# Age in seconds of the state that a store serves during an 'old' failure.
STALE_SECONDS = 4.0
# Share of the answers lost during a 'lost' failure.
LOST_SHARE = 0.5
# Age in seconds of the copy from which a store comes back, and until what is
# missing in it is written again.
COPY_SECONDS = 2.0
REWRITE_SECONDS = 0.3


class _Entry:
    """A write to a table.

    `number` counts all writes, `version` those of the present state: after
    the store has come back from a copy, versions are given out again.
    """

    __slots__ = ('at', 'version', 'source', 'number')

    def __init__(self, at, version, source, number):
        self.at = at
        self.version = version
        self.source = source
        self.number = number

    def item(self):
        """Return the item that was written."""
        if self.source == TABLE:
            return build.table(self.number)
        if self.source == REMOVAL:
            return ports.Removed(REMOVED_NAME)
        return build.endpoint(WRITTEN_NAME, started=self.number)

    def is_of(self, table):
        """Return whether the write was to a table."""
        return (self.source == TABLE) == (table == TABLE)


class _Call:
    """A call to the store; has `page` or `error` once it is answered."""

    def __init__(self, scheduler, number, source, after):
        self.number = number
        self.source = source
        self.after = after
        self.answered = virtualtime.Event(scheduler)
        self.page = None
        self.error = None
        self.is_lost = False

    def fail(self, error):
        """End the call with an error."""
        self.error = error
        self.answered.set()


class Store:
    """Two tables that can be written, read and followed.

    Attributes
    ----------
    acknowledged : dict of str to list of (float, int)
        Time and number of each acknowledged version, by source.
    calls : int
        Number of calls received.
    era : int
        How often it has come back from a copy, counted from 1.
    """

    def __init__(self, scheduler, failures, rng):
        self.scheduler = scheduler
        self.failures = failures
        self.rng = rng
        self.log = []
        self.waiting = []
        self.acknowledged = {TABLE: [], ENDPOINTS: [], REMOVAL: []}
        self.calls = 0
        self.era = 1
        self.writes = 0

    def failure_kind(self, number):
        """Return the current failure between store and router, or None."""
        elapsed = self.scheduler.now - virtualtime.START
        for failure in self.failures:
            if not failure.at <= elapsed < failure.ends_at:
                continue
            if not failure.affects(number):
                continue
            if failure.kind in schedules.STORE_KINDS:
                return failure.kind
            if failure.kind == schedules.RESTORE:
                return 'busy'
            if failure.kind in ('unreachable', 'isolated'):
                return 'silent'
        return None

    def _is_slow(self, number):
        elapsed = self.scheduler.now - virtualtime.START
        return any(
            failure.kind == schedules.SLOW
            and failure.affects(number)
            and failure.at <= elapsed < failure.ends_at
            for failure in self.failures
        )

    def apply_failure(self, failure):
        """Apply the start of a failure to the waiting calls."""
        hit_calls = [c for c in self.waiting if failure.affects(c.number)]
        for call in hit_calls:
            if failure.kind == 'reset':
                call.fail(exceptions.PlatformAnswerLost('reset'))
            elif failure.kind in ('silent', 'unreachable', 'isolated'):
                call.is_lost = True

    def write(self, source):
        """Write the next version, after the failure if there is one."""
        elapsed = self.scheduler.now - virtualtime.START
        for failure in self.failures:
            is_refusing = failure.kind in (
                'silent',
                'reset',
                'busy',
                schedules.RESTORE,
            )
            if is_refusing and not failure.affected:
                if failure.at <= elapsed < failure.ends_at:
                    retry_at = virtualtime.START + failure.ends_at + 0.05
                    self.scheduler.call_at(
                        retry_at, lambda: self.write(source)
                    )
                    return
        self.writes += 1
        self._append(source, self.writes)
        self.acknowledged[source].append((self.scheduler.now, self.writes))

    def _append(self, source, number):
        version = len(self.log) + 1
        entry = _Entry(self.scheduler.now, version, source, number)
        self.log.append(entry)
        self.answer_waiting()

    def restore(self):
        """Come back from a copy; what it lacks is written again later."""
        copied_at = self.scheduler.now - COPY_SECONDS
        lost = [entry for entry in self.log if entry.at > copied_at]
        self.log = [entry for entry in self.log if entry.at <= copied_at]
        self.era += 1
        for call in list(self.waiting):
            self.waiting.remove(call)
            call.fail(exceptions.PlatformAnswerLost('reset'))
        rewrite_at = self.scheduler.now + REWRITE_SECONDS
        for entry in lost:
            self.scheduler.call_at(
                rewrite_at,
                lambda each=entry: self._append(each.source, each.number),
            )

    def answer_waiting(self):
        """Answer the waiting calls whose table has changed."""
        for call in list(self.waiting):
            page = self._page(call)
            if page is None or page.items:
                self._finish(call)

    def start_call(self, number, source, after, wait):
        """Start a call; a full read if `after` is None."""
        self.calls += 1
        call = _Call(self.scheduler, number, source, after)
        arrives_at = self.scheduler.now + ANSWER_SECONDS / 2
        self.scheduler.call_at(arrives_at, lambda: self._arrive(call, wait))
        return call

    def _arrive(self, call, wait):
        kind = self.failure_kind(call.number)
        if kind == 'silent':
            return
        if kind == 'reset':
            call.fail(exceptions.PlatformAnswerLost('reset'))
            return
        if kind == 'busy':
            call.fail(exceptions.PlatformUnavailable('429'))
            return
        page = self._page(call)
        if page is None or call.after is None or page.items or wait <= 0.0:
            self._finish(call)
            return
        self.waiting.append(call)
        expires_at = self.scheduler.now + wait
        self.scheduler.call_at(expires_at, lambda: self._finish(call))

    def _finish(self, call):
        if call in self.waiting:
            self.waiting.remove(call)
        if call.page is not None or call.error is not None or call.is_lost:
            return
        kind = self.failure_kind(call.number)
        if kind == 'silent':
            return
        if kind == 'lost' and self.rng.random() < LOST_SHARE:
            return
        call.page = self._page(call)
        if call.page is None:
            call.error = ports.HistoryExpired('the store went back to a copy')
        seconds = ANSWER_SECONDS / 2
        if self._is_slow(call.number):
            seconds = SLOW_SECONDS
        arrives_at = self.scheduler.now + seconds
        self.scheduler.call_at(arrives_at, call.answered.set)

    def _page(self, call):
        """Return the answer to a call, None if it follows another era."""
        if call.after is not None and positions.era(call.after) != self.era:
            return None
        visible = self.log
        if self.failure_kind(call.number) == 'old':
            limit = self.scheduler.now - STALE_SECONDS
            visible = [entry for entry in visible if entry.at <= limit]
        entries = [entry for entry in visible if entry.is_of(call.source)]
        if call.after is None:
            return self._whole_page(call.source, visible, entries)
        after = positions.version(call.after)
        entries = [entry for entry in entries if entry.version > after]
        return ports.Page(
            self._position(visible[-1].version if visible else 0),
            [entry.item() for entry in entries],
            self._position(entries[-1].version) if entries else 0,
            self._clock_ms(),
        )

    def _clock_ms(self):
        shown = self.scheduler.now + CLOCK_OFFSET_SECONDS
        return int(shown * MS_PER_SECOND)

    def _whole_page(self, source, visible, entries):
        """Return the rows that are left, as of the newest version."""
        written = [entry for entry in entries if entry.source != REMOVAL]
        items = [entry.item() for entry in written[-1:]]
        if source == ENDPOINTS and len(written) == len(entries):
            items.append(build.endpoint(REMOVED_NAME))
        return ports.Page(
            self._position(visible[-1].version if visible else 0),
            items,
            self._position(written[-1].version) if written else 0,
            self._clock_ms(),
        )

    def _position(self, version):
        return positions.make(self.era, version)


class Source(ports.Source):
    """A table of the store as accessed by one router."""

    def __init__(self, store, number, name):
        self.store = store
        self.number = number
        self.name = name
        self.call = None

    def read_all(self):
        return self._run(None, 0.0)

    def changes(self, position, wait):
        return self._run(position, wait)

    def cancel_call(self):
        if self.call is not None:
            self.call.fail(ports.CallCancelled('a new one begins'))

    def _run(self, after, wait):
        call = self.store.start_call(self.number, self.name, after, wait)
        self.call = call
        call.answered.wait(wait + TIMEOUT_MARGIN_SECONDS)
        self.call = None
        if call.error is not None:
            raise call.error
        if not call.answered.is_set():
            raise exceptions.PlatformAnswerLost('no answer')
        return call.page
