"""Tests of whether an endpoint has ended."""

import socket

from ibisring_gateway import liveness
from ibisring_gateway import ports
from ibisring_gateway.tests import builders
from ibisring_policy.gateway.tests import builders as build
import pytest


@pytest.fixture
def listener():
    with socket.create_server(('127.0.0.1', 0)) as sock:
        yield sock


class _Engines(builders.Engines):
    """Engines that started at some time."""

    def __init__(self, started):
        super().__init__()
        self.started = started

    def status(self, address, timeout):
        return ports.EngineStatus(orders=0, busy=False, started=self.started)


def _address(listener):
    return f'127.0.0.1:{listener.getsockname()[1]}'


def test_a_closed_port_is_an_end(listener):
    endpoint = build.endpoint(address=_address(listener))
    listener.close()
    assert liveness.make_prober(builders.Engines()).has_ended(endpoint) is True


def test_an_endpoint_that_lives_only_lost_an_answer(listener):
    endpoint = build.endpoint(address=_address(listener))
    prober = liveness.make_prober(builders.Engines())
    assert prober.has_ended(endpoint) is False


def test_an_engine_that_started_again_has_ended(listener):
    engine = build.held_endpoint(
        'e', 0, 8, address=_address(listener), started=7
    )
    assert liveness.make_prober(_Engines(9)).has_ended(engine) is True
    assert liveness.make_prober(_Engines(7)).has_ended(engine) is False


def test_one_that_does_not_answer_is_not_taken_for_ended(listener):
    engine = build.held_endpoint(
        'e', 0, 8, address=_address(listener), started=7
    )
    engines = builders.Engines()
    engines.unreachable.add(engine.address)
    assert liveness.make_prober(engines).has_ended(engine) is None
