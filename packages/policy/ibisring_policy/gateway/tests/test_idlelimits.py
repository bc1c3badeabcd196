"""Tests of how long idle connections of callers are kept."""

from ibisring_policy.gateway import idlelimits

OVERLAP = idlelimits.OVERLAP_SECONDS
MARGIN = idlelimits.MARGIN_SECONDS


def test_connection_expires_after_limit_and_margin():
    limits = idlelimits.make_idle_limits(15.0)
    assert not limits.is_expired(0.0, 15.0, 15.0 + MARGIN)
    assert limits.is_expired(0.0, 15.0, 15.1 + MARGIN)


def test_lowered_limit_keeps_connections_used_before():
    """Guards against a close while callers go by the longer limit."""
    limits = idlelimits.make_idle_limits(15.0)
    limits.change(1.0, now=0.0)
    assert not limits.is_expired(0.0, 15.0, 12.0)
    assert limits.is_expired(0.0, 15.0, 16.1 + OVERLAP)


def test_lowered_limit_keeps_connections_used_just_after():
    """Guards against a close for callers that don't know the change yet."""
    limits = idlelimits.make_idle_limits(60.0)
    limits.change(1.0, now=0.0)
    used = OVERLAP - 1.0
    at_use = limits.longest(used)
    assert at_use == 60.0
    assert not limits.is_expired(used, at_use, used + 48.0)


def test_raised_limit_holds_for_connections_used_before():
    """Guards against a close while callers go by the newer, longer limit."""
    limits = idlelimits.make_idle_limits(1.0)
    limits.change(15.0, now=1.5)
    assert not limits.is_expired(0.0, 1.0, 12.0)


def test_lowered_limit_holds_in_the_end():
    """Guards against idle connections that are never closed."""
    limits = idlelimits.make_idle_limits(15.0)
    limits.change(1.0, now=0.0)
    used = OVERLAP + 1.0
    assert limits.longest(used) == 1.0
    assert limits.is_expired(used, 1.0, used + 2.1)


def test_longest_of_several_changes_holds():
    """Guards against a series of changes that hides the longest limit."""
    limits = idlelimits.make_idle_limits(2.0)
    limits.change(15.0, now=0.0)
    limits.change(3.0, now=1.0)
    limits.change(1.0, now=2.0)
    assert limits.longest(3.0) == 15.0
    assert limits.longest(OVERLAP + 1.5) == 3.0


def test_repeated_limit_is_no_change():
    """Guards against a list that grows with each configuration."""
    limits = idlelimits.make_idle_limits(2.0)
    limits.change(2.0, now=0.0)
    assert limits.former == ()
