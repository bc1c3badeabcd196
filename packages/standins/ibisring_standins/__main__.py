"""Runs stand-ins as separate processes."""

import json
import pathlib
import threading

from ibisring_records import conversion
from ibisring_records import exceptions
from ibisring_records import records
from ibisring_records import submitting
from ibisring_standins import deployments
from ibisring_standins import embedded
from ibisring_standins import engine as engine_module
from ibisring_standins import engineserver
from ibisring_standins import platformserver
from ibisring_standins import service as service_module
import msgspec
import typer

app = typer.Typer(help=__doc__, add_completion=False)


def _serve_forever(site):
    for name, listener in site.listeners.items():
        typer.echo(f'{name} {listener.address}')
    threading.Event().wait()


@app.command()
def platform(port: int = 9000, load: str = ''):
    """Run the platform, with the records of the deployment LOAD if given."""
    site = embedded.Site()
    if load:
        deployment = deployments.DEPLOYMENTS[load]()
        submission = records.Submission('loaded', deployment.records)
        change = submitting.make_change(submission, {})
        site.platform.table.commit({}, submitting.rows_to_write(change))
    platform_app = platformserver.make_app(site.platform)
    site.listen('platform', platform_app, embedded.PLATFORM_THREADS, port)
    _serve_forever(site)


@app.command()
def endpoints(
    file: pathlib.Path,
    names: list[str] = typer.Option(
        [], '--name', help='Run only these endpoints.'
    ),
    step_ms: float = 2.0,
    prefill_ms: float = 0.1,
):
    """Run the engines and services of a record file."""
    site = embedded.Site()
    speed = engineserver.Speed(step_ms / 1000, prefill_ms / 1000)
    for raw_record in json.loads(file.read_text()):
        record = msgspec.convert(raw_record, records.Submitted)
        if record.kind != 'endpoint':
            continue
        if names and record.name not in names:
            continue
        _start_endpoint(site, record, speed)
    if not site.listeners:
        raise exceptions.InvalidSetting(f'{file} has no matching endpoint')
    _serve_forever(site)


def _start_endpoint(site, record, speed):
    spec = conversion.read_spec('endpoint', record.schema, record.spec)
    port = int(spec.address.rpartition(':')[2])
    if spec.service:
        service = service_module.make_service(record.name, spec.slots)
        endpoint_app = service_module.make_app(service)
    else:
        engine = engine_module.make_engine(record.name, spec)
        server = engineserver.make_server(engine, speed)
        endpoint_app = engineserver.make_app(server)
    site.listen(record.name, endpoint_app, embedded.ENGINE_THREADS, port)


@app.command()
def examples(directory: pathlib.Path):
    """Write the record files of all sample deployments."""
    directory.mkdir(exist_ok=True)
    for name, make in deployments.DEPLOYMENTS.items():
        raw_records = msgspec.to_builtins(make().records)
        for record in raw_records:
            record.pop('revision')
            record.pop('deleted')
        text = json.dumps(raw_records, indent=1) + '\n'
        (directory / f'{name}.json').write_text(text)


if __name__ == '__main__':
    app()
