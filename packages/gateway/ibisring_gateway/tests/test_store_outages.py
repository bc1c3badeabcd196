"""Tests of the state of routers after store failures, in virtual time.

Guaranteed: a router that, like the store, has had no failure for three
seconds acts on no version older than one that the store acknowledged two
seconds ago.  No router ever goes back to an older version.
"""

import itertools

import pytest

from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualfleet

# Random schedules per run of the tests; some thousands are run by hand.
SEEDS = 40
# Seconds after the store's return, including one step of the simulation,
# within which every router knows the writes accepted since.
KNOWN_WITHIN = 1.5

Change = schedules.Change
Trouble = schedules.Trouble
TABLE = schedules.TABLE
ENDPOINTS = schedules.ENDPOINTS


def _schedule(routers, changes, *troubles, source=TABLE):
    changes = tuple(Change(at, source) for at in changes)
    return schedules.Schedule(routers, changes, troubles)


def _violations(schedule):
    return virtualfleet.play(schedule)[0]


def test_a_change_confirmed_after_a_silence_is_known_in_time():
    """Failure: 404 on a route that was confirmed over two seconds before.

    All routers start a long poll just before the store stops answering for
    six seconds.  These calls are never answered and end only by their own
    timeout, 5.4 s later, so that no router notices the store's return and
    the changes confirmed since for up to 5 s.  Calls to a failing store must
    therefore not wait.
    """
    silence = Trouble('silent', 5.0, 6.0)
    changes = (4.9, 11.6, 11.7, 11.8, 12.1, 14.1)
    assert not _violations(_schedule(6, changes, silence))


@pytest.mark.parametrize(
    'schedule',
    [
        _schedule(4, (13.2,), Trouble('silent', 8.8, 4.3)),
        _schedule(5, (8.6, 11.8), Trouble('silent', 11.7, 6.7)),
        _schedule(5, (13.0, 14.6), Trouble('silent', 13.5, 1.1)),
        _schedule(
            5, (8.6, 11.8), Trouble('silent', 11.7, 6.7), source=ENDPOINTS
        ),
        _schedule(6, (3.5,), Trouble('silent', 3.2, 0.4), source=ENDPOINTS),
    ],
    ids=('returns', 'just_begun', 'short', 'endpoints', 'just_started'),
)
def test_schedules_that_failed(schedule):
    """As above; found by random search, then minimized."""
    assert not _violations(schedule)


def test_an_old_state_puts_nothing_back():
    """Failure: a router goes back to the endpoints of seconds before.

    The store serves stale state and some routers know a newer version, but
    endpoints read from the store are applied regardless of their version.
    """
    old = Trouble('old', 3.1, 6.0)
    schedule = _schedule(3, (2.0, 5.9), old, source=ENDPOINTS)
    assert not _violations(schedule)


@pytest.mark.parametrize('routers', (1, 2, 3, 6))
def test_a_return_is_known_in_time(routers):
    """Changes are known in time whatever state the calls were in."""
    for lasts, before in itertools.product(
        (0.3, 0.7, 1.9, 3.1, 6.3), (0.02, 0.4, 1.3, 2.9, 4.7)
    ):
        silence = Trouble('silent', 8.0, lasts)
        changes = (8.0 - before, silence.ends - 0.02)
        schedule = _schedule(routers, changes, silence)
        # The store accepts pending writes just after its return.
        since = silence.ends + 0.06
        took = virtualfleet.seconds_until_known(schedule, TABLE, since)
        assert took <= KNOWN_WITHIN, schedule


@pytest.mark.parametrize('kind', schedules.STORE_KINDS)
@pytest.mark.parametrize('routers', (1, 3))
def test_trouble_of_any_length(kind, routers):
    """Failures of many lengths, with a change just before and just after."""
    lengths = (0.3, 0.9, 1.5, 2.3, 3.1, 4.7, 6.3)
    for lasts, after in itertools.product(lengths, (0.2, 1.1)):
        trouble = Trouble(kind, 5.0, lasts)
        schedule = _schedule(routers, (4.9, 5.0 + lasts + after), trouble)
        assert not _violations(schedule), schedule


@pytest.mark.parametrize('kind', schedules.ROUTER_KINDS)
def test_a_router_struck_in_a_silence(kind):
    silence = Trouble('silent', 5.0, 3.0)
    for at, lasts in itertools.product((4.0, 5.5, 7.5), (0.8, 3.5)):
        struck = Trouble(kind, at, lasts, (1,))
        schedule = _schedule(3, (4.9, 8.2, 9.0), silence, struck)
        assert not _violations(schedule), schedule


@pytest.mark.parametrize('seed', range(SEEDS))
def test_drawn_schedules(seed):
    schedule = schedules.draw(seed)
    assert not _violations(schedule), schedule
