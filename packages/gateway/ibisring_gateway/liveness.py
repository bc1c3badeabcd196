"""Checks whether an endpoint has crashed, after an answer of it was lost.

Answers are also lost when a running endpoint drops them, when a link fails or
when an endpoint is frozen.  Only a closed port, or a later start time, shows
that the process that had the request has exited.  An open port shows that
something listens, which need not be that process.
"""

__all__ = ['Prober', 'make_prober']

import logging
import socket

from ibisring_records import exceptions

LOG = logging.getLogger(__name__)
# A closed port is refused within a network round trip, and the caller waits
# in the meantime.
TIMEOUT_SECONDS = 0.05


class Prober:
    """Checks whether endpoints have crashed or restarted.

    Parameters
    ----------
    engines : ports.EngineControl
    """

    def __init__(self, engines):
        self.engines = engines

    def has_crashed(self, endpoint):
        """Return whether an endpoint has crashed, or restarted since.

        Parameters
        ----------
        endpoint : routing.Endpoint

        Returns
        -------
        bool or None
            None if it is unknown: nothing answers at all, or the port is open
            and the endpoint reports no start time.
        """
        host, _, port = endpoint.address.rpartition(':')
        try:
            socket.create_connection(
                (host, int(port)), TIMEOUT_SECONDS
            ).close()
        except ConnectionRefusedError:
            return True
        except OSError as error:
            LOG.debug('liveness of %s unknown: %s', endpoint.id, error)
            return None
        return self._has_restarted(endpoint)

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


def make_prober(engines):
    """Make a `Prober`."""
    return Prober(engines)
