"""Connections for long polls that another thread can cancel."""

__all__ = ['Connection', 'make_connection']

import logging
import socket

from ibisring_gateway import ports
from ibisring_records import exceptions
from ibisring_web import boundedanswers
from urllib3 import connection as urllib3_connection
from urllib3 import exceptions as urllib3_exceptions

LOG = logging.getLogger(__name__)
CONNECT_TIMEOUT_SECONDS = 0.5
_FAILURES = (
    urllib3_exceptions.HTTPError,
    urllib3_connection.HTTPException,
    OSError,
)


class Connection:
    """Connection that makes one call at a time.

    A call that is never answered blocks its thread until the timeout;
    `cancel_call` releases the thread as soon as that is suspected.

    Parameters
    ----------
    address : str
        'IP:PORT'
    bounds : boundedanswers.Bounds
        Bounds of the answers.
    """

    def __init__(self, address, bounds):
        host, _, port = address.rpartition(':')
        self.host = host
        self.port = int(port)
        self.connection_class = boundedanswers.make_connection_class(bounds)
        self.conn = None
        self.is_cancelled = False

    def get(self, target, timeout):
        """Make a call.

        Parameters
        ----------
        target : str
            Path and query.
        timeout : float
            Seconds without a byte until the call fails; once its answer has
            begun, the bounds hold as well.

        Returns
        -------
        (int, urllib3.HTTPHeaderDict, bytes)
            Status, headers and body.

        Raises
        ------
        PlatformUnavailable
            The connection could not be opened.
        PlatformAnswerLost
        CallCancelled
            Another thread cancelled the call.
        """
        self._connect()
        try:
            self._check_cancelled()
            self.conn.timeout = timeout
            self.conn.sock.settimeout(timeout)
            self.conn.request('GET', target)
            response = self.conn.getresponse()
            return response.status, response.headers, response.data
        except _FAILURES as error:
            self._close()
            self._check_cancelled()
            raise exceptions.PlatformAnswerLost(str(error)) from error

    def cancel_call(self):
        """Cancel the current call, or else the next one.

        Shutting the socket down wakes a thread that is blocked reading from
        it; closing it would not.
        """
        self.is_cancelled = True
        conn = self.conn
        sock = conn.sock if conn is not None else None
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            LOG.debug('socket already closed: %s', error)

    def _connect(self):
        if self.conn is not None:
            if self.conn.sock is not None and self.conn.is_reusable:
                return
            self._close()
        self.conn = self.connection_class(
            self.host, self.port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        try:
            self.conn.connect()
        except _FAILURES as error:
            self._close()
            raise exceptions.PlatformUnavailable(str(error)) from error

    def _check_cancelled(self):
        if self.is_cancelled:
            self.is_cancelled = False
            self._close()
            raise ports.CallCancelled('cancelled to start a new call')

    def _close(self):
        self.conn.close()


def make_connection(address, bounds):
    """Make a `Connection`, which connects on its first call."""
    return Connection(address, bounds)
