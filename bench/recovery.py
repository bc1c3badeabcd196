"""Recovery time after faults, with real router processes.

Steady load goes to the routers by turns, as from a balancer that asks
/readyz each second.  A fault comes at a set time; the recovery time runs
from it to the beginning of the last request that was not answered within
the bound.  The baseline has no resumption, one attempt and default timeouts
(60 s).

    python bench/recovery.py [--only FAULT] [--out FILE]
"""

import json
import pathlib
import signal
import threading

import callers
from ibisring_router.tests import builders
from ibisring_router.tests import processes
from ibisring_standins import engineserver
from ibisring_standins import faults
import typer

MODEL = callers.MODEL
BEFORE = 4.0
AFTER = 10.0
LOAD = callers.Load(
    rate=8.0, seconds=BEFORE + AFTER, tokens=8, bound=1.0, patience=9.0
)
BASELINE = {'token_timeout': 60.0, 'connect_timeout': 60.0}
SPEED = engineserver.Speed(step_seconds=0.004)


def load(routers, fault):
    """Offer the load with a fault in it; give all that was asked."""
    balancer = callers.Balancer(routers)
    timer = threading.Timer(BEFORE, fault)
    timer.start()
    return callers.offer(balancer, LOAD)


def recovery(results):
    """Give seconds to recovery, and how many were not in time."""
    bad = [
        asked.began
        for asked in results
        if asked.began >= BEFORE - LOAD.bound and not asked.within(LOAD.bound)
    ]
    return round(max(0.0, max(bad, default=0.0) - BEFORE), 2), len(bad)


def kill_engine(site, routers):
    site.kill(f'{MODEL}-01')


def silence(site, routers):
    """Every open stream goes silent; new connections work."""
    for server in site.engines.values():
        server.engine.faults = faults.EngineFaults(silence_at=0, silences=2)


def freeze_engine(site, routers):
    """One engine accepts and never answers, as if paused."""
    site.engines[f'{MODEL}-00'].engine.faults = faults.EngineFaults(
        never_answer=True
    )


def degrade_link(site, routers):
    """One engine's link becomes a hundredfold slower."""
    site.engines[f'{MODEL}-01'].engine.faults = faults.EngineFaults(
        step_delay=0.2
    )


def kill_router(site, routers):
    routers[0].signal(signal.SIGKILL)


def freeze_router(site, routers):
    routers[0].signal(signal.SIGSTOP)


def stop_store(site, routers):
    for name in ('table', 'objects', 'vms'):
        site.platform.set_faults(name, faults.PlatformFaults(down=True))


def everything(site, routers):
    """A stage dies, streams go silent, the store stops, a router dies."""
    stop_store(site, routers)
    silence(site, routers)
    kill_router(site, routers)
    kill_engine(site, routers)


FAULTS = (
    kill_engine,
    silence,
    freeze_engine,
    degrade_link,
    kill_router,
    freeze_router,
    stop_store,
    everything,
)


def measure(fault, flags):
    site = builders.small_site(engines=9, speed=SPEED)
    routers = processes.start(site, 2, **flags)
    try:
        return recovery(load(routers, lambda: fault(site, routers)))
    finally:
        processes.stop_all(routers)
        site.stop()


def main(
    out: pathlib.Path = pathlib.Path('bench/out/recovery.json'),
    only: str = '',
):
    """Print recovery times beside the baseline."""
    rows = []
    for fault in FAULTS:
        if only and fault.__name__ != only:
            continue
        ours = measure(fault, {'token_timeout': 0.5, 'drain_seconds': 0.1})
        plain = measure(fault, {**BASELINE, 'most_attempts': 1})
        rows.append(
            {
                'fault': fault.__name__,
                'seconds': ours[0],
                'not_in_time': ours[1],
                'baseline_seconds': plain[0],
                'baseline_not_in_time': plain[1],
            }
        )
        typer.echo(json.dumps(rows[-1]))
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(rows, indent=1))


if __name__ == '__main__':
    typer.run(main)
