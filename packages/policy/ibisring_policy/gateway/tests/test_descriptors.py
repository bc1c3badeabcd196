"""Tests of how descriptors are shared among kinds of connections."""

import itertools

from ibisring_policy.gateway import descriptors
import pytest

Kind = descriptors.Kind
KINDS = tuple(Kind)
# Few enough that all numbers of open connections are tried.
RESERVED = dict(zip(KINDS, (2, 1, 2, 1), strict=True))
CONNECTIONS = 8


def _reachable():
    """Return all numbers of open connections that can be reached."""
    budget = _budget()
    found = {tuple(budget.used.values())}
    new = list(found)
    while new:
        counts = new.pop()
        for kind in KINDS:
            budget.used = dict(zip(KINDS, counts, strict=True))
            if budget.open(kind):
                after = tuple(budget.used.values())
                if after not in found:
                    found.add(after)
                    new.append(after)
    return found


def _budget(counts=(0, 0, 0, 0)):
    shares = descriptors.Shares(CONNECTIONS, RESERVED, 2)
    budget = descriptors.Budget(shares)
    budget.used = dict(zip(KINDS, counts, strict=True))
    return budget


def test_connections_never_exceed_their_number():
    """Guards against a process that runs out of descriptors."""
    found = _reachable()
    assert max(sum(counts) for counts in found) == CONNECTIONS
    for counts in found:
        assert sum(counts) <= CONNECTIONS


def test_each_kind_always_gets_what_is_reserved_for_it():
    """Guards against callers that leave none for endpoints, and others."""
    for counts in _reachable():
        budget = _budget(counts)
        for kind in KINDS:
            if budget.used[kind] < RESERVED[kind]:
                assert budget.may_open(kind), (counts, kind)


def test_kind_gets_all_that_no_other_uses_or_has_reserved():
    """Guards against connections refused while descriptors are left."""
    for counts in _reachable():
        budget = _budget(counts)
        for kind in KINDS:
            others = sum(
                max(budget.used[k], RESERVED[k]) for k in KINDS if k != kind
            )
            has_room = budget.used[kind] + others < CONNECTIONS
            assert budget.may_open(kind) or not has_room, (counts, kind)


def test_closed_connection_makes_room_for_one_of_its_kind():
    """Guards against an idle connection closed for nothing."""
    for counts, kind in itertools.product(_reachable(), KINDS):
        budget = _budget(counts)
        if budget.used[kind] and not budget.may_open(kind):
            budget.close(kind)
            assert budget.open(kind), (counts, kind)


def test_closed_connection_of_a_named_kind_makes_room():
    """Guards against an idle connection closed for nothing."""
    for counts, kind in itertools.product(_reachable(), KINDS):
        budget = _budget(counts)
        if budget.may_open(kind):
            continue
        closable = budget.kinds_to_close(kind)
        for other in KINDS:
            after = _budget(counts)
            if after.used[other]:
                after.close(other)
                assert after.open(kind) == (other in closable)


def test_refusals_are_bounded():
    """Guards against refused connections that use up the descriptors."""
    budget = _budget()
    assert [budget.begin_refusal() for _ in range(3)] == [True, True, False]
    budget.end_refusal()
    assert budget.begin_refusal()


@pytest.mark.parametrize(
    'limits',
    [
        range(descriptors.MIN_LIMIT, 2000),
        range(2000, 70000, 97),
    ],
)
def test_shares_fit_into_every_limit(limits):
    """Guards against a limit at which some kind can open nothing."""
    for limit in limits:
        shares = descriptors.derive_shares(limit)
        assert min(shares.reserved.values()) > 0
        assert shares.refusals > 0
        assert sum(shares.reserved.values()) <= shares.connections
        assert shares.connections + shares.refusals < limit


@pytest.mark.parametrize('limit', [1535, 4200, 8192])
def test_files_and_own_connections_have_descriptors_left(limit):
    shares = descriptors.derive_shares(limit)
    left = limit - shares.connections - shares.refusals
    assert left >= descriptors.FILES + descriptors.MIN_OWN
