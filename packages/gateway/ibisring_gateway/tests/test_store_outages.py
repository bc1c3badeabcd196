"""What routers know after trouble of the store, in virtual time.

Promised: a router to which nothing has happened for three seconds, with the
store calm for as long, acts on no version older than one that the store
acknowledged two seconds before, and never goes back.
"""

import itertools

import pytest

from ibisring_gateway.tests import schedules
from ibisring_gateway.tests import virtualfleet

# Seeds drawn in each run of the tests; some thousands are run by hand.
SEEDS = 40
# Seconds from the store's return, and one step of the play, in which every
# router knows what the store has taken since.
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
    """Symptom: 404 on a route that was confirmed over two seconds before.

    Sequence: the routers have just read a change when the store falls
    silent for six seconds; it returns and confirms changes; no router acts
    on them for four seconds more, and then all of them do at once.

    Cause: calls that wait for changes went on waiting as on a calm store.
    One that begins while the store is silent is never answered and ends by
    its own timeout only, 5.4 s later; all routers' calls began together, so
    that none was free to notice.

    Evidence: in the routers' logs each call without an answer had run for
    5.4 s and ended up to 5 s after the store's return; one whose process had
    been frozen meanwhile asked anew and knew at once.  With calls that don't
    wait on a store in trouble this and the schedules below hold.
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
    """Symptom, sequence and cause as above; found by drawing, then shrunk."""
    assert not _violations(schedule)


def test_an_old_state_puts_nothing_back():
    """Symptom: a router uses endpoints as they were seconds before.

    Sequence: the store shows an old state; some routers know a newer one.
    Cause: endpoints read from the store were applied whatever their version.
    """
    old = Trouble('old', 3.1, 6.0)
    schedule = _schedule(3, (2.0, 5.9), old, source=ENDPOINTS)
    assert not _violations(schedule)


@pytest.mark.parametrize('routers', (1, 2, 3, 6))
def test_a_return_is_known_in_time(routers):
    """From the return on, whatever the routers' calls were doing."""
    for lasts, before in itertools.product(
        (0.3, 0.7, 1.9, 3.1, 6.3), (0.02, 0.4, 1.3, 2.9, 4.7)
    ):
        silence = Trouble('silent', 8.0, lasts)
        changes = (8.0 - before, silence.ends - 0.02)
        schedule = _schedule(routers, changes, silence)
        # The store takes what was written to it just after its return.
        since = silence.ends + 0.06
        took = virtualfleet.seconds_until_known(schedule, TABLE, since)
        assert took <= KNOWN_WITHIN, schedule


@pytest.mark.parametrize('kind', schedules.STORE_KINDS)
@pytest.mark.parametrize('routers', (1, 3))
def test_trouble_of_any_length(kind, routers):
    """Every length in steps, with a change just before it and after it."""
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
