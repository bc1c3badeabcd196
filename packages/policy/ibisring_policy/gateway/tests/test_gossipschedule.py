"""Tests of when a router sends gossip."""

from ibisring_policy.gateway import gossipschedule


def _send_times(seconds, state=lambda now: None, max_used=0.2, reach=1.0):
    """Return when a router sends that checks four times a second."""
    schedule = gossipschedule.make_send_schedule()
    times = [
        10.0 + n * gossipschedule.CHECK_SECONDS
        for n in range(int(seconds * 4))
    ]
    return [t for t in times if schedule.is_due(t, state(t), max_used, reach)]


def test_without_changes_a_router_sends_once_a_second():
    """Load: six routers in normal operation.

    Four datagrams a second from each to five others were over half of the
    traffic between failure domains, the largest cost of that day.
    """
    assert len(_send_times(60.0)) <= 66


def test_a_change_is_sent_at_once_and_repeated():
    """Symptom: each router in turn tries an engine that was lost.

    Sequence: one router finds it lost; the datagram about it is lost.
    Cause: the change was sent only once.
    """
    sent = _send_times(20.0, state=lambda now: now >= 20.0)
    assert len([t for t in sent if 20.0 <= t < 21.0]) == 4


def test_load_is_sent_often_while_engines_are_nearly_full():
    """Load: a burst at routers whose view of each other is a second old."""
    assert len(_send_times(10.0, max_used=0.8)) == 40


def test_a_router_of_a_large_fleet_sends_at_each_check():
    """Symptom: engines preempt requests though the fleet is half idle.

    Sequence: each of 88 routers sends to six others once a second; the load
    of another one arrives every fifteen seconds, and expires after eight.
    Cause: the interval did not depend on how many routers are reached.
    """
    assert len(_send_times(10.0, reach=6 / 87)) == 40


def test_a_router_sends_often_enough_to_count_as_running():
    sent = _send_times(30.0)
    gaps = [after - before for before, after in zip(sent, sent[1:])]
    assert (
        max(gaps)
        <= gossipschedule.QUIET_INTERVAL_SECONDS + gossipschedule.CHECK_SECONDS
    )
