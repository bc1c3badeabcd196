"""One thread that sends the events of all streams of a process.

With a thread a stream, streams and status queries would wait for each other's
interpreter lock.
"""

__all__ = ['EventPacer', 'PacedAnswers']

import logging
import socket
import threading
import time

from ibisring_soak import exits
from ibisring_soak import pausing
from ibisring_web import serving

LOG = logging.getLogger(__name__)
TICK_SECONDS = 0.005


class _Stream:
    """A stream that is being sent.

    Attributes
    ----------
    number : int
        Of the event that is due at `due_at`, in monotonic seconds.
    finished_at : float or None
        When its last event was sent.
    """

    __slots__ = (
        'sock',
        'framer',
        'number',
        'count',
        'due_at',
        'ended',
        'finished_at',
    )

    def __init__(self, sock, framer, number, count, due_at):
        self.sock = sock
        self.framer = framer
        self.number = number
        self.count = count
        self.due_at = due_at
        self.ended = threading.Event()
        self.finished_at = None


class EventPacer:
    """Sends the events of streams when they are due.

    Parameters
    ----------
    event_seconds : float
        Between two events of a stream.
    """

    def __init__(self, event_seconds):
        self.event_seconds = event_seconds
        self.lock = threading.Lock()
        self.streams = []
        threading.Thread(target=self._loop, daemon=True).start()

    def send(self, sock, framer, after, count):
        """Send a stream; return when it ended, None if its caller left."""
        due_at = time.monotonic() + self.event_seconds
        stream = _Stream(sock, framer, after + 1, count, due_at)
        with self.lock:
            self.streams.append(stream)
        stream.ended.wait()
        return stream.finished_at

    def _loop(self):
        while True:
            time.sleep(TICK_SECONDS)
            now = time.monotonic()
            with self.lock:
                streams = list(self.streams)
            ended = [each for each in streams if not self._go_on(each, now)]
            with self.lock:
                for stream in ended:
                    self.streams.remove(stream)
            for stream in ended:
                stream.ended.set()

    def _go_on(self, stream, now):
        """Send what is due; return whether the stream goes on."""
        due = b''
        while stream.number <= stream.count and stream.due_at <= now:
            due += stream.framer.frame(pausing.event(stream.number))
            stream.number += 1
            stream.due_at += self.event_seconds
        is_last = stream.number > stream.count
        if is_last:
            due += stream.framer.end
        try:
            if due:
                stream.sock.sendall(due)
        except OSError as error:
            LOG.debug('the caller has left: %s', error)
            return False
        if is_last:
            stream.finished_at = time.monotonic()
        return not is_last


class PacedAnswers:
    """Mixin of model servers whose site has an `EventPacer`, `pacer`."""

    def app(self, environ, start_response):
        """Handle a request (WSGI application)."""
        started = []
        body = super().app(environ, lambda *parts: started.extend(parts))
        status, headers = started[:2]
        if not status.startswith('200') or 'HTTP_ATTEMPT_ID' not in environ:
            start_response(status, headers)
            return body
        body.close()
        self._send(environ, [*headers, ('Connection', 'close')])
        start_response('200 OK', [('Content-Length', '0')])
        return []

    def _send(self, environ, headers):
        """Write a stream to the caller's socket, and end the connection."""
        sock = environ[serving.SOCKET_KEY]
        framer = exits.Framer('chunks', headers, 0)
        after = int(environ.get('HTTP_LAST_EVENT_ID', 0))
        count = int(environ['HTTP_TOKEN_USAGE'].split(',')[1])
        try:
            sock.sendall(framer.head)
            finished_at = self.site.pacer.send(sock, framer, after, count)
            sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            LOG.debug('the caller has left: %s', error)
            return
        if finished_at is not None:
            self.site.finished[environ['HTTP_ATTEMPT_ID']] = finished_at
