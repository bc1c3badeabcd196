"""Tests of the room kept for urgent requests, over all routers.

Bound of the sum over all routers: the capacity, and what begins within the
time after which routers know of each other's requests.
"""

import types

import pytest

from ibisring_gateway import gossipmessages
from ibisring_gateway import rankroom
from ibisring_gateway.tests import rankload
from ibisring_policy.gateway import gossipschedule
from ibisring_policy.gateway import rankshares
from ibisring_router import logs

SIZES = (3, 30, 195)
LOADS = (0.5, 1.0, 2.0, 4.0)
URGENT, LOW = (0, 0), (0, 1)
WARMUP_SECONDS = 6.0
COUNTED_SECONDS = 8.0
# Least share of urgent requests that are served while they need at most this
# much of the capacity on average.  Beyond, how much more often than all
# requests they are served at least; without shares they are as often.
MIN_SERVED = 0.93
URGENT_CAPACITY = 0.65
MIN_URGENT_RATIO = 2.0
# Ranks that share `MIN_RANK_SHARE` are served about equally under overload.
ORDER_TOLERANCE = 0.03
# Least ratio of the share served of the lowest rank to that of all.
MIN_LOWEST_RATIO = 0.25


def _bound(routers, load):
    """Return the highest use of all routers as a share of the capacity."""
    delay = gossipschedule.CHECK_SECONDS
    if routers > gossipschedule.MAX_BROADCAST_PEERS:
        delay += gossipschedule.ROTATION_SECONDS
    return 1.0 + load * delay / rankload.MEAN_SECONDS


def _counted(fleet, until):
    fleet.clear()
    fleet.run(until)
    return fleet


def _loaded(routers, ranks, load, **changes):
    fleet = rankload.Fleet(routers, ranks, load, **changes)
    fleet.run(WARMUP_SECONDS)
    return _counted(fleet, WARMUP_SECONDS + COUNTED_SECONDS)


@pytest.mark.parametrize('routers', SIZES)
@pytest.mark.parametrize('ranks', (2, 3))
@pytest.mark.parametrize('load', LOADS)
def test_ranks_are_served_in_order_within_the_capacity(routers, ranks, load):
    """Guards against urgent requests without room, and low ones without."""
    fleet = _loaded(routers, ranks, load)
    shares = [fleet.served_share(rank) for rank in sorted(fleet.mix)]
    for higher, lower in zip(shares, shares[1:]):
        assert higher >= lower - ORDER_TOLERANCE
    assert fleet.highest_use <= _bound(routers, load)
    if load < 1.0:
        assert min(shares) > 0.99
    if load * fleet.mix[URGENT] <= URGENT_CAPACITY:
        assert shares[0] >= MIN_SERVED
    served = sum(fleet.served.values()) / sum(fleet.offered.values())
    if load * fleet.mix[URGENT] > URGENT_CAPACITY:
        assert shares[0] >= MIN_URGENT_RATIO * served
    assert shares[-1] >= MIN_LOWEST_RATIO * served


@pytest.mark.parametrize('routers', SIZES)
def test_shares_serve_more_urgent_requests(routers):
    """Guards against shares that have no effect."""
    with_shares = _loaded(routers, 2, 2.0).served_share(URGENT)
    without = _loaded(routers, 2, 2.0, older=1.0).served_share(URGENT)
    assert with_shares > without + 0.2


@pytest.mark.parametrize('routers', SIZES)
def test_low_requests_alone_use_all_room(routers):
    """Guards against room kept free for urgent requests that ended."""
    fleet = rankload.Fleet(routers, 2, 2.0)
    fleet.run(WARMUP_SECONDS)
    fleet.mix = rankload.RANKS_BY_COUNT[1]
    fleet.run(WARMUP_SECONDS + rankload.MAX_SECONDS + 11.0)
    assert fleet.use() >= 0.88


@pytest.mark.parametrize('routers', SIZES)
def test_silent_gossip_leaves_room_and_bounds_the_sum(routers):
    """Guards against each router taking the whole share without gossip."""
    fleet = rankload.Fleet(routers, 2, 2.0, silent=(8.0, 13.0))
    fleet.run(8.0)
    _counted(fleet, 13.0)
    assert fleet.served_share(URGENT) >= 0.7
    assert fleet.served[LOW]
    assert fleet.highest_use <= _bound(routers, 2.0)
    _counted(fleet, 17.0)
    assert fleet.served_share(URGENT) >= 0.8
    assert fleet.highest_use <= _bound(routers, 2.0)


