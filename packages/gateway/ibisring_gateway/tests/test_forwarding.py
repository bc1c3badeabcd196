"""Tests of the final answer of a request."""

import logging
import types

from ibisring_gateway import exchange as exchange_module
from ibisring_gateway import forwarding
from ibisring_gateway import ports
from ibisring_gateway.tests import builders
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions
from ibisring_records import routing
import pytest


class _Exchange:
    """Records what is written to the caller."""

    def __init__(self, headers_sent):
        self.headers_sent = headers_sent
        self.is_from_router = False
        self.written = []
        self.aborted = False
        self.job = None

    def answer(self, status, headers, body):
        self.written.append(status)

    def abort(self):
        self.aborted = True


class _Codec:
    def encode_error(self, request_id, error):
        return error.status, [], b'error'


def _send_error(headers_sent):
    view = builders.make_view([])
    forwarder = forwarding.make_forwarder(
        view,
        _Codec(),
        None,
        None,
        None,
        lambda: 1,
        builders.Metrics(),
        None,
        None,
    )
    exchange = _Exchange(headers_sent)
    error = exceptions.Interrupted('the last attempt ended', 1.0)
    forwarder._send_error(exchange, 'a1', error, view.clock())
    return exchange


def test_error_is_not_written_after_part_of_an_answer():
    """Guards against a caller taking a truncated stream for a complete one.

    An error answer written after part of a stream would terminate the stream
    as if it were complete.
    """
    exchange = _send_error(headers_sent=True)
    assert exchange.aborted and not exchange.written


def test_error_is_the_answer_if_nothing_was_written():
    exchange = _send_error(headers_sent=False)
    assert exchange.written == [exceptions.Interrupted.status]
    assert not exchange.aborted


def test_gossiped_revocation_applies_without_the_store():
    """Guards against 503 for a revoked key throughout a store outage.

    A router that has lost the store gets the revocation by gossip from one
    that hasn't; it must apply that state although its own reads are stale.
    """
    table = build.table(accounts=(routing.Account('acme', ('k1',)),))
    view = builders.make_view([], table, store_lost_at=10.0)
    forwarder = forwarding.make_forwarder(
        view,
        _Codec(),
        None,
        None,
        None,
        lambda: 1,
        builders.Metrics(),
        None,
        None,
    )
    request = types.SimpleNamespace(host='h.example', path='/a/x', key='k2')
    with pytest.raises(exceptions.Unauthorized):
        forwarder._serve(None, request, view.clock(), None)


class _RefusedExchange(_Exchange):
    """A request that is refused after its route is known."""

    method = 'POST'
    target = '/a/x'

    def __init__(self):
        super().__init__(headers_sent=False)

    def headers(self):
        return {}

    def read_body(self):
        return b''


class _KnowingCodec(_Codec):
    def decode_request(self, method, target, headers):
        return ports.CallerRequest(
            id='a1',
            method=method,
            host='h.example',
            target=target,
            headers=headers,
            key='k1',
        )


@pytest.mark.parametrize(
    ('error', 'outcome'),
    [
        (exceptions.Overloaded('no room', 1.0), 'overloaded'),
        (exceptions.NoEndpoint('no endpoint', 1.0), 'no_endpoint'),
        (exceptions.Interrupted('cut', 1.0), 'interrupted'),
        (exchange_module.CallerDisconnected('gone'), 'caller_gone'),
    ],
)
def test_line_of_a_refused_request_says_whose_it_was(error, outcome, caplog):
    """Guards against refusals that no account or route can be told of."""
    caplog.set_level(logging.INFO)
    accounts = (routing.Account('acme', ('k1',), 3),)
    view = builders.make_view([], build.table(accounts=accounts))
    budget = types.SimpleNamespace(count_request=lambda now: None)
    forwarder = forwarding.make_forwarder(
        view,
        _KnowingCodec(),
        None,
        None,
        budget,
        lambda: 1,
        builders.Metrics(),
        None,
        None,
    )

    def fail(job):
        raise error

    forwarder._run_attempts = fail
    forwarder.serve(_RefusedExchange())
    (line,) = [r for r in caplog.records if r.getMessage() == 'request']
    known = ('outcome', 'route', 'service', 'account', 'rank', 'waited_ms')
    found = [line.facts[name] for name in known]
    assert found == [outcome, 'r1', 'lookup', 'acme', '3-0', 0]
    if isinstance(error, exceptions.IbisringError):
        assert not error.facts
