"""Time and memory of planning layers, and of choosing chains.

Run ``python bench/layers.py``.  Engines are of four kinds of cards in three
failure domains, in the proportions of the sites of 39 engines.
"""

import random
import time
import tracemalloc

from ibisring_policy.gateway import chains
from ibisring_policy.gateway import layers
from ibisring_policy.gateway.tests import builders as build
from ibisring_policy.gateway import windows

SIZES = ((1, 39), (3, 98), (31, 1200))
CHOICES = 20
ROUNDS = 30


def _timed(function, *args):
    begun = time.perf_counter()
    result = function(*args)
    return result, time.perf_counter() - begun


def _holders(engines):
    return [
        build.holder(e.id, e.holding.first, e.holding.end, e.domain)
        for e in engines
    ]


def _release(engines, model, rng):
    """Replace one engine; give the layers loaded and domains left whole."""
    old = rng.choice(engines)
    new = windows.Engine(f'{old.id}+', old.domain, old.memory_mb)
    engines = build.planned([*engines, new], model)
    left = [e for e in engines if e.id != old.id]
    return build.planned(left, model)


def main():
    """Print a line for each size."""
    model = build.model()
    rng = random.Random(1)
    for times, count in SIZES:
        empty = build.mixed_engines(times)[:count]
        tracemalloc.start()
        _, first = _timed(layers.plan, empty, model)
        memory = tracemalloc.get_traced_memory()[1] / 1e6
        tracemalloc.stop()
        _, first = _timed(layers.plan, empty, model)
        engines = build.planned(empty, model)
        _, calm = _timed(layers.plan, engines, model)
        _, loss = _timed(layers.plan, engines[1:], model)
        holders = _holders(engines)
        demand = build.demand()
        noise = build.exactly()
        begun = time.perf_counter()
        for _ in range(CHOICES):
            chains.choose(holders, demand, build.LAYERS, noise)
        choice = (time.perf_counter() - begun) / CHOICES
        whole = 0
        for _ in range(ROUNDS):
            engines = _release(engines, model, rng)
            missing = layers.missing(engines, build.LAYERS)
            whole += 3 - len(missing)
        print(
            f'{count} engines: first plan {first * 1000:.1f} ms'
            f' ({memory:.1f} MB), calm {calm * 1000:.1f} ms,'
            f' a loss {loss * 1000:.1f} ms, a chain {choice * 1000:.2f} ms,'
            f' domains whole after one plan of {ROUNDS} releases:'
            f' {whole / (3 * ROUNDS):.3f}'
        )


if __name__ == '__main__':
    main()
