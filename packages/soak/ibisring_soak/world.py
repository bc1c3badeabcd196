"""The processes and stand-ins of a run, connected through proxies."""

__all__ = ['Router', 'World', 'make_world']

import logging
import math
import signal
import string
import threading
import time

from ibisring_adapter.tests import running
from ibisring_adapter.tests import standin
from ibisring_soak import backoffs
from ibisring_soak import endpointlinks
from ibisring_soak import proxy
from ibisring_soak import records

LOG = logging.getLogger(__name__)
# Time from the exit of a process to its next start.
RESTART_DELAY_SECONDS = 0.4
# Time that a router has to shut down after SIGTERM; one that still runs some
# seconds later is killed.
GRACE_SECONDS = 4.0
KILL_AFTER_SECONDS = GRACE_SECONDS + 3.0
# Interval of the load balancer's readiness probes.
PROBE_INTERVAL_SECONDS = 0.3
ENGINE_LAYERS = 8
DOMAINS = ('a', 'b')
ACCOUNTS = 6
# A stream that may not be resumed.
SINGLE_ROUTE = standin.route(
    'single', 'streaming', standin.MODEL_SERVICE, 10000
)


class Router:
    """A gateway process that is restarted whenever it exits.

    Attributes
    ----------
    caller_link : proxy.Proxy
        Between callers and the router.
    store_link : proxy.Proxy
        Between the router and the store.
    endpoint_links : endpointlinks.EndpointLinks or None
        Between the router and endpoints, None if it has no own ones.
    in_rotation : bool
        Whether the load balancer sends it new connections.
    """

    def __init__(
        self,
        name,
        domain,
        store,
        folder,
        history,
        endpoint_links=None,
        settings=None,
    ):
        self.name = name
        self.history = history
        self.endpoint_links = endpoint_links
        self.store_view = None
        store_address = store.address
        if endpoint_links is not None:
            self.store_view = endpointlinks.StoreView(store, endpoint_links)
            store_address = self.store_view.address
        self.store_link = proxy.make_proxy(store_address)
        self.process = running.Gateway(
            self.store_link.address,
            folder,
            name,
            failure_domain=domain,
            grace_s=GRACE_SECONDS,
            **(settings or {}),
        )
        self.caller_link = proxy.make_proxy(
            f'127.0.0.1:{self.process.caller_port}'
        )
        self.in_rotation = False
        self.terminated_at = None
        self.killed = False
        self.stopping = False
        self.supervisor = threading.Thread(target=self._supervise, daemon=True)
        self.balancer = threading.Thread(
            target=self._probe_readiness, daemon=True
        )

    def start(self):
        """Start the supervisor and the load balancer's probes."""
        self.supervisor.start()
        self.balancer.start()

    def send_signal(self, number):
        """Send a signal, unless the process is being restarted."""
        child = self.process.process
        if child.poll() is not None:
            return
        if number == signal.SIGKILL:
            self.killed = True
        if number == signal.SIGTERM and self.terminated_at is None:
            self.terminated_at = time.monotonic()
        child.send_signal(number)

    def _supervise(self):
        while not self.stopping:
            code = self._wait_for_exit()
            if self.stopping:
                return
            ended_at = time.monotonic()
            if self.terminated_at is not None:
                seconds = ended_at - self.terminated_at
                self.history.terminations.append(
                    (self.name, self.terminated_at, seconds)
                )
            elif not self.killed:
                self.history.crashes.append(
                    f'{self.name} exited with code {code}'
                )
            self.terminated_at = None
            self.killed = False
            time.sleep(RESTART_DELAY_SECONDS)
            if not self.stopping:
                self.process.start()

    def _wait_for_exit(self):
        child = self.process.process
        while child.poll() is None and not self.stopping:
            terminated_at = self.terminated_at
            if (
                terminated_at
                and time.monotonic() - terminated_at > KILL_AFTER_SECONDS
            ):
                child.kill()
            time.sleep(0.02)
        return child.returncode

    def _probe_readiness(self):
        failed_probes = 0
        while not self.stopping:
            failed_probes = 0 if self.process.is_ready() else failed_probes + 1
            self.in_rotation = failed_probes < 2
            time.sleep(PROBE_INTERVAL_SECONDS)

    def stop(self):
        """Stop the process and both proxies."""
        self.stopping = True
        if self.supervisor.is_alive():
            self.supervisor.join(timeout=5)
        child = self.process.process
        if child.poll() is None:
            child.send_signal(signal.SIGCONT)
        self.process.stop()
        self.caller_link.stop()
        self.store_link.stop()
        if self.endpoint_links is not None:
            self.store_view.stop()
            self.endpoint_links.stop()


