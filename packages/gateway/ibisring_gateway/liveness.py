"""Checks whether an endpoint has crashed, after an answer of it was lost.

Answers are also lost when a running endpoint drops them, when a link fails or
when an endpoint is frozen.  Only a closed port, or a later start time, shows
that the process that had the request has exited.  An open port shows that
something listens, which need not be that process.  A closed port shows nothing
to a router that reaches no other endpoint: its own link may refuse.
"""

__all__ = ['Prober', 'make_prober']

import logging
import random
import socket

from ibisring_records import exceptions

LOG = logging.getLogger(__name__)
# A closed port is refused within a network round trip, and the caller waits
# in the meantime.
TIMEOUT_SECONDS = 0.05
# Other endpoints tried after a refused connection.
MAX_WITNESSES = 3


class Prober:
    """Checks whether endpoints have crashed or restarted.

    Parameters
    ----------
    engines : ports.EngineControl
    list_endpoints : callable
        Returns all usable endpoints.
    """

    def __init__(self, engines, list_endpoints):
        self.engines = engines
        self.list_endpoints = list_endpoints
        self.rng = random.Random()

    def has_crashed(self, endpoint):
        """Return whether an endpoint has crashed, or restarted since.

        Parameters
        ----------
        endpoint : routing.Endpoint

        Returns
        -------
        bool or None
            None if it is unknown: nothing answers at all, the port is open
            and the endpoint reports no start time, or it is closed and no
            other endpoint is reached.
        """
        try:
            _connect(endpoint)
        except ConnectionRefusedError:
            return True if self._reaches_another(endpoint) else None
        except OSError as error:
            LOG.debug('liveness of %s unknown: %s', endpoint.id, error)
            return None
        return self._has_restarted(endpoint)

    def _reaches_another(self, endpoint):
        """Return whether a connection to some other endpoint opens."""
        others = [e for e in self.list_endpoints() if e.id != endpoint.id]
        count = min(MAX_WITNESSES, len(others))
        for other in self.rng.sample(others, count):
            try:
                _connect(other)
                return True
            except OSError as error:
                LOG.debug('%s is not reached either: %s', other.id, error)
        return False

    def _has_restarted(self, endpoint):
        """Compare start times; a plain endpoint reports none."""
        if endpoint.holding is None or not endpoint.started:
            return None
        try:
            status = self.engines.status(endpoint, TIMEOUT_SECONDS)
        except exceptions.IbisringError as error:
            LOG.debug('no status of %s: %s', endpoint.id, error.detail)
            return None
        return status.started not in (0, endpoint.started)


def _connect(endpoint):
    """Open a connection and close it; raises `OSError` if that fails."""
    host, _, port = endpoint.address.rpartition(':')
    socket.create_connection((host, int(port)), TIMEOUT_SECONDS).close()


def make_prober(engines, list_endpoints):
    """Make a `Prober`."""
    return Prober(engines, list_endpoints)
