"""A TCP proxy on the loopback whose connections misbehave on request."""

__all__ = ['Proxy', 'make_proxy']

import contextlib
import logging
import socket
import struct
import threading
import time

LOG = logging.getLogger(__name__)
PIECE = 65536
CONNECT_TIMEOUT = 1.0
BACKLOG = 512
# Linger on, for zero seconds: closing sends a reset.
_RESET = struct.pack('ii', 1, 0)


class _Link:
    """One proxied connection.

    Attributes
    ----------
    lost : set of str
        Directions, 'up' or 'down', in which bytes vanish without a sign.
    """

    __slots__ = ('near', 'far', 'lost')

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.lost = set()

    def close(self, reset=False):
        """Close both sides, with a reset if asked."""
        for sock in (self.near, self.far):
            with contextlib.suppress(OSError):
                if reset:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                    )
                sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(OSError):
                sock.close()


class Proxy:
    """Passes connections on to a target.

    Parameters
    ----------
    target : str
        'IP:PORT'

    Attributes
    ----------
    delay : float
        Seconds that each piece waits.
    refusing : bool
        New connections are reset.
    losing : set of str
        Directions in which new connections lose bytes too.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(':')
        self.target = host, int(port)
        self.delay = 0.0
        self.refusing = False
        self.losing = set()
        self.ended_port = None
        self.links = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=BACKLOG)
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self):
        """The port that it listens on."""
        return self.listener.getsockname()[1]

    def reset_all(self):
        """Reset the connections that are open now."""
        for link in self._open():
            link.close(reset=True)

    def silence(self, directions):
        """Let the open connections lose all bytes from now on, for good."""
        for link in self._open():
            link.lost |= set(directions)

    def heal(self):
        """Treat new connections well again."""
        self.delay = 0.0
        self.refusing = False
        self.losing = set()

    def end(self):
        """Close the port and reset everything, as the end of a process."""
        port = self.port
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset_all()
        self.ended_port = port

    def begin_again(self):
        """Listen on the same port again."""
        address = '127.0.0.1', self.ended_port
        self.listener = socket.create_server(address, backlog=BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        """Close everything."""
        self.listener.close()
        for link in self._open():
            link.close()

    def _open(self):
        with self.lock:
            return list(self.links)

    def _accept(self):
        listener = self.listener
        while True:
            try:
                near, _ = listener.accept()
            except OSError as error:
                LOG.debug('proxy ended: %s', error)
                return
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near):
        try:
            if self.refusing:
                raise ConnectionRefusedError('refusing')
            far = socket.create_connection(self.target, CONNECT_TIMEOUT)
        except OSError as error:
            LOG.debug('not connected: %s', error)
            _Link(near, near).close(reset=True)
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = _Link(near, far)
        link.lost |= self.losing
        with self.lock:
            self.links.add(link)
        threading.Thread(
            target=self._pump, args=(link, far, near, 'down'), daemon=True
        ).start()
        self._pump(link, near, far, 'up')

    def _pump(self, link, source, sink, direction):
        """Pass bytes on in one direction until it ends."""
        try:
            while True:
                piece = source.recv(PIECE)
                if self.delay:
                    time.sleep(self.delay)
                if direction in link.lost:
                    if not piece:
                        break
                    continue
                if not piece:
                    sink.shutdown(socket.SHUT_WR)
                    break
                sink.sendall(piece)
        except OSError as error:
            LOG.debug('link ended: %s', error)
            link.close(reset=True)
        if direction == 'up':
            # The caller's side has ended; what is left comes down, and an
            # endpoint notices that its caller left by the closed side.
            return
        link.close()
        with self.lock:
            self.links.discard(link)


def make_proxy(target):
    """Make and start a `Proxy`."""
    return Proxy(target)
