"""Tests of a request's one final answer."""

import types

from ibisring_gateway import forwarding
from ibisring_gateway.tests import builders
from ibisring_policy.gateway.tests import builders as build
from ibisring_records import exceptions
from ibisring_records import routing
import pytest


class _Exchange:
    """Notes what is written to the caller."""

    def __init__(self, begun):
        self.begun = begun
        self.written = []
        self.aborted = False

    def answer(self, status, headers, body):
        self.written.append(status)

    def abort(self):
        self.aborted = True


class _Codec:
    def encode_error(self, request_id, error):
        return error.status, [], b'error'


def _refuse(begun):
    view = builders.make_view([])
    forwarder = forwarding.make_forwarder(
        view, _Codec(), None, None, None, lambda: 1, builders.Metrics(), None
    )
    exchange = _Exchange(begun)
    error = exceptions.Interrupted('the last attempt ended', 1.0)
    forwarder._refuse(exchange, 'a1', error, view.clock())
    return exchange


def test_an_error_is_not_written_after_a_part_of_an_answer():
    """Symptom: a caller takes half a recipe for a whole one.

    Sequence: a stream is under way; it ends with an error.
    Cause: the error was written as an answer, whose end closed the stream.
    """
    exchange = _refuse(begun=True)
    assert exchange.aborted and not exchange.written


def test_an_error_is_the_answer_before_any_part():
    exchange = _refuse(begun=False)
    assert exchange.written == [exceptions.Interrupted.status]
    assert not exchange.aborted


def test_a_router_without_the_store_says_what_another_told_it():
    """Symptom: a revoked key gets 503 for as long as an outage lasts.

    Sequence: the store turns one router away; another that is served tells
    it that a key is gone; the key is used.
    Cause: whatever a router knew counted as out of date once it had lost
    the store.
    """
    table = build.table(accounts=(routing.Account('acme', ('k1',)),))
    view = builders.make_view([], table, store_lost_at=10.0)
    forwarder = forwarding.make_forwarder(
        view, _Codec(), None, None, None, lambda: 1, builders.Metrics(), None
    )
    request = types.SimpleNamespace(host='h.example', path='/a/x', key='k2')
    with pytest.raises(exceptions.Unauthorized):
        forwarder._serve(None, request, view.clock())
