"""How much of a link may be used, and how that is divided among routers."""

__all__ = ['usable_share', 'fair_level']

import math

# Mean queueing time on a link that is allowed, as a share of the objective for
# the first event.  A smaller share keeps the queue shorter but refuses
# requests while the link is idle for part of the time.
QUEUE_SHARE = 0.4
# A share of the rate that is used at most, however small the transfers are:
# the sizes of requests are estimates.
MAX_USABLE_SHARE = 0.9


def usable_share(seconds, objective):
    """Return the share of a link's rate that keeps its queue short.

    Transfers pass one after another.  By the formula of Pollaczek and
    Khinchine, transfers of equal length s that arrive at random at a load u
    wait u * s / (2 * (1 - u)) on average.

    Parameters
    ----------
    seconds : float
        Time that one transfer occupies the link.
    objective : float
        Of the first event, in seconds; 0 for none.

    Examples
    --------
    >>> round(usable_share(0.3, 0.5), 3), round(usable_share(0.01, 0.5), 3)
    (0.571, 0.9)
    """
    queue = QUEUE_SHARE * objective
    if queue <= 0.0:
        return MAX_USABLE_SHARE
    return min(MAX_USABLE_SHARE, 2.0 * queue / (seconds + 2.0 * queue))


def fair_level(demands, rate):
    """Return the max-min fair share of a rate.

    Parameters
    ----------
    demands : list of (float, float)
        Rate demanded by each router, and the number of routers for which the
        entry stands.
    rate : float

    Returns
    -------
    float
        The largest rate that one router may use; infinity if all demands can
        be met.

    Examples
    --------
    >>> fair_level([(1.0, 1), (8.0, 1), (8.0, 1)], 9.0)
    4.0
    >>> fair_level([(1.0, 1), (2.0, 1)], 9.0)
    inf
    """
    left = rate
    count = sum(number for _, number in demands)
    for demand, number in sorted(demands):
        if demand * count > left:
            return left / count
        left -= demand * number
        count -= number
    return math.inf
