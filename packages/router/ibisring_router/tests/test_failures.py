"""What fails, over real connections: engines, services and callers."""

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
    mend(site)
    shared_router.placement.inspect(forgive)


@pytest.fixture
def patient_router(site):
    """Give a router that takes no engine for silent because tests are slow.

    Stalls of the test's own process look like silence after half a second,
    and use up the attempts of a request that has one true fault to survive.
    """
    router = builders.start_router(site, token_timeout=10.0)
    yield router
    router.stop()
    mend(site)


def mend(site):
    for server in site.engines.values():
        server.engine.faults = faults.EngineFaults()
    for service in site.services.values():
        service.faults = faults.ServiceFaults()
        service.ledger.clear()


def forgive(dispatcher):
    for state in dispatcher.states.values():
        state.failures = state.ejections = 0
        state.ejected_until = 0.0


def break_engines(site, **switches):
    for server in site.engines.values():
        server.engine.faults = faults.EngineFaults(**switches)


def complete(router, **headers):
    body = {'model': MODEL, 'prompt': PROMPT, 'max_tokens': TOKENS}
    return builders.post(router, '/v1/completions', body, **headers)


def right_answer():
    tokens = engine.expected_tokens(PROMPT, deployments.LAYERS, TOKENS)
    return ''.join(tokens)


@pytest.mark.parametrize('position', [0, 5, TOKENS - 1])
def test_stage_death_at_any_token_is_not_seen(site, patient_router, position):
    """Symptom: an allergen sheet broke off in the middle.

    Sequence: a stage of the chain dies while the answer streams.
    Cause: the answer depended on one chain from its start to its end.
    """
    victim = next(iter(site.engines.values()))
    victim.engine.faults = faults.EngineFaults(die_at=position, dies=99)
    for _ in range(4):
        body = complete(patient_router).json()
        assert 'choices' in body, body
        assert body['choices'][0]['text'] == right_answer()


def test_silent_connection_is_resumed_on_a_new_one(site, router):
    """Symptom: an answer stands still for ever.

    Sequence: something between router and engine loses track of an open
    connection; new connections work.
    Cause: nothing arrives on the old one, not even its end.
    """
    break_engines(site, silence_at=4)
    answer = complete(router)
    assert answer.json()['choices'][0]['text'] == right_answer()


def test_silent_connection_does_not_rerun_what_may_not_repeat(site, router):
    break_engines(site, silence_at=4)
    before = {run.request for run in all_runs(site)}
    answer = complete(router, Ibisring_Idempotent='false')
    assert answer.json()['choices'][0]['text'] == right_answer()
    attempts = {
        (run.request, run.attempt)
        for run in all_runs(site)
        if run.request not in before
    }
    assert len(attempts) == 1


def all_runs(site):
    return [
        run for server in site.engines.values() for run in server.engine.ledger
    ]


def test_half_an_event_and_a_close_is_not_taken_for_a_token(site, router):
    """Symptom: a sheet ends in half a word, or in a wrong one.

    Sequence: an engine closes in the middle of an event.
    Cause: what was read so far was taken for a whole event.
    """
    break_engines(site, cut_at=6)
    answer = complete(router)
    assert answer.json()['choices'][0]['text'] == right_answer()


def test_doubled_events_are_delivered_once(site, router):
    break_engines(site, repeat_events=True)
    answer = complete(router)
    assert answer.json()['choices'][0]['text'] == right_answer()


def test_all_streams_going_silent_at_once_are_resumed(site, router):
    """Symptom: sheets break off for most callers of a router at a time.

    Sequence: something between router and engines forgets all open
    connections while many answers stream.
    Cause: resumptions were charged to the retry budget, which was soon
    spent, though they run nothing anew.
    """
    break_engines(site, silence_at=4, silences=STREAMS)
    with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        asked = [pool.submit(complete, router) for _ in range(STREAMS)]
        answers = [future.result().json() for future in asked]
    texts = [answer['choices'][0]['text'] for answer in answers]
    assert texts == [right_answer()] * STREAMS


