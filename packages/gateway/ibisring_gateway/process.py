"""Putting a gateway together, running it, and shutting it down."""

__all__ = ['Gateway', 'make_gateway']

import logging
import os
import signal
import threading
import time

import msgspec
import pykka

from ibisring_gateway import directory
from ibisring_gateway import doctor
from ibisring_gateway import exchange
from ibisring_gateway import following
from ibisring_gateway import forwarding
from ibisring_gateway import gossip
from ibisring_gateway import liveness
from ibisring_gateway import logwriter
from ibisring_gateway import peers
from ibisring_gateway import placing
from ibisring_gateway import screening
from ibisring_gateway import settings as settings_module
from ibisring_gateway import upstream
from ibisring_gateway import view as view_module
from ibisring_gateway import watching
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import shutdown
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import logs
from ibisring_router import metrics
from ibisring_router import periodic

LOG = logging.getLogger(__name__)
READY_PATH = '/readyz'
METRICS_PATH = '/metrics'
CALLER_THREADS = (16, 1200)
READY_THREADS = (2, 8)
# Seconds between looks at the layers beside those after each change: finds
# orders that did not take effect and engines that died without a word.
LOOK_SECONDS = 0.25
# Between looks whether a process that is ending has finished, in seconds.
END_TICK = 0.05


