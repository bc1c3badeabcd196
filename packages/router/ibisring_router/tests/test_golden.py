"""Golden files of complete sessions, for both deployments.

Each file holds the requests and responses in order, and the number of service
runs.  Ids, times and addresses are replaced by placeholders.  After an
intended change run ``IBISRING_UPDATE_GOLDEN=1 pytest -k golden`` and review
the diff.
"""

import json
import os
import pathlib
import re

import pytest

from ibisring_router.tests import builders
from ibisring_standins import deployments
from ibisring_standins import faults

GOLDEN_FOLDER = pathlib.Path(__file__).parent / 'golden'
UPDATE = 'IBISRING_UPDATE_GOLDEN' in os.environ
RECORDED_HEADERS = ('Ibisring-Outcome', 'Retry-After', 'x-should-retry')
COCINAS = (deployments.cocinas, 'impresoras-etiquetas', 'oficina-calidad')
MORALES = (deployments.morales, 'avisos-campo', 'boletines')


def normalize(text):
    text = re.sub(r'[0-9a-f]{32}', 'ID', text)
    text = re.sub(r'"created":\d+', '"created":0', text)
    return re.sub(r'127\.0\.0\.1:\d+', 'ADDRESS', text)


def exchange(router, account, path, body, **headers):
    response = builders.post(router, path, body, account=account, **headers)
    return {
        'sent': {
            'path': path,
            'account': account,
            'headers': headers,
            'body': body,
        },
        'got': {
            'status': response.status,
            'headers': {
                name: response.headers[name]
                for name in RECORDED_HEADERS
                if name in response.headers
            },
            'body': normalize(response.data.decode()).split('\n'),
        },
    }


def send_lookup(router, accounts):
    body = {'lote': 'L-2207', 'producto': 'lentejas'}
    path = '/v1/services/etiquetado'
    return [exchange(router, accounts[0], path, body)]


def send_alert(router, accounts):
    body = {'zona': 'finca El Paraiso', 'aviso': 'rayos a 8 km'}
    path = '/v1/services/avisador'
    headers = {'Idempotency-Key': 'aviso-31', 'Ibisring-Priority': 'alerta'}
    return [
        exchange(router, accounts[0], path, body, **headers) for _ in range(2)
    ]


def send_card(router, accounts):
    body = {
        'model': 'modelo-cocina',
        'prompt': 'ficha de receta: sopa de ajo',
        'max_tokens': 6,
        'stream': True,
    }
    headers = {'Idempotency-Key': 'ficha-9', 'Ibisring-Idempotent': 'false'}
    return [
        exchange(router, accounts[1], '/v1/completions', body, **headers)
        for _ in range(2)
    ]


def send_bulletin(router, accounts):
    body = {
        'model': 'redactor',
        'messages': [{'role': 'user', 'content': 'boletin de tormenta'}],
        'max_tokens': 6,
    }
    path = '/v1/chat/completions'
    return [exchange(router, accounts[1], path, body)]


def lose_service_response(site):
    for service in site.services.values():
        service.faults = faults.ServiceFaults(lose_answers=1)


def refuse_requests(site):
    for service in site.services.values():
        service.faults = faults.ServiceFaults(refuse=True)


def crash_stage(site):
    for server in site.engines.values():
        if server.engine.status.first_layer == 8:
            server.engine.faults = faults.EngineFaults(die_at=3)
            return


def silence_engines(site):
    for server in site.engines.values():
        server.engine.faults = faults.EngineFaults(silence_at=2)


def no_fault(site):
    """Inject no fault."""


SESSIONS = [
    ('lookup', COCINAS, send_lookup, no_fault),
    ('lookup-refused', COCINAS, send_lookup, refuse_requests),
    ('lookup-answer-lost', COCINAS, send_lookup, lose_service_response),
    ('card', COCINAS, send_card, no_fault),
    ('card-silent-connection', COCINAS, send_card, silence_engines),
    ('alert', MORALES, send_alert, no_fault),
    ('alert-answer-lost', MORALES, send_alert, lose_service_response),
    ('bulletin', MORALES, send_bulletin, no_fault),
    ('bulletin-stage-death', MORALES, send_bulletin, crash_stage),
]


@pytest.mark.parametrize(
    ('name', 'deployment', 'session', 'fault'),
    SESSIONS,
    ids=[each[0] for each in SESSIONS],
)
def test_golden_session(name, deployment, session, fault):
    make_deployment, *accounts = deployment
    site = builders.small_site(make_deployment, engines=6, services=1)
    routers = builders.start_fleet(site, 1)
    fault(site)
    try:
        exchanges = session(routers[0], accounts)
        actual = {
            'exchanges': exchanges,
            'service_runs': len(builders.service_runs(site)),
        }
    finally:
        routers[0].stop()
        site.stop()
    file = GOLDEN_FOLDER / f'{name}.json'
    if UPDATE:
        GOLDEN_FOLDER.mkdir(exist_ok=True)
        file.write_text(json.dumps(actual, indent=1) + '\n')
    assert actual == json.loads(file.read_text())
