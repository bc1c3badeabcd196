"""Endpoints that name a limit, behind real processes."""

import statistics

from ibisring_soak import limited
from ibisring_soak import world as world_module

SERVED = 0.95
# Share of a limit that is used where there is demand for more.
USED = 0.5
# Seconds within which half of what has no room is refused.
AT_ONCE = 0.25


def _play(folder, load, engines, services, choose=None):
    world = world_module.make_world(folder, 3, engines, services)
    try:
        world.start()
        if choose is not None:
            load = choose(world, load)
        return load, limited.play(world, load)
    finally:
        world.stop()


def _kept(load, seen):
    for name, said in load.limits.items():
        runs = seen.runs_of(name)
        most = limited.most_within(runs, limited.WINDOW)
        assert most <= limited.allowed(float(said)), name


def test_others_take_what_a_limited_endpoint_may_not(tmp_path):
    """Failure: an endpoint in need gets as many requests as the others."""
    load = limited.Load({'p1': '1'})
    load, seen = _play(tmp_path, load, 0, 2)
    _kept(load, seen)
    calls = seen.later_calls()
    served = [call for call in calls if call.status == 200]
    assert len(served) >= SERVED * len(calls)


def test_what_no_endpoint_takes_is_refused_at_once(tmp_path):
    """Failure: endpoints get more than they take, and nothing is refused."""
    load = limited.Load({'p1': '4', 'p2': '2'})
    load, seen = _play(tmp_path, load, 0, 2)
    _kept(load, seen)
    used = sum(len(seen.runs_of(name)) for name in load.limits)
    assert used >= USED * 6.0 * seen.seconds()
    refused = [call for call in seen.later_calls() if call.status == 503]
    assert len(refused) > 50
    assert statistics.median(call.seconds for call in refused) < AT_ONCE
    assert all(call.retry_after for call in refused)
    assert len({call.retry_after for call in refused}) > len(refused) / 2


def test_the_limited_first_engines_of_a_domain_are_spared(tmp_path):
    """Failure: they get all the streams of their failure domain."""

    def choose(world, load):
        heads = [
            name
            for name, engine in sorted(world.site.engines.items())
            if engine.layers['From'] == 0 and engine.zone == 'a'
        ]
        return limited.Load(dict.fromkeys(heads, '1'), 'stream', rate=12.0)

    load, seen = _play(tmp_path, limited.Load({}), 8, 0, choose)
    _kept(load, seen)
    calls = seen.later_calls()
    served = [call for call in calls if call.status == 200]
    assert len(served) >= SERVED * len(calls)
