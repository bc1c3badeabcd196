"""Tests of what a router believes of endpoints."""

import random

from ibisring_policy.gateway import chains
from ibisring_policy.gateway import loadbook
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
    book = loadbook.make_book()
    book.unreachable('x', 10.0)
    assert 'x' not in _holders(book, 10.1)
    assert 'x' not in _holders(book, 100.0)
    assert book.to_revive(['x', 'y'], 11.0) == ['x']
    book.reached('x', 101.0)
    assert 'x' in _holders(book, 101.0)


def test_a_dead_engine_is_asked_less_and_less_often():
    book = loadbook.make_book()
    now = 0.0
    asked = 0
    while now < 20.0:
        if not book.beliefs or book.to_revive(['x'], now):
            book.unreachable('x', now)
            asked += 1
        now += 0.1
    assert 6 <= asked <= 10


def test_a_full_engine_is_left_out_for_a_moment():
    book = loadbook.make_book()
    book.full('x', 10.0)
    assert 'x' not in _holders(book, 10.1)
    assert 'x' in _holders(book, 11.0)


def test_load_of_other_routers_counts():
    book = loadbook.make_book()
    book.take_told('r2', {'x': 500.0}, [], 10.0)
    book.take_told('r3', {'x': 200.0}, [], 10.0)
    assert _holders(book, 10.5)['x'].used == 700.0
    book.take_told('r2', {}, [], 11.0)
    assert _holders(book, 11.0)['x'].used == 200.0
    assert _holders(book, 60.0)['x'].used == 0.0


def test_news_of_a_lost_engine_is_believed_unless_it_just_answered():
    book = loadbook.make_book()
    book.of('x').alive_at = 9.95
    book.of('y').alive_at = 5.0
    book.take_told('r2', {}, ['x', 'y', 'unknown'], 10.0)
    assert not book.is_dead('x')
    assert book.is_dead('y')
    assert 'unknown' not in book.beliefs


def test_news_of_a_lost_engine_does_not_go_round():
    """Symptom: a healthy engine is left out for seconds, by all routers.

    Sequence: one router finds it dead and tells others; it answers again;
    the others, who believed the news, tell it back to the first.
    Cause: news that was only heard was passed on as if it were found.
    """
    first, second = loadbook.make_book(), loadbook.make_book()
    for book in (first, second):
        book.of('x').alive_at = 0.0
    first.unreachable('x', 10.0)
    second.take_told('r1', {}, first.lately_dead(10.1), 10.1)
    assert second.is_dead('x')
    assert second.lately_dead(10.2) == []
    first.reached('x', 10.3)
    first.take_told('r2', {}, second.lately_dead(10.6), 10.6)
    assert not first.is_dead('x')


def test_a_lost_engine_is_asked_by_those_that_found_it():
    """Load: nine engines are away for three seconds before 195 routers.

    Each router asked each of them four times, on connections of their own.
    """
    finder, others = loadbook.make_book(), loadbook.make_book()
    others.of('x')
    finder.unreachable('x', 10.0)
    others.take_told('r1', {}, finder.lately_dead(10.1), 10.1)
    assert finder.to_revive(['x'], 10.6) == ['x']
    assert others.to_revive(['x'], 10.6) == []
    finder.reached('x', 12.0)
    others.take_back(finder.lately_back(12.1), 12.2)
    assert not others.is_dead('x')
    assert others.lately_back(12.2) == []
    others.take_told('r3', {}, ['x'], 12.3)
    assert not others.is_dead('x')


def test_a_lost_engine_is_asked_though_its_finder_is_gone():
    """Failure: nobody tells that an engine is back."""
    book = loadbook.make_book()
    book.of('x')
    book.take_told('r1', {}, ['x'], 10.0)
    asks_at = 10.0 + loadbook.TOLD_ASKS_AFTER
    assert book.to_revive(['x'], asks_at) == ['x']


def test_what_is_reserved_is_given_back():
    book = loadbook.make_book()
    stages = [
        chains.Stage('x', 'x:1', 0, 8),
        chains.Stage('y', 'y:1', 8, 16),
    ]
    book.reserve(stages, 100.0)
    assert book.own() == {'x': 800.0, 'y': 800.0}
    assert book.of('x').heads == 1
    book.release(stages, 100.0)
    assert book.own() == {}
    assert book.of('x').heads == 0


def test_an_endpoint_that_fails_many_is_left_out():
    book = loadbook.make_book()
    endpoints = [build.endpoint('bad'), build.endpoint('good')]
    for _ in range(3):
        book.answered('bad', True, 10.0)
    ranked = book.rank_plain(endpoints, 10.1, random.Random(1).random)
    assert [e.id for e in ranked] == ['good', 'bad']


