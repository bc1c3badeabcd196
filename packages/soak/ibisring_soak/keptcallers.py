"""Callers that keep their connections until a router's process is gone."""

__all__ = ['KeptCaller', 'StreamCall', 'ask']

import asyncio
import http.client
import io
import random
import time

from ibisring_adapter.tests import running
from ibisring_soak import standinprocesses
import msgspec

# The shortest and the longest stream.
STREAM_SECONDS = (0.25, 6.0)
DEADLINE_MS = 20000
# After which a caller gives up, in any case.
READ_SECONDS = 22.0
PAUSE_SECONDS = (0.0, 0.1)
REFUSED_PAUSE_SECONDS = 0.25
RECONNECT_SECONDS = 0.05
PROMPT = b'prompt'
_HEAD_END = b'\r\n\r\n'
_LAST_CHUNK = b'\r\n0\r\n\r\n'


class StreamCall(msgspec.Struct):
    """A request for a stream; times are monotonic seconds.

    `sent_at` is when its last byte was sent, `received` are the bytes of the
    answer as they came, and `timed_out` whether its caller gave up.
    """

    id: str
    router: str
    count: int
    sent_at: float = 0.0
    ended_at: float = 0.0
    received: bytes = b''
    timed_out: bool = False

    @property
    def status(self):
        """The status of the answer, 0 if its head isn't whole."""
        if _HEAD_END not in self.received:
            return 0
        return int(self.received[9:12])

    def is_answered(self):
        """Return whether the answer ended as its framing says."""
        return _is_whole(self.received)

    def events(self):
        """Return the data of the events that came."""
        response = http.client.HTTPResponse(_Received(self.received))
        try:
            response.begin()
            body = response.read()
        except http.client.IncompleteRead as error:
            body = error.partial
        except http.client.HTTPException:
            body = b''
        return running.Reply(0, {}, body, False).event_data()


class _Received:
    """Bytes that can be read as from a socket."""

    def __init__(self, data):
        self.data = data

    def makefile(self, mode):
        """Return a file of the bytes."""
        return io.BytesIO(self.data)


def _is_whole(received):
    head, end, body = bytes(received).partition(_HEAD_END)
    if not end:
        return False
    if b'chunked' in head.lower():
        return received.endswith(_LAST_CHUNK)
    _, _, length = head.lower().partition(b'\r\ncontent-length:')
    return bool(length) and len(body) >= int(length.split(b'\r\n')[0])


class _Channel(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self):
        self.transport = None
        self.received = bytearray()
        self.answered = None
        self.is_closed = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data
        # Most data ends in the middle of a stream.
        may_be_last = self.received.endswith(_LAST_CHUNK) or (
            b'chunked' not in self.received[:2000]
        )
        if may_be_last and _is_whole(self.received):
            self._finish()

    def connection_lost(self, error):
        self.is_closed = True
        self._finish()

    def _finish(self):
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(None)

    def send(self, data):
        """Send a request; return a future that ends with the answer."""
        self.received = bytearray()
        self.answered = asyncio.get_running_loop().create_future()
        if self.is_closed:
            self._finish()
        self.transport.write(data)
        return self.answered


async def _open(port):
    """Return a channel to a port."""
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_connection(_Channel, '127.0.0.1', port)
    return channel


async def ask(port, path, seconds=1.0):
    """Return the status of the answer to a GET request, 0 if there is none."""
    head = f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    try:
        channel = await asyncio.wait_for(_open(port), seconds)
        answered = channel.send(head.encode())
        await asyncio.wait_for(answered, seconds)
    except (OSError, asyncio.TimeoutError):
        return 0
    channel.transport.abort()
    received = bytes(channel.received)
    return int(received[9:12]) if _HEAD_END in received else 0


class KeptCaller:
    """Asks one router for one stream after another.

    Parameters
    ----------
    router : rollingrestart.RestartedRouter
    seed : int
    number : int
        Number of the caller at its router.
    calls : list of StreamCall
        Gets what it sends.
    """

    def __init__(self, router, seed, number, calls):
        self.router = router
        self.name = f'{router.name}-{number}'
        self.rng = random.Random(f'{seed} {self.name}')
        self.calls = calls
        self.channel = None

    async def run(self, stopped):
        """Send requests until an event is set; the last one ends first."""
        number = 0
        while not stopped.is_set():
            if self.channel is None or self.channel.is_closed:
                await self._connect()
                continue
            number += 1
            call = await self._call(f'{self.name}-{number}')
            if call.status == 200:
                pause = self.rng.uniform(*PAUSE_SECONDS)
            else:
                pause = REFUSED_PAUSE_SECONDS
            await asyncio.sleep(pause)
        if self.channel is not None:
            self.channel.transport.abort()

    async def _connect(self):
        """Connect once the router takes requests, if it does so now."""
        self.channel = None
        if self.router.is_serving:
            try:
                self.channel = await _open(self.router.gateway.caller_port)
            except OSError:
                # The process has just gone.
                await asyncio.sleep(RECONNECT_SECONDS)
        else:
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _call(self, request_id):
        seconds = self.rng.uniform(*STREAM_SECONDS)
        count = round(seconds / standinprocesses.EVENT_SECONDS)
        call = StreamCall(request_id, self.router.name, count)
        self.calls.append(call)
        answered = self.channel.send(_request(request_id, count))
        call.sent_at = time.monotonic()
        try:
            await asyncio.wait_for(answered, READ_SECONDS)
        except asyncio.TimeoutError:
            call.timed_out = True
            self.channel.transport.abort()
        call.ended_at = time.monotonic()
        call.received = bytes(self.channel.received)
        return call


def _request(request_id, count):
    """Return the bytes of a request, whose prompt has a part of its own."""
    part = request_id.encode().hex()[-16:]
    values = running.headers(
        request_id,
        count,
        **{
            'Deadline-Ms': str(DEADLINE_MS),
            'Prompt-Prefix': f'5c1e07a2:4,{part}:6',
            'Content-Length': str(len(PROMPT)),
        },
    )
    lines = ['POST /stream/x HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in values.items()]
    return '\r\n'.join([*lines, '', '']).encode() + PROMPT
