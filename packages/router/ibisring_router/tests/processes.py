"""Routers as real processes, for tests and benches that send signals."""

__all__ = ['RouterProcess', 'start', 'stop_all']

import os
import re
import signal
import subprocess
import sys
import threading

from ibisring_backing import vms
from ibisring_records import records
from ibisring_router.tests import builders

_ADDRESS = re.compile(r'^(callers|control): +http://(\S+)$')


class RouterProcess:
    """A router process; `callers` and `control` are its addresses.

    Attributes
    ----------
    lines : list of str
        What it has written to standard error.
    """

    def __init__(self, site, router_id, **flags):
        self.id = router_id
        command = [
            sys.executable,
            '-m',
            'ibisring_router.main',
            f'--platform={site.platform_address}',
            f'--router-id={router_id}',
            '--caller-listen=127.0.0.1:0',
            '--control-listen=127.0.0.1:0',
            '--operator-key-sha256=' + records.hash_key(builders.OPERATOR_KEY),
        ]
        for name, value in flags.items():
            command.append(f'--{name.replace("_", "-")}={value}')
        self.process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        self.lines = []
        self.reader = threading.Thread(target=self._read_log, daemon=True)
        self.reader.start()
        self.callers = self._read_address()
        self.control = self._read_address()

    def _read_log(self):
        for line in self.process.stderr:
            self.lines.append(line)

    def _read_address(self):
        line = self.process.stdout.readline()
        found = _ADDRESS.match(line)
        if found is None:
            raise RuntimeError(f'{self.id}: {line!r} {self.lines}')
        return found.group(2)

    def vm(self):
        """Give its entry for the VM list."""
        return vms.Vm(self.id, self.control, 'local')

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def cpu_seconds(self):
        """Give the processor time it has used."""
        with open(f'/proc/{self.process.pid}/stat') as file:
            fields = file.read().rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def megabytes(self):
        """Give its resident memory."""
        with open(f'/proc/{self.process.pid}/statm') as file:
            pages = int(file.read().split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / 1e6

    def kill(self):
        if self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def start(site, count, **flags):
    """Start router processes and put them on the VM list."""
    routers = [
        RouterProcess(site, f'router-{number}', **flags)
        for number in range(count)
    ]
    site.platform.vms.listed = [router.vm() for router in routers]
    return routers


def stop_all(routers):
    """Kill what is left of some router processes."""
    for router in routers:
        router.kill()
