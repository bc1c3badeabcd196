"""Held answers keep to their bytes and refuse no alert in a storm."""

from hypothesis import given
from hypothesis import strategies
import pytest

from ibisring_records import exceptions
from ibisring_router import heldanswers

WINDOW = 600.0
STORM = 10_000
TEXT = 'x' * 1000


def make_answers(now, max_bytes=heldanswers.MAX_BYTES):
    """Make held answers whose clock is the first item of a list."""
    return heldanswers.HeldAnswers(WINDOW, lambda: now[0], max_bytes)


def answer(answers, key, text=TEXT):
    held, made = answers.open(key, 'print')
    assert made
    held.add(text)
    answers.end(key, held)
    return held


def test_storm_of_alerts_is_not_refused():
    """Symptom: in the fifth minute of a storm every alert is refused.

    Sequence: 17 keyed alerts a second at one router; each answer is kept
    for ten minutes.
    Cause: the number of answers held was bounded, and the next refused.
    """
    now = [0.0]
    answers = make_answers(now)
    for number in range(STORM):
        now[0] = number / 17.0
        answer(answers, f'alerta-{number}', '{"entregado": true}')
    assert len(answers.ended) == STORM
    assert answers.bytes <= heldanswers.MAX_BYTES


def test_oldest_ended_answers_make_room():
    now = [0.0]
    answers = make_answers(now, max_bytes=5 * (len(TEXT) + 2100))
    running, _ = answers.open('running', 'print')
    for number in range(20):
        answer(answers, number)
    assert list(answers.ended) == [15, 16, 17, 18, 19]
    assert answers.get('running') is running


def test_long_answer_does_not_keep_later_ones_from_expiring():
    """Symptom: the memory of a router grows for as long as a stream runs.

    Sequence: a long keyed stream; short ones after it end and grow old.
    Cause: what was made later was looked at only once the first had ended.
    """
    now = [0.0]
    answers = make_answers(now)
    answers.open('long', 'print')
    answer(answers, 'short')
    now[0] = WINDOW
    answers.open('next', 'print')
    assert answers.get('short') is None
    assert answers.bytes == 0


def test_key_of_an_ended_answer_is_joined_and_guarded():
    answers = make_answers([0.0])
    held = answer(answers, 'k')
    assert answers.open('k', 'print') == (held, False)
    with pytest.raises(exceptions.IdempotencyKeyReused):
        answers.open('k', 'other')


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('open', 'end', 'discard', 'wait')),
            strategies.sampled_from('abcd'),
            strategies.integers(0, 4000),
        ),
        max_size=60,
    )
)
def test_bytes_are_those_of_the_ended_answers(steps):
    now = [0.0]
    answers = make_answers(now, max_bytes=12_000)
    for step, key, size in steps:
        if step == 'open' and answers.get(key) is None:
            answers.open(key, 'print')[0].add('x' * size)
        elif step == 'end' and key in answers.running:
            answers.end(key, answers.running[key])
        elif step == 'discard':
            answers.discard(key)
        elif step == 'wait':
            now[0] += WINDOW / 3
        kept = sum(held.size() for held in answers.ended.values())
        assert answers.bytes == kept <= 12_000
        assert not answers.running.keys() & answers.ended.keys()
