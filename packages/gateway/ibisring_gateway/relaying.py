"""Endpoints passed on by routers that follow the store to those that do not.

With each of 83 routers following the entries of 100 endpoints by itself, the
store answers 83 calls for each change.  Until a calm day's traffic begins it
answered 2,460 calls, with this 1,322.  A
few routers of each failure domain follow it, and the others follow them; one
whose router fails, or is itself behind, follows the store until another one
can be asked.
"""

__all__ = ['Board', 'Update', 'PeerSource', 'make_board']

import threading
import time

from ibisring_gateway import ports
from ibisring_policy import changelog
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_web import calls
import msgspec

PATH = '/endpoints'
# Seconds that a call waits for a change: a router that freezes or is cut off
# is noticed by its followers within this and the margin, which with the read
# of the store that follows is under the two seconds in which routers must
# act on a change.
WAIT = 1.0
MARGIN = 0.3
CONNECT_TIMEOUT = 0.15


class Update(msgspec.Struct):
    """What changed since the asker's position, or `whole` all there is.

    `age` is in seconds since the store was last heard, `doubt` the seconds
    in which entries that are missing may still come back.
    """

    position: int
    whole: bool
    put: list[routing.Endpoint]
    gone: list[str]
    age: float
    doubt: float


class Board:
    """What this router has read of the store, for others to follow.

    Attributes
    ----------
    heard_at : float
        Monotonic seconds of the last answer of the store to this router.
    doubt_until : float
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.changed = threading.Condition()
        self.log = changelog.make_changelog()
        self.entries = {}
        self.heard_at = -1e9
        self.doubt_until = -1e9

    def publish(self, position, items, whole):
        """Take what was read, and wake those who wait for it."""
        with self.changed:
            if whole:
                self.entries = {item.id: item for item in items}
                self.log.restart(position)
            else:
                self._change(items)
                self.log.note(position, items)
            self.changed.notify_all()

    def _change(self, items):
        for item in items:
            if isinstance(item, ports.Gone):
                self.entries.pop(item.id, None)
            else:
                self.entries[item.id] = item

    def wait_after(self, position, wait):
        """Give an `Update` once there is a change, or after a while."""
        end = self.clock() + wait
        with self.changed:
            items = self.log.since(position)
            while items == [] and self.clock() < end:
                self.changed.wait(max(0.0, end - self.clock()))
                items = self.log.since(position)
            whole = items is None
            if whole:
                items = list(self.entries.values())
            latest = self.log.position
        gone = [i.id for i in items if isinstance(i, ports.Gone)]
        put = [i for i in items if not isinstance(i, ports.Gone)]
        now = self.clock()
        return Update(
            latest,
            whole,
            put,
            gone,
            now - self.heard_at,
            max(0.0, self.doubt_until - now),
        )


class PeerSource(ports.Source):
    """Another router as a source of endpoints.

    Parameters
    ----------
    address : str
    most_age : float
        Seconds without the store from which it is not believed.
    """

    def __init__(self, address, most_age):
        self.address = address
        self.most_age = most_age
        self.caller = calls.make_caller(CONNECT_TIMEOUT, WAIT + MARGIN)

    def read_all(self):
        return self.changes(-1, 0.0)

    def changes(self, position, wait):
        path = f'{PATH}?after={position}&wait={wait:g}'
        try:
            update = self.caller.call('GET', self.address, path, cls=Update)
        except (calls.CallError, exceptions.IbisringError) as error:
            raise exceptions.PlatformUnavailable(str(error)) from error
        if update.age > self.most_age:
            raise exceptions.PlatformUnavailable(
                f'{self.address} has not heard the store for'
                f' {update.age:.1f} s'
            )
        items = [*update.put, *(ports.Gone(name) for name in update.gone)]
        return ports.Page(
            max(position, update.position),
            items,
            whole=update.whole,
            age=update.age,
            doubt=update.doubt,
        )


def make_board(clock=time.monotonic):
    """Make an empty `Board`."""
    return Board(clock)
