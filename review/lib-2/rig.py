"""A small deployment on loopback addresses: store, servers, routers, clients.

The store and the servers are stand-ins that follow the users' pages; the
routers are the project's own program, started as the deploy file says.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'kitchen.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
MODEL = 'm10000'
LAYERS = 8
LAYER_MB = 1000.0
CHUNK_END = b'0\r\n\r\n'
ids = itertools.count(1)
# Third byte of the loopback addresses, for runs side by side.
NET = int(os.environ.get('RIG_NET', random.randrange(8, 250)))


def free_ports(host, count):
    """Return ports that are free at a loopback address.

    They are below those that the kernel gives to outgoing connections.
    """
    found = []
    while len(found) < count:
        port = random.randrange(12000, 30000)
        if port not in found and _is_free(host, port):
            found.append(port)
    return found


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


class Record:
    """Lines of what was sent, answered and run, for `record.txt`."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **facts):
        text = ' '.join(f'{k}={v}' for k, v in facts.items())
        self.file.write(f'{self.now():8.3f} {what} {text}\n')
        self.file.flush()


async def read_head(reader):
    """Return the first line and the headers (lower case), None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a request or an answer that has a framing."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            if size == 0:
                await reader.readuntil(b'\r\n')
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def answer(status, body=b'', **headers):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{k.replace("_", "-")}: {v}' for k, v in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Store:
    """The platform's store: rows in tables, and a feed of their changes."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.ver = 0
        self.changed = asyncio.Condition()
        self.address = ''
        self.rule = lambda source, path: None

    async def start(self, host='127.0.0.1'):
        server = await asyncio.start_server(self._serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def put(self, table, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        async with self.changed:
            self._write(table, key, data)
            self.changed.notify_all()

    async def drop(self, table, key):
        async with self.changed:
            self._write(table, key, None)
            self.changed.notify_all()

    def _write(self, table, key, data):
        self.ver += 1
        row = {'Table': table, 'part': '', 'Key': key, 'Ver': self.ver}
        if data is None:
            self.rows.pop((table, key), None)
            row['Deleted'] = True
        else:
            row['Value'] = data
            self.rows[table, key] = row
        self.log.append(row)

    async def _serve(self, reader, writer):
        source = writer.get_extra_info('peername')[0]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(' ')
                verdict = self.rule(source, target)
                if verdict == 'silent':
                    await asyncio.sleep(30)
                    break
                if verdict == 'busy':
                    writer.write(answer(503))
                    continue
                await asyncio.sleep(0.004)
                writer.write(await self._call(target, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def _call(self, target, body):
        path, _, query = target.partition('?')
        args = dict(p.split('=', 1) for p in query.split('&') if '=' in p)
        args = {k: urllib.parse.unquote_plus(v) for k, v in args.items()}
        if path == '/rows-get':
            rows = [
                r
                for (t, k), r in sorted(self.rows.items())
                if t == args['Table'] and k >= args.get('From', '')
            ]
            return self._answer(rows[:500], len(rows) > 500)
        if path == '/rows-feed':
            return await self._feed(args)
        if path == '/rows-tx':
            return await self._transact(json.loads(body))
        return answer(400)

    def _answer(self, rows, more=False, status=200):
        body = {'Rows': rows, 'HasMore': more, 'Ver': self.ver}
        body['NowMs'] = int(time.monotonic() * 1000)
        data = json.dumps(body).encode()
        return answer(status, data, Content_Type='application/json')

    async def _feed(self, args):
        after, table = int(args['After']), args['Table']
        end = time.monotonic() + int(args['WaitMs']) / 1000
        async with self.changed:
            while True:
                found = [
                    r
                    for r in self.log
                    if r['Ver'] > after and r['Table'] == table
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    return self._answer(found)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, change):
        async with self.changed:
            for each in change['Precondition']:
                row = self.rows.get((each['Table'], each['Key']))
                if (row['Ver'] if row else 0) != each['Ver']:
                    return self._answer([row] if row else [], status=412)
            for row in change['Puts']:
                self._write(row['Table'], row['Key'], row['Value'])
            for row in change['Drop']:
                self._write(row['Table'], row['Key'], None)
            self.changed.notify_all()
            return self._answer([])


class Server:
    """A server: a model server if `card` is set, a plain one otherwise."""

    def __init__(self, rig, service, zone, card=''):
        self.rig = rig
        self.service = service
        self.zone = zone
        self.card = card
        self.id = f'i-{random.randrange(16**8):08x}'
        self.layers = None
        self.seq = 0
        self.beat = 0
        self.state = 'ready'
        self.active = 0
        self.first_s = 0.15
        self.event_s = 0.04
        self.work_s = 0.0225
        self.address = ''
        self.writers = set()
        self.server = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 16
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        await self.register()

    async def register(self):
        self.beat += 1
        entry = {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': 96 if self.card else 6,
            'State': self.state,
            'ColdLeftMs': 0,
            'Seq': self.beat,
        }
        if self.card:
            entry['Phase'] = 'combined'
            entry['Models'] = [self._model()]
            entry['Type'] = self.card
            if self.layers:
                entry['Layers'] = self._layers()
        await self.rig.store.put('servers', self.id, entry)

    def _model(self):
        return {'Name': MODEL, 'Version': 1, 'Adapters': []}

    def _layers(self):
        first, end = self.layers
        return {'From': first, 'Target': end, 'Version': 1}

    def crash(self):
        """End as a killed process does: all channels are reset."""
        self.server.close()
        for each in list(self.writers):
            each.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(' ')
                if headers.get('expect', '').lower() == '100-continue':
                    writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
                body = await read_body(reader, headers)
                if not await self._answer(
                    method, target, headers, body, writer
                ):
                    break
                await writer.drain()
                if headers.get('connection', '').lower() == 'close':
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, headers, body, writer):
        if target == '/report':
            writer.write(self._report())
            return True
        if headers.get('expect-instance', self.id) != self.id:
            writer.write(answer(421, Instance_Id=self.id))
            return True
        if target == '/order':
            writer.write(await self._order(json.loads(body)))
            return True
        if target == '/healthz':
            writer.write(answer(200, Instance_Id=self.id))
            return True
        attempt = headers.get('attempt-id')
        if not attempt:
            writer.write(answer(400, Not_Executed=1))
            return True
        if self.card and self.layers is None:
            writer.write(
                answer(421, At_Server=self.address, Attempt_Id=attempt)
            )
            return True
        self.rig.ran(self, attempt, headers, method, target, body)
        self.active += 1
        try:
            if self.card:
                return await self._stream(attempt, headers, writer)
            return await self._plain(attempt, headers, writer)
        finally:
            self.active -= 1

    async def _plain(self, attempt, headers, writer):
        await asyncio.sleep(self.work_s)
        body = f'{attempt} by {self.id} '.encode().ljust(800, b'.')
        writer.write(
            answer(
                200,
                body,
                Attempt_Id=attempt,
                Response_Seal=self.rig.seal(attempt, body),
                Server_Load=f'{self.active},0,6',
            )
        )
        return True

    async def _stream(self, attempt, headers, writer):
        count = int(headers.get('token-usage', '10,20').split(',')[1]) // 2
        after = int(headers.get('last-event-id', 0))
        await asyncio.sleep(self.first_s)
        lines = [
            'HTTP/1.1 200 OK',
            f'Attempt-Id: {attempt}',
            f'Response-Seal: {self.rig.seal(attempt, b"")}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            '',
            '',
        ]
        writer.write('\r\n'.join(lines).encode())
        for number in range(after + 1, count + 1):
            event = f'id: {number}\ndata: {attempt}.{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            if number < count:
                await asyncio.sleep(self.event_s)
        writer.write(CHUNK_END)
        return True

    def _report(self):
        value = {
            'Phase': 'combined',
            'Models': [self._model()] if self.card else [],
            'Busy': False,
            'Seq': self.seq,
            'Queued': 0,
            'Active': self.active,
            'KvUsed': 0,
            'KvTotal': 400000,
            'KvHandles': 0,
            'pace': 1.0,
        }
        if self.layers:
            value['Layers'] = self._layers()
        return answer(
            200, json.dumps(value).encode(), Content_Type='application/json'
        )

    async def _order(self, order):
        if order['Op'] != 'place':
            return answer(404)
        wanted = order['From'], order['Target']
        if order.get('Precondition', self.seq) != self.seq:
            return answer(409)
        if self.layers == wanted:
            return answer(200)
        self.seq += 1
        self.layers = wanted
        asyncio.ensure_future(self.register())
        return answer(202)


class Router:
    """One router process, started with the command of the deploy file."""

    def __init__(self, rig, name, zone, host, **settings):
        self.rig = rig
        self.name = name
        self.zone = zone
        self.host = host
        front, ready, peer = free_ports(host, 3)
        self.front = front
        self.ready_port = ready
        fields = {
            'NodeName': name,
            'Zone': zone,
            'Ip': host,
            'Listen': {'Front': f'{host}:{front}', 'Ready': f'{host}:{ready}'},
            'Platform': {'Address': rig.store.address},
            'PortRange': [peer, peer],
            'Limits': {'MaxFds': 4200, 'MemoryMb': 300, 'LinkMbps': 1000.0},
            'Bounds': {
                'DrainMs': 2000,
                'GraceS': 8,
                'RetryRatio': 0.2,
                'RetryWindowS': 10,
                'RetrySlack': 196,
            },
        }
        self.fields = fields
        self.path = rig.folder / f'{name}.json'
        self.write_settings()
        self.process = None
        self.starts = 0

    def write_settings(self):
        text = (ROOT / 'deploy/settings.json.tmpl').read_text()

        def fill(match):
            value = self.fields
            for part in match[1].split('.'):
                value = value[int(part) if part.isdigit() else part]
            return json.dumps(value)

        self.path.write_text(re.sub(r'\{\{([\w.]+)\|json\}\}', fill, text))

    async def start(self):
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['IBISRING_NODE_FILE'] = str(self.path)
        env.update(self.rig.variables)
        log = open(self.rig.folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            'python3', '-m', 'ibisring_adapter',
            cwd=ROOT, env=env, stdout=log, stderr=log,
        )
        log.close()
        self.starts += 1
        self.rig.record.add('start', router=self.name, pid=self.process.pid)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready_port
            )
            writer.write(
                b'GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
            )
            line = await reader.readline()
            writer.close()
            return b' 200 ' in line
        except OSError:
            return False

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def rss_mb(self):
        """Return the memory in use in MB, 0 if the process has ended."""
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        match = re.search(r'VmRSS:\s+(\d+)', text)
        return int(match[1]) / 1024 if match else 0.0

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.rig.record.add('signal', router=self.name, number=int(number))


class Attempt:
    """One request of a client, and what came back."""

    def __init__(self, kind):
        self.key = KEY
        self.id = f'{next(ids):06d}{random.randrange(16**10):010x}'
        self.kind = kind
        self.sent_at = None
        self.status = None
        self.sealed = False
        self.complete = False
        self.body = b''
        self.end = ''
        self.channel_use = 0
        self.router = None


class Client:
    """A client that keeps one channel to a router."""

    def __init__(self, rig, router):
        self.rig = rig
        self.router = router
        self.reader = None
        self.writer = None
        self.uses = 0

    async def _open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.router.host, self.router.front), 1.0
        )
        self.uses = 0

    async def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def send(self, kind, body=b'', deadline_ms=20000, tokens=40,
                   method=None, key=KEY):
        """Send a request and read the answer."""
        attempt = Attempt(kind)
        attempt.router = self.router
        self.rig.attempts[attempt.id] = attempt
        method = method or ('GET' if kind == 'safe' else 'POST')
        lines = [
            f'{method} /{kind}/2f HTTP/1.1',
            f'Host: {HOST}',
            f'Attempt-Id: {attempt.id}',
            f'Deadline-Ms: {deadline_ms}',
            f'Credential: {key}',
        ]
        if kind == 'stream':
            lines += [
                f'Model: {MODEL}',
                f'Token-Usage: 800,{tokens}',
                f'Prompt-Prefix: 5c1e07a2:40,{next(ids):08x}:760',
            ]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        data = ('\r\n'.join(lines) + '\r\n\r\n').encode() + body
        try:
            if self.writer is None:
                await self._open()
            self.uses += 1
            attempt.channel_use = self.uses
            attempt.sent_at = time.monotonic()
            self.writer.write(data)
            await asyncio.wait_for(
                self._read(attempt), deadline_ms / 1000 + 2.0
            )
            attempt.end = attempt.end or 'answered'
        except asyncio.TimeoutError:
            attempt.end = 'timeout'
            await self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            attempt.end = f'closed ({type(error).__name__})'
            await self.close()
        self.rig.record.add(
            'request', id=attempt.id, kind=kind, router=self.router.name,
            use=attempt.channel_use, status=attempt.status,
            complete=attempt.complete, end=attempt.end.replace(' ', '_'),
            runs=len(self.rig.runs.get(attempt.id, ())),
        )
        return attempt

    async def _read(self, attempt):
        while True:
            data = await self.reader.readuntil(b'\r\n\r\n')
            lines = data.decode('latin-1').split('\r\n')
            status = int(lines[0].split(' ')[1])
            if status >= 200:
                break
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        attempt.status = status
        attempt.headers = headers
        attempt.sealed = 'response-seal' in headers
        attempt.body = await read_body(self.reader, headers)
        attempt.complete = True
        if headers.get('connection', '').lower() == 'close':
            await self.close()


