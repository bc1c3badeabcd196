"""How soon routers that rely on others know a change, with real processes.

All routers but those that rely on others are lost or frozen, and the store
changes a little later; prints a line for each round, and the longest.

    python bench/toldrouters.py [--routers N] [--rounds N]
"""

import json
import pathlib
import signal
import tempfile
import threading
import time

from ibisring_adapter.tests import running
from ibisring_adapter.tests import standin
from ibisring_policy.gateway import storereaders
import typer

LAGS_SECONDS = (0.02, 0.25, 1.0)
WATCHED_SECONDS = 4.0
SETTLE_SECONDS = 6.0
LOOK_SECONDS = 0.01
# As many as there may be rounds that remove one.
SERVICES = 40
STATE_PATH = '/state?version=0'


def _state(gateway):
    reply = running.fetch(gateway.peer_port, 'GET', STATE_PATH)
    return json.loads(reply.body)


def _knows_version(version):
    return lambda state: state['version'] >= version


def _lacks_endpoint(name):
    return lambda state: name not in {e['id'] for e in state['endpoints']}


class Fleet:
    """Routers of one failure domain, before a stand-in of the platform."""

    def __init__(self, count, folder):
        self.site = standin.Site()
        self.version = 1
        self.site.configure(version=self.version)
        for number in range(SERVICES):
            self.site.add_service(f'p{number}')
        self.gateways = [
            running.Gateway(self.site.store.address, folder, f'r{number}')
            for number in range(count)
        ]
        for each in self.gateways:
            each.wait_ready()

    @property
    def readers(self):
        """The routers that read the store for the others."""
        return self.gateways[: storereaders.READERS_PER_DOMAIN]

    @property
    def others(self):
        """The routers that rely on them."""
        return self.gateways[storereaders.READERS_PER_DOMAIN :]

    def lose_readers(self, kind):
        """Kill or freeze the readers."""
        for each in self.readers:
            each.process.send_signal(kind)

    def restore_readers(self, kind):
        """Undo it, and wait until the routers know each other again."""
        for each in self.readers:
            if kind is signal.SIGKILL:
                each.process.wait()
                each.start()
            else:
                each.process.send_signal(signal.SIGCONT)
        for each in self.readers:
            each.wait_ready()
        time.sleep(SETTLE_SECONDS)

    def change(self, what, number):
        """Change the store; return what tells that a router knows it."""
        if what == 'removal':
            name = f'p{number}'
            self.site.store.drop('servers', name)
            return _lacks_endpoint(name)
        self.version += 1
        self.site.configure(version=self.version)
        return _knows_version(self.version)

    def seconds_until_known(self, is_known):
        """Return the time until the last router that is told knows it."""
        began = time.monotonic()
        found = {}

        def watch(gateway):
            while time.monotonic() < began + WATCHED_SECONDS:
                if is_known(_state(gateway)):
                    break
                time.sleep(LOOK_SECONDS)
            found[gateway.name] = time.monotonic() - began

        threads = [
            threading.Thread(target=watch, args=(each,))
            for each in self.others
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return max(found.values())

    def stop(self):
        """Stop all processes."""
        for each in self.gateways:
            each.process.kill()
            each.process.wait()
        self.site.stop()


def play(fleet, rounds):
    """Return the seconds of each round."""
    took = []
    for number in range(rounds):
        kind = (signal.SIGKILL, signal.SIGSTOP)[number % 2]
        lag = LAGS_SECONDS[number // 2 % len(LAGS_SECONDS)]
        what = ('removal', 'table')[number // 6 % 2]
        fleet.lose_readers(kind)
        time.sleep(lag)
        seconds = fleet.seconds_until_known(fleet.change(what, number))
        took.append(seconds)
        line = {'by': kind.name, 'lag_s': lag, 'change': what}
        typer.echo(json.dumps({**line, 'known_s': round(seconds, 3)}))
        fleet.restore_readers(kind)
    return took


def main(routers: int = 3, rounds: int = 12):
    """Print how soon routers that are told know changes."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(routers, pathlib.Path(folder))
        time.sleep(SETTLE_SECONDS)
        try:
            took = play(fleet, rounds)
        finally:
            fleet.stop()
    typer.echo(json.dumps({'routers': routers, 'longest_s': max(took)}))


if __name__ == '__main__':
    typer.run(main)
