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
    suspects = suspects_module.make_suspects()
    for number in range(crashes):
        suspects.crashed(digest, f'e{number}', 1, now + number)
    return suspects


def test_a_request_is_refused_after_three_crashes():
    suspects = _suspects_with(2)
    assert not suspects.verdict(POISON, 102.0).refused_until
    suspects.crashed(POISON, 'e2', 1, 102.0)
    until = suspects.verdict(POISON, 102.0).refused_until
    assert until == 102.0 + suspects_module.REFUSAL_SECONDS
    assert suspects.verdict(OTHER, 102.0) == suspects_module.Verdict()


def test_one_crash_seen_by_several_attempts_counts_once():
    suspects = suspects_module.make_suspects()
    for _ in range(5):
        suspects.crashed(POISON, 'e1', 1, 100.0)
    assert suspects.verdict(POISON, 100.0).crashes == 1


def test_a_restarted_endpoint_counts_again():
    suspects = suspects_module.make_suspects()
    for started in range(3):
        suspects.crashed(POISON, 'e1', started, 100.0)
    assert suspects.verdict(POISON, 100.0).refused_until


def test_an_answer_clears_a_suspect():
    """Failure: a frequent request body is refused since endpoints crash."""
    suspects = _suspects_with(2)
    suspects.answered(POISON, 102.0)
    suspects.crashed(POISON, 'e8', 1, 103.0)
    suspects.crashed(POISON, 'e9', 1, 104.0)
    assert suspects.verdict(POISON, 104.0).crashes == 2


def test_a_request_that_saw_a_subset_of_the_crashes_is_not_suspected():
    """Failure: requests that ran beside the poison request are refused."""
    suspects = _suspects_with(3)
    for number in range(2):
        suspects.crashed(OTHER, f'e{number}', 1, 100.0 + number)
    assert suspects.verdict(OTHER, 103.0) == suspects_module.Verdict()
    assert suspects.verdict(POISON, 103.0).refused_until


def test_a_suspect_with_other_crashes_does_not_exonerate_another():
    """Failure: the poison request passes due to one often run beside it."""
    suspects = _suspects_with(3)
    for number in (0, 1, 7, 8):
        suspects.crashed(OTHER, f'e{number}', 1, 100.0 + number)
    assert suspects.verdict(POISON, 110.0).refused_until


def test_suspects_of_the_same_crashes_run_one_after_another():
    """Failure: two suspects share each crash, and both are refused."""
    suspects = suspects_module.make_suspects()
    rng = random.Random(1)
    digests = [rng.randbytes(8) for _ in range(40)]
    start_times = set()
    for digest in digests:
        for number in range(2):
            suspects.crashed(digest, f'e{number}', 1, 100.0)
        start_times.add(suspects.verdict(digest, 100.0).not_before)
    assert len(start_times) == suspects_module.SLOTS


def test_a_refused_request_may_run_once_after_the_refusal_expires():
    suspects = _suspects_with(3)
    later = 102.0 + suspects_module.REFUSAL_SECONDS
    verdict = suspects.verdict(POISON, later)
    assert verdict.crashes and not verdict.refused_until
    suspects.crashed(POISON, 'e9', 1, later)
    assert suspects.verdict(POISON, later).refused_until > later


def test_crashes_seen_by_different_routers_are_combined():
    routers = [suspects_module.make_suspects() for _ in range(3)]
    for number, suspects in enumerate(routers):
        suspects.crashed(POISON, f'e{number}', 1, 100.0 + number / 10)
    rng = random.Random(1)
    for suspects in routers:
        for other in routers:
            suspects.receive_updates(other.updates_to_send(100.5, rng), 100.5)
    for suspects in routers:
        until = suspects.verdict(POISON, 100.5).refused_until
        expected = 100.2 + suspects_module.REFUSAL_SECONDS
        assert until == pytest.approx(expected, abs=0.01)


