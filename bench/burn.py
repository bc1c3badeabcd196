"""The burn report at the target's size: bytes written, and how it is read.

python bench/burn.py [--processes 400] [--accounts 1200]
"""

import random
import time

from ibisring_backing import objects
from ibisring_policy import burn
from ibisring_records import configuration
from ibisring_router import burnkeeping
from ibisring_router import burnperiods
from ibisring_router import metrics
from ibisring_standins import platformserver
from ibisring_web import serving
import msgspec
import typer

REQUESTS_A_SECOND = 5.8
MODELS = 5
CLASSES = 4
KEEP_SECONDS = 60
THREADS = 32
BEGIN = 3_000_000 * burnperiods.PERIOD_SECONDS


class Clock:
    """A clock moved by hand."""

    def __init__(self):
        self.now = float(BEGIN)

    def __call__(self):
        return self.now


class Keeper:
    """Has the configuration that a burn keeper asks for."""

    def __init__(self):
        self.current = configuration.build(1, [])

    def require(self):
        return self.current


def fill(book, current, accounts, rng, seconds):
    """Count a process's requests from BEGIN on."""
    for number in range(int(seconds * REQUESTS_A_SECOND)):
        members = {
            burn.Group.SERVICE: f'model-{rng.randrange(MODELS)}',
            burn.Group.CLASS: f'class-{rng.randrange(CLASSES)}',
            burn.Group.ACCOUNT: f'account-{rng.randrange(accounts)}',
        }
        when = BEGIN + number / REQUESTS_A_SECOND
        book.count(current, members, 0.1, rng.random() < 0.99, when)


def bytes_a_second(current, accounts):
    """Give what one process writes over a period, in bytes a second."""
    written = 0
    for seconds in range(
        KEEP_SECONDS, burnperiods.PERIOD_SECONDS + 1, KEEP_SECONDS
    ):
        book = burn.BurnCounter()
        fill(book, current, accounts, random.Random(1), seconds)
        period = BEGIN // burnperiods.PERIOD_SECONDS
        written += len(msgspec.json.encode(book.minutes_of_period(period)))
    return written / burnperiods.PERIOD_SECONDS


def put_periods(store, current, accounts, processes, clock):
    """Keep the parts of a period that is settled, and of the two since."""
    settled = BEGIN // burnperiods.PERIOD_SECONDS
    for process in range(processes):
        book = burn.BurnCounter()
        fill(
            book,
            current,
            accounts,
            random.Random(process),
            2.5 * burnperiods.PERIOD_SECONDS,
        )
        for period in range(settled, settled + 3):
            minutes = msgspec.to_builtins(book.minutes_of_period(period))
            store.put(f'burn/{period}/{process}', minutes)
    clock.now = BEGIN + 2.5 * burnperiods.PERIOD_SECONDS
    return settled


def timed(action):
    """Give seconds and processor seconds of a call, and its result."""
    started, used = time.monotonic(), time.process_time()
    result = action()
    took = time.monotonic() - started
    return took, time.process_time() - used, result


def main(processes: int = 400, accounts: int = 1200):
    """Print bytes, seconds of merging and seconds of a report."""
    keeper = Keeper()
    kept = bytes_a_second(keeper.current, accounts)
    typer.echo(f'a process writes {kept / 1000:.2f} KB/s')
    platform = platformserver.Platform()
    listener = serving.make_listener(
        platformserver.make_app(platform), '127.0.0.1', 0, THREADS
    )
    listener.start()
    clock = Clock()
    settled = put_periods(
        platform.objects, keeper.current, accounts, processes, clock
    )
    size = sum(
        len(data)
        for name, data in platform.objects.values.items()
        if name.startswith(f'burn/{settled}/')
    )
    store = objects.http_objects(listener.address)
    periods = burnperiods.PeriodStore(store)
    burning = burnkeeping.BurnKeeper(
        keeper, periods, metrics.make_metrics(''), clock
    )
    took, used, _ = timed(lambda: periods.merge_next(clock.now, bool))
    merged = platform.objects.values[f'burn-merged/{settled}']
    typer.echo(
        f'merging a period of {processes} parts, {size / 1e6:.1f} MB:'
        f' {took:.1f} s, {used:.1f} s of processor;'
        f' merged {len(merged) / 1e3:.0f} KB'
    )
    for older in range(1, burnperiods.PERIOD_COUNT):
        name = f'burn-merged/{settled - older}'
        platform.objects.values[name] = merged
    took, used, report = timed(burning.report)
    shown = len(msgspec.json.encode(report)) / 1e6
    typer.echo(
        f'report of 24 h: {took:.1f} s, {used:.1f} s of processor,'
        f' {len(report.rows)} rows, {shown:.1f} MB'
    )
    listener.stop()


if __name__ == '__main__':
    typer.run(main)
