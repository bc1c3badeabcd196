"""Checks whether an endpoint has crashed, after an answer of it was lost.

Answers are also lost when a running endpoint drops them, when a link fails or
when an endpoint is frozen.  Only a closed port, or a later start time, shows
that the process that had the request has exited.  An open port shows that
something listens, which need not be that process.  A port that is closed or
silent shows nothing to a router that reaches no other endpoint either: its own
links may be cut.

Whether an answer is whole is another question, see `answerends`: what shows
nothing of a crash doesn't show that the process runs on either.
"""

__all__ = ['Finding', 'Prober', 'make_prober']

import enum
import logging
import random
import socket
import time

from ibisring_policy.gateway import answerends
from ibisring_records import exceptions

LOG = logging.getLogger(__name__)
# A closed port is refused within a network round trip, and the caller waits
# in the meantime.
TIMEOUT_SECONDS = 0.05
# Pause before the result is confirmed; the caller waits for it, too.
CONFIRM_SECONDS = 0.03
# Time in which an exiting process has closed its port after it has ended its
# connections.
EXIT_SECONDS = 0.05
# Connections tried to a silent port: packets may be lost.
MAX_CONNECTS = 3
# Other endpoints tried if one is not reached.
MAX_WITNESSES = 3


class Finding(enum.Enum):
    """What a check of an endpoint showed.

    With `UNKNOWN` the endpoint may have crashed, since nothing answers or its
    port is open and it reports no start time.  With `CUT_OFF` neither it nor
    another endpoint is reached.
    """

    CRASHED = 'crashed'
    RUNNING = 'running'
    UNKNOWN = 'unknown'
    CUT_OFF = 'cut_off'


class Prober:
    """Checks whether endpoints have crashed or restarted.

    Parameters
    ----------
    engines : ports.EngineControl
    list_endpoints : callable
        Returns all usable endpoints.
    sleep : callable
        Waits for some seconds.
    """

    def __init__(self, engines, list_endpoints, sleep):
        self.engines = engines
        self.list_endpoints = list_endpoints
        self.sleep = sleep
        self.rng = random.Random()

    def check(self, endpoint):
        """Check whether an endpoint has crashed, or restarted since.

        Parameters
        ----------
        endpoint : routing.Endpoint

        Returns
        -------
        Finding
        """
        if _is_reached(endpoint):
            return self._compare_start(endpoint)
        # A router's links may be cut one after another, and come back so.
        # Just after the first is cut the next endpoint is still reached, and
        # the refused one would seem to have crashed.
        self.sleep(CONFIRM_SECONDS)
        if not self._reaches_another(endpoint):
            return Finding.CUT_OFF
        try:
            _connect(endpoint)
        except ConnectionRefusedError:
            return Finding.CRASHED
        except OSError as error:
            LOG.debug('liveness of %s unknown: %s', endpoint.id, error)
            return Finding.UNKNOWN
        return self._compare_start(endpoint)

    def find_process(self, endpoint, is_exit_due=False):
        """Return whether an endpoint's process runs on after an answer.

        The end of an answer waits for this, so that it is one connection and
        no pause unless the port is silent or the process is about to exit.

        Parameters
        ----------
        endpoint : routing.Endpoint
        is_exit_due : bool
            Whether the process is expected to exit.  One that does may end
            its connections a moment before it closes its port.

        Returns
        -------
        answerends.Process
        """
        if is_exit_due:
            self.sleep(EXIT_SECONDS)
        for _ in range(MAX_CONNECTS):
            try:
                _connect(endpoint)
            except ConnectionRefusedError:
                return answerends.Process.EXITED
            except OSError as error:
                LOG.debug('whether %s has exited: %s', endpoint.id, error)
            else:
                return answerends.Process.RUNNING
        return answerends.Process.UNKNOWN

    def observe(self, endpoint):
        """Return what connections show of a silent endpoint.

        Returns
        -------
        (answerends.Process, bool)
            Its process, and whether another endpoint is reached.
        """
        process = self.find_process(endpoint)
        if process is answerends.Process.RUNNING:
            return process, True
        # The router's links may be cut one after another, see `check`.
        self.sleep(CONFIRM_SECONDS)
        is_reached = self._reaches_another(endpoint)
        return self.find_process(endpoint), is_reached

    def _reaches_another(self, endpoint):
        """Return whether a connection to some other endpoint opens."""
        others = [e for e in self.list_endpoints() if e.id != endpoint.id]
        count = min(MAX_WITNESSES, len(others))
        witnesses = self.rng.sample(others, count)
        return any(_is_reached(each) for each in witnesses)

    def _compare_start(self, endpoint):
        """Compare start times; a plain endpoint reports none."""
        if endpoint.holding is None or not endpoint.started:
            return Finding.UNKNOWN
        try:
            status = self.engines.status(endpoint, TIMEOUT_SECONDS)
        except exceptions.IbisringError as error:
            LOG.debug('no status of %s: %s', endpoint.id, error.detail)
            return Finding.UNKNOWN
        if status.started in (0, endpoint.started):
            return Finding.RUNNING
        return Finding.CRASHED


def _is_reached(endpoint):
    try:
        _connect(endpoint)
    except OSError as error:
        LOG.debug('%s is not reached: %s', endpoint.id, error)
        return False
    return True


def _connect(endpoint):
    """Open a connection and close it; raises `OSError` if that fails."""
    host, _, port = endpoint.address.rpartition(':')
    socket.create_connection((host, int(port)), TIMEOUT_SECONDS).close()


def make_prober(engines, list_endpoints, sleep=time.sleep):
    """Make a `Prober`."""
    return Prober(engines, list_endpoints, sleep)
