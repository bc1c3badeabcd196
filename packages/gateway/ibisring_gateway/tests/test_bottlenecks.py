"""Tests of admission by links and by capacity."""

import collections
import threading
import time
import types

import pytest

from ibisring_gateway import bottlenecks
from ibisring_gateway import chainsearch
from ibisring_gateway import forwarding
from ibisring_gateway import gossipmessages
from ibisring_gateway import gossipreceiving
from ibisring_gateway import selecting
from ibisring_gateway import settings as settings_module
from ibisring_gateway.tests import bottleneckload
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import linkshares
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions
import msgspec

# Requests per second that the engines' memory, and the link's budget, carry.
MEMORY_RATE = 5.7
LINK_MB_RATE = 750.0 / 8.0
REQUEST_MB = (bottleneckload.PROMPT + bottleneckload.ANSWER) * 0.036
LINK_RATE = (
    linkshares.usable_share(REQUEST_MB / LINK_MB_RATE, 0.5)
    * LINK_MB_RATE
    / REQUEST_MB
)
LINK = {'fits': 500.0, 'mbps': 750.0, 'seconds': 250.0}


Site = bottleneckload.Site


def _selector(mbps=750.0, domains='ab', fits=500.0):
    """Return the selector of a router before two engines."""
    site = Site(1.0, fits=fits, mbps=mbps)
    engines = [
        build.held_endpoint('e1', 0, 40, domains[0], 'half'),
        build.held_endpoint('e2', 40, 80, domains[1], 'half'),
    ]
    view = builders.make_view(engines, site.table())
    view.clock = builders.Clock()
    return selecting.make_selector(view)


def _choose(selector, **progress):
    now = selector.view.clock()
    job = bottleneckload.make_job(selector.view, now, **progress)
    return job, selector.choose(job, now)


def _use_up(selector):
    """Report so much demand for the link that no new request is admitted."""
    links = selector.view.domain_links
    links.set_fleet({'a': 61}, 61, selector.view.clock())
    for number in range(60):
        demand = [('a', 'b', 10**9, 0)]
        links.receive(f'x{number}', 'a', demand, selector.view.clock())
    links.draw = lambda: 0.5


@pytest.mark.parametrize(
    ('rate', 'fields'), [(MEMORY_RATE, {}), (LINK_RATE, LINK)]
)
def test_goodput_does_not_fall_as_load_grows(rate, fields):
    """Guards against overload that lowers what is served completely.

    Load: 1, 2, 4 and 8 times what the memory, or the link, carries.
    """
    served = [
        bottleneckload.Simulation(Site(rate * times, **fields)).run()
        for times in (1, 2, 4, 8)
    ]
    assert min(served[1:]) > 0.8 * max(served)
    assert served[0] > 0.8 * rate


def test_without_budgets_the_link_collapses():
    """Guards the load test: it must fail without what it tests."""
    site = Site(16 * LINK_RATE, budgets=False, **LINK)
    assert bottleneckload.Simulation(site).run() < 0.2 * LINK_RATE


def test_silent_gossip_leaves_the_link_in_use():
    site = Site(4 * LINK_RATE, silent=True, **LINK)
    assert 0.4 < bottleneckload.Simulation(site).run() / LINK_RATE < 1.4


def test_unknown_rate_leaves_requests_as_they_are():
    # More than the budget, but less than the link carries without one.
    site = Site(1.3 * LINK_RATE, known_mbps=0.0, **LINK)
    simulation = bottleneckload.Simulation(site)
    assert simulation.run() > 0.9 * site.arrivals
    assert not any(simulation.reasons)


def test_service_recovers_after_an_engine_of_the_only_path_is_back():
    site = Site(4 * LINK_RATE, lost=(50.0, 100.0), **LINK)
    simulation = bottleneckload.Simulation(site)
    simulation.run()
    assert simulation.rate(60.0, 100.0) == 0.0
    assert simulation.rate(110.0, 250.0) > 0.7 * LINK_RATE


