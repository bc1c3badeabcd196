"""Histories for tests of the checks."""

from ibisring_soak import records


def call(name='c1', **changes):
    """Give a request that was answered well."""
    values = {
        'id': name,
        'kind': 'once',
        'router': 'r1',
        'key': 'key-1',
        'sent_at': 100.0,
        'ended_at': 100.1,
        'status': 200,
        'whole': True,
        'signed': True,
        'answered_id': name,
        'body': f'p1 ran {name}'.encode(),
        'length': 2,
    }
    return records.Call(**{**values, **changes})


def run(name='c1', **changes):
    """Give one run of a request."""
    values = {
        'request': name,
        'endpoint': 'p1',
        'at': 100.05,
        'account': 'account-1',
    }
    return records.Run(**{**values, **changes})


def history(calls=(), runs=(), **changes):
    """Give a history that ends served."""
    calm = call('calm', sent_at=200.0, ended_at=200.1, key='key-9')
    return records.History(
        calls=[*calls, calm],
        runs=[
            *runs,
            run('calm', endpoint='p9', at=200.05, account='account-9'),
        ],
        calm_from=150.0,
        layers=16,
        grace=4.0,
        **changes,
    )
