"""Tests of a gateway process some of whose parts fail."""

import queue
import signal
import sys
import threading
import time
import types

from ibisring_gateway import callerserver
from ibisring_gateway import directory
from ibisring_gateway import process
from ibisring_gateway import settings
from ibisring_gateway.tests import builders
from ibisring_policy.gateway.tests import builders as build
from ibisring_router import guards
import pykka
import pytest

SIGNALS_SENT = 300


@pytest.fixture
def gateway():
    installation = types.SimpleNamespace(
        engines=builders.Engines(), codec=None, leases=None
    )
    given = settings.Settings(
        router_id='r0',
        failure_domain='a',
        host='127.0.0.1',
        caller_listen='127.0.0.1:0',
        ready_listen='127.0.0.1:0',
        store='127.0.0.1:1',
        peer_port=0,
        metrics_port=0,
    )
    made = process.make_gateway(given, installation)
    yield made
    for server in made.servers:
        server.stop()
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


@pytest.fixture
def exits(monkeypatch):
    """Collect the codes with which the process would exit."""
    codes = queue.Queue()
    monkeypatch.setattr(process.os, '_exit', codes.put)
    return codes


def _fail_to_accept(monkeypatch):
    def fail(server):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(callerserver._Server, 'serve', fail)


def test_process_whose_server_accepts_nothing_exits(
    gateway, exits, monkeypatch
):
    """Guards against callers that connect and never get an answer."""
    _fail_to_accept(monkeypatch)
    gateway._listen()
    for _ in gateway.servers[1:]:
        assert exits.get(timeout=10.0) == process.EXIT_START_FAILED


def test_server_that_is_stopped_ends_no_process(gateway, exits):
    gateway._listen()
    gateway.caller_server.stop()
    gateway._accept(gateway.caller_server)
    assert exits.empty()


def test_process_that_shuts_down_finishes_its_requests(
    gateway, exits, monkeypatch
):
    """Guards against answers that are cut within the grace time."""
    gateway._listen()
    _fail_to_accept(monkeypatch)
    gateway.is_shutting_down = True
    gateway._accept(gateway.caller_server)
    assert exits.empty()


def test_server_that_returns_by_itself_ends_the_process(gateway, exits):
    server = types.SimpleNamespace(
        serve=lambda: None, ready=True, bind_addr=('127.0.0.1', 1)
    )
    gateway._accept(server)
    assert exits.get_nowait() == process.EXIT_START_FAILED


def test_signal_that_another_thread_receives_is_handled(gateway, monkeypatch):
    """Guards against a process that serves on after SIGTERM."""
    writer = types.SimpleNamespace(listener=None)
    monkeypatch.setattr(process.logwriter, 'configure', lambda level: writer)
    monkeypatch.setattr(gateway, 'start', lambda: None)
    kept = {each: signal.getsignal(each) for each in process.SIGNALS}
    main = threading.get_ident()
    ended = threading.Event()
    monkeypatch.setattr(gateway, "shut_down", lambda received: ended.set())

    def send():
        time.sleep(0.2)
        signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
        if not ended.wait(10.0):
            late.append(True)
            signal.pthread_kill(main, signal.SIGTERM)

    late = []
    thread = threading.Thread(target=send)
    thread.start()
    try:
        gateway.run('')
    finally:
        thread.join()
        for number, handler in kept.items():
            signal.signal(number, handler)
    assert not late


def test_signals_that_come_at_any_moment_are_handled(gateway, monkeypatch):
    """Guards against a handler that waits for a lock of its own thread."""
    writer = types.SimpleNamespace(listener=None)
    monkeypatch.setattr(process.logwriter, 'configure', lambda level: writer)
    monkeypatch.setattr(gateway, 'reload', lambda path: None)
    ended = []
    monkeypatch.setattr(gateway, 'shut_down', ended.append)
    kept = {each: signal.getsignal(each) for each in process.SIGNALS}
    numbers = iter([signal.SIGHUP] * SIGNALS_SENT + [signal.SIGTERM])

    def send(frame, event, argument):
        """Send a signal before a line of what the main thread runs."""
        if event == 'line':
            number = next(numbers, None)
            if number is not None:
                signal.raise_signal(number)
        return send

    monkeypatch.setattr(gateway, 'start', lambda: sys.settrace(send))
    before = sys.gettrace()
    try:
        gateway.run('')
    finally:
        sys.settrace(before)
        for number, handler in kept.items():
            signal.signal(number, handler)
    assert len(ended) == 1
