"""Construction, start and shutdown of a router."""

__all__ = ['Router', 'make_router']

import logging
import time

from ibisring_backing import tables
from ibisring_backing import vms
from ibisring_policy import budgets
from ibisring_policy import orders
from ibisring_records import exceptions
from ibisring_router import burnkeeping
from ibisring_router import callerapi
from ibisring_router import claiming
from ibisring_router import controlapi
from ibisring_router import dispatching
from ibisring_router import engineclient
from ibisring_router import generating
from ibisring_router import heldanswers
from ibisring_router import keyed
from ibisring_router import logs
from ibisring_router import metrics
from ibisring_router import peering
from ibisring_router import peerkeys
from ibisring_router import periodic
from ibisring_router import readiness
from ibisring_router import reconciling
from ibisring_router import recordkeeping
from ibisring_router import requestlimiter
from ibisring_router import servicecalls
from ibisring_router import settings as settings_module
from ibisring_router import statuspolling
from ibisring_router import storebudget
from ibisring_web import calls
from ibisring_web import serving

LOG = logging.getLogger(__name__)
TICK_INTERVAL_SECONDS = 0.05
BURN_SAVE_INTERVAL_SECONDS = 60.0
CLAIM_SWEEP_INTERVAL_SECONDS = 60.0
BURN_MERGE_INTERVAL_SECONDS = 60.0
SWEEP_LEASE = 0
STORE_TIMEOUT_SECONDS = 3.0
CLAIM_TIMEOUT_SECONDS = 0.4
PEER_TIMEOUT_SECONDS = 0.6
STATUS_TIMEOUT_SECONDS = 0.5


