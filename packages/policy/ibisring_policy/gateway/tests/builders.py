"""Builders of engines, models, routes and tables for tests."""

from ibisring_policy.gateway import chains
from ibisring_policy.gateway import layers
from ibisring_policy.gateway import windows
from ibisring_records import routing

LAYERS = 80
LAYER_MB = 1750.0
CARDS = (
    routing.Card('big', 72000.0, 1.4, 1.0),
    routing.Card('wide', 36000.0, 3.1, 3.2),
    routing.Card('mid', 21600.0, 16.0, 8.2),
    routing.Card('small', 14400.0, 15.0, 15.0),
)
# Cards of each failure domain of a site with 39 mixed engines.
MIXED = {
    'a': {'big': 1, 'wide': 1, 'mid': 5, 'small': 7},
    'b': {'wide': 1, 'mid': 8, 'small': 3},
    'c': {'wide': 2, 'mid': 4, 'small': 7},
}


def model(**changes):
    """Make a model of 80 layers of 1,750 MB."""
    values = dict(
        layers=LAYERS,
        layer_mb=LAYER_MB,
        token_mb=1.18,
        slots=96,
        step_seconds=0.00085,
        prefill_rate=196000.0,
        load_seconds=14.0,
        loads_at_once=6,
        activation_mb=0.059,
        mean_prompt=772.0,
        mean_answer=174.0,
        cards=CARDS,
    )
    values.update(changes)
    return routing.Model(**values)


def holding(first, end):
    """Make a range of layers."""
    return routing.Holding(first, end)


def engine(name, domain='a', card='mid', held=None, loaded=True):
    """Make an engine for the planner; `held` is a pair or None."""
    kind = next(c for c in CARDS if c.name == card)
    held = routing.Holding(*held) if held else None
    return windows.Engine(
        name,
        domain,
        kind.memory_mb,
        held,
        held if loaded else None,
        step_factor=kind.step_factor,
    )


def mixed_engines(times=1, kinds=None):
    """Make engines without layers, of mixed cards, in three domains."""
    found = []
    for domain, cards in (kinds or MIXED).items():
        for card, count in cards.items():
            for number in range(count * times):
                found.append(engine(f'{domain}-{card}-{number}', domain, card))
    return found


def planned(engines, of=None):
    """Return the engines as they are after a plan was executed."""
    found = {c.id: c.holding for c in layers.plan(engines, of or model())}
    return [
        windows.Engine(
            e.id,
            e.domain,
            e.memory_mb,
            found.get(e.id, e.holding),
            found.get(e.id, e.holding),
            step_factor=e.step_factor,
        )
        for e in engines
    ]


def holder(
    name, first, end, domain='a', capacity=1e6, used=0.0, step_factor=15.0
):
    """Make a holder for a chain."""
    return chains.Holder(
        name,
        f'{name}:1',
        domain,
        first,
        end,
        capacity,
        used=used,
        step_factor=step_factor,
    )


def demand(tokens=1000.0, domain='a', first=0, end=LAYERS, may_cross=True):
    """Make the requirements of a request."""
    return chains.Demand(tokens, domain, first, end, may_cross)


def endpoint(name='e1', service='lookup', domain='a', **changes):
    """Make an endpoint of a plain service."""
    values = dict(
        id=name,
        service=service,
        address=f'10.0.0.1:{8000 + len(name)}',
        failure_domain=domain,
        slots=6,
    )
    values.update(changes)
    return routing.Endpoint(**values)


def held_endpoint(name, first, end, domain='a', card='mid', **changes):
    """Make an endpoint that is an engine with layers."""
    return endpoint(
        name,
        'model',
        domain,
        card=card,
        holding=routing.Holding(first, end),
        **changes,
    )


def route(**changes):
    """Make an idempotent route to the service `lookup`."""
    values = dict(
        name='r1',
        host='h.example',
        prefix='/a/',
        kind=routing.RequestKind.IDEMPOTENT,
        timeout=0.8,
        objective=0.125,
        targets=(routing.Target('lookup', 1.0),),
        most_endpoints=2,
    )
    values.update(changes)
    return routing.Route(**values)


def service(**changes):
    """Return a plain service."""
    values = {'name': 'lookup', 'most_connections': 96, **changes}
    return routing.Service(**values)


def table(version=1, routes=None, accounts=None):
    """Make a routing table with a plain service and a model service."""
    return routing.RoutingTable(
        version=version,
        routes=tuple(routes or (route(),)),
        services=(
            routing.Service('lookup', 96),
            routing.Service('model', 1000, model()),
        ),
        accounts=accounts,
    )


def exactly(number=1.0):
    """Return a noise function that always returns the same number."""
    return lambda: number
