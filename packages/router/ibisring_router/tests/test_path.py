"""End-to-end tests: OpenAI client, router, engines and services."""

import openai
import pytest

from ibisring_router.tests import builders
from ibisring_standins import deployments
from ibisring_standins import engine

MODEL = 'modelo-cocina'


@pytest.fixture(scope='module')
def router(site):
    router = builders.start_router(site)
    yield router
    router.stop()


@pytest.fixture
def client(router):
    return openai.OpenAI(
        base_url=f'http://{router.callers.address}/v1',
        api_key=deployments.account_key('cocina-1'),
    )


def test_models_are_listed(client):
    assert [model.id for model in client.models.list()] == [MODEL]


def test_completion_is_complete_and_correct(client):
    response = client.completions.create(
        model=MODEL, prompt='sopa de ajo', max_tokens=9
    )
    expected = engine.expected_tokens('sopa de ajo', deployments.LAYERS, 9)
    assert response.choices[0].text == ''.join(expected)
    assert response.choices[0].finish_reason == 'length'
    assert response.usage.completion_tokens == 9


def test_streamed_chat_ends_with_a_finish_reason(client):
    chunks = list(
        client.chat.completions.create(
            model=MODEL,
            messages=[{'role': 'user', 'content': 'hola'}],
            max_tokens=5,
            stream=True,
        )
    )
    text = ''.join(c.choices[0].delta.content or '' for c in chunks)
    expected = engine.expected_tokens(
        'user: hola\nassistant:', deployments.LAYERS, 5
    )
    assert text == ''.join(expected)
    assert chunks[-1].choices[0].finish_reason == 'length'
    assert chunks[-1].ibisring_outcome == 'done'


def test_service_call_gets_a_response(router):
    response = builders.post(router, '/v1/services/etiquetado', {'lote': 7})
    assert response.json()['echo'] == {'lote': 7}
    assert response.headers['Ibisring-Outcome'] == 'done'
    assert response.headers['Ibisring-Request-Id']


def test_unknown_model_is_a_typed_error(client):
    with pytest.raises(openai.NotFoundError) as caught:
        client.completions.create(model='nada', prompt='x')
    assert caught.value.code == 'not_found'


def test_wrong_key_is_a_typed_error(client):
    wrong = client.with_options(api_key='falsa')
    with pytest.raises(openai.AuthenticationError) as caught:
        wrong.completions.create(model=MODEL, prompt='x')
    assert caught.value.code == 'unauthorized'


@pytest.mark.parametrize(
    'body', [{}, {'model': MODEL}, {'model': MODEL, 'prompt': 3}, 'x']
)
def test_malformed_body_names_the_field(router, body):
    response = builders.post(router, '/v1/completions', body)
    error = response.json()['error']
    assert response.status == 400
    assert error['code'] == 'invalid_request'
    assert error['outcome'] == 'not_run'


def test_request_longer_than_the_context_is_rejected(router):
    body = {'model': MODEL, 'prompt': 'x', 'max_tokens': 9000}
    response = builders.post(router, '/v1/completions', body)
    assert response.status == 400
    assert 'context' in response.json()['error']['message']


def test_oversized_body_is_rejected(router):
    body = {'model': MODEL, 'prompt': 'x' * 5_000_000}
    response = builders.post(router, '/v1/completions', body)
    assert response.status == 413
    assert response.json()['error']['code'] == 'request_too_large'


def test_objective_of_the_records_reaches_placement(router, monkeypatch):
    """The time a request has to spare also depends on its objective."""
    tickets = []
    place = router.placement.place

    def recording_place(ticket, is_gone):
        tickets.append(ticket)
        return place(ticket, is_gone)

    monkeypatch.setattr(router.placement, 'place', recording_place)
    body = {'model': 'modelo-cocina', 'prompt': 'pan', 'max_tokens': 2}
    headers = {'Ibisring_Deadline_Ms': '50000'}
    assert (
        builders.post(router, '/v1/completions', body, **headers).status == 200
    )
    (ticket,) = tickets
    # The model's objective is 30 s.
    assert ticket.deadline - ticket.wanted_by == pytest.approx(20.0)
