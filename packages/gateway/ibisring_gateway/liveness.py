"""Whether an endpoint has ended, asked when it has lost an answer.

An answer is lost as well by an endpoint that lives, by a link that fails and
by one that stands still.  Only a closed port, or a later start, shows that the
endpoint that had the request is no more.
"""

__all__ = ['Prober', 'make_prober']

import logging
import socket

from ibisring_records import exceptions

LOG = logging.getLogger(__name__)
# Seconds that an endpoint has: a closed port answers as fast as the network
# does, and the caller waits meanwhile.
TIMEOUT = 0.05


class Prober:
    """Asks endpoints whether they still are what they were.

    Parameters
    ----------
    engines : ports.EngineControl
    """

    def __init__(self, engines):
        self.engines = engines

    def has_ended(self, endpoint):
        """Say whether an endpoint has ended, or started again since.

        Parameters
        ----------
        endpoint : routing.Endpoint

        Returns
        -------
        bool or None
            None if it can't be told: nothing answers at all.
        """
        host, _, port = endpoint.address.rpartition(':')
        try:
            socket.create_connection((host, int(port)), TIMEOUT).close()
        except ConnectionRefusedError:
            return True
        except OSError as error:
            LOG.debug('liveness of %s unknown: %s', endpoint.id, error)
            return None
        return self._has_started_again(endpoint)

    def _has_started_again(self, endpoint):
        """Compare start times; a plain endpoint tells none."""
        if endpoint.holding is None or not endpoint.started:
            return False
        try:
            status = self.engines.status(endpoint.address, TIMEOUT)
        except exceptions.IbisringError as error:
            LOG.debug('no status of %s: %s', endpoint.id, error.detail)
            return None
        return status.started not in (0, endpoint.started)


def make_prober(engines):
    """Make a `Prober`."""
    return Prober(engines)
