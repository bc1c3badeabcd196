"""Tests of tracking peer routers and fetching state from them."""

import msgspec
import pytest

from ibisring_gateway import changes
from ibisring_gateway import directory
from ibisring_gateway import following
from ibisring_gateway import gossip
from ibisring_gateway import peers
from ibisring_gateway import settings as settings_module
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import catchup
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import peerreports
from ibisring_policy.gateway import polling
from ibisring_policy.gateway import storereaders
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import routing

FOLLOWED = layerorders.StoreStatus.FOLLOWING
LOST = layerorders.StoreStatus.LOST


def _reads():
    return storereaders.Role.READS


def _hear(known, name, domain, touch, at, lost_ms=None, standing=None):
    """Have a router receive a datagram of another one."""
    neighbour = storereaders.Neighbour(name, standing) if standing else None
    heard = peerreports.PeerReport(
        name=name,
        domain=domain,
        received_at=at,
        store_status=touch,
        neighbour=neighbour,
    )
    known.heard(heard, f'{name}:1', lost_ms)


def _peers(view=None):
    settings = settings_module.Settings(
        router_id='r0',
        failure_domain='a',
        host='127.0.0.1',
        caller_listen='127.0.0.1:1',
        ready_listen='127.0.0.1:2',
        store='127.0.0.1:3',
        peer_port=0,
    )
    view = view or builders.make_view([])
    followers = following.make_followers(polling.Fleet, _reads)
    for name in (peers.TABLE, peers.ENDPOINTS):
        followers.add(name, None, name == peers.TABLE, [].append)
    return peers.make_peers(
        settings, view, builders.Leases(), [].append, followers
    )


def test_a_router_knows_its_place_among_those_that_read():
    """Two routers of each domain read, or all while these lost the store."""
    known = _peers()
    clock = builders.Clock()
    known.view.clock = clock
    known.hearing.started_at = 0.0
    served = storereaders.StoreAccess.SERVED
    for name, domain in (('q1', 'a'), ('r1', 'a'), ('s1', 'b'), ('t1', 'B')):
        _hear(known, name, domain, LOST, clock(), None, served)
    assert known.polling_slot() == polling.Fleet(4, 2, 5)
    for name in ('q1', 'r1'):
        lost = storereaders.StoreAccess.LOST
        _hear(known, name, 'a', LOST, clock(), None, lost)
    known._judge_role(clock())
    assert known.role() is storereaders.Role.ASKS
    assert known.polling_slot() == polling.Fleet(5, 1, 5)
    clock.now += 100.0
    known._judge_role(clock())
    assert known.polling_slot() == polling.Fleet(1, 0, 1)


def test_what_others_say_of_the_store_is_passed_on():
    """Failure: routers wait on a store that another one knows is lost.

    The store stops answering; one router's call times out, and the others
    keep waiting for seconds, even after the store is back, because they
    ignore the store status in that router's messages.
    """
    known = _peers()
    said = []
    known.followers.told_of_loss = said.append
    known.followers.returned = lambda: said.append('back')
    told = ((FOLLOWED, None), (LOST, 500), (FOLLOWED, 800))
    for touch, lost_ms in told:
        _hear(known, 'r1', 'a', touch, 10.0, lost_ms)
    assert said == [9.5, 9.2, 'back']


def test_a_router_that_is_ahead_is_asked():
    """Failure: a revoked key works until the store call times out.

    The connection to the store hangs; other routers have read the change
    and send its version, but only the end of the own call is acted upon.
    """
    known = _peers()
    view = known.view
    telling = gossip.Gossip.__new__(gossip.Gossip)
    telling.view, telling.peers = view, known
    news = gossip.Told('r1', {}, [], changed=0, table=view.snapshot.version)
    telling.take(news, ('10.0.0.1', 7000))
    assert known.catchup.behind_since is None
    news.table += 1
    telling.take(news, ('10.0.0.1', 7000))
    since = known.catchup.behind_since
    assert known.catchup.newest_peer == 'r1'
    assert known.others()[0].address == '10.0.0.1:7000'
    assert known.catchup.is_due(since + catchup.MAX_LAG_SECONDS, 0.0, 6)
    known.catchup.expire(since + 10.0)
    assert known.catchup.newest_peer is None


def test_a_router_nearby_is_asked_first():
    """Failure: lists of endpoints are fetched across failure domains.

    With 88 routers and 95 endpoints each change costs 88 lists of 14 KB, of
    which two thirds would cross links between domains.
    """
    known = _peers()
    for name, domain in (('far', 'b'), ('near', 'a'), ('away', 'c')):
        _hear(known, name, domain, LOST, 10.0)
        known.behind(name, 10.0)
    assert known.catchup.newest_peer == 'near'


@pytest.mark.parametrize('count', (6, 83))
def test_what_others_know_of_the_store_is_forgotten(count):
    """Failure: no router sends orders for seconds after a router was killed.

    The store fails together with the router that would take the lead, and
    that router still counts as running, for as long as in the retry budget.
    """
    known = _peers()
    for number in range(1, count):
        _hear(known, f'r{number}', 'a', LOST, 10.0)
    assert len(known.store_statuses(11.0)) == count - 1
    assert (
        known.store_statuses(10.0 + peerreports.ROUTER_TIMEOUT_SECONDS) == {}
    )
    if count == 6:
        assert (
            known.store_statuses(10.0 + peerreports.STORE_STATUS_SECONDS) == {}
        )


def test_holdings_that_engines_told_another_router_are_taken():
    known = _peers()
    told = []
    telling = gossip.Gossip.__new__(gossip.Gossip)
    telling.view, telling.peers, telling.tell = known.view, known, told.append
    news = gossip.Told('r1', {}, [], held={'x': (5, 0, 8)}, term=4, touch=LOST)
    data = msgspec.msgpack.encode(news)
    told_us = msgspec.msgpack.decode(data, type=gossip.Told)
    telling.take(told_us, ('10.0.0.1', 7))
    assert told == [directory.HoldingReport('x', 5, routing.Holding(0, 8))]
    assert known.view.term == 4


def test_what_is_told_to_a_peer():
    known = _peers()
    version = known.view.snapshot.version
    assert known.state_for(version).table is None
    assert known.state_for(version - 1).table.version == version


def test_what_another_router_gave_is_gone_on_from():
    """Failure: a router fetches the whole list from peers again and again.

    It misses one change and fetches all endpoints from a peer, but does not
    record their version as known, so that it rejects the next change too.
    """
    known = _peers()
    for follower in known.followers.members.values():
        follower.position = 5
    state = peers.State(9, 0.0, 0.0, 20, build.table(9), [], 19)
    known._take('r1', state)
    for name, before in ((peers.ENDPOINTS, 20), (peers.TABLE, 19)):
        told = changes.Changes(name == peers.TABLE, before, 25, 25)
        assert known.followers.take(name, told)


def test_store_and_routers_are_asked_in_turn():
    """Failure: either the store or the peers can't provide what was missed."""
    known = catchup.make_catchup()
    asked = []
    for turn in range(4):
        known.queried(turn, not known.queried_store)
        asked.append(known.queried_store)
    assert asked == [True, False, True, False]
