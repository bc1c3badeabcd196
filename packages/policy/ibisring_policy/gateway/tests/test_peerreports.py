"""Tests of which routers seem to run, and what they know."""

from ibisring_policy.gateway import layerorders
from ibisring_policy.gateway import peerreports
from ibisring_policy.gateway import storereaders

FOLLOWED = layerorders.StoreStatus.FOLLOWING
LOST = layerorders.StoreStatus.LOST


def _hearing(**heard):
    """Give what a router of domain a knows; `heard` are touches by name."""
    made = peerreports.make_peer_reports('r1', 'a', -100.0)
    for name, touch in heard.items():
        made.receive(
            peerreports.PeerReport(
                name=name, domain='a', received_at=10.0, store_status=touch
            )
        )
    return made


def test_a_number_that_was_told_is_not_told_on():
    """Symptom: a domain of which nothing runs counts as running for good.

    Sequence: its routers end at once; others tell each other how many there
    were, and at each hop that seems a little later than it was.
    Cause: what was heard at second hand was passed on.
    """
    made = _hearing()
    for domain in ('b', 'c'):
        made.receive_counts({domain: (9, 0), 'd': (7, 100)}, domain, 10.0)
    assert sum(made.router_counts(10.0).values()) == 1 + 9 + 9 + 7
    assert made.counts_to_send(10.5) == {
        'a': (1, 0),
        'b': (9, 500),
        'c': (9, 500),
    }


def test_a_router_that_just_started_tells_no_number():
    """Failure: others take its domain for nearly empty."""
    made = peerreports.make_peer_reports('r1', 'a', 9.0)
    assert made.counts_to_send(10.0) == {}
    assert made.counts_to_send(9.0 + peerreports.COUNT_WARMUP_SECONDS) == {
        'a': (1, 0)
    }


def test_who_leaves_reading_to_others_knows_nothing_of_the_store():
    """Symptom: nobody orders engines while the store is away.

    Sequence: the readers have lost the store; the others, who would notice
    by a call of theirs only, still say that they follow it.
    Cause: what they said counted as what they had seen.
    """
    made = _hearing(r2=LOST, r3=FOLLOWED)
    for name, reads in (('r4', True), ('r5', False)):
        neighbour = storereaders.Neighbour(
            name, storereaders.StoreAccess.SERVED, reads_store=reads
        )
        made.receive(
            peerreports.PeerReport(
                name=name,
                domain='a',
                received_at=10.0,
                store_status=FOLLOWED,
                neighbour=neighbour,
            )
        )
    assert made.store_statuses(10.5) == {
        'r2': LOST,
        'r3': FOLLOWED,
        'r4': FOLLOWED,
    }