def test_half_of_the_fleet_on_an_older_release_is_not_crowded_out():
    # The older half, which has no budget, leaves room on the link itself.
    site = Site(2 * LINK_RATE, older=2, **LINK)
    counts = []
    for seed in range(1, 4):
        simulation = bottleneckload.Simulation(site, seed)
        simulation.run()
        counts.append(simulation.by_release[False])
        assert counts[-1] < simulation.by_release[True]
    half = LINK_RATE / 2 * site.seconds
    assert 0.6 * half < sum(counts) / len(counts) < 1.2 * half


def test_request_without_budget_is_refused_with_the_link():
    selector = _selector()
    _use_up(selector)
    job, choice = _choose(selector)
    assert choice is None
    facts = selector.bottlenecks.facts(job)['link_budget']
    assert facts['links'] == ['a b'] and facts['crossings'] == 1
    waits = {selector.refuse(job, selector.view.clock()) for _ in range(20)}
    assert len(waits) > 10
    assert 0.5 <= min(waits) <= max(waits) <= 4.0


def test_wait_for_memory_does_not_grow_with_the_fleet():
    """Guards against callers that are sent away for longer than they wait."""
    waits = []
    for routers in (1, 195):
        selector = _selector(domains='aa', mbps=0.0, fits=200.0)
        now = selector.view.clock()
        selector.view.domain_links.set_fleet({'a': routers}, routers, now)
        tokens = {name: 1.04 * 200 * 868 * 40 for name in ('e1', 'e2')}
        selector.view.estimates.merge_gossip('r2', tokens, [], now)
        selector.bottlenecks.draw = lambda: 0.999
        for _ in range(20):
            job, _choice = _choose(selector)
            wait = selector.refuse(job, now)
        waits.append(wait)
    assert waits[0] == waits[1] <= 4.0


def test_stream_that_continues_is_admitted_without_budget_for_new_ones():
    selector = _selector()
    _use_up(selector)
    assert _choose(selector, delivering=True)[1] is not None


@pytest.mark.parametrize('changes', [{'mbps': 0.0}, {'domains': 'aa'}])
def test_no_budget_is_needed(changes):
    selector = _selector(**changes)
    _use_up(selector)
    assert _choose(selector)[1] is not None


def test_switch_turns_budgets_off():
    selector = _selector()
    selector.view.link_budgets = False
    _use_up(selector)
    assert _choose(selector)[1] is not None


def test_full_engines_within_a_domain_replace_a_crossing():
    """Guards against a refusal while one domain can still serve."""
    selector = _selector(fits=20.0)
    view = selector.view
    third = build.held_endpoint('e3', 40, 80, 'a', 'half')
    view.snapshot.endpoints['e3'] = third
    view.snapshot.by_service['model'].append(third)
    view.estimates.get('e3').tokens = 0.97 * 20 * 843 * 40
    assert [s.endpoint for s in _choose(selector)[1].stages] == ['e1', 'e2']
    _use_up(selector)
    job, choice = _choose(selector)
    assert [s.endpoint for s in choice.stages] == ['e1', 'e3']
    assert job.blocked_by is None


@pytest.mark.parametrize(
    ('first', 'domain', 'expected'),
    [(40, 'c', ['e1', 'e3']), (0, 'c', ['e3', 'e2'])],
)
@pytest.mark.parametrize('avoid', [(), ('e3',)])
def test_another_link_replaces_one_without_budget(
    first, domain, expected, avoid
):
    """Guards against a refusal while the budget of another link is free."""
    selector = _selector()
    view = selector.view
    third = build.held_endpoint('e3', first, first + 40, domain, 'half')
    view.snapshot.endpoints['e3'] = third
    view.snapshot.by_service['model'].append(third)
    # Of two equal engines the emptier one is chosen first, that is e2.
    view.estimates.get('e3').tokens = 0.7 * 500 * 843 * 40
    _use_up(selector)
    job = bottleneckload.make_job(view, view.clock())
    job.avoid = set(avoid)
    choice = selector.choose(job, view.clock())
    assert [s.endpoint for s in choice.stages] == expected
    assert job.blocked_by is None
    # Other routers are told of the fullest engine, searched or not.
    assert view.estimates.max_memory_use > 0.6


