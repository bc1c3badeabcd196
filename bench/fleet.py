"""What six routers do to each other before the same engines.

Real router processes before a few engines, at several loads, by a balancer
that sends callers at random: the share answered within the bound, how many
were refused at once, and the most requests that waited at an engine.  One
router alone, which sees all load, is the baseline.

    python bench/fleet.py [--seconds 20] [--routers 1,6]
"""

import threading

import callers
from ibisring_router.tests import builders
from ibisring_router.tests import processes
from ibisring_standins import engineserver
import typer

ENGINES = 9
RANGES = 3
SLOTS = 8
STEP = 0.06
TOKENS = 10
BOUND = 4.0
LOADS = (0.5, 0.8, 1.2, 1.6)
CALLERS = 200
WARM_SECONDS = 5.0
REFUSED = (429, 503, 504)
LOOK = 0.02


class Watch:
    """Looks how many requests wait at the engines."""

    def __init__(self, site):
        self.site = site
        self.most = 0
        self.looks = 0
        self.waited = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._look, daemon=True)
        self.thread.start()

    def _look(self):
        while not self.stopped.wait(LOOK):
            for server in self.site.engines.values():
                waiting = server.load().waiting
                self.most = max(self.most, waiting)
                self.looks += 1
                self.waited += waiting > 0


def capacity():
    """Give the requests a second that the heads' slots can carry."""
    return ENGINES / RANGES * SLOTS / (TOKENS * RANGES * STEP)


def measure(count, part, seconds):
    """Print what came of one load on some routers."""
    site = builders.small_site(
        engines=ENGINES, speed=engineserver.Speed(step_seconds=STEP)
    )
    for server in site.engines.values():
        server.engine.keep_ledger = False
    routers = processes.start(site, count, probe_seconds=1.0)
    load = callers.Load(
        rate=part * capacity(),
        seconds=seconds,
        tokens=TOKENS,
        bound=BOUND,
        patience=BOUND,
        callers=CALLERS,
    )
    watch = Watch(site)
    try:
        asked = callers.offer(callers.random_balancer(routers, 1), load)
    finally:
        watch.stopped.set()
        processes.stop_all(routers)
        site.stop()
    counted = [each for each in asked if each.began >= WARM_SECONDS]
    within = sum(each.within(BOUND) for each in counted) / len(counted)
    refused = sum(each.status in REFUSED for each in counted) / len(counted)
    typer.echo(
        f'{count} routers, load {part}: {len(counted)} requests, within'
        f' {within:.3f}, refused {refused:.3f}; at engines most waiting'
        f' {watch.most}, waiting in {watch.waited / watch.looks:.3f} of looks'
    )


def main(seconds: float = 20.0, routers: str = '1,6'):
    """Print a line for each number of routers and load."""
    typer.echo(f'capacity {capacity():.1f} requests a second')
    for part in LOADS:
        for count in routers.split(','):
            measure(int(count), part, seconds)


if __name__ == '__main__':
    typer.run(main)
