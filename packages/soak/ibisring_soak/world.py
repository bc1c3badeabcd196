"""The processes and stand-ins of a run, with a proxy on every path."""

__all__ = ['Router', 'World', 'make_world']

import logging
import signal
import threading
import time

from ibisring_adapter.tests import running
from ibisring_adapter.tests import standin
from ibisring_soak import proxy
from ibisring_soak import records

LOG = logging.getLogger(__name__)
# Seconds from the end of a process to its next start, and those in which a
# process that is told to end must be gone before it is killed.
RESTART_AFTER = 0.4
GRACE = 4.0
KILL_AFTER = GRACE + 3.0
# Seconds between a balancer's questions whether a router is ready.
BALANCER_EVERY = 0.3
ENGINE_LAYERS = 8
DOMAINS = ('a', 'b')
ACCOUNTS = 6


class Router:
    """A gateway process that is started again whenever it ends.

    Attributes
    ----------
    front : proxy.Proxy
        Between callers and it.
    store_link : proxy.Proxy
    in_rotation : bool
        Whether the balancer gives it new connections.
    """

    def __init__(self, name, domain, store, folder, history):
        self.name = name
        self.history = history
        self.store_link = proxy.make_proxy(store)
        self.process = running.Gateway(
            self.store_link.address,
            folder,
            name,
            failure_domain=domain,
            grace_s=GRACE,
        )
        self.front = proxy.make_proxy(f'127.0.0.1:{self.process.caller_port}')
        self.in_rotation = False
        self.told_at = None
        self.killed = False
        self.stopping = False
        self.supervisor = threading.Thread(target=self._supervise, daemon=True)
        self.balancer = threading.Thread(target=self._ask, daemon=True)

    def start(self):
        """Start watching the process."""
        self.supervisor.start()
        self.balancer.start()

    def send(self, number):
        """Send a signal, unless the process is just being started again."""
        child = self.process.process
        if child.poll() is not None:
            return
        if number == signal.SIGKILL:
            self.killed = True
        if number == signal.SIGTERM and self.told_at is None:
            self.told_at = time.monotonic()
        child.send_signal(number)

    def _supervise(self):
        while not self.stopping:
            code = self._wait()
            if self.stopping:
                return
            ended_at = time.monotonic()
            if self.told_at is not None:
                seconds = ended_at - self.told_at
                self.history.ended.append((self.name, self.told_at, seconds))
            elif not self.killed:
                self.history.crashed.append(f'{self.name} code {code}')
            self.told_at = None
            self.killed = False
            time.sleep(RESTART_AFTER)
            if not self.stopping:
                self.process.start()

    def _wait(self):
        child = self.process.process
        while child.poll() is None and not self.stopping:
            told_at = self.told_at
            if told_at and time.monotonic() - told_at > KILL_AFTER:
                child.kill()
            time.sleep(0.02)
        return child.returncode

    def _ask(self):
        misses = 0
        while not self.stopping:
            misses = 0 if self.process.is_ready() else misses + 1
            self.in_rotation = misses < 2
            time.sleep(BALANCER_EVERY)

    def stop(self):
        """End the process and both proxies."""
        self.stopping = True
        if self.supervisor.is_alive():
            self.supervisor.join(timeout=5)
        child = self.process.process
        if child.poll() is None:
            child.send_signal(signal.SIGCONT)
        self.process.stop()
        self.front.stop()
        self.store_link.stop()


class World:
    """Everything that a run consists of.

    Parameters
    ----------
    folder : pathlib.Path
        Settings and logs of the processes.
    routers, engines, services : int
    """

    def __init__(self, folder, routers, engines, services):
        self.site = standin.Site()
        self.history = records.History(layers=standin.LAYERS, grace=GRACE)
        self.proxies = {}
        self.version = 0
        self.named = 0
        self.revoked = set()
        self.added = []
        for _ in range(engines):
            self.add_engine()
        for _ in range(services):
            self.add_service()
        self.configure()
        self.routers = [
            Router(
                f'r{number}',
                DOMAINS[number % len(DOMAINS)],
                self.site.store.address,
                folder,
                self.history,
            )
            for number in range(routers)
        ]

    def start(self):
        """Wait until all routers serve and all engines hold layers."""
        for router in self.routers:
            router.process.wait_ready()
        running.wait_for(
            lambda: all(e.layers for e in self.site.engines.values()),
            'not all engines were given layers',
        )
        for router in self.routers:
            router.start()
        running.wait_for(
            lambda: all(r.in_rotation for r in self.routers),
            'not all routers are in rotation',
        )

    def _wrapper(self, name):
        def wrap(address):
            self.proxies[name] = proxy.make_proxy(address)
            return self.proxies[name].address

        return wrap

    def add_engine(self):
        """Let an engine come; failure domains take turns."""
        self.named += 1
        name = f'e{self.named}'
        domain = DOMAINS[self.named % len(DOMAINS)]
        self.site.add_engine(name, domain, ENGINE_LAYERS, self._wrapper(name))

    def add_service(self):
        """Let an endpoint of the plain service come."""
        self.named += 1
        name = f'p{self.named}'
        self.site.add_service(name, self._wrapper(name))

    def keys(self):
        """Give the keys in force."""
        everyone = [f'key-{n}' for n in range(1, ACCOUNTS + 1)]
        return [key for key in everyone if key not in self.revoked]

    def configure(self, routes=0):
        """Write the next version, with more routes if asked."""
        self.version += 1
        names = [*self.added, *(f'more-{n}' for n in range(routes))]
        more = [
            standin.route(name, 'safe', standin.PLAIN_SERVICE, 800)
            for name in names
        ]
        tenants = [
            {'Name': 'account-' + key.partition('-')[2], 'ApiKeys': [key]}
            for key in self.keys()
        ]
        self.site.configure(
            version=self.version,
            routes=standin.default_routes() + more,
            tenants=tenants,
        )

    def add_route(self):
        """Have one more route from the next version on, and give its name."""
        self.added.append(f'added-{len(self.added) + 1}')
        return self.added[-1]

    def collect(self):
        """Take over what the endpoints saw, and give the history."""
        self.history.runs = [records.Run(*each) for each in self.site.runs()]
        self.history.overloaded = list(self.site.overfilled_engines)
        return self.history

    def stop(self):
        """End all processes and listeners."""
        for router in self.routers:
            router.stop()
        for each in self.proxies.values():
            each.stop()
        self.site.stop()


def make_world(folder, routers=3, engines=8, services=3):
    """Make a `World`; start it with ``start()``."""
    return World(folder, routers, engines, services)