def test_engine_that_accepts_and_never_answers(site, router):
    """Symptom: requests hang although other engines are free.

    Sequence: an engine accepts connections and says nothing.
    Cause: no limit on the silence before the first token.
    """
    victim = next(iter(site.engines.values()))
    victim.engine.faults = faults.EngineFaults(never_answer=True)
    for _ in range(3):
        answer = complete(router)
        assert answer.json()['choices'][0]['text'] == right_answer()


def test_all_refuse_and_it_is_not_run(site, router):
    break_engines(site, refuse=True)
    error = complete(router).json()['error']
    assert error['outcome'] == 'not_run'
    request_id = error['facts']['request_id']
    assert request_id
    assert request_id not in {run.request for run in all_runs(site)}


def test_cut_answer_is_never_presented_as_whole(site, router):
    """Symptom: a printed sheet lacks its last lines, and nobody knew.

    Sequence: a request that may not repeat is cut and can't be resumed.
    Cause: the stream's end looked like the answer's end.
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
    answer = builders.post(
        router, '/v1/completions', body, Ibisring_Idempotent='false'
    )
    text = answer.data.decode()
    assert '[DONE]' not in text
    assert '"outcome":"unknown"' in text
    assert '"finish_reason":"length"' not in text


@pytest.mark.parametrize(
    ('switches', 'outcome'),
    [
        ({'lose_answers': 99}, 'unknown'),
        ({'hang': True}, 'unknown'),
        ({'fail': 99}, 'failed'),
        ({'refuse': True}, 'not_run'),
    ],
)
def test_service_outcomes_are_truthful(site, router, switches, outcome):
    """Symptom: an alert is sent twice, or is believed lost and was not.

    Sequence: a service loses its answer, hangs, fails or refuses.
    Cause: all four looked the same, and were repeated the same way.
    """
    for service in site.services.values():
        service.faults = faults.ServiceFaults(**switches)
    answer = builders.post(router, SERVICE, {'lote': 1})
    assert answer.json()['error']['outcome'] == outcome
    expected_runs = 0 if outcome == 'not_run' else 1
    assert len(builders.service_runs(site)) == expected_runs


def test_idempotent_call_is_repeated_elsewhere(site, router):
    first = next(iter(site.services.values()))
    first.faults = faults.ServiceFaults(lose_answers=99)
    for _ in range(6):
        answer = builders.post(
            router, SERVICE, {'lote': 2}, Ibisring_Idempotent='true'
        )
        assert answer.status == 200


def test_caller_that_leaves_frees_the_engines(site, router):
    """Symptom: engines are full of work that nobody waits for.

    Sequence: a caller closes its connection in mid-stream.
    Cause: the router went on reading for it.
    """
    break_engines(site, step_delay=0.02)
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


def test_full_pool_of_bulletins_does_not_delay_an_alert(site, router):
    """Symptom: a label or alert waits behind bulletins.

    Sequence: slow streams take every thread that serves callers.
    Cause: one pool for all, with no place kept for urgent requests.
    """
    places = router.limiter.threads - router.limiter.urgent
    for _ in range(places):
        router.limiter.acquire(is_urgent=False)
    try:
        refused = complete(router)
        urgent = builders.post(router, SERVICE, {'lote': 3})
    finally:
        for _ in range(places):
            router.limiter.release()
    assert refused.json()['error']['code'] == 'overloaded'
    assert refused.json()['error']['outcome'] == 'not_run'
    assert refused.headers['Retry-After']
    assert urgent.status == 200


def test_burst_of_new_connections_is_not_reset(router):
    """Symptom: connections reset when a shift begins.

    Sequence: a hundred callers connect at once.
    Cause: the listen queue held five.
    """
    barrier = threading.Barrier(100)
    answered = []

    def call():
        barrier.wait()
        url = f'http://{router.callers.address}/healthz'
        response = builders.HTTP.request('GET', url)
        answered.append(response.status)

    threads = [threading.Thread(target=call) for _ in range(100)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert answered == [200] * 100
