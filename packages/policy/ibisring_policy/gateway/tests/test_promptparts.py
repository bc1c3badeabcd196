"""Tests of the evidence against parts of prompts."""

import random

import pytest

from ibisring_policy.gateway import prioranswers
from ibisring_policy.gateway import promptfeatures
from ibisring_policy.gateway import promptparts
from ibisring_policy.gateway.tests import partsim

ACME, OTHER = promptfeatures.account_id('acme'), promptfeatures.account_id(
    'other'
)
DEADLY = promptfeatures.features_of(['a11e', 'dead'], b'1')
SHARED = promptfeatures.features_of(['a11e'], b'2')


def of(number, *names):
    """Return the features of a request that no other equals."""
    return promptfeatures.features_of(names, b'%d' % number)


def crash(parts, names, numbers, account=ACME, certain=True):
    """Record that endpoints crashed, one a second, no request twice."""
    for number in numbers:
        features = of(number, *names)
        parts.lost(
            features, account, f'e{number}', 0, float(number), certain=certain
        )


def is_refused(parts, features, now=10.0, account=ACME):
    return bool(parts.verdict(features, account, now).refused_until)


def deadly_known(router='r1', account=ACME, numbers=(1, 2, 3)):
    """Return a table that knows a deadly part, and a shared one."""
    parts = promptparts.make_parts(router)
    for number in numbers:
        parts.answered(of(100 + number, 'a11e'), account, float(number))
        crash(parts, ['a11e', 'dead'], [number], account)
    return parts


def exchange(sender, receiver, now=10.0):
    """Send all updates of a router to another one."""
    updates = sender.updates_to_send(now, random.Random(1))
    return receiver.receive_updates(updates, now)


def test_requests_with_the_deadly_part_are_refused_and_no_others():
    parts = deadly_known()
    assert is_refused(parts, of(7, 'a11e', 'dead'))
    assert is_refused(parts, of(8, 'b', 'dead', 'c'))
    assert not is_refused(parts, of(9, 'a11e', 'other'))


def test_two_crashes_do_not_refuse():
    assert not is_refused(deadly_known(numbers=[1, 2]), DEADLY)


def test_other_routers_refuse_as_soon_as_they_hear_of_it():
    """Guards against one conviction a router."""
    other = promptparts.make_parts('r2')
    assert exchange(deadly_known(), other)
    assert is_refused(other, of(7, 'b', 'dead'))
    assert not is_refused(other, of(9, 'a11e'))


def test_crashes_that_several_routers_saw_are_put_together():
    routers = [promptparts.make_parts(f'r{n}') for n in range(3)]
    for number, parts in enumerate(routers):
        crash(parts, ['dead'], [number + 1])
    for parts in routers[1:]:
        exchange(parts, routers[0], now=3.5)
    assert is_refused(routers[0], of(7, 'dead'))


def test_one_crash_that_many_saw_counts_once():
    routers = [promptparts.make_parts(f'r{n}') for n in range(4)]
    for number, parts in enumerate(routers):
        crash(parts, ['beside'], [1])
    for parts in routers[1:]:
        exchange(parts, routers[0], now=2.0)
    assert not is_refused(routers[0], of(7, 'beside'))


def test_answers_at_another_router_clear_a_part():
    """Guards against refusing a part that is answered elsewhere."""
    first, second = (promptparts.make_parts(f'r{n}') for n in range(2))
    crash(first, ['a11e'], [1, 2, 3])
    assert is_refused(first, of(7, 'a11e'))
    exchange(first, second)
    for number in range(7):
        second.answered(of(20 + number, 'a11e'), ACME, 5.0)
    exchange(second, first)
    assert not is_refused(first, of(7, 'a11e'))


