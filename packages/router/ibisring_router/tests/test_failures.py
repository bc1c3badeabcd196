"""Failures of engines, services and callers over real connections."""

import concurrent.futures
import socket
import threading

import pytest

from ibisring_router.tests import builders
from ibisring_standins import deployments
from ibisring_standins import engine
from ibisring_standins import faults

MODEL = 'modelo-cocina'
PROMPT = 'ficha de alergenos'
TOKENS = 12
STREAMS = 16
SERVICE = '/v1/services/etiquetado'


@pytest.fixture(scope='module')
def shared_router(site):
    router = builders.start_router(site, service_timeout=0.5)
    yield router
    router.stop()


@pytest.fixture
def router(site, shared_router):
    yield shared_router
    clear_faults(site)
    shared_router.placement.inspect(reset_ejections)


@pytest.fixture
def router_with_long_timeout(site):
    """Return a router whose token timeout doesn't fire on a slow machine.

    With half a second, stalls of the test process look like a silent engine
    and use up the attempts that a request needs for the injected fault.
    """
    router = builders.start_router(site, token_timeout=10.0)
    yield router
    router.stop()
    clear_faults(site)


def clear_faults(site):
    for server in site.engines.values():
        server.engine.faults = faults.EngineFaults()
    for service in site.services.values():
        service.faults = faults.ServiceFaults()
        service.ledger.clear()


def reset_ejections(dispatcher):
    for state in dispatcher.states.values():
        state.failures = state.ejections = 0
        state.ejected_until = 0.0


def set_engine_faults(site, **fault_settings):
    for server in site.engines.values():
        server.engine.faults = faults.EngineFaults(**fault_settings)


def post_completion(router, **headers):
    body = {'model': MODEL, 'prompt': PROMPT, 'max_tokens': TOKENS}
    return builders.post(router, '/v1/completions', body, **headers)


def expected_text():
    tokens = engine.expected_tokens(PROMPT, deployments.LAYERS, TOKENS)
    return ''.join(tokens)


@pytest.mark.parametrize('position', [0, 5, TOKENS - 1])
def test_stage_crash_at_any_token_is_hidden_from_the_caller(
    site, router_with_long_timeout, position
):
    """Failure: a response breaks off when a stage of its chain crashes.

    The response must not depend on one chain from start to end.
    """
    faulty_server = next(iter(site.engines.values()))
    faulty_server.engine.faults = faults.EngineFaults(die_at=position, dies=99)
    for _ in range(4):
        body = post_completion(router_with_long_timeout).json()
        assert 'choices' in body, body
        assert body['choices'][0]['text'] == expected_text()


def test_silent_connection_is_resumed_on_a_new_one(site, router):
    """Failure: a response stalls for ever.

    Something between router and engine loses the state of an open
    connection: nothing arrives on it any more, not even its close, while
    new connections work.
    """
    set_engine_faults(site, silence_at=4)
    response = post_completion(router)
    assert response.json()['choices'][0]['text'] == expected_text()


def test_silent_connection_does_not_rerun_a_non_idempotent_request(
    site, router
):
    set_engine_faults(site, silence_at=4)
    before = {run.request for run in engine_runs(site)}
    response = post_completion(router, Ibisring_Idempotent='false')
    assert response.json()['choices'][0]['text'] == expected_text()
    attempts = {
        (run.request, run.attempt)
        for run in engine_runs(site)
        if run.request not in before
    }
    assert len(attempts) == 1


def engine_runs(site):
    return [
        run for server in site.engines.values() for run in server.engine.ledger
    ]


def test_partial_event_before_a_close_is_not_a_token(site, router):
    """Failure: a response ends in part of a token, or in a wrong one.

    An engine closes the connection in the middle of an event; the part
    that was read must not count as a complete event.
    """
    set_engine_faults(site, cut_at=6)
    response = post_completion(router)
    assert response.json()['choices'][0]['text'] == expected_text()


def test_duplicate_events_are_delivered_once(site, router):
    set_engine_faults(site, repeat_events=True)
    response = post_completion(router)
    assert response.json()['choices'][0]['text'] == expected_text()


def test_all_streams_going_silent_at_once_are_resumed(site, router):
    """Failure: most responses of a router break off at the same time.

    Something between router and engines drops all open connections while
    many responses stream.  Resumptions must not count against the retry
    budget, which would soon be used up: they repeat no work.
    """
    set_engine_faults(site, silence_at=4, silences=STREAMS)
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        futures = [
            pool.submit(post_completion, router) for _ in range(STREAMS)
        ]
        responses = [future.result().json() for future in futures]
    texts = [response['choices'][0]['text'] for response in responses]
    assert texts == [expected_text()] * STREAMS