def test_further_searches_are_bounded(monkeypatch):
    """Guards against searches of all domains for each refused request."""
    selector = _selector()
    view = selector.view
    for domain in 'cdefgh':
        name = f'e{domain}'
        engine = build.held_endpoint(name, 40, 80, domain, 'half')
        view.snapshot.endpoints[name] = engine
        view.snapshot.by_service['model'].append(engine)
    searches = []
    search = selector._search
    monkeypatch.setattr(
        selector, '_search', lambda *args: searches.append(0) or search(*args)
    )
    monkeypatch.setattr(
        view.domain_links,
        '_wait',
        lambda budget, transfer, now, draw: 1.0,
    )
    job, choice = _choose(selector)
    assert choice is None and job.blocked_by.pairs
    # The first one, the further ones, and that within one domain.
    assert len(searches) == 1 + chainsearch.MAX_FURTHER_SEARCHES + 1


def test_engine_that_leaves_during_the_search_is_no_error(monkeypatch):
    """Guards against a stream that is cut as an engine's entry vanishes."""
    selector = _selector()
    view = selector.view
    exhausted = selector.bottlenecks.link_exhausted

    def vanish(job, stages, now):
        found = exhausted(job, stages, now)
        for stage in stages:
            view.snapshot.endpoints.pop(stage.endpoint, None)
        return found

    monkeypatch.setattr(selector.bottlenecks, 'link_exhausted', vanish)
    monkeypatch.setattr(
        view.domain_links, '_wait', lambda budget, transfer, now, draw: 1.0
    )
    assert _choose(selector)[1] is None


@pytest.mark.parametrize(('share', 'is_refused'), [(0.97, 0), (1.04, 1)])
def test_requests_beyond_the_capacity_are_refused(share, is_refused):
    """Guards against requests that only delay those in flight."""
    selector = _selector(domains='aa', mbps=0.0, fits=200.0)
    tokens = {name: share * 200 * 868 * 40 for name in ('e1', 'e2')}
    now = selector.view.clock()
    selector.view.estimates.merge_gossip('r2', tokens, [], now)
    job, choice = _choose(selector)
    assert (choice is None) == is_refused
    assert ('over_capacity' in selector.bottlenecks.facts(job)) == is_refused
    assert _choose(selector, delivering=True)[1] is not None
    assert selector.bottlenecks.capacity_requests() == pytest.approx(206, 0.01)


class _SlowDeque(collections.deque):
    """Gives other threads time between a look at an item and its removal."""

    def __getitem__(self, index):
        item = super().__getitem__(index)
        time.sleep(0.05)
        return item


def _over_capacity():
    """Return a selector with more requests in flight than the engines fit."""
    selector = _selector(domains='aa', mbps=0.0, fits=200.0)
    tokens = {name: 1.04 * 200 * 868 * 40 for name in ('e1', 'e2')}
    view = selector.view
    view.estimates.merge_gossip('r2', tokens, [], view.clock())
    return selector


