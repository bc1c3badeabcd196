"""Tests of detecting crashed endpoints."""

import socket

from ibisring_gateway import liveness
from ibisring_gateway import ports
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import answerends
from ibisring_policy.gateway.tests import builders as build
import pytest


@pytest.fixture
def listener():
    with socket.create_server(('127.0.0.1', 0)) as sock:
        yield sock


class _Engines(builders.Engines):
    """Engines that report a given start time."""

    def __init__(self, started):
        super().__init__()
        self.started = started

    def status(self, endpoint, timeout):
        return ports.EngineStatus(orders=0, busy=False, started=self.started)


Finding = liveness.Finding
Process = answerends.Process


def _address(listener):
    return f'127.0.0.1:{listener.getsockname()[1]}'


def _prober(engines, others=(), sleep=lambda seconds: None):
    return liveness.make_prober(engines, lambda: list(others), sleep)


def _closed_endpoint(name):
    with socket.create_server(('127.0.0.1', 0)) as sock:
        return build.endpoint(name, address=_address(sock))


def test_closed_port_is_a_crash_if_another_endpoint_is_reached(listener):
    endpoint = _closed_endpoint('x')
    other = build.endpoint('y', address=_address(listener))
    prober = _prober(builders.Engines(), [endpoint, other])
    assert prober.check(endpoint) is Finding.CRASHED


def test_silence_shows_nothing_if_no_other_endpoint_is_reached(monkeypatch):
    """Guards against a request convicted by links that hang."""

    def hang(address, timeout):
        raise TimeoutError('timed out')

    monkeypatch.setattr(socket, 'create_connection', hang)
    endpoint, other = build.endpoint('x'), build.endpoint('y')
    prober = _prober(builders.Engines(), [endpoint, other])
    assert prober.check(endpoint) is Finding.CUT_OFF


def test_closed_port_shows_nothing_if_no_other_endpoint_is_reached():
    """Guards against taking a link of this router for a crash."""
    endpoint, other = _closed_endpoint('x'), _closed_endpoint('y')
    for others in ([endpoint], [endpoint, other]):
        prober = _prober(builders.Engines(), others)
        assert prober.check(endpoint) is Finding.CUT_OFF


def test_an_endpoint_whose_link_is_cut_a_moment_later_is_no_witness(listener):
    """Guards against a crash seen while links are cut one after another."""
    endpoint = _closed_endpoint('x')
    other = build.endpoint('y', address=_address(listener))
    prober = _prober(
        builders.Engines(), [endpoint, other], lambda seconds: listener.close()
    )
    assert prober.check(endpoint) is Finding.CUT_OFF


def test_an_endpoint_whose_link_is_back_a_moment_later_did_not_crash(listener):
    """Guards against a crash seen while links come back one after another."""
    endpoint = _closed_endpoint('x')
    other = build.endpoint('y', address=_address(listener))
    host, _, port = endpoint.address.rpartition(':')
    opened = []

    def reopen(seconds):
        opened.append(socket.create_server((host, int(port))))

    prober = _prober(builders.Engines(), [endpoint, other], reopen)
    assert prober.check(endpoint) is Finding.UNKNOWN
    opened[0].close()


def test_open_port_alone_does_not_show_whether_there_was_a_crash(listener):
    """Failure: a crash behind an open port is charged to no request."""
    endpoint = build.endpoint(address=_address(listener))
    prober = _prober(builders.Engines())
    assert prober.check(endpoint) is Finding.UNKNOWN


def test_later_start_time_is_a_crash(listener):
    engine = build.held_endpoint(
        'e', 0, 8, address=_address(listener), started=7
    )
    assert _prober(_Engines(9)).check(engine) is Finding.CRASHED
    assert _prober(_Engines(7)).check(engine) is Finding.RUNNING


def test_missing_status_is_unknown(listener):
    engine = build.held_endpoint(
        'e', 0, 8, address=_address(listener), started=7
    )
    engines = builders.Engines()
    engines.unreachable.add(engine.address)
    assert _prober(engines).check(engine) is Finding.UNKNOWN


def test_process_has_exited_if_its_port_is_closed(listener):
    endpoint = _closed_endpoint('x')
    other = build.endpoint('y', address=_address(listener))
    prober = _prober(builders.Engines(), [endpoint, other])
    assert prober.find_process(endpoint) is Process.EXITED
    assert prober.find_process(other) is Process.RUNNING


def test_process_behind_a_closed_port_is_not_proven_to_run():
    """Guards against a cut answer that looks whole for want of a witness."""
    endpoint, other = _closed_endpoint('x'), _closed_endpoint('y')
    for others in ([], [other]):
        prober = _prober(builders.Engines(), others)
        assert prober.find_process(endpoint) is Process.EXITED
        assert prober.check(endpoint) is Finding.CUT_OFF


def test_process_whose_port_closes_last_has_exited(listener):
    """Guards against a cut answer that looks whole while its server exits."""
    endpoint = build.endpoint('x', address=_address(listener))
    prober = _prober(builders.Engines(), (), lambda s: listener.close())
    assert prober.find_process(endpoint, True) is Process.EXITED


@pytest.mark.parametrize('is_exit_due', [False, True])
def test_process_with_an_open_port_runs(listener, is_exit_due):
    endpoint = build.endpoint('x', address=_address(listener))
    found = _prober(builders.Engines()).find_process(endpoint, is_exit_due)
    assert found is Process.RUNNING


@pytest.mark.parametrize(
    ('lost', 'process'), [(1, Process.RUNNING), (99, Process.UNKNOWN)]
)
def test_process_behind_a_silent_port(monkeypatch, lost, process):
    """Guards against a cut answer that looks whole as links are cut."""
    failures = [TimeoutError('timed out')] * lost

    def connect(address, timeout):
        if failures:
            raise failures.pop()
        return socket.socket()

    monkeypatch.setattr(socket, 'create_connection', connect)
    prober = _prober(builders.Engines())
    assert prober.find_process(build.endpoint('x')) is process
