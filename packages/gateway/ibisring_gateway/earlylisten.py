"""Binds the callers' port before the rest of the program is imported.

A starting process takes a fifth of a second to import its libraries.  If the
port were closed meanwhile, each caller's connection would be rejected, and a
caller that may retry once only would have lost its request.  Connections to a
bound port wait in the kernel until the process accepts them.
"""

__all__ = ['bind']

import json
import socket
import sys

# Connections that the kernel may queue.
BACKLOG = 1024


def bind(path):
    """Bind the address that a settings file names for callers, and listen.

    Imports nothing but the standard library, and only little of it.

    Parameters
    ----------
    path : str
        Settings file, see `settings.load`.

    Returns
    -------
    socket.socket or None
        None if the file or the address can't be used; the error is reported
        when the settings are validated or the address is bound again.
    """
    sock = socket.socket()
    try:
        with open(path, 'rb') as file:
            host, _, port = json.load(file)['caller_listen'].rpartition(':')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except (
        OSError,
        OverflowError,
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
    ) as error:
        sock.close()
        sys.stderr.write(f'callers\' port not bound early: {error}\n')
        return None
    return sock
