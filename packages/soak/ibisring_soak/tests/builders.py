"""Builds histories for tests of the guarantees."""

from ibisring_soak import records


def call(name='c1', **changes):
    """Return a call with a correct response."""
    values = {
        'id': name,
        'kind': 'once',
        'router': 'r1',
        'key': 'key-1',
        'sent_at': 100.0,
        'ended_at': 100.1,
        'status': 200,
        'complete': True,
        'signed': True,
        'response_id': name,
        'body': f'p1 ran {name}'.encode(),
        'expected_events': 2,
    }
    return records.Call(**{**values, **changes})


def run(name='c1', **changes):
    """Return a run of a request."""
    values = {
        'request': name,
        'endpoint': 'p1',
        'at': 100.05,
        'account': 'account-1',
    }
    return records.Run(**{**values, **changes})


def history(calls=(), runs=(), **changes):
    """Return a history whose last request is served after the recovery."""
    last = call('last', sent_at=200.0, ended_at=200.1, key='key-9')
    return records.History(
        calls=[*calls, last],
        runs=[
            *runs,
            run('last', endpoint='p9', at=200.05, account='account-9'),
        ],
        faults_ended_at=150.0,
        layers=16,
        grace_seconds=4.0,
        **changes,
    )
