"""The table service, called only within this router's budget."""

__all__ = ['SharedBudget', 'BudgetedTable', 'make_shared_budget']

import threading
import time

from ibisring_backing import tables
from ibisring_policy import budgets
from ibisring_records import exceptions


class SharedBudget:
    """The budget that all table clients of a router draw on.

    Parameters
    ----------
    budget : budgets.StoreBudget
    routers : callable
        Gives the number of routers on the VM list, 0 if never read.
    metrics : metrics.Metrics
    clock : callable
    """

    def __init__(self, budget, routers, metrics, clock):
        self.budget = budget
        self.routers = routers
        self.metrics = metrics
        self.clock = clock
        self.lock = threading.Lock()

    def take_read(self, urgency):
        """Take a read.

        Raises
        ------
        StoreBudgetSpent
        """
        self._take(self.budget.may_read, urgency)

    def take_write(self, urgency):
        """Take a write.

        Raises
        ------
        StoreBudgetSpent
        """
        self._take(self.budget.may_write, urgency)

    def _take(self, may, urgency):
        routers = self.routers()
        with self.lock:
            allowed = may(urgency, routers, self.clock())
        if not allowed:
            self.metrics.count('store.budget_spent')
            raise exceptions.StoreBudgetSpent(
                "this router's part of the table service's calls is spent"
            )


class BudgetedTable(tables.TableService):
    """A table client that makes no call beyond the budget.

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
        self.shared.take_read(self.urgency)
        return self.table.read(keys)

    def scan(self, prefix, after='', limit=tables.SCAN_PAGE):
        self.shared.take_read(self.urgency)
        return self.table.scan(prefix, after, limit)

    def commit(self, expected, puts, deletes=()):
        self.shared.take_write(self.urgency)
        return self.table.commit(expected, puts, deletes)


def make_shared_budget(settings, routers, metrics, clock=time.monotonic):
    """Make the budget of a router's table clients."""
    budget = budgets.make_budget(
        settings.table_reads, settings.table_writes, clock()
    )
    return SharedBudget(budget, routers, metrics, clock)
