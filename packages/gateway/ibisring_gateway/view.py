"""What a router knows now: endpoints, routing table, load.

Actors change it; the threads that serve callers read it.  A snapshot is
replaced whole, never changed, so that reading it takes no lock.
"""

__all__ = ['Snapshot', 'View', 'make_view']

import threading
import time

from ibisring_policy import loadbook
import msgspec


class Snapshot(msgspec.Struct, frozen=True):
    """Endpoints and routing table as of some moment.

    `index` is a `routetable.Index` or None before a table was read;
    `position` is the store's version that the endpoints are of, `changed` the
    one at which they last changed; times are monotonic.
    """

    index: object = None
    endpoints: dict = {}
    by_service: dict = {}
    table_at: float = 0.0
    endpoints_at: float = 0.0
    endpoints_known: bool = False
    position: int = 0
    changed: int = 0

    @property
    def version(self):
        """Version of the routing table, 0 before one was read."""
        return self.index.table.version if self.index else 0


class View:
    """Holds the present `Snapshot` and the book of beliefs.

    Attributes
    ----------
    lock : threading.Lock
        Guards `book`.
    """

    def __init__(self, domain='', clock=time.monotonic):
        self.domain = domain
        self.clock = clock
        self.snapshot = Snapshot()
        self.lock = threading.Lock()
        self.book = loadbook.make_book()

    @property
    def is_ready(self):
        """Whether requests can be routed at all."""
        now = self.snapshot
        return now.index is not None and now.endpoints_known


def make_view(domain='', clock=time.monotonic):
    """Make an empty `View` of a router in a failure domain."""
    return View(domain, clock)
