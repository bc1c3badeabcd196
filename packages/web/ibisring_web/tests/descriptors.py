"""Builders of sockets with high descriptors."""

import contextlib
import fcntl
import resource
import socket

import pytest

# The first descriptor that select.select rejects.
FD_SETSIZE = 1024


@contextlib.contextmanager
def allowed():
    """Raise the soft limit on descriptors where it is too low."""
    count = FD_SETSIZE + 100
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < count:
        pytest.skip(f'the hard limit on descriptors is {hard}')
    if soft != resource.RLIM_INFINITY and soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def move_above(sock, lowest=FD_SETSIZE):
    """Return a socket like `sock`, with a descriptor from `lowest` on."""
    number = fcntl.fcntl(sock.fileno(), fcntl.F_DUPFD_CLOEXEC, lowest)
    sock.close()
    return socket.socket(fileno=number)
