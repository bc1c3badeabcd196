"""Counters and timers, kept in the process and sent to statsd."""

import socket

from ibisring_router import metrics


def test_counters_and_timers_reach_a_statsd():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(('127.0.0.1', 0))
        receiver.settimeout(10)
        created = metrics.make_metrics(
            f'127.0.0.1:{receiver.getsockname()[1]}'
        )
        created.count('requests.done', 2)
        created.time('requests.seconds', 0.25)
        assert receiver.recv(200) == b'ibisring.requests.done:2|c'
        assert receiver.recv(200) == b'ibisring.requests.seconds:250.000000|ms'
    assert created.snapshot() == {'requests.done': 2}
