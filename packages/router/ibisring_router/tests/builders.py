"""Builders of test data: sites, routers and requests."""

__all__ = [
    'OPERATOR_KEY',
    'small_site',
    'router_settings',
    'start_router',
    'start_fleet',
    'list_vms',
    'service_runs',
    'metrics',
    'held_leases_query',
    'peer_state',
    'many_endpoints',
    'generation',
    'post',
]

from ibisring_backing import vms
from ibisring_policy import admission
from ibisring_records import configuration
from ibisring_records import records
from ibisring_router import generating
from ibisring_router import metrics as metrics_module
from ibisring_router import peering
from ibisring_router import process
from ibisring_router import reconciling
from ibisring_router import settings
from ibisring_standins import deployments
from ibisring_standins import embedded
import urllib3

OPERATOR_KEY = 'clave-de-operaciones'
ANY_PORT = '127.0.0.1:0'
HTTP = urllib3.PoolManager(maxsize=200, retries=False)


def small_site(make=deployments.cocinas, engines=6, services=2, speed=None):
    """Start the stand-ins of a small deployment."""
    return embedded.start_site(make(engines, services), speed)


def router_settings(site, **changes):
    """Return settings of a router for a site, listening on free ports."""
    values = {
        'platform': site.platform_address,
        'caller_listen': ANY_PORT,
        'control_listen': ANY_PORT,
        'operator_key_sha256': records.hash_key(OPERATOR_KEY),
        'caller_threads': 48,
        'urgent_threads': 8,
        'drain_seconds': 0.01,
        'token_timeout': 0.5,
        **changes,
    }
    return settings.check(settings.Settings(**values))


def start_router(site, **changes):
    """Start a router for a site."""
    return process.make_router(router_settings(site, **changes)).start()


def start_fleet(site, count, **changes):
    """Start routers that are all on the VM list."""
    routers = [
        start_router(site, router_id=f'router-{number}', **changes)
        for number in range(count)
    ]
    list_vms(site, routers)
    return routers


def list_vms(site, routers):
    """Put routers on the VM list and have each of them read it."""
    site.platform.vms.listed = [
        vms.Vm(
            router.settings.router_id,
            router.settings.advertise,
            router.settings.failure_domain,
        )
        for router in routers
    ]
    for router in routers:
        router.peering.refresh_vm_list()
        router.peering.probe()


def service_runs(site):
    """Return all runs of all plain services."""
    return [
        run for service in site.services.values() for run in service.ledger
    ]


def metrics():
    """Create metrics that aren't sent anywhere."""
    return metrics_module.make_metrics()


def held_leases_query():
    """Return the message that queries a lease actor for its leases."""
    return reconciling.GetLeases()


def peer_state(router_id):
    """Return a response to a probe."""
    return peering.PeerState(router_id, 'i', 1.0, 1, False)


def many_endpoints(count):
    """Return a configuration with this number of engines."""
    stored = [
        records.Stored(r.kind, r.name, r.schema, r.spec, 1, 's')
        for r in deployments.cocinas(count, 0).records
    ]
    return configuration.build(1, stored)


def generation(request_id, **changes):
    """Return a request to the model of the small deployment."""
    model = 'modelo-cocina'
    values = {
        'account': 'cocina-1',
        'target': admission.Target(model=model, version=f'{model}@1'),
        'layers': deployments.LAYERS,
        'rank': 1,
        'weight': 1.0,
        'deadline': 60.0,
        'idempotent': True,
        'prompt': 'sopa de ajo',
        'max_tokens': 12,
        **changes,
    }
    return generating.GenerationRequest(id=request_id, **values)


def post(router, path, body, account='cocina-1', **headers):
    """Send a caller's request; header names may use underscores.

    Returns
    -------
    urllib3.HTTPResponse
    """
    request_headers = {
        name.replace('_', '-'): value for name, value in headers.items()
    }
    request_headers['Authorization'] = (
        f'Bearer {deployments.account_key(account)}'
    )
    return HTTP.request(
        'POST',
        f'http://{router.callers.address}{path}',
        json=body,
        headers=request_headers,
    )