def test_a_repeated_update_is_no_change():
    """Failure: two routers send each other the same crash forever."""
    suspects = _suspects_with(2)
    updates = suspects.updates_to_send(102.0, random.Random(1))
    other = suspects_module.make_suspects()
    assert other.receive_updates(updates, 102.1) == [POISON]
    assert other.receive_updates(updates, 102.2) == []
    assert (
        suspects.receive_updates(
            other.updates_to_send(102.3, random.Random(1)), 102.3
        )
        == []
    )


def test_updates_older_than_an_answer_are_ignored():
    suspects = _suspects_with(2)
    updates = suspects.updates_to_send(102.0, random.Random(1))
    suspects.answered(POISON, 102.5)
    assert suspects.receive_updates(updates, 102.5) == []
    other = suspects_module.make_suspects()
    other.receive_updates(updates, 102.1)
    other.receive_updates(
        suspects.updates_to_send(102.6, random.Random(1)), 102.7
    )
    assert other.verdict(POISON, 102.7) == suspects_module.Verdict()


def test_a_later_start_charges_the_requests_that_were_not_answered():
    """Failure: a crash behind an open port is charged to no request."""
    suspects = suspects_module.make_suspects()
    for number in range(3):
        suspects.answer_lost(POISON, f'e{number}', 1, 100.0 + number)
    suspects.processes_known({f'e{n}': 2 for n in range(3)}, 106.0)
    until = suspects.verdict(POISON, 106.0).refused_until
    assert until > 102.0 + suspects_module.UNRESOLVED_SECONDS


def test_three_unresolved_losses_refuse_until_their_cause_shows():
    """Failure: a request crashes endpoints until the first has restarted."""
    suspects = suspects_module.make_suspects()
    for number in range(3):
        suspects.answer_lost(POISON, f'e{number}', 1, 100.0 + number)
    until = 102.0 + suspects_module.UNRESOLVED_SECONDS
    assert suspects.verdict(POISON, 102.0).refused_until == until
    assert not suspects.verdict(POISON, until).refused_until


def test_losses_at_a_router_that_is_cut_off_refuse_nothing():
    """Guards against refusing an innocent body after three cuts."""
    suspects = suspects_module.make_suspects()
    for number in range(3):
        suspects.answer_lost(
            POISON, f'e{number}', 1, 100.0 + number, counts=False
        )
    assert suspects.verdict(POISON, 102.0) == suspects_module.Verdict()
    updates = suspects.updates_to_send(102.0, random.Random(1))
    assert not any(each.unresolved for each in updates)


def test_a_later_start_charges_losses_at_a_router_that_was_cut_off():
    """Guards against a crash that a cut of the same time hides."""
    suspects = suspects_module.make_suspects()
    for number in range(3):
        suspects.answer_lost(POISON, f'e{number}', 1, 100.0, counts=False)
    suspects.process_answered('e2', 1, 100.1, 100.2)
    suspects.processes_known({f'e{n}': 2 for n in range(3)}, 106.0)
    assert suspects.verdict(POISON, 106.0).crashes == 2


def test_an_endpoint_that_still_answers_did_not_crash():
    """Failure: requests on a lossy link are taken for poison."""
    suspects = suspects_module.make_suspects()
    for number in range(3):
        suspects.answer_lost(POISON, f'e{number}', 1, 100.0)
        suspects.process_answered(f'e{number}', 1, 100.1, 100.2)
    suspects.processes_known({}, 101.0)
    assert suspects.verdict(POISON, 101.0) == suspects_module.Verdict()
    updates = [SuspectUpdate(POISON, {}, unresolved={7: 10})]
    assert suspects.receive_updates(updates, 101.0) == [POISON]


def test_a_loss_at_a_process_that_answered_later_is_not_received_again():
    suspects = suspects_module.make_suspects()
    suspects.answer_lost(POISON, 'e1', 1, 100.0)
    updates = suspects.updates_to_send(100.1, random.Random(1))
    suspects.process_answered('e1', 1, 100.2, 100.3)
    assert suspects.receive_updates(updates, 100.3) == []


