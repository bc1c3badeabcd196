"""Ends a process that was asked to exit, without losing a request."""

__all__ = ['Drain', 'make_drain']

import logging
import time

from ibisring_policy.gateway import endings
from ibisring_policy.gateway import shutdown
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Intervals at which running requests are looked for, and the answers after
# the decision to exit.
POLL_SECONDS = 0.05
LAST_POLL_SECONDS = 0.005
MS_PER_SECOND = 1000.0


class Drain:
    """The end of a process, from a shutdown request to the exit.

    First requests are served, then refused, while those under way go on.
    After the decision to exit the servers take no more connections, what they
    have read or could read is refused, and idle connections are closed.  The
    callers of requests that were passed on are told so before that, in time
    for all of them.

    Parameters
    ----------
    received : signalwaiting.Received
        The shutdown request.
    grace : float
        Seconds until the process is killed.
    forwarder : forwarding.Forwarder
    servers : list of cheroot.server.HTTPServer
        Those whose requests are passed on.
    health : localhealth.LocalHealth
    clock, sleep : callable
    """

    def __init__(
        self, received, grace, forwarder, servers, health, clock, sleep
    ):
        self.received = received
        self.grace = grace
        self.forwarder = forwarder
        self.intake = forwarder.intake
        self.servers = servers
        self.health = health
        self.clock = clock
        self.sleep = sleep
        self.handled = received.at - received.sent_after

    def begin(self):
        """Announce the end on answers, and bound what is begun by it."""
        sent_after = self.received.sent_after
        last_moment = shutdown.last_moment(self.grace, self.handled)
        self.intake.stop(
            sent_after + shutdown.accept_seconds(self.grace),
            sent_after + last_moment,
        )

    def run(self):
        """Drain running requests; return when the process must exit."""
        logs.event(
            LOG, 'ending', active=self.intake.active, **self._late_facts()
        )
        while not self.intake.close_if(self._may_exit):
            if self._must_tell():
                self.forwarder.end_unanswered()
            self.sleep(POLL_SECONDS)
            self._start_threads()
        loads = self._loads()
        self.forwarder.end_attempts()
        is_clean = self._finish_servers()
        self.forwarder.prepare_exit()
        self._log_cut()
        logs.event(
            LOG,
            'ended',
            active=self.intake.active,
            loads=loads,
            left=self._loads(),
            clean=is_clean,
            refused=self.intake.refused,
            refused_last=self.intake.refused_after_close,
            closed=[server.closed_at_end for server in self.servers],
            seconds=round(self.clock() - self.received.sent_after, 2),
            **self._late_facts(),
        )

    def seconds_left(self):
        """Return the seconds until the process is killed, at least."""
        return self.received.sent_after + self.grace - self.clock()

    def _loads(self):
        return [server.requests.load for server in self.servers]

    def _late_facts(self):
        return {
            'handled_ms': round(self.handled * MS_PER_SECOND),
            'late_ms': round(self._lateness() * MS_PER_SECOND),
            'queued': sum(s.requests.counts.queued for s in self.servers),
            'held': sum(s.requests.counts.held for s in self.servers),
        }

    def _lateness(self):
        return self.health.lateness(self.received.sent_after, self.clock())

    def _may_exit(self, active):
        # A connection is queued or held before its request is counted.
        under_way = max(active, sum(self._loads()))
        return shutdown.may_exit(
            self.clock() - self.received.sent_after,
            under_way,
            self.grace,
            self.handled,
            self._lateness(),
        )

    def _must_tell(self):
        """Return whether callers must be told now that the process exits."""
        elapsed = self.clock() - self.received.sent_after
        return elapsed >= shutdown.tell_moment(
            self.grace,
            self.forwarder.count_unanswered(),
            self.handled,
            self._lateness(),
        )

    def _start_threads(self):
        for server in self.servers:
            server.requests.check()

    def _finish_servers(self):
        """Have the servers answer what they have read, and take no more.

        Returns
        -------
        bool
            Whether nothing is left that this process has read.
        """
        end = self.clock() + shutdown.share_of_rest(self.seconds_left())
        for server in self.servers:
            server.finish()
        while not self._is_finished():
            if self.clock() >= end:
                return False
            self.sleep(LAST_POLL_SECONDS)
            self._start_threads()
        return True

    def _is_finished(self):
        if not all(server.is_finished for server in self.servers):
            return False
        return sum(self._loads()) == 0

    def _log_cut(self):
        now = self.clock()
        for attempt in self.forwarder.watcher.attempts():
            logs.event(
                LOG,
                'request',
                id=attempt.request_id,
                outcome='broken_off',
                ended_by=endings.Party.ROUTER.value,
                why='the process exits',
                endpoint=attempt.endpoint.id,
                silent_ms=round(MS_PER_SECOND * attempt.silent_seconds(now)),
                events=attempt.events,
            )


def make_drain(
    received,
    grace,
    forwarder,
    servers,
    health,
    clock=time.monotonic,
    sleep=time.sleep,
):
    """Make a `Drain`."""
    return Drain(received, grace, forwarder, servers, health, clock, sleep)
