"""Turns of requests at endpoints that name a limit."""

__all__ = ['Turns', 'make_turns']

# Share of its objective that a request waits for its turn.
MOST_WAIT = 0.5
# Seconds within which a limit must leave room for a stream that is broken off
# to go on there.
SOON = 1.0


class Turns:
    """Takes turns by the view's limits, in order of rank and fair share.

    Parameters
    ----------
    view : view.View
    rng : random.Random
    """

    def __init__(self, view, rng):
        self.view = view
        self.rng = rng

    def take(self, job, name, now, patience):
        """Take a request's turn at an endpoint.

        Parameters
        ----------
        job : jobs.Job
        name : str
        now : float
        patience : float
            Seconds that it may wait.

        Returns
        -------
        float or None
            Seconds until its turn; None if it has none.
        """
        rank, account = job.match.priority, job.match.account
        with self.view.lock:
            limits, fairness = self.view.limits, self.view.fairness
            if limits.rate(name) is None:
                return 0.0
            if fairness.is_outranked(rank, account, now):
                return None
            wait = limits.acquire(name, now, patience)
            if wait is not None:
                fairness.granted(rank, account, now)
            return wait

    def refuse(self, job, now):
        """Give the seconds after which a refused request may have a turn.

        It counts as refused, for those that come after it.
        """
        with self.view.lock:
            fairness = self.view.fairness
            fairness.refused(job.match.priority, job.match.account, now)
            return self.view.limits.retry_after(
                job.limited,
                fairness.recent_refusals(now),
                now,
                self.rng.random(),
            )

    def soon(self, names, now):
        """Give the set of endpoints whose limits leave room soon."""
        with self.view.lock:
            wait = self.view.limits.wait
            return {name for name in names if wait(name, now) <= SOON}


def make_turns(view, rng):
    """Make `Turns`."""
    return Turns(view, rng)
