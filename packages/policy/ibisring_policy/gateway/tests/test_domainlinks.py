"""Tests of the budgets of links between failure domains."""

from ibisring_policy.gateway import domainlinks
from ibisring_policy.gateway import linkshares
from ibisring_policy.gateway.tests import linkload
from ibisring_policy.gateway.tests.linkload import Site
import pytest

PAIR = ('a', 'b')
MB, RATE = 27.8, 93.75
BUDGET = RATE * linkshares.usable_share(MB / RATE, 0.5)
# The demands of the first seconds of a high load are known late.
SETTLED_SECONDS = domainlinks.MAX_WINDOW_SECONDS


def _links(draw=0.5, total=1):
    links = domainlinks.make_domain_links('r1', 'a', lambda: draw)
    links.set_fleet({'a': total}, total, 0.0)
    return links


def _transfer(continues=False):
    return domainlinks.Transfer(MB, RATE, 0.5, continues)


def _ask(links, now, continues=False, pairs=(PAIR,)):
    return links.admit(list(pairs), _transfer(continues), now)


def _report(megabytes, continuing=0.0):
    scale = domainlinks.BYTES_PER_MB
    return [(*PAIR, int(megabytes * scale), int(continuing * scale))]


def _use_up(links, now):
    for number in range(8):
        links.receive(f'x{number}', 'a', _report(BUDGET), now)


def _load(site, seed):
    """Return the admitted load relative to the budget, and by router."""
    found = linkload.simulate(site, seed, BUDGET)
    found = [each for each in found if each[0] >= SETTLED_SECONDS]
    seconds = site.seconds - SETTLED_SECONDS
    return len(found) * MB / seconds / BUDGET, found


@pytest.mark.parametrize(
    ('site', 'low', 'high'),
    [
        (Site(1, 4.0, seconds=60.0), 0.6, 1.4),
        (Site(3, 0.3, seconds=60.0), 0.2, 0.5),
        (Site(3, 8.0, seconds=60.0), 0.6, 1.4),
        (Site(18, 1.0, seconds=60.0), 0.6, 1.4),
        (Site(39, 4.0, seconds=60.0), 0.6, 1.4),
        (Site(88, 8.0), 0.6, 1.5),
        (Site(195, 8.0, 5, seconds=25.0), 0.6, 2.0),
        (Site(39, 4.0, idle=30, seconds=60.0), 0.6, 1.5),
    ],
)
def test_the_fleet_keeps_to_a_budget_and_uses_it(site, low, high):
    """Failure: routers that miss a third of the gossip overload the link."""
    assert low <= _load(site, 1)[0] <= high


@pytest.mark.parametrize('routers', [3, 18, 39])
def test_silent_gossip_leaves_equal_parts(routers):
    """Failure: routers that hear nothing each use the whole budget."""
    load, found = _load(Site(routers, 8.0, loss=1.1), 1)
    assert 0.1 <= load <= 1.1
    counts = [sum(each[1] == n for each in found) for n in range(routers)]
    assert max(counts) <= 1 + 30.0 * BUDGET / MB / routers


def test_little_of_an_equal_part_accumulates():
    """Failure: all routers send a burst after a pause."""
    links = _links(total=2)
    while _ask(links, 100.0) is not None:
        links.by_pair[PAIR].owed = 0.0
    assert _ask(links, 1000.0) is None
    unused = 2 * domainlinks.MAX_UNUSED_SECONDS
    wait = MB / (BUDGET / 2) - unused
    assert _ask(links, 1000.1) == pytest.approx(wait)


def test_streams_that_continue_have_precedence():
    """Failure: new requests take the link, and started streams are lost."""
    found = _load(Site(3, 8.0, continuing=0.1, seconds=60.0), 1)[1]
    continuing = sum(each[2] for each in found)
    asked = 8.0 * BUDGET / MB * (60.0 - SETTLED_SECONDS) * 0.1
    assert continuing >= 0.6 * asked
    assert len(found) - continuing >= 1


