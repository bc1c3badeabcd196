"""Table service clients that keep to this router's call budget."""

__all__ = ['SharedBudget', 'BudgetedTable', 'make_shared_budget']

import threading
import time

from ibisring_backing import tables
from ibisring_policy import budgets
from ibisring_records import exceptions


class SharedBudget:
    """The call budget that all table clients of a router share.

    Parameters
    ----------
    budget : budgets.StoreBudget
    count_routers : callable
        Returns the number of routers on the VM list, 0 until it was read.
    metrics : metrics.Metrics
    clock : callable
    """

    def __init__(self, budget, count_routers, metrics, clock):
        self.budget = budget
        self.count_routers = count_routers
        self.metrics = metrics
        self.clock = clock
        self.lock = threading.Lock()

    def acquire_read(self, urgency):
        """Charge a read to the budget.

        Raises
        ------
        StoreBudgetSpent
        """
        self._acquire(self.budget.may_read, urgency)

    def acquire_write(self, urgency):
        """Charge a write to the budget.

        Raises
        ------
        StoreBudgetSpent
        """
        self._acquire(self.budget.may_write, urgency)

    def _acquire(self, is_allowed, urgency):
        router_count = self.count_routers()
        with self.lock:
            allowed = is_allowed(urgency, router_count, self.clock())
        if not allowed:
            self.metrics.count('store.budget_spent')
            raise exceptions.StoreBudgetSpent(
                "this router's part of the table service's calls is spent"
            )


class BudgetedTable(tables.TableService):
    """A table client that makes no calls beyond the budget.

    Parameters
    ----------
    table : tables.TableService
    shared : SharedBudget
    urgency : budgets.Urgency
    """

    def __init__(self, table, shared, urgency):
        self.table = table
        self.shared = shared
        self.urgency = urgency

    def read(self, keys):
        self.shared.acquire_read(self.urgency)
        return self.table.read(keys)

    def scan(self, prefix, after='', limit=tables.SCAN_PAGE):
        self.shared.acquire_read(self.urgency)
        return self.table.scan(prefix, after, limit)

    def commit(self, expected, puts, deletes=()):
        self.shared.acquire_write(self.urgency)
        return self.table.commit(expected, puts, deletes)


def make_shared_budget(settings, count_routers, metrics, clock=time.monotonic):
    """Make the shared budget of a router's table clients."""
    budget = budgets.make_budget(
        settings.table_reads, settings.table_writes, clock()
    )
    return SharedBudget(budget, count_routers, metrics, clock)
