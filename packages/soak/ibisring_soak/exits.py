"""Endpoints that leave, and cut their answers at any byte as they exit."""

__all__ = ['EndpointLeaver', 'LeavingSite']

import collections
import itertools
import logging
import random
import socket
import threading
import time

from ibisring_adapter.tests import standin
from ibisring_soak import disruptions
from ibisring_soak import pausing
from ibisring_soak import records
from ibisring_web import serving

LOG = logging.getLogger(__name__)
FRAMINGS = ('length', 'chunks', 'close')
# Time between events, and that of a plain request: long enough that some run
# when their endpoint exits.
EVENT_SECONDS = 0.05
PLAIN_SECONDS = 0.4
# From the moment at which an endpoint says that it leaves to its exit.
DRAIN_SECONDS = (0.3, 1.0)
INTERVAL_SECONDS = (0.2, 1.0)
# Share of the cuts between two events, where the end of a connection looks
# most like that of an answer.
EDGE_SHARE = 0.4
# By then what runs at an endpoint that exits is cut.
CUT_SECONDS = 0.7


class Framer:
    """Frames the bytes of an answer in one of several ways.

    Parameters
    ----------
    framing : str
        One of `FRAMINGS`.
    headers : list of (str, str)
    length : int
        Bytes of the whole body.
    """

    def __init__(self, framing, headers, length):
        self.framing = framing
        lines = [
            f'{name}: {value}'
            for name, value in headers
            if name.lower() != 'content-length'
        ]
        if framing == 'length':
            lines.append(f'Content-Length: {length}')
        elif framing == 'chunks':
            lines.append('Transfer-Encoding: chunked')
        head = ['HTTP/1.1 200 OK', *lines, '', '']
        self.head = '\r\n'.join(head).encode('latin-1')

    def frame(self, data):
        """Return a part of the body as it is sent."""
        if self.framing == 'chunks':
            return b'%x\r\n%s\r\n' % (len(data), data)
        return data

    @property
    def end(self):
        """What marks the end."""
        return b'0\r\n\r\n' if self.framing == 'chunks' else b''


class FramedAnswers:
    """Mixin of servers that frame successes by themselves.

    Attributes
    ----------
    has_exited : bool
        Whether answers are cut at their next byte.
    """

    has_exited = False

    def app(self, environ, start_response):
        """Handle a request (WSGI application)."""
        started = []
        body = super().app(environ, lambda *parts: started.extend(parts))
        status, headers = started[:2]
        if not status.startswith('200') or 'HTTP_ATTEMPT_ID' not in environ:
            start_response(status, headers)
            return body
        try:
            self._write(environ, headers, body)
        except OSError as error:
            LOG.debug('the caller has left: %s', error)
        finally:
            body.close()
        start_response('200 OK', [('Content-Length', '0')])
        return []

    def _write(self, environ, headers, body):
        """Write an answer to the caller's socket, and end the connection."""
        sock = environ[serving.SOCKET_KEY]
        length = dict(headers).get('Content-Length')
        length = _stream_length(environ) if length is None else int(length)
        rng = random.Random(f'{self.name} {environ["HTTP_ATTEMPT_ID"]}')
        framer = Framer(rng.choice(FRAMINGS), headers, length)
        unsent = framer.head
        for data in body:
            unsent += framer.frame(data)
            if self.has_exited:
                unsent = unsent[: _draw_cut(rng, len(unsent))]
                self.site.cuts[framer.framing] += 1
                break
            sock.sendall(unsent)
            unsent = b''
        else:
            unsent += framer.end
        sock.sendall(unsent)
        sock.shutdown(socket.SHUT_RDWR)


def _draw_cut(rng, length):
    """Return how many of some bytes are sent."""
    if rng.random() < EDGE_SHARE:
        return rng.choice((0, length))
    return rng.randint(0, length)


def _stream_length(environ):
    """Return the bytes of the events that a request for a stream asks for."""
    after = int(environ.get('HTTP_LAST_EVENT_ID', 0))
    count = int(environ['HTTP_TOKEN_USAGE'].split(',')[1])
    return sum(
        len(pausing.event(number)) for number in range(after + 1, count + 1)
    )


class LeavingEngine(FramedAnswers, pausing.PausingEngine):
    """A model server that frames its streams in several ways."""

    event_seconds_by_default = EVENT_SECONDS


class LeavingService(FramedAnswers, standin.Service):
    """A server of the plain service that frames its answers likewise."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.seconds = PLAIN_SECONDS


class LeavingSite(pausing.PausingSite):
    """A site whose servers cut their answers when they exit.

    Attributes
    ----------
    cuts : collections.Counter
        Answers cut, by framing.
    """

    engine_class = LeavingEngine
    service_class = LeavingService

    def __init__(self):
        super().__init__()
        self.cuts = collections.Counter()


class EndpointLeaver(disruptions.Disruption):
    """Has endpoints leave in turn; others come in their place.

    Parameters
    ----------
    world : world.World
        Its site is a `LeavingSite`.
    seed : int
    """

    def __init__(self, world, seed):
        super().__init__(world, f'exits {seed}')
        self.leaving = []

    def _loop(self):
        for number in itertools.count():
            if self.stopped.wait(self.rng.uniform(*INTERVAL_SECONDS)):
                break
            server = self._choose(number)
            if server is None:
                continue
            thread = threading.Thread(
                target=self._leave,
                args=(
                    server,
                    self.rng.random() < 0.5,
                    self.rng.uniform(*DRAIN_SECONDS),
                ),
                daemon=True,
            )
            thread.start()
            self.leaving.append(thread)
        for thread in self.leaving:
            thread.join()

    def _choose(self, number):
        """Return the next endpoint that leaves, once another one has come.

        Of the engines only those where streams begin: a stage that exits
        stalls the streams of others.
        """
        site = self.world.site
        if number % 2:
            self.world.add_service()
            servers = site.services.values()
        else:
            self.world.add_engine()
            servers = [
                engine
                for engine in site.engines.values()
                if engine.layers and engine.layers['From'] == 0
            ]
        staying = [each for each in servers if each.state == 'ready']
        if len(staying) < 2:
            return None
        return self.rng.choice(sorted(staying, key=lambda each: each.name))

    def _leave(self, server, reports, seconds):
        """Say that an endpoint leaves, be it by its entry's end, and exit."""
        site = self.world.site
        server.state = 'draining'
        if reports:
            site.store.put('servers', server.name, server.entry())
        else:
            site.store.drop('servers', server.name)
        now = time.monotonic()
        history = self.world.history
        change = records.StoreChange('draining', server.name, now)
        history.store_changes.append(change)
        time.sleep(seconds)
        history.disruptions.append(
            ('endpoints', time.monotonic(), time.monotonic() + CUT_SECONDS)
        )
        # A process that exits closes its port with its connections.
        self.world.proxies[server.name].close_port()
        server.has_exited = True
        time.sleep(CUT_SECONDS)
        site.remove(server.name)
