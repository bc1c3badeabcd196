"""Simulated store in virtual time that fails as a schedule says."""

__all__ = ['Store', 'Source']

from ibisring_gateway import ports
from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualtime
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions

ENDPOINTS = schedules.ENDPOINTS
TABLE = schedules.TABLE
# Seconds that an answer takes.
DELAY = 0.004
# Seconds beyond its wait after which a call times out.
MARGIN = 0.6
# Age in seconds of the state that a store serves during an 'old' failure.
OLD_BY = 4.0
# Share of the answers lost during a 'lost' failure.
LOST_SHARE = 0.5


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
    """

    def __init__(self, scheduler, troubles, rng):
        self.scheduler = scheduler
        self.troubles = troubles
        self.rng = rng
        self.log = []
        self.waiting = []
        self.acknowledged = {TABLE: [], ENDPOINTS: []}
        self.calls = 0

    def kind_of_trouble(self, number):
        """Return the current failure between store and router, or None."""
        passed = self.scheduler.now - virtualtime.START
        for trouble in self.troubles:
            if not trouble.at <= passed < trouble.ends:
                continue
            if not trouble.strikes(number):
                continue
            if trouble.kind in schedules.STORE_KINDS:
                return trouble.kind
            if trouble.kind in ('unreachable', 'isolated'):
                return 'silent'
        return None

    def trouble_begins(self, trouble):
        """Apply the start of a failure to the waiting calls."""
        struck = [c for c in self.waiting if trouble.strikes(c.number)]
        for call in struck:
            if trouble.kind == 'reset':
                call.fail(exceptions.PlatformAnswerLost('reset'))
            elif trouble.kind in ('silent', 'unreachable', 'isolated'):
                call.is_lost = True

    def write(self, source):
        """Write the next version, after the failure if there is one."""
        passed = self.scheduler.now - virtualtime.START
        for trouble in self.troubles:
            refuses = trouble.kind in ('silent', 'reset', 'busy')
            if refuses and not trouble.who:
                if trouble.at <= passed < trouble.ends:
                    later = virtualtime.START + trouble.ends + 0.05
                    self.scheduler.at(later, lambda: self.write(source))
                    return
        version = len(self.log) + 1
        if source == TABLE:
            item = build.table(version)
        else:
            item = build.endpoint('x', started=version)
        now = self.scheduler.now
        self.log.append((now, version, source, item))
        self.acknowledged[source].append((now, version))
        self.tell_waiting()

    def tell_waiting(self):
        """Answer the waiting calls whose table has changed."""
        for call in list(self.waiting):
            if self._page(call).items:
                self._finish(call)

    def begin(self, number, source, after, wait):
        """Start a call; a full read if `after` is None."""
        self.calls += 1
        call = _Call(self.scheduler, number, source, after)
        arrives = self.scheduler.now + DELAY / 2
        self.scheduler.at(arrives, lambda: self._arrive(call, wait))
        return call

    def _arrive(self, call, wait):
        kind = self.kind_of_trouble(call.number)
        if kind == 'silent':
            return
        if kind == 'reset':
            call.fail(exceptions.PlatformAnswerLost('reset'))
            return
        if kind == 'busy':
            call.fail(exceptions.PlatformUnavailable('429'))
            return
        page = self._page(call)
        if call.after is None or page.items or wait <= 0.0:
            self._finish(call)
            return
        self.waiting.append(call)
        ends = self.scheduler.now + wait
        self.scheduler.at(ends, lambda: self._finish(call))

    def _finish(self, call):
        if call in self.waiting:
            self.waiting.remove(call)
        if call.page is not None or call.error is not None or call.is_lost:
            return
        kind = self.kind_of_trouble(call.number)
        if kind == 'silent':
            return
        if kind == 'lost' and self.rng.random() < LOST_SHARE:
            return
        call.page = self._page(call)
        comes = self.scheduler.now + DELAY / 2
        self.scheduler.at(comes, call.answered.set)

    def _page(self, call):
        known = self.log
        if self.kind_of_trouble(call.number) == 'old':
            limit = self.scheduler.now - OLD_BY
            known = [entry for entry in known if entry[0] <= limit]
        position = known[-1][1] if known else 0
        mine = [entry for entry in known if entry[2] == call.source]
        if call.after is None:
            items = [entry[3] for entry in mine[-1:]]
        else:
            mine = [entry for entry in mine if entry[1] > call.after]
            items = [entry[3] for entry in mine]
        changed = mine[-1][1] if items else 0
        return ports.Page(position, items, changed)


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

    def end_call(self):
        if self.call is not None:
            self.call.fail(ports.CallEnded('a new one begins'))

    def _run(self, after, wait):
        call = self.store.begin(self.number, self.name, after, wait)
        self.call = call
        call.answered.wait(wait + MARGIN)
        self.call = None
        if call.error is not None:
            raise call.error
        if not call.answered.is_set():
            raise exceptions.PlatformAnswerLost('no answer')
        return call.page
