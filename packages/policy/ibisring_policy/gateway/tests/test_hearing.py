"""Tests of which routers seem to run, and what they know."""

from ibisring_policy.gateway import hearing
from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import sharing

FOLLOWED = layerorders.StoreStatus.FOLLOWING
LOST = layerorders.StoreStatus.LOST


def _hearing(**heard):
    """Give what a router of domain a knows; `heard` are touches by name."""
    made = hearing.make_hearing('r1', 'a', -100.0)
    for name, touch in heard.items():
        made.take(hearing.Heard(name=name, domain='a', at=10.0, touch=touch))
    return made


def test_a_number_that_was_told_is_not_told_on():
    """Symptom: a domain of which nothing runs counts as running for good.

    Sequence: its routers end at once; others tell each other how many there
    were, and at each hop that seems a little later than it was.
    Cause: what was heard at second hand was passed on.
    """
    made = _hearing()
    for domain in ('b', 'c'):
        made.take_counts({domain: (9, 0), 'd': (7, 100)}, domain, 10.0)
    assert sum(made.counts(10.0).values()) == 1 + 9 + 9 + 7
    assert made.counts_to_tell(10.5) == {
        'a': (1, 0),
        'b': (9, 500),
        'c': (9, 500),
    }


def test_a_router_that_just_started_tells_no_number():
    """Failure: others take its domain for nearly empty."""
    made = hearing.make_hearing('r1', 'a', 9.0)
    assert made.counts_to_tell(10.0) == {}
    assert made.counts_to_tell(9.0 + hearing.COUNTS_AFTER) == {'a': (1, 0)}


def test_who_leaves_reading_to_others_knows_nothing_of_the_store():
    """Symptom: nobody orders engines while the store is away.

    Sequence: the readers have lost the store; the others, who would notice
    by a call of theirs only, still say that they follow it.
    Cause: what they said counted as what they had seen.
    """
    made = _hearing(r2=LOST, r3=FOLLOWED)
    for name, reads in (('r4', True), ('r5', False)):
        neighbour = sharing.Neighbour(
            name, sharing.Standing.SERVED, reads=reads
        )
        made.take(
            hearing.Heard(
                name=name,
                domain='a',
                at=10.0,
                touch=FOLLOWED,
                neighbour=neighbour,
            )
        )
    assert made.touches(10.5) == {'r2': LOST, 'r3': FOLLOWED, 'r4': FOLLOWED}
