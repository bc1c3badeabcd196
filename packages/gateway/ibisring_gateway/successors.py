"""Where a request goes on if its attempt is given up.

An attempt is given up only once all that its request needs to go on has been
set aside: the limits of its route, a retry, and an endpoint with room.
"""

__all__ = [
    'Retry',
    'Successor',
    'Successors',
    'make_successors',
    'attempt_for',
]

import msgspec

from ibisring_gateway import attemptwatching
from ibisring_policy.gateway import attempts


class Retry:
    """A retry taken from the limit on them.

    Attributes
    ----------
    taken_at : float
    service : str or None
        Service whose lowered rate it was taken from as well.
    """

    __slots__ = ('taken_at', 'service')

    def __init__(self, taken_at, service):
        self.taken_at = taken_at
        self.service = service


class Successor:
    """What was set aside for a request whose attempt is given up.

    Attributes
    ----------
    cause : attempts.Cause
    events : int
        Events of the attempt to be given up, which stays if one more comes.
    retry : Retry
    choice : selecting.Choice or None
        None if the request goes to another router.
    attempt : attemptwatching.Attempt or None
        The next attempt, counted in the load of its endpoints.
    peer : relays.Candidate or None
    """

    __slots__ = ('cause', 'events', 'retry', 'choice', 'attempt', 'peer')

    def __init__(self, cause, events):
        self.cause = cause
        self.events = events
        self.retry = None
        self.choice = None
        self.attempt = None
        self.peer = None


class Successors:
    """Sets aside what requests need to go on elsewhere.

    Parameters
    ----------
    view : view.View
    selector : selecting.Selector
    screen : screening.Screen
    relay_sender : relaysending.RelaySender
    retry_budget : retrybudget.RetryBudget
    count_routers : callable

    Attributes
    ----------
    end_of : callable
        Returns when a request with a deadline is ended: at the deadline, or
        earlier if this process exits before it.
    """

    def __init__(
        self,
        view,
        selector,
        screen,
        relay_sender,
        retry_budget,
        count_routers,
    ):
        self.view = view
        self.selector = selector
        self.screen = screen
        self.relay_sender = relay_sender
        self.retry_budget = retry_budget
        self.count_routers = count_routers
        self.end_of = lambda deadline: deadline
        self.clock = view.clock

    def prepare(self, attempt, cause):
        """Set aside what a request needs if its attempt is given up.

        Parameters
        ----------
        attempt : attemptwatching.Attempt
        cause : attempts.Cause

        Returns
        -------
        Successor or None
            None if the request may not go on elsewhere; the attempt has to
            stay then.
        """
        job = attempt.job
        now = self.clock()
        if job is None or attempt.is_over or attempt.result is not None:
            return None
        progress = self._progress(job, now)
        if not attempts.may_begin_anew(cause, progress):
            return None
        if not attempts.may_give_up(cause, progress):
            return None
        if not self.screen.may_move(job) or not self._has_retry(now):
            return None
        successor = Successor(cause, attempt.events)
        if not self._find_way(job, attempt, successor, now):
            return None
        successor.retry = self.take_retry(job, now)
        if successor.retry is None:
            if successor.choice is not None:
                self.selector.give_back(successor.choice)
            return None
        if successor.choice is not None:
            successor.attempt = attempt_for(job, successor.choice)
            self.selector.reserve(successor.attempt)
        return successor

    def cancel(self, successor):
        """Return what was set aside for a request."""
        if successor.attempt is not None:
            self.selector.release(successor.attempt)
        if successor.choice is not None:
            self.selector.give_back(successor.choice)
        self.give_back(successor.retry)

    def give_back(self, retry):
        """Return a retry that no attempt has used."""
        with self.view.lock:
            self.retry_budget.give_back(retry.taken_at, retry.service)

    def take_retry(self, job, now):
        """Take a retry from the limit on them.

        Returns
        -------
        Retry or None
        """
        service = damped_service(job)
        with self.view.lock:
            is_allowed = self.retry_budget.take_retry(
                now, self.count_routers(), service
            )
        return Retry(now, service) if is_allowed else None

    def _has_retry(self, now):
        """Return whether a search for a way is worth its time."""
        with self.view.lock:
            return self.retry_budget.remaining(now, self.count_routers()) > 0

    def _progress(self, job, now):
        is_numbered = not job.splitter.has_unnumbered
        end = self.end_of(job.deadline)
        return msgspec.structs.replace(
            job.progress,
            delivering=job.exchange.headers_sent,
            repeatable=job.progress.repeatable and is_numbered,
            time_left=end - now,
            is_shortened=end < job.deadline,
            has_retry_budget=True,
        )

    def _find_way(self, job, attempt, successor, now):
        """Choose where a request goes on; False if there is no way."""
        if self._needs_router(job):
            if job.relayed_by is None:
                successor.peer = self.relay_sender.choose(
                    job, without=attempt.endpoint.id
                )
            return successor.peer is not None
        choice = self.selector.choose_other(job, attempt, now)
        if choice is None:
            return False
        if job.exchange.headers_sent and choice.wait:
            self.selector.give_back(choice)
            return False
        successor.choice = choice
        return True

    def _needs_router(self, job):
        """Return whether this router reaches no endpoint for a request."""
        name = job.service.name
        with self.view.lock:
            links = self.view.links
            return links.is_cut(name) and not links.may_be_back(name)


def damped_service(job):
    """Return the service whose lowered rate holds for a job's retries.

    None if only the bound holds: for services without a model, and for
    streams under way, whose response so far would be lost.
    """
    if job.service.model is None or job.exchange.headers_sent:
        return None
    return job.service.name


def attempt_for(job, choice):
    """Make the attempt to send a request where it was chosen to go.

    Parameters
    ----------
    job : jobs.Job
    choice : selecting.Choice

    Returns
    -------
    attemptwatching.Attempt
    """
    attempt = attemptwatching.Attempt(
        job.request.id, choice.endpoint, choice.stages, job.deadline
    )
    attempt.job = job
    attempt.tokens = choice.tokens
    attempt.rank = job.rank
    sent_to = {*job.sent_to, choice.endpoint.id}
    attempt.may_change_endpoint = len(sent_to) < job.progress.max_endpoints
    return attempt


def make_successors(*parts):
    """Make a `Successors`."""
    return Successors(*parts)
