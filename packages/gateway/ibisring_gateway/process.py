"""Assembles a gateway process, runs it, and shuts it down."""

__all__ = ['Gateway', 'make_gateway']

import logging
import os
import re
import signal
import threading
import time

import msgspec
import pykka

from ibisring_gateway import attemptwatching
from ibisring_gateway import callerserver
from ibisring_gateway import descriptorlimit
from ibisring_gateway import directory
from ibisring_gateway import draining
from ibisring_gateway import forwarding
from ibisring_gateway import gossip
from ibisring_gateway import linkmonitor
from ibisring_gateway import liveness
from ibisring_gateway import logwriter
from ibisring_gateway import peers
from ibisring_gateway import placing
from ibisring_gateway import rankroom
from ibisring_gateway import relaymarks
from ibisring_gateway import relaysending
from ibisring_gateway import screening
from ibisring_gateway import settings as settings_module
from ibisring_gateway import signalwaiting
from ibisring_gateway import stallclock
from ibisring_gateway import stalls
from ibisring_gateway import storefollowing
from ibisring_gateway import upstream
from ibisring_gateway import view as view_module
from ibisring_policy.gateway import descriptors
from ibisring_policy.gateway import freshness
from ibisring_policy.gateway import retrybudget
from ibisring_policy.gateway import shutdown
from ibisring_records import exceptions
from ibisring_records import routing
from ibisring_router import guards
from ibisring_router import logs
from ibisring_router import metrics
from ibisring_router import periodic

