"""Admission of requests under the limits and backoffs of endpoints."""

__all__ = ['Throttle', 'make_throttle']

# Share of its objective for which a request may wait for a rate limit.
MAX_WAIT_SHARE = 0.5
# Before a stream is broken off, another endpoint's limit must allow it to be
# resumed there within this many seconds.
SOON_SECONDS = 1.0


class Throttle:
    """Admits requests by the view's limits, by rank and fair share.

    Parameters
    ----------
    view : view.View
    rng : random.Random
    """

    def __init__(self, view, rng):
        self.view = view
        self.rng = rng

    def admit(self, job, endpoint_id, now, max_wait):
        """Admit a request at an endpoint and count it against the limit.

        Parameters
        ----------
        job : jobs.Job
        endpoint_id : str
        now : float
        max_wait : float
            Longest time in seconds that it may wait.

        Returns
        -------
        (float, ratelimits.Reservation or None) or None
            Seconds that it has to wait, and what was counted; None if it is
            not admitted.
        """
        rank, account = job.match.priority, job.match.account
        with self.view.lock:
            limits, fairness = self.view.limits, self.view.fairness
            if not limits.is_limited(endpoint_id, now):
                return 0.0, None
            if fairness.is_outranked(rank, account, now):
                return None
            reservation = limits.reserve(endpoint_id, now, max_wait)
            if reservation is None:
                return None
            fairness.granted(rank, account, now)
            return reservation.wait, reservation

    def give_back(self, reservation):
        """Take back what `admit` has counted for a request not sent."""
        if reservation is not None:
            with self.view.lock:
                self.view.limits.give_back(reservation)

    def refuse(self, job, now):
        """Return the seconds after which a refused request may be admitted.

        The refusal is recorded: requests that arrive later and rank lower, or
        whose account exceeds its share, don't overtake it.
        """
        with self.view.lock:
            fairness = self.view.fairness
            rank = job.match.priority
            fairness.refused(rank, job.match.account, now)
            return self.view.limits.retry_after(
                job.limited,
                fairness.recent_refusals(rank, now),
                now,
                self.rng.random(),
            )

    def backing_off(self, now, max_wait):
        """Return the ids of endpoints whose backoffs last for longer."""
        with self.view.lock:
            return self.view.limits.backoffs.lasting(now, max_wait)

    def with_capacity_soon(self, endpoint_ids, now):
        """Return the endpoints whose limits allow a request soon."""
        with self.view.lock:
            wait = self.view.limits.wait
            return {
                endpoint_id
                for endpoint_id in endpoint_ids
                if wait(endpoint_id, now) <= SOON_SECONDS
            }


def make_throttle(view, rng):
    """Make a `Throttle`."""
    return Throttle(view, rng)
