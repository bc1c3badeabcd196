"""Tests of the log line of a request that has ended."""

import logging
import types

import pytest

from ibisring_gateway import forwarding
from ibisring_gateway.tests import builders
from ibisring_gateway.tests import jobbuilders
from ibisring_policy.gateway import attempts
from ibisring_policy.gateway import retrybudget


def _line_of(results, caplog, headers_sent=True):
    """Return the facts logged about a request with these attempts."""
    caplog.set_level(logging.INFO)
    forwarder = forwarding.make_forwarder(
        builders.make_view([]),
        None,
        None,
        None,
        retrybudget.make_retry_budget(10.0, 0.2, 1.0),
        lambda: 1,
        builders.Metrics(),
        types.SimpleNamespace(retry_after=lambda job: 0.0),
        None,
    )
    exchange = jobbuilders.Exchange(headers_sent)
    job = exchange.job = jobbuilders.make_job(exchange)
    results = iter(results)

    def send(job):
        job.progress.tries += 1
        job.progress.sent_to = 1
        job.progress.may_have_run = True
        return next(results)

    forwarder._send_attempt = send
    forwarder._run_attempts(job)
    forwarder.log.write_answered(job)
    (line,) = [r for r in caplog.records if r.getMessage() == 'request']
    return line.facts


@pytest.mark.parametrize(
    ('result', 'party'),
    [
        (attempts.Result.LOST, 'endpoint'),
        (attempts.Result.SILENT, 'router'),
        (attempts.Result.DEADLINE, 'deadline'),
    ],
)
def test_line_of_a_broken_stream_says_who_ended_it(result, party, caplog):
    """Failure: a log that can't tell why an answer was broken off."""
    facts = _line_of([result] * 4, caplog)
    assert (facts['ended_by'], facts['why']) == (party, result.value)
    known = ('tries_left', 'endpoints_left', 'may_repeat', 'retries_left')
    assert all(name in facts for name in known)


def test_line_names_a_limit_that_was_used_up(caplog):
    facts = _line_of([attempts.Result.LOST] * 2, caplog)
    assert facts['retries_left'] == 0
    assert facts['tries_left'] == 2
    assert facts['left_ms'] > 0


def test_line_of_a_whole_answer_names_the_endpoint(caplog):
    facts = _line_of([None], caplog)
    assert (facts['ended_by'], facts['why']) == ('endpoint', 'whole')
    assert 'tries_left' not in facts
