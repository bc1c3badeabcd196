"""Which requests have precedence where endpoints are rate limited."""

__all__ = ['Fairness', 'make_fairness']

import collections
import itertools

import msgspec

# How long a refused request is expected to be retried soon.
RETRY_EXPECTED_SECONDS = 2.0
# Period over which client accounts are compared.
COMPARISON_SECONDS = 10.0
# Bound on the decisions kept: under high load the compared period is shorter.
MAX_DECISIONS = 500


class _Decision(msgspec.Struct, frozen=True):
    at: float
    rank: int
    account: str
    granted: bool


class Fairness:
    """Recently granted and refused requests; the caller holds a lock.

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
        self.decisions = collections.deque(maxlen=MAX_DECISIONS)

    def granted(self, rank, account, now):
        """Record that a request was granted."""
        self._record(_Decision(now, rank, account, True))

    def refused(self, rank, account, now):
        """Record that a request was refused."""
        self._record(_Decision(now, rank, account, False))

    def _record(self, decision):
        since = decision.at - COMPARISON_SECONDS
        while self.decisions and self.decisions[0].at <= since:
            self.decisions.popleft()
        self.decisions.append(decision)

    def recent_refusals(self, rank, now):
        """Return the number of recently refused requests.

        Those that rank lower than `rank` are not counted.
        """
        refusals = self._recent_refusals(now)
        return sum(1 for each in refusals if each.rank <= rank)

    def _recent_refusals(self, now):
        recent = itertools.takewhile(
            lambda decision: now - decision.at < RETRY_EXPECTED_SECONDS,
            reversed(self.decisions),
        )
        return [decision for decision in recent if not decision.granted]

    def is_outranked(self, rank, account, now):
        """Whether other requests have precedence over one.

        Those are recently refused requests of a higher priority, and of client
        accounts that were granted less than their fair share.

        Parameters
        ----------
        rank : int
            Priority; 0 is the highest.
        account : str
        now : float
        """
        refusals = self._recent_refusals(now)
        if any(each.rank < rank for each in refusals):
            return True
        competitors = {each.account for each in refusals if each.rank == rank}
        competitors.discard(account)
        if not competitors:
            return False
        granted = self._count_granted(rank, account)
        fair_share = sum(granted.values()) / len(granted)
        if granted[account] < fair_share + 1.0:
            return False
        return any(granted[name] < fair_share for name in competitors)

    def _count_granted(self, rank, account):
        """Count the granted requests of a rank by client account."""
        granted = {account: 0}
        for each in self.decisions:
            if each.rank == rank:
                granted[each.account] = (
                    granted.get(each.account, 0) + each.granted
                )
        return granted


def make_fairness():
    """Make a `Fairness` without decisions."""
    return Fairness()
