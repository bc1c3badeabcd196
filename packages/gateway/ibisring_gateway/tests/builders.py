"""Fakes of the platform interfaces, and builders for tests."""

import time

from ibisring_gateway import ports
from ibisring_gateway import view as view_module
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import routetable
from ibisring_policy.gateway.tests import builders as policybuilders
from ibisring_records import exceptions


class Clock:
    """A clock that is set by the test."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Metrics:
    """Metrics that record nothing."""

    def count(self, name, amount=1):
        """Ignore a count."""

    def time(self, name, seconds):
        """Ignore a duration."""


class Leases(ports.LeaseTable):
    """Lease and router rows in memory; `error` is raised if it is set."""

    def __init__(self):
        self.row = None
        self.version = 0
        self.error = None
        self.reads = 0
        self.routers = {}

    def _raise_error(self):
        if self.error is not None:
            raise self.error

    def read_lease(self):
        self.reads += 1
        self._raise_error()
        return self.row

    def write_lease(self, row):
        self._raise_error()
        if row.version != self.version:
            return None
        self.version += 1
        self.row = layerorders.LeaseRow(row.holder, row.term, self.version)
        return self.row

    def write_router(self, row):
        self._raise_error()
        self.routers[row.name] = row

    def read_routers(self):
        self._raise_error()
        return list(self.routers.values())


class Engines(ports.EngineControl):
    """Fake engines, identified by address.

    Attributes
    ----------
    unreachable : set of str
        Addresses of engines that do not answer.
    delays : dict of str to float
        Seconds after which the engines at some addresses answer.
    placed, rerouted : list
        Orders received.
    result : ports.OrderResult
        Returned for each order.
    """

    def __init__(self):
        super().__init__()
        self.unreachable = set()
        self.delays = {}
        self.queried = []
        self.placed = []
        self.rerouted = []
        self.tokens = []
        self.result = ports.OrderResult.BEGUN
        self.busy = False
        self.orders = 1
        self.holding = None

    def status(self, endpoint, timeout):
        address = endpoint.address
        self.queried.append(address)
        delay = self.delays.get(address, 0.0)
        if address in self.unreachable or delay > timeout:
            raise exceptions.PlatformUnavailable(address)
        time.sleep(delay)
        return ports.EngineStatus(
            orders=self.orders, busy=self.busy, holding=self.holding
        )

    def place(self, endpoint, holding, expected_orders, token):
        self.tokens.append(token)
        self.placed.append((endpoint.id, holding, expected_orders))
        return self.result

    def repath(self, endpoint, request_id, stages):
        self.rerouted.append((endpoint.id, request_id, stages))
        return self.result


def make_view(endpoints, table=None, **fields):
    """Make a view whose snapshot has the given endpoints."""
    view = view_module.make_view('a')
    table = table or policybuilders.table()
    by_service = {}
    for endpoint in endpoints:
        by_service.setdefault(endpoint.service, []).append(endpoint)
    view.snapshot = view_module.Snapshot(
        index=routetable.make_index(table),
        endpoints={e.id: e for e in endpoints},
        by_service=by_service,
        endpoints_known=True,
        **fields,
    )
    return view
