"""Tests of what a router believes of endpoints."""

import random

from ibisring_policy.gateway import chains
from ibisring_policy.gateway import estimates
from ibisring_policy.gateway.tests import builders as build


def _holders(book, now=10.0):
    endpoints = [
        build.held_endpoint('x', 0, 8),
        build.held_endpoint('y', 8, 16),
    ]
    return {h.id: h for h in book.holders(endpoints, build.model(), now)}


def test_a_lost_engine_stays_out_until_it_answers():
    """Symptom: streams stall for seconds, again and again.

    Sequence: an engine is gone for good; its entry stays for some seconds;
    each time its ejection lapsed it was put into chains again.
    Cause: time alone brought it back.
    """
    book = estimates.make_estimate_table()
    book.note_unreachable('x', 10.0)
    assert 'x' not in _holders(book, 10.1)
    assert 'x' not in _holders(book, 100.0)
    assert book.dead_to_probe(['x', 'y'], 11.0) == ['x']
    book.note_reachable('x', 101.0)
    assert 'x' in _holders(book, 101.0)


def test_a_dead_engine_is_asked_less_and_less_often():
    book = estimates.make_estimate_table()
    now = 0.0
    asked = 0
    while now < 20.0:
        if not book.by_endpoint or book.dead_to_probe(['x'], now):
            book.note_unreachable('x', now)
            asked += 1
        now += 0.1
    assert 6 <= asked <= 10


def test_a_full_engine_is_left_out_for_a_moment():
    book = estimates.make_estimate_table()
    book.note_refusal('x', 10.0)
    assert 'x' not in _holders(book, 10.1)
    assert 'x' in _holders(book, 11.0)


def test_load_of_other_routers_counts():
    book = estimates.make_estimate_table()
    book.merge_gossip('r2', {'x': 500.0}, [], 10.0)
    book.merge_gossip('r3', {'x': 200.0}, [], 10.0)
    assert _holders(book, 10.5)['x'].used == 700.0
    book.merge_gossip('r2', {}, [], 11.0)
    assert _holders(book, 11.0)['x'].used == 200.0
    assert _holders(book, 60.0)['x'].used == 0.0


def test_news_of_a_lost_engine_is_believed_unless_it_just_answered():
    book = estimates.make_estimate_table()
    book.get('x').answered_at = 9.95
    book.get('y').answered_at = 5.0
    book.merge_gossip('r2', {}, ['x', 'y', 'unknown'], 10.0)
    assert not book.is_dead('x')
    assert book.is_dead('y')
    assert 'unknown' not in book.by_endpoint


def test_news_of_a_lost_engine_does_not_go_round():
    """Symptom: a healthy engine is left out for seconds, by all routers.

    Sequence: one router finds it dead and tells others; it answers again;
    the others, who believed the news, tell it back to the first.
    Cause: news that was only heard was passed on as if it were found.
    """
    first, second = (
        estimates.make_estimate_table(),
        estimates.make_estimate_table(),
    )
    for book in (first, second):
        book.get('x').answered_at = 0.0
    first.note_unreachable('x', 10.0)
    second.merge_gossip('r1', {}, first.recently_dead(10.1), 10.1)
    assert second.is_dead('x')
    assert second.recently_dead(10.2) == []
    first.note_reachable('x', 10.3)
    first.merge_gossip('r2', {}, second.recently_dead(10.6), 10.6)
    assert not first.is_dead('x')


def test_a_lost_engine_is_asked_by_those_that_found_it():
    """Load: nine engines are away for three seconds before 195 routers.

    Each router asked each of them four times, on connections of their own.
    """
    finder, others = (
        estimates.make_estimate_table(),
        estimates.make_estimate_table(),
    )
    others.get('x')
    finder.note_unreachable('x', 10.0)
    others.merge_gossip('r1', {}, finder.recently_dead(10.1), 10.1)
    assert finder.dead_to_probe(['x'], 10.6) == ['x']
    assert others.dead_to_probe(['x'], 10.6) == []
    finder.note_reachable('x', 12.0)
    others.merge_recovered(finder.recently_recovered(12.1), 12.2)
    assert not others.is_dead('x')
    assert others.recently_recovered(12.2) == []
    others.merge_gossip('r3', {}, ['x'], 12.3)
    assert not others.is_dead('x')


def test_a_lost_engine_is_asked_though_its_finder_is_gone():
    """Failure: nobody tells that an engine is back."""
    book = estimates.make_estimate_table()
    book.get('x')
    book.merge_gossip('r1', {}, ['x'], 10.0)
    asks_at = 10.0 + estimates.PEER_REPORT_PROBE_DELAY_SECONDS
    assert book.dead_to_probe(['x'], asks_at) == ['x']


def test_what_is_reserved_is_given_back():
    book = estimates.make_estimate_table()
    stages = [
        chains.Stage('x', 'x:1', 0, 8),
        chains.Stage('y', 'y:1', 8, 16),
    ]
    book.reserve(stages, 100.0)
    assert book.own_tokens() == {'x': 800.0, 'y': 800.0}
    assert book.get('x').first_stage_requests == 1
    book.release(stages, 100.0)
    assert book.own_tokens() == {}
    assert book.get('x').first_stage_requests == 0