def test_threads_that_are_refused_together_both_get_an_answer():
    """Guards against two threads that remove the same expired refusal."""
    selector = _over_capacity()
    _choose(selector)
    service = selector.bottlenecks.services['model']
    service.refused = _SlowDeque([0.0])
    found = []
    threads = [
        threading.Thread(target=lambda: found.append(_choose(selector)))
        for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(found) == 4


def test_count_by_another_thread_during_a_refusal_is_harmless():
    """Guards against a division by requests that have ended meanwhile."""
    selector = _over_capacity()
    _choose(selector)
    service = selector.bottlenecks.services['model']

    class _Ending(collections.deque):
        def __len__(self):
            service.in_flight = 0.0
            return super().__len__()

    service.refused = _Ending()
    job, choice = _choose(selector)
    assert choice is None
    facts = selector.bottlenecks.facts(job)['over_capacity']
    assert facts['in_flight'] > facts['requests'] > 0.0


def test_requests_pass_while_the_capacity_is_computed(monkeypatch):
    """Guards against a lock that is held while the capacity is computed."""
    selector = _selector(domains='aa', mbps=0.0)
    compute = bottlenecks.capacity.compute
    found = []

    def compute_slowly(*args):
        other = threading.Thread(
            target=lambda: found.append(_choose(selector)[1]), daemon=True
        )
        other.start()
        other.join(5.0)
        return compute(*args)

    monkeypatch.setattr(bottlenecks.capacity, 'compute', compute_slowly)
    assert _choose(selector)[1] is not None
    assert len(found) == 1 and found[0] is not None


def test_refused_caller_is_told_of_the_link():
    selector = _selector()
    _use_up(selector)
    metrics = collections.Counter()
    metrics.count = lambda name: metrics.update([name])
    nothing = [None] * 5
    forwarder = forwarding.make_forwarder(
        selector.view, *nothing, metrics, None, None
    )
    forwarder.selector = selector
    job, _ = _choose(selector, tries=0)
    with pytest.raises(exceptions.Overloaded) as error:
        forwarder._end_without_choice(job)
    assert error.value.facts['link_budget']['megabytes'] == 32.9
    assert error.value.retry_after > 0.0
    assert metrics['link_refused'] == 1


def test_lost_stage_is_not_replaced_from_another_domain():
    """Guards against a crossing without budget when stages are replaced."""
    selector = _selector(domains='aa')
    view = selector.view
    third = build.held_endpoint('e3', 40, 80, 'b', 'half')
    view.snapshot.endpoints['e3'] = third
    view.snapshot.by_service['model'].append(third)
    choice = _choose(selector)[1]
    attempt = types.SimpleNamespace(
        endpoint=choice.endpoint, stages=choice.stages, tokens=choice.tokens
    )
    assert selector.replace_stages(attempt, {'e2'}, view.clock()) is None


def test_capacity_is_logged_when_it_changes_by_a_tenth(monkeypatch):
    selector = _selector(domains='aa')
    view = selector.view
    logged = []
    monkeypatch.setattr(
        bottlenecks.logs, 'event', lambda *names, **facts: logged.append(facts)
    )
    seconds = bottlenecks.CAPACITY_SECONDS
    for at, is_dead in ((0.0, False), (0.1, True), (1.0, True), (1.1, True)):
        view.clock.now = 1000.0 + at * seconds
        if is_dead:
            view.estimates.note_unreachable('e2', view.clock.now)
        _choose(selector)
    assert [each['requests'] > 0 for each in logged] == [True, False]
    assert logged[1]['bottleneck'] == 'layers 40-80'


def test_new_fields_are_the_last_of_a_message():
    """Guards against a release that reads a field as another one."""
    fields = gossipmessages.Message.__struct_fields__
    assert fields[-5:] == (
        'rank_use',
        'link_use',
        'reads',
        'is_told',
        'has_reads_only',
    )


class _OlderMessage(msgspec.Struct, array_like=True):
    """The start of a message, as an older release encodes it."""

    router: str
    tokens: dict[str, int]
    unreachable: list[str]


def test_use_of_an_older_release_is_taken_from_its_tokens():
    view = _selector().view
    older = _OlderMessage('r2', {'e1': 40 * 914, 'e2': 40 * 914}, [])
    message = gossipmessages.decode(msgspec.msgpack.encode(older))
    gossipreceiving.Receiver(view, None, None)._apply_link_use(message, 5.0)
    report = view.domain_links.by_pair['a', 'b'].reports['r2']
    assert report.new == pytest.approx(914 * 0.036 / 3.5, 0.01)


def test_invalid_switch_is_rejected():
    settings = settings_module.Settings(
        router_id='a',
        failure_domain='x',
        host='1.2.3.4',
        caller_listen='1.2.3.4:1',
        ready_listen='1.2.3.4:2',
        store='1.2.3.4:3',
        peer_port=7000,
        link_budgets='maybe',
    )
    with pytest.raises(exceptions.InvalidSetting, match='link_budgets'):
        settings_module.check(settings)