class Rig:
    """All parts of the deployment."""

    def __init__(self, folder):
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.attempts = {}
        self.runs = {}
        self.routers = []
        self.servers = []
        self.store = Store()
        self.version = 1
        self.variables = {}

    def ran(self, server, attempt, headers, method, target, body):
        self.runs.setdefault(attempt, []).append(
            (time.monotonic(), server.id, headers, method, target, len(body))
        )
        self.record.add('run', id=attempt, server=server.id, bytes=len(body))

    def seal(self, attempt, body):
        return f'{attempt[:6]}.{len(body)}'

    def config(self, **changes):
        self.version += random.randrange(1, 4)

        def route(name, kind, service, timeout, slo, **more):
            return {
                'Name': f'r-{name}', 'Host': HOST, 'Prefix': f'/{name}/',
                'Type': kind, 'TimeoutMs': timeout, 'SloMs': slo,
                'Priority': 1, 'Service': service, 'MaxAttempts': 2,
                'Public': False, **more,
            }

        value = {
            'Version': self.version,
            'Routes': [
                route('stream', 'streaming', 'model', 20000, 500,
                      Sticky=True, Resumable=True, TargetGapMs=200),
                route('unsafe', 'unsafe', 'plain', 1500, 125),
                route('safe', 'safe', 'plain', 1500, 125),
            ],
            'Services': [
                {
                    'Name': 'model', 'HealthPath': '/healthz',
                    'MaxConns': 1128, 'Protocol': 'h1', 'Tls': False,
                    'Engine': {
                        'Slots': 96, 'KvCapacity': 50000,
                        'KvTokenBytes': 160000, 'LinkMbps': 480000.0,
                        'Stride': 2,
                        'Models': [{'Name': MODEL, 'pace': 1.0, 'LoadS': 1.0,
                                    'WarmupS': 0.1}],
                        'step_ms': 0.85, 'per_seq_ms': 0.00764,
                        'context_per_k': 0.01024, 'read_per_s': 196000.0,
                        'pairs_per_m': 0.166, 'chunk': 512,
                        'report_lag_ms': 200.0, 'loads_at_once': 6,
                        'delays': [], 'usual': {'prompt': 772, 'answer': 174},
                        'Layers': LAYERS, 'LayerMb': LAYER_MB,
                        'ActivationBytes': 5900, 'InterzoneMbps': 11000.0,
                        'Kinds': [{'Name': 'big', 'SizeMb': 72000.0,
                                   'pace': 1.0, 'ReadFactor': 1.0}],
                    },
                },
                {'Name': 'plain', 'HealthPath': '/healthz', 'MaxConns': 96,
                 'Protocol': 'h1', 'Tls': False},
            ],
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,
                       'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
            'Tenants': [{'Name': TENANT, 'ApiKeys': [KEY], 'Priority': 1}],
        }
        value.update(changes)
        return value

    async def begin(self, zones, engines=0, plain=3):
        """Start all parts; return whether the deployment serves.

        `zones` has the zone of each router, in order.
        """
        await self.store.start()
        await self.store.put('op', 'config', self.config())
        places = sorted(set(zones))
        for number in range(engines):
            place = places[number % len(places)]
            server = Server(self, 'model', place, 'big')
            await server.start(f'127.2.{NET}.{number + 1}')
            self.servers.append(server)
        for number in range(plain):
            server = Server(self, 'plain', places[number % len(places)])
            await server.start(f'127.3.{NET}.{number + 1}')
            self.servers.append(server)
        for number, zone in enumerate(zones):
            count = zones[: number + 1].count(zone)
            self.routers.append(
                Router(self, f'edge-{zone}-{count}', zone,
                       f'127.1.{NET}.{number + 1}')
            )
        await asyncio.gather(*(r.start() for r in self.routers))
        ready = await asyncio.gather(*(r.wait_ready() for r in self.routers))
        if not all(ready):
            self._report_unready(ready)
            return False
        return await self._have_layers()

    def _report_unready(self, ready):
        for router, is_ready in zip(self.routers, ready):
            if not is_ready:
                path = self.folder / f'{router.name}.log'
                lines = path.read_text().splitlines()[-3:]
                print(router.name, router.process.returncode, lines)

    async def _have_layers(self, seconds=20):
        """Wait until the routers have had the model servers loaded."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(s.layers for s in self.servers if s.card):
                return True
            await asyncio.sleep(0.1)
        return False

    async def finish(self):
        for each in self.routers:
            if each.process is not None and each.process.returncode is None:
                each.process.kill()
                await each.process.wait()
        self.temporary.cleanup()