def test_an_endpoint_that_fails_many_is_left_out():
    book = estimates.make_estimate_table()
    endpoints = [build.endpoint('bad'), build.endpoint('good')]
    for _ in range(3):
        book.note_response('bad', True, 10.0)
    ranked = book.rank(endpoints, 10.1, random.Random(1).random)
    assert [e.id for e in ranked] == ['good', 'bad']


def test_one_unlucky_answer_does_not_eject():
    book = estimates.make_estimate_table()
    book.note_response('x', True, 10.0)
    assert not book.is_ejected('x', 10.0)


def test_the_less_loaded_endpoint_comes_first():
    book = estimates.make_estimate_table()
    endpoints = [build.endpoint('busy'), build.endpoint('idle')]
    book.note_load('busy', 5, 10.0)
    ranked = book.rank(endpoints, 10.1, random.Random(1).random)
    assert ranked[0].id == 'idle'
    later = {
        book.rank(endpoints, 20.0, random.Random(n).random)[0].id
        for n in range(20)
    }
    assert later == {'busy', 'idle'}


def test_endpoints_that_are_gone_are_forgotten():
    book = estimates.make_estimate_table()
    book.get('gone')
    book.get('held').active = 1
    book.retain({'here'})
    assert set(book.by_endpoint) == {'held'}


def test_a_slow_engine_is_gone_round_while_it_says_so():
    """Symptom: all streams of a domain pause for half a second and more.

    Sequence: one of ten stages becomes twelve times slower; it answers, so
    it is not lost; requests go on through it beside another holder.
    Cause: only engines that do not answer were left out.
    """
    book = estimates.make_estimate_table()
    usual = _holders(book)['x'].step_factor
    book.note_slowdown('x', 12.0, 10.0)
    assert _holders(book, 10.1)['x'].step_factor == 12.0 * usual
    assert book.slow_to_probe(11.1) == ['x']
    book.note_slowdown('x', 1.0, 11.2)
    assert _holders(book, 11.3)['x'].step_factor == usual
    book.note_slowdown('x', 12.0, 20.0)
    assert _holders(book, 30.0)['x'].step_factor == usual


def test_slowness_is_told_by_the_router_that_found_it():
    first, second = (
        estimates.make_estimate_table(),
        estimates.make_estimate_table(),
    )
    second.get('x')
    first.note_slowdown('x', 8.0, 10.0)
    second.merge_gossip('r1', {}, [], 10.2, first.recently_slow(10.1))
    assert second.slowdown('x', 10.3) == 8.0
    assert (
        second.recently_slow(10.3) == {} and second.slow_to_probe(11.5) == []
    )


def test_a_usual_pace_is_no_news():
    book = estimates.make_estimate_table()
    book.note_slowdown('x', 1.1, 10.0)
    assert book.slowdown('x', 10.0) == 1.0


def test_an_engine_that_refuses_everything_rests_longer_and_longer():
    """Symptom: 83 requests end refused after one try, for want of repeats.

    Sequence: two engines leave while the store can't say so; they refuse
    all they get; each is tried again after 0.3 s by each router.
    Cause: every refusal was taken for a moment's want of memory.
    """
    book = estimates.make_estimate_table()
    refusals, now = 0, 10.0
    while now < 20.0:
        if 'x' in _holders(book, now):
            book.note_refusal('x', now, has_memory=True)
            refusals += 1
        now += 0.05
    assert refusals <= 7
    book.note_accepted(['x'], sent_at=now - 5.0)
    assert 'x' not in _holders(book, now)
    book.note_accepted(['x'], sent_at=now)
    book.note_refusal('x', now)
    assert 'x' in _holders(book, now + estimates.MIN_BACKOFF_SECONDS)


def test_a_refusal_is_told_to_others_once():
    """Load: six routers before an engine that leaves, and one that is full."""
    first, second = (
        estimates.make_estimate_table(),
        estimates.make_estimate_table(),
    )
    second.get('x')
    first.note_refusal('x', 10.0, has_memory=True)
    first.note_refusal('y', 10.0)
    assert first.refusing(10.1) == ['x']
    second.merge_gossip('r1', {}, [], 10.1, refusing=first.refusing(10.1))
    assert 'x' not in _holders(second, 10.2)
    assert second.refusing(10.2) == []
    assert first.refusing(10.0 + estimates.MIN_BACKOFF_SECONDS) == []


def test_an_engine_that_refuses_with_memory_free_seems_to_leave():
    """Symptom: a domain refuses requests for the eight seconds of an outage.

    Sequence: an engine that alone holds its layers leaves; its entry can't
    say so while the store is away; it refuses whatever it gets.
    Cause: only entries and silence told that an engine is gone.
    """
    book = estimates.make_estimate_table()
    for at in (10.0, 10.35, 11.0):
        book.note_refusal('x', at, has_memory=True)
        book.note_refusal('y', at)
    assert book.is_probably_leaving('x', 11.1)
    assert not book.is_probably_leaving('y', 11.1)
    book.note_accepted(['x'], sent_at=11.1)
    assert not book.is_probably_leaving('x', 11.2)
