"""A TCP proxy on the loopback interface that injects connection faults."""

__all__ = ['Proxy', 'make_proxy']

import contextlib
import logging
import socket
import struct
import threading
import time

LOG = logging.getLogger(__name__)
CHUNK_BYTES = 65536
CONNECT_TIMEOUT_SECONDS = 1.0
BACKLOG = 512
# With no backlog the kernel keeps one connection that nobody accepts; the next
# ones get no answer.
HANG_CONNECTIONS = 3
# SO_LINGER on, with a timeout of 0: closing the socket sends a reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)


class _Connection:
    """One proxied connection.

    Attributes
    ----------
    dropped_directions : set of str
        Directions, 'up' or 'down', in which bytes are silently dropped.
    """

    __slots__ = ('client', 'server', 'dropped_directions')

    def __init__(self, client, server):
        self.client = client
        self.server = server
        self.dropped_directions = set()

    def close(self, reset=False):
        """Close both sockets, with a reset if asked."""
        for sock in (self.client, self.server):
            with contextlib.suppress(OSError):
                if reset:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
                    )
                sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(OSError):
                sock.close()


class Proxy:
    """Forwards connections to a target.

    Parameters
    ----------
    target : str
        'IP:PORT'

    Attributes
    ----------
    delay : float
        Seconds by which each chunk is delayed.
    refusing : bool
        Whether new connections are reset.
    dropped_directions : set of str
        Directions in which new connections drop all bytes.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(':')
        self.target = host, int(port)
        self.delay = 0.0
        self.refusing = False
        self.dropped_directions = set()
        self.closed_port = None
        self.hanging = []
        self.keeper = None
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=BACKLOG)
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self):
        """The listening port."""
        return self.listener.getsockname()[1]

    def reset_all(self):
        """Reset all open connections."""
        for connection in self._open_connections():
            connection.close(reset=True)

    def silence(self, directions):
        """Drop all further bytes of the open connections."""
        for connection in self._open_connections():
            connection.dropped_directions |= set(directions)

    def reset_silenced(self):
        """Reset the connections of which bytes were dropped."""
        for connection in self._open_connections():
            if connection.dropped_directions:
                connection.close(reset=True)

    def restore(self):
        """Forward new connections without faults again."""
        self.delay = 0.0
        self.refusing = False
        self.dropped_directions = set()

    def crash(self):
        """Close the port and reset all connections, as a crash does."""
        self.close_port()
        self.reset_all()

    def close_port(self):
        """Close the port, so that new connections are refused."""
        if self.closed_port is not None:
            return
        port = self.port
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.closed_port = port
        self._keep_port()

    def _keep_port(self):
        """Bind the closed port; the kernel would give it to a connection."""
        keeper = socket.socket()
        keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        keeper.bind(('127.0.0.1', self.closed_port))
        self.keeper = keeper

    def hang(self):
        """Let new connections hang, as packets that are dropped do."""
        self.close_port()
        address = '127.0.0.1', self.closed_port
        self.hanging.append(socket.create_server(address, backlog=0))
        for _ in range(HANG_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.hanging.append(filler)

    def reopen(self):
        """Listen again if the port is closed or hangs."""
        if self.closed_port is not None:
            self.restart()

    def restart(self):
        """Listen on the same port after a crash."""
        address = '127.0.0.1', self.closed_port
        for sock in self.hanging:
            sock.close()
        self.hanging = []
        self.listener = socket.create_server(address, backlog=BACKLOG)
        self.keeper.close()
        self.closed_port = None
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        """Close the port and all connections."""
        # Closing a listener does not wake the thread that accepts from it.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        for sock in [self.listener, *self.hanging]:
            sock.close()
        if self.keeper is not None:
            self.keeper.close()
        for connection in self._open_connections():
            connection.close()

    def _open_connections(self):
        with self.lock:
            return list(self.connections)

    def _accept(self):
        listener = self.listener
        while True:
            try:
                client, _ = listener.accept()
            except OSError as error:
                LOG.debug('proxy listener closed: %s', error)
                return
            threading.Thread(
                target=self._connect, args=(client,), daemon=True
            ).start()

    def _connect(self, client):
        try:
            if self.refusing:
                raise ConnectionRefusedError('proxy refuses connections')
            server = socket.create_connection(
                self.target, CONNECT_TIMEOUT_SECONDS
            )
        except OSError as error:
            LOG.debug('connecting to the target failed: %s', error)
            _Connection(client, client).close(reset=True)
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(client, server)
        connection.dropped_directions |= self.dropped_directions
        with self.lock:
            self.connections.add(connection)
        threading.Thread(
            target=self._forward,
            args=(connection, server, client, 'down'),
            daemon=True,
        ).start()
        self._forward(connection, client, server, 'up')

    def _forward(self, connection, source, sink, direction):
        """Forward bytes in one direction until it is closed."""
        try:
            while True:
                chunk = source.recv(CHUNK_BYTES)
                if self.delay:
                    time.sleep(self.delay)
                if direction in connection.dropped_directions:
                    if not chunk:
                        break
                    continue
                if not chunk:
                    sink.shutdown(socket.SHUT_WR)
                    break
                sink.sendall(chunk)
        except OSError as error:
            LOG.debug('connection failed: %s', error)
            connection.close(reset=True)
        if direction == 'up':
            # The client has closed its direction.  The response may still be
            # incomplete, and the server learns of the close from its socket.
            return
        connection.close()
        with self.lock:
            self.connections.discard(connection)


def make_proxy(target):
    """Make and start a `Proxy`."""
    return Proxy(target)
