"""Injects a schedule of faults into a world."""

__all__ = ['Injector', 'make_injector']

import logging
import signal
import threading
import time

from ibisring_soak import records

LOG = logging.getLogger(__name__)
LINK_DELAY_SECONDS = 0.08
# Endpoints of a kind that always stay, so that requests can be served at
# all.
MIN_ENGINES = 4
MIN_SERVICES = 2
MAX_ENGINES = 12
# Time that a draining endpoint goes on serving.
DRAIN_SECONDS = 3.0
EXTRA_ROUTES = 300
STORM_CHANGES = 5
STORM_INTERVAL_SECONDS = 0.2


class Injector:
    """Starts and ends faults, which may overlap.

    Parameters
    ----------
    world : world.World
    """

    def __init__(self, world):
        self.world = world
        self.history = world.history
        self.lock = threading.Lock()
        self.threads = []

    def run(self, faults, seconds):
        """Inject all faults; return after their time and the last one."""
        started_at = time.monotonic()
        for fault in faults:
            time.sleep(max(0.0, started_at + fault.start - time.monotonic()))
            LOG.info(
                'fault at %.2f s: %s %s', fault.start, fault.group, fault.kind
            )
            thread = threading.Thread(
                target=self._inject, args=(fault,), daemon=True
            )
            thread.start()
            self.threads.append(thread)
        for thread in self.threads:
            thread.join()
        time.sleep(max(0.0, started_at + seconds - time.monotonic()))

    def _inject(self, fault):
        try:
            getattr(self, f'_{fault.group}')(fault)
        except Exception:
            LOG.exception('injecting %s failed', fault)
            self.history.crashes.append(f'injector {fault}')

    def _record_disruption(self, target, seconds):
        now = time.monotonic()
        self.history.disruptions.append((target, now, now + seconds))

    def _select(self, items, draw):
        items = list(items)
        return items[int(draw * len(items))]

    def _router(self, fault):
        router = self._select(self.world.routers, fault.draw)
        if fault.kind == 'reload':
            router.send_signal(signal.SIGHUP)
        elif fault.kind == 'terminate':
            router.send_signal(signal.SIGTERM)
        elif fault.kind == 'kill':
            self._record_disruption(f'router {router.name}', fault.duration)
            router.send_signal(signal.SIGKILL)
        else:
            self._record_disruption(f'router {router.name}', fault.duration)
            router.send_signal(signal.SIGSTOP)
            time.sleep(fault.duration)
            router.send_signal(signal.SIGCONT)

    def _inject_link_fault(self, fault, link, target):
        """Disrupt the connections of one proxy for a while."""
        self._record_disruption(target, fault.duration)
        if fault.kind == 'reset':
            link.reset_all()
        elif fault.kind == 'silence':
            # Permanent: open connections stay silent, new ones work.
            link.silence(('up', 'down'))
        elif fault.kind == 'one_way':
            direction = 'up' if fault.draw * 1000 % 2 < 1 else 'down'
            link.dropped_directions = {direction}
            link.silence((direction,))
            time.sleep(fault.duration)
        elif fault.kind == 'delay':
            link.delay = LINK_DELAY_SECONDS
            time.sleep(fault.duration)
        else:
            link.refusing = True
            time.sleep(fault.duration)
        link.restore()

    def _store_link(self, fault):
        router = self._select(self.world.routers, fault.draw)
        self._inject_link_fault(
            fault, router.store_link, f'router {router.name}'
        )

    def _caller_link(self, fault):
        router = self._select(self.world.routers, fault.draw)
        self._inject_link_fault(fault, router.caller_link, 'callers')

    def _endpoint_link(self, fault):
        names = sorted(self.world.proxies)
        link = self.world.proxies[self._select(names, fault.draw)]
        self._inject_link_fault(fault, link, 'endpoints')

    def _store(self, fault):
        store = self.world.site.store
        self._record_disruption('store', fault.duration)
        if fault.kind == 'forget_history':
            store.forget_history()
        elif fault.kind == 'lose_answers':
            store.lose_answers = True
            time.sleep(fault.duration)
            store.lose_answers = False
        else:
            store.mode = fault.kind
            time.sleep(fault.duration)
            store.mode = 'up'

    def _engine(self, fault):
        site = self.world.site
        with self.lock:
            names = sorted(site.engines)
            engine = site.engines[self._select(names, fault.draw)]
            if fault.kind == 'come' and len(names) < MAX_ENGINES:
                self.world.add_engine()
                return
            if fault.kind == 'leave' and len(names) <= MIN_ENGINES:
                return
        if fault.kind == 'leave':
            self._drain(engine)
        elif fault.kind == 'dark':
            self._record_disruption('endpoints', fault.duration)
            engine.unresponsive = True
            time.sleep(fault.duration)
            engine.unresponsive = False
        elif fault.kind == 'restart':
            self._record_disruption('endpoints', fault.duration)
            engine.restart()

    def _service(self, fault):
        site = self.world.site
        with self.lock:
            names = sorted(site.services)
            service = site.services[self._select(names, fault.draw)]
            is_leaving = fault.kind == 'leave'
            if is_leaving and len(names) <= MIN_SERVICES:
                return
            if is_leaving:
                self.world.add_service()
        if is_leaving:
            self._drain(service)
            return
        self._record_disruption('endpoints', fault.duration)
        service.mode = fault.kind
        time.sleep(fault.duration)
        service.mode = 'well'

    def _drain(self, server):
        """Drain an endpoint, then remove it."""
        site = self.world.site
        if server.state == 'draining':
            return
        server.state = 'draining'
        site.store.put('servers', server.name, server.entry())
        self._record_change('draining', server.name)
        time.sleep(DRAIN_SECONDS)
        site.remove(server.name)

    def _record_change(self, kind, name):
        change = records.StoreChange(kind, name, time.monotonic())
        self.history.store_changes.append(change)

    def _configuration(self, fault):
        world = self.world
        if fault.kind == 'storm':
            for _ in range(STORM_CHANGES):
                with self.lock:
                    self._add_route()
                time.sleep(STORM_INTERVAL_SECONDS)
            return
        with self.lock:
            keys = world.keys()
            if fault.kind == 'revoke' and len(keys) > 2:
                key = self._select(keys, fault.draw)
                world.revoked.add(key)
                self._add_route()
                self._record_change('revoked', key)
                return
            self._add_route(EXTRA_ROUTES)

    def _add_route(self, unused=0):
        """Write a table version with a new route, and `unused` other ones."""
        name = self.world.add_route()
        self.world.configure(unused_routes=unused)
        self._record_change('added', name)


def make_injector(world):
    """Make an `Injector`; start it with ``run()``."""
    return Injector(world)
