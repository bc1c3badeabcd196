"""Tests of requests that wait at a router, in virtual time."""

import pytest

from ibisring_policy import admission
from ibisring_policy.gateway import requestqueue
from ibisring_policy.gateway import servedshares
from ibisring_policy.gateway.tests import queueload

Kind = queueload.Kind
# A burst of requests of the lowest rank beside urgent ones.
BURST = (
    Kind((0, 0), 'a', 0.2),
    Kind((0, 1), 'b', 0.2),
    Kind((0, 2), 'c', 0.55),
    Kind((0, 2), 'd', 0.05),
)
URGENT_FLOOD = (
    Kind((0, 0), 'a', 0.85),
    Kind((0, 1), 'b', 0.05),
    Kind((0, 2), 'c', 0.1),
)
ONE_RANK = (
    Kind((0, 0), 'a', 0.9),
    Kind((0, 0), 'b', 0.05),
    Kind((0, 0), 'c', 0.05),
)
SIZES = (
    Kind((0, 0), 'a', 0.45),
    Kind((0, 0), 'a', 0.05, 4.0),
    Kind((0, 1), 'b', 0.45),
    Kind((0, 1), 'b', 0.05, 4.0),
)


def test_load_of_a_burst_with_other_seeds():
    """Guards against a bound that holds for one seed only."""
    for seed in range(1, 8):
        assert queueload.simulate(BURST, 1.0, seed=seed).share() >= 0.9, seed


@pytest.mark.parametrize('kinds', [BURST, URGENT_FLOOD, ONE_RANK])
@pytest.mark.parametrize('load', [0.5, 1.0, 2.0, 4.0])
def test_ranks_and_accounts_keep_their_shares_under_load(load, kinds):
    """Guards against urgent requests served worse, and starvation.

    Without order of rank, urgent requests are refused as often as others;
    without a floor, the lowest rank and small accounts get nothing.
    """
    outcome = queueload.simulate(kinds, load)
    served = outcome.share()
    urgent = outcome.share(lambda kind: kind.rank == (0, 0))
    assert urgent >= served - 0.005
    for rank in {kind.rank for kind in kinds}:
        share = outcome.share(lambda kind: kind.rank == rank)
        assert share >= served / 4.0
    for account in {kind.account for kind in kinds}:
        share = outcome.share(lambda kind: kind.account == account)
        assert share >= served / 4.0
    assert outcome.longest_wait <= queueload.BOUND_SECONDS + 1e-9
    assert served >= min(1.0, 0.9 / load)


@pytest.mark.parametrize(
    ('load', 'seed'),
    [*((1.0, seed) for seed in range(1, 8)), (2.0, 1), (4.0, 1)],
)
def test_large_requests_are_not_refused_twice_as_often(load, seed):
    """Guards against small requests that always take the room first."""
    outcome = queueload.simulate(SIZES, load, seconds=120.0, seed=seed)
    large = 1.0 - outcome.share(lambda kind: kind.cost > 1.0)
    assert large <= 2.0 * (1.0 - outcome.share())


def _one_a_second(kinds, seed):
    """Simulate a router that has room for one small request a second."""
    return queueload.simulate(
        kinds, 1.0, seconds=600.0, seed=seed, hold_seconds=40.0
    )


def test_large_requests_at_one_request_a_second():
    """Guards against the size floor that holds at high rates only."""
    for seed in range(1, 8):
        outcome = _one_a_second(SIZES, seed)
        large = 1.0 - outcome.share(lambda kind: kind.cost > 1.0)
        assert large <= 2.0 * (1.0 - outcome.share()), seed


def test_urgent_requests_at_one_request_a_second():
    """Guards against an order of rank that holds at high rates only."""
    for kinds in (BURST, URGENT_FLOOD):
        for seed in range(1, 8):
            outcome = _one_a_second(kinds, seed)
            urgent = outcome.share(lambda kind: kind.rank == (0, 0))
            assert urgent >= outcome.share() - 0.005, seed


def test_callers_return_in_order_of_rank_and_spread():
    """Guards against refused callers that all return at the same time."""
    returns = queueload.simulate(BURST, 2.0).returns
    means = [sum(returns[r]) / len(returns[r]) for r in sorted(returns)]
    assert means == sorted(means) and means[-1] > 2.0 * means[0]
    assert max(returns[(0, 2)]) - min(returns[(0, 2)]) > 1.0


def _ticket(name, rank=(0, 0), account='a', cost=1.0, arrived=0.0, wait=1.0):
    return admission.Ticket(
        name,
        account,
        rank,
        admission.Target('model'),
        cost,
        100.0,
        arrived,
        wanted_by=arrived + wait,
    )


def _make(*tickets):
    queue = requestqueue.make_request_queue(lambda: 0.5)
    for ticket in tickets:
        assert queue.offer(ticket, ticket.arrived) is None
    return queue


def test_only_the_next_request_asks_and_a_smaller_one_stays_behind():
    queue = _make(_ticket('big', cost=9.0), _ticket('small', account='b'))
    queue.deny('big', 0.0)
    assert queue.askers(0.05) == ['big']


def test_request_for_which_no_engine_has_room_blocks_for_a_time_only():
    """Guards against a service that waits for one request without a chain."""
    queue = _make(*[_ticket(f'n{each}', cost=9.0 - each) for each in range(6)])
    queue.deny('n0', 0.0)
    assert queue.askers(0.2) == ['n0']
    assert queue.askers(0.3) == ['n0', 'n1']
    queue.begin_round()
    assert queue.askers(0.3) == ['n0']


