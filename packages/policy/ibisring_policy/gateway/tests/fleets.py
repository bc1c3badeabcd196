"""The small copies of two deployments, and engines that load in steps."""

import msgspec

from ibisring_policy.gateway import layers
from ibisring_policy.gateway.tests import builders as build
from ibisring_policy.gateway import windows

STEP_FACTORS = (2.4, 5.6, 16.0)
# Memory of the cards, and their number by failure domain.
A_CARDS = (72000.0, 43200.0, 21600.0)
A_COUNTS = {'a': (2, 2, 3), 'b': (2, 2, 5), 'c': (2, 3, 3)}
B_CARDS = (36000.0, 21600.0, 14400.0)
B_COUNTS = {'a': (2, 2, 3), 'b': (2, 3, 4), 'c': (1, 4, 3)}
MIN_REQUESTS = 8


def engines(counts, cards):
    """Make the engines of a deployment, without layers."""
    return [
        windows.Engine(
            f'{domain}-{kind}-{n}',
            domain,
            cards[kind],
            step_factor=STEP_FACTORS[kind],
        )
        for domain, numbers in counts.items()
        for kind, number in enumerate(numbers)
        for n in range(number)
    ]


def deployment(name):
    """Return the engines and the model of deployment `a` or `b`."""
    if name == 'a':
        model = build.model(
            mean_prompt=775.0, mean_answer=223.0, loads_at_once=3
        )
        return engines(A_COUNTS, A_CARDS), model
    model = build.model(
        token_mb=0.72, mean_prompt=772.0, mean_answer=142.0, loads_at_once=3
    )
    return engines(B_COUNTS, B_CARDS), model


def step(found, model, rng=None):
    """Return the engines after the changes that are due were ordered.

    All of them are loaded at once, or with `rng` one random engine of those
    that load, while the others are still loading.
    """
    pools = layers.pools(found, model, MIN_REQUESTS)
    changes = layers.plan(found, model, MIN_REQUESTS)
    due = layers.due(changes, pools, model)
    new = {change.id: change.holding for change in due}
    ordered = [
        msgspec.structs.replace(e, holding=new.get(e.id, e.holding))
        for e in found
    ]
    loading = [engine.id for engine in ordered if engine.is_loading]
    if rng is not None and loading:
        loading = [rng.choice(loading)]
    return [
        msgspec.structs.replace(e, loaded=e.holding) if e.id in loading else e
        for e in ordered
    ]


def settled(found, model, steps=100, rng=None):
    """Return the engines once plans change nothing any more."""
    for _ in range(steps):
        after = step(found, model, rng)
        if after == found:
            return after
        found = after
    raise AssertionError(f'plans still change after {steps} steps')


def complete_domains(found, model):
    """Return the failure domains in which each layer is held."""
    names = sorted({engine.domain for engine in found})
    lacking = layers.missing(found, model.layers)
    return [name for name in names if name not in lacking]
