"""Tests of the guard of long-lived threads."""

import logging

from ibisring_router import guards


class _Clock:
    now = 0.0

    def __call__(self):
        return self.now


def _fail():
    raise RuntimeError("can't start new thread")


def test_failure_is_counted_and_not_raised():
    """Guards against a thread that ends after one exception."""
    failures = guards.Failures(_Clock())
    assert not failures.run('check', _fail)
    assert failures.run('check', int)
    assert failures.counts() == {'check': 1}


def test_lines_are_bounded_and_name_the_failures_between(caplog):
    """Guards against a log that is full of one repeated exception."""
    clock = _Clock()
    failures = guards.Failures(clock)
    with caplog.at_level(logging.ERROR):
        for _ in range(100):
            failures.run('check', _fail)
            failures.run('other', _fail)
        clock.now = 1.0
        failures.run('check', _fail)
    found = [(r.facts['step'], r.facts['times']) for r in caplog.records]
    assert found == [('check', 1), ('other', 1), ('check', 100)]
    assert all(record.exc_info for record in caplog.records)
    assert failures.counts() == {'check': 101, 'other': 100}
