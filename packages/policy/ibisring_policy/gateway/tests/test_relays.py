"""Tests of which router a request is handed to."""

import collections
import random

from ibisring_policy.gateway import relays
import pytest

NOW = 100.0


def candidate(name='r1', domain='a', heard_at=NOW, **state):
    """Return a router that takes requests."""
    values = {'takes_requests': True, **state}
    return relays.Candidate(
        name, '10.0.0.1:7000', domain, heard_at, relays.PeerState(**values)
    )


def choose(candidates, table=None, **options):
    """Return the name of the router chosen, None without one."""
    table = table or relays.make_relays('a')
    rng = random.Random(1)
    found = table.choose(candidates, 's', NOW, rng, **options)
    return found.name if found else None


@pytest.mark.parametrize(
    'peer',
    [
        candidate(takes_requests=False),
        candidate(cut_from=frozenset(['s'])),
        candidate(heard_at=NOW - relays.HEARD_SECONDS),
    ],
    ids=['older release or ending', 'cut off as well', 'silent'],
)
def test_a_router_that_can_not_serve_it_is_not_asked(peer):
    assert choose([peer]) is None
    assert choose([peer, candidate('r2')]) == 'r2'


def test_a_router_that_reaches_other_services_only_is_not_asked():
    assert choose([candidate(cut_from=frozenset(['t']))]) == 'r1'


def test_a_router_that_failed_the_request_is_not_asked_again():
    assert choose([candidate()], excluded={'r1'}) is None


def test_a_router_that_did_not_take_one_is_spared_for_a_moment():
    """Guards against a delay of each request by the same frozen router."""
    table = relays.make_relays('a')
    table.not_taken('r1', 's', NOW - 0.5)
    assert choose([candidate()], table) is None
    table.not_taken('r1', 's', NOW - relays.AVOID_SECONDS)
    assert choose([candidate()], table) == 'r1'


def test_the_own_domain_comes_first():
    """Guards against traffic between domains without need."""
    peers = [candidate('near', active=8), candidate('far', 'b', active=2)]
    assert choose(peers) == 'near'


def test_another_domain_helps_out_a_crowded_one():
    """Guards against a flood at the last router of a domain."""
    peers = [candidate('near', active=40), candidate('far', 'b', active=2)]
    assert choose(peers) == 'far'


def test_requests_spread_over_the_routers():
    """Guards against all requests of a moment at the same router."""
    table = relays.make_relays('a')
    rng = random.Random(7)
    peers = [candidate(f'r{number}') for number in range(4)]
    counts = collections.Counter()
    for _ in range(80):
        found = table.choose(peers, 's', NOW, rng)
        table.started(found.name)
        counts[found.name] += 1
    assert len(counts) == 4 and max(counts.values()) <= 24


def test_requests_that_ended_no_longer_count():
    table = relays.make_relays('a')
    table.started('r1')
    table.ended('r1')
    assert table.outstanding == {}


@pytest.mark.parametrize('size', [6, 91, 195])
def test_half_of_a_fleet_does_not_flood_a_few_of_the_others(size):
    """Guards against all cut routers choosing the same ones.

    Each cut router learns the others' load once a second.
    """
    rng = random.Random(size)
    domains = 'abc'
    cut = [f'r{n}' for n in range(size // 2)]
    rest = {f'r{n}': domains[n % 3] for n in range(size // 2, size)}
    tables = {
        name: relays.make_relays(domains[int(name[1:]) % 3]) for name in cut
    }
    active = collections.Counter()
    for second in range(5):
        known = [
            candidate(name, domain, active=active[name])
            for name, domain in rest.items()
        ]
        active.clear()
        for name in cut * 8:
            found = tables[name].choose(known, 's', NOW, rng)
            active[found.name] += 1
    mean = sum(active.values()) / len(rest)
    assert max(active[name] for name in rest) <= 3.0 * mean


def test_router_that_is_not_ready_is_left_out_for_a_short_time():
    """Guards against one that shortens a longer avoidance."""
    table = relays.make_relays('a')
    table.not_ready('r1', 's', NOW - 0.5 * relays.UNREADY_SECONDS)
    assert choose([candidate()], table) is None
    table = relays.make_relays('a')
    table.not_ready('r1', 's', NOW - relays.UNREADY_SECONDS)
    assert choose([candidate()], table) == 'r1'
    table.not_taken('r1', 's', NOW - 0.5)
    table.not_ready('r1', 's', NOW - relays.UNREADY_SECONDS)
    assert choose([candidate()], table) is None
