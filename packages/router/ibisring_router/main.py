"""The ``ibisring-router`` command."""

__all__ = ['app', 'run']

import signal
import sys
import threading

from ibisring_backing import vms
from ibisring_records import exceptions
from ibisring_records import records
from ibisring_router import logs
from ibisring_router import process
from ibisring_router import settings as settings_module
from ibisring_standins import deployments
from ibisring_standins import embedded
from ibisring_standins import engineserver
import typer

app = typer.Typer(add_completion=False)
DEMO_OPERATOR_KEY = 'demo-operator-key'
DEMO_ENGINES = 6
DEMO_SERVICES = 2
DEMO_SPEED = engineserver.Speed(step_seconds=0.002, prefill_seconds=0.0001)
EXIT_INVALID_SETTING = 2


def _option(name, text):
    variable = 'IBISRING_' + name.upper()
    default = settings_module.Settings.__struct_defaults__[
        settings_module.Settings.__struct_fields__.index(name)
    ]
    flag = '--' + name.replace('_', '-')
    return typer.Option(default, flag, envvar=variable, help=text)


@app.command()
def run(
    platform: str = _option('platform', 'IP:PORT, or "embedded".'),
    router_id: str = _option('router_id', 'Id of this VM in the VM list.'),
    failure_domain: str = _option(
        'failure_domain', 'Failure domain of this VM.'
    ),
    caller_listen: str = _option('caller_listen', 'IP:PORT for callers.'),
    control_listen: str = _option(
        'control_listen', 'IP:PORT for operators and peers.'
    ),
    advertise: str = _option('advertise', 'IP:PORT that peers use.'),
    statsd: str = _option('statsd', 'IP:PORT of a statsd.'),
    operator_key_sha256: str = _option(
        'operator_key_sha256', 'Hash of the first operator key.'
    ),
    caller_threads: int = _option(
        'caller_threads', 'Maximum concurrent requests.'
    ),
    urgent_threads: int = _option(
        'urgent_threads', 'How many of these are reserved for urgent requests.'
    ),
    control_threads: int = _option(
        'control_threads', 'Threads for operators and peers.'
    ),
    token_timeout: float = _option(
        'token_timeout',
        'Seconds without a token after which an attempt is resumed.',
    ),
    connect_timeout: float = _option(
        'connect_timeout', 'Seconds to open a connection.'
    ),
    service_timeout: float = _option(
        'service_timeout', 'Seconds for one attempt at a service.'
    ),
    poll_seconds: float = _option(
        'poll_seconds', 'Seconds between reads of the newest revision.'
    ),
    probe_seconds: float = _option(
        'probe_seconds', 'Seconds between probes of peers.'
    ),
    status_seconds: float = _option(
        'status_seconds', 'Seconds between reads of endpoint status.'
    ),
    drain_seconds: float = _option(
        'drain_seconds',
        'Seconds after SIGTERM in which callers are still accepted.',
    ),
    drain_limit: float = _option(
        'drain_limit', 'Maximum seconds to wait for requests in flight.'
    ),
    lease_seconds: float = _option(
        'lease_seconds', 'Duration of a lease in seconds.'
    ),
    claim_seconds: float = _option(
        'claim_seconds', 'Seconds for which an Idempotency-Key is remembered.'
    ),
    most_peers: int = _option('most_peers', 'Peers probed directly.'),
    most_attempts: int = _option(
        'most_attempts', 'Attempts and resumptions of one request; 1 for none.'
    ),
    peer_keys: str = _option(
        'peer_keys', 'KEY,... accepted from peers; the first is sent.'
    ),
    table_reads: int = _option(
        'table_reads', 'Reads per second of the table service, by all routers.'
    ),
    table_writes: int = _option(
        'table_writes', 'Writes per second to it, by all routers.'
    ),
):
    """Run a router until SIGTERM; finish requests in flight, then exit."""
    values = dict(locals())
    logs.configure()
    try:
        router, site = _start(values)
    except exceptions.InvalidSetting as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID_SETTING) from error
    _print_addresses(router, site)
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    stop_requested.wait()
    router.drain()
    if site is not None:
        site.stop()
    sys.exit(0)


def _start(values):
    """Start the router, and stand-ins if the platform is embedded."""
    settings = settings_module.check(settings_module.Settings(**values))
    if settings.platform != settings_module.EMBEDDED:
        return process.make_router(settings).start(), None
    site = _start_stand_ins(settings)
    try:
        router = process.make_router(settings).start()
    except exceptions.IbisringError:
        site.stop()
        raise
    _register_in_vm_list(router, site)
    return router, site


def _start_stand_ins(settings):
    """Start stand-ins of a small Cocinas del Norte site in this process."""
    deployment = deployments.cocinas(DEMO_ENGINES, DEMO_SERVICES)
    site = embedded.start_site(deployment, DEMO_SPEED)
    settings.platform = site.platform_address
    if not settings.operator_key_sha256:
        settings.operator_key_sha256 = records.hash_key(DEMO_OPERATOR_KEY)
    return site


def _register_in_vm_list(router, site):
    settings = router.settings
    site.platform.vms.listed = [
        vms.Vm(settings.router_id, settings.advertise, settings.failure_domain)
    ]
    router.peering.refresh_vm_list()


def _print_addresses(router, site):
    typer.echo(f'callers:  http://{router.callers.address}')
    typer.echo(f'control:  http://{router.control.address}')
    if site is None:
        return
    key = deployments.account_key('oficina-calidad')
    typer.echo(f'platform: http://{site.platform_address}')
    typer.echo(f'operator key: {DEMO_OPERATOR_KEY}')
    typer.echo(
        f'try: curl -sN http://{router.callers.address}/v1/completions'
        f" -H 'Authorization: Bearer {key}'"
        ' -d \'{"model": "modelo-cocina", "prompt": "sopa de ajo",'
        ' "max_tokens": 20, "stream": true}\''
    )


if __name__ == '__main__':
    app()