def test_requests_ask_behind_one_that_may_use_few_endpoints():
    """Guards against free engines that wait for a restricted request."""
    names = [f'n{each}' for each in range(6)]
    queue = _make(*[_ticket(each) for each in names])
    for name in names[:4]:
        assert queue.askers(0.0)[-1] == name
        queue.deny(name, 0.0, is_restricted=True)
    assert queue.askers(0.0) == names[:4]


def test_retry_is_not_refused_by_prediction():
    """Guards against a retry that is lost although it has never asked."""
    queue = _in_shortage()
    retry = _ticket('retry', arrived=10.0, wait=-0.1)
    assert queue.offer(retry, 10.0, is_new=False) is None
    assert queue.askers(10.0) == ['first', 'retry']
    assert 'retry' not in queue.expire(10.2)
    assert 'retry' in queue.expire(10.3)


def test_late_request_may_ask_once():
    """Guards against a request refused before its thread could ask."""
    queue = _make(_ticket('late', arrived=1.0, wait=-0.5))
    assert not queue.expire(1.04)
    queue.deny('late', 1.04)
    assert not queue.expire(1.04, but='late')
    assert list(queue.expire(1.04)) == ['late']


def test_waiting_requests_of_a_service_are_bounded():
    """Guards against waiting requests that take all threads of a router."""
    queue = _make(
        *[
            _ticket(f'{rank}-{each}', (0, 2 - rank))
            for rank in range(2)
            for each in range(requestqueue.MAX_WAITING)
        ]
    )
    urgent = _ticket('urgent', (0, 0))
    assert queue.offer(urgent, 0.0).reason == 'too many requests wait'


def test_requests_decided_after_they_were_forgotten_are_not_counted():
    """Guards against counts that no later request takes back."""
    shares = servedshares.make_served_shares()
    old = [shares.add((0, 0), 'a', 1.0, 0.0) for _ in range(2)]
    shares.add((0, 0), 'a', 1.0, 20.0)
    shares.serve(old[0])
    shares.refuse(old[1])
    count = shares.counts[servedshares.ALL]
    assert (count.came, count.served, count.refused) == (1, 0, 0)


def test_more_urgent_request_asks_first():
    queue = _make(_ticket('low', (0, 2)), _ticket('high', (0, 1)))
    assert queue.askers(0.0) == ['high']
    queue.change_rank('low', (0, 0))
    assert queue.askers(0.0) == ['low']


def test_continuing_stream_is_first_for_a_short_time_only():
    """Guards against one stream without a chain that stops all others."""
    queue = _make(
        _ticket('new'), _ticket('old', requestqueue.CONTINUING, wait=1.3)
    )
    assert queue.askers(0.1) == ['old']
    queue.deny('old', 0.1)
    assert queue.askers(0.1) == ['old']
    assert queue.askers(0.3) == ['old', 'new']
    queue.begin_round()
    assert queue.askers(0.3) == ['old']


def _in_shortage():
    """Return a queue with a waiting request that makes two grants a second."""
    queue = _make(_ticket('first', wait=60.0))
    queue.deny('first', 0.0)
    for number in range(20):
        name = f'n{number}'
        queue.queue.add(_ticket(name, (9, 9), arrived=number / 2))
        queue.arrivals[name] = queue.shares.add((9, 9), 'z', 1.0, number / 2)
        queue.grant(name, number / 2)
    return queue


def test_request_is_refused_at_once_if_its_wait_would_be_too_long():
    queue = _in_shortage()
    refusal = queue.offer(_ticket('late', arrived=10.0, wait=0.25), 10.0)
    assert refusal.reason == 'the wait would be too long'
    assert 0.7 <= refusal.retry_after <= 6.0
    assert queue.offer(_ticket('patient', arrived=10.0), 10.0) is None


def test_more_urgent_request_may_wait_behind_nobody():
    queue = _in_shortage()
    urgent = _ticket('urgent', (-1, 0), arrived=10.0, wait=0.25)
    assert queue.offer(urgent, 10.0) is None


def test_request_is_refused_if_one_before_it_will_be_late():
    queue = _in_shortage()
    queue.queue.add(_ticket('other', account='b', arrived=9.8, wait=0.3))
    low = _ticket('low', (1, 0), arrived=10.0, wait=30.0)
    assert queue.offer(low, 10.0).reason == (
        'waiting requests would be served too late'
    )


def test_withdrawn_and_expired_requests_leave():
    queue = _make(_ticket('gone'), _ticket('due', wait=0.2))
    assert queue.withdraw('gone', 0.1).id == 'gone'
    assert list(queue.expire(0.2)) == ['due']
    assert len(queue) == 0


def test_account_is_not_charged_for_requests_that_were_not_served():
    """Guards against an account that falls behind by its own refusals."""
    waiting = admission.make_queue()
    for number in range(3):
        waiting.add(_ticket(f'a{number}', cost=10.0, arrived=float(number)))
    waiting.add(_ticket('b0', account='b', cost=10.0, arrived=3.0))
    waiting.withdraw('a0')
    assert [each.id for each in waiting.in_order()] == ['a1', 'b0', 'a2']
