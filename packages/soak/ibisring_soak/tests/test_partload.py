"""A part of prompts that crashes endpoints, on real processes."""

import pytest

from ibisring_soak import partload
from ibisring_soak import poison
from ibisring_soak import world as world_module

ROUTERS = 3
ENGINES = 24
MAX_LATE_RUNS = 3
MIN_SERVED_SHARE = 0.97
MIN_SETTLED = 20


@pytest.mark.parametrize(
    'load',
    [
        partload.PartLoad(),
        partload.PartLoad(events=1),
        partload.PartLoad(keeps_port=True),
    ],
    ids=['before-the-first-event', 'after-it', 'port-stays-open'],
)
def test_part_that_crashes_endpoints_is_blocked(load, tmp_path):
    """Guards against one part of all prompts that ends every endpoint."""
    world = world_module.make_world(tmp_path, ROUTERS, ENGINES, 0)
    try:
        world.start()
        observed = partload.run_load(world, load)
    finally:
        world.stop()
    summary = f'{len(observed.crashes)} crashes'
    assert len(observed.late_runs()) <= MAX_LATE_RUNS, summary
    for call in observed.refusals():
        assert call.status == poison.REFUSED, summary
        assert call.retry_after > 0
    for calls in (observed.sound_calls, observed.neighbour_calls):
        settled, served = observed.served(calls)
        assert len(settled) >= MIN_SETTLED
        assert len(served) >= MIN_SERVED_SHARE * len(settled), summary