def test_silent_gossip_leaves_a_part_to_streams_that_continue():
    links = _links(total=2)
    while _ask(links, 100.0) is not None:
        links.by_pair[PAIR].owed = 0.0
    assert _ask(links, 100.1) is not None
    assert _ask(links, 100.1, continues=True) is None


def test_the_demand_of_others_reduces_the_share():
    links = _links(total=9)
    links.receive('x0', 'a', [], 9.9)
    assert _ask(links, 10.0) is None
    _use_up(links, 10.1)
    waits = [_ask(links, 10.2 + 0.01 * n) for n in range(4)]
    assert all(waits)
    new_rate = (1.0 - domainlinks.KEPT_SHARE) * BUDGET
    assert waits == pytest.approx([MB / new_rate] * 4)


def test_one_router_with_much_demand_leaves_the_others_their_part():
    links = _links(total=2)
    links.receive('x0', 'a', _report(40.0 * BUDGET), 10.0)
    assert _ask(links, 10.1) is None


def test_a_request_that_polls_is_counted_once():
    """Failure: polls of one request count as demand, or are drawn again."""
    links = _links(total=9, draw=0.99)
    _use_up(links, 10.0)
    transfer = _transfer()
    first = links.admit([PAIR], transfer, 10.0)
    times = [10.0 + first * n / 20 for n in range(1, 20)]
    waits = [first, *(links.admit([PAIR], transfer, at) for at in times)]
    assert waits == sorted(waits, reverse=True)
    assert len(links.by_pair[PAIR].asked) == 1


def test_a_refusal_holds_for_the_links_that_refused():
    """Failure: a chain over a free link is refused as one over a full one."""
    links = _links(total=9, draw=0.99)
    _use_up(links, 10.0)
    transfer = _transfer()
    assert links.admit([PAIR, ('a', 'c')], transfer, 10.1) is not None
    assert transfer.refused_pairs([('a', 'c'), PAIR]) == {PAIR}
    assert links.admit([('a', 'c')], transfer, 10.1) is None
    assert links.admit([PAIR], transfer, 10.15) is not None


def test_a_refused_stream_that_continues_is_drawn_again_soon():
    """Failure: a started stream waits for longer than its caller does."""
    links = _links(total=9, draw=0.99)
    links.receive('x0', 'a', _report(0.0, 40.0 * BUDGET), 10.0)
    transfer = _transfer(continues=True)
    assert links.admit([PAIR], transfer, 10.0) > 0.2
    links.draw = lambda: 0.0
    assert links.admit([PAIR], transfer, 10.19) is not None
    assert links.admit([PAIR], transfer, 10.21) is None


def test_each_crossing_counts():
    links = _links()
    domains = domainlinks.crossings(['a', 'b', 'a', 'c'])
    _ask(links, 10.0, pairs=domains)
    assert links.by_pair[PAIR].asked[0].megabytes == 2 * MB
    assert links.by_pair['a', 'c'].asked[0].megabytes == MB


def test_reports_expire_and_are_bounded():
    links = _links(total=2)
    many = [('a', f'd{n:03}', 1, 1) for n in range(900)]
    links.receive('r2', 'a', [('z', 'a', 5, 5), ('a', 'b', -1, 0)], 9.0)
    assert not links.by_pair
    links.receive('r2', 'a', many, 10.0)
    assert len(links.by_pair) == domainlinks.MAX_SENT
    for number in range(200):
        _ask(links, 10.0 + number / 100, pairs=[('a', f'e{number:03}')])
    assert len(links.by_pair) == domainlinks.MAX_LINKS
    assert len(links.updates_to_send(12.0)) == domainlinks.MAX_SENT
    links.set_fleet({'a': 2}, 2, 30.0)
    assert not any(each.reports for each in links.by_pair.values())
    assert not links.heard and not links.updates_to_send(60.0)
