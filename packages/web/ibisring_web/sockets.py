"""State of a connected socket, without reading from it.

poll has no upper bound on descriptors.  select.select rejects those from
1,024 on, and a busy router has thousands.
"""

__all__ = [
    'are_all_bytes_acknowledged',
    'is_gone',
    'has_input',
    'shows_acknowledgement',
    'shows_end',
    'shows_input',
]

import logging
import select
import socket
import struct

LOG = logging.getLogger(__name__)
# The end of the other side's data, or an error of the connection.
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Offsets in bytes of fields of `struct tcp_info` (linux/tcp.h), and the length
# with the last of them: kernels before 4.6 return less.
_STATE_OFFSET = 0
_UNACKED_OFFSET = 24
_NOT_SENT_OFFSET = 144
_TCP_INFO_BYTES = 148
_ESTABLISHED = 1


def is_gone(sock):
    """Return whether the other side has closed or reset a connection.

    Parameters
    ----------
    sock : socket.socket or int
        An int is a file descriptor.

    Returns
    -------
    bool
    """
    return shows_end(_events(sock))


def has_input(sock):
    """Return whether data, an end or an error of a connection can be read.

    Parameters
    ----------
    sock : socket.socket or int
        An int is a file descriptor.

    Returns
    -------
    bool
    """
    return shows_input(_events(sock))


def shows_end(events):
    """Return whether events of `poll` show that the other side is gone.

    Parameters
    ----------
    events : int
        Bit mask, `select.POLLNVAL` if the state can't be determined.

    Returns
    -------
    bool
        False for an unknown state: whoever is taken for gone gets no answer.

    Examples
    --------
    >>> shows_end(select.POLLIN), shows_end(select.POLLIN | select.POLLRDHUP)
    (False, True)
    """
    if events & select.POLLNVAL:
        return False
    return bool(events & _ENDED)


def shows_input(events):
    """Return whether events of `poll` show something to read.

    Parameters
    ----------
    events : int
        As for `shows_end`.

    Returns
    -------
    bool
        True for an unknown state: data that was missed would be taken for a
        part of the next message.

    Examples
    --------
    >>> shows_input(0), shows_input(select.POLLIN)
    (False, True)
    """
    return events != 0


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


def are_all_bytes_acknowledged(sock):
    """Return whether the peer's kernel has acknowledged all that was sent.

    The peer's host and the link to it then run, whatever its process does.

    Parameters
    ----------
    sock : socket.socket

    Returns
    -------
    bool
        False if the connection is not established, or if its state can't be
        determined: only Linux tells it.
    """
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
    except (OSError, AttributeError) as error:
        LOG.debug('the acknowledgements of a socket are unknown: %s', error)
        return False
    return shows_acknowledgement(info)


def shows_acknowledgement(info):
    """Return whether a TCP_INFO shows that all bytes are acknowledged.

    Parameters
    ----------
    info : bytes
        As Linux returns it, in the byte order of the machine.

    Returns
    -------
    bool
        False if it is too short.

    Examples
    --------
    >>> shows_acknowledgement(bytes([1]) + bytes(147))
    True
    >>> shows_acknowledgement(bytes([2]) + bytes(147))
    False
    """
    if len(info) < _TCP_INFO_BYTES:
        return False
    if info[_STATE_OFFSET] != _ESTABLISHED:
        return False
    (unacked,) = struct.unpack_from('=I', info, _UNACKED_OFFSET)
    (not_sent,) = struct.unpack_from('=I', info, _NOT_SENT_OFFSET)
    return unacked == 0 and not_sent == 0
