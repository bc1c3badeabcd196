"""Tests of which requests are suspected of crashing their endpoints."""

import random

from ibisring_policy.gateway import suspects as suspects_module
from ibisring_policy.gateway.tests import poisonload
import pytest

SuspectUpdate = suspects_module.SuspectUpdate
POISON = b'bad-one!'
OTHER = b'other-1!'
# Seconds in which the evidence of one router reaches all others.
PROPAGATION_SECONDS = 3.0
MAX_LATE_RUNS = 3
SEEDS = 12


def _suspects_with(crashes, digest=POISON, now=100.0):
    """Make suspects with one that saw some crashes, a second apart."""
    known = suspects_module.make_suspects()
    for number in range(crashes):
        known.crashed(digest, f'e{number}', 1, now + number)
    return known


def test_a_request_is_refused_after_three_crashes():
    known = _suspects_with(2)
    assert not known.verdict(POISON, 102.0).refused_until
    known.crashed(POISON, 'e2', 1, 102.0)
    until = known.verdict(POISON, 102.0).refused_until
    assert until == 102.0 + suspects_module.REFUSAL_SECONDS
    assert known.verdict(OTHER, 102.0) == suspects_module.Verdict()


def test_one_crash_seen_by_several_attempts_counts_once():
    known = suspects_module.make_suspects()
    for _ in range(5):
        known.crashed(POISON, 'e1', 1, 100.0)
    assert known.verdict(POISON, 100.0).crashes == 1


def test_a_restarted_endpoint_counts_again():
    known = suspects_module.make_suspects()
    for started in range(3):
        known.crashed(POISON, 'e1', started, 100.0)
    assert known.verdict(POISON, 100.0).refused_until


def test_an_answer_clears_a_suspect():
    """Failure: a frequent request body is refused since endpoints crash."""
    known = _suspects_with(2)
    known.answered(POISON, 102.0)
    known.crashed(POISON, 'e8', 1, 103.0)
    known.crashed(POISON, 'e9', 1, 104.0)
    assert known.verdict(POISON, 104.0).crashes == 2


def test_a_request_that_saw_a_subset_of_the_crashes_is_not_suspected():
    """Failure: requests that ran beside the poison request are refused."""
    known = _suspects_with(3)
    for number in range(2):
        known.crashed(OTHER, f'e{number}', 1, 100.0 + number)
    assert known.verdict(OTHER, 103.0) == suspects_module.Verdict()
    assert known.verdict(POISON, 103.0).refused_until


def test_a_suspect_with_other_crashes_does_not_exonerate_another():
    """Failure: the poison request passes due to one often run beside it."""
    known = _suspects_with(3)
    for number in (0, 1, 7, 8):
        known.crashed(OTHER, f'e{number}', 1, 100.0 + number)
    assert known.verdict(POISON, 110.0).refused_until


def test_suspects_of_the_same_crashes_run_one_after_another():
    """Failure: two suspects share each crash, and both are refused."""
    known = suspects_module.make_suspects()
    rng = random.Random(1)
    digests = [rng.randbytes(8) for _ in range(40)]
    start_times = set()
    for digest in digests:
        for number in range(2):
            known.crashed(digest, f'e{number}', 1, 100.0)
        start_times.add(known.verdict(digest, 100.0).not_before)
    assert len(start_times) == suspects_module.SLOTS


def test_a_refused_request_may_run_once_after_the_refusal_expires():
    known = _suspects_with(3)
    later = 102.0 + suspects_module.REFUSAL_SECONDS
    verdict = known.verdict(POISON, later)
    assert verdict.crashes and not verdict.refused_until
    known.crashed(POISON, 'e9', 1, later)
    assert known.verdict(POISON, later).refused_until > later


def test_crashes_seen_by_different_routers_are_combined():
    routers = [suspects_module.make_suspects() for _ in range(3)]
    for number, known in enumerate(routers):
        known.crashed(POISON, f'e{number}', 1, 100.0 + number / 10)
    rng = random.Random(1)
    for known in routers:
        for other in routers:
            known.receive_updates(other.updates_to_send(100.5, rng), 100.5)
    for known in routers:
        until = known.verdict(POISON, 100.5).refused_until
        expected = 100.2 + suspects_module.REFUSAL_SECONDS
        assert until == pytest.approx(expected, abs=0.01)


