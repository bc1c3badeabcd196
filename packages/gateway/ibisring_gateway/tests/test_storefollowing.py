"""Tests of following a source whose calls fail."""

import threading

from ibisring_gateway import changes as changes_module
from ibisring_gateway import directory
from ibisring_gateway import ports
from ibisring_gateway import storefollowing
from ibisring_gateway.tests import builders
from ibisring_policy.gateway import polling
from ibisring_policy.gateway import positions
from ibisring_policy.gateway import storereaders
from ibisring_policy.gateway import storereads
from ibisring_records import exceptions
import pytest


def _reader_role():
    return storereaders.Role.READS


class _Source(ports.Source):
    """Raises errors in turn, then answers; records the calls."""

    def __init__(self):
        self.errors = []
        self.calls = []
        self.page = ports.Page(7, [])
        self.cancelled = 0

    def _answer(self, call):
        self.calls.append(call)
        if self.errors:
            raise self.errors.pop(0)
        return self.page

    def read_all(self):
        return self._answer('all')

    def changes(self, position, wait):
        return self._answer(wait)

    def cancel_call(self):
        self.cancelled += 1


def _followers():
    messages = []
    followers = storefollowing.make_followers(
        polling.Fleet, _reader_role, builders.Clock()
    )
    for name in ('table', 'endpoints'):
        followers.add(name, _Source(), name == 'table', messages.append)
    return followers, messages


def _answer_lost():
    return exceptions.PlatformAnswerLost('no answer')


def test_failed_call_is_followed_by_a_short_poll():
    """After a failed call a short poll follows, not another full read."""
    followers, messages = _followers()
    table = followers.members['table']
    table.read_once()
    assert messages[0].whole and messages[0].position == 7
    table.source.errors = [_answer_lost()]
    table._follow()
    assert (
        isinstance(messages[1], directory.ReadFailed) and messages[1].is_table
    )
    table.read_once()
    assert not messages[-1].whole
    assert table.source.calls == ['all', polling.CALL_INTERVAL_SECONDS, 0.0]


def test_failed_call_cancels_other_calls_that_may_hang():
    """Failure: endpoints are current again, but routes stay old for seconds.

    The store stops answering during two calls.  One times out and its retry
    is answered, while the other hangs until its own timeout.
    """
    followers, _ = _followers()
    table, endpoints = followers.members.values()
    table.read_once()
    endpoints.read_once()
    followers.start_call('endpoints')
    table.source.errors = [_answer_lost()]
    table._follow()
    assert endpoints.source.cancelled == 1


def test_cancelled_call_is_no_failure():
    followers, messages = _followers()
    table = followers.members['table']
    table.read_once()
    table.source.errors = [ports.CallCancelled('a new one begins')]
    table._follow()
    assert len(messages) == 1
    assert not followers.polling.is_failing('table')


def test_expired_history_is_no_failure():
    followers, messages = _followers()
    table = followers.members['table']
    table.read_once()
    table.source.errors = [ports.HistoryExpired('too old')]
    table._follow()
    table._follow()
    assert table.source.calls[-1] == 'all' and len(messages) == 2


def test_read_after_discarded_history_counts_as_a_change():
    """Guards against removed endpoints that other routers keep for good.

    What was removed in the discarded history is in no item that was read, so
    that the newest of these is older than the state of the other routers.
    """
    followers, messages = _followers()
    endpoints = followers.members['endpoints']
    endpoints.source.page = ports.Page(7, [], 3)
    endpoints.read_once()
    assert messages[-1].newest_version == 3
    endpoints.source.errors = [ports.HistoryExpired('too old')]
    endpoints._follow()
    endpoints.source.page = ports.Page(9, [], 3)
    endpoints._follow()
    assert messages[-1].newest_version == 9
    endpoints.source.page = ports.Page(10, [], 10)
    endpoints.read_once()
    endpoints.source.page = ports.Page(12, [], 0)
    endpoints.read_once()
    assert messages[-1].newest_version == 0


def _changes(before, position):
    return changes_module.Changes(False, before, position, position)


@pytest.mark.parametrize('known', [None, 5])
def test_changes_do_not_overtake_the_page_that_they_follow(known):
    """Guards against a page that is ignored since newer changes came first.

    Another router's changes arrive while the page is handed to the directory.
    """
    followers, _ = _followers()
    endpoints = followers.members['endpoints']
    endpoints.position = known
    told = []

    def tell(message):
        followers.apply_changes(
            'endpoints', _changes(7, 9), lambda: told.append(9)
        )
        told.append(message.position)

    endpoints.tell_directory = tell
    endpoints.read_once()
    assert told == [7]
    followers.apply_changes(
        'endpoints', _changes(7, 9), lambda: told.append(9)
    )
    assert told == [7, 9] and endpoints.position == 9