class Router:
    """One router process.

    Parameters
    ----------
    settings : settings.Settings
        Validated settings.
    """

    def __init__(self, settings):
        self.settings = settings
        self.metrics = metrics.make_metrics(settings.statsd)
        self.traffic = calls.Traffic()
        self.store_budget = storebudget.make_shared_budget(
            settings, self._router_count, self.metrics
        )
        self.table = self._budgeted_table(
            STORE_TIMEOUT_SECONDS, budgets.Urgency.FOREGROUND
        )
        self.background_table = self._budgeted_table(
            STORE_TIMEOUT_SECONDS, budgets.Urgency.BACKGROUND
        )
        self.keeper = recordkeeping.start_records(self.table, self.metrics)
        self.placement = dispatching.start_dispatcher(settings.router_id)
        self.keeper.listeners.append(self.placement.configure)
        self.readiness = readiness.make_readiness(self.keeper)
        self.limiter = requestlimiter.make_request_limiter(
            settings.caller_threads, settings.urgent_threads
        )
        self.peering = self._make_peering()
        self.claims = self._make_claims()
        self.keyed = self._make_keyed()
        self.burn = burnkeeping.make_keeper(
            settings, self.keeper, self.metrics
        )
        self.poller = statuspolling.make_poller(
            settings.router_id,
            self.keeper,
            self.placement,
            self._control_caller(STATUS_TIMEOUT_SECONDS),
        )
        self.reconciler = self._make_reconciler()
        self.poller.holds_lease_of = self.reconciler.holds_lease_of
        self.callers = self._make_caller_listener()
        self.control = self._make_control_listener()
        self.periodics = []

    def _budgeted_table(self, timeout, urgency):
        """Create a table client that observes this router's budget."""
        table = tables.http_table(
            self.settings.platform, self._control_caller(timeout)
        )
        return storebudget.BudgetedTable(table, self.store_budget, urgency)

    def _router_count(self):
        """Return the number of routers on the VM list, 0 before it is read."""
        return self.peering.listed_router_count

    def _make_peering(self):
        platform = self.settings.platform
        return peering.make_peering(
            self.settings,
            self.keeper,
            self.placement,
            vms.http_vms(
                platform, self._control_caller(STORE_TIMEOUT_SECONDS)
            ),
            self.readiness,
            self.metrics,
            self._peer_caller(),
        )

    def _make_claims(self):
        """Create the claims, with a shorter timeout of the table client."""
        return claiming.make_claims(
            self.settings,
            self._budgeted_table(
                CLAIM_TIMEOUT_SECONDS, budgets.Urgency.FOREGROUND
            ),
            self.background_table,
            self._voter_addresses,
            self._peer_caller(),
        )

    def _make_keyed(self):
        answers = heldanswers.make_answers(
            self.settings.claim_seconds, time.monotonic
        )
        return keyed.make_runner(
            answers,
            self.claims,
            self.limiter,
            self.metrics,
            lambda: self.settings.advertise,
        )

    def _make_reconciler(self):
        return reconciling.make_reconciler(
            self.settings,
            self.background_table,
            self.table,
            self.keeper,
            self.poller,
            self._serving_routers,
            self.metrics,
            self._control_caller(orders.ORDER_TIMEOUT_SECONDS / 2),
        )

    def _control_caller(self, read_timeout):
        """Create an HTTP client whose bytes count as control traffic."""
        return calls.make_caller(
            self.settings.connect_timeout, read_timeout, self.traffic
        )

    def _peer_caller(self):
        """Create an HTTP client that sends the peer key."""
        return calls.make_caller(
            self.settings.connect_timeout,
            PEER_TIMEOUT_SECONDS,
            self.traffic,
            peerkeys.peer_keys(self.settings)[0],
        )

    def _make_caller_listener(self):
        settings = self.settings
        client = engineclient.make_engine_client(
            settings.token_timeout, settings.connect_timeout
        )
        generations = generating.make_runner(
            self.placement, client, self.metrics
        )
        generations.max_attempts = settings.most_attempts
        services = servicecalls.make_runner(
            self.placement,
            calls.make_caller(settings.connect_timeout),
            self.metrics,
            settings.service_timeout,
        )
        api = callerapi.CallerApi(
            self.keeper,
            generations,
            services,
            self.keyed,
            self.burn,
            self.limiter,
            self.metrics,
            self.readiness,
        )
        return _create_listener(
            callerapi.make_app(api),
            settings.caller_listen,
            settings.caller_threads,
        )

    def _make_control_listener(self):
        api = controlapi.ControlApi(
            self.settings,
            self.keeper,
            self.peering,
            self.claims,
            self.keyed,
            self.burn,
            self.readiness,
            self.metrics,
            self.traffic,
        )
        return _create_listener(
            controlapi.make_app(api),
            self.settings.control_listen,
            self.settings.control_threads,
        )

    def _voter_addresses(self):
        """Return the addresses of all members by id, or None if unknown."""
        members = self.peering.read(lambda m: m.addresses())
        if members is None:
            return None
        members[self.settings.router_id] = self.settings.advertise
        return members

    def _serving_routers(self):
        """Return the ids of routers that respond and serve, with this one."""
        alive = [p.id for p in self.peering.alive() if not p.leaving]
        return [*alive, self.settings.router_id]

    def start(self):
        """Start the listeners and the periodic tasks.

        Raises
        ------
        InvalidSetting
            An address can't be bound.  Everything is stopped first, since
            threads of a listener would keep the process from exiting.
        """
        try:
            self._start()
        except exceptions.InvalidSetting:
            self.stop()
            raise
        return self

    def _start(self):
        _start_listener(
            self.control, 'control_listen', self.settings.control_listen
        )
        if not self.settings.advertise:
            self.settings.advertise = self.control.address
        self.peering.refresh_vm_list()
        self._follow()
        self.peering.probe()
        self.poller.poll()
        _start_listener(
            self.callers, 'caller_listen', self.settings.caller_listen
        )
        settings = self.settings
        for seconds, function in (
            (TICK_INTERVAL_SECONDS, self.placement.tick),
            (settings.poll_seconds, self._follow),
            (settings.poll_seconds, self.peering.refresh_vm_list_when_due),
            (settings.probe_seconds, self.peering.probe),
            (settings.status_seconds, self.poller.poll),
            (settings.poll_seconds, self.claims.save_unsaved),
            (settings.lease_seconds / 6, self.reconciler.run_round),
            (BURN_SAVE_INTERVAL_SECONDS, self.burn.save),
            (CLAIM_SWEEP_INTERVAL_SECONDS, self._sweep_claims),
            (BURN_MERGE_INTERVAL_SECONDS, self._merge_burn),
        ):
            self.periodics.append(periodic.start(seconds, function))
        logs.event(
            LOG,
            'router_started',
            router=settings.router_id,
            callers=self.callers.address,
            control=self.control.address,
            revision=self.keeper.revision,
        )

    def _follow(self):
        try:
            self.keeper.follow()
        except exceptions.IbisringError:
            self.metrics.count('records.follow_failed')

    def _sweep_claims(self):
        """Delete old claim rows if this router holds the lease for it."""
        if not self.reconciler.holds_share(SWEEP_LEASE):
            return
        try:
            self.claims.sweep(time.time())
        except exceptions.IbisringError:
            self.metrics.count('claims.sweep_failed')

    def _merge_burn(self):
        """Merge the tallies of a period if it is assigned to this router.

        Periods are distributed over the holders of leases, since the objects
        of one period are larger than a router's control traffic during it.
        """
        self.burn.merge(
            lambda period: self.reconciler.holds_share(
                period % reconciling.SHARE_COUNT
            )
        )

    def drain(self, sleep=time.sleep):
        """Shut down without interrupting requests.

        Reports not ready at once, accepts what the balancer still sends for
        `drain_seconds`, then waits until requests in flight have finished.
        """
        self.readiness.draining = True
        logs.event(LOG, 'router_draining')
        sleep(self.settings.drain_seconds)
        whole = self.limiter.wait_until_empty(self.settings.drain_limit)
        logs.event(LOG, 'router_drained', whole=whole)
        self._release_and_save()
        self.stop()

    def _release_and_save(self):
        """Release the leases, so that others needn't wait; save tallies."""
        periodic.stop_all(self.periodics)
        self.reconciler.release()
        self.burn.save()

    def stop(self):
        """Stop immediately."""
        periodic.stop_all(self.periodics)
        serving.stop_all([self.callers, self.control])
        self.reconciler.stop()
        self.poller.stop()
        self.peering.stop()
        self.claims.stop()
        self.placement.stop()
        self.keeper.stop()


def _start_listener(listener, name, address):
    """Start a listener.

    Raises
    ------
    InvalidSetting
        The address can't be bound.
    """
    try:
        listener.start()
    except OSError as error:
        raise settings_module.invalid_setting(
            name, address, f'an address that is free here ({error})'
        ) from error


def _create_listener(app, address, threads):
    host, _, port = address.rpartition(':')
    return serving.make_listener(app, host, int(port), threads)


def make_router(settings):
    """Create a router from validated settings."""
    return Router(settings)
