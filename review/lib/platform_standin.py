"""Stand-ins of the platform: its store, model servers and plain servers."""

import asyncio
import base64
import json
import time
import urllib.parse

import httpwire

ROWS_PER_ANSWER = 500
TXN_SECONDS = 0.005
READ_SECONDS = 0.004


def encode(value):
    """Return a value as it lies in the store."""
    return base64.b64encode(json.dumps(value).encode()).decode()


class Store(httpwire.Listener):
    """The platform's store: tables of rows, with a feed of changes."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.log = []
        self.version = 0
        self.started = time.monotonic()
        self.waiters = set()
        self.before_page = None

    def put(self, table, key, value):
        """Write a row, as the operator and the servers do."""
        self._write(table, key, encode(value))

    def drop(self, table, key):
        self._write(table, key, None)

    def _write(self, table, key, value, part=''):
        self.version += 1
        row = {'Table': table, 'part': part, 'Key': key, 'Ver': self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            row['Deleted'] = True
        else:
            row['Value'] = value
            self.rows[table, part, key] = row
        self.log.append(row)
        for event in list(self.waiters):
            event.set()

    async def handle(self, request, reader, writer):
        path, _, query = request.start[1].partition('?')
        args = dict(urllib.parse.parse_qsl(query))
        if path == '/rows-get':
            status, value = await self._get(args)
        elif path == '/rows-feed':
            status, value = await self._feed(args)
        elif path == '/rows-tx':
            await asyncio.sleep(TXN_SECONDS)
            status, value = self._transact(json.loads(request.body))
        else:
            status, value = 404, {}
        value['Ver'] = value.get('Ver', self.version)
        value['NowMs'] = int((time.monotonic() - self.started) * 1000)
        body = json.dumps(value).encode()
        writer.write(
            httpwire.answer(
                status, {'Content-Type': 'application/json'}, body
            )
        )

    async def _get(self, args):
        await asyncio.sleep(READ_SECONDS)
        first = args.get('From', '')
        end = args.get('Target')
        part = args.get('part', '')
        keys = sorted(
            key
            for table, row_part, key in self.rows
            if table == args['Table'] and row_part == part
            and key.encode() >= first.encode()
            and (end is None or key.encode() < end.encode())
        )
        limit = min(ROWS_PER_ANSWER, int(args.get('Limit', ROWS_PER_ANSWER)))
        rows = [self.rows[args['Table'], part, key] for key in keys[:limit]]
        return 200, {'Rows': rows, 'HasMore': len(keys) > limit}

    async def _feed(self, args):
        after = int(args['After'])
        end = time.monotonic() + min(30.0, int(args.get('WaitMs', 0)) / 1000)
        await asyncio.sleep(READ_SECONDS)
        while True:
            rows = [
                row
                for row in self.log
                if row['Ver'] > after and row['Table'] == args['Table']
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {'Rows': rows, 'HasMore': False}
            event = asyncio.Event()
            self.waiters.add(event)
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiters.discard(event)

    def _transact(self, change):
        for each in change.get('Precondition') or []:
            known = self.rows.get(
                (each['Table'], each.get('part', ''), each['Key'])
            )
            if (known['Ver'] if known else 0) != each['Ver']:
                return 412, {'Rows': [known] if known else []}
        for each in change.get('Puts') or []:
            self._write(
                each['Table'], each['Key'], each['Value'], each.get('part', '')
            )
        for each in change.get('Drop') or []:
            self._write(each['Table'], each['Key'], None, each.get('part', ''))
        return 200, {}


class Server(httpwire.Listener):
    """Base of the servers of a service; `ran` and `arrived` hold request ids."""

    def __init__(self, site, name, service, zone):
        super().__init__()
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self.has_exited = False
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0

    async def start(self):
        await self.listen(self.site.host)
        self.register()
        return self

    def entry(self):
        return {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': self.state,
            'ColdLeftMs': 0,
            'Seq': 1,
            'born': self.born,
        }

    def register(self):
        self.site.store.put('servers', self.name, self.entry())

    async def leave(self, drain_seconds):
        """Say that it is draining, serve on for a while, and exit.

        As when a process exits, its port closes and its channels end.
        """
        self.state = 'draining'
        self.register()
        await asyncio.sleep(drain_seconds)
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.has_exited = True
        self.site.store.drop('servers', self.name)

    def not_run(self, status, **headers):
        """Return an answer which says that the request has not run."""
        return httpwire.answer(status, {'Not-Executed': '1', **headers})

    def answer_headers(self, request):
        return {
            'Attempt-Id': request.headers['attempt-id'],
            'Response-Seal': f'{self.name}.seal',
        }

    async def handle(self, request, reader, writer):
        path = request.start[1]
        if request.start[0] == 'GET' and path == '/healthz':
            writer.write(httpwire.answer(200, {'Instance-Id': self.name}))
            return True
        if path in ('/report', '/order'):
            return await self.control(path, request, writer)
        if request.headers.get('expect-instance') not in (None, self.name):
            writer.write(httpwire.answer(421, {'Instance-Id': self.name}))
            return True
        request_id = request.headers['attempt-id']
        self.site.note('arrived', request_id, server=self.name)
        return await self.serve(request, reader, writer)

    async def control(self, path, request, writer):
        writer.write(httpwire.answer(404))


class PlainServer(Server):
    """Answers after `seconds`; rejects what its slots and queue don't hold."""

    def __init__(self, site, name, service, zone, slots=6, queue=24):
        super().__init__(site, name, service, zone)
        self.slots = slots
        self.queue = queue
        self.seconds = 0.015
        self.gate = asyncio.Semaphore(slots)

    async def serve(self, request, reader, writer):
        if self.running + self.waiting >= self.slots + self.queue:
            writer.write(self.not_run(503))
            return True
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            self.running += 1
            request_id = request.headers['attempt-id']
            self.site.note('run', request_id, server=self.name)
            try:
                await asyncio.sleep(self.seconds)
            finally:
                self.running -= 1
        headers = self.answer_headers(request)
        headers['Server-Load'] = f'{self.running},{self.waiting},{self.slots}'
        body = f'{self.name} ran {request_id}'.encode()
        writer.write(httpwire.answer(200, headers, body))
        return True