def test_no_call_begins_after_changes_that_are_not_told():
    """Guards against changes that are ignored since a newer page came first.

    A call from their position begins while they are handed to the directory.
    """
    followers, _ = _followers()
    endpoints = followers.members['endpoints']
    endpoints.position = 5
    positions = []
    followers.apply_changes(
        'endpoints',
        _changes(5, 9),
        lambda: positions.append(endpoints.position),
    )
    assert positions == [5] and endpoints.position == 9


def test_polling_slot_may_depend_on_the_store_status():
    """Failure: deadlock, after which a router never calls the store again.

    When a call fails, the follower holds the lock while it gets the router's
    polling slot, which depends on the store status read under the same lock.
    """
    followers, _ = _followers()

    def fleet():
        followers.store_access(False)
        return polling.Fleet()

    followers.fleet = fleet
    table = followers.members['table']
    table.read_once()
    table.source.errors = [_answer_lost()]
    thread = threading.Thread(target=table._follow, daemon=True)
    thread.start()
    thread.join(5.0)
    assert not thread.is_alive()


def test_earlier_call_is_cancelled_when_the_readers_lose_the_store():
    """Failure: a router notices the store's return nine seconds late.

    It becomes dependent on readers while its own long poll is running.  The
    store stops answering and the readers report that, but only calls started
    afterwards are made short.
    """
    followers, _ = _followers()
    for follower in followers.members.values():
        follower.read_once()
    followers.start_call('table')
    followers.clock.now += 1.0
    followers.role_changed(storereaders.Role.ASKS)
    assert [f.source.cancelled for f in followers.members.values()] == [1, 0]
    assert followers.start_call('endpoints') == 0.0


def _told_role():
    return storereaders.Role.TOLD


def test_expired_history_is_read_again_also_by_a_router_that_is_told():
    """Guards against a router that gets no changes for want of a position."""
    followers, _ = _followers()
    for follower in followers.members.values():
        follower.read_once()
    followers.clock.now += polling.STABLE_AFTER_SECONDS
    table = followers.members['table']
    table.read_once()
    followers.role = _told_role
    assert followers.delay('table') > 0.0
    table.source.errors = [ports.HistoryExpired('too old')]
    table._follow()
    assert followers.delay('table') == 0.0
    table._follow()
    assert table.source.calls[-1] == 'all'


def test_routers_that_are_told_read_the_store_after_it_lost_writes():
    """Guards against waiting for readers while entries may be missing."""
    followers, _ = _followers()
    for follower in followers.members.values():
        follower.read_once()
    followers.clock.now += polling.STABLE_AFTER_SECONDS
    followers.role = _told_role
    restored = []
    followers.on_restore = lambda: restored.append(followers.era)
    followers.polling.draw = lambda: 1.0
    for era in (0, 1, 1, 0):
        followers.note_era(era)
    assert restored == [1]
    latest = polling.RECOVERY_JITTER_SECONDS
    assert followers.polling.tried_last == 'endpoints'
    assert followers.delay('table') == pytest.approx(latest)
    latest += polling.ALTERNATION_SECONDS
    assert followers.delay('endpoints') == pytest.approx(latest)
    assert [f.source.cancelled for f in followers.members.values()] == [0, 0]


def test_open_call_is_cancelled_as_the_store_lost_writes():
    followers, _ = _followers()
    for follower in followers.members.values():
        follower.read_once()
    followers.start_call('table')
    followers.clock.now += 1.0
    followers.note_era(1)
    assert followers.members['table'].source.cancelled == 1


def test_follower_goes_on_after_a_failure_to_wait(monkeypatch):
    """Guards against a table that is never read again."""
    followers, messages = _followers()
    follower = followers.members['table']
    monkeypatch.setattr(follower, 'pause', lambda seconds: None)
    delays = iter([RuntimeError("can't start new thread"), 0.0])

    def delay(name):
        value = next(delays)
        if isinstance(value, Exception):
            raise value
        follower.is_stopped = True
        return value

    monkeypatch.setattr(followers, 'delay', delay)
    follower.run()
    assert [type(each) for each in messages] == [directory.ReadResult]


def _read(since, position, last_change=0):
    return storereads.make_read(since, position, last_change)