class Gateway:
    """One gateway process.

    Parameters
    ----------
    settings : settings.Settings
    installation : ports.Installation
    """

    def __init__(self, settings, installation):
        self.settings = settings
        self.installation = installation
        self.metrics = metrics.make_metrics()
        self.view = view_module.make_view(
            settings.failure_domain, name=settings.router_id
        )
        self.connections = upstream.make_connection_pool()
        self.watcher = watching.make_watcher(self._on_silence)
        self.window = attempts.make_retry_budget(
            settings.repeat_window_s,
            settings.repeat_ratio * attempts.RATIO_SHARE,
            settings.repeat_slack * attempts.SLACK_SHARE,
        )
        self.screen = screening.make_screen(
            self.view,
            liveness.make_prober(installation.engines),
            self.metrics,
        )
        self.forwarder = forwarding.make_forwarder(
            self.view,
            installation.codec,
            self.connections,
            self.watcher,
            self.window,
            self._count_routers,
            self.metrics,
            self.screen,
        )
        self.doctor = doctor.make_stall_handler(
            self.view,
            installation.engines,
            self.forwarder.selector,
            self.watcher,
            self.metrics,
        )
        self.followers = following.make_followers(self._place, self._role)
        self.signals = []
        self.signalled = threading.Event()
        self.servers = []
        self.parts = []
        self.placer = None
        self.directory = None
        self.log_writer = None
        self.is_ending = False

    def _on_silence(self, attempt):
        self.doctor.handle(attempt)

    def _count_routers(self):
        return self.peers.max_routers(time.monotonic())

    def _place(self):
        return self.peers.polling_slot()

    def _role(self):
        return self.peers.role()

    def _store_touches(self):
        return self.peers.store_statuses(time.monotonic())

    def start(self):
        """Start listeners, actors and threads."""
        settings = self.settings
        self.placer = placing.Placer.start(
            self.view,
            self.installation.leases,
            self.installation.engines,
            settings.router_id,
            self.metrics,
            self._store_touches,
            lambda message: self.directory.tell(message),
            self.followers.suspect_outage,
        )
        self._listen()
        self.directory = directory.Directory.start(
            self.view,
            self.metrics,
            self.connections,
            self._look,
            self._apply_limits,
        )
        tell = self.directory.tell
        followers = self.followers
        self.peers = peers.make_peers(
            settings, self.view, self.installation.leases, tell, followers
        )
        followers.add('table', self.installation.table, True, tell)
        followers.add('endpoints', self.installation.endpoints, False, tell)
        self.parts = [followers.start(), self.peers.start()]
        self.gossip = gossip.make_gossip(settings, self.view, self.peers, tell)
        self.screen.on_found = self.gossip.request_send
        self.forwarder.sender.on_limit = self.gossip.request_send
        self.parts.append(self.gossip.start())
        self.looking = periodic.start(LOOK_SECONDS, self._look_round)
        logs.event(LOG, 'started', router=settings.router_id)

    def _listen(self):
        settings = self.settings
        limits = routing.CallerLimits()
        host = settings.host
        plans = (
            (settings.caller_listen, CALLER_THREADS, self.forwarder.serve),
            (settings.ready_listen, READY_THREADS, self.serve_ready),
            (f'{host}:{settings.peer_port}', READY_THREADS, self.serve_peer),
            (f'{host}:{settings.metrics_port}', (1, 4), self.serve_metrics),
        )
        for address, threads, handle in plans:
            server = exchange.make_server(address, threads, handle, limits)
            server.prepare()
            threading.Thread(target=server.serve, daemon=True).start()
            self.servers.append(server)
        self.front = self.servers[0]

    def _apply_limits(self, table):
        exchange.apply_limits(self.front, table.limits)

    def _look(self):
        self.placer.tell(placing.Look())

    def _look_round(self):
        self._look()
        self.directory.tell(directory.Tick())
        self.doctor.run_checks()

    def serve_ready(self, call):
        """Say whether new connections may come here."""
        ready = self.view.is_ready and not self.is_ending
        call.answer(200 if ready else 503, [], b'')

    def serve_peer(self, call):
        """Tell another router what this one knows."""
        path, _, query = call.target.partition('?')
        version = query.partition('=')[2]
        if path != peers.STATE_PATH or not version.isdigit():
            call.answer(404, [], b'')
            return
        body = msgspec.json.encode(self.peers.state_for(int(version)))
        call.answer(200, [('Content-Type', 'application/json')], body)

    def serve_metrics(self, call):
        """Give counters and quantiles as text."""
        counters = self.metrics.counters
        counters['log_lines_dropped'] = self.log_writer.dropped
        counters['gossip_bytes_told'] = self.gossip.bytes_sent
        counters['gossip_bytes_heard'] = self.gossip.bytes_received
        with self.view.lock:
            counters['suspects'] = len(self.view.suspects.by_digest)
        counters['routers_running'] = self.peers.running_count(
            time.monotonic()
        )
        body = self.metrics.text().encode()
        call.answer(200, [('Content-Type', 'text/plain')], body)

    def run(self, path):
        """Run until told to end.

        Parameters
        ----------
        path : str
            Settings file, read again at SIGHUP.
        """
        self.log_writer = logwriter.configure(self.settings.log_level)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._on_signal)
        self.start()
        while True:
            self.signalled.wait()
            self.signalled.clear()
            while self.signals:
                number = self.signals.pop(0)
                if number == signal.SIGHUP:
                    self.reload(path)
                else:
                    self.end()
                    return

    def _on_signal(self, number, frame):
        self.signals.append(number)
        self.signalled.set()

    def reload(self, path):
        """Read the settings again; a bad file leaves the old ones."""
        try:
            fresh = settings_module.load(path)
        except exceptions.InvalidSetting as error:
            logs.event(LOG, 'reload_refused', why=error.detail)
            return
        changed = [
            name
            for name in fresh.__struct_fields__
            if getattr(fresh, name) != getattr(self.settings, name)
        ]
        self.settings.log_level = fresh.log_level
        logging.getLogger().setLevel(fresh.log_level)
        self.settings.grace_s = fresh.grace_s
        logs.event(LOG, 'reloaded', changed=changed)

    def end(self):
        """Finish what runs, then stop."""
        begun = time.monotonic()
        self.is_ending = True
        self.forwarder.stopping_at = begun
        self.forwarder.refuse_after = begun + shutdown.ACCEPT_SECONDS
        logs.event(LOG, 'ending', active=self.forwarder.active)
        while True:
            time.sleep(END_TICK)
            elapsed = time.monotonic() - begun
            if shutdown.may_exit(
                elapsed, self.forwarder.active, self.settings.grace_s
            ):
                break
        logs.event(
            LOG,
            'ended',
            active=self.forwarder.active,
            seconds=round(time.monotonic() - begun, 2),
        )
        if self.log_writer is not None:
            self.log_writer.listener.stop()
        # Threads that still read from an endpoint or an idle caller would
        # hold the interpreter past the grace time, to be killed then.
        os._exit(0)

    def stop(self):
        """Stop all threads."""
        for part in self.parts:
            part.stop()
        periodic.stop_all([self.looking])
        self.watcher.stop()
        self.doctor.stop()
        for server in self.servers:
            server.stop()
        pykka.ActorRegistry.stop_all(timeout=1.0)
        if self.log_writer is not None:
            self.log_writer.listener.stop()


def make_gateway(settings, installation):
    """Make a `Gateway`; run it with ``run()`` or ``start()``."""
    return Gateway(settings, installation)
