"""Routers that lose their own links to endpoints, as real processes."""

import collections
import concurrent.futures
import time

from ibisring_soak import asking
from ibisring_soak import cutload
from ibisring_soak import endpointlinks
from ibisring_soak import world as world_module
import pytest

CUT_SECONDS = 6.0
# Time from the start of a cut after which its callers must be served.
CONTACT_SECONDS = 3.0
# Share of the others' service that callers of cut routers get at least, and
# of first attempts that may fail in all.
MIN_RELATIVE_SHARE = 2 / 3
MAX_FAILED_SHARE = 1 / 50
KINDS = ('safe', 'once', 'stream')


class CutRun:
    """What callers got while one of three routers was cut off.

    `cut_at` is in monotonic seconds; `runs` counts by request how often it
    ran at plain endpoints.
    """

    def __init__(self, world, how):
        self.cut_names = {world.routers[0].name}
        self.other_names = {each.name for each in world.routers[1:]}
        load = cutload.make_load(world)
        load.run(1.0)
        self.cut_at = time.monotonic()
        world.routers[0].endpoint_links.cut(how)
        load.name = 'cut'
        load.run(CUT_SECONDS)
        world.routers[0].endpoint_links.restore()
        load.wait()
        self.calls = load.calls
        self.runs = collections.Counter(
            run[0] for run in world.site.runs() if run[1].startswith('p')
        )

    def served(self, names, since, kind):
        """Return a `cutload.Served` of requests sent after the cut."""
        return cutload.served(self.calls, names, self.cut_at + since, kind)


@pytest.fixture(scope='module', params=list(endpointlinks.Cut))
def cut_run(request, tmp_path_factory):
    folder = tmp_path_factory.mktemp('cut')
    world = world_module.make_world(folder, own_links=True)
    try:
        world.start()
        yield CutRun(world, request.param)
    finally:
        world.stop()


@pytest.mark.parametrize('kind', KINDS)
def test_callers_of_a_router_without_links_to_endpoints_are_served(
    cut_run, kind
):
    """Guards against a router that refuses all while its peers serve."""
    at_cut = cut_run.served(cut_run.cut_names, CONTACT_SECONDS, kind)
    at_others = cut_run.served(cut_run.other_names, CONTACT_SECONDS, kind)
    assert at_cut.share >= MIN_RELATIVE_SHARE * at_others.share


@pytest.mark.parametrize('kind', KINDS)
def test_a_router_without_links_takes_no_endpoints_from_the_others(
    cut_run, kind
):
    """Guards against believing reports of a router that reaches nothing."""
    found = cut_run.served(cut_run.other_names, 0.0, kind)
    assert found.share >= 1.0 - MAX_FAILED_SHARE, found


def test_a_request_that_may_run_once_runs_once_over_two_routers(cut_run):
    """Guards against a second run by way of another router."""
    once = [call.name for _, kind, call in cut_run.calls if kind == 'once']
    assert [name for name in once if cut_run.runs[name] > 1] == []


def test_links_that_fail_convict_no_request(tmp_path):
    """Guards against taking an endpoint behind a cut for one that crashed."""
    world = world_module.make_world(tmp_path, own_links=True)
    try:
        world.start()
        for service in world.site.services.values():
            service.seconds = 0.3
        statuses = [lose_a_request(world, f'c{n}') for n in range(6)]
        last = asking.send(world.routers[0], 'last', 'once', b'innocent')
    finally:
        world.stop()
    assert 503 not in statuses and last.status == 200


def lose_a_request(world, name):
    """Cut the first router off from a request, and return its status."""
    router = world.routers[0]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(asking.send, router, name, 'once', b'innocent')
        time.sleep(0.15)
        router.endpoint_links.cut(endpointlinks.Cut.RESET)
        status = call.result().status
    router.endpoint_links.restore()
    time.sleep(1.0)
    return status