def test_a_repeated_update_is_no_change():
    """Failure: two routers send each other the same crash forever."""
    known = _suspects_with(2)
    updates = known.updates_to_send(102.0, random.Random(1))
    other = suspects_module.make_suspects()
    assert other.receive_updates(updates, 102.1) == [POISON]
    assert other.receive_updates(updates, 102.2) == []
    assert (
        known.receive_updates(
            other.updates_to_send(102.3, random.Random(1)), 102.3
        )
        == []
    )


def test_updates_older_than_an_answer_are_ignored():
    known = _suspects_with(2)
    updates = known.updates_to_send(102.0, random.Random(1))
    known.answered(POISON, 102.5)
    assert known.receive_updates(updates, 102.5) == []
    other = suspects_module.make_suspects()
    other.receive_updates(updates, 102.1)
    other.receive_updates(
        known.updates_to_send(102.6, random.Random(1)), 102.7
    )
    assert other.verdict(POISON, 102.7) == suspects_module.Verdict()


@pytest.mark.parametrize(
    'update',
    [
        SuspectUpdate(POISON, {1: -5000, 2: -1, 3: -1}),
        SuspectUpdate(POISON, {n: 10**12 for n in range(3)}),
        SuspectUpdate(b'', {}),
        SuspectUpdate(POISON, {}, cleared_ms=5),
    ],
)
def test_invalid_updates_are_ignored(update):
    known = suspects_module.make_suspects()
    known.receive_updates([update], 100.0)
    assert known.verdict(update.digest, 100.0) == suspects_module.Verdict()


def test_an_empty_digest_is_accepted():
    known = suspects_module.make_suspects()
    known.receive_updates([SuspectUpdate(b'', {1: 5, 2: 5})], 100.0)
    assert known.verdict(b'', 100.0).crashes == 2


def test_many_new_suspects_do_not_evict_one_with_more_evidence():
    known = _suspects_with(3)
    many = suspects_module.MAX_SUSPECTS + 50
    for number in range(many):
        known.crashed(b'%08d' % number, f'x{number}', 1, 110.0)
    assert len(known.by_digest) == suspects_module.MAX_SUSPECTS
    assert known.evicted == 51
    assert known.verdict(POISON, 111.0).refused_until


def test_suspects_expire():
    known = _suspects_with(2)
    later = 102.0 + suspects_module.SUSPECT_TTL_SECONDS
    assert known.updates_to_send(later, random.Random(1)) == []
    assert not known.by_digest


def test_the_number_of_updates_is_bounded():
    known = suspects_module.make_suspects()
    for number in range(100):
        known.crashed(b'%08d' % number, f'x{number}', 1, 100.0)
    updates = known.updates_to_send(100.1, random.Random(1))
    assert len(updates) == suspects_module.MAX_NEW_SENT


def test_unchanged_suspects_are_sent_with_the_given_probability():
    """Failure: a router that starts late never learns of old suspects."""
    known = _suspects_with(3)
    rng = random.Random(1)
    assert [u.digest for u in known.updates_to_send(200.0, rng)] == [POISON]
    sent = sum(len(known.updates_to_send(200.0, rng, 0.2)) for _ in range(200))
    assert 20 <= sent <= 60


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize(
    'site',
    [
        poisonload.Site(),
        poisonload.Site(rate=100.0, seconds=8.0),
        poisonload.Site(routers=20, endpoints=12, seconds=8.0),
    ],
)
def test_only_the_poison_request_is_refused(site, seed):
    """Load: all streams pass a few first engines, which crash."""
    outcome = poisonload.simulate(site, seed)
    assert len(outcome.late_runs(PROPAGATION_SECONDS)) <= MAX_LATE_RUNS
    assert len(outcome.crashes) <= 2 * suspects_module.MAX_CRASHES
    assert outcome.refused == 0


@pytest.mark.parametrize('seed', range(SEEDS))
def test_simultaneous_crashes_cause_no_refusals(seed):
    """Load: a third of thirty endpoints crashes at once, three times."""
    site = poisonload.Site(
        endpoints=30,
        rate=200.0,
        has_poison=False,
        mass_crashes=(2.0, 5.2, 8.4),
        seconds=12.0,
    )
    outcome = poisonload.simulate(site, seed)
    assert outcome.refused == 0
    assert outcome.answered > 0.97 * outcome.sent
