"""HTTP server of the platform stand-in."""

__all__ = ['Platform', 'make_platform', 'make_app']

from ibisring_backing import tables
from ibisring_backing import vms
from ibisring_backing import weights
from ibisring_records import exceptions
from ibisring_standins import faults
from ibisring_standins import memory
from ibisring_web import routes


class Platform:
    """The four platform services, in memory."""

    __slots__ = ('table', 'objects', 'vms', 'weights')

    def __init__(self):
        self.table = memory.MemoryTable()
        self.objects = memory.MemoryObjects()
        self.vms = memory.MemoryVms()
        self.weights = memory.MemoryWeights()

    def set_faults(self, name, switches):
        """Replace the fault switches of the service `name`."""
        getattr(self, name).faults = switches


def make_platform():
    """Make an empty platform."""
    return Platform()


class _Handlers:
    def __init__(self, platform):
        self.platform = platform

    def read(self, request):
        message = routes.read_body(request, tables.ReadRequest)
        found = self.platform.table.read(message.keys)
        return routes.json_response(tables.Rows(list(found.values())))

    def scan(self, request):
        found = self.platform.table.scan(
            request.args.get('prefix', ''),
            request.args.get('after', ''),
            int(request.args.get('limit', tables.SCAN_PAGE)),
        )
        return routes.json_response(tables.Rows(found))

    def commit(self, request):
        message = routes.read_body(request, tables.CommitRequest)
        versions = self.platform.table.commit(
            message.expected, message.puts, message.deletes
        )
        return routes.json_response(tables.Versions(versions))

    def put_object(self, request, name):
        value = routes.read_body(request, object)
        self.platform.objects.put(name, value)
        return routes.json_response({})

    def get_object(self, request, name):
        value = self.platform.objects.get(name)
        if value is None:
            raise exceptions.NotFound(f'object {name}')
        return routes.json_response(value)

    def list_objects(self, request):
        prefix = request.args.get('prefix', '')
        return routes.json_response(self.platform.objects.names(prefix))

    def list_vms(self, request):
        return routes.json_response(self.platform.vms.read())

    def set_vms(self, request):
        self.platform.vms.listed = routes.read_body(request, list[vms.Vm])
        return routes.json_response({})

    def weight_limit(self, request):
        rate = self.platform.weights.limit()
        return routes.json_response(weights.WeightLimit(rate))

    def set_faults(self, request, name):
        switches = routes.read_body(request, faults.PlatformFaults)
        self.platform.set_faults(name, switches)
        return routes.json_response(switches)


def make_app(platform):
    """Make the WSGI application of a platform stand-in."""
    handlers = _Handlers(platform)
    return routes.Application(
        [
            routes.route('POST', '/table/read', handlers.read),
            routes.route('GET', '/table/scan', handlers.scan),
            routes.route('POST', '/table/commit', handlers.commit),
            routes.route('PUT', '/objects/<path:name>', handlers.put_object),
            routes.route('GET', '/objects/<path:name>', handlers.get_object),
            routes.route('GET', '/objects', handlers.list_objects),
            routes.route('GET', '/vms', handlers.list_vms),
            routes.route('PUT', '/vms', handlers.set_vms),
            routes.route('GET', '/weights/limit', handlers.weight_limit),
            routes.route(
                'PUT',
                '/faults/<any(table,objects,vms,weights):name>',
                handlers.set_faults,
            ),
        ]
    )
