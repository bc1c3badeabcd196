"""Tests of following this router's links to endpoints."""

from ibisring_gateway import linkmonitor
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import links
from ibisring_policy.gateway.tests import builders as build
import pytest

NAMES = ('e1', 'e2', 'e3')


@pytest.fixture
def monitor():
    endpoints = [build.endpoint(name) for name in NAMES]
    view = builders.make_view(endpoints)
    view.clock = builders.Clock()
    made = linkmonitor.make_link_monitor(view, None, builders.Metrics())
    made.probed = []
    made._probe = lambda endpoint: made.probed.append(endpoint.id)
    yield made
    made.stop()


def fail_all(monitor):
    """Let connections to all endpoints fail."""
    now = monitor.clock()
    for endpoint in monitor.view.snapshot.endpoints.values():
        monitor.view.estimates.note_unreachable(endpoint.id, now)
        monitor.record(endpoint, now, False)


def test_a_change_is_passed_on_at_once(monitor):
    changes = []
    monitor.on_change = lambda: changes.append(True)
    fail_all(monitor)
    assert monitor.view.links.cut_services() == ['lookup']
    assert changes == [True]


def test_endpoints_are_used_again_once_one_is_reached(monitor):
    """Guards against avoiding all endpoints after the links are back."""
    fail_all(monitor)
    monitor.record(build.endpoint('e1'), monitor.clock(), True)
    assert not any(monitor.view.estimates.is_dead(name) for name in NAMES)


def test_a_cut_service_is_tried_at_one_endpoint_at_a_time(monitor):
    """Guards against a storm of connections by all cut routers."""
    fail_all(monitor)
    for _ in range(4):
        monitor.run_checks()
    monitor.pool.shutdown(wait=True)
    assert len(monitor.probed) == 1


def test_endpoints_that_all_seem_silent_are_tried(monitor):
    monitor.verify('lookup')
    monitor.verify('lookup')
    monitor.pool.shutdown(wait=True)
    assert len(monitor.probed) == links.MIN_FAILED_ENDPOINTS


def test_a_service_that_was_removed_is_not_reported(monitor):
    """Guards against reports of services that no longer exist."""
    monitor.record(build.endpoint('x', service='gone'), 0.0, False)
    monitor.view.links.failed('gone', 'x', 0.0, 0.0, 1)
    monitor.run_checks()
    assert monitor.view.links.cut_services() == []
