"""Tests of which requests are suspected of ending their endpoints."""

import random

from ibisring_policy.gateway import suspects as suspects_module
from ibisring_policy.gateway.tests import poisonload
import pytest

SuspectUpdate = suspects_module.SuspectUpdate
BAD = b'bad-one!'
OTHER = b'other-1!'
CONTACT = 3.0
MOST_LATE = 3
SEEDS = 12


def _after(ends, digest=BAD, now=100.0):
    """Give suspects of whom one has seen some ends, a second apart."""
    known = suspects_module.make_suspects()
    for number in range(ends):
        known.crashed(digest, f'e{number}', 1, now + number)
    return known


def test_three_ends_are_enough():
    known = _after(2)
    assert not known.verdict(BAD, 102.0).refused_until
    known.crashed(BAD, 'e2', 1, 102.0)
    until = known.verdict(BAD, 102.0).refused_until
    assert until == 102.0 + suspects_module.REFUSED_FOR
    assert known.verdict(OTHER, 102.0) == suspects_module.Verdict()


def test_one_end_seen_by_several_attempts_counts_once():
    known = suspects_module.make_suspects()
    for _ in range(5):
        known.crashed(BAD, 'e1', 1, 100.0)
    assert known.verdict(BAD, 100.0).crashes == 1


def test_an_endpoint_that_started_again_ends_again():
    known = suspects_module.make_suspects()
    for started in range(3):
        known.crashed(BAD, 'e1', started, 100.0)
    assert known.verdict(BAD, 100.0).refused_until


def test_an_answer_clears():
    """Failure: a body that many ask for is refused, as endpoints end often."""
    known = _after(2)
    known.answered(BAD, 102.0)
    known.crashed(BAD, 'e8', 1, 103.0)
    known.crashed(BAD, 'e9', 1, 104.0)
    assert known.verdict(BAD, 104.0).crashes == 2


def test_a_bystander_of_some_ends_is_no_suspect():
    """Failure: what ran beside the bad request is refused with it."""
    known = _after(3)
    for number in range(2):
        known.crashed(OTHER, f'e{number}', 1, 100.0 + number)
    assert known.verdict(OTHER, 103.0) == suspects_module.Verdict()
    assert known.verdict(BAD, 103.0).refused_until


def test_one_that_saw_other_ends_too_explains_nothing():
    """Failure: the bad request is let go for one that was often beside it."""
    known = _after(3)
    for number in (0, 1, 7, 8):
        known.crashed(OTHER, f'e{number}', 1, 100.0 + number)
    assert known.verdict(BAD, 110.0).refused_until


def test_those_who_saw_the_same_ends_run_one_after_another():
    """Failure: two suspects share each end, and both are refused."""
    known = suspects_module.make_suspects()
    rng = random.Random(1)
    digests = [rng.randbytes(8) for _ in range(40)]
    begins = set()
    for digest in digests:
        for number in range(2):
            known.crashed(digest, f'e{number}', 1, 100.0)
        begins.add(known.verdict(digest, 100.0).not_before)
    assert len(begins) == suspects_module.STEPS


def test_a_refused_request_may_run_once_more_when_the_time_is_over():
    known = _after(3)
    later = 102.0 + suspects_module.REFUSED_FOR
    verdict = known.verdict(BAD, later)
    assert verdict.crashes and not verdict.refused_until
    known.crashed(BAD, 'e9', 1, later)
    assert known.verdict(BAD, later).refused_until > later


def test_ends_seen_by_different_routers_are_added_up():
    routers = [suspects_module.make_suspects() for _ in range(3)]
    for number, known in enumerate(routers):
        known.crashed(BAD, f'e{number}', 1, 100.0 + number / 10)
    rng = random.Random(1)
    for known in routers:
        for other in routers:
            known.receive_updates(other.updates_to_send(100.5, rng), 100.5)
    for known in routers:
        until = known.verdict(BAD, 100.5).refused_until
        expected = 100.2 + suspects_module.REFUSED_FOR
        assert until == pytest.approx(expected, abs=0.01)


