"""What differs between two versions of a routing table.

Most new versions change one route or one account of hundreds.  A table that
goes whole to each router fills the link of a small VM for longer than streams
may pause.
"""

__all__ = ['TableChange', 'compute_change', 'apply_change']

from ibisring_records import routing
import msgspec


class TableChange(msgspec.Struct, array_like=True):
    """Turns the table of version `base` into that of `version`.

    `routes`, `services` and `accounts` are new or have changed; those named
    in the three other lists are left out.
    """

    base: int
    version: int
    limits: routing.CallerLimits
    has_accounts: bool
    routes: list[routing.Route] = []
    services: list[routing.Service] = []
    accounts: list[routing.Account] = []
    no_routes: list[str] = []
    no_services: list[str] = []
    no_accounts: list[str] = []


def compute_change(before, after):
    """Give the change from one table to another.

    Parameters
    ----------
    before, after : routing.RoutingTable

    Returns
    -------
    TableChange or None
        None if it can't be told by names, since two items share one.
    """
    change = TableChange(
        before.version,
        after.version,
        after.limits,
        after.accounts is not None,
        *(
            _fresh(old, new)
            for old, new in zip(_groups(before), _groups(after))
        ),
        *(
            _dropped(old, new)
            for old, new in zip(_groups(before), _groups(after))
        ),
    )
    return change if _is_same(apply_change(before, change), after) else None


def apply_change(table, change):
    """Give the table that a change makes of another one.

    Parameters
    ----------
    table : routing.RoutingTable
        Of the version that the change is based on.
    change : TableChange

    Returns
    -------
    routing.RoutingTable
    """
    routes, services, accounts = _groups(table)
    accounts = _merged(accounts, change.accounts, change.no_accounts)
    return routing.RoutingTable(
        version=change.version,
        routes=_merged(routes, change.routes, change.no_routes),
        services=_merged(services, change.services, change.no_services),
        accounts=accounts if change.has_accounts else None,
        limits=change.limits,
    )


def _groups(table):
    return table.routes, table.services, table.accounts or ()


def _fresh(before, after):
    known = set(before)
    return [each for each in after if each not in known]


def _dropped(before, after):
    names = {each.name for each in after}
    return [each.name for each in before if each.name not in names]


def _merged(before, fresh, dropped):
    names = set(dropped)
    found = {each.name: each for each in before if each.name not in names}
    found.update((each.name, each) for each in fresh)
    return tuple(found.values())


def _is_same(one, other):
    """Say whether two tables mean the same, whatever their order."""
    if (one.accounts is None) != (other.accounts is None):
        return False
    return all(
        len(left) == len(right) and set(left) == set(right)
        for left, right in zip(_groups(one), _groups(other))
    )
