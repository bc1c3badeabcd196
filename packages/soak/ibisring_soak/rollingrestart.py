"""Restarts many routers in turn while callers keep their connections.

``python -m ibisring_soak.rollingrestart --routers 40``
"""

__all__ = ['Options', 'Outcome', 'run']

import asyncio
import collections
import contextlib
import json
import math
import multiprocessing
import pathlib
import random
import signal
import sys
import time

from ibisring_adapter.tests import running
from ibisring_soak import keptcallers
from ibisring_soak import lateness
from ibisring_soak import restartlosses
from ibisring_soak import standinprocesses
import msgspec
import typer

APP = typer.Typer(add_completion=False)
GRACE_SECONDS = 8.0
SIGTERM_INTERVAL_SECONDS = 0.5
POLL_SECONDS = 0.02
READY_POLL_SECONDS = 0.2
READY_SECONDS = 90.0
# Between readiness and the callers, and between them and the first SIGTERM.
SETTLE_SECONDS = 3.0
# After the last restart.
AFTER_SECONDS = 3.0
# Bound on the time of busy processes, should nobody stop them.
MAX_BUSY_SECONDS = 180.0
# Packages of the routers, below the folder of a checkout.
PACKAGES = ('records', 'web', 'policy', 'backing', 'router', 'gateway')
COUNTED_EVENTS = (
    'stages_lost',
    'no_status',
    'unreachable_reported',
    'layers_missing',
    'store_lost',
)


class Options(msgspec.Struct, kw_only=True):
    """The set-up of a run; the command line explains it."""

    routers: int = 40
    callers: int = 4
    engines: int = 16
    engine_processes: int = 4
    busy: int = 0
    is_resumable: bool = False
    checkout: pathlib.Path | None = None


class Outcome(msgspec.Struct):
    """The result of a run.

    `endings` are counts by `restartlosses.Ending`, `statuses` of answers,
    `late_lost` is how many of the lost were sent later than the accepted
    time after SIGTERM, `exits` are the times from SIGTERM to the exits,
    `handled` those to the log line that says so, `lingered` those from the
    last log line to the exit, `logged` counts of the routers' log lines, and
    `lateness` that of the test's own processes.
    """

    seed: int
    endings: dict
    statuses: dict
    late_lost: int
    losses: list
    exits: list
    handled: list
    lingered: list
    killed: int
    crashed: int
    logged: dict
    attempts: dict
    busy_share: float
    lateness: dict


class RestartedRouter:
    """A router process, and whether callers may connect to it.

    Attributes
    ----------
    is_serving : bool
        Whether it is ready; it stays so until its process is gone.
    crashes : int
        Exits without a signal.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.name = gateway.name
        self.is_serving = False
        self.log_start = 0
        self.crashes = 0

    async def wait_ready(self):
        """Wait until it is ready."""
        deadline = time.monotonic() + READY_SECONDS
        port = self.gateway.ready_port
        while await keptcallers.ask(port, '/readyz') != 200:
            if time.monotonic() > deadline:
                raise AssertionError(f'{self.name} is not ready')
            await asyncio.sleep(READY_POLL_SECONDS)
        self.is_serving = True

    async def restart(self, terminations):
        """Terminate the process, wait for its exit, and start it again."""
        process = self.gateway.process
        self.crashes += process.poll() is not None
        record = restartlosses.Termination(
            self.name, time.monotonic(), time.time()
        )
        terminations.append(record)
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            seconds = time.monotonic() - record.at
            if seconds > GRACE_SECONDS and not record.is_killed:
                record.is_killed = True
                process.kill()
            await asyncio.sleep(POLL_SECONDS)
        record.exited_at = time.monotonic()
        self.is_serving = False
        self.gateway.log.close()
        await asyncio.to_thread(self.gateway.start)
        await self.wait_ready()

    def mark_log(self):
        """Count log lines from here on."""
        self.log_start = self.gateway.log_path.stat().st_size

    def log_lines(self):
        """Yield its decoded log lines since `mark_log`."""
        data = self.gateway.log_path.read_bytes()[self.log_start :]
        for line in data.decode(errors='replace').splitlines():
            if line.startswith('{') and line.endswith('}'):
                yield json.loads(line)


def _environment(folder, checkout):
    """Return what the environment of router processes has of its own."""
    # Code of another checkout must not be written to, and a router that
    # compiles itself at each start is ready later than a deployed one.
    values = {
        'PYTHONPYCACHEPREFIX': str(folder / 'bytecode'),
        'PYTHONDONTWRITEBYTECODE': '',
    }
    if checkout is not None:
        paths = [checkout / 'packages' / name for name in PACKAGES]
        paths.append(checkout / 'platform')
        values['PYTHONPATH'] = ':'.join(map(str, paths))
    return values


def _start_routers(store, folder, options):
    environment = _environment(folder, options.checkout)
    return [
        RestartedRouter(
            running.Gateway(
                store,
                folder,
                f'r{number}',
                environment=environment,
                grace_s=GRACE_SECONDS,
            )
        )
        for number in range(1, options.routers + 1)
    ]


async def _wait_until_settled(routers, engine_count):
    await asyncio.gather(*(router.wait_ready() for router in routers))
    await asyncio.to_thread(
        running.wait_for,
        lambda: routers[0].gateway.loaded_engine_count() == engine_count,
        'not all engines hold layers',
    )
    await asyncio.sleep(SETTLE_SECONDS)


def _keep_busy(seconds):
    """Use up a processor for a while (target of a process)."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        pass


