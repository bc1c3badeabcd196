"""Tests of which requests have precedence at a rate limit."""

from ibisring_policy.gateway import fairness as fairness_module


def test_no_request_has_precedence_without_refusals():
    fairness = fairness_module.make_fairness()
    for number in range(9):
        fairness.granted(1, 'greedy', 12.0 + number / 10)
    assert not fairness.is_outranked(1, 'greedy', 13.0)


def test_a_refused_request_of_higher_rank_has_precedence():
    fairness = fairness_module.make_fairness()
    fairness.refused(0, 'other', 12.0)
    assert fairness.is_outranked(1, 'acme', 12.5)
    assert not fairness.is_outranked(0, 'acme', 12.5)
    assert not fairness.is_outranked(1, 'acme', 15.0)


def test_an_account_below_its_fair_share_has_precedence():
    """Failure: one client account uses all that a limit allows."""
    fairness = fairness_module.make_fairness()
    for number in range(4):
        fairness.granted(1, 'greedy', 12.0 + number / 10)
    fairness.refused(1, 'modest', 12.5)
    assert fairness.is_outranked(1, 'greedy', 12.6)
    assert not fairness.is_outranked(1, 'modest', 12.6)


def test_accounts_with_unequal_demand_get_equal_shares():
    """Load: one account sends nine times as many requests as the other."""
    fairness = fairness_module.make_fairness()
    granted = {'greedy': 0, 'modest': 0}
    for number in range(400):
        now = 10.0 + number / 20
        account = 'greedy' if number % 10 else 'modest'
        has_capacity = number % 5 == 0 or number % 5 == 1
        if has_capacity and not fairness.is_outranked(1, account, now):
            fairness.granted(1, account, now)
            granted[account] += 1
        else:
            fairness.refused(1, account, now)
    assert granted['modest'] >= 0.9 * 40


def test_only_recent_decisions_are_kept():
    fairness = fairness_module.make_fairness()
    for number in range(1000):
        fairness.refused(1, 'acme', float(number))
    assert len(fairness.decisions) <= fairness_module.COMPARISON_SECONDS


def test_requests_of_a_lower_rank_do_not_delay_the_return_of_a_higher():
    """Guards against urgent callers returning after the others."""
    fairness = fairness_module.make_fairness()
    for _ in range(8):
        fairness.refused(3, 'bulletins', 12.0)
    fairness.refused(0, 'alerts', 12.0)
    assert fairness.recent_refusals(0, 12.5) == 1
    assert fairness.recent_refusals(3, 12.5) == 9
