"""What callers get while routers are cut off from all endpoints.

Real router processes before stand-ins, on new connections; prints a line for
each number of routers and way of cutting.
"""

import itertools
import json
import pathlib
import tempfile
import time

from ibisring_soak import cutload
from ibisring_soak import endpointlinks
from ibisring_soak import world as world_module
import msgspec
import typer

APP = typer.Typer(add_completion=False)
CUT_SECONDS = 8.0
KINDS = ('safe', 'once', 'stream')


def _quantile(values, share):
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else None


def _milliseconds(calls, names):
    found = [c.seconds for _, _, c in calls if c.name in names]
    return [
        round(1000.0 * each, 1) if each is not None else None
        for each in (_quantile(found, 0.5), _quantile(found, 0.99))
    ]


def _relayed(world):
    """Return the ids of requests that were handed over, and when last."""
    lines = [
        line
        for router in world.routers
        for line in router.process.log_lines('relayed')
    ]
    return {line['id'] for line in lines}, [line['time'] for line in lines]


class Play(msgspec.Struct):
    """One cut as played.

    `cut_at` is in monotonic seconds, `back_at` in those of log lines; `calls`
    are all requests, `during` those sent while the links were cut.
    """

    cut_names: set[str]
    other_names: set[str]
    cut_at: float
    back_at: float
    calls: list
    during: list


def measure(folder, routers, cut_count, how, rate):
    """Play one cut; return figures by name."""
    world = world_module.make_world(folder, routers, own_links=True)
    try:
        world.start()
        played = play(world, cut_count, how, rate)
        return {
            'routers': routers,
            'cut': cut_count,
            'how': how.value,
            **_shares(played),
            **_times(world, played),
            'ran twice': _ran_twice(world, played),
        }
    finally:
        world.stop()


def play(world, cut_count, how, rate):
    """Cut some routers off under a steady load; return a `Play`."""
    load = cutload.make_load(world, rate=rate)
    load.run(1.0)
    chosen = world.routers[:cut_count]
    cut_at = time.monotonic()
    for router in chosen:
        router.endpoint_links.cut(how)
    load.name = 'cut'
    load.run(CUT_SECONDS)
    back_at = time.time()
    for router in chosen:
        router.endpoint_links.restore()
    load.name = 'back'
    load.run(3.0)
    load.wait()
    cut_names = {each.name for each in chosen}
    return Play(
        cut_names,
        {each.name for each in world.routers} - cut_names,
        cut_at,
        back_at,
        load.calls,
        [each for each in load.calls if each[2].name.startswith('cut')],
    )


def _shares(played):
    """Return how many were served, from the cut on and from 3 s after it."""
    figures = {}
    sides = (('cut', played.cut_names), ('other', played.other_names))
    for kind, (side, names) in itertools.product(KINDS, sides):
        found = [
            cutload.served(played.during, names, played.cut_at + since, kind)
            for since in (0.0, 3.0)
        ]
        figures[f'{kind} {side}'] = ', '.join(
            f'{each.served}/{each.sent}' for each in found
        )
    return figures


def _times(world, played):
    """Return the times of plain requests, refusals and of the return."""
    relayed, relayed_at = _relayed(world)
    during = played.during
    plain = {c.name for _, kind, c in during if kind != 'stream'}
    refused = {c.name for _, _, c in during if c.status == 503}
    direct_after = max([0.0, *(at - played.back_at for at in relayed_at)])
    return {
        'plain relayed ms': _milliseconds(during, plain & relayed),
        'plain direct ms': _milliseconds(during, plain - relayed),
        'refused ms': _milliseconds(during, refused),
        'direct after s': round(direct_after, 2),
    }


def _ran_twice(world, played):
    """Return how many requests that may run once ran more often."""
    runs = [run[0] for run in world.site.runs() if run[1][0] == 'p']
    once = {c.name for _, kind, c in played.calls if kind == 'once'}
    return sum(runs.count(name) > 1 for name in once)


@APP.command()
def main(
    fleets: str = typer.Option(
        '3/1,6/1,6/2,6/3,6/5,3/3', help='Routers and how many are cut.'
    ),
    ways: str = typer.Option('silent,reset,refuse,one_way'),
    rate: float = typer.Option(30.0, min=1.0),
):
    """Measure all ways of cutting for each size."""
    for fleet in fleets.split(','):
        routers, cut_count = (int(part) for part in fleet.split('/'))
        for way in ways.split(','):
            with tempfile.TemporaryDirectory() as folder:
                how = endpointlinks.Cut(way)
                figures = measure(
                    pathlib.Path(folder), routers, cut_count, how, rate
                )
            print(json.dumps(figures), flush=True)


if __name__ == '__main__':
    APP()