class World:
    """Site, proxies and routers of a run.

    Parameters
    ----------
    folder : pathlib.Path
        Settings and logs of the processes.
    routers, engines, services : int
    own_links : bool
        Whether each router has links of its own to endpoints.
    site : standin.Site or None
        None makes one.
    settings : dict or None
        More settings of the routers.
    """

    def __init__(
        self,
        folder,
        routers,
        engines,
        services,
        own_links=False,
        site=None,
        settings=None,
    ):
        self.site = site or standin.Site()
        self.history = records.History(
            layers=standin.LAYERS, grace_seconds=GRACE_SECONDS
        )
        self.proxies = {}
        self.version = 0
        self.endpoint_count = 0
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
                _domain(number, routers, own_links),
                self.site.store,
                folder,
                self.history,
                self._make_links() if own_links else None,
                settings,
            )
            for number in range(routers)
        ]

    def _make_links(self):
        return endpointlinks.make_endpoint_links(self.site.aliases)

    def start(self):
        """Wait until all routers serve and know the layers of all engines."""
        for router in self.routers:
            router.process.wait_ready()
        # An engine holds its layers a while before each router knows of it;
        # until then a router refuses streams, with its links or without.
        for router in self.routers:
            running.wait_for(
                lambda process=router.process: self._knows_layers(process),
                f'{router.name} does not know all layers',
            )
        for router in self.routers:
            router.start()
        running.wait_for(
            lambda: all(r.in_rotation for r in self.routers),
            'not all routers are in rotation',
        )

    def _knows_layers(self, process):
        return process.loaded_engine_count() == len(self.site.engines)

    def _proxy_wrapper(self, name):
        def wrap(address):
            self.proxies[name] = proxy.make_proxy(address)
            return self.proxies[name].address

        return wrap

    def add_engine(self):
        """Add an engine, to the failure domains alternately."""
        self.endpoint_count += 1
        name = f'e{self.endpoint_count}'
        domain = DOMAINS[self.endpoint_count % len(DOMAINS)]
        self.site.add_engine(
            name, domain, ENGINE_LAYERS, self._proxy_wrapper(name)
        )

    def add_service(self):
        """Add an endpoint of the plain service."""
        self.endpoint_count += 1
        name = f'p{self.endpoint_count}'
        self.site.add_service(name, self._proxy_wrapper(name))

    def keys(self):
        """Return the valid keys."""
        all_keys = [f'key-{n}' for n in range(1, ACCOUNTS + 1)]
        return [key for key in all_keys if key not in self.revoked]

    def configure(self, unused_routes=0):
        """Write the next table version, with some unused routes if asked."""
        self.version += 1
        names = [*self.added, *(f'more-{n}' for n in range(unused_routes))]
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
            routes=[*standin.default_routes(), SINGLE_ROUTE, *more],
            tenants=tenants,
        )

    def add_route(self):
        """Add a route to the next table version, and return its name."""
        self.added.append(f'added-{len(self.added) + 1}')
        return self.added[-1]

    def collect(self):
        """Add the endpoints' observations, and return the history."""
        self.history.runs = [records.Run(*each) for each in self.site.runs()]
        self.history.arrivals = [
            records.Arrival(
                each.request,
                each.server,
                each.at,
                backoffs.parse(each.backoff or '0'),
            )
            for each in self.site.arrivals
        ]
        self.history.relays = self._relays()
        self.history.finished = dict(self.site.finished)
        self.history.overloaded = list(self.site.overfilled_engines)
        return self.history

    def _relays(self):
        """Return the requests that routers say they handed over."""
        started = time.time() - time.monotonic()
        return [
            records.Relay(line['id'], line['router'], line['time'] - started)
            for router in self.routers
            for line in router.process.log_lines('relayed')
        ]

    def stop(self):
        """Stop all processes and listeners."""
        for router in self.routers:
            router.stop()
        for each in self.proxies.values():
            each.stop()
        self.site.stop()


def _domain(number, routers, own_links):
    """Return the failure domain of a router.

    With links of their own at most two routers share a domain: of more, some
    get endpoints from the others, with the addresses of their links.
    """
    if not own_links:
        return DOMAINS[number % len(DOMAINS)]
    count = max(len(DOMAINS), math.ceil(routers / 2))
    return string.ascii_lowercase[number % count]


def make_world(
    folder,
    routers=3,
    engines=8,
    services=3,
    own_links=False,
    site=None,
    settings=None,
):
    """Make a `World`; ``start()`` starts it."""
    return World(folder, routers, engines, services, own_links, site, settings)
