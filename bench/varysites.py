"""Writes variations of a site file, to play deployments not seen before.

Run ``python bench/varysites.py SITE FOLDER --count 4``; the variations differ
in machines, cards, layers of the model, bounds, and whether engines look at
fencing tokens.  With ``--one-kind NAME`` all cards are of that kind.  Play
them by the users' bench from a checkout, with days ``quiet-1`` and ``mix``.
"""

import pathlib
import random
import re
import shutil

import typer

# Layers and MB a layer: the model's size stays the same.
SHAPES = ((80, 1750.0), (64, 2187.5), (100, 1400.0), (48, 2916.0))


def vary(text, seed):
    """Give a site file's text with other figures.

    Parameters
    ----------
    text : str
    seed : int

    Examples
    --------
    >>> vary('fenced = false', 3) in ('fenced = false', 'fenced = true')
    True
    """
    rng = random.Random(seed)

    def cards(match):
        count = max(1, int(match[1]) + rng.randint(-1, 2))
        return f'count = {count}, kind'

    def machines(match):
        return f'count = {rng.randint(1, 4)}, spare'

    layers, size = rng.choice(SHAPES)
    text = re.sub(r'count = (\d+), kind', cards, text)
    text = re.sub(r'count = (\d+), spare', machines, text)
    shape = f'layers = {layers}, layer_mb = {size}'
    text = re.sub(r'layers = \d+, layer_mb = [\d.]+', shape, text)
    fenced = rng.choice(('true', 'false'))
    text = re.sub(r'fenced = \w+', f'fenced = {fenced}', text)
    drain = rng.choice((1500, 2000, 3000))
    text = re.sub(r'drain_ms = \d+', f'drain_ms = {drain}', text)

    def pipe(match):
        return f'pipe_mbps = {float(match[1]) * rng.choice((0.5, 1.0, 2.0))}'

    return re.sub(r'pipe_mbps = ([\d.]+)', pipe, text)


def make_one_kind(text, name):
    """Give a site file's text with all engines on one kind of card.

    Examples
    --------
    >>> make_one_kind('{ count = 2, kind = "a" }', 'b')
    '{ count = 2, kind = "b" }'
    """
    return re.sub(r'(count = \d+, kind = )"\w+"', rf'\1"{name}"', text)


def main(
    site: pathlib.Path,
    folder: pathlib.Path,
    count: int = 4,
    one_kind: str = '',
):
    """Write variations of a site file into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text()
    for beside in site.parent.glob('*.json'):
        shutil.copy(beside, folder)
    for seed in range(count):
        varied = vary(text, seed)
        if one_kind:
            varied = make_one_kind(varied, one_kind)
        path = folder / f'{site.stem}-{one_kind}{seed}.toml'
        path.write_text(varied)
        typer.echo(path)


if __name__ == '__main__':
    typer.run(main)