@contextlib.contextmanager
def _busy_processes(count):
    context = multiprocessing.get_context('spawn')
    processes = [
        context.Process(
            target=_keep_busy, args=(MAX_BUSY_SECONDS,), daemon=True
        )
        for _ in range(count)
    ]
    for process in processes:
        process.start()
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.join()


async def _restart_in_turn(routers, rng, terminations):
    """Restart each router once, one SIGTERM after the other."""
    restarts = []
    for router in rng.sample(routers, len(routers)):
        restart = asyncio.ensure_future(router.restart(terminations))
        restarts.append(restart)
        await asyncio.sleep(SIGTERM_INTERVAL_SECONDS)
    await asyncio.gather(*restarts)


async def _play(seed, routers, options, ticker):
    """Return the calls and the terminations of a run."""
    await _wait_until_settled(routers, options.engines)
    for router in routers:
        router.mark_log()
    calls, terminations = [], []
    stopped = asyncio.Event()
    ticking = asyncio.ensure_future(ticker.run())
    callers = [
        asyncio.ensure_future(
            keptcallers.KeptCaller(router, seed, number, calls).run(stopped)
        )
        for router in routers
        for number in range(options.callers)
    ]
    await asyncio.sleep(SETTLE_SECONDS)
    await _restart_in_turn(routers, random.Random(seed), terminations)
    await asyncio.sleep(AFTER_SECONDS)
    stopped.set()
    await asyncio.gather(*callers)
    ticking.cancel()
    return calls, terminations


def run(seed, folder, **option_values):
    """Restart all routers once under load.

    Parameters
    ----------
    seed : int
    folder : pathlib.Path
        Settings and logs of the routers.
    **option_values
        Values of `Options`.

    Returns
    -------
    Outcome
    """
    options = Options(**option_values)
    stand_ins = standinprocesses.make_stand_ins(
        options.routers,
        options.engines,
        options.engine_processes,
        options.is_resumable,
    )
    routers = []
    try:
        routers = _start_routers(stand_ins.store, folder, options)
        with _busy_processes(options.busy):
            ticker = lateness.Ticker()
            before = lateness.processor_times()
            played = asyncio.run(_play(seed, routers, options, ticker))
            busy_share = lateness.busy_share(before)
            reports = stand_ins.report()
    finally:
        for router in routers:
            router.gateway.stop()
        stand_ins.stop()
    return _judge(seed, routers, ticker, busy_share, played, reports)


