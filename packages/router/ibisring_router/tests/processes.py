"""Real router processes, for tests and benchmarks that send signals."""

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
    log_lines : list of str
        Lines written to standard error so far.
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
        self.log_lines = []
        self.reader = threading.Thread(target=self._read_log, daemon=True)
        self.reader.start()
        self.callers = self._read_address()
        self.control = self._read_address()

    def _read_log(self):
        for line in self.process.stderr:
            self.log_lines.append(line)

    def _read_address(self):
        line = self.process.stdout.readline()
        match = _ADDRESS.match(line)
        if match is None:
            raise RuntimeError(f'{self.id}: {line!r} {self.log_lines}')
        return match.group(2)

    def vm(self):
        """Return its entry for the VM list."""
        return vms.Vm(self.id, self.control, 'local')

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def cpu_seconds(self):
        """Return the CPU time used so far."""
        with open(f'/proc/{self.process.pid}/stat') as file:
            fields = file.read().rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def megabytes(self):
        """Return the resident memory."""
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
    """Kill the router processes that still run."""
    for router in routers:
        router.kill()
