"""Claims: at most one run per key, whichever router a request reaches."""

import itertools

from hypothesis import given
from hypothesis import strategies

from ibisring_policy import claims

WINDOW = 600.0
ALL = frozenset(range(5))


def claim(name):
    return claims.Claim('k', name, f'owner-{name}', 'body')


def vote(held, remembers=WINDOW):
    return claims.Vote(held, remembers)


def decide(mine, table, votes, count, holder=None):
    return claims.decide(mine, table, holder, votes, count, WINDOW).verdict


def test_majority_runs_with_the_table_down():
    mine = claim('a')
    verdict = decide(mine, claims.TableAnswer.DOWN, [vote(mine)] * 3, 5)
    assert verdict is claims.Verdict.RUN


def test_minority_does_not_run():
    mine = claim('a')
    verdict = decide(mine, claims.TableAnswer.GRANTED, [vote(mine)] * 2, 5)
    assert verdict is claims.Verdict.UNAVAILABLE


def test_restarted_voter_counts_only_while_the_table_is_up():
    """Guards against a duplicate alert after a rolling restart.

    Voters that restart after a claim was made in an outage store nothing;
    that is no proof that the key is free.  While the table is up, their
    restart must not make routers refuse the alert either.
    """
    mine = claim('a')
    restarted = [vote(mine, remembers=1.0)] * 5
    granted = decide(mine, claims.TableAnswer.GRANTED, restarted, 5)
    down = decide(mine, claims.TableAnswer.DOWN, restarted, 5)
    assert granted is claims.Verdict.RUN
    assert down is claims.Verdict.UNAVAILABLE


def test_one_vote_for_another_claim_forbids_running():
    mine, other = claim('a'), claim('b')
    votes = [vote(mine)] * 4 + [vote(other)]
    verdict = decide(mine, claims.TableAnswer.GRANTED, votes, 5)
    assert verdict is claims.Verdict.HELD


def test_voter_drops_a_claim_only_after_the_window():
    voter = claims.make_voter(WINDOW, 0.0)
    first, second = claim('a'), claim('b')
    assert voter.vote(first, 1.0).held == first
    assert voter.vote(second, WINDOW).held == first
    assert voter.vote(second, WINDOW + 1.0).held == second


def test_release_frees_the_key_for_its_own_claim_only():
    voter = claims.make_voter(WINDOW, 0.0)
    voter.vote(claim('a'), 1.0)
    voter.release('k', 'b')
    assert voter.vote(claim('b'), 2.0).held.id == 'a'
    voter.release('k', 'a')
    assert voter.vote(claim('b'), 3.0).held.id == 'b'


reachable = strategies.frozensets(strategies.sampled_from(sorted(ALL)))


@given(strategies.lists(reachable, min_size=2, max_size=5))
def test_at_most_one_copy_runs_in_an_outage(reached):
    """Copies of one alert reach several routers, each with some voters."""
    voters = {n: claims.make_voter(WINDOW, -WINDOW) for n in ALL}
    ran = 0
    for number, reached_voters in zip(itertools.count(), reached):
        mine = claim(str(number))
        votes = [voters[n].vote(mine, 1.0) for n in sorted(reached_voters)]
        verdict = decide(mine, claims.TableAnswer.DOWN, votes, len(ALL))
        if verdict is claims.Verdict.RUN:
            ran += 1
        else:
            for n in ALL:
                voters[n].release('k', mine.id)
    assert ran <= 1
