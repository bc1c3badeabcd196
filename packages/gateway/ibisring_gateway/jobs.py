"""State of a request while it is served."""

__all__ = ['Job', 'LateReason']

import enum

from ibisring_gateway import events
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import promptfeatures
from ibisring_policy.gateway import requestdigest
from ibisring_records import routing


class LateReason(enum.StrEnum):
    """Which of a caller's objectives an answer missed."""

    FIRST = 'first'
    PAUSE = 'pause'


class Job:
    """State of a request while it is served.

    Attributes
    ----------
    started : float
        Monotonic time in seconds at which its first byte was read.
    splitter : events.EventSplitter
    progress : attempts.Progress
    digest : bytes
        The same for each attempt of a request, see `requestdigest`.
    features : tuple of bytes
        What it may share with other requests, see `promptfeatures`.
    account_id : int
    features_running : tuple of bytes
        Those in doubt with which it is being sent.
    is_suspect : bool
        Whether it may have crashed an endpoint.
    avoid : set of str
        Endpoints that failed this request.
    relayed_by : str or None
        Router that handed the request over, None if a caller sent it.
    relayed_to : list of str
        Routers that the request was handed to.
    relays_failed : set of str
        Those that did not take it, or broke it off.
    relays_unready : set of str
        Those that did not take it since they were not ready for it.
    unready_refusals : int
        How often that happened.
    unready_since : float or None
        When it first happened.
    relayed_refusal : (ports.Answer, bytes) or None
        The last router's own answer that the request has not run.
    unreached_at : float or None
        When the last attempt to reach an endpoint began that failed.
    is_cut_off : bool
        Whether neither an endpoint nor another router can be reached.
    return_at : float or None
        Monotonic time at which its caller is to return, as assigned by the
        queue; None if it has assigned none.
    limited : set of str
        Endpoints that were skipped for their rate limits in the last choice.
    retried_at : float or None
        When the present attempt was allowed as a retry whose outcome counts;
        None once it has been noted.
    has_refused_retry : bool
        Whether the refusal of a retry has been noted.
    transfer : domainlinks.Transfer or None
        What it sends over links between failure domains.
    blocked_by : bottlenecks.Exhausted or None
        What left the last choice without an endpoint, if a bottleneck did.
    first_chunk_at, last_chunk_at : float or None
        When the first and the latest chunk of its answer arrived.
    last_result : attempts.Result or None
        Result of the last attempt; None before it, or if its answer was
        relayed to the end.
    in_vain : int
        Attempts since one last ran, see `attempts.pause_seconds`.
    retry : successors.Retry or None
        Taken from the limit on retries, and not yet spent: an attempt that
        was sent spends it, however it ends.
    successor : successors.Successor or None
        What was set aside as its last attempt was given up.
    rank : tuple of int
        Priority of the account and of the route, smaller first, see
        `routetable.Index.rank`; read anew while the request waits.
    waited : float
        Seconds that it has waited for a chain.
    longest_pause : float
        Longest time between two chunks, in seconds.
    """

    # Values before the first attempt.
    last_result = None
    in_vain = 0
    retry = None
    successor = None
    transfer = None
    blocked_by = None
    retried_at = None
    has_refused_retry = False
    return_at = None
    waited = 0.0
    first_chunk_at = None
    last_chunk_at = None
    longest_pause = 0.0

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
        self.features = promptfeatures.features_of(
            request.shared_parts, self.digest
        )
        self.account_id = promptfeatures.account_id(match.account)
        self.features_running = ()
        self.splitter = events.make_event_splitter(request.after_event)
        self.is_suspect = False
        self.avoid = set()
        self.relayed_by = None
        self.relayed_to = []
        self.relays_failed = set()
        self.relays_unready = set()
        self.unready_refusals = 0
        self.unready_since = None
        self.relayed_refusal = None
        self.unreached_at = None
        self.is_cut_off = False
        self.limited = set()
        self.sent_to = []
        self.answer = None
        self.chain = ''
        self.rank = (match.priority, match.route.priority)
        self.progress = attempts.Progress(
            repeatable=match.route.repeatable,
            stream=match.route.kind is routing.RequestKind.STREAM,
            max_endpoints=max(1, match.route.most_endpoints),
        )

    def use_mark(self, mark):
        """Take over what another router has done for this request.

        Parameters
        ----------
        mark : relaymarks.Mark
        """
        self.relayed_by = mark.sender
        self.sent_to = list(mark.sent_to)
        self.progress.sent_to = len(self.sent_to)

    def record_loss(self):
        """Record that an answer was lost after the request may have run.

        A stream whose last events have no position can't be resumed: they
        would come twice.
        """
        self.progress.may_have_run = True
        if self.splitter.has_unnumbered:
            self.progress.repeatable = False

    def record_chunk(self, now):
        """Record a chunk of the answer; pauses span all attempts."""
        if self.first_chunk_at is None:
            self.first_chunk_at = now
        else:
            pause = now - self.last_chunk_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_chunk_at = now
        attempts.note_event(self.progress)

    @property
    def rank_text(self):
        """The rank as it is written in log lines and names of metrics."""
        return '-'.join(str(each) for each in self.rank)

    @property
    def first_seconds(self):
        """Seconds to the first chunk of the answer, None without one."""
        if self.first_chunk_at is None:
            return None
        return self.first_chunk_at - self.started

    @property
    def late(self):
        """Which of the caller's objectives was missed, None if none was.

        For a request that a caller sends again after a refusal, the time
        counts from the latest arrival: the router doesn't know when the
        caller first sent it.
        """
        first = self.first_seconds
        if first is None:
            return None
        if first > self.route.objective:
            return LateReason.FIRST
        max_pause = self.route.longest_pause
        if max_pause and self.longest_pause > max_pause:
            return LateReason.PAUSE
        return None
