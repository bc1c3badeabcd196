"""The client of the control interface queries routers concurrently."""

import threading

import pytest

from ibisring_operator import client
from ibisring_web import routes
from ibisring_web import serving

ROUTERS = 3


@pytest.fixture
def listeners():
    """Routers that respond only once all of them have been queried."""
    all_queried = threading.Barrier(ROUTERS)
    started = []

    def list_vms(request):
        entries = [
            {'id': f'r{number}', 'address': each.address}
            for number, each in enumerate(started)
        ]
        return routes.json_response(entries)

    def router_status(request):
        all_queried.wait(timeout=1.0)
        return routes.json_response({'router': 'r', 'revision': 7})

    app = routes.Application(
        [
            routes.route('GET', '/v1/vms', list_vms),
            routes.route('GET', '/v1/in-force', router_status),
        ]
    )
    for _ in range(ROUTERS):
        started.append(serving.make_listener(app, threads=2).start())
    yield started
    serving.stop_all(started)


def test_routers_are_queried_concurrently(listeners):
    """Failure: `watch` takes minutes while a few routers are frozen.

    Queried one after the other, each frozen router costs a timeout.
    """
    views = client.make_client(listeners[0].address, 'k').router_views()
    assert [view.revision for view in views] == [7] * ROUTERS
    assert not any(view.problem for view in views)
