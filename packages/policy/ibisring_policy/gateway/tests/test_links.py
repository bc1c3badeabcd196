"""Tests of which services a router can reach."""

from ibisring_policy.gateway import links


def fail(state, names, now, started=None, count=9):
    """Let connections fail, and return the last change."""
    change = None
    for name in names:
        began = now if started is None else started
        change = state.failed('s', name, began, now, count) or change
    return change


def test_one_endpoint_that_fails_is_no_cut():
    """Guards against taking a crashed endpoint for a broken link."""
    state = links.make_links()
    fail(state, ['a', 'a', 'a', 'b'], 10.0)
    assert not state.is_cut('s')


def test_a_connection_outweighs_the_failures_before_it():
    """Guards against a cut while some endpoints are reached."""
    state = links.make_links()
    fail(state, ['a', 'b'], 10.0)
    state.connected('s', 10.1)
    fail(state, ['c', 'd'], 10.2)
    assert not state.is_cut('s')


def test_an_attempt_that_hung_while_another_succeeded_counts_for_nothing():
    """Guards against counting failures that began before a success."""
    state = links.make_links()
    state.connected('s', 10.1)
    fail(state, ['a', 'b', 'c'], 10.2, started=10.0)
    assert not state.is_cut('s')


def test_a_service_with_few_endpoints_is_cut_when_all_fail():
    state = links.make_links()
    assert fail(state, ['a'], 10.0, count=1) is links.Change.CUT


def test_other_services_stay_in_reach():
    state = links.make_links()
    fail(state, ['a', 'b', 'c'], 10.0)
    state.connected('t', 10.1)
    assert state.cut_services() == ['s']


def test_old_failures_expire():
    state = links.make_links()
    fail(state, ['a', 'b'], 10.0)
    fail(state, ['c'], 10.0 + links.FAILURE_SECONDS)
    assert not state.is_cut('s')


def test_the_first_connection_ends_a_cut():
    state = links.make_links()
    fail(state, ['a', 'b', 'c'], 10.0)
    assert state.connected('s', 11.0) is links.Change.BACK


def test_links_that_fail_half_of_the_time_do_not_flap():
    """Guards against a change of way with each connection that succeeds."""
    state = links.make_links()
    fail(state, ['a', 'b', 'c'], 10.0)
    state.connected('s', 11.0)
    fail(state, ['a', 'b', 'c'], 11.5)
    changes = []
    for number in range(20):
        now = 12.0 + 0.4 * number
        changes.append(state.connected('s', now))
        changes.append(state.failed('s', 'a', now, now + 0.1, 9))
    assert changes == [None] * 40


def test_links_that_relapsed_are_back_after_several_connections():
    state = links.make_links()
    fail(state, ['a', 'b', 'c'], 10.0)
    state.connected('s', 11.0)
    fail(state, ['a', 'b', 'c'], 11.5)
    changes = [
        state.connected('s', 12.0 + number)
        for number in range(links.MAX_SUCCESSES_REQUIRED)
    ]
    assert changes == [None, None, None, links.Change.BACK]


def test_services_that_no_longer_exist_are_forgotten():
    state = links.make_links()
    fail(state, ['a', 'b', 'c'], 10.0)
    state.retain({'t'})
    assert state.cut_services() == []
