"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio


class Message:
    """A request or an answer.

    `start` is its first line, split; header names are in lower case;
    `complete` is False if the channel ended inside it.
    """

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers
        self.body = b''
        self.complete = False

    @property
    def status(self):
        return int(self.start[1])


async def read_head(reader):
    """Return the head of a message, None at the end of the channel."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(first.split(' ', 2), headers)


async def read_body(reader, message, on_data=None, to_end=False):
    """Read a body; sets `complete` if it was whole."""
    parts = []

    def add(data):
        parts.append(data)
        if on_data is not None:
            on_data(data)

    try:
        if 'chunked' in message.headers.get('transfer-encoding', ''):
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                if size == 0:
                    while await reader.readuntil(b'\r\n') != b'\r\n':
                        pass
                    message.complete = True
                    break
                add(await reader.readexactly(size))
                await reader.readexactly(2)
        elif 'content-length' in message.headers:
            add(await reader.readexactly(int(message.headers['content-length'])))
            message.complete = True
        elif to_end:
            while data := await reader.read(65536):
                add(data)
            message.complete = True
        else:
            message.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        pass
    message.body = b''.join(parts)
    return message


def answer(status, headers=(), body=b''):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} x', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in dict(headers).items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def chunk(data):
    """Return a chunk of a body."""
    return b'%x\r\n' % len(data) + data + b'\r\n'


class Listener:
    """Base of servers that take one request at a time on a channel."""

    def __init__(self):
        self.server = None
        self.address = None
        self.writers = set()

    async def listen(self, host, port=0):
        """Listen on a free port unless one is given."""
        self.server = await asyncio.start_server(
            self._serve, host, port, backlog=1024
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                await read_body(reader, request)
                if not request.complete:
                    break
                if await self.handle(request, reader, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        """Answer a request; False ends the channel."""
        raise NotImplementedError


class Channel:
    """A client's channel, kept open for many requests."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.reader = self.writer = None
        self.requests = 0

    async def open(self, timeout=1.0):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, self.port), timeout
        )
        return self

    def send(self, method, target, headers, body=b'', chunked=False):
        """Write a whole request."""
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if chunked:
            lines.append('Transfer-Encoding: chunked')
            body = (chunk(body) if body else b'') + b'0\r\n\r\n'
        elif body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        self.requests += 1

    async def receive(self, timeout, on_data=None):
        """Return the answer, None if the channel ends without one.

        Raises `TimeoutError` if no whole answer has come in time.
        """

        async def read():
            message = await read_head(self.reader)
            if message is None:
                return None
            return await read_body(self.reader, message, on_data, to_end=True)

        return await asyncio.wait_for(read(), timeout)

    async def call(self, method, target, headers, body=b'', timeout=5.0):
        self.send(method, target, headers, body)
        return await self.receive(timeout)

    def close(self):
        if self.writer is not None:
            self.writer.close()
