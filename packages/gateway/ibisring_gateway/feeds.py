"""Connections for calls that wait long and that another thread can end."""

__all__ = ['Connection', 'make_connection']

import logging
import socket

from ibisring_gateway import ports
from ibisring_records import exceptions
from urllib3 import connection as urllib3_connection
from urllib3 import exceptions as urllib3_exceptions

LOG = logging.getLogger(__name__)
# Seconds to connect.
CONNECT_TIMEOUT = 0.5
_FAILURES = (
    urllib3_exceptions.HTTPError,
    urllib3_connection.HTTPException,
    OSError,
)


class Connection:
    """One connection, for one call after the other.

    A call that the other side will never answer would hold its thread until
    its timeout; `cancel_call` gives the thread back as soon as that is
    suspected.

    Parameters
    ----------
    address : str
        'IP:PORT'
    """

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self.host = host
        self.port = int(port)
        self.conn = None
        self.is_ended = False

    def get(self, target, timeout):
        """Make a call.

        Parameters
        ----------
        target : str
            Path and query.
        timeout : float
            Seconds without a byte after which it is given up.

        Returns
        -------
        (int, bytes)
            Status and body.

        Raises
        ------
        PlatformUnavailable
            There is no connection.
        PlatformAnswerLost
        CallEnded
            Another thread ended it.
        """
        self._connect()
        try:
            self._check_ended()
            self.conn.timeout = timeout
            self.conn.sock.settimeout(timeout)
            self.conn.request('GET', target)
            response = self.conn.getresponse()
            return response.status, response.data
        except _FAILURES as error:
            self._close()
            self._check_ended()
            raise exceptions.PlatformAnswerLost(str(error)) from error

    def cancel_call(self):
        """End the call under way, or else the next one.

        Shutting the socket down is what wakes a thread that is blocked in a
        read of it; closing it would not.
        """
        self.is_ended = True
        conn = self.conn
        sock = conn.sock if conn is not None else None
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            LOG.debug('already_closed %s', error)

    def _connect(self):
        if self.conn is not None and self.conn.sock is not None:
            return
        self.conn = urllib3_connection.HTTPConnection(
            self.host, self.port, timeout=CONNECT_TIMEOUT
        )
        try:
            self.conn.connect()
        except _FAILURES as error:
            self._close()
            raise exceptions.PlatformUnavailable(str(error)) from error

    def _check_ended(self):
        if self.is_ended:
            self.is_ended = False
            self._close()
            raise ports.CallEnded('a new call begins')

    def _close(self):
        self.conn.close()


def make_connection(address):
    """Make a `Connection`; it connects at its first call."""
    return Connection(address)
