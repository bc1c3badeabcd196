"""Requests that fall silent in the middle of their bodies."""

__all__ = ['BodyStaller', 'is_typed_error']

import http.client
import json
import logging
import random
import selectors
import socket
import threading
import time

from ibisring_adapter.tests import running
from ibisring_soak import callers
from ibisring_soak import disruptions
from ibisring_soak import records

LOG = logging.getLogger(__name__)
INTERVAL_SECONDS = (0.1, 0.8)
BODY_BYTES = 1000
# Silence of the bodies that go on, and how many of them come a batch.
PAUSE_SECONDS = (0.3, 1.5)
SLOW_REQUESTS = 3
EVENTS = 10
# By then a router has ended a request whose body does not arrive: the idle
# limit of the stand-in's configuration, and a little time to notice.
LIMIT_SECONDS = 9.0
POLL_SECONDS = 0.1
ANSWER_BYTES = 65536


class HalfRequest:
    """A request whose body does not arrive, and what came back."""

    __slots__ = ('name', 'router', 'sock', 'sent_at', 'answer')

    def __init__(self, name, router, sock):
        self.name = name
        self.router = router
        self.sock = sock
        self.sent_at = time.monotonic()
        self.answer = b''


class BodyStaller(disruptions.Disruption):
    """Sends requests whose bodies stop in the middle.

    Parameters
    ----------
    world : world.World
    seed : int
    batch : int
        Largest number of them at the same time.
    """

    def __init__(self, world, seed, batch):
        super().__init__(world, f'half bodies {seed}')
        self.batch = batch
        self.count = 0
        self.selector = selectors.DefaultSelector()
        self.threads = []

    def _loop(self):
        due = time.monotonic()
        while not self.stopped.is_set() or self.selector.get_map():
            if not self.stopped.is_set() and time.monotonic() >= due:
                due += self.rng.uniform(*INTERVAL_SECONDS)
                router = self.rng.choice(self.world.routers)
                for _ in range(self.rng.randint(1, self.batch)):
                    self._send(router)
                for _ in range(SLOW_REQUESTS):
                    self._start_slow(router)
            for key, _ in self.selector.select(POLL_SECONDS):
                self._read(key.data)
            self._give_up()
        self.selector.close()
        for thread in self.threads:
            thread.join()

    def _send(self, router):
        self.count += 1
        name = f'h{self.count}'
        kind = self.rng.choice(('once', 'stream', 'single'))
        address = '127.0.0.1', router.process.caller_port
        try:
            sock = socket.create_connection(address, 1.0)
            sock.sendall(self._half(name, kind))
        except OSError as error:
            LOG.debug('request %s was not sent: %s', name, error)
            return
        request = HalfRequest(name, router.name, sock)
        self.selector.register(sock, selectors.EVENT_READ, request)

    def _start_slow(self, router):
        """Send a request whose body pauses and goes on."""
        self.count += 1
        call = records.Call(
            id=f'h{self.count}',
            kind=self.rng.choice(records.STREAM_KINDS),
            router=router.name,
            key=self.rng.choice(self.world.keys()),
            sent_at=time.monotonic(),
            expected_events=EVENTS,
        )
        self.world.history.calls.append(call)
        seconds = self.rng.uniform(*PAUSE_SECONDS)
        thread = threading.Thread(
            target=_send_slowly, args=(router, call, seconds), daemon=True
        )
        thread.start()
        self.threads.append(thread)

    def _half(self, name, kind):
        """Return the head of a request, and a part of its body."""
        part = b'x' * self.rng.randint(0, BODY_BYTES - 1)
        headers = running.headers(name)
        if self.rng.random() < 0.5:
            headers['Transfer-Encoding'] = 'chunked'
            part = b'%x\r\n%s' % (BODY_BYTES, part)
        else:
            headers['Content-Length'] = str(BODY_BYTES)
        lines = [f'{name}: {value}' for name, value in headers.items()]
        path = callers.REQUEST_KINDS[kind][1]
        head = '\r\n'.join([f'POST {path} HTTP/1.1', *lines, '', ''])
        return head.encode() + part

    def _read(self, request):
        try:
            data = request.sock.recv(ANSWER_BYTES)
        except OSError as error:
            LOG.debug('request %s was reset: %s', request.name, error)
            data = b''
        request.answer += data
        if not data:
            self._end(request, is_closed=True)

    def _give_up(self):
        """Record what is still open after the limit."""
        oldest = time.monotonic() - LIMIT_SECONDS
        for key in list(self.selector.get_map().values()):
            if key.data.sent_at < oldest:
                self._end(key.data, is_closed=False)

    def _end(self, request, is_closed):
        self.selector.unregister(request.sock)
        request.sock.close()
        self.world.history.half_requests.append(
            records.HalfRequest(
                request.name,
                request.router,
                request.sent_at,
                time.monotonic(),
                is_closed or bool(request.answer),
                not request.answer or is_typed_error(request.answer),
            )
        )


def _send_slowly(router, call, seconds):
    """Send a request whose body is silent for a while in its middle."""
    conn = http.client.HTTPConnection(
        '127.0.0.1', router.process.caller_port, timeout=LIMIT_SECONDS
    )
    callers.send(conn, call, random.Random(call.id), _slow_body(seconds))
    call.ended_at = time.monotonic()
    conn.close()


def _slow_body(seconds):
    yield b'bo'
    time.sleep(seconds)
    yield b'dy'


def is_typed_error(answer):
    """Return whether an answer is an error with a code."""
    head, _, body = answer.partition(b'\r\n\r\n')
    status = head.split(b' ')[1:2]
    if not status or not status[0].startswith((b'4', b'5')):
        return False
    try:
        return bool(json.loads(body)['error']['code'])
    except (ValueError, KeyError, TypeError):
        return False
