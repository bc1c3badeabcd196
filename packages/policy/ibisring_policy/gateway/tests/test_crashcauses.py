"""Tests of what explains the crashes of endpoints."""

from hypothesis import given
from hypothesis import strategies

from ibisring_policy.gateway import crashcauses


def evidence(feature, moments, answers=0):
    """Return evidence with a crash a second for each moment."""
    crashes = {moment: float(moment) for moment in moments}
    return crashcauses.Evidence(feature, crashes, answers)


def causes(*listed):
    """Return the sorted features of each cause that is found."""
    return [sorted(cause.features) for cause in crashcauses.find(listed)]


def test_three_crashes_without_an_answer_are_a_cause():
    assert causes(evidence(b'a', [1, 2])) == []
    assert causes(evidence(b'a', [1, 2, 3])) == [[b'a']]


def test_part_that_sound_requests_share_is_no_cause():
    """Guards against refusing the prompt that all requests begin with."""
    shared = evidence(b'shared', [1, 2, 3, 4, 5], answers=11)
    assert causes(shared) == []
    assert causes(shared, evidence(b'deadly', [1, 2, 3, 5])) == [[b'deadly']]


def test_rarely_answered_part_beside_the_crashes_is_no_cause():
    """Guards against refusing the few sound requests that ran beside."""
    beside = evidence(b'beside', [1, 2, 4], answers=1)
    assert causes(beside, evidence(b'deadly', [1, 2, 3, 4])) == [[b'deadly']]
    unanswered = evidence(b'beside', [1, 2, 4])
    assert causes(unanswered, evidence(b'deadly', [1, 2, 3, 4])) == [
        [b'deadly']
    ]


def test_parts_that_only_come_together_are_one_cause():
    """Guards against refusing a sound part that the deadly one comes with."""
    pair = evidence(b'a', [1, 2, 3]), evidence(b'b', [1, 2, 3])
    assert causes(*pair) == [[b'a', b'b']]
    apart = evidence(b'a', [1, 2, 3, 4]), evidence(b'b', [1, 2, 3])
    assert causes(*apart) == [[b'a']]


def test_two_deadly_parts_are_two_causes():
    first = evidence(b'first', [1, 2, 4, 5])
    second = evidence(b'second', [3, 4, 6, 7])
    assert causes(first, second) == [[b'first'], [b'second']]


def test_part_beside_two_deadly_ones_is_no_cause():
    """Guards against refusing what ran beside both, before either is known."""
    beside = evidence(b'beside', [1, 2, 3], answers=1)
    first, second = evidence(b'first', [1, 3]), evidence(b'second', [2, 5])
    assert causes(beside, first, second) == []
    known = evidence(b'first', [1, 3, 4])
    assert causes(beside, known, second) == [[b'first']]


def test_part_that_crashes_every_other_endpoint_is_a_cause():
    sometimes = evidence(b'sometimes', [1, 2, 3], answers=3)
    shared = evidence(b'shared', [1, 2, 3], answers=30)
    assert causes(sometimes, shared) == [[b'sometimes']]


def test_endpoints_that_end_at_the_same_moment_count_once():
    """Guards against a herd of crashes that convicts what all share."""
    herd = {number: 1.0 + number / 1000 for number in range(20)}
    assert crashcauses.find([crashcauses.Evidence(b'shared', herd)]) == []


_MOMENTS = strategies.sets(strategies.integers(1, 8), min_size=1)


@given(strategies.lists(strategies.tuples(_MOMENTS, strategies.integers(0))))
def test_each_cause_explains_crashes_that_no_other_does(drawn):
    listed = [
        evidence(b'%d' % number, moments, answers)
        for number, (moments, answers) in enumerate(drawn)
    ]
    known = {each.feature: set(each.crashes) for each in listed}
    explained = set()
    for cause in crashcauses.find(listed):
        moments = [known[name] for name in cause.features]
        assert all(each == moments[0] for each in moments)
        assert len(moments[0] - explained) >= crashcauses.MIN_CRASHES
        explained |= moments[0]