def test_repeated_request_convicts_itself_and_not_its_parts():
    """Guards against refusing sound requests for a deadly body's parts."""
    parts = promptparts.make_parts('r1')
    for number in (1, 2, 3):
        endpoint, at = f'e{number}', float(number)
        parts.lost(of(1, 'session'), ACME, endpoint, 0, at)
    assert is_refused(parts, of(1, 'session'))
    assert not is_refused(parts, of(2, 'session'))


def test_account_that_crashed_nothing_may_try_once():
    """Guards against an account that has the part of another refused."""
    parts = deadly_known()
    assert not is_refused(parts, DEADLY, account=OTHER)
    crash(parts, ['dead'], [4], OTHER)
    assert is_refused(parts, of(51, 'dead'), account=OTHER)
    third = promptfeatures.account_id('third')
    assert is_refused(parts, of(52, 'dead'), account=third)


def test_account_may_not_crash_on_under_the_part_of_another():
    parts = promptparts.make_parts('r1')
    for number in range(20):
        parts.answered(of(100 + number, 'a11e'), ACME, 0.5)
    crash(parts, ['a11e'], [1, 2, 3], OTHER)
    assert is_refused(parts, SHARED, account=OTHER)
    assert not is_refused(parts, SHARED, account=ACME)


def test_account_beside_the_crashes_of_another_is_not_refused():
    """Guards against refusing the few sound requests of a small account."""
    parts = deadly_known(numbers=[1, 2, 3, 4])
    crash(parts, ['a11e'], [1, 2, 3], OTHER)
    assert not is_refused(parts, SHARED, account=OTHER)


def test_part_that_others_are_answered_on_is_the_last_to_be_blamed():
    """Guards against refusing a shared part to an account that rarely asks."""
    parts = promptparts.make_parts('r1')
    for number in range(20):
        parts.answered(of(100 + number, 'a11e'), OTHER, 0.5)
    crash(parts, ['a11e', 'dead'], [1, 2, 3])
    crash(parts, ['a11e'], [4])
    assert is_refused(parts, of(7, 'a11e', 'dead'))
    assert not is_refused(parts, of(8, 'a11e'))


def test_part_that_was_answered_before_is_refused_if_it_turns_deadly():
    parts = promptparts.make_parts('r1')
    for number in range(50):
        parts.answered(of(number, 'dead'), ACME, 0.5)
    crash(parts, ['dead'], [1, 2, 3])
    assert is_refused(parts, of(7, 'dead'))


def test_doubtful_requests_run_one_at_a_time():
    parts = promptparts.make_parts('r1')
    crash(parts, ['a', 'dead'], [1])
    request = of(2, 'dead')
    verdict = parts.verdict(request, ACME, 2.0)
    assert verdict.doubtful and not verdict.must_wait
    parts.mark_running(verdict.doubtful)
    assert parts.verdict(of(3, 'dead'), ACME, 2.0).must_wait
    parts.mark_finished(verdict.doubtful)
    assert not parts.verdict(of(3, 'dead'), ACME, 2.0).must_wait


def test_answered_part_is_in_no_doubt():
    """Guards against running all sound requests one at a time."""
    parts = promptparts.make_parts('r1')
    parts.answered(SHARED, ACME, 0.5)
    crash(parts, ['a11e', 'dead'], [1])
    assert not parts.verdict(SHARED, ACME, 2.0).doubtful


def test_losses_that_were_no_crashes_are_forgotten():
    parts = promptparts.make_parts('r1')
    crash(parts, ['a'], [1, 2, 3], certain=False)
    assert is_refused(parts, of(7, 'a'), now=3.5)
    parts.process_answered('e2', 0, 2.5, 3.5)
    assert not is_refused(parts, of(7, 'a'), now=3.5)


def test_unresolved_losses_count_for_seconds_only():
    parts = promptparts.make_parts('r1')
    crash(parts, ['a'], [1, 2, 3], certain=False)
    assert not is_refused(parts, of(7, 'a'), now=9.0)


