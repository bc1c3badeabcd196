"""Tests of how often a router asks engines that stay silent."""

from ibisring_gateway.tests import test_lossjudging
from ibisring_policy.gateway import queryrate
import pytest

SECONDS = 30.0
CHECK_SECONDS = 0.1
ENGINES = ('h', 'm', 't', 'm2')


def _ask_silent(scenario, seconds):
    """Check a stream and ask again for some seconds; count what is asked."""
    asked = dict.fromkeys(ENGINES, 0)
    answer = scenario.engines.status

    def status(endpoint, timeout):
        asked[endpoint.id] += 1
        return answer(endpoint, timeout)

    scenario.engines.status = status
    end = scenario.clock.now + seconds
    while scenario.clock.now < end:
        scenario.check()
        scenario.clock.now += CHECK_SECONDS
        scenario.handler.run_checks()
        scenario.ask_again()
    return asked


@pytest.mark.parametrize('routers', [3, 40, 81, 195])
@pytest.mark.parametrize(
    'silent', [ENGINES, ('h', 'm', 't'), ('h', 'm'), ('m',)]
)
def test_queries_of_a_silent_engine_are_bounded(routers, silent):
    """Guards against sound engines kept late by what a fleet asks them."""
    scenario = test_lossjudging.Scenario()
    scenario.view.query_rate.routers = routers
    scenario.engines.dark.update(f'{name}:1' for name in silent)
    asked = _ask_silent(scenario, SECONDS)
    share = queryrate.FLEET_QUERIES_PER_SECOND / routers
    # A second query may follow a first one that was still allowed.
    most = queryrate.BURST + 1 + share * (SECONDS + 10.0)
    assert max(asked[name] for name in silent) <= most


@pytest.mark.parametrize('routers', [3, 195])
def test_engine_lost_after_a_common_silence_is_found(routers):
    """Guards against queries so rare that a lost engine is never found."""
    scenario = test_lossjudging.Scenario()
    scenario.view.query_rate.routers = routers
    scenario.engines.dark.update(f'{name}:1' for name in ENGINES)
    _ask_silent(scenario, 3.0)
    scenario.engines.dark -= {'h:1', 't:1', 'm2:1'}
    _ask_silent(scenario, 2.5 * routers / queryrate.FLEET_QUERIES_PER_SECOND)
    assert scenario.dead() == {'m'}


@pytest.mark.parametrize('is_adaptive', [True, False])
def test_engine_that_may_not_be_asked_yet_is_not_lost(is_adaptive):
    """Guards against a query that was put off and counts as a loss."""
    scenario = test_lossjudging.Scenario()
    scenario.site.selector.event_times.is_adaptive = is_adaptive
    scenario.view.query_rate.routers = 195
    for _ in range(round(queryrate.BURST)):
        scenario.view.query_rate.take('m', scenario.clock.now)
    assert scenario.check() is None
    assert 'm:1' not in scenario.engines.queried
    assert not scenario.dead()
