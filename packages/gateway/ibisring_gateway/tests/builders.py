"""Fakes of the installation, and parts put together for tests."""

import time

from ibisring_gateway import ports
from ibisring_gateway import view as view_module
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import routetable
from ibisring_policy.gateway.tests import builders as policybuilders
from ibisring_records import exceptions


class Clock:
    """A clock that moves when told."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Metrics:
    """Counts nothing."""

    def count(self, name, amount=1):
        """Ignore a count."""

    def time(self, name, seconds):
        """Ignore a duration."""


class Leases(ports.LeaseTable):
    """A lease row in memory; `fails` is an error to raise."""

    def __init__(self):
        self.row = None
        self.version = 0
        self.fails = None
        self.reads = 0
        self.routers = {}

    def _check(self):
        if self.fails is not None:
            raise self.fails

    def read_lease(self):
        self.reads += 1
        self._check()
        return self.row

    def write_lease(self, row):
        self._check()
        if row.version != self.version:
            return None
        self.version += 1
        self.row = layerorders.LeaseRow(row.holder, row.term, self.version)
        return self.row

    def write_router(self, row):
        self._check()
        self.routers[row.name] = row

    def read_routers(self):
        self._check()
        return list(self.routers.values())


class Engines(ports.EngineControl):
    """Engines by address.

    Attributes
    ----------
    unreachable : set of str
        Addresses that do not answer.
    delays : dict of str to float
        Seconds after which addresses answer.
    placed, rerouted : list
        Orders received.
    result : ports.OrderResult
        Given to each order.
    """

    def __init__(self):
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

    def status(self, address, timeout):
        self.queried.append(address)
        late = self.delays.get(address, 0.0)
        if address in self.unreachable or late > timeout:
            raise exceptions.PlatformUnavailable(address)
        time.sleep(late)
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


def make_view(endpoints, table=None, **facts):
    """Give a view that knows some endpoints."""
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
        **facts,
    )
    return view
