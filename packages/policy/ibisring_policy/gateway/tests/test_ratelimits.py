"""Tests of how routers share what an endpoint takes."""

import math
import random

from ibisring_policy.gateway import ratelimits
from ibisring_policy.gateway.tests import limitload
import pytest

Site = limitload.Site
LimitUpdate = ratelimits.LimitUpdate
# The bound: so many times what the limit allows in a window of seconds, and
# some requests more, from when all routers can know it.
TIMES = 1.5
EXTRA = 5
WINDOW = 4.0
CONTACT = 3.0
USED = 0.5


def _limits(rate=1.0, at=10.0, name='r1'):
    limits = ratelimits.make_limits(name, 'a')
    limits.record_rate('e1', 1, rate, at, at)
    return limits


def _sent(limits, begin, end, step=0.01):
    """Give when a router sends that would at every step."""
    sent, now = [], begin
    while now < end:
        if limits.acquire('e1', now, 0.0) is not None:
            sent.append(now)
        now += step
    return sent


def _tell(limits, now, router, domain='a', wanted=True):
    age = 0 if wanted else None
    word = LimitUpdate(limits.rate('e1'), 0, 1, age, age)
    limits.receive_updates(router, domain, {'e1': word}, now, {'e1': 1})


def test_without_a_limit_everything_may_go():
    limits = ratelimits.make_limits('r1', 'a')
    assert [limits.acquire('e1', 1.0, 0.0) for _ in range(9)] == [0.0] * 9


def test_one_router_keeps_to_the_rate():
    sent = _sent(_limits(rate=2.0), 10.0, 30.0)
    assert 30 <= len(sent) <= 40


def test_what_was_not_used_is_not_saved_up():
    """Failure: a router that stood still sends all that it missed."""
    limits = _limits(rate=2.0)
    limits.acquire('e1', 10.0, 0.0)
    assert len(_sent(limits, 60.0, 60.5)) <= 2


def test_a_share_that_is_new_begins_empty():
    """Failure: each of many routers sends one request at the same moment."""
    begun = [
        _limits(rate=0.5, name=f'r{n}').acquire('e1', 10.0, 0.0)
        for n in range(40)
    ]
    assert begun == [None] * 40


def test_a_later_answer_without_a_limit_ends_it():
    limits = _limits()
    assert limits.record_rate('e1', 1, None, 11.0, 11.1)
    assert limits.wait('e1', 11.1) == 0.0


def test_an_answer_that_was_under_way_ends_no_limit():
    limits = _limits(at=10.0)
    assert not limits.record_rate('e1', 1, None, 9.0, 12.0)
    assert limits.rate('e1') == 1.0


def test_another_figure_replaces_the_first():
    limits = _limits(rate=0.1)
    limits.acquire('e1', 20.0, 0.0)
    limits.record_rate('e1', 1, 10.0, 21.0, 21.0)
    assert len(_sent(limits, 21.0, 22.0)) >= 8


def test_one_that_takes_next_to_nothing_is_asked_now_and_then():
    """Failure: a limit that was recalled is kept for ever, as nobody asks."""
    limits = _limits(rate=1e-6)
    sent = _sent(limits, 10.0, 60.0, step=0.1)
    assert 3 <= len(sent) <= 5


def test_a_restart_begins_anew():
    limits = _limits()
    limits.record_start('e1', 2)
    assert limits.rate('e1') is None


def test_word_of_an_earlier_lifetime_is_not_believed():
    limits = ratelimits.make_limits('r1', 'a')
    words = {'e1': LimitUpdate(1.0, 5, 1)}
    assert limits.receive_updates('r2', 'a', words, 10.0, {'e1': 2}) == []
    assert limits.rate('e1') is None


@pytest.mark.parametrize('rate', [math.nan, math.inf, -1.0, 0.0])
def test_damaged_word_does_no_harm(rate):
    limits = ratelimits.make_limits('r1', 'a')
    limits.receive_updates(
        'r2', 'a', {'e1': LimitUpdate(rate, 5, 1)}, 10.0, {}
    )
    limits.receive_updates(
        'r2', 'a', {'e1': LimitUpdate(1.0, -5, 1)}, 10.0, {}
    )
    assert not limits.by_endpoint


def test_an_old_word_does_not_bring_a_limit_back():
    """Failure: routers tell each other of a limit for ever."""
    limits = _limits(at=10.0)
    words = limits.updates_to_send(10.5, random.Random(1))
    limits.record_rate('e1', 1, None, 11.0, 11.0)
    limits.receive_updates('r2', 'a', words, 11.0, {'e1': 1})
    assert limits.rate('e1') is None


def test_a_huge_limit_holds_nobody_back():
    limits = _limits(rate=999999999.0)
    assert len(_sent(limits, 11.0, 12.0)) == len(range(100))


def test_routers_that_want_it_share_it():
    alone = len(_sent(_limits(rate=8.0), 12.0, 22.0))
    limits = _limits(rate=8.0)
    for number in range(2, 5):
        _tell(limits, 11.9, f'r{number}')
    assert len(_sent(limits, 12.0, 17.0)) == pytest.approx(alone / 8, abs=2)


