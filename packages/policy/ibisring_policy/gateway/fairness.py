"""Who comes first where endpoints take fewer requests than come."""

__all__ = ['Fairness', 'make_fairness']

import collections
import itertools

import msgspec

# Seconds for which a refused request is thought to come back soon.
REFUSED_FOR = 2.0
# Seconds over which client accounts are compared.
COMPARED_FOR = 10.0
# Decisions kept at most: under a flood, a shorter time is compared.
MOST_KEPT = 500


class _Decision(msgspec.Struct, frozen=True):
    at: float
    rank: int
    account: str
    granted: bool


class Fairness:
    """Keeps what was granted and refused lately; the caller holds a lock.

    Examples
    --------
    >>> fairness = make_fairness()
    >>> fairness.refused(0, 'urgent', 10.0)
    >>> fairness.is_outranked(1, 'other', 10.5)
    True
    >>> fairness.is_outranked(1, 'other', 12.5)
    False
    """

    def __init__(self):
        self.decisions = collections.deque(maxlen=MOST_KEPT)

    def granted(self, rank, account, now):
        """Note that a request got its turn."""
        self._note(_Decision(now, rank, account, True))

    def refused(self, rank, account, now):
        """Note that a request was refused for want of a turn."""
        self._note(_Decision(now, rank, account, False))

    def _note(self, decision):
        since = decision.at - COMPARED_FOR
        while self.decisions and self.decisions[0].at <= since:
            self.decisions.popleft()
        self.decisions.append(decision)

    def recent_refusals(self, now):
        """Give how many requests were refused a moment ago."""
        return len(self._lately_refused(now))

    def _lately_refused(self, now):
        lately = itertools.takewhile(
            lambda decision: now - decision.at < REFUSED_FOR,
            reversed(self.decisions),
        )
        return [decision for decision in lately if not decision.granted]

    def is_outranked(self, rank, account, now):
        """Say whether others should come before a request.

        Those are requests of a higher rank that were refused a moment ago,
        and client accounts that have got less than their fair share.

        Parameters
        ----------
        rank : int
            0 is first.
        account : str
        now : float
        """
        waiting = self._lately_refused(now)
        if any(each.rank < rank for each in waiting):
            return True
        starved = {each.account for each in waiting if each.rank == rank}
        starved.discard(account)
        if not starved:
            return False
        got = self._got(rank, account)
        fair = sum(got.values()) / len(got)
        if got[account] < fair + 1.0:
            return False
        return any(got[name] < fair for name in starved)

    def _got(self, rank, account):
        """Count the turns of client accounts of a rank."""
        got = {account: 0}
        for each in self.decisions:
            if each.rank == rank:
                got[each.account] = got.get(each.account, 0) + each.granted
        return got


def make_fairness():
    """Make a `Fairness` that knows of no request."""
    return Fairness()
