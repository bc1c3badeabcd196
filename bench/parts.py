"""Measures how fast a part of prompts that crashes endpoints is refused.

Real gateway processes before stand-ins; one line a run.

    python bench/parts.py --runs 3 --every 0.3 --events 0
"""

import pathlib
import tempfile

import typer

from ibisring_soak import partload
from ibisring_soak import world as world_module

# Seconds after the first crash, as bounds of the spans that are counted.
SPANS = ((-99.0, 0.0), (0.0, 6.0), (6.0, 12.0), (12.0, 99.0))


def _served(calls, first, span):
    """Return 'SERVED/SENT' of the calls in a span after a time."""
    begin, end = (first + each for each in span)
    chosen = [call for call in calls if begin <= call.sent_at < end]
    served = sum(call.status == 200 for call in chosen)
    return f'{served}/{len(chosen)}'


def _run(routers, engines, load):
    """Return the observations of one run."""
    with tempfile.TemporaryDirectory() as folder:
        world = world_module.make_world(
            pathlib.Path(folder), routers, engines, 0
        )
        try:
            world.start()
            return partload.run_load(world, load)
        finally:
            world.stop()


def _line(observed):
    """Return the figures of one run."""
    first = min(observed.crashes)
    sound = [_served(observed.sound_calls, first, span) for span in SPANS]
    neighbours = [
        _served(observed.neighbour_calls, first, span) for span in SPANS
    ]
    return (
        f'crashes {len(observed.crashes)}'
        f' by {len(observed.deadly_calls)} requests,'
        f' later than 3 s after the fifth {len(observed.late_runs())},'
        f' with the first part {" ".join(sound)},'
        f' with the key only {" ".join(neighbours)}'
    )


def main(
    runs: int = 1,
    routers: int = 3,
    engines: int = 24,
    every: float = 0.3,
    events: int = 0,
    keeps_port: bool = False,
    seconds: float = 17.0,
):
    """Run the load and print a line a run."""
    load = partload.PartLoad(
        events=events,
        keeps_port=keeps_port,
        deadly_every=every,
        seconds=seconds,
    )
    for _ in range(runs):
        print(_line(_run(routers, engines, load)), flush=True)


if __name__ == '__main__':
    typer.run(main)
