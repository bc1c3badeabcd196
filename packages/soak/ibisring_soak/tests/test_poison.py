"""Requests that crash the endpoints which run them, on real processes."""

import statistics

from ibisring_soak import poison
from ibisring_soak import world as world_module
import pytest

# Bound on poison runs after all routers have been informed.
MAX_LATE_RUNS = 3
MIN_SERVED_SHARE = 0.9
# Bound on the median time until a blocked request is refused.
MAX_REFUSAL_SECONDS = 0.25


def _run_load(folder, load, engines, services):
    world = world_module.make_world(folder, 3, engines, services)
    try:
        world.start()
        return poison.run_load(world, load)
    finally:
        world.stop()


@pytest.mark.parametrize(
    ('kind', 'engines', 'services'), [('safe', 0, 6), ('stream', 8, 0)]
)
def test_a_request_that_crashes_its_endpoints_is_blocked(
    kind, engines, services, tmp_path
):
    """Failure: a repeated request crashes one endpoint after another."""
    observed = _run_load(tmp_path, poison.Load(kind), engines, services)
    assert len(observed.late_runs()) <= MAX_LATE_RUNS, len(observed.crashes)
    refusals = observed.refusals()
    assert len(refusals) > 10
    for call in refusals:
        assert call.status == poison.REFUSED
        assert call.retry_after > 0
    assert (
        statistics.median(call.seconds for call in refusals)
        < MAX_REFUSAL_SECONDS
    )
    assert observed.served_share() >= MIN_SERVED_SHARE
    assert observed.served_share(poison.POPULAR) >= MIN_SERVED_SHARE
