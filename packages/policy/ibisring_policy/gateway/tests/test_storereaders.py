"""Tests of which routers read the store for others."""

import pytest

from ibisring_policy.gateway import storereaders

LOST = storereaders.StoreAccess.LOST
SERVED = storereaders.StoreAccess.SERVED
UNSURE = storereaders.StoreAccess.UNSURE


def _roles(standings, links=None):
    """Give each router's role where all have heard the same."""
    links = links or {}
    all_of_them = [
        storereaders.Neighbour(name, each, links.get(name, 10.0))
        for name, each in standings.items()
    ]
    return {
        own.name: storereaders.choose_role(
            own, [n for n in all_of_them if n is not own]
        )
        for own in all_of_them
    }


def _named(standings, role):
    return [name for name, each in _roles(standings).items() if each is role]


@pytest.mark.parametrize('count', (1, 2, 3, 39, 130))
def test_two_read_however_many_there_are(count):
    standings = {f'r{n:03}': SERVED for n in range(count)}
    reading = _named(standings, storereaders.Role.READS)
    assert reading == sorted(standings)[: storereaders.READERS_PER_DOMAIN]


def test_one_that_has_read_nothing_reads_for_nobody():
    """Symptom: nobody follows the store just after a start."""
    standings = {'a': UNSURE, 'b': UNSURE, 'c': SERVED, 'd': SERVED}
    assert _named(standings, storereaders.Role.READS) == ['a', 'b', 'c', 'd']


def test_those_with_fast_links_read():
    """Load: a change told to 38 routers from a link of 10 Mbit/s."""
    roles = _roles(dict.fromkeys('abcd', SERVED), {'c': 100.0, 'd': 100.0})
    assert [n for n in 'abcd' if roles[n] is storereaders.Role.READS] == [
        'c',
        'd',
    ]


def test_one_that_lost_the_store_is_replaced():
    """Failure: the store turns one reader away and serves the others."""
    standings = {'a': LOST, 'b': SERVED, 'c': SERVED, 'd': SERVED}
    assert _named(standings, storereaders.Role.READS) == ['a', 'b', 'c']


def test_all_ask_when_the_readers_lost_the_store():
    """Failure: the store is away; its return is to be seen by each."""
    standings = {'a': LOST, 'b': LOST, 'c': SERVED, 'd': SERVED}
    assert _roles(standings)['d'] is storereaders.Role.ASKS


def test_few_ask_a_store_that_serves_some():
    """Load: the store turns a third of 39 routers away for nine seconds.

    All others asked it for themselves meanwhile, at each change.
    """
    lost = [
        storereaders.Neighbour(f'a{n}', LOST, reads_store=True)
        for n in range(13)
    ]
    unsure = [storereaders.Neighbour(f'b{n}', SERVED) for n in range(24)]
    own = storereaders.Neighbour('c', SERVED)
    assert (
        storereaders.choose_role(own, lost + unsure) is storereaders.Role.ASKS
    )
    served = [
        storereaders.Neighbour(f'b{n}', SERVED, reads_store=True)
        for n in (0, 1)
    ]
    others = lost + served + unsure[2:]
    assert storereaders.choose_role(own, others) is storereaders.Role.TOLD
    others = lost + served[1:] + unsure[2:]
    assert (
        storereaders.choose_role(served[0], others) is storereaders.Role.READS
    )


@pytest.mark.parametrize('counts', ({'a': 39, 'b': 39, 'c': 39}, {'a': 1}))
def test_places_of_readers_differ(counts):
    places = [
        storereaders.fleet_position(domain, rank, counts)
        for domain, count in counts.items()
        for rank in range(min(storereaders.READERS_PER_DOMAIN, count))
    ]
    assert [each.rank for each in places] == list(range(len(places)))
    assert {each.callers for each in places} == {len(places)}


def test_a_place_is_one_of_those_there_are():
    """Failure: a third router takes itself for a reader too."""
    assert storereaders.fleet_position('a', 2, {'a': 3}).rank == 1
