"""Command line of the soak tests: ``python -m ibisring_soak --seed 7``."""

import logging
import pathlib
import random
import sys

import typer

from ibisring_soak import soaking

APP = typer.Typer(add_completion=False)


@APP.command()
def main(
    seed: int = typer.Option(0, help='First seed; 0 draws a random one.'),
    runs: int = typer.Option(
        1, min=1, help='Number of runs, with consecutive seeds.'
    ),
    seconds: float = typer.Option(
        15.0, min=2.0, help='Duration of the faults.'
    ),
    routers: int = typer.Option(3, min=1, max=200),
    engines: int = typer.Option(8, min=4, max=200),
    callers: int = typer.Option(10, min=1, max=200),
    poison: str = typer.Option(
        '',
        help='Route (safe, once, stream) of a request that crashes endpoints,'
        ' or part: requests with such a part in their prompts.',
    ),
    limits: bool = typer.Option(False, help='Endpoints declare rate limits.'),
    backoffs: bool = typer.Option(False, help='Endpoints ask for backoff.'),
    leaves: bool = typer.Option(
        False, help='Endpoints leave that say so in answers only.'
    ),
    restores: bool = typer.Option(
        False, help='The store comes back from copies that lack writes.'
    ),
    cuts: bool = typer.Option(
        False, help='Routers lose their links to endpoints.'
    ),
    breaks: bool = typer.Option(
        False, help='Engines break off streams, and answer without a length.'
    ),
    pauses: bool = typer.Option(
        False,
        help='Sound engines pause, beside planned work only; the three lowest'
        ' bits of the seed: scarce retries, signals, configurations.',
    ),
    exits: bool = typer.Option(
        False,
        help='Endpoints that leave cut their answers, of any framing, at any'
        ' byte; beside planned work only, chosen as with --pauses.',
    ),
    halves: int = typer.Option(
        0,
        min=0,
        help='Largest number of requests at the same time that fall silent in'
        ' the middle of their bodies; beside planned work only, chosen as'
        ' with --pauses.',
    ),
    kept: int = typer.Option(
        0,
        min=0,
        help='Kept connections at the first router; beside planned work only,'
        ' chosen as with --pauses.',
    ),
    folder: pathlib.Path = typer.Option(
        pathlib.Path('soak-runs'), help='Settings and logs, by seed.'
    ),
):
    """Inject faults into real processes and check what callers receive."""
    logging.basicConfig(level='WARNING')
    first_seed = seed or random.SystemRandom().randrange(1, 10**9)
    failed_runs = 0
    for run_seed in range(first_seed, first_seed + runs):
        run_folder = folder / str(run_seed)
        run_folder.mkdir(parents=True, exist_ok=True)
        outcome = soaking.soak(
            run_seed,
            seconds,
            run_folder,
            routers,
            engines,
            callers,
            poison=poison,
            limits=limits,
            backoffs=backoffs,
            leaves=leaves,
            restores=restores,
            cuts=cuts,
            breaks=breaks,
            pauses=pauses,
            exits=exits,
            halves=halves,
            kept=kept,
        )
        failed_runs += bool(outcome.violations)
        print(
            f'seed {run_seed}: {len(outcome.faults)} faults,'
            f' {outcome.calls} calls, {len(outcome.violations)} violations'
        )
        print(f'  {outcome.statuses}')
        for violation in outcome.violations:
            print(
                f'  {violation.guarantee}: {violation.request}'
                f' {violation.detail}'
            )
        sys.stdout.flush()
    print(f'{runs} runs, {failed_runs} with violations')
    sys.exit(1 if failed_runs else 0)


if __name__ == '__main__':
    APP()
