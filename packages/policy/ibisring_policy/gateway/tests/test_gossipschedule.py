"""Tests of when a router tells the others what it knows."""

from ibisring_policy.gateway import gossipschedule


def _told(seconds, news=lambda now: None, fullest=0.2, reach=1.0):
    """Give the times at which a router tells, looking four times a second."""
    pace = gossipschedule.make_send_schedule()
    times = [
        10.0 + n * gossipschedule.CHECK_SECONDS
        for n in range(int(seconds * 4))
    ]
    return [t for t in times if pace.is_due(t, news(t), fullest, reach)]


def test_a_calm_router_tells_once_a_second():
    """Load: six routers on a calm day.

    Four datagrams a second from each to five others were over half of the
    bytes between failure domains, the dearest price of that day.
    """
    assert len(_told(60.0)) <= 66


def test_what_others_act_upon_is_told_at_once_and_again():
    """Symptom: a lost engine is tried by each router in turn.

    Sequence: one router finds it lost; the datagram that says so is lost.
    Cause: it was said once.
    """
    told = _told(20.0, news=lambda now: now >= 20.0)
    assert len([t for t in told if 20.0 <= t < 21.0]) == 4


def test_load_is_told_often_while_engines_are_nearly_full():
    """Load: a burst before routers that know of each other a second late."""
    assert len(_told(10.0, fullest=0.8)) == 40


def test_a_router_of_a_large_fleet_tells_as_often_as_it_can():
    """Symptom: engines preempt requests though the fleet is half idle.

    Sequence: of 88 routers each tells six others once a second; another's
    load is heard every fifteen seconds, and forgotten after eight.
    Cause: how often to tell did not go by how many are told.
    """
    assert len(_told(10.0, reach=6 / 87)) == 40


def test_a_router_is_heard_often_enough_to_count_as_running():
    told = _told(30.0)
    gaps = [after - before for before, after in zip(told, told[1:])]
    assert (
        max(gaps)
        <= gossipschedule.QUIET_INTERVAL_SECONDS + gossipschedule.CHECK_SECONDS
    )
