"""Rate limits that endpoints declare, with real gateway processes."""

import statistics

from ibisring_soak import ratelimits
from ibisring_soak import world as world_module

MIN_SERVED_SHARE = 0.95
# Share of the limits that is used if the load is above them.
MIN_USED_SHARE = 0.5
# Bound on the median time until a request above the limits is refused.
MAX_REFUSAL_SECONDS = 0.25


def _run_load(folder, load, engines, services, choose=None):
    world = world_module.make_world(folder, 3, engines, services)
    try:
        world.start()
        if choose is not None:
            load = choose(world, load)
        return load, ratelimits.run_load(world, load)
    finally:
        world.stop()


def _assert_limits_enforced(load, observed):
    for name, limit in load.limits.items():
        runs = observed.runs_of(name)
        count = ratelimits.max_in_window(runs, ratelimits.WINDOW_SECONDS)
        assert count <= ratelimits.max_allowed_requests(float(limit)), name


def test_other_endpoints_serve_what_exceeds_a_limit(tmp_path):
    """Failure: a limited endpoint gets as many requests as the others."""
    load = ratelimits.Load({'p1': '1'})
    load, observed = _run_load(tmp_path, load, 0, 2)
    _assert_limits_enforced(load, observed)
    calls = observed.limited_calls()
    served = [call for call in calls if call.status == 200]
    assert len(served) >= MIN_SERVED_SHARE * len(calls)


def test_load_above_all_limits_is_refused_immediately(tmp_path):
    """Failure: endpoints get more than their limits; nothing is refused."""
    load = ratelimits.Load({'p1': '4', 'p2': '2'})
    load, observed = _run_load(tmp_path, load, 0, 2)
    _assert_limits_enforced(load, observed)
    used = sum(len(observed.runs_of(name)) for name in load.limits)
    assert used >= MIN_USED_SHARE * 6.0 * observed.seconds()
    refused = [call for call in observed.limited_calls() if call.status == 503]
    assert len(refused) > 50
    assert (
        statistics.median(call.seconds for call in refused)
        < MAX_REFUSAL_SECONDS
    )
    assert all(call.retry_after for call in refused)
    assert len({call.retry_after for call in refused}) > len(refused) / 2


def test_limits_of_all_first_stages_of_a_domain_are_enforced(tmp_path):
    """Failure: they get all streams of their failure domain."""

    def choose(world, load):
        first_stages = [
            name
            for name, engine in sorted(world.site.engines.items())
            if engine.layers['From'] == 0 and engine.zone == 'a'
        ]
        return ratelimits.Load(
            dict.fromkeys(first_stages, '1'), 'stream', rate=12.0
        )

    load, observed = _run_load(tmp_path, ratelimits.Load({}), 8, 0, choose)
    _assert_limits_enforced(load, observed)
    calls = observed.limited_calls()
    served = [call for call in calls if call.status == 200]
    assert len(served) >= MIN_SERVED_SHARE * len(calls)
