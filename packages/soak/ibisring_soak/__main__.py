"""Runs the soak by hand: ``python -m ibisring_soak --seed 7``."""

import logging
import pathlib
import random
import sys

import typer

from ibisring_soak import soaking

APP = typer.Typer(add_completion=False)


@APP.command()
def main(
    seed: int = typer.Option(0, help='First seed; 0 draws one.'),
    runs: int = typer.Option(1, min=1, help='How many seeds, one by one.'),
    seconds: float = typer.Option(15.0, min=2.0, help='Faults of a run.'),
    routers: int = typer.Option(3, min=1, max=200),
    engines: int = typer.Option(8, min=4, max=200),
    callers: int = typer.Option(10, min=1, max=200),
    poison: str = typer.Option(
        '', help='Route (safe, once, stream) of a request that ends endpoints.'
    ),
    limits: bool = typer.Option(False, help='Endpoints name limits.'),
    folder: pathlib.Path = typer.Option(
        pathlib.Path('soak-runs'), help='For settings and logs, by seed.'
    ),
):
    """Inject faults into real processes and check what callers see."""
    logging.basicConfig(level='WARNING')
    first = seed or random.SystemRandom().randrange(1, 10**9)
    failed = 0
    for number in range(first, first + runs):
        place = folder / str(number)
        place.mkdir(parents=True, exist_ok=True)
        outcome = soaking.soak(
            number,
            seconds,
            place,
            routers,
            engines,
            callers,
            poison,
            limits,
        )
        failed += bool(outcome.violations)
        print(
            f'seed {number}: {len(outcome.faults)} faults,'
            f' {outcome.calls} calls, {len(outcome.violations)} violations'
        )
        print(f'  {outcome.statuses}')
        for each in outcome.violations:
            print(f'  {each.promise}: {each.request} {each.detail}')
        sys.stdout.flush()
    print(f'{runs} runs, {failed} with violations')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    APP()