def test_unresolved_losses_of_several_routers_are_combined():
    routers = [suspects_module.make_suspects() for _ in range(3)]
    rng = random.Random(1)
    for number, suspects in enumerate(routers):
        suspects.answer_lost(POISON, f'e{number}', 1, 100.0)
    for suspects in routers:
        updates = suspects.updates_to_send(100.1, rng)
        for other in routers:
            other.receive_updates(updates, 100.1)
    for suspects in routers:
        assert suspects.verdict(POISON, 100.2).refused_until > 100.2


def test_an_answer_resolves_the_losses_of_a_request():
    suspects = suspects_module.make_suspects()
    suspects.answer_lost(POISON, 'e1', 1, 100.0)
    suspects.answered(POISON, 100.5)
    suspects.processes_known({}, 103.0)
    assert suspects.verdict(POISON, 103.0) == suspects_module.Verdict()


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
    suspects = suspects_module.make_suspects()
    suspects.receive_updates([update], 100.0)
    assert suspects.verdict(update.digest, 100.0) == suspects_module.Verdict()


def test_an_empty_digest_is_accepted():
    suspects = suspects_module.make_suspects()
    suspects.receive_updates([SuspectUpdate(b'', {1: 5, 2: 5})], 100.0)
    assert suspects.verdict(b'', 100.0).crashes == 2


def test_many_new_suspects_do_not_evict_one_with_more_evidence():
    suspects = _suspects_with(3)
    many = suspects_module.MAX_SUSPECTS + 50
    for number in range(many):
        suspects.crashed(b'%08d' % number, f'x{number}', 1, 110.0)
    assert len(suspects.by_digest) == suspects_module.MAX_SUSPECTS
    assert suspects.evicted == 51
    assert suspects.verdict(POISON, 111.0).refused_until


def test_suspects_expire():
    suspects = _suspects_with(2)
    later = 102.0 + suspects_module.SUSPECT_TTL_SECONDS
    assert suspects.updates_to_send(later, random.Random(1)) == []
    assert not suspects.by_digest


def test_the_number_of_updates_is_bounded():
    suspects = suspects_module.make_suspects()
    for number in range(100):
        suspects.crashed(b'%08d' % number, f'x{number}', 1, 100.0)
    updates = suspects.updates_to_send(100.1, random.Random(1))
    assert len(updates) == suspects_module.MAX_NEW_SENT


def test_unchanged_suspects_are_sent_with_the_given_probability():
    """Failure: a router that starts late never learns of old suspects."""
    suspects = _suspects_with(3)
    rng = random.Random(1)
    assert [u.digest for u in suspects.updates_to_send(200.0, rng)] == [POISON]
    sent = sum(
        len(suspects.updates_to_send(200.0, rng, 0.2)) for _ in range(200)
    )
    assert 20 <= sent <= 60


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize(
    'site',
    [
        poisonload.Site(),
        poisonload.Site(rate=100.0, seconds=8.0),
        poisonload.Site(routers=20, endpoints=12, seconds=8.0),
        poisonload.Site(open_ports=True),
        poisonload.Site(rate=100.0, seconds=8.0, open_ports=True),
        poisonload.Site(
            routers=20, endpoints=12, seconds=8.0, open_ports=True
        ),
    ],
)
def test_only_the_poison_request_is_refused(site, seed):
    """Load: all streams pass a few first engines, which crash."""
    outcome = poisonload.simulate(site, seed)
    assert len(outcome.late_runs(PROPAGATION_SECONDS)) <= MAX_LATE_RUNS
    assert len(outcome.crashes) <= 2 * suspects_module.MAX_CRASHES
    assert outcome.refused == 0


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize('open_ports', (False, True))
def test_simultaneous_crashes_cause_no_refusals(seed, open_ports):
    """Load: a third of thirty endpoints crashes at once, three times."""
    site = poisonload.Site(
        endpoints=30,
        rate=200.0,
        has_poison=False,
        mass_crashes=(2.0, 5.2, 8.4),
        seconds=12.0,
        open_ports=open_ports,
    )
    outcome = poisonload.simulate(site, seed)
    assert outcome.refused == 0
    assert outcome.answered > 0.97 * outcome.sent