def _judge(seed, routers, ticker, busy_share, played, reports):
    calls, terminations = played
    store, engines = reports
    endings = _classify_all(calls, terminations, engines)
    losses = restartlosses.find_losses(endings, terminations, ticker)
    logged, attempts = _count_lines(routers)
    counts = collections.Counter(ending.value for _, ending in endings)
    statuses = collections.Counter(str(call.status) for call in calls)
    signalled = {each.router: each.wall_time for each in terminations}
    gone = {
        each.router: each.wall_time + each.seconds for each in terminations
    }
    return Outcome(
        seed=seed,
        endings=dict(counts),
        statuses=dict(sorted(statuses.items())),
        late_lost=sum(_is_late(loss) for loss in losses),
        losses=losses,
        exits=sorted(round(each.seconds, 2) for each in terminations),
        handled=_seconds_to_line(routers, 'ending', signalled),
        lingered=[-each for each in _seconds_to_line(routers, 'ended', gone)],
        killed=sum(each.is_killed for each in terminations),
        crashed=sum(router.crashes for router in routers),
        logged=dict(logged),
        attempts=dict(attempts.most_common()),
        busy_share=busy_share,
        lateness={
            'callers': ticker.report(),
            'store': store,
            'engines': max(
                (each.lateness for each in engines),
                key=lambda each: each.largest_ms,
            ),
        },
    )


def _seconds_to_line(routers, event, times):
    """Return the seconds from a time of each router to a line of its log.

    Parameters
    ----------
    routers : list of RestartedRouter
    event : str
        Of the line.
    times : dict of str to float
        Wall-clock times, by router.
    """
    return sorted(
        round(line['time'] - times[router.name], 3)
        for router in routers
        for line in router.log_lines()
        if line['event'] == event
    )


def _is_late(loss):
    """Return whether a request was sent late and lost at its router's end."""
    return (
        loss.ending is restartlosses.Ending.LOST
        and loss.sent_after > restartlosses.SENT_SECONDS
    )


def _classify_all(calls, terminations, engines):
    started, finished = {}, {}
    for report in engines:
        for request, at in report.started.items():
            started[request] = min(at, started.get(request, math.inf))
        finished |= report.finished
    return [
        (
            call,
            restartlosses.classify(
                call,
                started,
                finished,
                restartlosses.last_termination(call, terminations),
                GRACE_SECONDS,
            ),
        )
        for call in calls
    ]


def _count_lines(routers):
    """Return counts of log lines by event, and of attempts by end and next."""
    logged = collections.Counter(dict.fromkeys(COUNTED_EVENTS, 0))
    attempts = collections.Counter()
    for router in routers:
        for line in router.log_lines():
            if line['event'] in COUNTED_EVENTS:
                logged[line['event']] += 1
            elif line['event'] == 'attempt_ended':
                attempts[f'{line["end"]} {line["next"]}'] += 1
    return logged, attempts


@APP.command()
def main(
    seed: int = typer.Option(1, help='First seed.'),
    runs: int = typer.Option(1, min=1, help='Runs, of consecutive seeds.'),
    routers: int = typer.Option(40, min=1, max=80),
    callers: int = typer.Option(4, min=1, help='Callers of each router.'),
    engines: int = typer.Option(16, min=1),
    engine_processes: int = typer.Option(
        4, min=1, help='Processes over which the engines are spread.'
    ),
    busy: int = typer.Option(0, min=0, help='Busy processes beside.'),
    resumable: bool = typer.Option(False, help='Streams may be resumed.'),
    checkout: pathlib.Path = typer.Option(
        None, help='Folder of the code of the routers, if it is another.'
    ),
    folder: pathlib.Path = typer.Option(
        pathlib.Path('soak-runs'), help='Settings and logs, by seed.'
    ),
):
    """Restart routers in turn; print what callers lost, a line a run."""
    failed_runs = 0
    for run_seed in range(seed, seed + runs):
        run_folder = folder / f'restart-{run_seed}'
        run_folder.mkdir(parents=True, exist_ok=True)
        outcome = run(
            run_seed,
            run_folder,
            routers=routers,
            callers=callers,
            engines=engines,
            engine_processes=engine_processes,
            busy=busy,
            is_resumable=resumable,
            checkout=checkout,
        )
        failed_runs += bool(outcome.losses)
        print(msgspec.json.encode(outcome).decode(), flush=True)
    sys.exit(1 if failed_runs else 0)


if __name__ == '__main__':
    APP()
