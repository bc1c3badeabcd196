"""Test data: configurations, tickets and dispatchers."""

__all__ = ['MODEL', 'TARGET', 'SERVICE', 'in_force', 'ticket', 'dispatcher']

import math
import random

from ibisring_policy import admission
from ibisring_policy import dispatch
from ibisring_records import configuration
from ibisring_records import schemas

MODEL = 'm'
TARGET = admission.Target(model=MODEL, version='m@1')
SERVICE = admission.Target(service='s')
SERVING = schemas.EndpointState.SERVING
LEAVING = schemas.EndpointState.LEAVING
ACTIVE = schemas.Role.ACTIVE
STANDBY = schemas.Role.STANDBY
RANGES = ((0, 1), (2, 3))


def endpoint(name, first=0, last=0, **changes):
    spec = schemas.EndpointV2(
        address='127.0.0.1:1',
        failure_domain='d',
        first_layer=first,
        last_layer=last,
        **changes,
    )
    return configuration.Endpoint(name, spec)


def in_force(
    replicas=2, slots=2, reserved=0.0, limit=0.0, leaving=(), standby=()
):
    """Return a model of two stages and a service, with some replicas each."""
    endpoints = {}
    for number in range(replicas):
        for first, last in RANGES:
            name = f'e{first}-{number}'
            endpoints[name] = endpoint(
                name,
                first,
                last,
                model=MODEL,
                version='m@1',
                slots=slots,
                state=LEAVING if name in leaving else SERVING,
                role=STANDBY if name in standby else ACTIVE,
            )
        name = f's{number}'
        endpoints[name] = endpoint(name, service='s', slots=slots)
    key = '0' * 64
    return configuration.Configuration(
        1,
        {MODEL: schemas.ModelV2(layers=4)},
        {'m@1': schemas.VersionV2(MODEL, 'w')},
        {},
        {
            'a': schemas.AccountV2(key, tokens_per_second=limit),
            'b': schemas.AccountV2(key),
        },
        {
            'urgent': schemas.PriorityV2(0, reserved_share=reserved),
            'normal': schemas.PriorityV2(1),
        },
        endpoints,
        {},
        {},
    )


def ticket(name, **changes):
    """Return a ticket for the model unless told otherwise."""
    given = {
        'account': 'a',
        'rank': 1,
        'target': TARGET,
        'cost': 10.0,
        'deadline': math.inf,
        'arrived': 0.0,
        **changes,
    }
    return admission.Ticket(id=str(name), **given)


def dispatcher(seed=3, **changes):
    """Return a dispatcher that has a configuration in force."""
    made = dispatch.make_dispatcher(random.Random(seed))
    made.configure(in_force(**changes), 0.0)
    return made
