"""Answers to requests with some feature, from before any crash."""

__all__ = ['PriorAnswers', 'make_prior_answers']

import collections

# Answers that count, and the features whose answers are remembered.
MAX_COUNTED = 6
MAX_REMEMBERED = 4096


class PriorAnswers:
    """Counts by feature and account; the features used last are kept.

    Examples
    --------
    >>> priors = make_prior_answers()
    >>> for _ in range(9):
    ...     priors.add(b'shared', 7)
    >>> priors.count(b'shared'), priors.count(b'shared', 8)
    (6, 0)
    """

    __slots__ = ('by_feature',)

    def __init__(self):
        self.by_feature = collections.OrderedDict()

    def __contains__(self, name):
        return name in self.by_feature

    def add(self, name, account):
        """Count an answer."""
        by_account = self.by_feature.pop(name, {})
        count = by_account.get(account, 0)
        by_account[account] = min(MAX_COUNTED, count + 1)
        self.by_feature[name] = by_account
        if len(self.by_feature) > MAX_REMEMBERED:
            self.by_feature.popitem(last=False)

    def count(self, name, account=None):
        """Return the answers of an account, or of all, up to the bound."""
        by_account = self.by_feature.get(name, {})
        if account is None:
            return min(MAX_COUNTED, sum(by_account.values()))
        return by_account.get(account, 0)


def make_prior_answers():
    """Make `PriorAnswers` without any."""
    return PriorAnswers()
