"""What callers get while routers are cut off from all endpoints.

Real router processes before stand-ins, on new connections; prints a line for
each number of routers and way of cutting.
"""

import json
import pathlib
import statistics
import tempfile
import time

from ibisring_soak import cutload
from ibisring_soak import endpointlinks
from ibisring_soak import world as world_module
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


def measure(folder, routers, cut_count, how, rate):
    """Play one cut; return figures by name."""
    world = world_module.make_world(folder, routers, own_links=True)
    try:
        world.start()
        load = cutload.make_load(world, rate=rate)
        load.run(1.0)
        chosen = world.routers[:cut_count]
        started = time.monotonic()
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
        relayed, relayed_at = _relayed(world)
        runs = [run[0] for run in world.site.runs() if run[1][0] == 'p']
        cut_names = {each.name for each in chosen}
        others = {each.name for each in world.routers} - cut_names
        during = [e for e in load.calls if e[2].name.startswith('cut')]
        refusals = [c.seconds for _, _, c in during if c.status == 503]
        figures = {'routers': routers, 'cut': cut_count, 'how': how.value}
        for kind in KINDS:
            for side, names in (('cut', cut_names), ('other', others)):
                found = [
                    cutload.served(during, names, started + since, kind)
                    for since in (0.0, 3.0)
                ]
                figures[f'{kind} {side}'] = ', '.join(
                    f'{each.served}/{each.sent}' for each in found
                )
        once = {c.name for _, kind, c in load.calls if kind == 'once'}
        figures['ran twice'] = sum(runs.count(name) > 1 for name in once)
        plain = {c.name for _, kind, c in during if kind != 'stream'}
        figures['plain relayed ms'] = _milliseconds(during, plain & relayed)
        figures['plain direct ms'] = _milliseconds(during, plain - relayed)
        figures['refused ms'] = (
            round(1000.0 * statistics.median(refusals), 1)
            if refusals
            else None
        )
        figures['direct after s'] = round(
            max([0.0, *(at - back_at for at in relayed_at)]), 2
        )
        return figures
    finally:
        world.stop()


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
