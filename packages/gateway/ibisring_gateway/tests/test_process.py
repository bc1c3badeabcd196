"""Tests of a gateway process some of whose parts fail."""

import types

from ibisring_gateway import directory
from ibisring_gateway import process
from ibisring_gateway import settings
from ibisring_gateway.tests import builders
from ibisring_policy.gateway.tests import builders as build
from ibisring_router import guards
import pykka
import pytest


@pytest.fixture
def gateway():
    installation = types.SimpleNamespace(
        engines=builders.Engines(), codec=None, leases=None
    )
    checked = settings.check(
        settings.Settings(
            router_id='r0',
            failure_domain='a',
            host='127.0.0.1',
            caller_listen='127.0.0.1:1',
            ready_listen='127.0.0.1:2',
            store='127.0.0.1:3',
            peer_port=4,
            metrics_port=5,
        )
    )
    made = process.make_gateway(checked, installation)
    yield made
    made.watcher.stop()
    made.stall_handler.stop()
    made.link_monitor.stop()


class _Part:
    """A part of the process that records and fails each call."""

    def __init__(self, calls, name):
        self.calls = calls
        self.name = name

    def _fail(self, *args):
        self.calls.append(self.name)
        raise pykka.ActorDeadError

    tell = run_checks = max_routers = stop = _fail


def test_each_periodic_check_runs_whatever_fails(gateway, monkeypatch):
    """Guards against one failing check that ends all those after it."""
    calls = []
    parts = ('placer', 'peers', 'directory', 'stall_handler', 'link_monitor')
    for name in (*parts, 'rank_monitor'):
        monkeypatch.setattr(gateway, name, _Part(calls, name), raising=False)
    gateway.peers.peer_reports = types.SimpleNamespace(
        router_counts=lambda now: {}
    )
    gateway._run_periodic_checks()
    assert calls == [*parts, 'rank_monitor']


def test_answer_of_a_leaving_endpoint_is_kept_without_the_directory(gateway):
    """Guards against an internal error in place of an answer that is there."""
    gateway.directory = directory.Directory.start(
        gateway.view, builders.Metrics(), None, None, None
    )
    gateway.directory.stop()
    before = guards.counts().get('report_leaving', 0)
    gateway._report_leaving(build.endpoint('e1'))
    assert guards.counts()['report_leaving'] == before + 1
