"""The difference between two versions of a routing table.

Most new versions change one route or one account of hundreds.  Sending whole
tables to each router would fill the link of a small VM for longer than streams
may pause.
"""

__all__ = ['TableChange', 'compute_change', 'apply_change']

from ibisring_records import received
from ibisring_records import routing
import msgspec


class TableChange(msgspec.Struct, array_like=True):
    """Turns the table of version `base` into that of `version`.

    `routes`, `services` and `accounts` contain new and changed items; the
    three other lists contain the names of removed ones.
    """

    base: received.Count
    version: received.Count
    limits: routing.CallerLimits
    has_accounts: bool
    routes: list[routing.Route] = []
    services: list[routing.Service] = []
    accounts: list[routing.Account] = []
    removed_routes: list[received.Name] = []
    removed_services: list[received.Name] = []
    removed_accounts: list[received.Name] = []


def compute_change(before, after):
    """Return the change from one table to another.

    Parameters
    ----------
    before, after : routing.RoutingTable

    Returns
    -------
    TableChange or None
        None if items can't be identified by name, since two share one.
    """
    change = TableChange(
        before.version,
        after.version,
        after.limits,
        after.accounts is not None,
        *(
            _added_or_changed(old, new)
            for old, new in zip(_item_lists(before), _item_lists(after))
        ),
        *(
            _removed_names(old, new)
            for old, new in zip(_item_lists(before), _item_lists(after))
        ),
    )
    return change if _is_equal(apply_change(before, change), after) else None


def apply_change(table, change):
    """Return the table that results from a change.

    Parameters
    ----------
    table : routing.RoutingTable
        Of the version that the change is based on.
    change : TableChange

    Returns
    -------
    routing.RoutingTable
    """
    routes, services, accounts = _item_lists(table)
    accounts = _merge_items(accounts, change.accounts, change.removed_accounts)
    return routing.RoutingTable(
        version=change.version,
        routes=_merge_items(routes, change.routes, change.removed_routes),
        services=_merge_items(
            services, change.services, change.removed_services
        ),
        accounts=accounts if change.has_accounts else None,
        limits=change.limits,
    )


def _item_lists(table):
    return table.routes, table.services, table.accounts or ()


def _added_or_changed(before, after):
    known = set(before)
    return [each for each in after if each not in known]


def _removed_names(before, after):
    names = {each.name for each in after}
    return [each.name for each in before if each.name not in names]


def _merge_items(before, changed, removed):
    names = set(removed)
    merged = {each.name: each for each in before if each.name not in names}
    merged.update((each.name, each) for each in changed)
    return tuple(merged.values())


def _is_equal(one, other):
    """Whether two tables have the same items, in any order."""
    if (one.accounts is None) != (other.accounts is None):
        return False
    return all(
        len(left) == len(right) and set(left) == set(right)
        for left, right in zip(_item_lists(one), _item_lists(other))
    )
