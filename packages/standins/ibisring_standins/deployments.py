"""Records of two sample deployments, at the specified sizes."""

__all__ = ['Deployment', 'cocinas', 'morales', 'DEPLOYMENTS', 'account_key']

import itertools

from ibisring_records import records
import msgspec

BASE_PORT = 9100
LAYERS = 24
RANGES = ((0, 7), (8, 15), (16, 23))
ACCELERATORS = ('a100', 'l40', 'mi250', 't4')


class Deployment(msgspec.Struct):
    """Records of a deployment; `keys` maps accounts to their demo keys."""

    name: str
    records: list[records.Submitted]
    keys: dict[str, str]


def account_key(account):
    """Return the demo key of an account; real keys are random."""
    return f'demo-key-{account}'


def _account(name, **spec):
    spec['key_sha256'] = records.hash_key(account_key(name))
    return records.Submitted('account', name, spec=spec)


def _priorities(urgent, urgent_objective, deadline_ms):
    return [
        records.Submitted(
            'priority',
            urgent,
            spec={
                'rank': 0,
                'reserved_share': 0.05,
                'deadline_ms': deadline_ms,
                'objective': urgent_objective,
            },
        ),
        records.Submitted(
            'priority',
            'normal',
            spec={'rank': 1, 'deadline_ms': 30_000},
        ),
        records.Submitted(
            'priority',
            'batch',
            spec={'rank': 2, 'deadline_ms': 120_000},
        ),
    ]


def _model(model):
    version = f'{model}@1'
    return [
        records.Submitted(
            'model',
            model,
            spec={
                'layers': LAYERS,
                'default_version': version,
                'objective': {'target': 0.99, 'bound_ms': 30_000},
            },
        ),
        records.Submitted(
            'version',
            version,
            spec={'model': model, 'weights': f'weights/{model}/1'},
        ),
    ]


def _engines(model, domains, count, address_of):
    """Spread engines evenly over failure domains and layer ranges."""
    engines = []
    assignments = itertools.cycle(itertools.product(domains, RANGES))
    for number, (domain, (first, last)) in zip(range(count), assignments):
        spec = {
            'address': address_of(number),
            'failure_domain': domain,
            'model': model,
            'version': f'{model}@1',
            'first_layer': first,
            'last_layer': last,
            'slots': 8,
            'accelerator': ACCELERATORS[number % len(ACCELERATORS)],
            'checks_fencing': number % 2 == 0,
        }
        name = f'{model}-{number:02d}'
        engines.append(records.Submitted('endpoint', name, spec=spec))
    return engines


def _services(service, domains, count, address_of):
    return [
        records.Submitted(
            'endpoint',
            f'{service}-{number}',
            spec={
                'address': address_of(number),
                'failure_domain': domains[number % len(domains)],
                'service': service,
                'slots': 16,
            },
        )
        for number in range(count)
    ]


def _local_addresses(base):
    return lambda number: f'127.0.0.1:{base + number}'


def cocinas(engines=40, services=3, engine_at=None, service_at=None):
    """Return the records of Cooperativa Cocinas del Norte.

    Parameters
    ----------
    engines, services : int
        Number of endpoints of each kind.
    engine_at, service_at : callable or None
        Maps an endpoint's number to its 'IP:PORT'.
    """
    domains = ('tudela-a', 'tudela-b', 'estella')
    large_account = {'weight': 3.0, 'tokens_per_second': 20_000.0}
    accounts = [
        _account('planta-tudela', **large_account),
        _account('planta-estella', **large_account),
        _account('oficina-calidad', weight=2.0),
        _account('impresoras-etiquetas', priorities=['sellado', 'normal']),
        _account('operaciones', operator=True),
        *(_account(f'cocina-{n}', weight=1.0) for n in range(1, 6)),
    ]
    objective = {'target': 0.999, 'bound_ms': 250}
    return Deployment(
        'cocinas',
        [
            *_model('modelo-cocina'),
            *_priorities('sellado', objective, 1000),
            *accounts,
            *_engines(
                'modelo-cocina',
                domains,
                engines,
                engine_at or _local_addresses(BASE_PORT),
            ),
            *_services(
                'etiquetado',
                domains,
                services,
                service_at or _local_addresses(BASE_PORT + 80),
            ),
        ],
        {a.name: account_key(a.name) for a in accounts},
    )


def morales(engines=40, services=3, engine_at=None, service_at=None):
    """Return the records of Rayos Morales e Hijos, S.A."""
    domains = ('hall-mixco', 'hall-villa', 'hall-zona4')
    accounts = [
        _account('avisos-campo', weight=4.0, priorities=['alerta', 'normal']),
        _account('avisos-escuelas', priorities=['alerta', 'normal']),
        _account('boletines', weight=2.0, tokens_per_second=20_000.0),
        _account('operaciones', operator=True),
        *(_account(f'municipio-{n}', weight=1.0) for n in range(1, 7)),
    ]
    objective = {'target': 0.9999, 'bound_ms': 500}
    return Deployment(
        'morales',
        [
            *_model('redactor'),
            *_priorities('alerta', objective, 2000),
            *accounts,
            *_engines(
                'redactor',
                domains,
                engines,
                engine_at or _local_addresses(BASE_PORT + 100),
            ),
            *_services(
                'avisador',
                domains,
                services,
                service_at or _local_addresses(BASE_PORT + 180),
            ),
        ],
        {a.name: account_key(a.name) for a in accounts},
    )


DEPLOYMENTS = {'cocinas': cocinas, 'morales': morales}