def test_a_router_that_does_not_want_it_takes_no_share():
    limits = _limits(rate=8.0)
    alone = len(_sent(_limits(rate=8.0), 12.0, 17.0))
    for number in range(2, 5):
        _tell(limits, 11.9, f'r{number}', wanted=False)
    assert len(_sent(limits, 12.0, 17.0)) == alone


def test_failure_domains_share_it():
    limits = _limits(rate=8.0)
    alone = len(_sent(_limits(rate=8.0), 12.0, 17.0))
    _tell(limits, 11.9, 'r7', 'b')
    assert len(_sent(limits, 12.0, 17.0)) == pytest.approx(alone / 2, abs=2)


def test_few_of_many_routers_share_a_small_limit():
    """Failure: 195 shares of one request each come to 195 requests."""
    names = [f'r{number}' for number in range(40)]
    sharers = 0
    for name in names:
        limits = _limits(name=name)
        for other in names:
            if other != name:
                _tell(limits, 11.0, other)
        sharers += limits.wait('e1', 11.0) < math.inf
    assert sharers == math.ceil(ratelimits.SHARERS)


def test_a_request_may_wait_for_its_turn():
    limits = _limits(rate=10.0)
    limits.acquire('e1', 12.0, 0.0)
    limits.acquire('e1', 12.0, 0.0)
    assert limits.acquire('e1', 12.0, 0.0) is None
    assert 0.0 < limits.acquire('e1', 12.0, 0.2) <= 0.2


def test_those_refused_come_back_at_different_times():
    limits = _limits(rate=4.0)
    times = []
    for number in range(20):
        draw = (number % 10) / 10
        times.append(limits.retry_after(['e1'], number, 12.0, draw))
    assert len(set(times)) > 10
    assert max(times) > 2.0 and min(times) > 0.0


def test_a_router_without_a_share_names_a_time_too():
    limits = _limits()
    for number in range(40):
        _tell(limits, 11.0, f'x{number}')
    assert limits.wait('e1', 11.0) == math.inf
    assert 0.0 < limits.retry_after(['e1'], 0, 11.0, 0.5) < 10.0


def test_a_recall_is_told_for_a_while():
    limits = _limits(at=10.0)
    limits.record_rate('e1', 1, None, 11.0, 11.0)
    assert limits.updates_to_send(12.0, random.Random(1))['e1'].rate is None
    later = 12.0 + ratelimits.RECALLED_FOR
    assert not limits.updates_to_send(later, random.Random(1))


def test_what_is_old_and_not_wanted_is_told_seldom():
    limits = _limits(at=10.0)
    rng = random.Random(1)
    assert limits.updates_to_send(10.5, rng, 0.0)
    assert not limits.updates_to_send(20.0, rng, 0.0)
    told = sum(
        bool(limits.updates_to_send(20.0, rng, 0.2)) for _ in range(200)
    )
    assert 20 <= told <= 60
    limits.acquire('e1', 20.0, 0.0)
    assert limits.updates_to_send(20.5, rng, 0.0)


def test_only_so_many_limits_are_kept_and_told():
    limits = ratelimits.make_limits('r1', 'a')
    for number in range(ratelimits.MOST_KNOWN + 10):
        limits.record_rate(f'e{number}', 1, 1.0, 10.0, 10.0)
    assert len(limits.by_endpoint) == ratelimits.MOST_KNOWN
    assert (
        len(limits.updates_to_send(10.0, random.Random(1)))
        == ratelimits.MOST_TOLD
    )
    limits.keep_only(['e1'])
    assert list(limits.by_endpoint) == ['e1']


@pytest.mark.parametrize(
    ('site', 'seeds'),
    [
        (Site(routers=3), 4),
        (Site(), 4),
        (Site(rate=4.0), 4),
        (Site(rate=20.0, demand=10.0), 2),
        (Site(wanting=1), 4),
        (Site(late=3), 4),
        (Site(late=3, rate=8.0), 4),
        (Site(frozen=2, rate=4.0), 4),
        (Site(routers=88, demand=1.0, rate=10.0, seconds=15.0), 1),
        (Site(195, 5, 5, demand=1.0, seconds=15.0), 1),
        (Site(195, 5, 5, rate=10.0, demand=1.0, late=97, seconds=15.0), 1),
    ],
)
def test_the_fleet_keeps_to_a_limit_and_uses_it(site, seeds):
    """Load: more than an endpoint takes; routers come later, stand still."""
    for seed in range(seeds):
        sent = limitload.play(site, seed).sent
        most = limitload.max_in_window(sent, WINDOW, CONTACT)
        assert most <= TIMES * site.rate * WINDOW + EXTRA
        later = [at for at in sent if at > 2 * CONTACT]
        may = site.rate * (site.seconds - 2 * CONTACT)
        assert len(later) >= USED * may
