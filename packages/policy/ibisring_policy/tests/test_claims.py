"""Claims: at most one run for a key, whichever router it reaches."""

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


def test_voter_without_memory_counts_only_while_the_table_answers():
    """A rolling restart must neither double an alert nor refuse it.

    Symptom: an alert doubled after its first router and voters restarted.
    Sequence: claim in an outage; voters restart; the repeat asks them.
    Cause: their empty books were taken for proof that nobody had claimed.
    """
    mine = claim('a')
    fresh = [vote(mine, remembers=1.0)] * 5
    granted = decide(mine, claims.TableAnswer.GRANTED, fresh, 5)
    down = decide(mine, claims.TableAnswer.DOWN, fresh, 5)
    assert granted is claims.Verdict.RUN
    assert down is claims.Verdict.UNAVAILABLE


def test_any_memory_of_another_claim_forbids_running():
    mine, other = claim('a'), claim('b')
    votes = [vote(mine)] * 4 + [vote(other)]
    verdict = decide(mine, claims.TableAnswer.GRANTED, votes, 5)
    assert verdict is claims.Verdict.HELD


def test_book_forgets_after_the_window_only():
    book = claims.make_voter(WINDOW, 0.0)
    first, second = claim('a'), claim('b')
    assert book.vote(first, 1.0).held == first
    assert book.vote(second, WINDOW).held == first
    assert book.vote(second, WINDOW + 1.0).held == second


def test_release_frees_the_key_for_its_own_claim_only():
    book = claims.make_voter(WINDOW, 0.0)
    book.vote(claim('a'), 1.0)
    book.release('k', 'b')
    assert book.vote(claim('b'), 2.0).held.id == 'a'
    book.release('k', 'a')
    assert book.vote(claim('b'), 3.0).held.id == 'b'


reachable = strategies.frozensets(strategies.sampled_from(sorted(ALL)))


@given(strategies.lists(reachable, min_size=2, max_size=5))
def test_two_copies_never_both_run_in_an_outage(reached):
    """Copies of one alert at several routers, each reaching some voters."""
    books = {n: claims.make_voter(WINDOW, -WINDOW) for n in ALL}
    ran = 0
    for number, voters in zip(itertools.count(), reached):
        mine = claim(str(number))
        votes = [books[n].vote(mine, 1.0) for n in sorted(voters)]
        verdict = decide(mine, claims.TableAnswer.DOWN, votes, len(ALL))
        if verdict is claims.Verdict.RUN:
            ran += 1
        else:
            for n in ALL:
                books[n].release('k', mine.id)
    assert ran <= 1
