"""Tests of the final answer of a request."""

import types

from ibisring_gateway import forwarding
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