def test_later_start_turns_losses_into_crashes():
    parts = promptparts.make_parts('r1')
    crash(parts, ['a'], [1, 2, 3], certain=False)
    assert parts.processes_known({'e1': 5, 'e2': 5, 'e3': 5}, 9.0)
    assert is_refused(parts, of(7, 'a'), now=9.0)


def test_part_stays_refused_while_requests_with_it_come():
    """Guards against a trial that ends endpoints every ten minutes."""
    parts = deadly_known()
    for minute in range(1, 60):
        now = 60.0 * minute
        parts.updates_to_send(now, random.Random(1))
        assert is_refused(parts, of(minute + 1000, 'dead'), now)


def test_part_that_nobody_asks_for_may_run_again():
    parts = deadly_known()
    later = 10.0 + 2 * promptparts.REFUSAL_SECONDS
    parts.updates_to_send(later, random.Random(1))
    assert not is_refused(parts, DEADLY, later)


def test_router_that_starts_later_learns_of_it():
    old, new = deadly_known(), promptparts.make_parts('new')
    exchange(old, new, now=60.0)
    assert is_refused(new, of(7, 'dead'), now=60.0)


def test_memory_is_bounded_against_invented_parts():
    """Guards against a caller that invents parts."""
    parts = deadly_known()
    for number in range(prioranswers.MAX_REMEMBERED + 500):
        parts.answered(of(number, f'{number:x}'), ACME, 5.0)
        if number < 2 * promptparts.MAX_FEATURES:
            crash(parts, [f'{number:x}'], [4 + number / 1e4])
    assert len(parts.by_feature) <= promptparts.MAX_FEATURES
    assert len(parts.priors.by_feature) <= prioranswers.MAX_REMEMBERED
    assert is_refused(parts, of(7, 'dead'))
    assert len(parts.updates_to_send(6.0, random.Random(1))) <= 40


@pytest.mark.parametrize('count', [0, 1, 100, 10_000])
def test_any_number_of_parts_is_taken(count):
    names = [f'{number:x}' for number in range(count)]
    features = promptfeatures.features_of(names, b'1')
    expected = min(count, promptfeatures.MAX_PARTS)
    assert len(features) == (expected + 1 if count else 0)


# A fleet for each way in which a part may be deadly, and what else happens.
SITES = {
    'one part': partsim.Site(),
    'a second apart': partsim.Site(deadly_interval=1.0),
    'with a companion': partsim.Site(has_companion=True),
    'two parts': partsim.Site(has_second_part=True),
    'one run of two': partsim.Site(lethality=0.5),
    'ten accounts': partsim.Site(accounts=10),
    'six routers, often': partsim.Site(routers=6, deadly_interval=0.1),
    'many routers': partsim.Site(
        routers=60, endpoints=60, rate=60.0, seconds=10.0
    ),
}
MAX_LATE_RUNS = 3
MIN_SERVED_SHARE = 0.97


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('name', SITES)
def test_fleet_refuses_what_is_deadly_and_nothing_else(name, seed):
    """Guards against crash after crash, and against refused sound requests."""
    outcome = partsim.simulate(SITES[name], seed)
    assert len(outcome.late_runs()) <= MAX_LATE_RUNS
    assert outcome.refused == 0
    assert outcome.served >= MIN_SERVED_SHARE * outcome.ended


def test_requests_a_second_apart_crash_three_endpoints():
    outcome = partsim.simulate(SITES['a second apart'], 1)
    assert len(outcome.crashes) <= 3


@pytest.mark.parametrize('seed', [1, 2])
def test_herds_of_crashes_refuse_nothing(seed):
    """Guards against the prompt that all share being refused for a herd."""
    site = partsim.Site(
        deadly_after=99.0, mass_crashes=(1.0, 2.0, 3.0, 4.0, 5.0, 6.0)
    )
    outcome = partsim.simulate(site, seed)
    assert len(outcome.crashes) >= 8 and outcome.refused == 0