@pytest.mark.parametrize('routers', SIZES)
def test_half_of_an_older_release_leaves_room(routers):
    """Guards against new routers that leave all room to older ones."""
    fleet = _loaded(routers, 2, 2.0, older=0.5)
    assert fleet.served_share(URGENT) >= fleet.served_share(LOW) + 0.15
    assert fleet.served_share(LOW) >= 0.3
    assert fleet.highest_use <= _bound(routers, 2.0)


@pytest.mark.parametrize('routers', SIZES)
def test_restart_of_all_routers_learns_the_peaks_again(routers):
    """Guards against shares of nothing, or of everything, after a start."""
    fleet = rankload.Fleet(routers, 2, 2.0)
    fleet.run(WARMUP_SECONDS)
    fleet.restart()
    _counted(fleet, WARMUP_SECONDS + 3.0)
    assert min(map(fleet.served_share, fleet.mix)) >= 0.5
    assert fleet.highest_use <= _bound(routers, 2.0)
    fleet.run(WARMUP_SECONDS + rankload.MAX_SECONDS)
    _counted(fleet, WARMUP_SECONDS + rankload.MAX_SECONDS + 8.0)
    assert fleet.served_share(URGENT) >= 0.75
    assert fleet.served_share(URGENT) >= fleet.served_share(LOW) + 0.25


def _router_with_peak():
    """Return a fleet and its only router after an urgent burst has ended."""
    fleet = rankload.Fleet(1, 2, 0.0)
    router = fleet.routers[0]
    shares = router.view.rank_shares
    shares.note_capacity(rankload.SERVICE, fleet.capacity)
    shares.reserve(rankload.SERVICE, URGENT, int(0.6 * fleet.capacity))
    shares.reserve(rankload.SERVICE, LOW, 1)
    shares.share(rankload.SERVICE, LOW, fleet.clock.now)
    shares.release(rankload.SERVICE, URGENT, int(0.6 * fleet.capacity))
    return fleet, router


def _fill(fleet, router, use, slots=0):
    for engine in fleet.engines:
        estimate = router.view.estimates.get(engine.id)
        estimate.tokens = use * fleet.capacity / len(fleet.engines)
        estimate.first_stage_requests = slots


@pytest.mark.parametrize(('use', 'slots'), [(0.45, 0), (0.0, 60)])
def test_memory_and_slots_are_bounded_by_the_share(use, slots):
    """Guards against the overcommitted second try filling the kept room."""
    fleet, router = _router_with_peak()
    _fill(fleet, router, use, slots)
    job = fleet._job(router, LOW)
    assert router.selector.choose(job, fleet.clock.now) is None
    assert router.selector.shortages(job, fleet.clock.now)
    urgent = fleet._job(router, URGENT)
    assert router.selector.choose(urgent, fleet.clock.now)
    job.exchange.headers_sent = True
    assert router.selector.choose(job, fleet.clock.now)


def test_released_attempt_leaves_no_use():
    """Guards against use that grows with each request."""
    fleet = rankload.Fleet(3, 3, 1.0)
    fleet.run(1.0)
    fleet.load = 0.0
    fleet.run(8.0)
    for router in fleet.routers:
        assert not any(router.view.rank_shares.own.values())
        assert router.view.rank_shares.use_to_send() == {}


def test_share_that_changes_is_logged_and_measured(monkeypatch):
    fleet, router = _router_with_peak()
    lines = []
    monkeypatch.setattr(
        logs, 'event', lambda log, name, **facts: lines.append((name, facts))
    )
    metrics = types.SimpleNamespace(counters={})
    monitor = rankroom.make_monitor(router.view, metrics)
    monitor.run_checks()
    monitor.run_checks()
    assert [(name, facts['rank']) for name, facts in lines] == [
        ('rank_room', '0-1')
    ]
    assert lines[0][1]['share'] == 0.4
    monitor.update_metrics()
    assert metrics.counters['rank_share.0-1'] == pytest.approx(0.4, abs=0.01)


def test_use_adds_a_few_hundred_bytes_to_a_message():
    """Guards against datagrams that are split on the way."""
    shares = rankshares.make_rank_shares()
    names = [f'service-{n}' for n in range(9)]
    shares.set_ranked({name: ((0, 0), (9, 9)) for name in names})
    for name in names:
        for number in range(20):
            shares.reserve(name, (number, number), 10**8)
    message = gossipmessages.Message('r1', {}, [])
    before = len(gossipmessages.encode(message))
    message.rank_use = shares.use_to_send()
    data = gossipmessages.encode(message)
    assert len(data) - before < 350
    assert gossipmessages.decode(data).rank_use == message.rank_use
