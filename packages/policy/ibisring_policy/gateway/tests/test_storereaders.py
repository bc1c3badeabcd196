"""Tests of which routers read the store for others."""

import pytest

from ibisring_policy.gateway import storereaders

LOST = storereaders.StoreAccess.LOST
SERVED = storereaders.StoreAccess.SERVED
UNSURE = storereaders.StoreAccess.UNSURE


def _roles(accesses, links=None):
    """Return each router's role where all have the same view."""
    links = links or {}
    routers = [
        storereaders.Neighbour(name, each, links.get(name, 10.0))
        for name, each in accesses.items()
    ]
    return {
        own.name: storereaders.choose_role(
            own, [n for n in routers if n is not own]
        )
        for own in routers
    }


def _names_with_role(accesses, role):
    return [name for name, each in _roles(accesses).items() if each is role]


@pytest.mark.parametrize('count', (1, 2, 3, 39, 130))
def test_any_number_of_routers_has_two_readers(count):
    accesses = {f'r{n:03}': SERVED for n in range(count)}
    readers = _names_with_role(accesses, storereaders.Role.READS)
    assert readers == sorted(accesses)[: storereaders.READERS_PER_DOMAIN]


def test_a_router_that_has_read_nothing_does_not_count_as_a_reader():
    """Symptom: no router follows the store just after a start."""
    accesses = {'a': UNSURE, 'b': UNSURE, 'c': SERVED, 'd': SERVED}
    assert _names_with_role(accesses, storereaders.Role.READS) == [
        'a',
        'b',
        'c',
        'd',
    ]


def test_routers_with_the_fastest_links_are_readers():
    """Load: a change sent to 38 routers over a link of 10 Mbit/s."""
    roles = _roles(dict.fromkeys('abcd', SERVED), {'c': 100.0, 'd': 100.0})
    assert [n for n in 'abcd' if roles[n] is storereaders.Role.READS] == [
        'c',
        'd',
    ]


def test_a_reader_that_lost_the_store_is_replaced():
    """Failure: the store rejects one reader and serves the others."""
    accesses = {'a': LOST, 'b': SERVED, 'c': SERVED, 'd': SERVED}
    assert _names_with_role(accesses, storereaders.Role.READS) == [
        'a',
        'b',
        'c',
    ]


def test_all_call_the_store_when_the_readers_lost_it():
    """Failure: an outage whose end each router has to notice itself."""
    accesses = {'a': LOST, 'b': LOST, 'c': SERVED, 'd': SERVED}
    assert _roles(accesses)['d'] is storereaders.Role.ASKS


def test_few_call_a_store_that_serves_some_routers():
    """Load: the store rejects a third of 39 routers for nine seconds.

    All others called it by themselves meanwhile, at each change.
    """
    lost = [
        storereaders.Neighbour(f'a{n}', LOST, reads_store=True)
        for n in range(13)
    ]
    followers = [storereaders.Neighbour(f'b{n}', SERVED) for n in range(24)]
    own = storereaders.Neighbour('c', SERVED)
    assert (
        storereaders.choose_role(own, lost + followers)
        is storereaders.Role.ASKS
    )
    served = [
        storereaders.Neighbour(f'b{n}', SERVED, reads_store=True)
        for n in (0, 1)
    ]
    others = lost + served + followers[2:]
    assert storereaders.choose_role(own, others) is storereaders.Role.TOLD
    others = lost + served[1:] + followers[2:]
    assert (
        storereaders.choose_role(served[0], others) is storereaders.Role.READS
    )


@pytest.mark.parametrize('counts', ({'a': 39, 'b': 39, 'c': 39}, {'a': 1}))
def test_positions_of_readers_are_distinct(counts):
    positions = [
        storereaders.fleet_position(domain, rank, counts)
        for domain, count in counts.items()
        for rank in range(min(storereaders.READERS_PER_DOMAIN, count))
    ]
    assert [each.rank for each in positions] == list(range(len(positions)))
    assert {each.callers for each in positions} == {len(positions)}


def test_a_position_is_within_the_number_of_readers():
    """Failure: a third router counts itself as a reader too."""
    assert storereaders.fleet_position('a', 2, {'a': 3}).rank == 1
