"""A request while it is being served."""

__all__ = ['Job', 'Late']

import enum

from ibisring_gateway import events
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import requestdigest
from ibisring_records import routing


class Late(enum.StrEnum):
    """What made an answer late for its caller."""

    FIRST = 'first'
    PAUSE = 'pause'


class Job:
    """A request while it is being served.

    Attributes
    ----------
    started : float
        Monotonic seconds at which its first byte was read.
    splitter : events.Splitter
    progress : attempts.Progress
    digest : bytes
        The same for each attempt of one request, see `identity`.
    is_suspect : bool
        Whether some endpoint may have ended under it.
    avoid : set of str
        Endpoints that failed this request.
    limited : set of str
        Endpoints that it could not go to for their limits, when last tried.
    first_at, last_at : float or None
        When the first and the latest piece of its answer came.
    longest_pause : float
        Longest time between two pieces, in seconds.
    """

    def __init__(self, exchange, request, match, service, started, deadline):
        self.exchange = exchange
        self.request = request
        self.match = match
        self.route = match.route
        self.service = service
        self.started = started
        self.deadline = deadline
        self.digest = requestdigest.compute(
            match.account,
            request.method,
            request.host,
            request.target,
            request.body,
        )
        self.splitter = events.make_splitter(request.after_event)
        self.is_suspect = False
        self.avoid = set()
        self.limited = set()
        self.sent_to = []
        self.answer = None
        self.chain = ''
        self.first_at = None
        self.last_at = None
        self.longest_pause = 0.0
        self.progress = attempts.Progress(
            repeatable=match.route.repeatable,
            stream=match.route.kind is routing.Kind.STREAM,
            max_endpoints=max(1, match.route.most_endpoints),
        )

    def piece_came(self, now):
        """Note a piece of the answer; pauses count over all attempts."""
        if self.first_at is None:
            self.first_at = now
        else:
            pause = now - self.last_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_at = now

    @property
    def first_seconds(self):
        """Seconds to the first piece of the answer, None without one."""
        if self.first_at is None:
            return None
        return self.first_at - self.started

    @property
    def late(self):
        """Which of the caller's objectives was missed, None if none was.

        A request that came back after a refusal counts from its return: its
        caller does not say since when it has waited.
        """
        first = self.first_seconds
        if first is None:
            return None
        if first > self.route.objective:
            return Late.FIRST
        allowed = self.route.longest_pause
        if allowed and self.longest_pause > allowed:
            return Late.PAUSE
        return None
