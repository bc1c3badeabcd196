"""Model requests on in-memory engines: slow chains, budgets, deadlines."""

import pytest

from ibisring_records import exceptions
from ibisring_router.tests import builders
from ibisring_router.tests import fakes
from ibisring_standins import engine

STEP_SECONDS = 0.01
SLOW_ENGINE = 'modelo-cocina-01'


@pytest.fixture
def bench():
    bench = fakes.Bench(builders.many_endpoints(6))
    bench.channel.delays = dict.fromkeys(bench.engines, STEP_SECONDS)
    return bench


def run_request(bench, name, **changes):
    """Run a request and check its tokens."""
    changes.setdefault('deadline', bench.clock() + 60.0)
    request = builders.generation(name, max_tokens=40, **changes)
    *tokens, _ = bench.runner.run(request, lambda: False)
    assert tokens == engine.expected_tokens(
        request.prompt, request.layers, request.max_tokens
    )


def run_until_slow_engine_is_used(bench, **changes):
    """Run requests until one uses the slow engine; return its attempts."""
    for number in range(30):
        run_request(bench, f'n{number}', **changes)
        runs = bench.engines[SLOW_ENGINE].ledger
        slow_attempts = {r.attempt for r in runs if r.request == f'n{number}'}
        if slow_attempts:
            ledger = [r for e in bench.engines.values() for r in e.ledger]
            return {r.attempt for r in ledger if r.request == f'n{number}'}
    raise AssertionError('the slow engine was never chosen')


def test_chain_that_becomes_slow_is_replaced(bench):
    """A degraded accelerator does not delay answers by minutes.

    A stage that becomes a hundred times slower without failing causes no
    error that would lead to another attempt.
    """
    for number in range(8):
        run_request(bench, f'warm{number}')
    bench.channel.delays[SLOW_ENGINE] = 100 * STEP_SECONDS
    attempts = run_until_slow_engine_is_used(bench)
    assert attempts == {1, 2}
    assert bench.metrics.snapshot()['attempts.failed.slow'] >= 1


def test_slow_chain_is_kept_if_the_request_is_not_idempotent(bench):
    for number in range(8):
        run_request(bench, f'warm{number}')
    bench.channel.delays[SLOW_ENGINE] = 100 * STEP_SECONDS
    attempts = run_until_slow_engine_is_used(bench, idempotent=False)
    assert attempts == {1}


def test_retries_stop_when_the_budget_is_spent(bench):
    """Retries don't multiply the load when every engine refuses.

    Without a budget over all requests, an outage triples the load.
    """
    bench.runner.budget.saved = 2.0
    bench.runner.budget.share = 0.0
    refusals = 0
    for number in range(6):
        bench.channel.faults.extend([fakes.Fault.REFUSE] * 4)
        with pytest.raises(exceptions.EndpointRefused):
            run_request(bench, f'r{number}')
        refusals += 4 - len(bench.channel.faults)
        bench.channel.faults.clear()
    assert refusals == 6 + 2


def test_no_attempt_begins_after_the_deadline(bench):
    bench.channel.faults.append(fakes.Fault.LOSE_REQUEST)
    with pytest.raises(exceptions.Interrupted):
        run_request(bench, 'late', deadline=bench.clock())
    assert not any(e.ledger for e in bench.engines.values())
