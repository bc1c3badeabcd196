"""How a process shares its file descriptors among kinds of connections."""

__all__ = [
    'MIN_LIMIT',
    'Kind',
    'Shares',
    'Budget',
    'derive_shares',
    'make_budget',
]

import enum

# Descriptors of a process that the platform sets aside for files.
FILES = 200
# The smallest limit from which every kind gets a share.
MIN_LIMIT = 64
# Least descriptors for what the process itself opens: listeners, the store,
# gossip, and calls that ask endpoints for their state.
MIN_OWN = 24
# Least connections that are refused at the same time.
MIN_REFUSALS = 16
# Readiness checks and readers of the metrics keep few connections.
MAX_CONTROL = 32


class Kind(enum.Enum):
    """Who is at the other side of a connection."""

    CALLERS = 'callers'
    ROUTERS = 'routers'
    ENDPOINTS = 'endpoints'
    CONTROL = 'control'


class Shares:
    """How a limit is divided, in descriptors.

    Attributes
    ----------
    connections : int
        For the connections of all kinds together.
    reserved : dict of Kind to int
        What each kind may open whatever the others have open.
    refusals : int
        For connections that are refused.
    """

    __slots__ = ('connections', 'reserved', 'refusals')

    def __init__(self, connections, reserved, refusals):
        self.connections = connections
        self.reserved = reserved
        self.refusals = refusals


class Budget:
    """Counts open connections by kind; the caller holds a lock.

    A kind may open what is reserved for it, and besides whatever the others
    neither use nor have reserved.  So the connections never exceed their
    number, and no kind can take what another has reserved.

    Parameters
    ----------
    shares : Shares

    Examples
    --------
    >>> budget = make_budget(300)
    >>> budget.open(Kind.CALLERS), budget.used[Kind.CALLERS]
    (True, 1)
    """

    __slots__ = ('shares', 'used', 'refusing')

    def __init__(self, shares):
        self.shares = shares
        self.used = dict.fromkeys(shares.reserved, 0)
        self.refusing = 0

    def may_open(self, kind):
        """Return whether a connection of a kind may be opened."""
        reserved = self.shares.reserved
        if self.used[kind] < reserved[kind]:
            return True
        taken = sum(max(self.used[k], reserved[k]) for k in reserved)
        return taken < self.shares.connections

    def open(self, kind):
        """Count a connection, if it may be opened; return whether it may."""
        if not self.may_open(kind):
            return False
        self.used[kind] += 1
        return True

    def close(self, kind):
        """Count a connection as closed."""
        self.used[kind] -= 1

    def kinds_to_close(self, kind):
        """Return the kinds of which an idle connection may be closed.

        Parameters
        ----------
        kind : Kind
            Of the new connection.

        Returns
        -------
        list of Kind
            In order: those to endpoints first, since closing them can't cross
            a request, then the kind itself, then those that use more than is
            reserved for them.
        """
        reserved = self.shares.reserved
        above = [k for k in reserved if self.used[k] > reserved[k]]
        first = [k for k in above if k is Kind.ENDPOINTS and k is not kind]
        rest = [k for k in above if k not in (*first, kind)]
        return [*first, kind, *rest]

    def begin_refusal(self):
        """Count a connection to refuse; return whether there is room."""
        if self.refusing >= self.shares.refusals:
            return False
        self.refusing += 1
        return True

    def end_refusal(self):
        """Count a refused connection as closed."""
        self.refusing -= 1


def derive_shares(limit):
    """Derive the `Shares` of a limit on descriptors.

    Examples
    --------
    >>> shares = derive_shares(4200)
    >>> shares.connections, shares.refusals
    (3625, 125)
    >>> shares.reserved[Kind.ENDPOINTS]
    500
    """
    sockets = limit - min(FILES, limit // 2)
    own = min(max(MIN_OWN, sockets // 16), sockets // 4)
    refusals = min(max(MIN_REFUSALS, sockets // 32), sockets // 8)
    reserved = {
        Kind.CALLERS: sockets // 4,
        Kind.ROUTERS: sockets // 16,
        Kind.ENDPOINTS: sockets // 8,
        Kind.CONTROL: min(MAX_CONTROL, sockets // 16),
    }
    return Shares(sockets - own - refusals, reserved, refusals)


def make_budget(limit):
    """Make the `Budget` of a limit, without connections."""
    return Budget(derive_shares(limit))
