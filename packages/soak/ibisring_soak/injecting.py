"""Carries a schedule of faults out on a world."""

__all__ = ['Injector', 'make_injector']

import logging
import signal
import threading
import time

from ibisring_soak import records

LOG = logging.getLogger(__name__)
DELAY = 0.08
# Fewest endpoints of a kind that are left alone, so that something can be
# served at all.
LEAST_ENGINES = 4
LEAST_SERVICES = 2
MOST_ENGINES = 12
# Seconds that a leaving endpoint goes on serving after its notice.
LINGERS = 3.0
MANY_ROUTES = 300
STORM = 5
STORM_GAP = 0.2


class Injector:
    """Begins and ends faults; several overlap.

    Parameters
    ----------
    world : world.World
    """

    def __init__(self, world):
        self.world = world
        self.history = world.history
        self.lock = threading.Lock()
        self.threads = []

    def run(self, faults):
        """Carry out all faults, and return when the last is over."""
        begun = time.monotonic()
        for fault in faults:
            time.sleep(max(0.0, begun + fault.at - time.monotonic()))
            LOG.info('%.2f %s %s', fault.at, fault.group, fault.kind)
            thread = threading.Thread(
                target=self._carry_out, args=(fault,), daemon=True
            )
            thread.start()
            self.threads.append(thread)
        for thread in self.threads:
            thread.join()
        self.history.calm_from = time.monotonic()

    def _carry_out(self, fault):
        try:
            getattr(self, f'_{fault.group}')(fault)
        except Exception:
            LOG.exception('fault %s failed', fault)
            self.history.crashed.append(f'injector {fault}')

    def _disturb(self, name, lasts):
        now = time.monotonic()
        self.history.disturbed.append((name, now, now + lasts))

    def _pick(self, items, draw):
        items = list(items)
        return items[int(draw * len(items))]

    def _router(self, fault):
        router = self._pick(self.world.routers, fault.draw)
        if fault.kind == 'reload':
            router.send(signal.SIGHUP)
        elif fault.kind == 'terminate':
            router.send(signal.SIGTERM)
        elif fault.kind == 'kill':
            self._disturb(f'router {router.name}', fault.lasts)
            router.send(signal.SIGKILL)
        else:
            self._disturb(f'router {router.name}', fault.lasts)
            router.send(signal.SIGSTOP)
            time.sleep(fault.lasts)
            router.send(signal.SIGCONT)

    def _link(self, fault, link, struck):
        """Harm the connections of one proxy for a while."""
        self._disturb(struck, fault.lasts)
        if fault.kind == 'reset':
            link.reset_all()
        elif fault.kind == 'silence':
            # For good: what is open now stays silent, new ones work.
            link.silence(('up', 'down'))
        elif fault.kind == 'one_way':
            direction = 'up' if fault.draw * 1000 % 2 < 1 else 'down'
            link.losing = {direction}
            link.silence((direction,))
            time.sleep(fault.lasts)
        elif fault.kind == 'delay':
            link.delay = DELAY
            time.sleep(fault.lasts)
        else:
            link.refusing = True
            time.sleep(fault.lasts)
        link.heal()

    def _store_link(self, fault):
        router = self._pick(self.world.routers, fault.draw)
        self._link(fault, router.store_link, f'router {router.name}')

    def _caller_link(self, fault):
        router = self._pick(self.world.routers, fault.draw)
        self._link(fault, router.front, 'callers')

    def _endpoint_link(self, fault):
        names = sorted(self.world.proxies)
        link = self.world.proxies[self._pick(names, fault.draw)]
        self._link(fault, link, 'endpoints')

    def _store(self, fault):
        store = self.world.site.store
        self._disturb('store', fault.lasts)
        if fault.kind == 'forget_history':
            store.forget_history()
        elif fault.kind == 'lose_answers':
            store.lose_answers = True
            time.sleep(fault.lasts)
            store.lose_answers = False
        else:
            store.mode = fault.kind
            time.sleep(fault.lasts)
            store.mode = 'up'

    def _engine(self, fault):
        site = self.world.site
        with self.lock:
            names = sorted(site.engines)
            engine = site.engines[self._pick(names, fault.draw)]
            if fault.kind == 'come' and len(names) < MOST_ENGINES:
                self.world.add_engine()
                return
            if fault.kind == 'leave' and len(names) <= LEAST_ENGINES:
                return
        if fault.kind == 'leave':
            self._leave(engine)
        elif fault.kind == 'dark':
            self._disturb('endpoints', fault.lasts)
            engine.unresponsive = True
            time.sleep(fault.lasts)
            engine.unresponsive = False
        elif fault.kind == 'restart':
            self._disturb('endpoints', fault.lasts)
            engine.restart()

    def _service(self, fault):
        site = self.world.site
        with self.lock:
            names = sorted(site.services)
            service = site.services[self._pick(names, fault.draw)]
            leaves = fault.kind == 'leave'
            if leaves and len(names) <= LEAST_SERVICES:
                return
            if leaves:
                self.world.add_service()
        if leaves:
            self._leave(service)
            return
        self._disturb('endpoints', fault.lasts)
        service.mode = fault.kind
        time.sleep(fault.lasts)
        service.mode = 'well'

    def _leave(self, server):
        """Let an endpoint leave as planned: notice, a while, the end."""
        site = self.world.site
        if server.state == 'draining':
            return
        server.state = 'draining'
        site.store.put('servers', server.name, server.entry())
        self._notice('draining', server.name)
        time.sleep(LINGERS)
        site.remove(server.name)

    def _notice(self, kind, name):
        notice = records.Notice(kind, name, time.monotonic())
        self.history.notices.append(notice)

    def _configuration(self, fault):
        world = self.world
        if fault.kind == 'storm':
            for _ in range(STORM):
                with self.lock:
                    self._add_route()
                time.sleep(STORM_GAP)
            return
        with self.lock:
            keys = world.keys()
            if fault.kind == 'revoke' and len(keys) > 2:
                key = self._pick(keys, fault.draw)
                world.revoked.add(key)
                self._add_route()
                self._notice('revoked', key)
                return
            self._add_route(MANY_ROUTES)

    def _add_route(self, more=0):
        """Write a version with one more route, and some that are not used."""
        name = self.world.add_route()
        self.world.configure(routes=more)
        self._notice('added', name)


def make_injector(world):
    """Make an `Injector`; start it with ``run()``."""
    return Injector(world)
