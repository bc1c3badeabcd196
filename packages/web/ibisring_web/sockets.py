"""State of a connected socket, without reading from it.

poll has no upper bound on descriptors.  select.select rejects those from
1,024 on, and a busy router has thousands.
"""

__all__ = ['is_gone', 'has_input']

import logging
import select

LOG = logging.getLogger(__name__)
# The end of the other side's data, or an error of the connection.
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def is_gone(sock):
    """Return whether the other side has closed or reset a connection.

    Parameters
    ----------
    sock : socket.socket

    Returns
    -------
    bool
        False if the state can't be determined: whoever is taken for gone
        gets no answer.
    """
    return bool(_events(sock) & _ENDED)


def has_input(sock):
    """Return whether data, an end or an error of a connection can be read.

    Parameters
    ----------
    sock : socket.socket

    Returns
    -------
    bool
        True if the state can't be determined: data that was missed would be
        taken for a part of the next message.
    """
    return bool(_events(sock))


def _events(sock):
    """Return the events of a socket as a bit mask, 0 if there is none."""
    poller = select.poll()
    try:
        poller.register(sock, select.POLLIN | select.POLLRDHUP)
        ready = poller.poll(0)
    except (OSError, ValueError, TypeError) as error:
        LOG.debug('the state of a socket is unknown: %s', error)
        return select.POLLNVAL
    return ready[0][1] if ready else 0
