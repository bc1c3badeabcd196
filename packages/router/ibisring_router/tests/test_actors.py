"""Tests of actors whose handlers raise exceptions."""

import logging
import threading

from ibisring_router import actors
from ibisring_router import guards
import msgspec
import pykka
import pytest

WAIT_SECONDS = 10.0


class _Fail(msgspec.Struct):
    """Message: raise an exception."""


class _Set(msgspec.Struct):
    """Message: set an event."""

    event: threading.Event


class _Actor(actors.MessageActor):
    def handlers(self):
        return {_Fail: self.on_fail, _Set: self.on_set}

    def on_fail(self, message):
        raise RuntimeError("can't start new thread")

    def on_set(self, message):
        message.event.set()


class _Unstarted(_Actor):
    def on_start(self):
        raise RuntimeError('no memory')


@pytest.fixture
def actor():
    started = _Actor.start()
    yield started
    started.stop()


def test_actor_goes_on_after_an_exception(actor, caplog):
    """Guards against an actor that ends, and its senders with it."""
    handled = threading.Event()
    before = guards.counts().get('_Actor._Fail', 0)
    with caplog.at_level(logging.ERROR):
        actor.tell(_Fail())
        actor.tell(_Set(handled))
        assert handled.wait(WAIT_SECONDS)
    assert actor.is_alive()
    assert guards.counts()['_Actor._Fail'] == before + 1
    assert [record.facts['step'] for record in caplog.records] == [
        '_Actor._Fail'
    ]


def test_exception_is_raised_to_who_waits_for_the_answer(actor):
    with pytest.raises(RuntimeError):
        actor.ask(_Fail(), timeout=WAIT_SECONDS)
    assert actor.is_alive()


def test_unknown_message_does_not_end_an_actor(actor):
    """Guards against an actor that ends as another release sends it more."""
    handled = threading.Event()
    actor.tell('unknown')
    actor.tell(_Set(handled))
    assert handled.wait(WAIT_SECONDS)


def test_actor_that_fails_to_start_ends():
    """Guards against one that handles messages without its state."""
    actor = _Unstarted.start()
    with pytest.raises(pykka.ActorDeadError):
        actor.ask(_Set(threading.Event()), timeout=WAIT_SECONDS)
    assert not actor.is_alive()