def test_reads_are_accepted_from_where_they_begin():
    """Guards against passing over what was removed before a read begins."""
    followers, _ = _followers()
    endpoints = followers.members['endpoints']
    assert not followers.accept('endpoints', _read(0, 9))
    endpoints.read_once()
    assert endpoints.position == 7
    assert not followers.accept('endpoints', _read(8, 12))
    assert endpoints.position == 7
    assert followers.accept('endpoints', _read(3, 12))
    assert followers.known_reads()['endpoints'] == _read(3, 12)


def test_reads_of_a_later_era_are_not_accepted():
    """Guards against taking a restored store for one that never changed."""
    followers, _ = _followers()
    endpoints = followers.members['endpoints']
    endpoints.read_once()
    era = positions.make(1, 0)
    assert not followers.accept('endpoints', _read(era, era + 3))
    assert endpoints.position == 7


STORE_OFFSET_SECONDS = 500.0


def _store_ms(followers):
    """Return what the store's clock shows now."""
    return int((followers.clock.now + STORE_OFFSET_SECONDS) * 1000.0)


def _told_followers():
    """Return followers that have just read, and rely on others from now on."""
    followers, messages = _followers()
    followers.clock.now += polling.STABLE_AFTER_SECONDS
    for follower in followers.members.values():
        follower.source.page = ports.Page(7, [], 0, _store_ms(followers))
        follower.read_once()
    followers.role = _told_role
    followers.polling.draw = lambda: 1.0
    return followers


def test_router_that_is_told_nothing_reads_the_store_in_time():
    """Guards against relying on readers that are lost, frozen or cut off."""
    followers = _told_followers()
    limits = followers.limits
    table = followers.members['table']
    followers.clock.now += limits.max_age - 0.01
    assert followers.delay('table') > 0.0
    followers.clock.now += 0.01 + limits.spread
    assert followers.delay('table') == 0.0
    assert followers.start_call('table') == 0.0
    table.read_once()
    assert table.source.calls == ['all', 0.0]
    assert followers.delay('table') > 0.0


def test_reads_count_from_when_the_store_was_read():
    """Guards against messages of slow readers that seem to be new."""
    followers = _told_followers()
    limits = followers.limits
    read_ms = _store_ms(followers)
    followers.clock.now += limits.max_age + limits.spread
    assert followers.delay('endpoints') == 0.0
    old = storereads.make_read(7, 9, 7, read_ms)
    assert followers.accept('endpoints', old)
    assert followers.delay('endpoints') == 0.0
    fresh = storereads.make_read(7, 9, 7, _store_ms(followers))
    assert followers.accept('endpoints', fresh)
    assert followers.delay('endpoints') > 0.0


def test_time_that_the_store_has_not_had_yet_counts_for_nothing():
    """Guards against an odd message after which no read is too old."""
    followers = _told_followers()
    odd = storereads.make_read(7, 9, 7, 2**53)
    assert followers.accept('endpoints', odd)
    limits = followers.limits
    followers.clock.now += limits.max_age + limits.spread
    assert followers.delay('endpoints') == 0.0


def test_store_that_tells_no_time_is_read_at_the_same_rate():
    """Guards against calls without a pause to a store without a clock."""
    followers = _told_followers()
    table = followers.members['table']
    for _ in range(3):
        followers.clock.now += followers.limits.bound
        table.source.page = ports.Page(7, [])
        table.read_once()
        assert followers.delay('table') > 0.0


def test_reads_are_told_after_each_read_without_a_change():
    """Guards against routers that hear nothing while nothing changes."""
    followers = _told_followers()
    told = []
    followers.tell_reads = lambda: told.append(followers.role())
    table = followers.members['table']
    for role in (_told_role, _reader_role):
        followers.role = role
        table.read_once()
    table.source.page = ports.Page(9, ['changed'], 9)
    table.read_once()
    assert told == [storereaders.Role.TOLD, storereaders.Role.READS]


def test_store_whose_clock_begins_anew_is_followed():
    """Guards against calls without end, as no read is later than before."""
    followers = _told_followers()
    followers.clock.now += 1.0
    endpoints = followers.members['endpoints']
    endpoints.source.page = ports.Page(7, [], 0, 20)
    endpoints.read_once()
    seconds = followers.limits.max_age + followers.limits.spread + 0.01
    followers.clock.now += seconds
    assert followers.delay('endpoints') == 0.0
    later = int(20 + 1000 * seconds)
    assert followers.accept('endpoints', storereads.make_read(7, 7, 7, later))
    assert followers.delay('endpoints') > 0.0
