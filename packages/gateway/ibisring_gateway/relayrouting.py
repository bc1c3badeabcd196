"""Whether a request goes to an endpoint or by way of another router."""

__all__ = ['RelayRouting', 'NobodyInReach', 'accept_mark', 'mark_error']

import time

from ibisring_gateway import exchange as exchange_module
from ibisring_gateway import relaymarks
from ibisring_records import exceptions
from ibisring_web import sockets

# Longest time for which a started stream waits until a router or an endpoint
# is in reach, and interval of the checks.
WAIT_SECONDS = 1.3
POLL_SECONDS = 0.05
# Routers that a request asks without a pause while they are not ready.
MAX_UNREADY_AT_ONCE = 3


class NobodyInReach(Exception):
    """Neither an endpoint nor a router that has one can be reached."""


class RelayRouting:
    """Chooses the way of a request.

    Parameters
    ----------
    view : view.View
    sender : relaysending.RelaySender
    """

    def __init__(self, view, sender):
        self.view = view
        self.sender = sender
        self.clock = view.clock

    def choose(self, job):
        """Return the router to hand a request to, None to send it itself.

        A request that another router has handed over is never handed on.

        Returns
        -------
        relays.Candidate or None

        Raises
        ------
        NobodyInReach
        Unreachable
        CallerDisconnected
        """
        is_cut = self.is_cut(job)
        if job.relayed_by is not None:
            if is_cut:
                self._give_back(job)
            return None
        if not is_cut and not self._is_unreached(job):
            return None
        if job.unready_refusals >= MAX_UNREADY_AT_ONCE:
            return self._wait(job)
        peer = self.sender.choose(job)
        if peer is not None or self._may_reach(job):
            return peer
        if job.exchange.headers_sent or self.sender.is_any_unready(job):
            return self._wait(job)
        raise NobodyInReach

    def is_cut(self, job):
        """Return whether no endpoint for a request can be reached."""
        with self.view.lock:
            return self.view.links.is_cut(job.service.name)

    def _may_reach(self, job):
        with self.view.lock:
            return self.view.links.may_be_back(job.service.name)

    def _is_unreached(self, job):
        """Return whether an endpoint was not reached, and none was since.

        Nothing was sent to it.  It may be the own link that has failed.
        """
        if job.unreached_at is None:
            return False
        with self.view.lock:
            return not self.view.links.connected_since(
                job.service.name, job.unreached_at
            )

    def _give_back(self, job):
        """Leave a request to the router that handed it over."""
        if job.progress.may_have_run or job.exchange.headers_sent:
            raise NobodyInReach
        raise exceptions.Unreachable('this router reaches no endpoint')

    def _wait(self, job):
        """Wait for a way for a started stream, which would be lost.

        Also for a request that a router will take as soon as it is ready.
        The time does not count for which this process stands still.
        """
        began = self.clock()
        while self._may_wait(job, began):
            time.sleep(POLL_SECONDS)
            if sockets.is_gone(job.exchange.socket):
                raise exchange_module.CallerDisconnected(
                    'while its stream waited for a way'
                )
            if self._may_reach(job):
                return None
            peer = self.sender.choose(job)
            if peer is not None:
                return peer
        raise NobodyInReach

    def _may_wait(self, job, began):
        now = self.clock()
        if now >= job.deadline:
            return False
        if self.view.health.running_seconds(began, now) < WAIT_SECONDS:
            return True
        return job.exchange.headers_sent and self.sender.is_any_unready(job)


def accept_mark(exchange, request, own_name):
    """Take the mark of another router off a request.

    Parameters
    ----------
    exchange : exchange.Exchange
    request : ports.CallerRequest
        Loses the headers between routers.
    own_name : str

    Returns
    -------
    relaymarks.Mark or None
        None if a caller has sent the request.

    Raises
    ------
    InvalidRelay
    """
    if not exchange.is_from_router:
        if relaymarks.is_marked(request.headers):
            raise exceptions.InvalidRelay('a caller sent the mark of a router')
        return None
    mark = relaymarks.decode(request.headers, own_name)
    request.headers = dict(relaymarks.strip(request.headers.items()))
    return mark


def mark_error(exchange, error):
    """Add to an answer to another router that the error is this one's."""
    listed = exchange.list_extra_headers()
    extra = [*listed, (relaymarks.REFUSAL, error.code)]
    exchange.list_extra_headers = lambda: extra