def test_engine_that_accepts_but_never_responds_is_skipped(site, router):
    """Failure: requests hang although other engines are free.

    An engine accepts connections but sends nothing; the wait for the first
    token needs a timeout too.
    """
    faulty_server = next(iter(site.engines.values()))
    faulty_server.engine.faults = faults.EngineFaults(never_answer=True)
    for _ in range(3):
        response = post_completion(router)
        assert response.json()['choices'][0]['text'] == expected_text()


def test_outcome_is_not_run_if_all_engines_refuse(site, router):
    set_engine_faults(site, refuse=True)
    error = post_completion(router).json()['error']
    assert error['outcome'] == 'not_run'
    request_id = error['facts']['request_id']
    assert request_id
    assert request_id not in {run.request for run in engine_runs(site)}


def test_truncated_response_is_never_reported_as_complete(site, router):
    """Failure: a response lacks its last lines and the caller can't tell.

    A non-idempotent request is cut off and can't be resumed; the end of
    the stream must not look like the end of the response.
    """
    for server in site.engines.values():
        if server.engine.status.first_layer > 0:
            server.engine.faults = faults.EngineFaults(die_at=5, dies=99)
    body = {
        'model': MODEL,
        'prompt': PROMPT,
        'max_tokens': TOKENS,
        'stream': True,
    }
    response = builders.post(
        router, '/v1/completions', body, Ibisring_Idempotent='false'
    )
    text = response.data.decode()
    assert '[DONE]' not in text
    assert '"outcome":"unknown"' in text
    assert '"finish_reason":"length"' not in text


@pytest.mark.parametrize(
    ('fault_settings', 'outcome'),
    [
        ({'lose_answers': 99}, 'unknown'),
        ({'hang': True}, 'unknown'),
        ({'fail': 99}, 'failed'),
        ({'refuse': True}, 'not_run'),
    ],
)
def test_service_outcomes_match_what_ran(
    site, router, fault_settings, outcome
):
    """Failure: an alert is sent twice, or is reported lost though it ran.

    A service loses its response, hangs, fails or refuses; the outcomes
    must be distinguished, since they allow different retries.
    """
    for service in site.services.values():
        service.faults = faults.ServiceFaults(**fault_settings)
    response = builders.post(router, SERVICE, {'lote': 1})
    assert response.json()['error']['outcome'] == outcome
    expected_runs = 0 if outcome == 'not_run' else 1
    assert len(builders.service_runs(site)) == expected_runs


def test_idempotent_call_is_retried_at_another_endpoint(site, router):
    first = next(iter(site.services.values()))
    first.faults = faults.ServiceFaults(lose_answers=99)
    for _ in range(6):
        response = builders.post(
            router, SERVICE, {'lote': 2}, Ibisring_Idempotent='true'
        )
        assert response.status == 200


def test_closed_caller_connection_frees_the_engines(site, router):
    """Failure: engines are busy with requests that nobody waits for.

    A caller closes its connection while the response streams; the router
    must cancel the request rather than read on.
    """
    set_engine_faults(site, step_delay=0.02)
    host, port = router.callers.address.split(':')
    body = (
        b'{"model":"modelo-cocina","prompt":"x","max_tokens":5000,'
        b'"stream":true}'
    )
    key = deployments.account_key('cocina-1').encode()
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Authorization: Bearer ' + key + b'\r\n'
            b'Content-Length: %d\r\n\r\n' % len(body) + body
        )
        assert sock.recv(64)
    assert router.limiter.wait_until_empty(10)
    cancelled = threading.Event()
    while not cancelled.wait(0.01):
        if sum(s.cancelled_count for s in site.engines.values()):
            cancelled.set()
    running = router.placement.inspect(lambda d: len(d.running))
    assert running == 0


def test_urgent_request_is_served_while_normal_threads_are_full(site, router):
    """Failure: a label or alert waits behind bulletins.

    Slow streams occupy all threads for callers; some threads have to be
    reserved for urgent requests.
    """
    normal_threads = router.limiter.threads - router.limiter.urgent
    for _ in range(normal_threads):
        router.limiter.acquire(is_urgent=False)
    try:
        refused = post_completion(router)
        urgent = builders.post(router, SERVICE, {'lote': 3})
    finally:
        for _ in range(normal_threads):
            router.limiter.release()
    assert refused.json()['error']['code'] == 'overloaded'
    assert refused.json()['error']['outcome'] == 'not_run'
    assert refused.headers['Retry-After']
    assert urgent.status == 200


def test_burst_of_new_connections_is_not_reset(router):
    """Failure: connections are reset when a shift begins.

    A hundred callers connect at a time; the listen queue had 5 places.
    """
    barrier = threading.Barrier(100)
    statuses = []

    def call():
        barrier.wait()
        url = f'http://{router.callers.address}/healthz'
        response = builders.HTTP.request('GET', url)
        statuses.append(response.status)

    threads = [threading.Thread(target=call) for _ in range(100)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert statuses == [200] * 100
