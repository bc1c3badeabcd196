"""Held answers stay within their memory bound without refusing alerts."""

from hypothesis import given
from hypothesis import strategies
import pytest

from ibisring_records import exceptions
from ibisring_router import heldanswers

WINDOW = 600.0
ALERT_COUNT = 10_000
TEXT = 'x' * 1000


def make_answers(now, max_bytes=heldanswers.MAX_BYTES):
    """Make held answers whose clock reads the first item of a list."""
    return heldanswers.HeldAnswers(WINDOW, lambda: now[0], max_bytes)


def hold_answer(answers, key, text=TEXT):
    held, created = answers.get_or_create(key, 'fingerprint')
    assert created
    held.add(text)
    answers.finish(key, held)
    return held


def test_burst_of_alerts_is_not_refused():
    """A router with 17 keyed alerts per second refuses none of them.

    With a bound on the number of held answers, each kept for ten minutes,
    every alert was refused from the fifth minute on.
    """
    now = [0.0]
    answers = make_answers(now)
    for number in range(ALERT_COUNT):
        now[0] = number / 17.0
        hold_answer(answers, f'alerta-{number}', '{"entregado": true}')
    assert len(answers.ended) == ALERT_COUNT
    assert answers.ended_bytes <= heldanswers.MAX_BYTES


def test_oldest_ended_answers_are_dropped_first():
    now = [0.0]
    answers = make_answers(now, max_bytes=5 * (len(TEXT) + 2100))
    running, _ = answers.get_or_create('running', 'fingerprint')
    for number in range(20):
        hold_answer(answers, number)
    assert list(answers.ended) == [15, 16, 17, 18, 19]
    assert answers.get('running') is running


def test_running_answer_does_not_delay_expiry_of_later_ones():
    """Memory does not grow for as long as a keyed stream runs.

    Expiry in order of creation would stop at the running answer and keep
    all answers that were created after it.
    """
    now = [0.0]
    answers = make_answers(now)
    answers.get_or_create('long', 'fingerprint')
    hold_answer(answers, 'short')
    now[0] = WINDOW
    answers.get_or_create('next', 'fingerprint')
    assert answers.get('short') is None
    assert answers.ended_bytes == 0


def test_repeat_of_an_ended_answer_is_joined_if_the_request_is_the_same():
    answers = make_answers([0.0])
    held = hold_answer(answers, 'k')
    assert answers.get_or_create('k', 'fingerprint') == (held, False)
    with pytest.raises(exceptions.IdempotencyKeyReused):
        answers.get_or_create('k', 'other')


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('create', 'finish', 'discard', 'wait')),
            strategies.sampled_from('abcd'),
            strategies.integers(0, 4000),
        ),
        max_size=60,
    )
)
def test_ended_bytes_match_the_ended_answers(steps):
    now = [0.0]
    answers = make_answers(now, max_bytes=12_000)
    for step, key, size in steps:
        if step == 'create' and answers.get(key) is None:
            answers.get_or_create(key, 'fingerprint')[0].add('x' * size)
        elif step == 'finish' and key in answers.running:
            answers.finish(key, answers.running[key])
        elif step == 'discard':
            answers.discard(key)
        elif step == 'wait':
            now[0] += WINDOW / 3
        kept = sum(held.size() for held in answers.ended.values())
        assert answers.ended_bytes == kept <= 12_000
        assert not answers.running.keys() & answers.ended.keys()
