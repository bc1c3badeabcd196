"""Tests of a request's one final answer."""

import types

from ibisring_gateway import forwarding
from ibisring_gateway.tests import builders
from ibisring_records import exceptions
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
    view = builders.view_of([])
    forwarder = forwarding.make_forwarder(
        view, _Codec(), None, None, None, lambda: 1, builders.Metrics()
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


def _match(**facts):
    """Ask for the match of a request that no route takes."""
    view = builders.view_of([], **facts)
    forwarder = forwarding.make_forwarder(
        view, _Codec(), None, None, None, lambda: 1, builders.Metrics()
    )
    request = types.SimpleNamespace(host='h.example', path='/new/', key=None)
    return forwarder._match(view.snapshot, request)


def test_a_router_without_the_store_refuses_nothing_for_good():
    """Symptom: 404 for good on a route that was confirmed seconds before.

    Sequence: a router is cut off from the store and from the others; a
    route is added; a caller of that router uses it.
    Cause: the router took what it knew last for all there is.
    """
    with pytest.raises(exceptions.NotReady) as raised:
        _match(store_lost_at=10.0)
    assert raised.value.retry_after > 0.0


def test_a_router_that_follows_the_store_says_what_is_not_there():
    with pytest.raises(exceptions.NotFound):
        _match()