class Engine(Server):
    """A model server: holds a range of layers, and streams events.

    Its memory is for `room` requests at a time.  A newer one is preempted in
    the middle of its stream, before event `preempted_at`, and is read again
    and goes on `pause_seconds` later.
    """

    def __init__(self, site, name, service, zone, kind, slots, queue=2):
        super().__init__(site, name, service, zone)
        self.kind = kind
        self.slots = slots
        self.queue = queue
        self.layers = None
        self.orders = 0
        self.busy = False
        self.event_seconds = 0.025
        # Whether its streams have neither a length nor chunks and end with
        # their channel.
        self.ends_with_channel = False
        self.room = slots
        self.preempted_at = 10
        self.pause_seconds = 0.0
        self.gate = asyncio.Semaphore(slots)

    def entry(self):
        value = super().entry()
        value['Type'] = self.kind
        value['Phase'] = 'combined'
        value['Models'] = [{'Name': 'm0', 'Version': 1, 'Adapters': []}]
        if self.layers:
            value['Layers'] = {
                'From': self.layers[0],
                'Target': self.layers[1],
                'Version': 1,
            }
        return value

    async def control(self, path, request, writer):
        if path == '/report':
            value = {
                'Phase': 'combined',
                'Models': [{'Name': 'm0', 'Version': 1, 'Adapters': []}],
                'Busy': self.busy,
                'Seq': self.orders,
                'Queued': self.waiting,
                'Active': self.running,
                'KvUsed': 0,
                'KvTotal': 1000000,
                'KvHandles': 0,
                'pace': 1.0,
                'Type': self.kind,
                'born': self.born,
            }
            if self.layers:
                value['Layers'] = self.entry()['Layers']
            writer.write(httpwire.answer(200, (), json.dumps(value).encode()))
            return True
        order = json.loads(request.body)
        if request.headers.get('expect-instance') not in (None, self.name):
            writer.write(httpwire.answer(421, {'Instance-Id': self.name}))
        elif order['Op'] != 'place':
            writer.write(httpwire.answer(404))
        elif self.busy or order.get('Precondition', self.orders) != self.orders:
            writer.write(httpwire.answer(409))
        else:
            self.orders += 1
            self.busy = True
            asyncio.get_running_loop().create_task(self._load(order))
            writer.write(httpwire.answer(202, (), b'{}'))
        return True

    async def _load(self, order):
        self.layers = None
        self.register()
        await asyncio.sleep(0.3)
        self.layers = order['From'], order['Target']
        self.busy = False
        self.register()

    def _missing(self, path):
        """Return the address of a part that does not hold its layers."""
        for part in path.split(','):
            address, _, span = part.partition('=')
            first, end = (int(each) for each in span.split('-'))
            held = self.site.engine_at(address)
            held = held.layers if held is not None else None
            if not held or held[0] > first or held[1] < end:
                return address
        return None

    async def serve(self, request, reader, writer):
        path = request.headers.get('hop-count')
        missing = self._missing(path) if path else None
        if missing or (not path and not self.layers):
            writer.write(
                httpwire.answer(421, {'At-Server': missing or self.address})
            )
            return True
        if self.running + self.waiting >= self.slots + self.queue:
            writer.write(self.not_run(503, **{'At-Server': self.address}))
            return True
        request_id = request.headers['attempt-id']
        gone = asyncio.ensure_future(reader.read(1))
        self.waiting += 1
        try:
            async with self.gate:
                self.waiting -= 1
                self.running += 1
                try:
                    self.site.note('run', request_id, server=self.name)
                    return await self._stream(request, writer, gone)
                finally:
                    self.running -= 1
        finally:
            gone.cancel()

    async def _stream(self, request, writer, gone):
        request_id = request.headers['attempt-id']
        count = int(request.headers['token-usage'].split(',')[1]) // 2
        after = int(request.headers.get('last-event-id', 0))
        headers = self.answer_headers(request)
        lines = ['HTTP/1.1 200 x']
        if self.ends_with_channel:
            lines.append('Connection: close')
            frame, last = bytes, b''
        else:
            lines.append('Transfer-Encoding: chunked')
            frame, last = httpwire.chunk, b'0\r\n\r\n'
        lines += ['Content-Type: text/event-stream', 'Weight-Versions: 1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(after + 1, count + 1):
            wait = self.event_seconds
            if number == self.preempted_at and self.running > self.room:
                wait = self.pause_seconds
                self.site.note('preempted', request_id, server=self.name)
            await asyncio.wait([gone], timeout=wait)
            if self.has_exited:
                self.site.note('exited', request_id, server=self.name,
                               event=number)
                return False
            if gone.done():
                self.site.note('left', request_id, server=self.name,
                               event=number)
                return False
            event = f'id: {number}\ndata: word-{number}\n\n'.encode()
            writer.write(frame(event))
        writer.write(last)
        self.site.note('ended', request_id, server=self.name)
        if self.ends_with_channel:
            return False
        gone.cancel()
        try:
            await gone
        except (asyncio.CancelledError, ConnectionError):
            pass
        return True
