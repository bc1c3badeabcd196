"""Runs platform, engines and services as stand-ins within one process.

Each engine and service has its own listener, so that one can be stopped
independently of the others.
"""

__all__ = ['Site', 'start_site']

from ibisring_records import conversion
from ibisring_records import records
from ibisring_records import submitting
from ibisring_standins import engine as engine_module
from ibisring_standins import engineserver
from ibisring_standins import faults
from ibisring_standins import platformserver
from ibisring_standins import service as service_module
from ibisring_web import serving

ENGINE_THREADS = 24
SERVICE_THREADS = 24
PLATFORM_THREADS = 16
SUBMISSION = 'embedded-default'


class Site:
    """A running set of stand-ins.

    Attributes
    ----------
    platform : platformserver.Platform
    engines : dict of str to engineserver.EngineServer
    services : dict of str to service.PlainService
    listeners : dict of str to serving.Listener
        By endpoint name; 'platform' for the platform.
    """

    def __init__(self):
        self.platform = platformserver.make_platform()
        self.engines = {}
        self.services = {}
        self.listeners = {}

    @property
    def platform_address(self):
        return self.listeners['platform'].address

    def listen(self, name, app, threads, port=0):
        """Serve an application, and return its 'IP:PORT'."""
        listener = serving.make_listener(app, port=port, threads=threads)
        listener.start()
        self.listeners[name] = listener
        return listener.address

    def kill(self, name):
        """Stop an endpoint: connections are closed, and new ones refused."""
        self.listeners.pop(name).stop()

    def stop(self):
        # Replacing the fault switches ends the hangs that they simulate.
        for server in self.engines.values():
            server.engine.faults = faults.EngineFaults()
        for service in self.services.values():
            service.faults = faults.ServiceFaults()
        serving.stop_all(self.listeners.values())
        self.listeners.clear()


def _start_endpoint(site, record, speed):
    """Start the stand-in of an endpoint record and fill in its address."""
    placeholder = {**record.spec, 'address': '127.0.0.1:1'}
    spec = conversion.read_spec('endpoint', 'v2', placeholder)
    if spec.service:
        service = service_module.make_service(record.name, spec.slots)
        site.services[record.name] = service
        app = service_module.make_app(service)
        threads = SERVICE_THREADS
    else:
        engine = engine_module.make_engine(record.name, spec)
        server = engineserver.make_server(engine, speed)
        site.engines[record.name] = server
        app = engineserver.make_app(server)
        threads = ENGINE_THREADS
    record.spec['address'] = site.listen(record.name, app, threads)


def start_site(deployment, speed=None):
    """Start stand-ins for a deployment whose records are stored already.

    Parameters
    ----------
    deployment : deployments.Deployment
        Its endpoint addresses are replaced by the actual ones.
    speed : engineserver.Speed or None

    Returns
    -------
    Site
    """
    site = Site()
    site.listen(
        'platform',
        platformserver.make_app(site.platform),
        PLATFORM_THREADS,
    )
    for record in deployment.records:
        if record.kind == 'endpoint':
            _start_endpoint(site, record, speed)
    submission = records.Submission(SUBMISSION, deployment.records)
    change = submitting.make_change(submission, {})
    site.platform.table.commit({}, submitting.rows_to_write(change))
    return site
