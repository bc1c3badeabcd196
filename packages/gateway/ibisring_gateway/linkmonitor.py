"""Follows this router's links to endpoints, and tries those that failed."""

__all__ = ['LinkMonitor', 'make_link_monitor']

import logging
import math
import random

from ibisring_gateway import upstream
from ibisring_gateway import workerpool
from ibisring_policy.gateway import links
from ibisring_router import logs

LOG = logging.getLogger(__name__)
# Interval at which one endpoint of a service out of reach is tried, and the
# time for a connection to it.
PROBE_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 0.15
# Span before a change of the links in which stalls are reported.
RECENT_SECONDS = 1.0
WORKERS = 4
MS_PER_SECOND = 1000.0


class LinkMonitor:
    """Records connections to endpoints in the view's links.

    Parameters
    ----------
    view : view.View
    connections : upstream.ConnectionPool
    metrics : metrics.Metrics

    Attributes
    ----------
    on_change : callable
        Called when the links of a service are cut or back.
    """

    def __init__(self, view, connections, metrics):
        self.view = view
        self.connections = connections
        self.metrics = metrics
        self.clock = view.clock
        self.rng = random.Random()
        self.on_change = lambda: None
        self.probed_at = {}
        self.pool = workerpool.make_worker_pool(WORKERS)

    def stop(self):
        """Shut the thread pool down without waiting."""
        self.pool.shutdown(wait=False, cancel_futures=True)

    def record(self, endpoint, started, connected):
        """Record the result of opening a connection to an endpoint.

        Parameters
        ----------
        endpoint : routing.Endpoint
        started : float
        connected : bool
        """
        now = self.clock()
        service = endpoint.service
        count = len(self.view.snapshot.by_service.get(service, ()))
        with self.view.lock:
            state = self.view.links
            seconds = state.cut_seconds(service, now)
            if connected:
                change = state.connected(service, now)
            else:
                change = state.failed(
                    service, endpoint.id, started, now, count
                )
            if change is links.Change.BACK:
                self._revive(service, now)
        if change is not None:
            self._report(change, endpoint, seconds)

    def answered(self, endpoint, started):
        """Record an answer on a connection that was opened for it."""
        self.record(endpoint, started, True)

    def _revive(self, service, now):
        """Use endpoints again that only broken links made unreachable."""
        endpoints = self.view.snapshot.by_service.get(service, ())
        self.view.estimates.revive([each.id for each in endpoints], now)

    def _report(self, change, endpoint, seconds):
        self.metrics.count(f'links_{change.value}')
        logs.event(
            LOG,
            f'links_{change.value}',
            service=endpoint.service,
            endpoint=endpoint.id,
            after_ms=round(seconds * MS_PER_SECOND),
            late_ms=self.view.late_ms(self.clock() - RECENT_SECONDS),
        )
        self.on_change()

    def run_checks(self):
        """Try an endpoint of each service that is out of reach.

        Called periodically.
        """
        now = self.clock()
        index = self.view.snapshot.index
        with self.view.lock:
            if index is not None:
                self.view.links.retain(index.services)
            services = self.view.links.cut_services()
        for service in services:
            with self.view.lock:
                may_be_back = self.view.links.may_be_back(service)
            pause = 0.0 if may_be_back else PROBE_SECONDS
            self._probe_some(service, 1, now, pause)

    def verify(self, service):
        """Try a few endpoints of a service that all seem silent."""
        count = links.MIN_FAILED_ENDPOINTS
        self._probe_some(service, count, self.clock(), PROBE_SECONDS)

    def _probe_some(self, service, count, now, pause):
        """Try endpoints of a service, unless some were tried just now."""
        if now - self.probed_at.get(service, -math.inf) < pause:
            return
        self.probed_at[service] = now
        endpoints = self.view.snapshot.by_service.get(service, ())
        for endpoint in self.rng.sample(endpoints, min(count, len(endpoints))):
            self.pool.submit(self._probe, endpoint)

    def _probe(self, endpoint):
        """Try to connect; a connection that opens is kept for requests."""
        try:
            conn = self.connections.acquire(
                endpoint, fresh=True, timeout=PROBE_TIMEOUT_SECONDS
            )
            self.connections.release(endpoint, conn)
        except upstream.ConnectionFailed as error:
            LOG.debug('no link to %s yet: %s', endpoint.id, error)
        except Exception:
            LOG.exception('probing %s failed', endpoint.id)


def make_link_monitor(view, connections, metrics):
    """Make a `LinkMonitor`."""
    return LinkMonitor(view, connections, metrics)
