"""A small deployment: store, servers, routers as own processes, and a record."""

import asyncio
import json
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import httpwire
import platform_standin

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'site.example'
KEY = 'key-of-acme'
MODEL_SERVICE = 'model-service'
PLAIN_SERVICE = 'plain-service'
LAYERS = 8
# Exit codes; `run.sh` turns them into those of a case, so that a crash of the
# script itself is not taken for a broken rule.
HELD, BROKEN, NOT_RUN = 10, 11, 12
RESULTS = {
    HELD: 'the rule held',
    BROKEN: 'the rule was broken',
    NOT_RUN: 'not run',
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.started = time.monotonic()

    def write(self, what, request_id='', **facts):
        at = time.monotonic() - self.started
        text = ' '.join(f'{name}={value}' for name, value in facts.items())
        self.file.write(f'{at:8.3f} {what:10} {request_id:14} {text}\n')

    def say(self, text):
        print(text, flush=True)
        self.file.write(f'{time.monotonic() - self.started:8.3f} {text}\n')

    def close(self):
        self.file.close()


class Site:
    """Everything that a case starts."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.host = free_host()
        self.store = platform_standin.Store()
        self.servers = {}
        self.routers = []
        self.seen = {}
        self.ids = random.Random(1)

    def note(self, what, request_id, **facts):
        """Note what a server saw of a request."""
        self.seen.setdefault(request_id, []).append((what, facts))
        self.record.write(what, request_id, **facts)

    def saw(self, request_id, what):
        return any(each == what for each, _ in self.seen.get(request_id, ()))

    def engine_at(self, address):
        for server in self.servers.values():
            if server.address == address:
                return server
        return None

    async def start_store(self):
        await self.store.listen(self.host)

    async def add(self, server):
        self.servers[server.name] = server
        return await server.start()

    def configure(self, routes, version=1, slots=16, idle_ms=15000):
        self.store.put('op', 'config', configuration(routes, version, slots, idle_ms))

    def start_router(self, name, host=None, **bounds):
        router = Router(self, name, host or free_host(), bounds)
        self.routers.append(router)
        return router.start()

    def new_id(self):
        return f'{self.ids.getrandbits(48):012x}'

    def headers(self, request_id, deadline_ms, **more):
        return {
            'Host': HOST,
            'Attempt-Id': request_id,
            'Deadline-Ms': str(deadline_ms),
            'Credential': KEY,
            **more,
        }

    def stream_headers(self, request_id, tokens, deadline_ms=20000):
        return self.headers(
            request_id,
            deadline_ms,
            Model='m0',
            **{
                'Token-Usage': f'40,{tokens}',
                'Prompt-Prefix': f'5c1e07a2:10,{request_id}:30',
            },
        )

    async def wait_for(self, condition, what, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'not within {seconds:.0f} s: {what}')

    def stop(self):
        for router in self.routers:
            router.end()
        shutil.rmtree(self.folder, ignore_errors=True)


class Router:
    """A process of the system, started as the deploy file says."""

    def __init__(self, site, name, host, bounds):
        self.site = site
        self.name = name
        self.host = host
        self.ports = free_ports(host, 4)
        self.front, self.ready, self.control, self.peer = self.ports
        self.bounds = bounds
        self.process = None

    def fields(self):
        """Return the fields of its settings, as on the deploy page."""
        return {
            'NodeName': self.name,
            'Zone': 'a',
            'Ip': self.host,
            'Listen': {
                'Front': f'{self.host}:{self.front}',
                'Ready': f'{self.host}:{self.ready}',
                'Control': f'{self.host}:{self.control}',
            },
            'PortRange': [self.peer, self.peer],
            'Platform': {'Address': self.site.store.address},
            'Limits': {'MaxFds': 4200, 'MemoryMb': 300, 'LinkMbps': 1000.0},
            'Bounds': {
                'DrainMs': 2000,
                'GraceS': 8,
                'RetryRatio': 0.2,
                'RetryWindowS': 10,
                'RetrySlack': 196,
                **self.bounds,
            },
        }

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        text = (ROOT / role['template']).read_text()
        path = self.site.folder / f'{self.name}.json'
        path.write_text(render(text, self.fields()))
        self.log = open(self.site.folder / f'{self.name}.log', 'ab')
        kept = {n: os.environ[n] for n in ('PATH', 'HOME', 'LANG')
                if n in os.environ}
        self.process = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env={
                **kept,
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'IBISRING_NODE_FILE': str(path),
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        return self

    def log_text(self):
        return (self.site.folder / f'{self.name}.log').read_text()

    async def is_ready(self, timeout=1.0):
        try:
            channel = await httpwire.Channel(self.host, self.ready).open()
            answer = await channel.call('GET', '/readyz', {'Host': 'x'},
                                        timeout=timeout)
            channel.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready:\n{self.log_text()[-2000:]}')

    def channel(self):
        return httpwire.Channel(self.host, self.front)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


def render(text, fields):
    """Fill in a template of plain values as JSON."""

    def value(match):
        found = fields
        for key in match[1].split('.'):
            found = found[int(key) if key.isdigit() else key]
        return json.dumps(found)

    return re.sub(r'\{\{([\w.]+)\|json\}\}', value, text)


def free_host():
    """Return a loopback address on which the metrics port is free."""
    rng = random.SystemRandom()
    for _ in range(200):
        host = f'127.{rng.randint(1, 250)}.{rng.randint(1, 250)}.{rng.randint(2, 250)}'
        with socket.socket() as sock:
            try:
                sock.bind((host, 9464))
                return host
            except OSError:
                continue
    raise CannotRun('no loopback address has a free metrics port')


def free_ports(host, count):
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


def route(name, kind, service, timeout_ms, slo_ms, **changes):
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': f'/{name}/',
        'Type': kind,
        'TimeoutMs': timeout_ms,
        'SloMs': slo_ms,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        'Public': False,
        'Sticky': kind == 'streaming',
        'Resumable': False,
        'TargetGapMs': 200 if kind == 'streaming' else 0,
        **changes,
    }


def configuration(routes, version, slots, idle_ms):
    """Return the operator's configuration, shaped as on the wire page."""
    engine = {
        'Slots': slots,
        'KvCapacity': 50000,
        'KvTokenBytes': 1180000,
        'LinkMbps': 480000.0,
        'Stride': 2,
        'Models': [{'Name': 'm0', 'pace': 1.0, 'LoadS': 3.0, 'WarmupS': 1.0}],
        'step_ms': 0.85,
        'per_seq_ms': 0.00764,
        'context_per_k': 0.01024,
        'read_per_s': 196000.0,
        'pairs_per_m': 0.166,
        'chunk': 512,
        'report_lag_ms': 200.0,
        'loads_at_once': 6,
        'delays': [],
        'usual': {'prompt': 40, 'answer': 80},
        'Layers': LAYERS,
        'LayerMb': 1750.0,
        'ActivationBytes': 59000,
        'InterzoneMbps': 11000.0,
        'Kinds': [
            {'Name': 'h100', 'SizeMb': 72000.0, 'pace': 1.4, 'ReadFactor': 1.0}
        ],
    }
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': MODEL_SERVICE, 'HealthPath': '/healthz',
             'MaxConns': 1128, 'Protocol': 'h1', 'Tls': False,
             'Engine': engine},
            {'Name': PLAIN_SERVICE, 'HealthPath': '/healthz',
             'MaxConns': 96, 'Protocol': 'h1', 'Tls': False},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': idle_ms,
        },
        'Tenants': [{'Name': 'acme', 'ApiKeys': [KEY]}],
    }


def play(case, path):
    """Run a case and return its exit code."""
    record = Record(path)
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    site = Site(record)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        code = asyncio.run(asyncio.wait_for(case(site, trouble), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.say(f'the case could not run: {type(error).__name__} {error}')
        code = NOT_RUN
    finally:
        if os.environ.get('KEEP_LOGS'):
            for router in site.routers:
                shutil.copy(site.folder / f'{router.name}.log',
                            os.environ['KEEP_LOGS'])
        site.stop()
    record.say(RESULTS[code])
    record.close()
    return code
