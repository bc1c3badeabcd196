"""Engines that pause go on with what they have begun."""

import time

from ibisring_soak import pausing
import pytest


@pytest.fixture
def site():
    site = pausing.PausingSite()
    for name in ('e1', 'e2'):
        site.add_engine(name)
    yield site
    site.stop()


def _stream(site, request_id, count=3):
    """Return an iterator over a stream of e1 by way of e2."""
    first, second = site.engines.values()
    chain = f'{first.address}=0-8,{second.address}=8-16'
    first.paths[request_id] = chain
    return first._events(request_id, chain, 0, count, {})


def _seconds_of_next(stream):
    begin = time.monotonic()
    next(stream)
    return time.monotonic() - begin


def test_the_newest_streams_are_preempted_and_go_on(site):
    streams = [_stream(site, name) for name in ('old', 'new')]
    for stream in streams:
        next(stream)
    site.engines['e1'].preempt(0.5, 60.0)
    running = site.engines['e1'].running
    assert running['old'] == 0.0 and running['new'] > time.monotonic()
    running['new'] = time.monotonic() + 0.2
    assert _seconds_of_next(streams[1]) > 0.15
    assert len(list(streams[1])) == 1


@pytest.mark.parametrize('silent', ['e1', 'e2'])
def test_streams_wait_for_a_silent_stage(site, silent):
    stream = _stream(site, 's1')
    next(stream)
    site.engines[silent].fall_silent(0.2)
    assert _seconds_of_next(stream) > 0.15
    assert len(list(stream)) == 1
