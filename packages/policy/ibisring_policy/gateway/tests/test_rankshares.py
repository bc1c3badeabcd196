"""Tests of the shares of ranks, with the clock set by the test."""

import pytest

from ibisring_policy.gateway import rankshares

URGENT, MIDDLE, LOW = (0, 0), (0, 1), (0, 2)
CHAT = 'chat'


def _shares(capacity=1000.0, routers=1):
    shares = rankshares.make_rank_shares()
    shares.set_ranked({CHAT: (URGENT, LOW)})
    shares.note_capacity(CHAT, capacity)
    shares.note_routers(routers, 100.0)
    return shares


def _tell(shares, router, now, **use):
    """Have a router send its use; `older` is that of an older release."""
    older = use.pop('older', None)
    ranks = {'urgent': URGENT, 'middle': MIDDLE, 'low': LOW}
    entries = [(*ranks[name], amount) for name, amount in use.items()]
    shares.receive(
        router,
        {CHAT: entries} if entries else {},
        {CHAT: older} if older else {},
        now,
    )


def test_difference_of_peak_and_present_use_is_kept_free():
    """Guards against low ranks that take the room of the last burst."""
    shares = _shares()
    _tell(shares, 'r2', 100.0, urgent=500, low=100)
    shares.reserve(CHAT, URGENT, 100)
    assert shares.share(CHAT, LOW, 100.0) == 1.0
    _tell(shares, 'r2', 101.0, urgent=150, low=100)
    assert shares.share(CHAT, LOW, 101.0) == pytest.approx(0.65)
    assert shares.share(CHAT, URGENT, 101.0) == 1.0
    assert shares.share('other', LOW, 101.0) == 1.0


def test_peak_fades():
    """Guards against room kept free for a burst that does not come back."""
    shares = _shares()
    _tell(shares, 'r2', 100.0, urgent=600, low=100)
    shares.share(CHAT, LOW, 100.0)
    for now in (101.0, 105.0, 109.9):
        _tell(shares, 'r2', now, low=100)
        assert shares.share(CHAT, LOW, now) == pytest.approx(0.4)
    _tell(shares, 'r2', 110.6, low=100)
    assert shares.share(CHAT, LOW, 110.6) == 1.0


def test_low_ranks_may_always_hold_the_least_share():
    """Guards against a lowest rank that is never served under overload."""
    shares = _shares()
    _tell(shares, 'r2', 100.0, urgent=990, low=10)
    shares.share(CHAT, LOW, 100.0)
    _tell(shares, 'r2', 101.0, urgent=700, low=10)
    least = rankshares.MIN_RANK_SHARE
    assert shares.share(CHAT, LOW, 101.0) == pytest.approx(0.7 + least)
    _tell(shares, 'r2', 102.0, low=10)
    assert shares.share(CHAT, LOW, 102.0) == least


def test_lower_rank_never_has_the_larger_share():
    """Guards against the least share letting a rank overtake another."""
    shares = _shares()
    _tell(shares, 'r2', 100.0, urgent=600, middle=400, low=50)
    shares.share(CHAT, LOW, 100.0)
    _tell(shares, 'r2', 101.0, urgent=200, middle=900, low=50)
    middle = shares.share(CHAT, MIDDLE, 101.0)
    assert middle == pytest.approx(0.6)
    assert shares.share(CHAT, LOW, 101.0) <= middle


def test_single_rank_uses_everything():
    shares = _shares()
    _tell(shares, 'r2', 100.0, urgent=600)
    shares.share(CHAT, URGENT, 100.0)
    _tell(shares, 'r2', 101.0, urgent=100)
    assert shares.share(CHAT, LOW, 101.0) == 1.0


def test_use_of_a_silent_router_expires():
    """Guards against room taken for ever by a router that has ended."""
    shares = _shares(routers=3)
    _tell(shares, 'r2', 100.0, urgent=600)
    for now in (102.0, 104.0, 106.0, 107.9):
        _tell(shares, 'r3', now, low=10)
    assert shares.use(CHAT, 107.9) == {URGENT: 600, LOW: 10}
    _tell(shares, 'r3', 108.5, low=10)
    assert shares.use(CHAT, 108.5) == {LOW: 10}


def test_silence_keeps_the_peak_and_divides_the_rest():
    """Guards against each router taking the whole share without gossip."""
    shares = _shares(routers=10)
    _tell(shares, 'r2', 100.0, urgent=500, low=100)
    shares.share(CHAT, LOW, 100.0)
    _tell(shares, 'r2', 101.0, urgent=100, low=100)
    assert not shares.is_used_up(CHAT, LOW, 103.4)
    shares.reserve(CHAT, LOW, 49)
    for now in (103.6, 130.0):
        assert shares.share(CHAT, LOW, now) == pytest.approx(0.5)
        assert not shares.is_used_up(CHAT, LOW, now)
    shares.reserve(CHAT, LOW, 1)
    assert shares.is_used_up(CHAT, LOW, 130.0)
    assert not shares.is_used_up(CHAT, URGENT, 130.0)
    _tell(shares, 'r2', 131.0, urgent=100, low=100)
    assert not shares.is_used_up(CHAT, LOW, 131.0)
    assert shares.share(CHAT, LOW, 131.0) == pytest.approx(0.6)


def test_router_that_has_heard_nothing_yet_uses_an_equal_part():
    """Guards against a fleet that restarts and fills engines N times."""
    shares = _shares(routers=10)
    shares.reserve(CHAT, LOW, 100)
    assert shares.is_used_up(CHAT, LOW, 100.1)
    assert not _shares(routers=1).is_used_up(CHAT, LOW, 100.1)


def test_use_of_an_older_release_counts_as_the_lowest_rank():
    """Guards against room kept free for requests of unknown rank."""
    shares = _shares()
    _tell(shares, 'r2', 100.0, older=700)
    _tell(shares, 'r3', 100.0, urgent=200)
    assert shares.use(CHAT, 100.0) == {LOW: 700, URGENT: 200}
    _tell(shares, 'r2', 101.0)
    assert shares.share(CHAT, LOW, 101.0) == 1.0


def test_what_is_sent_is_bounded():
    """Guards against datagrams that grow with the number of ranks."""
    shares = rankshares.make_rank_shares()
    shares.set_ranked({f's{n}': ((0, 0), (0, 50)) for n in range(9)})
    for number in range(9):
        for priority in range(50):
            shares.reserve(f's{number}', (0, priority), 10 + number)
    sent = shares.use_to_send()
    assert sorted(sent) == ['s5', 's6', 's7', 's8']
    assert {len(entries) for entries in sent.values()} == {6}
    assert sum(amount for _, _, amount in sent['s8']) == 50 * 18


def test_disabled_shares_bound_and_send_nothing():
    shares = rankshares.make_rank_shares()
    shares.is_enabled = False
    shares.set_ranked({CHAT: (URGENT, LOW)})
    shares.reserve(CHAT, URGENT, 5)
    assert shares.use_to_send() == {}
    assert shares.share(CHAT, LOW, 100.0) == 1.0


def test_overlapping_attempts_without_a_size_are_released():
    """Guards against a request that ends as an error while it is moved."""
    shares = _shares()
    for _ in range(2):
        shares.reserve(CHAT, LOW, 0)
    for _ in range(2):
        shares.release(CHAT, LOW, 0)
    assert shares.own[CHAT] == {}
