"""Tests of following a source whose calls fail."""

import threading

from ibisring_gateway import directory
from ibisring_gateway import following
from ibisring_gateway import ports
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import polling
from ibisring_policy.gateway import storereaders
from ibisring_records import exceptions


def _reads():
    return storereaders.Role.READS


class _Source(ports.Source):
    """Raises errors in turn, then answers; records the calls."""

    def __init__(self):
        self.errors = []
        self.asked = []
        self.ended = 0

    def _ask(self, what):
        self.asked.append(what)
        if self.errors:
            raise self.errors.pop(0)
        return ports.Page(7, [])

    def read_all(self):
        return self._ask('all')

    def changes(self, position, wait):
        return self._ask(wait)

    def cancel_call(self):
        self.ended += 1


def _followers():
    told = []
    followers = following.make_followers(
        polling.Fleet, _reads, builders.Clock()
    )
    for name in ('table', 'endpoints'):
        followers.add(name, _Source(), name == 'table', told.append)
    return followers, told


def _lost():
    return exceptions.PlatformAnswerLost('no answer')


def test_a_router_that_serves_goes_on_where_it_was():
    """After a failed call a short poll follows, not another full read."""
    followers, told = _followers()
    table = followers.members['table']
    table.step()
    assert told[0].whole and told[0].position == 7
    table.source.errors = [_lost()]
    table._follow()
    assert isinstance(told[1], directory.Failed) and told[1].is_table
    table.step()
    assert not told[-1].whole
    assert table.source.asked == ['all', polling.CALL_INTERVAL_SECONDS, 0.0]


def test_a_failure_ends_the_call_that_may_hang():
    """Failure: endpoints are current again, but routes stay old for seconds.

    The store stops answering during two calls.  One times out and its retry
    is answered, while the other hangs until its own timeout.
    """
    followers, _ = _followers()
    table, endpoints = followers.members.values()
    table.step()
    endpoints.step()
    followers.wait('endpoints')
    table.source.errors = [_lost()]
    table._follow()
    assert endpoints.source.ended == 1


def test_a_call_that_was_ended_is_no_failure():
    followers, told = _followers()
    table = followers.members['table']
    table.step()
    table.source.errors = [ports.CallCancelled('a new one begins')]
    table._follow()
    assert len(told) == 1
    assert not followers.polling.is_failing('table')


def test_a_dropped_history_is_no_failure():
    followers, told = _followers()
    table = followers.members['table']
    table.step()
    table.source.errors = [ports.HistoryExpired('too old')]
    table._follow()
    table._follow()
    assert table.source.asked[-1] == 'all' and len(told) == 2


def test_what_decides_may_ask_how_the_router_stands():
    """Failure: deadlock, after which a router never calls the store again.

    When a call fails, the follower holds the lock while it gets the router's
    polling slot, which depends on the store status read under the same lock.
    """
    followers, _ = _followers()

    def fleet():
        followers.standing(False)
        return polling.Fleet()

    followers.fleet = fleet
    table = followers.members['table']
    table.step()
    table.source.errors = [_lost()]
    thread = threading.Thread(target=table._follow, daemon=True)
    thread.start()
    thread.join(5.0)
    assert not thread.is_alive()


def test_a_call_from_before_does_not_hang_when_the_readers_lost_the_store():
    """Failure: a router notices the store's return nine seconds late.

    It becomes dependent on readers while its own long poll is running.  The
    store stops answering and the readers report that, but only calls started
    afterwards are made short.
    """
    followers, _ = _followers()
    for follower in followers.members.values():
        follower.step()
    followers.wait('table')
    followers.clock.now += 1.0
    followers.role_changed(storereaders.Role.ASKS)
    assert [f.source.ended for f in followers.members.values()] == [1, 0]
    assert followers.wait('endpoints') == 0.0
