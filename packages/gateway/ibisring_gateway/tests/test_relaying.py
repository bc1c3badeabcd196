"""Tests of relaying events to a caller."""

import types

from ibisring_gateway import attemptwatching
from ibisring_gateway import relaying
from ibisring_gateway.tests import jobbuilders
from ibisring_gateway import upstream
from ibisring_policy.gateway import framing


class _SlowCaller(jobbuilders.Exchange):
    """Notes when a silent endpoint would be looked for during a write."""

    def __init__(self, attempt):
        super().__init__(headers_sent=True)
        self.attempt = attempt
        self.checks = []

    def write(self, data):
        self.checks.append(self.attempt.check_at)


def test_slow_caller_does_not_look_like_a_silent_endpoint(monkeypatch):
    """Failure: a sound stream is moved while its caller reads slowly."""
    attempt = attemptwatching.Attempt('a1', None, (), 1e12)
    job = jobbuilders.make_job(_SlowCaller(attempt))
    chunks = iter([b'id: 1\ndata: a\n\n', b''])
    monkeypatch.setattr(upstream, 'read_chunk', lambda response: next(chunks))
    answer = types.SimpleNamespace(
        status=200,
        headers=[],
        length=None,
        framing=framing.Framing.CHUNKS,
    )

    def on_event():
        attempt.check_at = 5.0

    relaying.relay_events(job, attempt, None, answer, on_event)
    assert job.exchange.checks[0] is None
    assert attempt.check_at == 5.0
