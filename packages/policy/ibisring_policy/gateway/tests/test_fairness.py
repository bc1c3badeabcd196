"""Tests of who comes first where there is too little for all."""

from ibisring_policy.gateway import fairness as fairness_module


def test_nobody_comes_first_while_nobody_was_refused():
    fairness = fairness_module.make_fairness()
    for number in range(9):
        fairness.granted(1, 'greedy', 12.0 + number / 10)
    assert not fairness.is_outranked(1, 'greedy', 13.0)


def test_a_higher_rank_that_was_refused_comes_first():
    fairness = fairness_module.make_fairness()
    fairness.refused(0, 'other', 12.0)
    assert fairness.is_outranked(1, 'acme', 12.5)
    assert not fairness.is_outranked(0, 'acme', 12.5)
    assert not fairness.is_outranked(1, 'acme', 15.0)


def test_an_account_that_got_less_comes_first():
    """Failure: one client account takes all that a limit allows."""
    fairness = fairness_module.make_fairness()
    for number in range(4):
        fairness.granted(1, 'greedy', 12.0 + number / 10)
    fairness.refused(1, 'modest', 12.5)
    assert fairness.is_outranked(1, 'greedy', 12.6)
    assert not fairness.is_outranked(1, 'modest', 12.6)


def test_accounts_that_ask_alike_get_alike():
    """Load: one account asks nine times as often as the other."""
    fairness = fairness_module.make_fairness()
    got = {'greedy': 0, 'modest': 0}
    for number in range(400):
        now = 10.0 + number / 20
        account = 'greedy' if number % 10 else 'modest'
        has_turn = number % 5 == 0 or number % 5 == 1
        if has_turn and not fairness.is_outranked(1, account, now):
            fairness.granted(1, account, now)
            got[account] += 1
        else:
            fairness.refused(1, account, now)
    assert got['modest'] >= 0.9 * 40


def test_only_what_was_lately_is_kept():
    fairness = fairness_module.make_fairness()
    for number in range(1000):
        fairness.refused(1, 'acme', float(number))
    assert len(fairness.decisions) <= fairness_module.COMPARED_FOR
