"""HTTP listeners on cheroot."""

__all__ = [
    'Listener',
    'make_listener',
    'stop_all',
    'caller_is_gone',
]

import logging
import threading

from cheroot import wsgi
from ibisring_web import sockets

SOCKET_KEY = 'ibisring.socket'
DEFAULT_BACKLOG = 1024
IDLE_TIMEOUT = 30.0


class _Gateway(wsgi.Gateway_10):
    """Puts the caller's socket into the environment, see `caller_is_gone`."""

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ


class Listener:
    """A WSGI application on an address, served by a thread pool.

    Parameters
    ----------
    app : callable
        WSGI application.
    host : str
    port : int
        0 takes a free port; read `address` after `start`.
    threads : int
    backlog : int
        Connections that the kernel may queue.  cheroot's own default is 5,
        with which a burst of 100 new connections is reset.
    """

    def __init__(self, app, host, port, threads, backlog):
        self.server = wsgi.Server(
            (host, port),
            app,
            numthreads=threads,
            request_queue_size=backlog,
            timeout=IDLE_TIMEOUT,
        )
        self.server.gateway = _Gateway
        self.server.shutdown_timeout = 1
        self.thread = None

    def start(self):
        """Bind, then serve in a thread of its own."""
        self.server.prepare()
        self.thread = threading.Thread(target=self.server.serve, daemon=True)
        self.thread.start()
        return self

    @property
    def address(self):
        """The bound address as 'IP:PORT'."""
        host, port = self.server.bind_addr[:2]
        return f'{host}:{port}'

    def stop(self):
        """Stop accepting and close every connection."""
        self.server.stop()
        if self.thread is not None:
            self.thread.join(timeout=5)
        _forget_statistics(self.server)


def _forget_statistics(server):
    """Remove what cheroot keeps of a server in a global dictionary.

    It refers to the server, its application and their sockets.
    """
    logging.statistics.pop(f'Cheroot HTTPServer {id(server)}', None)


def make_listener(
    app, host='127.0.0.1', port=0, threads=10, backlog=DEFAULT_BACKLOG
):
    """Make a `Listener`; start it with ``start()``."""
    return Listener(app, host, port, threads, backlog)


def stop_all(listeners):
    """Stop several listeners at the same time."""
    threads = [threading.Thread(target=each.stop) for each in listeners]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def caller_is_gone(environ):
    """Say whether the caller has closed its connection.

    Parameters
    ----------
    environ : dict
        WSGI environment of a request served by a `Listener`.

    Returns
    -------
    bool

    Notes
    -----
    While nothing is written to a caller, its leaving raises no error here.
    Work for it would go on and hold engine slots.
    """
    sock = environ.get(SOCKET_KEY)
    return sock is not None and sockets.is_gone(sock)
