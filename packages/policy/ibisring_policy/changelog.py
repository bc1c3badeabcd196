"""The latest changes, kept for those who follow and are a little behind."""

__all__ = ['ChangeLog', 'make_changelog']

import collections

# A release of 100 endpoints makes some 500 changes in 20 s; who is further
# behind gets everything.
MOST = 2000


class ChangeLog:
    """Changes with their positions, oldest first.

    Attributes
    ----------
    position : int
        Position of the latest known state.
    kept_from : int
        Changes after this position are all here.
    """

    __slots__ = ('most', 'changes', 'position', 'kept_from')

    def __init__(self, most):
        self.most = most
        self.changes = collections.deque()
        self.position = 0
        self.kept_from = 0

    def restart(self, position):
        """Forget all changes: the state was read anew at a position."""
        self.changes.clear()
        self.position = position
        self.kept_from = position

    def note(self, position, items):
        """Add changes that lead up to a position."""
        for item in items:
            self.changes.append((position, item))
        while len(self.changes) > self.most:
            self.kept_from = self.changes.popleft()[0]
        self.position = max(self.position, position)

    def since(self, position):
        """Give the latest change of each id after a position.

        Returns
        -------
        list or None
            None if some of them are no longer kept.
        """
        if position < self.kept_from:
            return None
        latest = {i.id: i for at, i in self.changes if at > position}
        return list(latest.values())


def make_changelog(most=MOST):
    """Make an empty `ChangeLog`."""
    return ChangeLog(most)