def test_one_unlucky_answer_does_not_eject():
    book = loadbook.make_book()
    book.answered('x', True, 10.0)
    assert not book.is_ejected('x', 10.0)


def test_the_less_loaded_endpoint_comes_first():
    book = loadbook.make_book()
    endpoints = [build.endpoint('busy'), build.endpoint('idle')]
    book.report('busy', 5, 10.0)
    ranked = book.rank_plain(endpoints, 10.1, random.Random(1).random)
    assert ranked[0].id == 'idle'
    later = {
        book.rank_plain(endpoints, 20.0, random.Random(n).random)[0].id
        for n in range(20)
    }
    assert later == {'busy', 'idle'}


def test_endpoints_that_are_gone_are_forgotten():
    book = loadbook.make_book()
    book.of('gone')
    book.of('held').active = 1
    book.keep_only({'here'})
    assert set(book.beliefs) == {'held'}


def test_a_slow_engine_is_gone_round_while_it_says_so():
    """Symptom: all streams of a domain pause for half a second and more.

    Sequence: one of ten stages becomes twelve times slower; it answers, so
    it is not lost; requests go on through it beside another holder.
    Cause: only engines that do not answer were left out.
    """
    book = loadbook.make_book()
    usual = _holders(book)['x'].pace
    book.note_pace('x', 12.0, 10.0)
    assert _holders(book, 10.1)['x'].pace == 12.0 * usual
    assert book.to_ask_pace(11.1) == ['x']
    book.note_pace('x', 1.0, 11.2)
    assert _holders(book, 11.3)['x'].pace == usual
    book.note_pace('x', 12.0, 20.0)
    assert _holders(book, 30.0)['x'].pace == usual


def test_slowness_is_told_by_the_router_that_found_it():
    first, second = loadbook.make_book(), loadbook.make_book()
    second.of('x')
    first.note_pace('x', 8.0, 10.0)
    second.take_told('r1', {}, [], 10.2, first.slow(10.1))
    assert second.pace('x', 10.3) == 8.0
    assert second.slow(10.3) == {} and second.to_ask_pace(11.5) == []


def test_a_usual_pace_is_no_news():
    book = loadbook.make_book()
    book.note_pace('x', 1.1, 10.0)
    assert book.pace('x', 10.0) == 1.0


def test_an_engine_that_refuses_everything_rests_longer_and_longer():
    """Symptom: 83 requests end refused after one try, for want of repeats.

    Sequence: two engines leave while the store can't say so; they refuse
    all they get; each is tried again after 0.3 s by each router.
    Cause: every refusal was taken for a moment's want of memory.
    """
    book = loadbook.make_book()
    refusals, now = 0, 10.0
    while now < 20.0:
        if 'x' in _holders(book, now):
            book.full('x', now, has_memory=True)
            refusals += 1
        now += 0.05
    assert refusals <= 7
    book.accepted(['x'], sent_at=now - 5.0)
    assert 'x' not in _holders(book, now)
    book.accepted(['x'], sent_at=now)
    book.full('x', now)
    assert 'x' in _holders(book, now + loadbook.FULL_SECONDS)


def test_a_refusal_is_told_to_others_once():
    """Load: six routers before an engine that leaves, and one that is full."""
    first, second = loadbook.make_book(), loadbook.make_book()
    second.of('x')
    first.full('x', 10.0, has_memory=True)
    first.full('y', 10.0)
    assert first.refusing(10.1) == ['x']
    second.take_told('r1', {}, [], 10.1, full=first.refusing(10.1))
    assert 'x' not in _holders(second, 10.2)
    assert second.refusing(10.2) == []
    assert first.refusing(10.0 + loadbook.FULL_SECONDS) == []


def test_an_engine_that_refuses_with_memory_free_seems_to_leave():
    """Symptom: a domain refuses requests for the eight seconds of an outage.

    Sequence: an engine that alone holds its layers leaves; its entry can't
    say so while the store is away; it refuses whatever it gets.
    Cause: only entries and silence told that an engine is gone.
    """
    book = loadbook.make_book()
    for at in (10.0, 10.35, 11.0):
        book.full('x', at, has_memory=True)
        book.full('y', at)
    assert book.seems_to_leave('x', 11.1)
    assert not book.seems_to_leave('y', 11.1)
    book.accepted(['x'], sent_at=11.1)
    assert not book.seems_to_leave('x', 11.2)