def test_what_is_known_already_is_no_news():
    """Failure: two routers tell each other of one end for ever."""
    known = _after(2)
    words = known.updates_to_send(102.0, random.Random(1))
    other = suspects_module.make_suspects()
    assert other.receive_updates(words, 102.1) == [BAD]
    assert other.receive_updates(words, 102.2) == []
    assert (
        known.receive_updates(
            other.updates_to_send(102.3, random.Random(1)), 102.3
        )
        == []
    )


def test_word_from_before_an_answer_is_not_believed():
    known = _after(2)
    words = known.updates_to_send(102.0, random.Random(1))
    known.answered(BAD, 102.5)
    assert known.receive_updates(words, 102.5) == []
    other = suspects_module.make_suspects()
    other.receive_updates(words, 102.1)
    other.receive_updates(
        known.updates_to_send(102.6, random.Random(1)), 102.7
    )
    assert other.verdict(BAD, 102.7) == suspects_module.Verdict()


@pytest.mark.parametrize(
    'word',
    [
        SuspectUpdate(BAD, {1: -5000, 2: -1, 3: -1}),
        SuspectUpdate(BAD, {n: 10**12 for n in range(3)}),
        SuspectUpdate(b'', {}),
        SuspectUpdate(BAD, {}, cleared_ms=5),
    ],
)
def test_damaged_word_does_no_harm(word):
    known = suspects_module.make_suspects()
    known.receive_updates([word], 100.0)
    assert known.verdict(word.digest, 100.0) == suspects_module.Verdict()


def test_a_suspect_without_a_digest_harms_nobody():
    known = suspects_module.make_suspects()
    known.receive_updates([SuspectUpdate(b'', {1: 5, 2: 5})], 100.0)
    assert known.verdict(b'', 100.0).crashes == 2


def test_a_flood_of_suspects_does_not_push_out_those_known_for_sure():
    known = _after(3)
    many = suspects_module.MOST_KNOWN + 50
    for number in range(many):
        known.crashed(b'%08d' % number, f'x{number}', 1, 110.0)
    assert len(known.by_digest) == suspects_module.MOST_KNOWN
    assert known.evicted == 51
    assert known.verdict(BAD, 111.0).refused_until


def test_suspects_are_forgotten_in_time():
    known = _after(2)
    later = 102.0 + suspects_module.FORGOTTEN_AFTER
    assert known.updates_to_send(later, random.Random(1)) == []
    assert not known.by_digest


def test_only_so_many_are_told_at_once():
    known = suspects_module.make_suspects()
    for number in range(100):
        known.crashed(b'%08d' % number, f'x{number}', 1, 100.0)
    told = known.updates_to_send(100.1, random.Random(1))
    assert len(told) == suspects_module.MOST_NEW


def test_old_suspects_are_told_to_those_that_start():
    known = _after(3)
    rng = random.Random(1)
    assert [word.digest for word in known.updates_to_send(200.0, rng)] == [BAD]
    told = sum(len(known.updates_to_send(200.0, rng, 0.2)) for _ in range(200))
    assert 20 <= told <= 60


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize(
    'site',
    [
        poisonload.Site(),
        poisonload.Site(rate=100.0, seconds=8.0),
        poisonload.Site(routers=20, endpoints=12, seconds=8.0),
    ],
)
def test_the_bad_one_is_found_and_nobody_else(site, seed):
    """Load: streams all pass a few first engines, and end with them."""
    seen = poisonload.play(site, seed)
    assert len(seen.late_runs(CONTACT)) <= MOST_LATE
    assert len(seen.ends) <= 2 * suspects_module.MAX_CRASHES
    assert seen.refused == 0


@pytest.mark.parametrize('seed', range(SEEDS))
def test_endpoints_that_end_together_put_nobody_under_suspicion(seed):
    """Load: a third of thirty endpoints ends at once, three times."""
    site = poisonload.Site(
        endpoints=30,
        rate=200.0,
        has_bad=False,
        storms=(2.0, 5.2, 8.4),
        seconds=12.0,
    )
    seen = poisonload.play(site, seed)
    assert seen.refused == 0
    assert seen.answered > 0.97 * seen.sent
