"""A request while it is being served."""

__all__ = ['Job']

from ibisring_gateway import events
from ibisring_policy import attempts
from ibisring_records import routing


class Job:
    """A request while it is being served.

    Attributes
    ----------
    splitter : events.Splitter
    progress : attempts.Progress
    avoid : set of str
        Endpoints that failed this request.
    """

    def __init__(self, exchange, request, match, service, deadline):
        self.exchange = exchange
        self.request = request
        self.match = match
        self.route = match.route
        self.service = service
        self.deadline = deadline
        self.splitter = events.make_splitter(request.after_event)
        self.avoid = set()
        self.head = None
        self.sent_to = []
        self.answer = None
        self.chain = ''
        self.longest_gap = 0.0
        self.progress = attempts.Progress(
            repeatable=match.route.repeatable,
            stream=match.route.kind is routing.Kind.STREAM,
            most_endpoints=max(1, match.route.most_endpoints),
        )