LOG = logging.getLogger(__name__)
READY_PATH = '/readyz'
METRICS_PATH = '/metrics'
# Also if the process accepts no connections any more.
EXIT_START_FAILED = 1
# Longest time for which a process that exits waits for its log lines.
LOG_DRAIN_SECONDS = 1.0
# Threads at the start and at most.  A machine has tens of routers, and its
# limit of threads may be as low as 32,768.
CALLER_THREADS = (16, 1200)
READY_THREADS = (2, 8)
# A request that another router hands over occupies a thread until it ends.
PEER_THREADS = (2, 1200)
# Until a configuration is read; no body is read before either.  A limit that
# is too low would refuse for good what the configuration allows.
UNKNOWN_LIMITS = routing.CallerLimits(header_bytes=262144, body_bytes=0)
# Interval of the periodic placement check, in addition to the one after each
# change: finds orders without effect and engines that died silently.
CHECK_SECONDS = 0.25
# Longest time for which a starting process lets callers wait in the kernel
# until it has read routes and endpoints; a store that answers takes a tenth.
MAX_START_WAIT_SECONDS = 0.4
START_POLL_SECONDS = 0.005
_VERSION = re.compile('[0-9]{1,18}')
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Gateway:
    """One gateway process.

    Parameters
    ----------
    settings : settings.Settings
    installation : ports.Installation
    caller_socket : socket.socket or None
        Bound to the callers' address, see `earlylisten.bind`.
    """

    def __init__(self, settings, installation, caller_socket=None):
        self.settings = settings
        self.caller_socket = caller_socket
        self.installation = installation
        self.metrics = metrics.make_metrics()
        self.descriptor_limit = descriptorlimit.make_limit(
            descriptorlimit.raise_soft_limit(settings.descriptors),
            self.metrics,
        )
        self._make_view()
        self._make_attempt_parts()
        self._make_forwarder()
        self._set_slow_detection()
        self._make_link_monitor()
        self.followers = storefollowing.make_followers(
            self._polling_slot,
            self._role,
            limits=freshness.make_freshness(
                settings.config_ms, settings.drain_ms
            ),
        )
        self.signal_waiter = signalwaiting.make_signal_waiter(SIGNALS)
        self.servers = []
        self.components = []
        self.placer = None
        self.directory = None
        self.log_writer = None
        self.is_shutting_down = False

    def _make_view(self):
        """Make the view, and what measures by it."""
        settings = self.settings
        self.view = view_module.make_view(
            settings.failure_domain, name=settings.router_id
        )
        self.view.link_budgets = settings.link_budgets == 'on'
        self.view.rank_shares.is_enabled = settings.rank_room == 'on'
        self.stall_clock = stallclock.make_stall_clock(
            self.view.health, self.metrics
        )
        self.rank_monitor = rankroom.make_monitor(self.view, self.metrics)

    def _make_attempt_parts(self):
        """Make connections, watcher and budget of attempts."""
        settings = self.settings
        self.connections = upstream.make_connection_pool(
            slots=self.descriptor_limit.slots[descriptors.Kind.ENDPOINTS]
        )
        self.watcher = attemptwatching.make_watcher(
            self._on_stall, self.view.health
        )
        self.retry_budget = retrybudget.make_retry_budget(
            settings.repeat_window_s,
            settings.repeat_ratio * retrybudget.RATIO_SHARE,
            settings.repeat_slack * retrybudget.SLACK_SHARE,
        )

    def _make_forwarder(self):
        """Make what sends requests to endpoints and to other routers."""
        self.screen = screening.make_screen(
            self.view,
            liveness.make_prober(self.installation.engines, self._endpoints),
            self.metrics,
        )
        self.relay_sender = relaysending.make_relay_sender(
            self.view,
            self.installation.codec,
            self.watcher,
            upstream.make_connection_pool(
                slots=self.descriptor_limit.slots[descriptors.Kind.ROUTERS]
            ),
            self._relay_candidates,
            self.settings.router_id,
        )
        self.forwarder = forwarding.make_forwarder(
            self.view,
            self.installation.codec,
            self.connections,
            self.watcher,
            self.retry_budget,
            self._count_routers,
            self.metrics,
            self.screen,
            self.relay_sender,
        )
        self.relay_sender.may_pass_on = self.forwarder.intake.may_pass_on
        self.forwarder.selector.may_connect = self.connections.may_acquire
        self.forwarder.admitter.mode = self.settings.queueing

    def _set_slow_detection(self):
        is_adaptive = self.settings.slow_detection == 'adaptive'
        self.forwarder.selector.event_times.is_adaptive = is_adaptive
        self.retry_budget.is_damped = is_adaptive

    def _make_link_monitor(self):
        """Make what follows the links and the streams to endpoints."""
        self.stall_handler = stalls.make_stall_handler(
            self.view,
            self.installation.engines,
            self.forwarder.selector,
            self.watcher,
            self.metrics,
        )
        self.link_monitor = linkmonitor.make_link_monitor(
            self.view, self.connections, self.metrics
        )
        self.connections.on_connect = self.link_monitor.record
        self.stall_handler.querier.on_answer = self.link_monitor.answered
        self.forwarder.selector.on_reported = (
            self.stall_handler.querier.reasker.check_reports
        )
        self.stall_handler.can_relay = self.relay_sender.is_possible
        self.stall_handler.successors = self.forwarder.successors
        self.stall_handler.may_still_answer = self.screen.may_still_answer
        self.stall_handler.on_all_silent = self.link_monitor.verify

    def _on_stall(self, attempt):
        self.stall_handler.handle(attempt)

    def _count_routers(self):
        return self.peers.max_routers(time.monotonic())

    def _endpoints(self):
        return list(self.view.snapshot.endpoints.values())

    def _relay_candidates(self):
        return self.peers.relay_candidates()

    def _own_service(self):
        """Return whether requests are taken, and how many run."""
        takes_requests = self.view.is_ready and not self.is_shutting_down
        return takes_requests, self.forwarder.active

    def _polling_slot(self):
        return self.peers.polling_slot()

    def _role(self):
        return self.peers.role()

    def _store_statuses(self):
        return self.peers.store_statuses(time.monotonic())

    def start(self):
        """Start servers, actors and threads."""
        self.stall_clock.start()
        self._start_placer()
        self._listen()
        self._start_directory()
        self._start_followers()
        self._start_gossip()
        self.periodic_checks = periodic.start(
            CHECK_SECONDS, self._run_periodic_checks
        )
        self._wait_until_ready()
        self._serve(self.caller_server)
        logs.event(
            LOG,
            'started',
            router=self.settings.router_id,
            known_within_s=self.followers.limits.bound,
        )

    def _start_placer(self):
        self.placer = placing.Placer.start(
            self.view,
            self.installation.leases,
            self.installation.engines,
            self.settings.router_id,
            self.metrics,
            self._store_statuses,
            lambda message: self.directory.tell(message),
            self.followers.suspect_outage,
            self.settings.min_pool_requests,
            self.stall_handler.querier.reasker.doubt,
        )

    def _start_directory(self):
        self.directory = directory.Directory.start(
            self.view,
            self.metrics,
            self.connections,
            self._check_placement,
            self._apply_limits,
        )

    def _start_followers(self):
        """Follow the store and the other routers."""
        tell = self.directory.tell
        followers = self.followers
        self.peers = peers.make_peers(
            self.settings,
            self.view,
            self.installation.leases,
            tell,
            followers,
        )
        followers.add('table', self.installation.table, True, tell)
        followers.add('endpoints', self.installation.endpoints, False, tell)
        self.components = [followers.start(), self.peers.start()]

    def _start_gossip(self):
        """Connect gossip with what it tells and what it informs."""
        self.gossip = gossip.make_gossip(
            self.settings, self.view, self.peers, self.directory.tell
        )
        self.gossip.receiver.alive_engines = (
            self.stall_handler.engines_with_events
        )
        self.gossip.receiver.on_reported = (
            self.stall_handler.querier.reasker.check_reports
        )
        self.gossip.receiver.on_loads = self.forwarder.admitter.wake_all
        self.gossip.own_service = self._own_service
        self.link_monitor.on_change = self.gossip.request_send
        self.screen.on_update = self.gossip.request_send
        self.forwarder.sender.on_limit = self.gossip.request_send
        self.forwarder.sender.on_leaving = self._report_leaving
        self.installation.engines.on_leaving = self._report_leaving
        self.components.append(self.gossip.start())

    def _wait_until_ready(self):
        """Wait a moment for the first read of routes and endpoints.

        Requests accepted before it would be refused for seconds.
        """
        deadline = time.monotonic() + MAX_START_WAIT_SECONDS
        while not self.view.is_ready and time.monotonic() < deadline:
            time.sleep(START_POLL_SECONDS)

    def _listen(self):
        """Bind all addresses; callers are served later."""
        settings = self.settings
        limits = UNKNOWN_LIMITS
        slots = self.descriptor_limit.slots
        control = slots[descriptors.Kind.CONTROL]
        self.caller_server = callerserver.make_server(
            settings.caller_listen,
            CALLER_THREADS,
            self.forwarder.serve,
            limits,
            self.caller_socket,
            slots[descriptors.Kind.CALLERS],
            self.forwarder.refuse,
        )
        self.caller_server.prepare()
        self.servers.append(self.caller_server)
        host = settings.host
        listeners = (
            (settings.ready_listen, READY_THREADS, self.serve_ready, control),
            (
                f'{host}:{settings.peer_port}',
                PEER_THREADS,
                self.serve_peer,
                slots[descriptors.Kind.ROUTERS],
            ),
            (
                f'{host}:{settings.metrics_port}',
                (1, 4),
                self.serve_metrics,
                control,
            ),
        )
        for address, threads, handler, own_slots in listeners:
            server = callerserver.make_server(
                address, threads, handler, limits, slots=own_slots
            )
            if handler == self.serve_peer:
                self.peer_server = server
            server.prepare()
            self._serve(server)
            self.servers.append(server)

    def _serve(self, server):
        """Serve a prepared server in a thread of its own."""
        threading.Thread(
            target=self._accept, args=(server,), daemon=True
        ).start()

    def _accept(self, server):
        """Accept connections; exit if that ends and nobody has asked for it.

        The kernel would go on accepting connections, and callers would wait
        for answers that never come.
        """
        try:
            server.serve()
        except BaseException:
            self._end_accepting(server)
        else:
            if server.ready:
                self._end_accepting(server)

    def _end_accepting(self, server):
        address = str(server.bind_addr)
        if self.is_shutting_down:
            guards.failed('accept', address=address)
        else:
            self._exit_failed('accepting_ended', address=address)

    def _report_leaving(self, endpoint):
        """Have the directory stop using an endpoint that says it leaves."""
        if not self.view.snapshot.is_leaving(endpoint):
            report = directory.LeavingReport(endpoint.id, endpoint.started)
            # The endpoint's answer goes to the caller in any case.
            guards.run('report_leaving', self.directory.tell, report)

    def _apply_limits(self, table):
        for server in (self.caller_server, self.peer_server):
            callerserver.apply_limits(server, table.limits)
        names = [route.name for route in table.routes]
        self.forwarder.sender.durations.retain(names)
        self.forwarder.admitter.wake_all()

    def _check_placement(self):
        self.placer.tell(placing.CheckPlacement())

    def _update_fleet(self):
        """Tell the budgets that all routers share how many there are."""
        now = time.monotonic()
        counts = self.peers.peer_reports.router_counts(now)
        total = self.peers.max_routers(now)
        with self.view.lock:
            self.view.domain_links.set_fleet(counts, total, now)
            self.view.query_rate.routers = total

    def _run_periodic_checks(self):
        """Run each check, also if one before it failed."""
        guards.run('check_placement', self._check_placement)
        guards.run('update_fleet', self._update_fleet)
        guards.run('tick', self._tick)
        guards.run('check_stalls', self.stall_handler.run_checks)
        guards.run('check_links', self.link_monitor.run_checks)
        guards.run('check_ranks', self.rank_monitor.run_checks)
        guards.run('check_descriptors', self.descriptor_limit.run_checks)

    def _tick(self):
        self.directory.tell(directory.Tick())

    def serve_ready(self, call):
        """Answer a readiness check: 200 if new connections are accepted."""
        ready = self.view.is_ready and not self.is_shutting_down
        call.answer(200 if ready else 503, [], b'')

    def serve_peer(self, call):
        """Serve state, or a request that it hands over, to a router."""
        if relaymarks.SENDER in call.headers():
            call.is_from_router = True
            self.forwarder.serve(call)
            return
        path, _, query = call.target.partition('?')
        version = query.partition('=')[2]
        if path != peers.STATE_PATH or not _VERSION.fullmatch(version):
            call.answer(404, [], b'')
            return
        body = msgspec.json.encode(self.peers.state_for(int(version)))
        call.answer(200, [('Content-Type', 'application/json')], body)

    def serve_metrics(self, call):
        """Serve counters and quantiles as text."""
        counters = self.metrics.counters
        counters['log_lines_dropped'] = self.log_writer.dropped
        counters['thread_starts_failed'] = sum(
            server.requests.failed_starts for server in self.servers
        )
        for step, times in guards.counts().items():
            counters[f'step_failed.{step}'] = times
        counters['gossip_bytes_told'] = self.gossip.bytes_sent
        counters['gossip_bytes_heard'] = self.gossip.bytes_received
        with self.view.lock:
            counters['suspects'] = len(self.view.suspects.by_digest)
            counters['part_suspects'] = len(self.view.parts.by_feature)
            counters['backoffs'] = len(self.view.limits.backoffs.by_endpoint)
        counters['pool_room_requests'] = self.view.pool_room_requests
        counters['capacity_requests'] = (
            self.forwarder.selector.bottlenecks.capacity_requests()
        )
        self.rank_monitor.update_metrics()
        self.descriptor_limit.update_metrics()
        counters['routers_running'] = self.peers.running_count(
            time.monotonic()
        )
        body = self.metrics.text().encode()
        call.answer(200, [('Content-Type', 'text/plain')], body)

    def run(self, path, early_signals=()):
        """Run until a signal to stop.

        Parameters
        ----------
        path : str
            Settings file, reloaded at SIGHUP.
        early_signals : sequence of int
            Arrived before this call; handled first.
        """
        self.signal_waiter.block()
        try:
            self.log_writer = logwriter.configure(self.settings.log_level)
            self.signal_waiter.add_early(early_signals)
            self._start_or_exit()
            self._handle_signals(path)
        finally:
            self.signal_waiter.restore()

    def _handle_signals(self, path):
        while True:
            received = self.signal_waiter.wait()
            if received.number != signal.SIGHUP:
                self.shut_down(received)
                return
            guards.run('reload', self.reload, path)

    def _start_or_exit(self):
        """Start; exit at once if that fails, so that it is tried again.

        The threads already started would keep the process alive with a bound
        port, and callers would wait for answers that never come.
        """
        try:
            self.start()
        except Exception:
            self._exit_failed('start_failed')

    def _exit_failed(self, event, **facts):
        LOG.critical(event, exc_info=True, extra={'facts': facts})
        if self.log_writer is not None:
            self.log_writer.drain(LOG_DRAIN_SECONDS)
        os._exit(EXIT_START_FAILED)

    def reload(self, path):
        """Reload the settings file; an invalid file changes nothing.

        Of the new values, only `log_level` and `grace_s` take effect.
        """
        try:
            loaded = settings_module.load(path)
        except exceptions.InvalidSetting as error:
            logs.event(LOG, 'reload_refused', why=error.detail)
            return
        changed = [
            name
            for name in loaded.__struct_fields__
            if getattr(loaded, name) != getattr(self.settings, name)
        ]
        self.settings.log_level = loaded.log_level
        logging.getLogger().setLevel(loaded.log_level)
        self.settings.grace_s = loaded.grace_s
        logs.event(LOG, 'reloaded', changed=changed)

    def shut_down(self, received):
        """Drain running requests, then exit.

        Parameters
        ----------
        received : signalwaiting.Received
        """
        self.is_shutting_down = True
        drain = draining.make_drain(
            received,
            self.settings.grace_s,
            self.forwarder,
            [self.caller_server, self.peer_server],
            self.view.health,
        )
        drain.begin()
        self.gossip.request_send()
        self.forwarder.admitter.close()
        drain.run()
        if self.log_writer is not None:
            self.log_writer.drain(shutdown.share_of_rest(drain.seconds_left()))
        # Threads that still read from an endpoint or an idle caller would keep
        # the interpreter alive past the grace time, until it is killed.
        os._exit(0)

    def stop(self):
        """Stop all servers, actors and threads."""
        for part in self.components:
            part.stop()
        periodic.stop_all([self.periodic_checks])
        self.watcher.stop()
        self.stall_clock.stop()
        self.stall_handler.stop()
        self.link_monitor.stop()
        for server in self.servers:
            server.stop()
        pykka.ActorRegistry.stop_all(timeout=1.0)
        if self.log_writer is not None:
            self.log_writer.listener.stop()


def make_gateway(settings, installation, caller_socket=None):
    """Make a `Gateway`; run it with ``run()`` or ``start()``."""
    return Gateway(settings, installation, caller_socket)
